"""A connection to another entry, and that entry's copies of the log's topics.

An entry reads records from other entries if the log does not answer it, or
if it left it to another entry to poll the log.
"""

from collections import abc
import itertools
import typing

import trio

from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("PeerLink", "PeerTopic", "make_records_answer")

_MAX_OFFSET: typing.Final = (1 << 63) - 1
"""Highest offset that a peer may give, the largest signed 64-bit number."""
_START: typing.Final = ports.LogPosition(0, 0)
"""No entry keeps all records from there on, so the answer is the latest record
of every key."""
_Message = abc.Mapping[str, typing.Any]


class PeerLink:
    """This entry's end of a connection to another entry."""

    def __init__(
        self,
        connection: peer_connections.PeerConnection,
        *,
        is_dialled: bool,
    ) -> None:
        """Use ``connection``, which this entry opened if ``is_dialled``."""
        self.connection: typing.Final = connection
        self.is_dialled: typing.Final = is_dialled
        self.address = ""
        self.gossip: typing.Final = gossip_state.LinkState(trio.current_time())
        self._request_numbers: typing.Final = itertools.count(1)
        self._pending: typing.Final[
            dict[int, trio.MemorySendChannel[_Message]]
        ] = {}

    async def request_records(
        self, topic: str, start: ports.LogPosition, within_ms: float
    ) -> _Message:
        """Return the other entry's answer with the records from ``start`` on.

        Raises :class:`ports.PortError` if there is none in ``within_ms``
        milliseconds.
        """
        number = next(self._request_numbers)
        send, receive = trio.open_memory_channel[_Message](1)
        self._pending[number] = send
        try:
            with trio.fail_after(within_ms / 1000):
                await self.connection.send(
                    {
                        "type": "records_wanted",
                        "number": number,
                        "topic": topic,
                        "era": start.era,
                        "start": start.offset,
                    }
                )
                return await receive.receive()
        except (
            trio.TooSlowError,
            trio.EndOfChannel,
            peer_connections.PeerConnectionError,
        ) as error:
            raise ports.PortError(
                "ask for records", self.address, repr(error), took_effect=False
            ) from error
        finally:
            self._pending.pop(number, None)

    def deliver_answer(self, message: _Message) -> None:
        """Pass an answer to the request that waits for it, if one does."""
        pending = self._pending.pop(message["number"], None)
        if pending is not None:
            pending.send_nowait(message)


class PeerTopic(ports.KeyedTopic):
    """Another entry's copy of a topic."""

    def __init__(self, link: PeerLink, topic: str) -> None:
        """Request the records of ``topic`` over ``link``."""
        self._link: typing.Final = link
        self._topic: typing.Final = topic

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return the latest record of every key; see the base class."""
        return self._decode(
            await self._link.request_records(self._topic, _START, within_ms)
        )

    async def read_changes(
        self, start: ports.LogPosition, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return the other entry's records from ``start`` on."""
        answer = await self._link.request_records(
            self._topic, start, within_ms
        )
        found = self._decode(answer)
        if found.position <= start:
            return ports.KeyedSlice((), start.offset, start.era)
        if answer["whole"]:
            # Keys removed since ``start`` show only by their absence from
            # the snapshot, so the caller has to read that.
            raise ports.RecordsExpiredError(self._topic)
        return found

    def _decode(self, answer: _Message) -> ports.KeyedSlice:
        if not answer["known"]:
            raise ports.PortError(
                "ask for records",
                self._link.address,
                "the peer has not read the topic either",
                took_effect=False,
            )
        if max(answer["end"], answer.get("era", 0)) > _MAX_OFFSET:
            raise ports.PortError(
                "ask for records",
                self._link.address,
                "the end offset or the era is out of range",
                took_effect=False,
            )
        era = answer.get("era", 0)
        records = [
            ports.KeyedRecord(
                item["key"], item["value"] or None, item["offset"], era
            )
            for item in answer["records"]
        ]
        return ports.KeyedSlice(records, answer["end"], era)


def make_records_answer(
    message: _Message,
    follower: typing.Optional[topic_follower.TopicFollower],
) -> _Message:
    """Return the ``records_found`` answer to a ``records_wanted`` message.

    It has the records from the requested start on if they are still kept,
    else the latest record of every key.
    """
    end = None if follower is None else follower.position
    start = ports.LogPosition(message.get("era", 0), message["start"])
    records: abc.Iterable[ports.KeyedRecord] = ()
    is_snapshot = False
    if follower is not None and end is not None and end > start:
        changes = follower.list_changes(start)
        is_snapshot = start == _START or changes is None
        records = follower.latest_by_key.values()
        if not is_snapshot:
            records = changes or ()
    return {
        "type": "records_found",
        "number": message["number"],
        "known": end is not None,
        "era": end.era if end else 0,
        "end": end.offset if end else 0,
        "whole": is_snapshot,
        "records": [
            {
                "key": record.key,
                # No record has an empty value, so one marks a removal.
                "value": record.value or b"",
                "offset": record.offset,
            }
            for record in records
        ],
    }
