"""Borrows turns at targets with limits from other entries, and lends them.

An entry to which most callers come has as few turns as the others. So it asks
the owners of the next turns, by datagrams, for as many as its requests need. A
question that is lost, or that an owner does not answer, costs that turn only.
"""

from collections import abc
import itertools
import math
import random
import typing

import trio

from gentianpoint_core import limit_table
from gentianpoint_core import logs
from gentianpoint_core.decisions import request_turns
from gentianpoint_core.decisions import turn_lending
from gentianpoint_core.generated import events
from gentianpoint_entry.forwarding import arrivals
from gentianpoint_entry.forwarding import patience
from gentianpoint_entry.forwarding import peer_datagrams

__all__ = ("TurnLoans",)

_DEMAND_WINDOW_S: typing.Final = 1.0
"""Seconds over which requests are counted, to estimate those of the next
moment."""
_AHEAD_S: typing.Final = 0.3
"""Seconds for whose requests turns are asked in advance."""
_ASK_INTERVAL_S: typing.Final = 0.1
"""Seconds between questions in advance."""
_EMPTY_INTERVAL_S: typing.Final = 0.02
"""Seconds between questions after there was no turn left to ask for."""
_REFUSED_INTERVAL_S: typing.Final = 0.5
"""Seconds between questions while hardly any turn is lent, since all entries
lack them."""
_MIN_LENT_SHARE: typing.Final = 0.1
"""Share of turns that are lent below which questions become rare. Above it so
many more are asked for, since others ask for the same ones."""
_LENT_SHARE_WEIGHT: typing.Final = 0.1
"""Weight of one answer in the share of turns that are lent."""
_ANSWER_S: typing.Final = 0.05
"""Seconds for which a request waits for an answer."""
_LEAST_WAIT_S: typing.Final = 0.02
"""Seconds for which a request waits at least while a question is open. The
answer may have come while this process had no processor time."""
_QUESTION_KEPT_S: typing.Final = 1.0
"""Seconds for which an answer to a question is used."""
_MAX_TURNS: typing.Final = 64
"""Turns in one message, which has to fit into a packet."""
_MAX_TURN: typing.Final = 2**52
"""Highest number of a turn that another entry may ask for."""
_MAX_PER_S: typing.Final = 1e6
"""Most turns a second that another entry may say it lacks."""
_LOG_INTERVAL_S: typing.Final = 1.0
"""Seconds between log lines on turns that a service lacks."""
_Message = abc.Mapping[str, typing.Any]
_Turn = tuple[str, int]
"""Key of a limit, and the number of a turn."""


class _Question(typing.NamedTuple):
    """Turns that an owner was asked for."""

    owner: str
    service: str
    turns: frozenset[_Turn]
    asked_at: float


class _ServiceState:
    """What an entry asks for the targets of one service."""

    def __init__(self) -> None:
        self.demand: typing.Final = arrivals.ArrivalRate(_DEMAND_WINDOW_S)
        # Turns that were asked for, so as not to do so again.
        self.asked: set[_Turn] = set()
        self.asked_at = -math.inf
        self.empty_at = -math.inf
        # Moving average of the share that is lent of what is asked for.
        self.lent_share = 1.0
        self.logged_at = -math.inf
        self.borrowed = 0
        self.refused = 0


