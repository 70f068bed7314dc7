"""Writes operators' changes to the log and waits for their outcome."""

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

_OUTCOME_WITHIN_S: typing.Final = 8
_UNSURE_WITHIN_S: typing.Final = 3
_CHANGE_BYTES: typing.Final = 12
_RETRY_AFTER_MS: typing.Final = 1000

Action = typing.Literal["put", "delete"]


class WriteBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a write."""

    spec: dict[str, typing.Any] = {}
    base: int = configuration.ANY_REVISION
    change: str = ""


def make_refusal(reason: str, status: int = 400) -> errors.CallError:
    """Return the error for an operator's call that can't be served."""
    return errors.CallError(
        errors.INVALID_REQUEST,
        reason,
        step="administer resource",
        status=status,
    )


class ChangeWriter:
    """Appends changes, each under an identifier that makes it idempotent.

    A lost reply of the log is resolved by reading on until the change is
    seen. When it isn't seen in time it stays pending, and the same change
    can be sent again, here or at another entry, without being applied twice.
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
        """Append a change and return what became of it.

        Raises :class:`errors.CallError`: ``invalid_request`` for a write
        that could never be accepted, ``not_run`` when the log truly took
        nothing.
        """
        change = body.change or secrets.token_hex(_CHANGE_BYTES)
        wanted = pending_changes.PendingChange(change, kind, name, action)
        known = self._state.tail.state.find_outcome(change)
        if known is not None:
            return self._match(known, wanted)
        self._check(wanted, body)
        record = configuration.encode_change(
            change, action, kind, name, body.base, body.spec
        )
        checked = resource_rules.validate_change(record)
        if checked.is_error():
            raise make_refusal(checked.error.reason)
        sure = await self._append(wanted, record)
        within_s = _OUTCOME_WITHIN_S if sure else _UNSURE_WITHIN_S
        return await self._wait_outcome(wanted, within_s)

    def _match(
        self,
        known: configuration.ChangeOutcome,
        wanted: pending_changes.PendingChange,
    ) -> configuration.ChangeOutcome:
        # An identifier that is used for a second write would be answered
        # with the outcome of the first, and the second never made.
        given = (known.kind, known.name, known.action)
        if given != (wanted.kind, wanted.name, wanted.action):
            raise make_refusal(
                f"change: {known.change} was the {known.action} of "
                f"{known.kind} {known.name}"
            )
        return known

    def _check(
        self, wanted: pending_changes.PendingChange, body: WriteBody
    ) -> None:
        if wanted.action != "put":
            return
        checked = resource_rules.validate_specification(wanted.kind, body.spec)
        if checked.is_error():
            raise make_refusal(checked.error.reason)

    async def _append(
        self, wanted: pending_changes.PendingChange, record: bytes
    ) -> bool:
        """Append, and tell whether the log said that it has the record."""
        self._state.pending.add(wanted)
        try:
            await self._state.log.append_record(
                configuration.CONFIGURATION_STREAM, record
            )
        except ports.PortError as error:
            if error.took_effect:
                return False  # It may be there: reading on tells.
            self._state.pending.forget(wanted.change)
            raise errors.CallError(
                errors.NOT_RUN,
                error.reason,
                step=error.step,
                peer=error.peer,
                retry_after_ms=_RETRY_AFTER_MS,
            ) from error
        return True

    async def _wait_outcome(
        self, wanted: pending_changes.PendingChange, within_s: float
    ) -> typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange
    ]:
        tail = self._state.tail
        with trio.move_on_after(within_s):
            while (outcome := tail.state.find_outcome(wanted.change)) is None:
                await tail.wait_changed()
            self._state.pending.forget(wanted.change)
            return self._match(outcome, wanted)
        self._state.board.announce()
        return wanted

    def find_change(
        self, change: str
    ) -> typing.Union[
        configuration.ChangeOutcome, pending_changes.PendingChange, None
    ]:
        """Return what is known of a change; None when nothing is."""
        outcome = self._state.tail.state.find_outcome(change)
        if outcome is not None:
            self._state.pending.forget(change)
            return outcome
        return self._state.pending.find(change)

    def list_pending(self) -> abc.Sequence[pending_changes.PendingChange]:
        """Return the writes whose outcome isn't known here yet."""
        rows = [
            self.find_change(row.change)
            for row in self._state.pending.list_all()
        ]
        return [
            row
            for row in rows
            if isinstance(row, pending_changes.PendingChange)
        ]
