"""What all placement policies have in common."""

import abc
from collections import abc as collections_abc

from gentianpoint_entry import agent_links

__all__ = ("PlacementPolicy",)


class PlacementPolicy(abc.ABC):
    """Chooses among the usable links of a service."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections_abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return one of ``candidates``, of which there is at least one.

        Must not wait, and must choose without any report.
        """
