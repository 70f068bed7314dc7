"""Asks agents for the present state of their engines.

Reports that entries pass on are some tenths of a second old, and all entries
see the same ones. So several entries send their generations to the one engine
that looked idle, and first events come seconds late while other engines have
nothing to do. A request that is about to be sent therefore asks the agents of
a few good engines, which takes a millisecond or two.
"""

import abc
from collections import abc as collections_abc
import itertools
import typing

import trio

from gentianpoint_core import logs
from gentianpoint_core import option_types
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import missed_answers
from gentianpoint_entry.forwarding import patience
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_entry.forwarding import targets

__all__ = ("AgentProbes", "EngineProbes")

_TIMEOUT_S: typing.Final = 0.025
"""Seconds allowed for all answers. Within a region they take a few
milliseconds, and datagrams are lost now and then."""
FindAgent = collections_abc.Callable[[targets.Target], typing.Optional[str]]
"""Returns the address of the agent beside a target, None if it has none."""
TakeState = collections_abc.Callable[
    [targets.Target, collections_abc.Mapping[str, typing.Any]], None
]
"""Applies an ``engine_state`` message to a target."""


class EngineProbes(abc.ABC):
    """Brings the states of targets up to date."""

    @abc.abstractmethod
    async def refresh(
        self, chosen: collections_abc.Sequence[targets.Target]
    ) -> collections_abc.Collection[targets.Target]:
        """Bring the reports of ``chosen`` up to date, as far as possible.

        Returns those of them that are there, within some milliseconds. The
        others may be lost, or were not asked.
        """


class _Probe:
    """Requests to some agents, and the answers that are still missing."""

    def __init__(self) -> None:
        self.missing: typing.Final[dict[int, targets.Target]] = {}
        self.found: typing.Final[list[targets.Target]] = []
        self.answered: typing.Final = trio.Event()


class AgentProbes(EngineProbes):
    """Asks agents by datagrams."""

    def __init__(
        self, address: str, find_agent: FindAgent, take_state: TakeState
    ) -> None:
        """Send from ``address``, and give answers to ``take_state``."""
        self.datagrams: typing.Final = peer_datagrams.UdpDatagrams(address)
        self.datagrams.add_handler("state_found", self._handle)
        self._find_agent: typing.Final = find_agent
        self._take_state: typing.Final = take_state
        self._numbers: typing.Final = itertools.count(1)
        self._probes: typing.Final[dict[int, _Probe]] = {}
        self._missed: typing.Final = missed_answers.MissedAnswers()

    async def run(self) -> None:
        """Receive answers until cancelled."""
        await self.datagrams.run()

    async def _handle(
        self,
        message: collections_abc.Mapping[str, typing.Any],
        sender: tuple[str, int],
    ) -> None:
        number = message["probe"]
        probe = self._probes.pop(number, None)
        if probe is None:
            return
        target = probe.missing.pop(number)
        identity = message.get("target", target.target_id)
        try:
            if identity == target.target_id:
                self._take_state(target, message["state"])
                probe.found.append(target)
            else:
                # This start has ended, and the list still names it.
                target.is_replaced = True
        except OverflowError as error:
            logs.log_event(
                events.MESSAGE_REFUSED,
                step="decode state",
                peer=sender[0],
                reason=str(error),
            )
        if not probe.missing:
            probe.answered.set()

    async def refresh(
        self, chosen: collections_abc.Sequence[targets.Target]
    ) -> collections_abc.Collection[targets.Target]:
        """Ask the agents of ``chosen``; see the base class."""
        if not self.datagrams.is_open:
            return ()
        probe = _Probe()
        agents: dict[int, str] = {}
        try:
            for target in chosen:
                agent = self._find_agent(target)
                if agent is None or self._missed.is_skipped(agent):
                    continue
                number = next(self._numbers)
                agents[number] = agent
                probe.missing[number] = target
                self._probes[number] = probe
                await self.datagrams.send(
                    option_types.split_address(agent),
                    {"type": "state_wanted", "probe": number},
                )
            if probe.missing:
                await patience.wait_for(probe.answered, _TIMEOUT_S)
            return probe.found
        finally:
            for number, agent in agents.items():
                self._missed.note(agent, was_missed=number in probe.missing)
                self._probes.pop(number, None)
