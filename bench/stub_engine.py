"""The cheapest engine that speaks the engine interface, for measurements.

It steps all its streams at once, as an engine does, and each token's text is
the time at which it was made, microseconds of the machine's monotonic clock,
so that a reader can tell how long the way took. A prompt ``tokens:50`` gets
50 tokens; the first is made at once. Run as
``python -m bench.stub_engine STEP_MS``; prints the port.
"""

import re
import sys
import time
import typing

import msgspec
import trio

__all__ = ("main",)

_HEAD_END: typing.Final = b"\r\n\r\n"
_LENGTH: typing.Final = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_TOKENS: typing.Final = re.compile(r"tokens:(\d+)")
_LOAD: typing.Final = msgspec.json.encode(
    {
        "boot": "stub",
        "age_ms": 0,
        "blocks": 1_000_000,
        "blocks_used": 0,
        "block_tokens": 16,
        "running": 0,
        "waiting": 0,
        "preemptions": 0,
        "redone_tokens": 0,
        "model": "",
        "adapter": "",
        "version": "",
        "role": "serve",
        "loading": False,
        "reclaim_in_ms": None,
    }
)


def _make_chunk(line: bytes) -> bytes:
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


def _make_token(number: int) -> bytes:
    now_us = time.monotonic_ns() // 1000
    return _make_chunk(b'{"n":%d,"text":" %d"}' % (number, now_us))


class _Request(typing.NamedTuple):
    line: bytes
    body: bytes


class _Connection:
    """Requests on one connection, one after the other."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream: typing.Final = stream
        self._buffer = b""

    async def _fill(self) -> None:
        data = await self.stream.receive_some()
        if not data:
            raise EOFError
        self._buffer += data

    async def read_request(self) -> _Request:
        while _HEAD_END not in self._buffer:
            await self._fill()
        head, _, self._buffer = self._buffer.partition(_HEAD_END)
        found = _LENGTH.search(head)
        length = int(found.group(1)) if found else 0
        while len(self._buffer) < length:
            await self._fill()
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return _Request(head.partition(b"\r\n")[0], body)

    async def answer(self, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        await self.stream.send_all(head + body)


class _StubEngine:
    """Streams that step together."""

    def __init__(self, step_ms: float) -> None:
        self._step_s: typing.Final = step_ms / 1000
        self._stepped = trio.Event()

    async def run_steps(self) -> None:
        at = trio.current_time()
        while True:
            at += self._step_s
            await trio.sleep_until(at)
            self._stepped.set()
            self._stepped = trio.Event()

    async def _stream(self, connection: _Connection, body: bytes) -> None:
        prompt = msgspec.json.decode(body)["prompt"]
        found = _TOKENS.search(prompt)
        count = int(found.group(1)) if found else 1
        await connection.stream.send_all(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + _make_token(1)
        )
        for number in range(2, count + 1):
            await self._stepped.wait()
            await connection.stream.send_all(_make_token(number))
        end = {"end": "stop", "prompt_tokens": 1, "completion_tokens": count}
        await connection.stream.send_all(
            _make_chunk(msgspec.json.encode(end)) + b"0\r\n\r\n"
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        connection = _Connection(stream)
        try:
            while True:
                request = await connection.read_request()
                if request.line.startswith(b"POST /streams"):
                    await self._stream(connection, request.body)
                elif request.line.startswith(b"GET /load"):
                    await connection.answer(_LOAD)
                elif request.line.startswith(b"GET /streams"):
                    await connection.answer(b'{"streams":[]}')
                elif request.line.startswith(b"GET /cache-events"):
                    await trio.sleep(1)
                    await connection.answer(b'{"events":[],"last":0}')
                else:
                    await connection.answer(b'{"known":false}')
        except (EOFError, trio.BrokenResourceError):
            await stream.aclose()


async def _run(step_ms: float) -> None:
    engine = _StubEngine(step_ms)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(engine.run_steps)
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        print(port, flush=True)
        await trio.serve_listeners(engine.serve, listeners)


def main() -> None:
    """Serve until killed."""
    trio.run(_run, float(sys.argv[1]))


if __name__ == "__main__":
    main()
