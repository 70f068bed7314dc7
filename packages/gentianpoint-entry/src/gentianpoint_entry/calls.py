"""State machine of one caller's request, from first offer to final answer.

A request is offered to an agent. An attempt is this offer together with the
run that may follow from it; after a lost connection the same attempt can be
offered again. The answer consists of numbered items: the texts of tokens, or
the chunks of a plain HTTP response. A repeatable request is retried on another
agent as long as no item was delivered. After a connection is lost, a
generation is only ever resumed at its home: the target that its identifier
names.

A non-repeatable request is prepared first: the agent issues a generation
identifier that it starts at most once. Sending the offer again with the same
identifier is therefore idempotent, and a connection that is lost after the
offer causes neither a second run nor an unknown outcome.
"""

import typing

from opentelemetry import trace
import trio

from gentianpoint_core import codec
from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core import peer_connections
from gentianpoint_core import telemetry
from gentianpoint_core.generated import events
from gentianpoint_core.generated import messages
from gentianpoint_entry import agent_links
from gentianpoint_entry import call_requests
from gentianpoint_entry import dispatch
from gentianpoint_entry import request_digests

__all__ = ("Call",)

_MAX_ATTEMPTS: typing.Final = 3
"""Agents that a call is offered to at most."""
_ACKNOWLEDGEMENTS_PER_WINDOW: typing.Final = 4
"""Acknowledgements that are sent for each window of items."""


class _LostLink(typing.NamedTuple):
    """A link that was lost before the attempt offered on it had ended."""

    link: agent_links.AgentLink
    """The link, which reconnects on its own."""
    incarnation: str
    """Identifier of the agent process that the attempt was offered to.

    The agent chooses this random string anew each time its process starts.
    """


