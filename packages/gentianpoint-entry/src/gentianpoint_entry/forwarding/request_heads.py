"""Parses the heads of callers' HTTP/1.1 requests.

The cost grows with the length of a head alone, whatever it contains. Heads
that two parsers could read differently are refused: those with two ways to
frame the body, folded or malformed fields, bare line ends or control
characters. See RFC 9112, sections 2 to 6.
"""

from collections import abc
import re
import typing

__all__ = ("InvalidRequestError", "RequestHead", "parse_head")

_REQUEST_LINE: typing.Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([\x21-\x7e]+) HTTP/([0-9]\.[0-9])"
)
_TOKEN_CHARACTERS: typing.Final = (
    b"!#$%&'*+-.^_`|~0123456789"
    b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
_CONTROL_CHARACTER: typing.Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_MAX_LENGTH_DIGITS: typing.Final = 18
"""Most digits of a length that is read as a number."""
_VERSIONS: typing.Final = (b"1.0", b"1.1")


class InvalidRequestError(Exception):
    """A request can't be read: its caller gets an error, and no more."""

    def __init__(
        self, status: int, reason: str, retry_after_ms: float = 0.0
    ) -> None:
        """Refuse with an HTTP status and an explanation for people.

        ``retry_after_ms`` says in how many milliseconds to come back, 0 for
        nothing.
        """
        self.status: typing.Final = status
        self.retry_after_ms: typing.Final = retry_after_ms
        super().__init__(reason)


class RequestHead(typing.NamedTuple):
    """The head of a request, and what it says of body and connection."""

    method: bytes
    """HTTP method."""
    target: bytes
    """Path and query, byte for byte as received."""
    headers: abc.Sequence[tuple[bytes, bytes]]
    """Headers; names in lower case."""
    body_bytes: typing.Optional[int]
    """Length of the body; None if it comes in chunks."""
    is_http_1_0: bool
    """True if the caller knows no chunks."""
    keeps_connection: bool
    """True if the connection may carry another request."""
    expects_continue: bool
    """True if the caller waits to be told to send the body."""


def parse_head(data: bytes) -> RequestHead:
    r"""Parse a head, given without its last line end and the empty line.

    Raises :class:`InvalidRequestError`.

    >>> head = parse_head(b"GET /a?b HTTP/1.1\r\nHost: c")
    >>> head.target, head.headers, head.body_bytes
    (b'/a?b', ((b'host', b'c'),), 0)
    """
    lines = data.split(b"\r\n")
    if _CONTROL_CHARACTER.search(b"".join(lines)):
        raise InvalidRequestError(400, "a control character in the head")
    matched = _REQUEST_LINE.fullmatch(lines[0])
    if matched is None:
        raise InvalidRequestError(400, "malformed request line")
    method, target, version = matched.groups()
    if version not in _VERSIONS:
        raise InvalidRequestError(505, "neither HTTP/1.1 nor HTTP/1.0")
    headers = tuple(map(_parse_field, lines[1:]))
    is_http_1_0 = version == b"1.0"
    _check_host(headers, is_http_1_0)
    connection = _list_words(headers, b"connection")
    return RequestHead(
        method,
        target,
        headers,
        _find_body_bytes(headers, is_http_1_0),
        is_http_1_0,
        not is_http_1_0 and b"close" not in connection,
        not is_http_1_0 and b"100-continue" in _list_words(headers, b"expect"),
    )


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line.partition(b":")
    if not colon or not name or name.translate(None, _TOKEN_CHARACTERS):
        raise InvalidRequestError(400, "malformed header field")
    return name.lower(), value.strip(b" \t")


def _list_values(
    headers: abc.Sequence[tuple[bytes, bytes]], wanted: bytes
) -> abc.Sequence[bytes]:
    return [value for name, value in headers if name == wanted]


def _list_words(
    headers: abc.Sequence[tuple[bytes, bytes]], wanted: bytes
) -> abc.Set[bytes]:
    """Return the words of a header's comma-separated lists, in lower case."""
    joined = b",".join(_list_values(headers, wanted))
    return {word.strip().lower() for word in joined.split(b",")}


def _check_host(
    headers: abc.Sequence[tuple[bytes, bytes]], is_http_1_0: bool
) -> None:
    count = len(_list_values(headers, b"host"))
    if count > 1 or (count == 0 and not is_http_1_0):
        raise InvalidRequestError(400, "not exactly one Host field")


def _find_body_bytes(
    headers: abc.Sequence[tuple[bytes, bytes]], is_http_1_0: bool
) -> typing.Optional[int]:
    """Return the length of the body, None for chunks."""
    lengths = _list_values(headers, b"content-length")
    codings = _list_values(headers, b"transfer-encoding")
    if codings:
        if lengths or is_http_1_0:
            raise InvalidRequestError(400, "the body's end is ambiguous")
        if len(codings) > 1 or codings[0].lower() != b"chunked":
            raise InvalidRequestError(501, "an unknown transfer encoding")
        return None
    if not lengths:
        return 0
    if len(lengths) > 1:
        raise InvalidRequestError(400, "more than one length")
    if not lengths[0].isdigit() or len(lengths[0]) > _MAX_LENGTH_DIGITS:
        raise InvalidRequestError(400, "malformed length")
    return int(lengths[0])
