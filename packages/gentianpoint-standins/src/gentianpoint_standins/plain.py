"""Stand-in for a plain HTTP service.

Run as ``python -m gentianpoint_standins.plain --listen 127.0.0.1:0``.

``/echo`` and what is below it sends the call back as JSON, ``/slow?ms=50``
waits, ``/status/404`` answers with that status, ``/stream?chunks=3`` sends
its body in pieces, ``/crash/7`` ends the process with that exit status.
``GET /witness`` tells how often each call ran, by its header
``X-Request-Tag``; ``POST /faults`` takes the fields of :class:`PlainFaults`.
"""

import base64
import collections
from collections import abc
import os
import typing

import quart
import quart_trio
import trio
import typer

from gentianpoint_standins import arrivals
from gentianpoint_standins import counts
from gentianpoint_standins import faults
from gentianpoint_standins import serving

__all__ = ("PlainFaults", "PlainServer", "main")

_METHODS: typing.Final = (
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
    "OPTIONS",
)
_TAG: typing.Final = "X-Request-Tag"
_CRASH_S: typing.Final = 0.05
"""Seconds from the start of a call to the crash that it asks for."""


class PlainFaults(typing.NamedTuple):
    """Faults of a plain service."""

    lose_replies: int = 0
    """Number of calls to come that run without a good reply."""
    lose_by: typing.Literal["status", "drop"] = "drop"
    """Whether a lost reply is a 503 or a connection that breaks off."""
    break_stream_after: int = 0
    """Chunk of a stream after which its connection breaks off; 0 for none."""
    delay_ms: int = 0
    """Delay of each answer after the call has run, milliseconds."""
    out: bool = False
    """True when each call is answered with 503 and does not run."""
    die: bool = False
    """True ends the process now."""
    die_in_call: bool = False
    """True ends the process in the next call, after it has run."""
    limit_per_s: float = arrivals.UNLIMITED
    """Requests a second that answers name as the most it takes."""


def _list_headers(
    headers: abc.Iterable[tuple[str, str]],
) -> list[list[str]]:
    """Return the headers as they came, without the one that quart adds."""
    return [list(row) for row in headers if row[0] != "Remote-Addr"]


class PlainServer:
    """The calls of a plain service."""

    def __init__(self, name: str) -> None:
        """Serve as the target called ``name``."""
        self._name: typing.Final = name
        self._faults = PlainFaults()
        self._counts: typing.Final = counts.Counts(("runs", "finished"))
        self._arrivals: typing.Final = arrivals.Arrivals()
        self._tags: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application."""
        app = serving.make_app("plain")
        for path, view in (
            ("/echo", self.echo),
            ("/echo/<path:rest>", self.echo),
            ("/slow", self.echo),
            ("/status/<int:status>", self.answer_status),
            ("/stream", self.stream),
            ("/crash/<int:status>", self.crash),
        ):
            app.add_url_rule(
                path,
                endpoint=path,
                view_func=view,
                methods=_METHODS,
                provide_automatic_options=False,
            )
        app.add_url_rule("/faults", view_func=self.change, methods=["POST"])
        app.add_url_rule("/witness", view_func=self.show, methods=["GET"])
        return app

    async def _run(self, answer: quart.Response) -> quart.Response:
        """Let the call take effect, then answer as the faults allow."""
        self._arrivals.note()
        arrivals.name_limit(answer, self._faults.limit_per_s)
        if self._faults.out:
            return serving.answer_refusal(503, "out")
        self._tags[quart.request.headers.get(_TAG, "")] += 1
        self._counts.add("runs")
        if self._faults.die_in_call:
            os._exit(1)
        slow_ms = int(quart.request.args.get("ms", "0"))
        await trio.sleep((slow_ms + self._faults.delay_ms) / 1000)
        self._counts.add("finished")
        if self._faults.lose_replies > 0:
            return self._lose_reply()
        answer.headers["X-Target"] = self._name
        return answer

    def _lose_reply(self) -> quart.Response:
        left = self._faults.lose_replies - 1
        self._faults = self._faults._replace(lose_replies=left)
        if self._faults.lose_by == "drop":
            return serving.drop_reply()
        return serving.answer_refusal(503, "out")

    async def echo(self, rest: str = "") -> quart.Response:
        """Send the call back, with a header that comes twice."""
        body = await serving.read_body()
        answer = serving.answer_json(
            {
                "target": self._name,
                "method": quart.request.method,
                "path": quart.request.path,
                "query": quart.request.query_string.decode(),
                "headers": _list_headers(quart.request.headers),
                "body": body.decode(errors="replace"),
                "body_base64": base64.b64encode(body).decode(),
            }
        )
        answer.headers.add("Set-Cookie", "first=1")
        answer.headers.add("Set-Cookie", "second=2")
        return await self._run(answer)

    async def answer_status(self, status: int) -> quart.Response:
        """Answer with a status."""
        await serving.read_body()
        return await self._run(
            quart.Response(f"status {status}\n", status=status)
        )

    async def crash(self, status: int) -> quart.Response:
        """End the process while it runs the call."""
        await serving.read_body()
        await trio.sleep(_CRASH_S)
        os._exit(status)

    async def stream(self) -> quart.Response:
        """Send a body in chunks, ``gap_ms`` milliseconds apart."""
        await serving.read_body()
        chunks = int(quart.request.args.get("chunks", "3"))
        gap_ms = int(quart.request.args.get("gap_ms", "0"))
        return await self._run(
            quart.Response(
                self._iterate_chunks(chunks, gap_ms),
                content_type="text/plain",
            )
        )

    async def _iterate_chunks(
        self, chunks: int, gap_ms: int
    ) -> abc.AsyncIterator[bytes]:
        for number in range(1, chunks + 1):
            yield f"chunk {number}\n".encode()
            if number == self._faults.break_stream_after:
                raise serving.DroppedConnectionError
            await trio.sleep(gap_ms / 1000)

    async def change(self) -> quart.Response:
        """Change the faults."""
        body = await serving.read_body()
        self._faults = faults.change_faults(self._faults, body)
        if self._faults.die:
            os._exit(1)
        return serving.answer_json(self._faults._asdict())

    async def show(self) -> quart.Response:
        """Show how often each call ran, once the counts are as asked."""
        if refusal := await self._counts.wait_as_asked():
            return refusal
        return serving.answer_json(
            {
                "tags": dict(self._tags),
                "arrival_ages_ms": self._arrivals.list_ages_ms(),
                **self._counts.read(),
            }
        )


def main(
    listen: serving.Listen = serving.ANY_PORT,
    target_name: typing.Annotated[
        str, typer.Option(help="Name that answers carry in X-Target.")
    ] = "plain",
) -> None:
    """Serve a plain service."""

    async def serve() -> None:
        await serving.serve_app(
            PlainServer(target_name).make_app(), "plain", listen
        )

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
