"""Interface of the placement policies."""

import abc
from collections import abc as collections_abc

from gentianpoint_entry import agent_links

__all__ = ("PlacementPolicy",)


class PlacementPolicy(abc.ABC):
    """Chooses the link for a call among the usable links of a service."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections_abc.Sequence[agent_links.AgentLink],
        prompt: str,
    ) -> agent_links.AgentLink:
        """Return one of the ``candidates``, which are never empty.

        An implementation must not block. It must also work while no agent
        has sent a load report to this entry.
        """
