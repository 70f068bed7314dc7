"""How much longer an engine's work takes, from moment to moment."""

import typing

from bench.replay import shapes

__all__ = ("EVEN", "Slowness")


class Slowness(typing.NamedTuple):
    """What makes one engine slow, and when.

    >>> swapped = Slowness(0.5, later_factor=2.0, swapped_at=10.0)
    >>> swapped.find_factor(9.0, 0.0), swapped.find_factor(10.0, 0.0)
    (0.5, 2.0)
    """

    factor: float = 1.0
    """Factor of the time that work takes."""
    later_factor: float = 1.0
    """The factor from ``swapped_at`` on."""
    swapped_at: float = float("inf")
    """Trio time at which the factor changes."""
    phases: shapes.SlowPhases = shapes.SlowPhases()
    """Phases in which work takes longer still."""
    phase_offset_s: float = 0.0
    """Time by which the phases of this engine precede those of others."""
    full_share: float = 2.0
    """Share of the memory in use from which work takes longer; over 1 for
    never."""
    full_factor: float = 1.0
    """Times that work takes longer then."""

    def find_factor(self, now: float, used_share: float) -> float:
        """Return the factor of the time that a step takes now."""
        is_swapped = now >= self.swapped_at
        factor = self.later_factor if is_swapped else self.factor
        if self.phases.share:
            period_s = self.phases.length_s / self.phases.share
            passed_s = (now + self.phase_offset_s) % period_s
            if passed_s < self.phases.length_s:
                factor *= self.phases.factor
        if used_share >= self.full_share:
            factor *= self.full_factor
        return factor


EVEN: typing.Final = Slowness()
"""An engine that is never slow."""
