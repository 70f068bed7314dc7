"""Decisions under load, without input or output.

Each module holds one decision and tells which load it answers. Callers pass in
what they know and the time, so that a decision can be replayed on a virtual
clock. The platform's forwarding and the own interface use the same ones.
"""

__all__ = ()
