"""Decodes bodies in chunks, at a cost that callers can't multiply.

A caller chooses the size of its chunks. Runs of chunks of a few bytes are
therefore decoded together, and each call decodes only what it is given.
"""

import re
import typing

from gentianpoint_entry.forwarding import request_heads

__all__ = ("ChunkDecoder",)

_SIZE_LINE: typing.Final = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
)
_MAX_LINE_BYTES: typing.Final = 1024
"""Longest line of a size with its extensions, and longest trailer field."""
_MAX_TRAILER_BYTES: typing.Final = 8192
"""Most bytes of trailer fields, which are read and dropped."""
_LINE_END: typing.Final = b"\r\n"
_RUNS: typing.Final = {
    size: re.compile(rb"(?:%x\r\n[\x00-\xff]{%d}\r\n)+" % (size, size))
    for size in range(1, 16)
}
"""Runs of chunks of one size each, of one to fifteen bytes."""


class ChunkDecoder:
    r"""Takes the bytes of a body in chunks as they come.

    >>> decoder = ChunkDecoder()
    >>> decoder.decode(b"2\r\nhe\r\n3\r\nl")
    b'hel'
    >>> decoder.decode(b"lo\r\n0\r\n\r\nX")
    b'lo'
    >>> decoder.is_done, decoder.rest
    (True, b'X')
    """

    def __init__(self) -> None:
        """Begin before the first chunk."""
        self.is_done = False
        # Bytes that were not decoded: the start of a line, or what follows
        # the body.
        self.rest = b""
        # Bytes that the present chunk still lacks.
        self._left = 0
        self._expects_line_end = False
        self._trailer_bytes: typing.Optional[int] = None

    def decode(self, data: bytes) -> bytes:
        """Return the part of the body in ``data``.

        Raises :class:`request_heads.InvalidRequestError`.
        """
        data = self.rest + data
        self.rest = b""
        decoded = bytearray()
        at = 0
        while not self.is_done:
            if self._left:
                part = data[at : at + self._left]
                decoded += part
                at += len(part)
                self._left -= len(part)
                if self._left:
                    break
            if self._expects_line_end:
                if len(data) < at + len(_LINE_END):
                    break
                if not data.startswith(_LINE_END, at):
                    raise _make_error()
                at += len(_LINE_END)
                self._expects_line_end = False
            if self._trailer_bytes is not None:
                next_at = self._skip_trailer(data, at)
            else:
                next_at = self._decode_chunks(data, at, decoded)
            if next_at == at:
                break
            at = next_at
        self.rest = data[at:]
        if not self.is_done and len(self.rest) > _MAX_LINE_BYTES:
            raise _make_error()
        return bytes(decoded)

    def _decode_chunks(self, data: bytes, at: int, decoded: bytearray) -> int:
        """Decode whole chunks and the start of one; return how far.

        Returns ``at`` if the next size is not there yet.
        """
        run_size = 0
        previous_size = 0
        while at < len(data):
            if run_size in _RUNS:
                matched = _RUNS[run_size].match(data, at)
                if matched is not None:
                    decoded += _join_run(matched[0], run_size)
                    at = matched.end()
                run_size = 0
            matched = _SIZE_LINE.match(data, at)
            if matched is None:
                if data.find(_LINE_END, at, at + _MAX_LINE_BYTES) >= 0:
                    raise _make_error()
                return at
            size = int(matched[1], 16)
            at = matched.end()
            if size == 0:
                self._trailer_bytes = 0
                return at
            end = at + size
            if not data.startswith(_LINE_END, end):
                self._left = size
                self._expects_line_end = True
                return at
            decoded += data[at:end]
            at = end + len(_LINE_END)
            # Another size may come next, so that a run is worth a look only
            # after two chunks of the same size.
            run_size = size if size == previous_size else 0
            previous_size = size
        return at

    def _skip_trailer(self, data: bytes, at: int) -> int:
        """Skip trailer fields; return how far, ``at`` if a line lacks."""
        end = data.find(_LINE_END, at)
        if end < 0:
            return at
        assert self._trailer_bytes is not None
        self._trailer_bytes += end - at
        if self._trailer_bytes > _MAX_TRAILER_BYTES:
            raise request_heads.InvalidRequestError(431, "a long trailer")
        self.is_done = end == at
        return end + len(_LINE_END)


def _join_run(run: bytes, size: int) -> bytes:
    """Return the content of a run of chunks of ``size`` bytes each."""
    step = size + len(b"1") + 2 * len(_LINE_END)
    start = len(b"1") + len(_LINE_END)
    if size == 1:
        return run[start::step]
    content = bytearray(len(run) // step * size)
    for place in range(size):
        content[place::size] = run[start + place :: step]
    return bytes(content)


def _make_error() -> request_heads.InvalidRequestError:
    return request_heads.InvalidRequestError(400, "malformed chunk")
