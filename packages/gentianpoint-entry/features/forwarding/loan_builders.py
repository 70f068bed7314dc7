"""An entry that asks for turns, on a host that may stand still."""

from collections import abc
import random
import typing

import trio
import trio.testing

from gentianpoint_core import limit_table
from gentianpoint_core import named_limits
from gentianpoint_core.decisions import request_turns
from gentianpoint_entry.forwarding import peer_datagrams
from gentianpoint_entry.forwarding import turn_loans

__all__ = ("Borrower",)

_KEY: typing.Final = "target/1"
_SERVICE: typing.Final = "service"
_LOOK_S: typing.Final = 0.01
_PER_S: typing.Final = 20.0
_WAITING: typing.Final = 20
"""Requests that wait, more than this entry has turns for in time."""


class _Mail(peer_datagrams.PeerDatagrams):
    """Keeps the questions that an entry sends."""

    def __init__(self) -> None:
        super().__init__()
        self.questions: typing.Final[list[abc.Mapping[str, typing.Any]]] = []

    async def send(
        self,
        address: tuple[str, int],
        message: abc.Mapping[str, typing.Any],
    ) -> None:
        """Keep a question."""
        self.questions.append(message)


class Borrower:
    """One of two entries, which has a request and no turn."""

    def __init__(self) -> None:
        """Know the limit, which both entries share."""
        self._mail: typing.Final = _Mail()
        members = frozenset(("a", "b"))
        self._table: typing.Final = limit_table.LimitTable()
        self._loans: typing.Final = turn_loans.TurnLoans(
            "a",
            request_turns.RequestTurns("a", lambda: members),
            self._table,
            self._mail,
            lambda member: (member, 1),
            lambda service: [_KEY],
            random.Random(1),
        )
        self.has_found: typing.Optional[bool] = None

    async def _find(self) -> None:
        until = trio.current_time() + 1.0
        self.has_found = await self._loans.find_more(_SERVICE, _WAITING, until)

    async def _lend(self) -> None:
        for question in self._mail.questions:
            await self._mail.handle(
                {
                    "type": "turns_lent",
                    "question": question["question"],
                    "member": "b",
                    "rows": question["rows"],
                },
                ("b", 1),
            )

    def play(self, stands_still_s: float, *, is_answered: bool) -> float:
        """Ask, and stand still; return the seconds until the request knows.

        The answer, if there is one, comes while the process stands still,
        and is read after the tasks that were due meanwhile have run.
        """
        clock = trio.testing.MockClock()

        async def run() -> float:
            now = trio.current_time()
            self._table.note_answer(
                _KEY, named_limits.NamedLimit(True, _PER_S), now, now
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._find)
                await trio.testing.wait_all_tasks_blocked()
                assert self._mail.questions
                clock.jump(stands_still_s)
                await trio.testing.wait_all_tasks_blocked()
                if is_answered:
                    await self._lend()
                while self.has_found is None:
                    clock.jump(_LOOK_S)
                    await trio.testing.wait_all_tasks_blocked()
            return trio.current_time() - now

        return trio.run(run, clock=clock)