class TurnLoans:
    """The turns that this entry borrows and lends."""

    def __init__(
        self,
        address: str,
        turns: request_turns.RequestTurns,
        table: limit_table.LimitTable,
        datagrams: peer_datagrams.PeerDatagrams,
        find_address: abc.Callable[[str], tuple[str, int]],
        list_keys: abc.Callable[[str], abc.Collection[str]],
        rng: random.Random,
    ) -> None:
        """Be the entry ``address``, with its ``turns`` under ``table``.

        ``find_address`` returns the address for datagrams of a member, and
        ``list_keys`` the keys of the limits that a service's targets may have.
        """
        self._address: typing.Final = address
        self._turns: typing.Final = turns
        self._table: typing.Final = table
        self._datagrams: typing.Final = datagrams
        self._find_address: typing.Final = find_address
        self._list_keys: typing.Final = list_keys
        self._rng: typing.Final = rng
        self._lending: typing.Final = turn_lending.TurnLending()
        self._services: typing.Final[dict[str, _ServiceState]] = {}
        self._questions: typing.Final[dict[int, _Question]] = {}
        self._numbers: typing.Final = itertools.count(1)
        self._answered = trio.Event()
        datagrams.add_handler("turns_wanted", self._handle_wanted)
        datagrams.add_handler("turns_lent", self._handle_lent)

    def note_wanted(self, service: str) -> None:
        """Count a request for a service, whether it is served or not."""
        if len(self._table):
            self._open(service).demand.note(trio.current_time())

    async def prepare(self, service: str) -> None:
        """Ask for the turns of the next moment, if any were lacking lately."""
        state = self._services.get(service)
        if state is None or not state.asked:
            return
        now = trio.current_time()
        is_due = now - state.asked_at >= _ASK_INTERVAL_S
        if is_due and self._may_ask(state, now):
            await self._ask(service, state, 0, now)

    async def find_more(
        self, service: str, waiting: int, until: float
    ) -> bool:
        """Ask for turns for ``waiting`` requests that have none.

        Returns True as soon as there may be more, at ``until`` at the latest,
        and False if no other entry is left to ask.
        """
        state = self._open(service)
        now = trio.current_time()
        answered = self._answered
        if self._may_ask(state, now):
            await self._ask(service, state, waiting, until)
        asked_at = max(
            (
                question.asked_at
                for question in self._questions.values()
                if question.service == service
            ),
            default=-math.inf,
        )
        now = trio.current_time()
        if now - asked_at > _QUESTION_KEPT_S:
            return False
        wait_s = max(asked_at + _ANSWER_S - now, _LEAST_WAIT_S)
        return await patience.wait_for(answered, min(wait_s, until - now))

    @staticmethod
    def _may_ask(state: _ServiceState, now: float) -> bool:
        """Tell whether a question is likely to bring turns."""
        if state.lent_share < _MIN_LENT_SHARE:
            return now - state.asked_at >= _REFUSED_INTERVAL_S
        return now - state.empty_at >= _EMPTY_INTERVAL_S

    def _open(self, service: str) -> _ServiceState:
        if service not in self._services:
            self._services[service] = _ServiceState()
        return self._services[service]

    def _list_clocks(
        self, service: str
    ) -> abc.Sequence[tuple[str, request_turns.TurnClock]]:
        """Return the limits of a service's targets with their keys."""
        found = (
            (key, self._table.find(key)) for key in self._list_keys(service)
        )
        return [(key, clock) for key, clock in found if clock is not None]

    # Borrowing.

    async def _ask(
        self, service: str, state: _ServiceState, waiting: int, until: float
    ) -> None:
        """Ask for as many turns as are lacking.

        Those for the ``waiting`` requests have to begin by ``until``.
        """
        now = trio.current_time()
        self._forget_old(now)
        clocks = self._list_clocks(service)
        if not clocks:
            state.asked.clear()
            return
        wanted_per_s = state.demand.measure_per_s(now)
        expected = wanted_per_s * _AHEAD_S
        soon = now + _AHEAD_S if expected >= 1 else until
        held = sum(
            self._turns.count_soon(key, clock, now, soon)
            for key, clock in clocks
        )
        pending = sum(
            len(question.turns)
            for question in self._questions.values()
            if question.service == service
            and now - question.asked_at < _ANSWER_S
        )
        lent_share = max(state.lent_share, _MIN_LENT_SHARE)
        lacking = waiting + expected - held
        needed = round(lacking / lent_share - pending)
        state.asked_at = now
        if needed <= 0:
            return
        chosen = self._choose_turns(state, clocks, now, soon, needed)
        if not chosen:
            state.empty_at = now
            return
        self._log(service, state, clocks, wanted_per_s, now)
        own_per_s = self._measure_own_per_s(clocks)
        for owner, asked in chosen.items():
            number = next(self._numbers)
            self._questions[number] = _Question(
                owner, service, frozenset(asked), now
            )
            message = {
                "type": "turns_wanted",
                "question": number,
                "member": self._address,
                "service": service,
                "per_s": max(0.0, wanted_per_s - own_per_s),
                "rows": _pack_turns(asked),
            }
            await self._datagrams.send(self._find_address(owner), message)

    def _choose_turns(
        self,
        state: _ServiceState,
        clocks: abc.Sequence[tuple[str, request_turns.TurnClock]],
        now: float,
        until: float,
        needed: int,
    ) -> abc.Mapping[str, abc.Sequence[_Turn]]:
        """Return turns that begin by a time, the next first, by owners.

        Those that have begun already are drawn at random, since several
        entries may ask for one each.
        """
        offered = [
            (
                max(now, clock.find_start(item.turn)),
                self._rng.random(),
                key,
                item,
            )
            for key, clock in clocks
            for item in self._turns.list_others(key, clock, now, until)
        ]
        state.asked &= {(key, item.turn) for _, _, key, item in offered}
        chosen: dict[str, list[_Turn]] = {}
        for _, _, key, item in sorted(offered):
            turn = (key, item.turn)
            if turn in state.asked:
                continue
            asked = chosen.setdefault(item.owner, [])
            if len(asked) < _MAX_TURNS:
                asked.append(turn)
                state.asked.add(turn)
                needed -= 1
            if not needed:
                break
        return chosen

    def _measure_own_per_s(
        self, clocks: abc.Iterable[tuple[str, request_turns.TurnClock]]
    ) -> float:
        return sum(
            self._turns.measure_own_per_s(key, clock) for key, clock in clocks
        )

    def _log(
        self,
        service: str,
        state: _ServiceState,
        clocks: abc.Sequence[tuple[str, request_turns.TurnClock]],
        wanted_per_s: float,
        now: float,
    ) -> None:
        if now - state.logged_at < _LOG_INTERVAL_S:
            return
        state.logged_at = now
        logs.log_event(
            events.TURNS_LACKING,
            service=service,
            wanted_per_s=wanted_per_s,
            own_per_s=round(self._measure_own_per_s(clocks), 3),
            all_per_s=round(sum(clock.per_s for _, clock in clocks), 3),
            borrowed=state.borrowed,
            refused=state.refused,
        )
        state.borrowed = 0
        state.refused = 0

    def _forget_old(self, now: float) -> None:
        for number, question in list(self._questions.items()):
            if now - question.asked_at > _QUESTION_KEPT_S:
                del self._questions[number]

    async def _handle_lent(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        question = self._questions.get(message["question"])
        if question is None or message["member"] != question.owner:
            return
        del self._questions[message["question"]]
        lent = question.turns & set(_unpack_turns(message["rows"]))
        for key, turn in lent:
            self._turns.borrow(key, turn)
        state = self._open(question.service)
        state.lent_share += _LENT_SHARE_WEIGHT * (
            len(lent) / len(question.turns) - state.lent_share
        )
        state.borrowed += len(lent)
        state.refused += len(question.turns) - len(lent)
        self._answered.set()
        self._answered = trio.Event()

    # Lending.

    async def _handle_wanted(
        self, message: _Message, sender: tuple[str, int]
    ) -> None:
        now = trio.current_time()
        service = message["service"]
        member = message["member"]
        clocks = dict(self._list_clocks(service))
        lent = []
        lacking_per_s = message["per_s"]
        # Whoever sends it, it may be no number, or one that is out of range.
        if clocks and 0 <= lacking_per_s <= _MAX_PER_S:
            self._lending.note_asked(service, member, lacking_per_s, now)
            kept_share = turn_lending.find_kept_share(
                self._open(service).demand.measure_per_s(now),
                self._measure_own_per_s(clocks.items()),
            )
            lent = [
                (key, turn)
                for key, turn in _unpack_turns(message["rows"])
                if key in clocks
                and self._lending.may_lend(
                    service, key, turn, member, kept_share
                )
                and self._turns.lend(key, clocks[key], turn, now)
            ]
        await self._datagrams.send(
            sender,
            {
                "type": "turns_lent",
                "question": message["question"],
                "member": self._address,
                "rows": _pack_turns(lent),
            },
        )


def _pack_turns(turns: abc.Iterable[_Turn]) -> abc.Sequence[_Message]:
    """Return the rows of a message with turns."""
    by_key: dict[str, list[int]] = {}
    for key, turn in turns:
        by_key.setdefault(key, []).append(turn)
    return [{"key": key, "turns": numbers} for key, numbers in by_key.items()]


def _unpack_turns(rows: abc.Iterable[_Message]) -> abc.Sequence[_Turn]:
    """Return the turns in the rows of a message, up to the most allowed."""
    turns = (
        (row["key"], turn)
        for row in rows
        for turn in row["turns"]
        if 0 <= turn <= _MAX_TURN
    )
    return list(itertools.islice(turns, _MAX_TURNS))
