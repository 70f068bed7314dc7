"""Appends operators' changes to the log and waits for their outcome."""

from collections import abc
import secrets
import typing

import msgspec
import trio

from gentianpoint_core import configuration
from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_core import resource_rules
from gentianpoint_entry import administration_state
from gentianpoint_entry import pending_changes

__all__ = ("ChangeWriter", "WriteBody", "make_refusal")

_CONFIRMED_TIMEOUT_S: typing.Final = 8
"""Longest wait for the outcome of a change that the log has confirmed,
seconds."""
_UNCONFIRMED_TIMEOUT_S: typing.Final = 3
"""Longest wait for the outcome when the log's reply was lost, seconds."""
_IDENTIFIER_BYTES: typing.Final = 12
"""Length of a generated change identifier, random bytes."""
_RETRY_AFTER_MS: typing.Final = 1000

Action = typing.Literal["put", "delete"]


class WriteBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a request that writes or deletes a resource."""

    spec: dict[str, typing.Any] = {}
    base: int = configuration.ANY_REVISION
    change: str = ""


def make_refusal(reason: str, status: int = 400) -> errors.CallError:
    """Return the error for an invalid call of an operator."""
    return errors.CallError(
        errors.INVALID_REQUEST,
        reason,
        step="administer resource",
        status=status,
    )


class ChangeWriter:
    """Appends changes, each with an identifier that makes it idempotent.

    When the log's reply is lost, the configuration stream tells whether the
    change was written. A change that isn't seen there in time stays pending,
    and can be sent again, to this or another entry, without being applied
    twice.
    """

    def __init__(
        self, state: administration_state.AdministrationState
    ) -> None:
        """Write to the log of ``state``."""
        self._state: typing.Final = state

    async def write(
        self, action: Action, kind: typing.Any, name: str, body: WriteBody
    ) -> typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange
    ]:
        """Append a change and return its outcome, or the pending change.

        Raises :class:`errors.CallError`: ``invalid_request`` for a change
        that could never be accepted, ``not_run`` when the log certainly
        stored nothing.
        """
        change = body.change or secrets.token_hex(_IDENTIFIER_BYTES)
        requested = pending_changes.PendingChange(change, kind, name, action)
        known = self._state.tail.state.find_outcome(change)
        if known is not None:
            return self._check_same_change(known, requested)
        self._check_specification(requested, body)
        record = configuration.encode_change(
            change, action, kind, name, body.base, body.spec
        )
        checked = resource_rules.validate_change(record)
        if checked.is_error():
            raise make_refusal(checked.error.reason)
        confirmed = await self._append(requested, record)
        timeout_s = (
            _CONFIRMED_TIMEOUT_S if confirmed else _UNCONFIRMED_TIMEOUT_S
        )
        return await self._wait_outcome(requested, timeout_s)

    def _check_same_change(
        self,
        known: configuration.ChangeOutcome,
        requested: pending_changes.PendingChange,
    ) -> configuration.ChangeOutcome:
        # If an identifier is reused for a different change, that change
        # would be answered with the first one's outcome and never written.
        given = (known.kind, known.name, known.action)
        if given != (requested.kind, requested.name, requested.action):
            raise make_refusal(
                f"change: {known.change} was the {known.action} of "
                f"{known.kind} {known.name}"
            )
        return known

    def _check_specification(
        self, requested: pending_changes.PendingChange, body: WriteBody
    ) -> None:
        if requested.action != "put":
            return
        checked = resource_rules.validate_specification(
            requested.kind, body.spec
        )
        if checked.is_error():
            raise make_refusal(checked.error.reason)

    async def _append(
        self, requested: pending_changes.PendingChange, record: bytes
    ) -> bool:
        """Append the record; tell whether the log confirmed that."""
        self._state.pending.add(requested)
        try:
            await self._state.log.append_record(
                configuration.CONFIGURATION_STREAM, record
            )
        except ports.PortError as error:
            if error.took_effect:
                return False  # The stream will tell whether it was stored.
            self._state.pending.forget(requested.change)
            raise errors.CallError(
                errors.NOT_RUN,
                error.reason,
                step=error.step,
                peer=error.peer,
                retry_after_ms=_RETRY_AFTER_MS,
            ) from error
        return True

    async def _wait_outcome(
        self, requested: pending_changes.PendingChange, timeout_s: float
    ) -> typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange
    ]:
        tail = self._state.tail
        with trio.move_on_after(timeout_s):
            while (
                outcome := tail.state.find_outcome(requested.change)
            ) is None:
                await tail.wait_changed()
            self._state.pending.forget(requested.change)
            return self._check_same_change(outcome, requested)
        self._state.tracker.notify_changed()
        return requested

    def find_change(
        self, change: str
    ) -> typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange, None
    ]:
        """Return the outcome of a change, the pending change, or None."""
        outcome = self._state.tail.state.find_outcome(change)
        if outcome is not None:
            self._state.pending.forget(change)
            return outcome
        return self._state.pending.find(change)

    def list_pending(self) -> abc.Sequence[pending_changes.PendingChange]:
        """Return the changes whose outcome isn't known here yet."""
        rows = [
            self.find_change(row.change)
            for row in self._state.pending.list_all()
        ]
        return [
            row
            for row in rows
            if isinstance(row, pending_changes.PendingChange)
        ]
