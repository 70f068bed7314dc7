"""HTTP routes with which operators evacuate data centres."""

from collections import abc
import typing

import quart
import trio

from gentianpoint_core import errors
from gentianpoint_core import ports
from gentianpoint_entry import agent_links
from gentianpoint_entry import authentication
from gentianpoint_entry import change_answers
from gentianpoint_entry import change_writer
from gentianpoint_entry import evacuation_stream

__all__ = ("make_evacuation_routes",)

_WRITE_TIMEOUT_S: typing.Final = 5.0
"""Timeout of the log's acknowledgement, seconds."""
_RETRY_AFTER_MS: typing.Final = 1000
_MAX_NAME_LENGTH: typing.Final = 63
"""Longest name of a data centre, in characters."""


class EvacuationRow(typing.TypedDict):
    """An evacuated data centre as it appears in an answer."""

    name: str
    """Name of the data centre."""
    revision: int
    """Offset of the record of its evacuation."""
    n: int
    """Agents there that are connected to this entry and refuse new calls."""
    of: int
    """Agents there that are connected to this entry."""


def _describe(
    data_centre: str, offset: int, links: abc.Iterable[agent_links.AgentLink]
) -> EvacuationRow:
    there = [
        link
        for link in links
        if link.host.data_centre == data_centre and link.is_connected()
    ]
    refusing = [link for link in there if link.refuses_as_evacuated()]
    return {
        "name": data_centre,
        "revision": offset,
        "n": len(refusing),
        "of": len(there),
    }


def make_evacuation_routes(
    stream: evacuation_stream.EvacuationStream,
    list_links: abc.Callable[[], abc.Iterable[agent_links.AgentLink]],
    operator_key_hash: str,
) -> quart.Blueprint:
    """Return the routes ``/admin/v1/evacuations``, for operators only."""
    routes = quart.Blueprint("evacuations", __name__, url_prefix="/admin")

    @routes.before_request
    async def authenticate() -> None:
        authentication.check_operator(
            quart.request.headers.get("Authorization", ""), operator_key_hash
        )

    async def write(data_centre: str, *, is_evacuated: bool) -> quart.Response:
        if len(data_centre) > _MAX_NAME_LENGTH:
            raise change_writer.make_refusal("the name is too long")
        try:
            with trio.fail_after(_WRITE_TIMEOUT_S):
                offset = await stream.write(
                    data_centre, is_evacuated=is_evacuated
                )
        except (ports.PortError, trio.TooSlowError) as error:
            took_effect = getattr(error, "took_effect", True)
            raise errors.CallError(
                errors.OUTCOME_UNKNOWN if took_effect else errors.NOT_RUN,
                f"the log did not acknowledge it: {error!r}",
                step="write evacuation",
                retry_after_ms=_RETRY_AFTER_MS,
            ) from error
        return change_answers.make_json_answer(
            {
                "name": data_centre,
                "evacuated": is_evacuated,
                "revision": offset,
            }
        )

    @routes.get("/v1/evacuations")
    async def list_evacuations() -> quart.Response:
        offsets = stream.evacuations.find_offsets()
        rows = [
            _describe(name, offset, list_links())
            for name, offset in sorted(offsets.items())
        ]
        return change_answers.make_json_answer(
            {"revision": stream.offset, "items": rows}
        )

    @routes.put("/v1/evacuations/<data_centre>")
    async def evacuate(data_centre: str) -> quart.Response:
        return await write(data_centre, is_evacuated=True)

    @routes.delete("/v1/evacuations/<data_centre>")
    async def take_back(data_centre: str) -> quart.Response:
        return await write(data_centre, is_evacuated=False)

    return routes
