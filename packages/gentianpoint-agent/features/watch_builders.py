"""Targets as their agent watches them."""

import typing

from gentianpoint_agent import target_watch

__all__ = ("SteadyTarget",)


class SteadyTarget(target_watch.TargetWatch):
    """A target that listens unless it is told to end."""

    has_ended = False

    async def check_listening(self) -> typing.Optional[bool]:
        """Tell whether it goes on."""
        return not self.has_ended
