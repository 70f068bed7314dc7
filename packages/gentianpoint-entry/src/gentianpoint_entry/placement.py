"""The placement policies by the names that the settings allow."""

from collections import abc
import random
import typing

from gentianpoint_entry import agent_links
from gentianpoint_entry import placement_policy
from gentianpoint_entry import two_choices_placement

__all__ = ("make_placement_policy",)


class _RoundRobinPolicy(placement_policy.PlacementPolicy):
    """Takes the candidates in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the next."""
        self._count += 1
        return candidates[self._count % len(candidates)]


class _FewestOutstandingPolicy(placement_policy.PlacementPolicy):
    """Takes the link with the fewest calls of this entry."""

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the one with the fewest open calls."""
        return min(candidates, key=lambda link: link.count_calls())


def make_placement_policy(
    name: str, data_centre: str, seed: typing.Optional[str] = None
) -> placement_policy.PlacementPolicy:
    """Return the policy of a name that the settings allow.

    ``data_centre`` is the entry's own; ``seed`` makes the choices the same
    each time.
    """
    match name:
        case "round_robin":
            return _RoundRobinPolicy()
        case "fewest_outstanding":
            return _FewestOutstandingPolicy()
        case _:
            return two_choices_placement.TwoChoicesPolicy(
                data_centre, random.Random(seed)
            )
