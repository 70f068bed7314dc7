"""Assigns destinations to the targets that leave at the same time.

If several engines get notice at once, the entries would move all of their
generations to the few engines that look emptiest. Copies to one engine queue
on its link, so most of a notice of two seconds passes, and generations pause
or are lost. Therefore each leaving engine has its own destinations, by a rule
that all entries compute alike from the same list.
"""

from collections import abc

from gentianpoint_entry.forwarding import targets

__all__ = ("list_reserved_for_others",)


def list_reserved_for_others(
    runner: targets.Target, listed: abc.Iterable[targets.Target]
) -> abc.Collection[str]:
    """Return the targets that are destinations of others than ``runner``.

    A data centre's targets are divided among those that leave it or, if none
    does, among all that leave.
    """
    known = sorted(listed, key=lambda target: target.target_id)
    leaving = [
        target for target in known if target is runner or _is_leaving(target)
    ]
    if len(leaving) < 2:
        return frozenset()
    staying: dict[str, list[targets.Target]] = {}
    for target in known:
        if target.accepts_work():
            staying.setdefault(target.entry.data_centre, []).append(target)
    others: set[str] = set()
    for data_centre, here in staying.items():
        near = [
            target
            for target in leaving
            if target.entry.data_centre == data_centre
        ]
        sharing = near or leaving
        for number, target in enumerate(here):
            if sharing[number % len(sharing)] is not runner:
                others.add(target.target_id)
    return others


def _is_leaving(target: targets.Target) -> bool:
    return not (target.is_gone or target.is_replaced or target.accepts_work())
