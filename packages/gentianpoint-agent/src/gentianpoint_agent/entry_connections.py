"""Serves the connections that entries open to this agent.

Each connection has one task that reads and handles its messages in order.
Further tasks send heartbeats, load reports, the notice that the agent is
leaving, and the items of answers, gathered for a few milliseconds into one
message.
"""

import math
import typing

import msgspec
import trio

from gentianpoint_agent import agent_state
from gentianpoint_agent import call_feeds
from gentianpoint_agent import call_runner
from gentianpoint_agent import generations
from gentianpoint_agent import report_periods
from gentianpoint_core import codec
from gentianpoint_core import deadlines
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages

__all__ = ("EntryConnection",)

_MAX_WINDOW: typing.Final = 65536
"""Largest window, in items, that an entry is granted for a call."""
_MAX_INTEGER: typing.Final = 2**53
"""Largest absolute value of an integer in a message."""
_REFUSAL_RETRY_MS: typing.Final = 500
"""Time after which an entry may retry refused work, in milliseconds."""


class EntryConnection(agent_state.OpenConnection):
    """One connection from an entry and the calls it carries."""

    def __init__(
        self,
        connection: peer_connections.PeerConnection,
        state: agent_state.AgentState,
    ) -> None:
        """Serve ``connection`` for the agent whose state is ``state``."""
        self._connection: typing.Final = connection
        self._state: typing.Final = state
        self._feeds: typing.Final[dict[int, call_feeds.CallFeed]] = {}
        self._ready_feeds: set[call_feeds.CallFeed] = set()
        self._items_ready = trio.Event()
        self._window = 1
        self._periods = report_periods.choose_periods(
            state.settings.report_ms, 0
        )
        self._incarnation = ""
        self._scope: typing.Final = trio.CancelScope()
        self._ended: typing.Final = trio.Event()
        self.leaving_sent = False

    async def serve(self) -> None:
        """Serve the entry until the connection is lost or replaced."""
        try:
            with self._scope:
                await self._greet()
                await self._run_tasks()
        finally:
            self._state.connections.discard(self)
            for feed in self._feeds.values():
                feed.close(self._state.settings.orphan_ms)
            self._ended.set()

    async def _run_tasks(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._connection.keep_alive, self._has_calls)
            nursery.start_soon(self._send_items)
            nursery.start_soon(self._send_reports)
            nursery.start_soon(self._send_leaving)
            await self._read_messages()

    async def _close_older_connections(self, incarnation: str) -> None:
        """Close older connections from the same run of the entry.

        A connection that fell silent may still hold an unread offer. The
        entry has given that connection up: it offers the call again on the
        new one, and may tell its caller that the first offer did not run.
        Reading the old offer later would run it after all, so nothing more
        is read from an old connection once the new one has been greeted.
        """
        self._incarnation = incarnation
        for other in tuple(self._state.connections):
            if other.belongs_to(incarnation):
                await other.close()
        self._state.connections.add(self)

    def belongs_to(self, incarnation: str) -> bool:
        """Tell whether the connection is from this run of an entry."""
        return self._incarnation == incarnation

    async def close(self) -> None:
        """Close the connection and wait until nothing more is read."""
        self._scope.cancel()
        await self._ended.wait()

    def _has_calls(self) -> bool:
        return bool(self._feeds)

    async def _greet(self) -> None:
        hello = await self._connection.receive()
        if hello["type"] != "hello":
            await self._reject(
                f"the first message is {hello['type']}, not hello"
            )
        newest = hello["version"]
        version = codec.choose_version(
            newest, hello.get("oldest_version", newest)
        )
        if version is None:
            await self._reject(f"protocol version {newest} is not spoken here")
        self._connection.peer = hello["peer"]
        self._window = min(max(1, hello["window"]), _MAX_WINDOW)
        self._periods = report_periods.choose_periods(
            self._state.settings.report_ms, hello["report_ms"]
        )
        await self._close_older_connections(hello["incarnation"])
        await self._connection.send(self._make_welcome(version))
        logs.log_event(
            events.CONNECTION_OPENED,
            peer=hello["peer"],
            incarnation=hello["incarnation"],
        )

    async def _reject(self, reason: str) -> typing.NoReturn:
        await self._connection.send({"type": "reject", "reason": reason})
        raise peer_connections.PeerConnectionError(
            "greet", self._connection.peer, reason
        )

    def _make_welcome(self, version: int) -> messages.Welcome:
        settings = self._state.settings
        return {
            "type": "welcome",
            "version": version,
            "peer": settings.name,
            "incarnation": self._state.table.incarnation,
            "data_centre": settings.data_centre,
            "service": settings.service,
            "target": settings.target,
            "offset": self._state.service.offset,
            "leaving": self._state.lifecycle.is_leaving(),
        }

    async def _read_messages(self) -> None:
        while True:
            message = await self._connection.receive()
            try:
                await self._handle(message)
            except errors.CallError as error:
                await self._refuse(
                    message["call"],
                    error.code,
                    error.reason,
                    error.retry_after_ms,
                )

    def _make_message_error(
        self, reason: str
    ) -> peer_connections.PeerConnectionError:
        """Return an error that ends only this connection.

        Any other exception would propagate out of the connection's task and
        end the agent's process, and with it the calls of all other entries.
        """
        return peer_connections.PeerConnectionError(
            "decode message", self._connection.peer, reason
        )

    def _validate(self, message: codec.MessageMap) -> None:
        """Reject values that the message types allow but the agent can't use.

        Integers beyond 64 bits can't be converted to a float or written as
        JSON, and a negative item number would index a generation's items
        from the end.
        """
        values = [*message.values(), *message.get("request", {}).values()]
        for value in values:
            if isinstance(value, int) and abs(value) > _MAX_INTEGER:
                raise self._make_message_error("an integer is too large")
        if message["type"] == "resume" and message["after"] < 0:
            raise self._make_message_error("the item number is negative")
        if message["type"] == "offer":
            if not math.isfinite(message["weight"]):
                raise self._make_message_error("the weight is not finite")
            if any(len(row) != 2 for row in message["request"]["headers"]):
                raise self._make_message_error(
                    "a header is not a name-value pair"
                )

    async def _handle(self, message: codec.MessageMap) -> None:
        self._validate(message)
        match message["type"]:
            case "offer":
                await self._accept_offer(typing.cast(messages.Offer, message))
            case "prepare":
                await self._prepare(typing.cast(messages.Prepare, message))
            case "resume":
                await self._resume(typing.cast(messages.Resume, message))
            case "retract":
                self._retract(message["call"])
            case "cancel":
                await self._cancel(typing.cast(messages.Cancel, message))
            case "release":
                self._release(message["call"])
            case "acknowledge":
                feed = self._feeds.get(message["call"])
                if feed is not None:
                    feed.acknowledge(message["through"])
            case "configure":
                await self._configure(typing.cast(messages.Configure, message))
            case other:
                raise peer_connections.PeerConnectionError(
                    "read message",
                    self._connection.peer,
                    f"an entry does not send {other}",
                )

    async def _accept_offer(self, offer: messages.Offer) -> None:
        if offer["call"] in self._feeds:
            # A repeated call number must not start a second generation.
            return
        generation, is_new = self._open_generation(offer)
        logs.log_event(
            events.CALL_ADMITTED,
            generation=generation.identifier,
            entry=self._connection.peer,
            repeatable=generation.repeatable,
            attempt=offer["attempt"],
            attached=not is_new,
        )
        if is_new:
            # Start the call before the first await. If sending the answer
            # below fails, the entry offers the attempt again and is attached
            # to this generation; were the call not running, its caller
            # would wait forever.
            self._state.start_call(generation, self._make_call(offer))
        self._attach(offer["call"], generation, 0)
        await self._connection.send(
            {
                "type": "admitted",
                "call": offer["call"],
                "generation": generation.identifier,
            }
        )

    def _open_generation(
        self, offer: messages.Offer
    ) -> tuple[generations.Generation, bool]:
        customer = offer["customer"]
        is_plain = offer["request"]["kind"] == "plain"
        table = self._state.table
        identifier = offer.get("generation", "")
        if identifier:
            known = self._find_or_adopt(identifier, customer)
        else:
            known = table.find_attempt(offer["attempt"], customer)
        if known is not None:
            return known, False
        self._require_accepting_offer(identifier, customer)
        if is_plain != self._state.is_plain():
            raise errors.CallError(
                errors.INVALID_REQUEST,
                "the service does not answer this kind of call",
                step="take offer",
            )
        if identifier:
            return table.start_prepared(
                identifier, customer, is_plain, offer["repeatable"]
            )
        created = table.create(
            offer["attempt"], customer, is_plain, offer["repeatable"]
        )
        return created, True

    def _find_or_adopt(
        self, identifier: str, customer: str
    ) -> typing.Optional[generations.Generation]:
        """Return a customer's generation, of this run or an earlier one.

        A generation of an earlier run is looked up at the target, which may
        have it without having listed it: it had ended, or it started after
        the list was made.
        """
        held = self._state.table.find(identifier, customer)
        return held or self._state.adopt_call(identifier, customer)

    def _require_accepting_offer(self, identifier: str, customer: str) -> None:
        """Refuse an offer while the agent accepts no new work.

        The refusal says that the call did not run. That can't be said of an
        identifier that this agent does not hold: it may have run, so
        ``refuse_prepared`` raises ``outcome_unknown`` for it. An identifier
        that is held can't be started any more: its caller has been told
        that it did not run, so a later offer must not run it.
        """
        try:
            self._require_accepting_work("take offer")
        except errors.CallError:
            if identifier:
                self._state.table.refuse_prepared(identifier, customer)
            raise

    def _require_accepting_work(self, step: str) -> None:
        reason = self._state.suspension_reason
        if self._state.evacuation.is_evacuated:
            reason = agent_state.EVACUATED_REASON
        if self._state.lifecycle.is_leaving():
            reason = "the target is leaving"
        if reason:
            raise errors.CallError(
                errors.NOT_RUN,
                reason,
                step=step,
                peer=self._state.settings.target,
                retry_after_ms=_REFUSAL_RETRY_MS,
            )

    def _make_call(self, offer: messages.Offer) -> call_runner.OfferedCall:
        finish_ms = offer["finish_within_ms"] or math.inf
        return call_runner.OfferedCall(
            offer,
            self._connection.peer,
            deadlines.make_deadline(offer["start_within_ms"]),
            deadlines.make_deadline(finish_ms),
        )

    def _attach(
        self, call: int, generation: generations.Generation, after: int
    ) -> None:
        feed = call_feeds.CallFeed(
            call, generation, after, self._window, self._mark_ready
        )
        self._feeds[call] = feed
        feed.notify()

    def _mark_ready(self, feed: call_feeds.CallFeed) -> None:
        self._ready_feeds.add(feed)
        self._items_ready.set()

    async def _prepare(self, message: messages.Prepare) -> None:
        self._require_accepting_work("prepare generation")
        prepared = self._state.table.prepare(message["customer"])
        logs.log_event(
            events.CALL_PREPARED,
            generation=prepared.identifier,
            entry=self._connection.peer,
        )
        await self._connection.send(
            {
                "type": "prepared",
                "call": message["call"],
                "generation": prepared.identifier,
                "expires_ms": prepared.expires_at.remaining_ms(),
            }
        )

    async def _resume(self, message: messages.Resume) -> None:
        if message["call"] in self._feeds:
            # A second feed with this number would leave the first one
            # subscribed forever. Its generation would always count as being
            # read, and the agent would never finish draining.
            raise self._make_message_error("the call number is in use")
        generation = self._find_or_adopt(
            message["generation"], message["customer"]
        )
        if generation is None:
            raise errors.CallError(
                errors.UNKNOWN_GENERATION,
                "no such generation is held here",
                step="resume generation",
            )
        # An adopted generation is read again from its first item, so it may
        # briefly have fewer items than its caller got from the earlier run.
        is_behind = message["after"] > generation.count_items()
        if is_behind and not generation.adopted:
            raise errors.CallError(
                errors.INVALID_REQUEST,
                f"the generation has only {generation.count_items()} items",
                step="resume generation",
            )
        self._attach(message["call"], generation, message["after"])
        await self._connection.send(
            {
                "type": "admitted",
                "call": message["call"],
                "generation": generation.identifier,
            }
        )

    def _retract(self, call: int) -> None:
        feed = self._feeds.get(call)
        # A caller's first connection may end while its repeated request
        # waits for the same generation through another entry. Withdrawing
        # the generation would tell that request that it did not run.
        if feed is not None and not feed.generation.has_multiple_readers():
            feed.generation.retract()

    async def _cancel(self, message: messages.Cancel) -> None:
        known = self._state.table.cancel(
            message["generation"], message["customer"]
        )
        await self._connection.send(
            {"type": "cancelled", "call": message["call"], "known": known}
        )

    def _release(self, call: int) -> None:
        feed = self._feeds.pop(call, None)
        if feed is not None:
            feed.close(self._state.settings.orphan_ms)

    async def _configure(self, message: messages.Configure) -> None:
        self._state.apply_evacuation(message)
        try:
            self._state.service.apply(message)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self._make_message_error(str(error)) from error
        await self._connection.send(
            {
                "type": "configured",
                "offset": self._state.service.offset,
                "revision": self._state.service.revision,
            }
        )

    async def _refuse(
        self, call: int, code: str, reason: str, retry_after_ms: int
    ) -> None:
        await self._connection.send(
            {
                "type": "refused",
                "call": call,
                "code": code,
                "reason": reason,
                "retry_after_ms": retry_after_ms,
            }
        )

    async def _send_items(self) -> None:
        batch_s = self._state.settings.batch_ms / 1000
        while True:
            await self._items_ready.wait()
            await trio.sleep(batch_s)
            self._items_ready = trio.Event()
            ready, self._ready_feeds = self._ready_feeds, set()
            runs = [run for feed in ready if (run := feed.take_items())]
            if runs:
                await self._connection.send({"type": "items", "runs": runs})
            for feed in ready:
                if feed.is_drained() and feed.call in self._feeds:
                    await self._send_end(feed)

    async def _send_end(self, feed: call_feeds.CallFeed) -> None:
        generation = feed.generation
        end = generation.end
        assert end is not None
        self._release(feed.call)
        if end.reason == generations.NOT_RUN:
            await self._refuse(
                feed.call, end.reason, end.detail, end.retry_after_ms
            )
            return
        await self._connection.send(
            {
                "type": "ended",
                "call": feed.call,
                "reason": end.reason,
                "count": generation.count_items(),
                "prompt_tokens": end.prompt_tokens,
                "completion_tokens": end.completion_tokens,
                "detail": end.detail,
                "target_end": end.target_end,
            }
        )

    async def _send_reports(self) -> None:
        prefixes_due = deadlines.make_deadline(0)
        while True:
            report = self._state.make_report()
            if prefixes_due.is_past():
                prefixes_due = deadlines.make_deadline(
                    self._periods.prefixes_ms
                )
            else:
                del report["prefixes"]
            await self._connection.send(report)
            await trio.sleep(self._periods.load_ms / 1000)

    async def _send_leaving(self) -> None:
        await self._state.lifecycle.wait_leaving()
        await self._connection.send(
            {"type": "leaving", "reason": self._state.lifecycle.reason}
        )
        self.leaving_sent = True
