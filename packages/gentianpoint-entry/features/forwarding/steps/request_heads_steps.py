"""Steps for heads of requests."""

import behave

from gentianpoint_entry.forwarding import request_heads

_LINE = b"POST /a HTTP/1.1"
_OLD = b"POST /a HTTP/1.0"
_HOST = b"Host: a"
_CHUNKS = b"Transfer-Encoding: chunked"
_PARTS = {
    "a length and chunks": (_LINE, _HOST, b"Content-Length: 5", _CHUNKS),
    "two lengths": (_LINE, _HOST, b"Content-Length: 5", b"Content-Length: 6"),
    "two equal lengths": (
        _LINE,
        _HOST,
        b"Content-Length: 5",
        b"content-length: 5",
    ),
    "a length with a sign": (_LINE, _HOST, b"Content-Length: +5"),
    "a length in words": (_LINE, _HOST, b"Content-Length: five"),
    "an empty length": (_LINE, _HOST, b"Content-Length:"),
    "a length of 30 digits": (_LINE, _HOST, b"Content-Length: " + b"9" * 30),
    "chunks in HTTP/1.0": (_OLD, _HOST, _CHUNKS),
    "chunks within another coding": (
        _LINE,
        _HOST,
        b"Transfer-Encoding: gzip, chunked",
    ),
    "chunks twice": (_LINE, _HOST, _CHUNKS, _CHUNKS),
    "a blank before a colon": (_LINE, _HOST, b"Content-Length : 5"),
    "a folded field": (_LINE, _HOST, b"X: a", b" b"),
    "a field without a colon": (_LINE, _HOST, b"X"),
    "a field without a name": (_LINE, _HOST, b": a"),
    "a bare line feed": (_LINE, _HOST + b"\nContent-Length: 5"),
    "a bare carriage return": (_LINE, _HOST + b"\rContent-Length: 5"),
    "a zero byte": (_LINE, _HOST, b"X: a\0b"),
    "no host": (_LINE,),
    "two hosts": (_LINE, _HOST, b"Host: b"),
    "a blank in the target": (b"POST /a b HTTP/1.1", _HOST),
    "two blanks after the method": (b"POST  /a HTTP/1.1", _HOST),
    "HTTP/2.0": (b"POST /a HTTP/2.0", _HOST),
    "HTTP/1.1 in lower case": (b"POST /a http/1.1", _HOST),
    "nothing else": (_LINE, _HOST),
    "a length of 17": (_LINE, _HOST, b"Content-Length: 17"),
    "chunks": (_LINE, _HOST, _CHUNKS),
    "chunks in capitals": (_LINE, _HOST, b"TRANSFER-ENCODING: CHUNKED"),
    "the end of the connection": (_LINE, _HOST, b"Connection: close"),
    "the end among other words": (_LINE, _HOST, b"Connection: x , CLOSE"),
    "HTTP/1.0 without a host": (_OLD,),
    "a field in capitals, an empty one and one twice": (
        _LINE,
        _HOST,
        b"ABC:\t x y ",
        b"Empty:",
        b"a: 1",
        b"a: 2",
    ),
}


@behave.when("a head is parsed with {part}")
def parse(context, part):
    context.head = context.error = None
    try:
        context.head = request_heads.parse_head(b"\r\n".join(_PARTS[part]))
    except request_heads.InvalidRequestError as error:
        context.error = error


@behave.then("it is refused with status {status:d}")
def check_refused(context, status):
    assert context.error is not None, context.head
    assert context.error.status == status, context.error.status


@behave.then("its body has {length} bytes and the connection {end}")
def check_framing(context, length, end):
    expected = None if length == "unknown" else int(length)
    assert context.head.body_bytes == expected, context.head
    assert context.head.keeps_connection == (end == "stays"), context.head


@behave.then("each field is there in its order, with its name in lower case")
def check_fields(context):
    assert context.head.headers == (
        (b"host", b"a"),
        (b"abc", b"x y"),
        (b"empty", b""),
        (b"a", b"1"),
        (b"a", b"2"),
    ), context.head.headers
