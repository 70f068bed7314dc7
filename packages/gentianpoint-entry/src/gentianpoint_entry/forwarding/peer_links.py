"""One connection to another entry, and the log's topics as that one has them.

An entry that the log does not serve, or that left a reading to another one,
takes records from those that have them.
"""

from collections import abc
import itertools
import typing

import trio

from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_entry.forwarding import gossip_state
from gentianpoint_entry.forwarding import topic_follower

__all__ = ("PeerLink", "PeerTopic", "find_records")

_MOST_OFFSET: typing.Final = (1 << 63) - 1
_Message = abc.Mapping[str, typing.Any]


class PeerLink:
    """A connection to another entry, seen from this one."""

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
        self.news: typing.Final = gossip_state.LinkState(trio.current_time())
        self._numbers: typing.Final = itertools.count(1)
        self._waiting: typing.Final[
            dict[int, trio.MemorySendChannel[_Message]]
        ] = {}

    async def ask_records(
        self, topic: str, start: int, within_ms: float
    ) -> _Message:
        """Return the records of a topic from ``start`` on.

        Raises :class:`ports.PortError` when they don't come in time.
        """
        number = next(self._numbers)
        send, receive = trio.open_memory_channel[_Message](1)
        self._waiting[number] = send
        try:
            with trio.fail_after(within_ms / 1000):
                await self.connection.send(
                    {
                        "type": "records_wanted",
                        "number": number,
                        "topic": topic,
                        "start": start,
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
            self._waiting.pop(number, None)

    def take_answer(self, message: _Message) -> None:
        """Give an answer to whoever waits for it."""
        waiting = self._waiting.pop(message["number"], None)
        if waiting is not None:
            waiting.send_nowait(message)


class PeerTopic(ports.KeyedTopic):
    """A topic as another entry holds it."""

    def __init__(self, link: PeerLink, topic: str) -> None:
        """Ask for ``topic`` over ``link``."""
        self._link: typing.Final = link
        self._topic: typing.Final = topic

    async def read_newest(self, within_ms: float) -> ports.KeyedSlice:
        """Return the newest record of every key; see the base class."""
        # From before the first offset on, no entry has all records.
        return self._decode(
            await self._link.ask_records(self._topic, 0, within_ms)
        )

    async def read_changes(
        self, start: int, wait_ms: int, within_ms: float
    ) -> ports.KeyedSlice:
        """Return what the other entry has beyond ``start``."""
        answer = await self._link.ask_records(self._topic, start, within_ms)
        found = self._decode(answer)
        if found.end <= start:
            return ports.KeyedSlice((), start)
        if answer["whole"]:
            # What was dropped in between shows only in the whole state.
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
        if answer["end"] > _MOST_OFFSET:
            raise ports.PortError(
                "ask for records",
                self._link.address,
                "the end is no offset",
                took_effect=False,
            )
        records = [
            ports.KeyedRecord(
                item["key"], item["value"] or None, item["offset"]
            )
            for item in answer["records"]
        ]
        return ports.KeyedSlice(records, answer["end"])


def find_records(
    message: _Message,
    follower: typing.Optional[topic_follower.TopicFollower],
) -> _Message:
    """Return the answer to a ``records_wanted`` message.

    It has what was written since, where that is still kept, and the newest
    record of every key where it is not.
    """
    end = None if follower is None else follower.next_offset
    records: abc.Iterable[ports.KeyedRecord] = ()
    is_whole = False
    if follower is not None and (end or 0) > message["start"]:
        changes = follower.list_changes(message["start"])
        is_whole = not message["start"] or changes is None
        records = follower.newest.values()
        if not is_whole:
            records = changes or ()
    return {
        "type": "records_found",
        "number": message["number"],
        "known": end is not None,
        "end": end or 0,
        "whole": is_whole,
        "records": [
            {
                "key": record.key,
                # Nobody writes a record of no bytes: it stands for a removal.
                "value": record.value or b"",
                "offset": record.offset,
            }
            for record in records
        ],
    }
