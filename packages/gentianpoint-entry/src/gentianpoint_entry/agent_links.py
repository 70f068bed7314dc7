"""Connections from this entry to agents.

Each agent that the entry connects to has one task, which connects, serves
the connection and reconnects after it is lost. All calls to the agent share
its connection, and each call receives its messages on a bounded channel.
"""

from collections import abc
import typing

import trio
import websockets.exceptions
import websockets.trio.client

from gentianpoint_core import codec
from gentianpoint_core import deadlines
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import ports
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages
from gentianpoint_entry import link_settings

__all__ = ("AgentLink", "LinkCall")

_CLOSE_TIMEOUT_S: typing.Final = 0.2
"""Time limit for the closing handshake, in seconds."""
_OPEN_TIMEOUT_S: typing.Final = 2
"""Time limit for opening a connection, in seconds."""
_INITIAL_BACKOFF_S: typing.Final = 0.05
"""Pause before the first reconnect, in seconds; doubled each time."""
_MAX_BACKOFF_S: typing.Final = 1.0
"""Longest pause between two reconnects, in seconds."""
_RECOVERY_TIMEOUT_MS: typing.Final = 5000
"""Time for which a lost link counts as recovering, in milliseconds."""
_EXTRA_CHANNEL_SLOTS: typing.Final = 16
"""Channel capacity beyond the window, for messages without items."""
_MAX_REFUSAL_MS: typing.Final = 1000
"""Longest time for which a refusal counts, in milliseconds."""
_FINAL_MESSAGE_TYPES: typing.Final = frozenset(
    ("ended", "refused", "prepared", "cancelled")
)


def _is_connection_refused(error: BaseException) -> bool:
    """Tell whether connecting failed because no process listens."""
    causes = getattr(error.__cause__, "exceptions", (error.__cause__, error))
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)


class LinkCall:
    """One call on a link, with the messages that the agent sent for it."""

    def __init__(self, link: "AgentLink", number: int, window: int) -> None:
        """Make the call ``number`` of the connection.

        ``window`` is the number of items that may be in flight.
        """
        self.link: typing.Final = link
        self.number: typing.Final = number
        self._sender: trio.MemorySendChannel[codec.MessageMap]
        self._receiver: trio.MemoryReceiveChannel[codec.MessageMap]
        self._sender, self._receiver = trio.open_memory_channel(
            window + _EXTRA_CHANNEL_SLOTS
        )

    async def receive(self) -> typing.Optional[codec.MessageMap]:
        """Return the next message, or None after the link was lost."""
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            return None

    def enqueue(self, message: codec.MessageMap) -> None:
        """Add a message to the channel.

        Raises :class:`peer_connections.PeerConnectionError` when the agent
        sent more than the window allows.
        """
        try:
            self._sender.send_nowait(message)
        except trio.WouldBlock as error:
            raise peer_connections.PeerConnectionError(
                "receive items",
                self.link.host.host,
                "the agent sent more than the window",
            ) from error
        except trio.BrokenResourceError:
            return

    def mark_lost(self) -> None:
        """End the channel, so that the receiver sees the link as lost."""
        self._sender.close()

    def stop_receiving(self) -> None:
        """Drop later messages; those in the channel can still be read."""
        self.link.forget_call(self.number)
        self.mark_lost()

    def close(self) -> None:
        """Close the channel and drop all messages of the call."""
        self._receiver.close()
        self.link.forget_call(self.number)


