"""Our choice of targets, and baselines that it is compared with."""

from collections import abc
import itertools
import typing
from unittest import mock

import trio

from gentianpoint_core.decisions import target_times
from gentianpoint_entry import crash_suspects
from gentianpoint_entry.forwarding import forwarder
from gentianpoint_entry.forwarding import requests
from gentianpoint_entry.forwarding import routes
from gentianpoint_entry.forwarding import target_selection
from gentianpoint_entry.forwarding import targets

__all__ = (
    "BEFORE",
    "OWN_ENDS",
    "POLICIES",
    "WITHOUT_ROOM_CONTROL",
    "WITHOUT_URGENCY",
)


class _MovesAlone(forwarder.Forwarder):
    """Our choice and moves, without backups."""

    def choose_backup(
        self, request: requests.CallerRequest, runner: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Back nothing up."""
        return None


class _NoMoves(_MovesAlone):
    """Our choice, without copies or moves."""

    def choose_destination(
        self, request: requests.CallerRequest, source: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Move nothing."""
        return None


class _SharedDestinations(forwarder.Forwarder):
    """Our choice, where engines that leave together share destinations."""

    def choose_destination(
        self, request: requests.CallerRequest, source: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Choose as if no other engine left."""
        with mock.patch.object(
            target_selection, "_RESERVED_DESTINATION_COST", 0.0
        ):
            return super().choose_destination(request, source)


class _RoundRobin(_NoMoves):
    """One target after another."""

    def __init__(self, *args: typing.Any, **more: typing.Any) -> None:
        super().__init__(*args, **{**more, "probes": None})
        self._turn: typing.Final = itertools.count(self.rng.randrange(7))

    def choose_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the next one that takes work."""
        found = self._list_open(request, excluded)
        return found[next(self._turn) % len(found)] if found else None

    def _list_open(
        self, request: requests.CallerRequest, excluded: abc.Collection[str]
    ) -> list[targets.Target]:
        return [
            item
            for item in self.registry.list_by_service(request.service.name)
            if item.target_id not in excluded and item.accepts_work()
        ]


class _FewestOutstanding(_RoundRobin):
    """The target with the fewest of this entry's own requests."""

    def choose_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Return the one with the fewest, drawn among equals."""
        return min(
            self._list_open(request, excluded),
            key=lambda item: (item.open_requests, self.rng.random()),
            default=None,
        )


class _AllBackups(forwarder.Forwarder):
    """Our choice, with a backup for each generation that fits anywhere."""

    def choose_backup(
        self, request: requests.CallerRequest, runner: targets.Target
    ) -> typing.Optional[targets.Target]:
        """Back up as far as there is room."""
        return target_selection.choose_copy_destination(
            self.registry.list_by_service(request.service.name),
            runner,
            request,
            self.count_entries(),
            trio.current_time(),
            self.rng,
            target_selection.MAX_USED_SHARE_FOR_MOVES,
        )


class _ReportsAlone(forwarder.Forwarder):
    """Our choice by the reports that entries pass on, asking no agent."""

    def __init__(self, *args: typing.Any, **more: typing.Any) -> None:
        super().__init__(*args, **{**more, "probes": None})


class _OwnPrompts(_ReportsAlone):
    """Our choice, by the prompts of this entry's own requests alone."""

    def choose_target(
        self,
        request: requests.CallerRequest,
        excluded: abc.Collection[str] = (),
    ) -> typing.Optional[targets.Target]:
        """Choose as if no report told of prompts that are unread."""
        for target in self.registry.list_by_service(request.service.name):
            target.prompt_tokens_since_report = 0
            if target.report is not None:
                target.report = target.report._replace(
                    pending_prefill_tokens=0
                )
        return super().choose_target(request, excluded)


class _AskedTwo(forwarder.Forwarder):
    """Our choice, asking the agents of two engines."""

    _probed_targets = 2


class _AskedThree(forwarder.Forwarder):
    """Our choice, asking the agents of three engines."""

    _probed_targets = 3


class _AskedSix(forwarder.Forwarder):
    """Our choice, asking the agents of six engines."""

    _probed_targets = 6


class _BestOfAll(_ReportsAlone):
    """Our choice by reports, as if no other entry sent anything."""

    def _estimate_other_arrivals_per_s(self, now: float) -> float:
        return 0.0


class _EvenPaces(forwarder.Forwarder):
    """Our choice, as if all engines had the same pace."""

    def _find_paces(
        self, service: routes.Service
    ) -> typing.Optional[target_times.ServicePaces]:
        return None


class _NeverRefused(forwarder.Forwarder):
    """Our choice, without knowing under which requests engines end."""

    def list_refused(
        self, request: requests.CallerRequest
    ) -> abc.Sequence[str]:
        """Refuse nothing."""
        return ()


class _RefusedSooner(forwarder.Forwarder):
    """Ours, with requests refused after two ends."""

    _most_ends = 2

    def list_refused(
        self, request: requests.CallerRequest
    ) -> abc.Sequence[str]:
        """Count ends to another number."""
        with mock.patch.object(crash_suspects, "_MAX_ENDS", self._most_ends):
            return super().list_refused(request)


class _RefusedAtOnce(_RefusedSooner):
    """Ours, with requests refused after one end."""

    _most_ends = 1


class _RefusedLater(_RefusedSooner):
    """Ours, with requests refused after five ends."""

    _most_ends = 5


OWN_ENDS: typing.Final = "own ends"
"""Ours, with each entry knowing only what it has seen itself."""
BEFORE: typing.Final = "before"
"""Ours without urgency, room control and paces."""
NO_URGENCY: typing.Final = "no urgency"
"""Ours, with engines that are told nothing of urgency."""
WITHOUT_URGENCY: typing.Final = (BEFORE, NO_URGENCY)
"""Policies that tell engines nothing of urgency."""
NO_ROOM_CONTROL: typing.Final = "no room control"
"""Ours, with entries that claim no room and let nothing wait for it."""
WITHOUT_ROOM_CONTROL: typing.Final = (BEFORE, NO_ROOM_CONTROL)
"""Policies that claim no room."""

POLICIES: typing.Final[abc.Mapping[str, type[forwarder.Forwarder]]] = {
    "ours": forwarder.Forwarder,
    "never refused": _NeverRefused,
    "refused after one end": _RefusedAtOnce,
    "refused after two ends": _RefusedSooner,
    "refused after five ends": _RefusedLater,
    OWN_ENDS: forwarder.Forwarder,
    "moves alone": _MovesAlone,
    "no moves": _NoMoves,
    "all backups": _AllBackups,
    "own prompts": _OwnPrompts,
    "shared destinations": _SharedDestinations,
    "best of all": _BestOfAll,
    "even paces": _EvenPaces,
    "reports alone": _ReportsAlone,
    "asking two": _AskedTwo,
    "asking three": _AskedThree,
    "asking six": _AskedSix,
    "fewest outstanding": _FewestOutstanding,
    "round robin": _RoundRobin,
    NO_URGENCY: forwarder.Forwarder,
    NO_ROOM_CONTROL: forwarder.Forwarder,
    BEFORE: _EvenPaces,
}
