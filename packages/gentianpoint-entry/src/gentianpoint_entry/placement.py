"""Placement policies by their names in the settings."""

from collections import abc
import random
import typing

from gentianpoint_entry import agent_links
from gentianpoint_entry import placement_policy
from gentianpoint_entry import two_choices_placement

__all__ = ("make_placement_policy",)


class _RoundRobinPolicy(placement_policy.PlacementPolicy):
    """Selects the candidates in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the next candidate."""
        self._count += 1
        return candidates[self._count % len(candidates)]


class _FewestOutstandingPolicy(placement_policy.PlacementPolicy):
    """Selects the link with the fewest open calls of this entry."""

    def choose(
        self,
        candidates: abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the candidate with the fewest open calls."""
        return min(candidates, key=lambda link: link.count_calls())


def make_placement_policy(
    name: str, data_centre: str, seed: typing.Optional[str] = None
) -> placement_policy.PlacementPolicy:
    """Return the policy with a name that the settings allow.

    ``data_centre`` is the entry's own. A ``seed`` makes the random choices
    reproducible.
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
