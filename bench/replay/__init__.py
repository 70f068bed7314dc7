"""Replays of loads on a virtual clock, through the entry's own decisions.

``python -m bench.replay`` plays engines, their notices, links and callers in
one process on a clock that jumps over waits, and sends every generation
through the code that serves it: choice of the target, backups, turns, moves
and refusals are those of :mod:`gentianpoint_entry.forwarding` and
:mod:`gentianpoint_agent`. A busy machine changes no figure, and one seed
gives the same figures every time. No byte crosses a network here, so what
sockets, parsers and processors cost is not in the figures.
"""