class Call(dispatch.OpenCall):
    """One request from its first offer to its final answer."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        request: call_requests.CallRequest,
        resume_after: typing.Optional[int] = None,
        is_buffered: bool = False,
    ) -> None:
        """Register a call that has not been offered yet.

        With ``resume_after`` the call starts nothing and only reads the items
        of the request's generation after that number. ``is_buffered`` means
        that the caller receives nothing before the end, so an answer that
        breaks off may be generated again; its items are then numbered from 1
        again.
        """
        self.request: typing.Final = request
        self.generation = request.generation
        self.delivered = resume_after or 0
        self._dispatcher: typing.Final = dispatcher
        self._link_call: typing.Optional[agent_links.LinkCall] = None
        self._acknowledged = self.delivered
        self._tried: typing.Final[set[str]] = set()
        self._finished = False
        self._resumes = resume_after is not None
        self._is_buffered: typing.Final = is_buffered
        self._may_have_started = self._resumes
        self._lost_link: typing.Optional[_LostLink] = None
        self._incarnation = ""
        self._earlier_attempt_lost = self._resumes
        dispatcher.add_call(self, request)
        self._span: typing.Final = telemetry.get_tracer().start_span(
            "entry call", attributes={"service": request.service}
        )

    async def receive(self) -> call_requests.CallPart:
        """Return the next items or the regular end of the answer.

        Raises :class:`errors.CallError` with the final outcome of a call that
        does not end regularly.
        """
        try:
            part = await self._receive_part()
        except errors.CallError as error:
            self._drop_link_call()
            final = self._correct_outcome(error)
            self._log_finish(final.code)
            raise final from error
        if part.finish_reason:
            if not self._resumes:
                # What a resumed generation was asked for is not known here.
                self._dispatcher.suspects.note_answered(self._find_content())
            self._log_finish("ok")
        return part

    def _find_content(self) -> str:
        """Return the digest of what is requested, the same for each call."""
        request = self.request
        return request_digests.digest_content(
            request.customer, request.service, request.request
        )

    def _correct_outcome(self, error: errors.CallError) -> errors.CallError:
        """Return the error with the outcome that holds for all attempts.

        ``not_run`` is kept only when no earlier attempt can have started: an
        attempt whose connection was lost may have run even though the last
        one was refused, and a caller that is told ``not_run`` may run the
        request twice. ``outcome_unknown`` from a restarted agent that does
        not find the generation at its target becomes ``incomplete`` when
        tokens were delivered, since the generation has then run.
        """
        if error.code == errors.OUTCOME_UNKNOWN and self.delivered:
            return errors.CallError(
                errors.INCOMPLETE,
                error.reason,
                step=error.step,
                peer=error.peer,
            )
        if error.code != errors.NOT_RUN or not self._may_have_started:
            return error
        return errors.CallError(
            errors.OUTCOME_UNKNOWN,
            f"an attempt was lost, then: {error.reason}",
            step=error.step,
            peer=error.peer,
            retry_after_ms=error.retry_after_ms,
        )

    def stop_waiting(self) -> None:
        """Receive only messages that have arrived, then end the call."""
        if self._link_call is not None:
            self._link_call.stop_receiving()

    def _make_shutdown_error(self) -> errors.CallError:
        """Return the error of a call that the shutdown cuts off.

        Its generation is not cancelled, so that the caller can resume it
        through another entry.
        """
        # A generation named by the caller may have been started through
        # another entry.
        may_have_run = self._may_have_started or bool(self.request.generation)
        return errors.CallError(
            errors.OUTCOME_UNKNOWN if may_have_run else errors.NOT_RUN,
            "this entry ends before the call",
            step="receive items",
            peer=self._get_peer(),
            retry_after_ms=dispatch.RETRY_AFTER_MS,
        )

    async def _receive_part(self) -> call_requests.CallPart:
        while True:
            if self._link_call is None:
                with self._dispatcher.shutdown.limit_wait(
                    self._make_shutdown_error
                ):
                    await self._send_to_agent()
                continue
            await self._acknowledge()
            message = await self._link_call.receive()
            if message is None:
                if self._dispatcher.shutdown.is_expired:
                    raise self._make_shutdown_error()
                self._recover_from_loss()
                continue
            part = await self._handle(message)
            if part is not None:
                return part

    async def _send_to_agent(self) -> None:
        lost, self._lost_link = self._lost_link, None
        if lost is not None:
            await self._reoffer_on_link(lost)
        elif self._resumes or self.delivered:
            await self._resume_at_home()
        elif self.generation:
            await self._offer_at_home()
        else:
            await self._offer_to_any_agent()

    async def _reoffer_on_link(self, lost: _LostLink) -> None:
        """Offer the same attempt again once its lost link reconnects.

        The agent attaches the offer to the attempt that it already has, so
        nothing runs twice and no retry is spent. If the link does not
        reconnect to the same agent process, the attempt is abandoned.
        """
        again = await self._dispatcher.wait_for_recovery(
            self.request, lost.link, lost.incarnation
        )
        if not again:
            self._abandon_attempt("the link was lost")
            return
        try:
            await self._send_offer(lost.link)
        except peer_connections.PeerConnectionError:
            self._lost_link = lost
            self._drop_link_call()

    def _abandon_attempt(self, reason: str) -> None:
        """Give up an attempt and spend a retry on another agent."""
        self.generation = ""
        self._earlier_attempt_lost = True
        self._require_retry(reason)

    async def prepare_at_any_agent(self) -> None:
        """Ask one agent for a generation identifier.

        ``generation`` stays empty when the agent refuses or its link is lost.
        """
        link = await self._choose_link()
        try:
            await self._prepare(link)
        except peer_connections.PeerConnectionError:
            # A prepare starts nothing, so the same agent may be asked again.
            self._tried.discard(link.host.host)

    async def _offer_to_any_agent(self) -> None:
        if not self.request.repeatable:
            await self.prepare_at_any_agent()
            return
        link = await self._choose_link()
        try:
            await self._send_offer(link)
        except peer_connections.PeerConnectionError:
            self._recover_from_loss()

    async def _choose_link(self) -> agent_links.AgentLink:
        await self._dispatcher.require_harmless(
            self.request, self._find_content()
        )
        if self.request.start_by.is_past():
            raise errors.CallError(
                errors.NOT_RUN,
                "the deadline to start was past",
                step="choose target",
                peer=self.request.service,
                retry_after_ms=dispatch.RETRY_AFTER_MS,
            )
        link = await self._dispatcher.choose_link(self.request, self._tried)
        self._tried.add(link.host.host)
        return link

    async def _prepare(self, link: agent_links.AgentLink) -> None:
        call = link.open_call()
        try:
            await link.send(
                {
                    "type": "prepare",
                    "call": call.number,
                    "customer": self.request.customer,
                }
            )
            answer = await call.receive()
        finally:
            call.close()
        if answer is None:
            raise peer_connections.PeerConnectionError(
                "prepare", link.host.host, "the link was lost"
            )
        if answer["type"] == "refused":
            self._require_retry(answer["reason"], answer["retry_after_ms"])
            return
        self.generation = answer["generation"]

    async def _offer_at_home(self) -> None:
        if self.request.generation:
            await self._dispatcher.require_harmless(
                self.request, self._find_content()
            )
        try:
            link = await self._dispatcher.wait_for_home(self.generation)
            await self._send_offer(link)
        except dispatch.HomeLostError as error:
            raise self._make_home_lost_error(str(error)) from error
        except peer_connections.PeerConnectionError:
            self._drop_link_call()

    async def _send_offer(self, link: agent_links.AgentLink) -> None:
        request = self.request
        offer: messages.Offer = {
            "type": "offer",
            "call": 0,
            "attempt": f"{request.identifier}-{len(self._tried)}",
            "customer": request.customer,
            "weight": request.weight,
            "customer_limit": request.customer_limit,
            "priority": request.priority,
            "repeatable": request.repeatable,
            "start_within_ms": request.start_by.remaining_ms(),
            "finish_within_ms": request.finish_by.remaining_ms(),
            "request": request.request,
            "trace": self._read_trace_parent(),
        }
        if self.generation:
            offer["generation"] = self.generation
        call = link.open_call()
        offer["call"] = call.number
        self._link_call = call
        self._acknowledged = self.delivered
        assert link.welcome is not None
        self._incarnation = link.welcome["incarnation"]
        # Set before the send, since a send that fails may still arrive.
        self._may_have_started = True
        self._dispatcher.suspects.trials.begin(request.identifier)
        link.sent_since_report += 1
        logs.log_event(
            events.CALL_OFFERED,
            request=request.identifier,
            peer=link.host.host,
            repeatable=request.repeatable,
            generation=self.generation,
            attempt=offer["attempt"],
        )
        await link.send(offer)

    def _read_trace_parent(self) -> str:
        with trace.use_span(self._span):
            return telemetry.get_trace_parent()

    async def _handle(
        self, message: codec.MessageMap
    ) -> typing.Optional[call_requests.CallPart]:
        match message["type"]:
            case "admitted":
                self.generation = message["generation"]
            case "items":
                return self._handle_items(message["runs"][0])
            case "refused":
                self._handle_refusal(message)
            case "ended":
                return self._handle_end(message)
        return None

    def _handle_items(
        self, run: messages.Run
    ) -> typing.Optional[call_requests.CallPart]:
        # After a resume the run may begin with items that were delivered
        # before; a gap in the numbers violates the protocol.
        skipped = self.delivered + 1 - run["first"]
        if skipped < 0:
            raise errors.CallError(
                errors.INCOMPLETE,
                f"items after {self.delivered} are missing",
                step="receive items",
                peer=self._get_peer(),
            )
        texts = run["texts"][skipped:]
        chunks = run["chunks"][skipped:]
        if not texts and not chunks:
            return None
        first = self.delivered + 1
        self.delivered += len(texts) + len(chunks)
        return call_requests.CallPart(first, texts, chunks, "", 0, 0)

    def _handle_refusal(self, message: codec.MessageMap) -> None:
        code = message["code"]
        if code != errors.NOT_RUN:
            raise errors.CallError(
                code,
                message["reason"],
                step="offer call",
                peer=self._get_peer(),
                retry_after_ms=message["retry_after_ms"],
            )
        if self._link_call is not None:
            self._link_call.link.note_refusal(message["retry_after_ms"])
        self._drop_link_call()
        self._dispatcher.suspects.trials.give_back(self.request.identifier)
        self._may_have_started = self._earlier_attempt_lost
        # The generation did not run and delivered nothing, so another one
        # may replace it unless the caller named this one.
        if self.request.generation:
            raise errors.CallError(
                errors.NOT_RUN,
                message["reason"],
                step="offer call",
                peer=self._get_peer(),
                retry_after_ms=message["retry_after_ms"],
            )
        self.generation = ""
        self._require_retry(message["reason"], message["retry_after_ms"])

    def _handle_end(
        self, message: codec.MessageMap
    ) -> typing.Optional[call_requests.CallPart]:
        reason = message["reason"]
        target_end = message.get("target_end", "")
        if target_end and not self._resumes:
            self._dispatcher.suspects.note_end(
                target_end, self._find_content()
            )
        if reason in ("stop", "length"):
            return call_requests.CallPart(
                0,
                (),
                (),
                reason,
                message["prompt_tokens"],
                message["completion_tokens"],
            )
        peer = self._get_peer()
        self._drop_link_call()
        if self.delivered == 0 and reason in ("outcome_unknown", "incomplete"):
            if self._may_run_again():
                self._abandon_attempt(message.get("detail", reason))
                return None
            reason = errors.OUTCOME_UNKNOWN
        error = errors.CallError(
            reason,
            message.get("detail", reason),
            step="run generation",
            peer=peer,
        )
        if reason != errors.INCOMPLETE:
            raise error
        self._regenerate(error)
        return None

    def _may_run_again(self) -> bool:
        return self._accepts_any_generation() and self.delivered == 0

    def _accepts_any_generation(self) -> bool:
        """Tell whether a different generation may produce the answer."""
        return (
            self.request.repeatable
            and not self._resumes
            and not self.request.generation
        )

    def _can_regenerate(self) -> bool:
        """Tell whether another agent can generate the answer again."""
        return (
            self._is_buffered
            and self._accepts_any_generation()
            and self._dispatcher.has_other_link(self.request, self._tried)
        )

    def _regenerate(self, error: errors.CallError) -> None:
        """Generate a buffered answer that broke off again on another agent.

        The caller has received no part of it, so two generations are never
        mixed. Without this, each lost engine would fail the non-streaming
        calls on it although their work may be repeated. Raises ``error``
        when the request is not repeatable, or when no other target or no
        retry is left.
        """
        if not self._can_regenerate():
            raise error
        try:
            self._require_retry(error.reason)
        except errors.CallError:
            raise error from None
        self.generation = ""
        self.delivered = 0
        self._earlier_attempt_lost = True

    def _require_retry(self, reason: str, retry_after_ms: int = 0) -> None:
        """Return if another attempt is allowed, else raise ``not_run``.

        Call it only when nothing has run, or when the request is repeatable.
        """
        attempts = len(self._tried)
        in_time = not self.request.start_by.is_past()
        if (
            attempts < _MAX_ATTEMPTS
            and in_time
            and self._dispatcher.may_retry(self.request)
        ):
            logs.log_event(
                events.CALL_RETRIED,
                request=self.request.identifier,
                reason=reason,
                attempts=attempts,
            )
            return
        raise errors.CallError(
            errors.NOT_RUN,
            reason,
            step="offer call",
            peer=self.request.service,
            retry_after_ms=retry_after_ms or dispatch.RETRY_AFTER_MS,
        )

    def _recover_from_loss(self) -> None:
        assert self._link_call is not None
        link = self._link_call.link
        self._drop_link_call()
        if self._may_run_again():
            self.generation = ""
            self._lost_link = _LostLink(link, self._incarnation)

    async def _resume_at_home(self) -> None:
        try:
            link = await self._dispatcher.wait_for_home(
                self.generation, self._can_regenerate()
            )
            call = link.open_call()
            self._link_call = call
            self._acknowledged = self.delivered
            await link.send(
                {
                    "type": "resume",
                    "call": call.number,
                    "generation": self.generation,
                    "customer": self.request.customer,
                    "after": self.delivered,
                }
            )
            logs.log_event(
                events.GENERATION_RESUMED,
                request=self.request.identifier,
                generation=self.generation,
                peer=link.host.host,
                after=self.delivered,
            )
        except dispatch.HomeLostError as error:
            self._regenerate(self._make_home_lost_error(str(error)))
        except peer_connections.PeerConnectionError:
            self._drop_link_call()

    def _make_home_lost_error(self, reason: str) -> errors.CallError:
        code = errors.INCOMPLETE if self.delivered else errors.OUTCOME_UNKNOWN
        return errors.CallError(
            code, reason, step="find generation", peer=self.generation
        )

    async def _acknowledge(self) -> None:
        unacknowledged = self.delivered - self._acknowledged
        if (
            unacknowledged * _ACKNOWLEDGEMENTS_PER_WINDOW
            < self._dispatcher.window
        ):
            return
        call = self._link_call
        assert call is not None
        self._acknowledged = self.delivered
        try:
            with self._dispatcher.shutdown.limit_wait(
                self._make_shutdown_error
            ):
                await call.link.send(
                    {
                        "type": "acknowledge",
                        "call": call.number,
                        "through": self.delivered,
                    }
                )
        except peer_connections.PeerConnectionError:
            return  # The next receive reports the lost link.

    def _get_peer(self) -> str:
        if self._link_call is None:
            return ""
        return self._link_call.link.host.host

    def _drop_link_call(self) -> None:
        if self._link_call is not None:
            self._link_call.close()
            self._link_call = None

    def _log_finish(self, outcome: str) -> None:
        self._finished = True
        event = events.CALL_FINISHED
        if outcome == errors.OUTCOME_UNKNOWN:
            event = events.OUTCOME_UNKNOWN
        logs.log_event(
            event,
            request=self.request.identifier,
            service=self.request.service,
            customer=self.request.customer,
            generation=self.generation,
            outcome=outcome,
            items=self.delivered,
            repeatable=self.request.repeatable,
        )

    async def close(self) -> None:
        """Stop reading and release the generation at the agent.

        The agent keeps a started generation for a while, so that the caller
        can resume it; an offer that has not started is withdrawn.
        """
        self._dispatcher.forget_call(self)
        self._dispatcher.suspects.trials.end(self.request.identifier)
        if self._span.is_recording():
            self._span.end()
        call = self._link_call
        self._drop_link_call()
        if self._finished:
            return
        self._finished = True
        logs.log_event(
            events.CALL_CLOSED,
            request=self.request.identifier,
            generation=self.generation,
            items=self.delivered,
        )
        if call is None:
            return
        with trio.move_on_after(1, shield=True):
            try:
                await call.link.send({"type": "retract", "call": call.number})
                await call.link.send({"type": "release", "call": call.number})
            except peer_connections.PeerConnectionError:
                return
