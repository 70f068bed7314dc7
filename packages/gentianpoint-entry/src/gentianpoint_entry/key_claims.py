"""Binding of calls with an idempotency key to one generation.

An entry prepares a generation identifier at an agent and then claims the key
for it in the log. Every call with the key starts the claimed identifier, and
the identifier's home starts it only once. An entry may therefore fail after
any step, and two entries may race: only the claimed identifier ever runs.
"""

import typing

from gentianpoint_core import errors
from gentianpoint_core import logs
from gentianpoint_core.generated import events
from gentianpoint_entry import call_requests
from gentianpoint_entry import claim_streams
from gentianpoint_entry import configuration_tail
from gentianpoint_entry import dispatch
from gentianpoint_entry import prepared_generations
from gentianpoint_entry import request_digests

__all__ = ("KeyClaims", "name_stream")

_STREAM_PREFIX: typing.Final = "idempotency-"
"""Prefix of the names of key streams."""


def name_stream(customer: str, key: str) -> str:
    """Return the name of the log stream of a customer's key.

    The name is a digest, since a key may contain confidential data.
    """
    return _STREAM_PREFIX + request_digests.digest_parts((customer, key)).hex()


class KeyClaims:
    """Binds calls with idempotency keys to generations."""

    def __init__(
        self,
        streams: claim_streams.ClaimStreams,
        dispatcher: dispatch.Dispatcher,
        tail: configuration_tail.ConfigurationTail,
    ) -> None:
        """Prepare with ``dispatcher`` and claim in ``streams``.

        ``tail`` tells whether the log is available.
        """
        self._streams: typing.Final = streams
        self._dispatcher: typing.Final = dispatcher
        self._tail: typing.Final = tail

    async def bind(
        self, request: call_requests.CallRequest, key: str
    ) -> call_requests.CallRequest:
        """Return the request with the generation claimed for its key.

        Raises :class:`errors.CallError` with ``invalid_request`` when the
        key was used for a different request, and with ``outcome_unknown``
        when the claim can't be determined.
        """
        marker = dispatch.OpenCall()
        # The call that runs the request credits the retry budget itself.
        uncredited = request._replace(retry_share=0.0)
        # Registered as open from here on, since a shutdown could otherwise
        # cut the call off between its claim and its start.
        self._dispatcher.add_call(marker, uncredited)
        try:
            with self._dispatcher.shutdown.limit_wait(
                lambda: claim_streams.make_unknown_outcome(
                    "this entry ends before the key is bound; "
                    "send the same key again",
                    name_stream(request.customer, key),
                )
            ):
                return await self._bind(uncredited, key, request)
        finally:
            self._dispatcher.forget_call(marker)

    async def _bind(
        self,
        uncredited: call_requests.CallRequest,
        key: str,
        request: call_requests.CallRequest,
    ) -> call_requests.CallRequest:
        stream = name_stream(request.customer, key)
        if not self._tail.is_log_available():
            raise claim_streams.make_unknown_outcome(
                "the log is out; send the same key again", stream
            )
        digest = request_digests.digest_request(
            request.service, request.request
        )
        claim = await self._streams.find_claim(stream)
        if claim is None:
            identifier = await self._prepare(uncredited, stream)
            wanted = claim_streams.KeyClaim(digest, identifier)
            claim = await self._streams.make_claim(stream, wanted)
            logs.log_event(
                events.KEY_CLAIMED,
                request=request.identifier,
                stream=stream,
                prepared=identifier,
                generation=claim.generation,
            )
        else:
            logs.log_event(
                events.KEY_REPEATED,
                request=request.identifier,
                stream=stream,
                generation=claim.generation,
            )
        if claim.request != digest:
            raise errors.CallError(
                errors.INVALID_REQUEST,
                "Idempotency-Key: it was used for another request",
                step="read headers",
            )
        return request._replace(generation=claim.generation)

    async def _prepare(
        self, request: call_requests.CallRequest, stream: str
    ) -> str:
        try:
            return await prepared_generations.prepare_generation(
                self._dispatcher, request
            )
        except errors.CallError as error:
            if error.code != errors.NOT_RUN:
                raise
            # This call started nothing, but since the stream was read another
            # call with the same key may have claimed it and started.
            raise claim_streams.make_unknown_outcome(
                f"{error.reason}; send the same key again",
                stream,
                error.retry_after_ms,
            ) from error
