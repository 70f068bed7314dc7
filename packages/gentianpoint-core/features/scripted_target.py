"""A target that sends scripted responses on a socket."""

import socket
import struct
import typing

import trio

_BODY: typing.Final = b"body of "
_LATE_RESET_S: typing.Final = 0.02
"""Seconds from the end of the sending side to a reset."""


def make_response(description: str) -> bytes:
    """Return the response that ``description`` names.

    For example ``answer 1 saying close``.
    """
    number = description.split("answer ")[1].split(" ")[0].encode()
    body = _BODY + number
    status = b"200"
    if "with status" in description:
        status = description.split("with status ")[1].split(" ")[0].encode()
    head = b"HTTP/1.1 " + status + b" OK\r\nx-request: " + number + b"\r\n"
    if "after 103" in description:
        head = b"HTTP/1.1 103 Early Hints\r\n\r\n" + head
    if "chunks" in description:
        size = len(body) // int(description.split(" ")[-2])
        parts = [body[at : at + size] for at in range(0, len(body), size)]
        chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        return head + b"".join(chunks) + b"0\r\n\r\n"
    if "unframed" in description:
        return head + b"\r\n" + body
    if "folded" in description:
        head += b"X: 1\r\n Y: 2\r\n"
    if "saying close" in description:
        head += b"Connection: close\r\n"
    if "saying timeout of" in description:
        count = int(description.split("timeout of ")[1].split(" ")[0])
        head += b"Keep-Alive: timeout=" + b"9" * count + b"\r\n"
    elif "saying timeout" in description:
        seconds = description.split("timeout ")[1].encode()
        head += b"Keep-Alive: timeout=" + seconds + b"\r\n"
    length = str(len(body)).encode()
    response = head + b"Content-Length: " + length + b"\r\n\r\n" + body
    if "half of" in description:
        return response[: len(head) + 25]
    if "bytes after it" in description:
        return response + b"HTTP/1.1 200 OK\r\n"
    return response


class ScriptedTarget:
    """Serves each connection with the next script."""

    def __init__(self) -> None:
        """Create a target without scripts."""
        self.scripts: list[list[str]] = []
        self.connections = 0
        self.is_waiting = False
        """True if the target waits for a request and sends nothing before."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Run the script of this connection."""
        script = self.scripts[self.connections]
        self.connections += 1
        try:
            await self._wait_for_request(stream)
            for description in script:
                if "bytes that are no" in description:
                    await stream.send_all(b"\x00\x01 what is this\r\n\r\n")
                elif "nothing" not in description:
                    await stream.send_all(make_response(description))
                if "and shutdown" in description:
                    await stream.send_eof()
                    await trio.sleep(_LATE_RESET_S)
                if description.endswith(("and close", "and reset")):
                    self._close(stream, resets=description.endswith("reset"))
                    return
                # A late answer precedes the response to the current request.
                if not description.startswith("late"):
                    await self._wait_for_request(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        finally:
            self.is_waiting = True

    async def _wait_for_request(self, stream: trio.SocketStream) -> None:
        self.is_waiting = True
        await stream.receive_some(65536)
        self.is_waiting = False

    def _close(self, stream: trio.SocketStream, *, resets: bool) -> None:
        if resets:
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
