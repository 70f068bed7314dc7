"""Stand-in for the platform's rate-limited store of weights.

Run as ``python -m gentianpoint_standins.weights --listen 127.0.0.1:0``. All
models have the same size, and all readers share one rate. With a limit of
readers it refuses more with 429 and ``Retry-After``. ``GET /witness`` gives
the number of bytes sent of each model, of refusals, and the most readers
that were there at once; ``POST /faults`` takes the fields of
:class:`WeightFaults`.
"""

import collections
from collections import abc
import typing

import quart
import quart_trio
import trio
import typer

from gentianpoint_core import deadlines
from gentianpoint_standins import counts
from gentianpoint_standins import faults
from gentianpoint_standins import serving

__all__ = (
    "LET_IN_MS",
    "SharedRate",
    "WeightFaults",
    "WeightService",
    "main",
)

_CHUNK_BYTES: typing.Final = 64 * 1024
LET_IN_MS: typing.Final = 5000
"""Time after which a reading that was let in and never began counts no more:
its caller has gone."""
_RETRY_AFTER_S: typing.Final = 1
_WEIGHTS_TYPE: typing.Final = "application/octet-stream"


class WeightFaults(typing.NamedTuple):
    """Faults of the weight store."""

    out: bool = False
    """True when every call is answered with 503."""
    rate: float = 0.0
    """Bytes a second for all readers together; 0 for the usual rate."""
    break_after_bytes: int = 0
    """Bytes after which a reader's connection breaks off; 0 for never."""


class SharedRate:
    """A rate that all who send share, first come first served."""

    def __init__(self) -> None:
        """Begin with nothing sent."""
        self._next_at = trio.current_time()

    async def wait_to_send(self, size: int, rate: float) -> None:
        """Wait until ``size`` bytes may be sent at ``rate`` a second."""
        starts_at = max(self._next_at, trio.current_time())
        self._next_at = starts_at + size / rate
        await trio.sleep_until(self._next_at)


class WeightService:
    """The calls of the weight store."""

    def __init__(self, size: int, rate: float, max_readers: int) -> None:
        """Serve models of ``size`` bytes at ``rate`` bytes a second.

        ``max_readers`` may read at once; 0 stands for no limit.
        """
        self._size: typing.Final = size
        self._max_readers: typing.Final = max_readers
        self._readers = 0
        self._let_in: collections.deque[deadlines.Deadline] = (
            collections.deque()
        )
        self._most_readers = 0
        self._usual_rate: typing.Final = rate
        self._shared: typing.Final = SharedRate()
        self._faults = WeightFaults()
        self._counts: typing.Final = counts.Counts(
            ("reads", "whole", "bytes", "refused", "sizes")
        )
        self._sent: typing.Final[collections.Counter[str]] = (
            collections.Counter()
        )

    def make_app(self) -> quart_trio.QuartTrio:
        """Make the application."""
        app = serving.make_app("weights")
        app.add_url_rule(
            "/weights/<model>/<version>",
            view_func=self.read,
            methods=["GET", "HEAD"],
        )
        app.add_url_rule("/faults", view_func=self.change, methods=["POST"])
        app.add_url_rule("/witness", view_func=self.show, methods=["GET"])
        return app

    async def read(self, model: str, version: str) -> quart.Response:
        """Send weights, or their size alone."""
        if self._faults.out:
            return self._refuse(503, "out")
        headers = {"Content-Length": str(self._size)}
        if quart.request.method == "HEAD":
            answer = quart.Response(b"", content_type=_WEIGHTS_TYPE)
            answer.headers.update(headers)
            self._counts.add("sizes")
            return answer
        if 0 < self._max_readers <= self._count_readers():
            return self._refuse(429, "too many readers")
        self._counts.add("reads")
        self._let_in.append(deadlines.make_deadline(LET_IN_MS))
        return quart.Response(
            self._iterate_chunks(f"{model}/{version}"),
            headers=headers,
            content_type=_WEIGHTS_TYPE,
        )

    def _refuse(self, status: int, reason: str) -> quart.Response:
        self._counts.add("refused")
        refusal = serving.answer_refusal(status, reason)
        refusal.headers["Retry-After"] = str(_RETRY_AFTER_S)
        return refusal

    def _count_readers(self) -> int:
        """Count those that read, and those that were let in to begin.

        Between the head of an answer and its first byte other requests are
        taken; counted from the first byte, more would be let in.
        """
        while self._let_in and self._let_in[0].is_past():
            self._let_in.popleft()
        return self._readers + len(self._let_in)

    async def _iterate_chunks(self, name: str) -> abc.AsyncIterator[bytes]:
        if self._let_in:
            self._let_in.popleft()
        self._readers += 1
        self._most_readers = max(self._most_readers, self._readers)
        try:
            async for chunk in self._send_chunks(name):
                yield chunk
        finally:
            self._readers -= 1

    async def _send_chunks(self, name: str) -> abc.AsyncIterator[bytes]:
        left = self._size
        while left:
            size = min(_CHUNK_BYTES, left)
            rate = self._faults.rate or self._usual_rate
            await self._shared.wait_to_send(size, rate)
            yield bytes(size)
            left -= size
            self._sent[name] += size
            self._counts.add("bytes", size)
            limit = self._faults.break_after_bytes
            if self._faults.out or 0 < limit <= self._size - left:
                raise serving.DroppedConnectionError
        self._counts.add("whole")

    async def change(self) -> quart.Response:
        """Change the faults."""
        body = await serving.read_body()
        self._faults = faults.change_faults(self._faults, body)
        return serving.answer_json(self._faults._asdict())

    async def show(self) -> quart.Response:
        """Show what was sent, once the counts are as asked for."""
        if refusal := await self._counts.wait_as_asked():
            return refusal
        return serving.answer_json(
            {
                "sent": dict(self._sent),
                "most_readers": self._most_readers,
                **self._counts.read(),
            }
        )


def main(
    listen: serving.Listen = serving.ANY_PORT,
    size: typing.Annotated[
        int, typer.Option(help="Bytes of each model's weights.")
    ] = 1024 * 1024,
    rate: typing.Annotated[
        float, typer.Option(help="Bytes a second for all readers together.")
    ] = 16 * 1024 * 1024,
    max_readers: typing.Annotated[
        int, typer.Option(help="Most readers at once; 0 for any number.")
    ] = 0,
) -> None:
    """Serve a weight store."""

    async def serve() -> None:
        app = WeightService(size, rate, max_readers).make_app()
        await serving.serve_app(app, "weights", listen)

    trio.run(serve)


if __name__ == "__main__":
    typer.run(main)
