"""Caller sockets with a send timeout, keepalive and a small send buffer.

A caller whose device sleeps, or whose network lost the connection, may never
read again. The server would block in a write for ever, keeping the call, its
tokens and the process's shutdown waiting. So the kernel resets a connection
on which sent bytes stay unacknowledged for some time, because the caller's
host is silent or its receive window is full, and probes idle connections.
After the reset the server closes the call.
"""

import socket
import typing

import hypercorn.config

__all__ = ("CallerConfig",)

_MS_PER_S: typing.Final = 1000
_PROBE_COUNT: typing.Final = 3
# The kernel's autotuned buffer would hold megabytes of unread tokens. This
# size holds some thousand tokens, and allows 20 MB/s at 3 ms one-way delay.
_SEND_BUFFER_BYTES: typing.Final = 64 * 1024

_RECEIVE_BUFFER_BYTES: typing.Final = 32 * 1024
"""Size of the buffer for what a caller has sent and nobody has read."""


class CallerConfig(hypercorn.config.Config):
    """Hypercorn's configuration, with options set on caller sockets."""

    silence_ms = 0
    """Longest time for which sent bytes may stay unread, milliseconds; 0 for
    no limit."""

    def create_sockets(self) -> hypercorn.config.Sockets:
        """Create the listening sockets; accepted ones inherit the options."""
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            self._set_options(listener)
        return sockets

    def _set_options(self, listener: socket.socket) -> None:
        probe_s = max(1, self.silence_ms // _MS_PER_S // _PROBE_COUNT)
        for level, option, value in (
            (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
            (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, probe_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, probe_s),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self.silence_ms),
        ):
            listener.setsockopt(level, option, value)
