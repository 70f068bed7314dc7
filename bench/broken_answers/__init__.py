"""Targets that send broken answers, in front of which real entries serve."""

__all__ = ()
