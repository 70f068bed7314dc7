"""Connections from this entry to agents.

Each agent that the entry wants has one task, which connects, serves the
connection and connects again after it is lost. Calls share the connection;
each has a bounded channel on which its messages arrive.
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
_OPEN_TIMEOUT_S: typing.Final = 2
_FIRST_PAUSE_S: typing.Final = 0.05
_LONGEST_PAUSE_S: typing.Final = 1.0
_RECOVERY_WITHIN_MS: typing.Final = 5000
_SPARE_MESSAGES: typing.Final = 16
_LONGEST_REFUSAL_MS: typing.Final = 1000
_LAST_MESSAGES: typing.Final = frozenset(
    ("ended", "refused", "prepared", "cancelled")
)


def _is_refusal(error: BaseException) -> bool:
    """Tell whether nobody listens at the address that was tried."""
    causes = getattr(error.__cause__, "exceptions", (error.__cause__, error))
    return any(isinstance(cause, ConnectionRefusedError) for cause in causes)


class LinkCall:
    """One call on a link, as the dispatcher sees it."""

    def __init__(self, link: "AgentLink", number: int, window: int) -> None:
        """Open the call with its number on the connection."""
        self.link: typing.Final = link
        self.number: typing.Final = number
        self._sender: trio.MemorySendChannel[codec.MessageMap]
        self._receiver: trio.MemoryReceiveChannel[codec.MessageMap]
        self._sender, self._receiver = trio.open_memory_channel(
            window + _SPARE_MESSAGES
        )

    async def receive(self) -> typing.Optional[codec.MessageMap]:
        """Return the next message, or None when the link is lost."""
        try:
            return await self._receiver.receive()
        except trio.EndOfChannel:
            return None

    def push(self, message: codec.MessageMap) -> None:
        """Add a message; raises when the agent sent beyond the window."""
        try:
            self._sender.send_nowait(message)
        except trio.WouldBlock as error:
            raise peer_connections.PeerConnectionError(
                "receive items", self.link.host.host, "more than the window"
            ) from error
        except trio.BrokenResourceError:
            return

    def lose(self) -> None:
        """Tell the receiver that the link is lost."""
        self._sender.close()

    def end(self) -> None:
        """Receive what has come already, and no more."""
        self.link.forget_call(self.number)
        self.lose()

    def close(self) -> None:
        """Receive no more."""
        self._receiver.close()
        self.link.forget_call(self.number)


class AgentLink:
    """The connection to one agent, opened again whenever it is lost."""

    def __init__(
        self,
        host: ports.Host,
        settings: link_settings.LinkSettings,
        notify: abc.Callable[[], None],
        links: int = 1,
    ) -> None:
        """Make the link to ``host``; :meth:`run` connects.

        ``notify`` is called when the link is connected, lost, or could not
        be connected; ``links`` is the number of links of this entry, which
        decides how often the agent is to report.
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
        self.failures = 0
        self._settings: typing.Final = settings
        self._connection: typing.Optional[peer_connections.PeerConnection] = (
            None
        )
        self._calls: typing.Final[dict[int, LinkCall]] = {}
        self._open: typing.Final[set[int]] = set()
        self._last_call = 0
        self._notify: typing.Final = notify
        self._told_offset = 0
        self._covered_offset = 0
        self._confirmed_offset = 0
        self._refused = False
        self._recover_by = deadlines.Deadline(0.0)

    def is_usable(self) -> bool:
        """Tell whether new calls can be offered on the link."""
        return self.is_connected() and not self.leaving

    def is_connected(self) -> bool:
        """Tell whether the agent was greeted on a live connection."""
        return self._connection is not None

    def count_calls(self) -> int:
        """Return the number of open calls."""
        return len(self._calls)

    def is_recovering(self) -> bool:
        """Tell whether the link was lost a moment ago.

        A connection that was cut comes back at once; where the agent's
        process is gone, its host refuses connections.
        """
        return (
            not self.is_connected()
            and not self._refused
            and not self._recover_by.is_past()
        )

    async def run(
        self, configure: abc.Callable[["AgentLink"], abc.Awaitable[None]]
    ) -> None:
        """Keep the link up for ever.

        ``configure`` runs beside each connection and sends the agent its
        configuration.
        """
        pause_s = _FIRST_PAUSE_S
        while True:
            was_connected = await self._connect_and_serve(configure)
            self.failures = 0 if was_connected else self.failures + 1
            self._notify()
            pause_s = _FIRST_PAUSE_S if was_connected else pause_s * 2
            await trio.sleep(min(pause_s, _LONGEST_PAUSE_S))

    async def _connect_and_serve(
        self, configure: abc.Callable[["AgentLink"], abc.Awaitable[None]]
    ) -> bool:
        greeted = False
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
                greeted = True
                await self._serve(connection, configure)
        except* peer_connections.PeerConnectionError as group:
            self._log_loss(greeted, group.exceptions[0])
        except* (OSError, websockets.exceptions.WebSocketException) as group:
            self._refused = _is_refusal(group.exceptions[0])
            self._log_loss(greeted, group.exceptions[0])
        return greeted

    def _log_loss(self, greeted: bool, error: BaseException) -> None:
        if self.failures > 0 and not greeted:
            return  # One line for the first of a row of failures is enough.
        logs.log_event(
            events.CONNECTION_LOST if greeted else events.CONNECTION_REFUSED,
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
            "greet", self.host.host, "no welcome came"
        )

    def _check_welcome(self, welcome: messages.Welcome) -> None:
        reason = ""
        spoken = range(codec.OLDEST_VERSION, codec.PROTOCOL_VERSION + 1)
        if welcome["version"] not in spoken:
            reason = f"it speaks protocol version {welcome['version']}"
        elif welcome["target"] != self.host.target:
            # The host list lags: the address may belong to another agent by
            # now, which must not get this target's calls.
            reason = f"it stands beside {welcome['target']}"
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
        # Behind the address may be another run of the agent, which has
        # nothing yet of what the one before it had confirmed.
        self._told_offset = self._covered_offset = self._confirmed_offset = 0
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
        """Tell whether the agent still has to say something on a call.

        A call whose last message came may stay open here while a slow
        caller reads it, but the agent has forgotten it.
        """
        return bool(self._open)

    def _lose_connection(self) -> None:
        self._connection = None
        self._refused = False
        self._recover_by = deadlines.make_deadline(_RECOVERY_WITHIN_MS)
        self.report = None
        self.prefixes = frozenset()
        calls = tuple(self._calls.values())
        self._calls.clear()
        self._open.clear()
        for call in calls:
            call.lose()
        self._notify()

    def _handle(self, message: codec.MessageMap) -> None:
        match message["type"]:
            case "items":
                for run in message["runs"]:
                    self._push(run["call"], {"type": "items", "runs": (run,)})
            case "report":
                self.store_report(typing.cast(messages.Report, message))
            case "leaving":
                self.mark_leaving(message["reason"])
            case "configured":
                self._confirmed_offset = message["offset"]
            case _ if "call" in message:
                if message["type"] in _LAST_MESSAGES:
                    self._open.discard(message["call"])
                self._push(message["call"], message)
            case other:
                raise peer_connections.PeerConnectionError(
                    "read message",
                    self.host.host,
                    f"an agent does not send {other}",
                )

    def record_sent_offset(self, offset: int) -> None:
        """Note that the agent was sent its resource at ``offset``."""
        self._told_offset = offset
        self._covered_offset = offset

    def record_unchanged_offset(self, offset: int) -> None:
        """Note that up to ``offset`` nothing changed for the agent."""
        self._covered_offset = offset

    def get_applied_offset(self) -> int:
        """Return the offset through which the agent has all it needs.

        Once it has confirmed what it was told last, that is as far as
        nothing else came up for it.
        """
        if self._told_offset and self._confirmed_offset >= self._told_offset:
            return max(self._confirmed_offset, self._covered_offset)
        return self._confirmed_offset

    def mark_leaving(self, reason: str) -> None:
        """Offer nothing new on the link; ``reason`` is for people."""
        if not self.leaving:
            self.leaving = True
            logs.log_event(
                events.TARGET_LEAVING,
                peer=self.host.host,
                target=self.host.target,
                reason=reason,
            )

    def _push(self, number: int, message: codec.MessageMap) -> None:
        # Messages of a call that was closed here are still on the way.
        call = self._calls.get(number)
        if call is not None:
            call.push(message)

    def store_report(self, report: messages.Report) -> None:
        """Keep the agent's newest report and when it came.

        One without prefixes leaves those known before.
        """
        self.report = report
        self.report_received = deadlines.make_deadline(0)
        self.sent_since_report = 0
        if "prefixes" in report:
            self.prefixes = frozenset(report["prefixes"])

    def note_refusal(self, retry_after_ms: int) -> None:
        """Take note that the agent refused a call, and until when.

        For a second at most: the next reports tell more than a refusal,
        which may have concerned only one customer.
        """
        within_ms = min(retry_after_ms, _LONGEST_REFUSAL_MS)
        self.refused_until = deadlines.make_deadline(within_ms)

    def open_call(self) -> LinkCall:
        """Return a new call; raises when the link is not connected."""
        if self._connection is None:
            raise peer_connections.PeerConnectionError(
                "open call", self.host.host, "not connected"
            )
        self._last_call += 1
        call = LinkCall(self, self._last_call, self._settings.window)
        self._calls[call.number] = call
        self._open.add(call.number)
        return call

    def forget_call(self, number: int) -> None:
        """Drop what still comes for a call."""
        self._calls.pop(number, None)
        self._open.discard(number)

    async def send(self, message: abc.Mapping[str, typing.Any]) -> None:
        """Send a message; raises when the link is lost."""
        if self._connection is None:
            raise peer_connections.PeerConnectionError(
                "send message", self.host.host, "not connected"
            )
        try:
            await self._connection.send(message)
        except peer_connections.PeerConnectionError:
            # The reader notices the loss a moment later; a call that asks
            # in between must not find a link that looks usable.
            self._lose_connection()
            raise
