"""Builds engines of given speeds that are sent generations one by one."""

from collections import abc
import random
import typing

import forwarding_builders
import topic_builders

from gentianpoint_core.decisions import target_times
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = ("PaceFleet", "make_long_request")

_STEP_US: typing.Final = 9000
_PREFILL_US_PER_K: typing.Final = 150_000
_MEMORY_TOKENS: typing.Final = 27_000
_PROMPT_TOKENS: typing.Final = 2500
_EVENT_TOKENS: typing.Final = 4
_EVENTS: typing.Final = 60


def make_long_request() -> requests.CallerRequest:
    """Return a request for a long answer."""

    async def make() -> requests.CallerRequest:
        route = forwarding_builders.make_route(routes.RouteKind.STREAM)
        engine = forwarding_builders.ENGINE._replace(
            memory_tokens=_MEMORY_TOKENS, event_tokens=_EVENT_TOKENS
        )
        request = forwarding_builders.make_request(
            route._replace(objective_ms=1800.0, gap_objective_ms=180.0), engine
        )
        return request._replace(
            prompt_tokens=_PROMPT_TOKENS,
            likely_output_tokens=_EVENTS * _EVENT_TOKENS,
        )

    return topic_builders.run_on_mock_clock(make)


class _PacedEngine:
    """One engine, whose backlog and generations follow from its speed."""

    def __init__(self, number: int, speed: float, *, is_known: bool) -> None:
        self.speed: typing.Final = speed
        self._is_known: typing.Final = is_known
        self.target: typing.Final = targets.Target(
            forwarding_builders.make_entry(f"engine-{number}"), 0.0
        )
        self._free_at = 0.0
        self._ends: list[float] = []

    def take(self, now: float) -> None:
        """Begin a generation."""
        prefill_s = _PROMPT_TOKENS * _PREFILL_US_PER_K * self.speed / 1e9
        self._free_at = max(now, self._free_at) + prefill_s
        steps = _EVENTS * _EVENT_TOKENS
        steps_s = steps * _STEP_US * self.speed / 1e6
        self._ends.append(self._free_at + steps_s)

    def report(self, now: float) -> None:
        """Let the target have the present report."""
        self._ends = [at for at in self._ends if at > now]
        unread_s = max(0.0, self._free_at - now)
        tokens = unread_s * 1e9 / (_PREFILL_US_PER_K * self.speed)
        step_us = round(_STEP_US * self.speed) * self._is_known
        prefill = round(_PREFILL_US_PER_K * self.speed) * self._is_known
        report = targets.EngineReport(
            sampled_at=now,
            running=len(self._ends),
            waiting=0,
            used_tokens=len(self._ends) * _PROMPT_TOKENS,
            total_tokens=_MEMORY_TOKENS,
            is_leaving=False,
            leaves_at=None,
            is_silent=False,
            pending_prefill_tokens=round(tokens),
            step_us=step_us,
            prefill_us_per_k=prefill,
        )
        self.target.take_report(report)


class PaceFleet:
    """Engines of several speeds behind one entry."""

    def __init__(
        self, speeds: abc.Sequence[float], new: abc.Collection[int] = ()
    ) -> None:
        """Start idle; engines with the numbers ``new`` have no pace yet."""
        self._engines: typing.Final = [
            _PacedEngine(number, speed, is_known=number not in new)
            for number, speed in enumerate(speeds)
        ]
        self.request: typing.Final = make_long_request()
        self.now = 0.0

    def report(self) -> None:
        """Let all agents report."""
        for engine in self._engines:
            engine.report(self.now)

    def list_targets(self) -> list[targets.Target]:
        """Return the engines as an entry sees them."""
        return [engine.target for engine in self._engines]

    def send(
        self,
        count: int,
        per_s: float,
        paces: typing.Optional[target_times.ServicePaces],
        *,
        with_reports: bool = True,
    ) -> list[int]:
        """Send generations, and return the number of each one's engine."""
        rng = random.Random(3)
        found = []
        known = {engine.target.target_id: engine for engine in self._engines}
        for _ in range(count):
            if with_reports:
                self.report()
            listed = self.list_targets()
            if paces is not None:
                paces.update(target_selection.list_paces(listed))
            chosen = target_selection.choose_target(
                listed,
                self.request,
                forwarding_builders.DATA_CENTRE,
                1,
                self.now,
                rng,
                other_arrivals_per_s=per_s,
                paces=paces,
            )
            assert chosen is not None
            engine = known[chosen.target_id]
            engine.take(self.now)
            if not with_reports:
                tokens = target_selection.count_tokens(self.request)
                chosen.note_sent(self.now, tokens, _PROMPT_TOKENS)
            found.append(self._engines.index(engine))
            self.now += 1 / per_s
        return found
