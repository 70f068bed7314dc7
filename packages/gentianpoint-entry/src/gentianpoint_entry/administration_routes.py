"""HTTP routes of the administration API for resources and changes.

Resources are read from ``state.tail.state``, the configuration as this entry
has read it from the log so far. ``state.tracker`` reads the status records,
which tell up to which change each host has applied the configuration, and
counts the hosts on which a change is in force.
"""

from collections import abc
import typing

import msgspec
import quart
import trio

from gentianpoint_core import configuration
from gentianpoint_entry import administration_state
from gentianpoint_entry import authentication
from gentianpoint_entry import change_answers
from gentianpoint_entry import change_watch
from gentianpoint_entry import change_writer
from gentianpoint_entry import request_options

__all__ = ("make_administration_routes",)

_KINDS: typing.Final[abc.Mapping[str, typing.Any]] = {
    "services": configuration.SERVICE,
    "customers": configuration.CUSTOMER,
}
_STATUSES: typing.Final[abc.Mapping[str, int]] = {
    change_answers.ACCEPTED: 200,
    change_answers.PENDING: 202,
    change_answers.REFUSED: 409,
}
_MAX_PAGE_ITEMS: typing.Final = 500
_RETRY_AFTER_S: typing.Final = 1
_JSON_LINES: typing.Final = "application/x-ndjson"


def _parse_kind(plural: str) -> typing.Any:
    kind = _KINDS.get(plural)
    if kind is None:
        raise change_writer.make_refusal(
            f"there are no resources {plural}", 404
        )
    return kind


def _read_body(data: bytes) -> change_writer.WriteBody:
    try:
        return msgspec.json.decode(data or b"{}", type=change_writer.WriteBody)
    except (msgspec.DecodeError, RecursionError) as error:
        raise change_writer.make_refusal(str(error)) from error


def _answer_change(row: change_answers.ChangeRow) -> quart.Response:
    body: dict[str, object] = dict(row)
    if row["state"] == change_answers.REFUSED:
        body["error"] = {"code": "conflict", "message": row["reason"]}
    answer = change_answers.make_json_answer(body, _STATUSES[row["state"]])
    if row["state"] == change_answers.PENDING:
        answer.headers["Retry-After"] = str(_RETRY_AFTER_S)
    return answer


def _add_resource_routes(
    routes: quart.Blueprint, state: administration_state.AdministrationState
) -> None:
    writer = change_writer.ChangeWriter(state)

    async def write(
        action: change_writer.Action, plural: str, name: str
    ) -> quart.Response:
        body = _read_body(await request_options.read_body())
        change = await writer.write(action, _parse_kind(plural), name, body)
        return _answer_change(change_answers.describe_change(change))

    @routes.get("/v1/<plural>")
    async def list_resources(plural: str) -> quart.Response:
        kind = _parse_kind(plural)
        arguments = quart.request.args
        limit = request_options.read_limit(arguments, _MAX_PAGE_ITEMS)
        # Sorted in a thread: sorting tens of thousands of customers in the
        # event loop would stall token streams.
        snapshot = state.tail.state.copy_state()
        page = await trio.to_thread.run_sync(
            configuration.list_page,
            snapshot,
            kind,
            arguments.get("after_name", ""),
            limit,
        )
        rows = [change_answers.describe_resource(item) for item in page]
        next_name = page[-1].name if len(page) == limit else ""
        return change_answers.make_json_answer(
            {"revision": snapshot.offset, "items": rows, "next": next_name}
        )

    @routes.get("/v1/<plural>/<name>")
    async def get_resource(plural: str, name: str) -> quart.Response:
        item = state.tail.state.find_resource(_parse_kind(plural), name)
        if item is None:
            raise change_writer.make_refusal(
                f"there is no {plural}/{name}", 404
            )
        return change_answers.make_json_answer(
            change_answers.describe_resource(item)
        )

    @routes.put("/v1/<plural>/<name>")
    async def put_resource(plural: str, name: str) -> quart.Response:
        return await write("put", plural, name)

    @routes.delete("/v1/<plural>/<name>")
    async def delete_resource(plural: str, name: str) -> quart.Response:
        return await write("delete", plural, name)


def _add_change_routes(
    routes: quart.Blueprint, state: administration_state.AdministrationState
) -> None:
    writer = change_writer.ChangeWriter(state)
    watchers = change_watch.Watchers(state, writer)

    @routes.get("/v1/changes/<change>")
    async def get_change(change: str) -> quart.Response:
        found = writer.find_change(change)
        if found is None:
            raise change_writer.make_refusal(
                f"the change {change} is not known here: it never reached "
                "the log, waits at another entry, or is too old",
                404,
            )
        row = change_answers.describe_change(found)
        body: dict[str, object] = dict(row)
        if row["state"] == change_answers.ACCEPTED:
            await state.tracker.wait_until_caught_up()
            body["in_force"] = change_answers.describe_in_force(
                state.tracker.count_hosts_in_force(row["revision"])
            )
        return change_answers.make_json_answer(body)

    @routes.get("/v1/watch")
    async def watch_changes() -> quart.Response:
        arguments = quart.request.args
        after = state.tail.state.offset
        if "after" in arguments:
            after = request_options.read_after(arguments)
        kind = ""
        if "kind" in arguments:
            kind = _parse_kind(arguments["kind"])
        answer = quart.Response(
            watchers.open_watch(after, kind), content_type=_JSON_LINES
        )
        answer.timeout = None
        return answer


def make_administration_routes(
    state: administration_state.AdministrationState,
) -> quart.Blueprint:
    """Return the routes under ``/admin/v1``, open to operators only."""
    routes = quart.Blueprint("administration", __name__, url_prefix="/admin")

    @routes.before_request
    async def authenticate() -> None:
        authentication.check_operator(
            quart.request.headers.get("Authorization", ""),
            state.operator_key_hash,
        )

    _add_resource_routes(routes, state)
    _add_change_routes(routes, state)
    return routes
