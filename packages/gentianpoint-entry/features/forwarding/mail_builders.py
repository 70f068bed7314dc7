"""Datagrams between the entries of a played fleet."""

from collections import abc
import typing

from gentianpoint_core import codec
from gentianpoint_core import option_types
from gentianpoint_entry.forwarding import peer_datagrams

__all__ = ("FleetMail",)

Deliver = abc.Callable[[tuple[str, int], bytes, tuple[str, int]], None]
"""Delivers a datagram to an address, from another one."""


class FleetMail(peer_datagrams.PeerDatagrams):
    """One entry's datagrams to the others, and how many they are."""

    def __init__(self, deliver: Deliver, address: str) -> None:
        """Send from ``address``, IP:PORT, by ``deliver``."""
        super().__init__()
        self._deliver: typing.Final = deliver
        self._address: typing.Final = option_types.split_address(address)
        self.sent = 0
        self.sent_bytes = 0

    async def send(
        self,
        address: tuple[str, int],
        message: abc.Mapping[str, typing.Any],
    ) -> None:
        """Encode a message and let it be delivered."""
        data = codec.encode_message(message)
        self.sent += 1
        self.sent_bytes += len(data)
        self._deliver(address, data, self._address)
