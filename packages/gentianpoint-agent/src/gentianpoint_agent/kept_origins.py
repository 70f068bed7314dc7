"""Keeps where streams began, for entries that start again.

Entries tell this agent of some of their streams and ask it once they don't
know themselves, as after an end of all of them.
"""

from collections import abc
import typing

import trio

from gentianpoint_core import origin_table

__all__ = ("KeptOrigins",)

_PRUNE_S: typing.Final = 5.0
"""Seconds between removals of records whose callers no longer wait."""
_Message = abc.Mapping[str, typing.Any]


class KeptOrigins:
    """The records of one agent."""

    def __init__(self, address: str) -> None:
        """Answer as the agent at ``address``, by which entries know it."""
        self._address: typing.Final = address
        self._table: typing.Final = origin_table.OriginTable()
        self._prune_at = 0.0

    def keep(self, message: _Message) -> None:
        """Keep the records of an ``origins_told`` message."""
        now = trio.current_time()
        if now >= self._prune_at:
            self._table.prune(now)
            self._prune_at = now + _PRUNE_S
        for record in origin_table.unpack_records(message["rows"], now):
            self._table.put(record)

    def answer(self, message: _Message) -> _Message:
        """Return the answer to an ``origin_wanted`` message.

        Which versions serve is not known here.
        """
        answer: dict[str, typing.Any] = {
            "type": "origin_found",
            "question": message["question"],
            "member": self._address,
            "sole_software": "",
            "current": False,
        }
        origin = self._table.find(message["key"], trio.current_time())
        if origin is not None:
            answer["origin"] = origin._asdict()
        return answer
