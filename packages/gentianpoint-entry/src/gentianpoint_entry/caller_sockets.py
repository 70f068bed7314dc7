"""Sockets on which callers connect, bounded in time and memory.

A caller's device that sleeps, or whose network has lost the connection,
takes nothing for good. The server would wait for it in a write without end,
and hold its call, its tokens and the process's shutdown. The system gives
such a connection up when sent bytes were not taken for a time, whether the
caller's host is silent or has no room for them; one on which nothing is sent
is probed. The server sees a reset then, and closes the call.
"""

import socket
import typing

import hypercorn.config

__all__ = ("CallerConfig",)

_MS_IN_S: typing.Final = 1000
_PROBES: typing.Final = 3
# Left to itself the kernel lets a connection grow to megabytes of unread
# tokens. This is some thousand tokens, and 20 MB/s at 3 ms one way.
_SEND_BYTES: typing.Final = 64 * 1024


class CallerConfig(hypercorn.config.Config):
    """The server's configuration with bounded sockets."""

    silence_ms = 0
    """Time for which a caller may take nothing, milliseconds; 0 for ever."""

    def create_sockets(self) -> hypercorn.config.Sockets:
        """Make the listening sockets; accepted ones inherit the bounds."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            self._bound(listener)
        return sockets

    def _bound(self, listener: socket.socket) -> None:
        probe_s = max(1, self.silence_ms // _MS_IN_S // _PROBES)
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BYTES),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.silence_ms),
        ):
            listener.setsockopt(level, option, value)
