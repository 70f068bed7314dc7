"""Calls: one caller's request on its way through agents.

The code follows one request straight down. It is offered to an agent; what
may run again is offered elsewhere while nothing was delivered; after a lost
connection the same generation is resumed at its home, never another one.

A request that may run only once is prepared first: the agent gives out an
identifier that it starts only once. When the connection is lost after the
start was asked for, asking again with the same identifier is idempotent, so
neither a second run nor a guess is needed.
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

__all__ = ("Call",)

_MOST_ATTEMPTS: typing.Final = 3
_ACKNOWLEDGE_SHARE: typing.Final = 4


class _LostLink(typing.NamedTuple):
    """A link that was lost with an attempt on it."""

    link: agent_links.AgentLink
    """The link, which connects again by itself."""
    incarnation: str
    """Run of the agent that got the attempt."""


class Call(dispatch.OpenCall):
    """One request from its first offer to its final answer."""

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        request: call_requests.CallRequest,
        resume_after: typing.Optional[int] = None,
        is_whole: bool = False,
    ) -> None:
        """Make a call that has not been offered yet.

        With ``resume_after`` it only reads the items of the request's
        generation after that number and starts nothing. ``is_whole`` tells
        that the caller gets nothing before the end: an answer that breaks
        off may then be generated anew, and its items come from number 1
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
        self._is_whole: typing.Final = is_whole
        self._may_have_started = self._resumes
        self._lost_link: typing.Optional[_LostLink] = None
        self._incarnation = ""
        self._lost_attempt = self._resumes
        dispatcher.add_call(self, request)
        self._span: typing.Final = telemetry.get_tracer().start_span(
            "entry call", attributes={"service": request.service}
        )

    async def receive(self) -> call_requests.CallPart:
        """Return the next items, or the regular end.

        Raises :class:`errors.CallError` with the final answer when there is
        no regular one.
        """
        try:
            part = await self._receive_part()
        except errors.CallError as error:
            self._drop_link_call()
            final = self._correct_answer(error)
            self._log_finish(final.code)
            raise final from error
        if part.end:
            self._log_finish("ok")
        return part

    def _correct_answer(self, error: errors.CallError) -> errors.CallError:
        """Say ``not_run`` only when no earlier attempt can have started.

        An attempt whose connection was lost may have run although the last
        attempt was refused; a caller told otherwise would run it twice. And
        what a restarted agent can't find at its target has run, if tokens
        of it were delivered: then it is incomplete.
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

    def end_wait(self) -> None:
        """Receive what has come already, then the answer that there is."""
        if self._link_call is not None:
            self._link_call.end()

    def _make_overdue(self) -> errors.CallError:
        """Return the answer of a call that the entry can't wait for.

        Its generation is not withdrawn: its caller may come back for it
        through another entry.
        """
        # What the caller named may have been started through another entry.
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
                with self._dispatcher.shutdown.limit_wait(self._make_overdue):
                    await self._place()
                continue
            await self._acknowledge()
            message = await self._link_call.receive()
            if message is None:
                if self._dispatcher.shutdown.is_expired:
                    raise self._make_overdue()
                self._recover_from_loss()
                continue
            part = await self._handle(message)
            if part is not None:
                return part

    async def _place(self) -> None:
        lost, self._lost_link = self._lost_link, None
        if lost is not None:
            await self._offer_again(lost)
        elif self._resumes or self.delivered:
            await self._resume_at_home()
        elif self.generation:
            await self._offer_at_home()
        else:
            await self._offer_somewhere()

    async def _offer_again(self, lost: _LostLink) -> None:
        """Offer the same attempt on the link that was lost, if it is back.

        The agent attaches it to what it has of the attempt, so nothing runs
        twice and no retry is spent. Otherwise the work is done elsewhere.
        """
        again = await self._dispatcher.wait_recovery(
            self.request, lost.link, lost.incarnation
        )
        if not again:
            self._give_attempt_up("the link was lost")
            return
        try:
            await self._send_offer(lost.link)
        except peer_connections.PeerConnectionError:
            self._lost_link = lost
            self._drop_link_call()

    def _give_attempt_up(self, reason: str) -> None:
        """Leave an attempt for one elsewhere, which costs a retry."""
        self.generation = ""
        self._lost_attempt = True
        self._require_retry(reason)

    async def prepare_somewhere(self) -> None:
        """Ask one agent for an identifier; it may come or not."""
        link = await self._choose_link()
        try:
            await self._prepare(link)
        except peer_connections.PeerConnectionError:
            # Nothing was started; the agent may be asked again.
            self._tried.discard(link.host.host)

    async def _offer_somewhere(self) -> None:
        if not self.request.repeatable:
            await self.prepare_somewhere()
            return
        link = await self._choose_link()
        try:
            await self._send_offer(link)
        except peer_connections.PeerConnectionError:
            self._recover_from_loss()

    async def _choose_link(self) -> agent_links.AgentLink:
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
        try:
            link = await self._dispatcher.wait_home(self.generation)
            await self._send_offer(link)
        except dispatch.HomeLostError as error:
            raise self._make_unknown(str(error)) from error
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
        # From here on the agent may start it, until it refuses.
        self._may_have_started = True
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
                return self._take_run(message["runs"][0])
            case "refused":
                self._take_refusal(message)
            case "ended":
                return self._take_end(message)
        return None

    def _take_run(
        self, run: messages.Run
    ) -> typing.Optional[call_requests.CallPart]:
        # After a resume the first items may be known already; a hole would
        # mean that the agent broke the protocol.
        known = self.delivered + 1 - run["first"]
        if known < 0:
            raise errors.CallError(
                errors.INCOMPLETE,
                f"items after {self.delivered} are missing",
                step="receive items",
                peer=self._get_peer(),
            )
        texts = run["texts"][known:]
        chunks = run["chunks"][known:]
        if not texts and not chunks:
            return None
        first = self.delivered + 1
        self.delivered += len(texts) + len(chunks)
        return call_requests.CallPart(first, texts, chunks, "", 0, 0)

    def _take_refusal(self, message: codec.MessageMap) -> None:
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
        self._may_have_started = self._lost_attempt
        # The generation did not run and nothing of it was delivered, so any
        # other may take its place, unless the caller asked for this one.
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

    def _take_end(
        self, message: codec.MessageMap
    ) -> typing.Optional[call_requests.CallPart]:
        reason = message["reason"]
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
                self._give_attempt_up(message.get("detail", reason))
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
        self._start_over(error)
        return None

    def _may_run_again(self) -> bool:
        return self._is_free() and self.delivered == 0

    def _is_free(self) -> bool:
        """Tell whether the answer may come from any generation."""
        return (
            self.request.repeatable
            and not self._resumes
            and not self.request.generation
        )

    def _has_choice(self) -> bool:
        """Tell whether the answer can be generated anew elsewhere."""
        return (
            self._is_whole
            and self._is_free()
            and self._dispatcher.has_other_link(self.request, self._tried)
        )

    def _start_over(self, error: errors.CallError) -> None:
        """Have a whole answer that broke off generated anew elsewhere.

        Its caller has got nothing of it, so nothing is spliced; without this
        each engine that is lost would cost the callers of whole answers an
        error for work that may be repeated. Raises ``error`` when it may
        not, or when there is no other target or retry.
        """
        if not self._has_choice():
            raise error
        try:
            self._require_retry(error.reason)
        except errors.CallError:
            raise error from None
        self.generation = ""
        self.delivered = 0
        self._lost_attempt = True

    def _require_retry(self, reason: str, retry_after_ms: int = 0) -> None:
        """Return when another attempt is allowed, else give the answer.

        Only called when nothing ran, or when what ran may run again.
        """
        attempts = len(self._tried)
        in_time = not self.request.start_by.is_past()
        if (
            attempts < _MOST_ATTEMPTS
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
            link = await self._dispatcher.wait_home(
                self.generation, self._has_choice()
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
            self._start_over(self._make_unknown(str(error)))
        except peer_connections.PeerConnectionError:
            self._drop_link_call()

    def _make_unknown(self, reason: str) -> errors.CallError:
        code = errors.INCOMPLETE if self.delivered else errors.OUTCOME_UNKNOWN
        return errors.CallError(
            code, reason, step="find generation", peer=self.generation
        )

    async def _acknowledge(self) -> None:
        unacknowledged = self.delivered - self._acknowledged
        if unacknowledged * _ACKNOWLEDGE_SHARE < self._dispatcher.window:
            return
        call = self._link_call
        assert call is not None
        self._acknowledged = self.delivered
        try:
            with self._dispatcher.shutdown.limit_wait(self._make_overdue):
                await call.link.send(
                    {
                        "type": "acknowledge",
                        "call": call.number,
                        "through": self.delivered,
                    }
                )
        except peer_connections.PeerConnectionError:
            return  # The receiver notices the lost link itself.

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
        """Read no more; the agent keeps the generation for a while.

        An offer that has not started yet is withdrawn.
        """
        self._dispatcher.forget_call(self)
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
