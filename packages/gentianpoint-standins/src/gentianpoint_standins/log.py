"""Stand-in for the platform's log service.

Run as ``python -m gentianpoint_standins.log --listen 127.0.0.1:0``. It
serves what docs/design/platform-interfaces.md says, ``POST /faults`` with
the fields of :class:`LogFaults`, and ``GET /witness`` with the number of
records that each stream ever got, of appends, and of readers that waited.
"""

import base64
import typing

import quart
import quart_trio
import trio
import typer

from gentianpoint_standins import counts
from gentianpoint_standins import faults
from gentianpoint_standins import log_store
from gentianpoint_standins import serving

__all__ = ("LogFaults", "LogService", "main")

_MAX_RECORD_BYTES: typing.Final = 1024 * 1024
_DEFAULT_LIMIT: typing.Final = 1000
_ERA_HEADER: typing.Final = "Gentianpoint-Log-Era"


class LogFaults(typing.NamedTuple):
    """Faults of the log service."""

    out: bool = False
    """True when every call is answered with 503."""
    slow_ms: int = 0
    """Delay before each call is looked at, milliseconds."""
    lose_replies: int = 0
    """Number of appends to come that take effect without a good reply."""
    lose_by: typing.Literal["status", "drop"] = "status"
    """Whether a lost reply is a 503 or a connection that breaks off."""
    expire_before: dict[str, int] = {}
    """Offsets below which the records of a stream are forgotten now."""
    lose_last: dict[str, int] = {}
    """Number of the last records of a stream that are lost now, as if the
    log came back from an older copy; the era rises by one."""


class LogService:
    """The calls of the log service."""

    def __init__(self, store: log_store.LogStore, rate: float) -> None:
        """Serve ``store``, with up to ``rate`` appends a second."""
        self._store: typing.Final = store
        self._rate: typing.Final = log_store.RateLimit(rate)
        self._faults = LogFaults()
        self._counts: typing.Final = counts.Counts(("appends", "waits"))

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application."""
        app = serving.make_app("log")
        path = "/streams/<name>/records"
        app.add_url_rule(path, view_func=self.append, methods=["POST"])
        app.add_url_rule(path, view_func=self.read, methods=["GET"])
        app.add_url_rule("/faults", view_func=self.change, methods=["POST"])
        app.add_url_rule("/witness", view_func=self.show, methods=["GET"])
        app.after_request(self._add_era)
        return app

    async def _add_era(self, response: quart.Response) -> quart.Response:
        response.headers[_ERA_HEADER] = str(self._store.era)
        return response

    def _refuse_while_out(self) -> typing.Optional[quart.Response]:
        if self._faults.out:
            return serving.answer_refusal(503, "out")
        return None

    async def append(self, name: str) -> quart.Response:
        """Append the body to the stream ``name``."""
        data = await serving.read_body()
        await trio.sleep(self._faults.slow_ms / 1000)
        if refusal := self._refuse_while_out():
            return refusal
        if len(data) > _MAX_RECORD_BYTES:
            return serving.answer_refusal(413, "record is too large")
        if not self._rate.take():
            return serving.answer_refusal(429, "too many appends")
        offset = self._store.append(name, data)
        self._counts.add("appends")
        if self._faults.lose_replies > 0:
            return self._lose_reply()
        return serving.answer_json({"offset": offset})

    def _lose_reply(self) -> quart.Response:
        left = self._faults.lose_replies - 1
        self._faults = self._faults._replace(lose_replies=left)
        if self._faults.lose_by == "drop":
            return serving.drop_reply()
        return serving.answer_refusal(503, "out")

    async def read(self, name: str) -> quart.Response:
        """Read records, and wait for one when there are none yet."""
        start = max(1, int(quart.request.args.get("from", "1")))
        limit = int(quart.request.args.get("limit", str(_DEFAULT_LIMIT)))
        wait_ms = int(quart.request.args.get("wait_ms", "0"))
        await trio.sleep(self._faults.slow_ms / 1000)
        if not self._faults.out:
            await self._wait_for_record(name, start, wait_ms)
        if refusal := self._refuse_while_out():
            return refusal
        found = self._store.read(name, start, limit)
        records = [
            {
                "offset": record.offset,
                "data": base64.b64encode(record.data).decode(),
            }
            for record in found.records
        ]
        return serving.answer_json(
            {"first": found.first, "next": found.next, "records": records}
        )

    async def _wait_for_record(
        self, name: str, start: int, wait_ms: int
    ) -> None:
        self._counts.add("waits")
        with trio.move_on_after(wait_ms / 1000):
            await self._store.wait_for_record(name, start)

    async def change(self) -> quart.Response:
        """Change the faults."""
        body = await serving.read_body()
        changed = faults.change_faults(self._faults, body)
        for name, offset in changed.expire_before.items():
            self._store.expire_before(name, offset)
        if changed.lose_last:
            self._store.lose_last(changed.lose_last)
        self._faults = changed._replace(expire_before={}, lose_last={})
        if self._faults.out:
            self._store.wake_readers()
        return serving.answer_json(self._faults._asdict())

    async def show(self) -> quart.Response:
        """Show what came in, once the counts are as asked for."""
        if refusal := await self._counts.wait_as_asked():
            return refusal
        records = self._store.count_records()
        return serving.answer_json({"records": records, **self._counts.read()})


def main(
    listen: serving.Listen = serving.ANY_PORT,
    rate: typing.Annotated[
        float, typer.Option(help="Most appends a second.")
    ] = 500.0,
    max_age_ms: typing.Annotated[
        int, typer.Option(help="Age at which records expire.")
    ] = 24 * 3600 * 1000,
    max_records: typing.Annotated[
        int, typer.Option(help="Most records kept of each stream.")
    ] = 1_000_000,
) -> None:
    """Serve a log."""

    async def serve() -> None:
        store = log_store.LogStore(max_age_ms, max_records)
        service = LogService(store, rate)
        await serving.serve_app(service.make_app(), "log", listen)

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
