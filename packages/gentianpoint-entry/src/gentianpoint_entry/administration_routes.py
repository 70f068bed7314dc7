"""The administration API: operators declare, list, watch and delete."""

from collections import abc
import secrets
import typing

import msgspec
import quart
import trio

from gentianpoint_core import configuration
from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_entry import authentication
from gentianpoint_entry import entry_state
from gentianpoint_entry import request_options

__all__ = ("make_administration_routes",)

_JSON: typing.Final = "application/json"
_OUTCOME_WITHIN_S: typing.Final = 8
_CHANGE_BYTES: typing.Final = 12
_KINDS: typing.Final[abc.Mapping[str, typing.Any]] = {
    "services": configuration.SERVICE,
    "customers": configuration.CUSTOMER,
}
_RETRY_AFTER_MS: typing.Final = 1000


class _WriteBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a write."""

    spec: dict[str, typing.Any] = {}
    base: int = configuration.ANY_REVISION
    change: str = ""


def _refuse(reason: str, status: int = 400) -> errors.CallError:
    return errors.CallError(
        errors.INVALID_REQUEST,
        reason,
        step="administer resource",
        status=status,
    )


def _find_kind(plural: str) -> typing.Any:
    kind = _KINDS.get(plural)
    if kind is None:
        raise _refuse(f"there are no resources {plural}", 404)
    return kind


def _describe_resource(item: configuration.Resource) -> dict[str, object]:
    return {
        "kind": item.kind,
        "name": item.name,
        "revision": item.revision,
        "spec": msgspec.json.decode(item.spec),
    }


def _answer(body: object, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(body), status=status, content_type=_JSON
    )


class _Administrator:
    """Writes changes to the log and waits for their outcome."""

    def __init__(self, state: entry_state.EntryState) -> None:
        self._state: typing.Final = state

    async def write(
        self,
        action: typing.Literal["put", "delete"],
        kind: typing.Any,
        name: str,
        body: _WriteBody,
    ) -> quart.Response:
        """Append a change and answer with what became of it.

        A lost reply of the log is resolved by reading on until the change is
        seen; when it is not seen in time the answer is ``pending``, and the
        same change can be sent again: its identifier makes it idempotent.
        """
        change = body.change or secrets.token_hex(_CHANGE_BYTES)
        known = self._state.tail.state.find_outcome(change)
        if known is not None:
            return self._answer_outcome(known)
        if action == "put":
            checked = configuration.validate_specification(kind, body.spec)
            if checked.is_error():
                raise _refuse(checked.error.reason)
        record = configuration.encode_change(
            change, action, kind, name, body.base, body.spec
        )
        await self._append(record)
        return await self._wait_outcome(change)

    async def _append(self, record: bytes) -> None:
        try:
            await self._state.log.append_record(
                configuration.CONFIGURATION_STREAM, record
            )
        except ports.PortError as error:
            if error.took_effect:
                return  # It may be there: reading on tells.
            raise errors.CallError(
                errors.NOT_RUN,
                error.reason,
                step=error.step,
                peer=error.peer,
                retry_after_ms=_RETRY_AFTER_MS,
            ) from error

    async def _wait_outcome(self, change: str) -> quart.Response:
        tail = self._state.tail
        with trio.move_on_after(_OUTCOME_WITHIN_S):
            while (outcome := tail.state.find_outcome(change)) is None:
                await tail.wait_changed()
            return self._answer_outcome(outcome)
        return _answer({"change": change, "state": "pending"}, 202)

    def _answer_outcome(
        self, outcome: configuration.ChangeOutcome
    ) -> quart.Response:
        if outcome.accepted:
            return _answer(
                {
                    "change": outcome.change,
                    "state": "accepted",
                    "revision": outcome.offset,
                }
            )
        return _answer(
            {
                "change": outcome.change,
                "state": "refused",
                "reason": outcome.reason,
                "error": {"code": "conflict", "message": outcome.reason},
            },
            409,
        )


def _read_body(data: bytes) -> _WriteBody:
    try:
        return msgspec.json.decode(data or b"{}", type=_WriteBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise _refuse(str(error)) from error


def make_administration_routes(
    state: entry_state.EntryState,
) -> quart.Blueprint:
    """Return the routes under ``/admin/v1``."""
    routes = quart.Blueprint("administration", __name__, url_prefix="/admin")
    administrator = _Administrator(state)

    @routes.before_request
    async def authenticate() -> None:
        authentication.check_operator(
            quart.request.headers.get("Authorization", ""),
            state.settings.operator_key_hash,
        )

    @routes.get("/v1/<plural>")
    async def list_resources(plural: str) -> quart.Response:
        items = state.tail.state.list_resources(_find_kind(plural))
        rows = [_describe_resource(item) for item in items]
        return _answer({"revision": state.tail.state.offset, "items": rows})

    @routes.get("/v1/<plural>/<name>")
    async def get_resource(plural: str, name: str) -> quart.Response:
        item = state.tail.state.find_resource(_find_kind(plural), name)
        if item is None:
            raise _refuse(f"there is no {plural}/{name}", 404)
        return _answer(_describe_resource(item))

    @routes.put("/v1/<plural>/<name>")
    async def put_resource(plural: str, name: str) -> quart.Response:
        body = _read_body(await request_options.read_body())
        return await administrator.write("put", _find_kind(plural), name, body)

    @routes.delete("/v1/<plural>/<name>")
    async def delete_resource(plural: str, name: str) -> quart.Response:
        body = _read_body(await request_options.read_body())
        return await administrator.write(
            "delete", _find_kind(plural), name, body
        )

    return routes
