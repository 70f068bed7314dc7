"""Placement: which agent a call is offered to."""

import abc
from collections import abc as collections_abc

from gentianpoint_entry import agent_links

__all__ = ("PlacementPolicy", "make_placement_policy")


class PlacementPolicy(abc.ABC):
    """Chooses among the usable links of a service."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections_abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return one of ``candidates``, of which there is at least one."""


class _RoundRobinPolicy(PlacementPolicy):
    """Takes the candidates in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self,
        candidates: collections_abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the next."""
        self._count += 1
        return candidates[self._count % len(candidates)]


class _FewestOutstandingPolicy(PlacementPolicy):
    """Takes the link with the fewest calls of this entry."""

    def choose(
        self,
        candidates: collections_abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return the one with the fewest open calls."""
        return min(candidates, key=lambda link: link.count_calls())


def make_placement_policy(name: str) -> PlacementPolicy:
    """Return the policy of a name that the settings allow."""
    if name == "round_robin":
        return _RoundRobinPolicy()
    return _FewestOutstandingPolicy()