class AgentLink:
    """The connection to one agent, reopened whenever it is lost."""

    def __init__(
        self,
        host: ports.Host,
        settings: link_settings.LinkSettings,
        notify: abc.Callable[[], None],
        links: int = 1,
    ) -> None:
        """Make the link to ``host``; :meth:`run` connects.

        ``notify`` is called when the link connects, is lost or fails to
        connect. ``links`` is the number of links of this entry, from which
        the interval between the agent's reports is computed.
        """
        self.host = host
        self.links = links
        self.welcome: typing.Optional[messages.Welcome] = None
        self.report: typing.Optional[messages.Report] = None
        self.report_received = deadlines.Deadline(0.0)
        self.sent_since_report = 0
        self.refused_until = deadlines.Deadline(0.0)
        self.prefixes: frozenset[int] = frozenset()
        self.leaving = False
        self.is_evacuated = False
        self.failures = 0
        self._settings: typing.Final = settings
        self._connection: typing.Optional[peer_connections.PeerConnection] = (
            None
        )
        self._calls: typing.Final[dict[int, LinkCall]] = {}
        self._unfinished_calls: typing.Final[set[int]] = set()
        self._last_call = 0
        self._notify: typing.Final = notify
        self._sent_offset = 0
        self._unchanged_offset = 0
        self._confirmed_offset = 0
        self._connection_refused = False
        self._recover_by = deadlines.Deadline(0.0)

    def is_usable(self) -> bool:
        """Tell whether new calls can be offered on the link."""
        return (
            self.is_connected()
            and not self.leaving
            and not self.is_evacuated
            and not self.refuses_as_evacuated()
        )

    def refuses_as_evacuated(self) -> bool:
        """Tell whether the agent reports that its data centre is evacuated.

        It may have heard of that from another entry, while this one can't
        read the log.
        """
        return self.report is not None and self.report.get("evacuated", False)

    def is_connected(self) -> bool:
        """Tell whether a connection is open and its handshake is done."""
        return self._connection is not None

    def count_calls(self) -> int:
        """Return the number of open calls."""
        return len(self._calls)

    def is_recovering(self) -> bool:
        """Tell whether the link was lost a moment ago and may soon reconnect.

        After a network cut the agent can be reached again at once. When its
        process has ended, its host refuses connections, and the link does
        not count as recovering.
        """
        return (
            not self.is_connected()
            and not self._connection_refused
            and not self._recover_by.is_past()
        )

    async def run(
        self, configure: abc.Callable[["AgentLink"], abc.Awaitable[None]]
    ) -> None:
        """Connect and reconnect until cancelled.

        ``configure`` runs concurrently with each connection and sends the
        agent its configuration.
        """
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            was_connected = await self._connect_and_serve(configure)
            self.failures = 0 if was_connected else self.failures + 1
            self._notify()
            backoff_s = _INITIAL_BACKOFF_S if was_connected else backoff_s * 2
            await trio.sleep(min(backoff_s, _MAX_BACKOFF_S))

    async def _connect_and_serve(
        self, configure: abc.Callable[["AgentLink"], abc.Awaitable[None]]
    ) -> bool:
        handshake_done = False
        try:
            async with websockets.trio.client.connect(
                f"ws://{self.host.address}/",
                additional_headers={
                    peer_connections.PEER_KEY_HEADER: self._settings.peer_key
                },
                compression=None,
                ping_interval=None,
                proxy=None,
                open_timeout=_OPEN_TIMEOUT_S,
                close_timeout=_CLOSE_TIMEOUT_S,
                max_size=self._settings.max_message_bytes,
            ) as websocket:
                connection = peer_connections.PeerConnection(
                    websocket,
                    self.host.host,
                    self._settings.heartbeat_ms,
                    self._settings.silence_ms,
                )
                await self._greet(connection)
                handshake_done = True
                await self._serve(connection, configure)
        except* peer_connections.PeerConnectionError as group:
            self._log_loss(handshake_done, group.exceptions[0])
        except* (OSError, websockets.exceptions.WebSocketException) as group:
            self._connection_refused = _is_connection_refused(
                group.exceptions[0]
            )
            self._log_loss(handshake_done, group.exceptions[0])
        return handshake_done

    def _log_loss(self, handshake_done: bool, error: BaseException) -> None:
        if self.failures > 0 and not handshake_done:
            return  # Only the first of consecutive failures is logged.
        logs.log_event(
            events.CONNECTION_LOST
            if handshake_done
            else events.CONNECTION_REFUSED,
            step=getattr(error, "step", "connect"),
            peer=self.host.host,
            address=self.host.address,
            reason=str(error),
        )

    async def _greet(
        self, connection: peer_connections.PeerConnection
    ) -> None:
        await connection.send(
            {
                "type": "hello",
                "version": codec.PROTOCOL_VERSION,
                "oldest_version": codec.OLDEST_VERSION,
                "peer": self._settings.name,
                "incarnation": self._settings.incarnation,
                "data_centre": self._settings.data_centre,
                "offset": 0,
                "window": self._settings.window,
                "report_ms": link_settings.compute_report_ms(
                    self.links * self._settings.processes_on_host
                ),
            }
        )
        with trio.move_on_after(self._settings.silence_ms / 1000):
            answer = await connection.receive()
            if answer["type"] == "welcome":
                welcome = typing.cast(messages.Welcome, answer)
                self._check_welcome(welcome)
                self.welcome = welcome
                self.leaving = welcome["leaving"]
                return
            raise peer_connections.PeerConnectionError(
                "greet",
                self.host.host,
                str(answer.get("reason", answer["type"])),
            )
        raise peer_connections.PeerConnectionError(
            "greet", self.host.host, "no welcome received in time"
        )

    def _check_welcome(self, welcome: messages.Welcome) -> None:
        reason = ""
        supported = range(codec.OLDEST_VERSION, codec.PROTOCOL_VERSION + 1)
        if welcome["version"] not in supported:
            reason = f"unsupported protocol version {welcome['version']}"
        elif welcome["target"] != self.host.target:
            # The host list may be out of date: if the address now belongs to
            # another target's agent, that agent must not get these calls.
            reason = f"the agent serves target {welcome['target']}"
        if reason:
            raise peer_connections.PeerConnectionError(
                "greet", self.host.host, reason
            )

    async def _serve(
        self,
        connection: peer_connections.PeerConnection,
        configure: abc.Callable[["AgentLink"], abc.Awaitable[None]],
    ) -> None:
        self._connection = connection
        # A restarted agent process has none of the configuration that the
        # previous one confirmed.
        self._sent_offset = self._unchanged_offset = self._confirmed_offset = 0
        assert self.welcome is not None
        logs.log_event(
            events.CONNECTION_OPENED,
            peer=self.host.host,
            incarnation=self.welcome["incarnation"],
        )
        self._notify()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.keep_alive, self._has_calls)
                nursery.start_soon(configure, self)
                while True:
                    self._handle(await connection.receive())
        finally:
            self._lose_connection()

    def _has_calls(self) -> bool:
        """Tell whether a message of the agent is expected on some call.

        A call whose final message was received can stay open here while a
        slow caller reads it, but the agent no longer holds it.
        """
        return bool(self._unfinished_calls)

    def _lose_connection(self) -> None:
        self._connection = None
        self._connection_refused = False
        self._recover_by = deadlines.make_deadline(_RECOVERY_TIMEOUT_MS)
        self.report = None
        self.prefixes = frozenset()
        calls = tuple(self._calls.values())
        self._calls.clear()
        self._unfinished_calls.clear()
        for call in calls:
            call.mark_lost()
        self._notify()

    def _handle(self, message: codec.MessageMap) -> None:
        match message["type"]:
            case "items":
                for run in message["runs"]:
                    self._enqueue(
                        run["call"], {"type": "items", "runs": (run,)}
                    )
            case "report":
                self.store_report(typing.cast(messages.Report, message))
            case "leaving":
                self.mark_leaving(message["reason"])
            case "configured":
                self._confirmed_offset = message["offset"]
            case _ if "call" in message:
                if message["type"] in _FINAL_MESSAGE_TYPES:
                    self._unfinished_calls.discard(message["call"])
                self._enqueue(message["call"], message)
            case other:
                raise peer_connections.PeerConnectionError(
                    "read message",
                    self.host.host,
                    f"an agent does not send {other}",
                )

    def record_sent_offset(self, offset: int) -> None:
        """Record that the agent was sent its resource as of ``offset``."""
        self._sent_offset = offset
        self._unchanged_offset = offset

    def record_unchanged_offset(self, offset: int) -> None:
        """Record that nothing changed for the agent up to ``offset``."""
        self._unchanged_offset = offset

    def get_applied_offset(self) -> int:
        """Return the log offset up to which the agent is up to date.

        Once the agent has confirmed the last resource that it was sent, this
        includes later offsets at which nothing changed for it.
        """
        if self._sent_offset and self._confirmed_offset >= self._sent_offset:
            return max(self._confirmed_offset, self._unchanged_offset)
        return self._confirmed_offset

    def mark_leaving(self, reason: str) -> None:
        """Place no new calls on the link; ``reason`` is only logged."""
        if not self.leaving:
            self.leaving = True
            logs.log_event(
                events.TARGET_LEAVING,
                peer=self.host.host,
                target=self.host.target,
                reason=reason,
            )

    def _enqueue(self, number: int, message: codec.MessageMap) -> None:
        # Messages of a call that was closed here may still arrive.
        call = self._calls.get(number)
        if call is not None:
            call.enqueue(message)

    def store_report(self, report: messages.Report) -> None:
        """Store the agent's latest report and its time of arrival.

        A report without prefixes leaves the known prefixes unchanged.
        """
        self.report = report
        self.report_received = deadlines.make_deadline(0)
        self.sent_since_report = 0
        if "prefixes" in report:
            self.prefixes = frozenset(report["prefixes"])

    def note_refusal(self, retry_after_ms: int) -> None:
        """Record that the agent refused a call and for how long it does.

        The time is limited to one second, since a refusal may concern only
        one customer and the next reports describe the load better.
        """
        refusal_ms = min(retry_after_ms, _MAX_REFUSAL_MS)
        self.refused_until = deadlines.make_deadline(refusal_ms)

    def open_call(self) -> LinkCall:
        """Return a new call.

        Raises :class:`peer_connections.PeerConnectionError` when the link is
        not connected.
        """
        if self._connection is None:
            raise peer_connections.PeerConnectionError(
                "open call", self.host.host, "not connected"
            )
        self._last_call += 1
        call = LinkCall(self, self._last_call, self._settings.window)
        self._calls[call.number] = call
        self._unfinished_calls.add(call.number)
        return call

    def forget_call(self, number: int) -> None:
        """Drop the messages that still arrive for a call."""
        self._calls.pop(number, None)
        self._unfinished_calls.discard(number)

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Send a message.

        Raises :class:`peer_connections.PeerConnectionError` when the link is
        lost.
        """
        if self._connection is None:
            raise peer_connections.PeerConnectionError(
                "send message", self.host.host, "not connected"
            )
        try:
            await self._connection.send(message)
        except peer_connections.PeerConnectionError:
            # The reading task detects the loss only later; until then a new
            # call must not find the link usable.
            self._lose_connection()
            raise
