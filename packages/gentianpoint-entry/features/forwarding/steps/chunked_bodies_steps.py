"""Steps for bodies in chunks."""

import random

import behave

from gentianpoint_entry.forwarding import chunked_bodies
from gentianpoint_entry.forwarding import request_heads

_BODIES = 400
_SIZES = {
    "one byte": lambda rng: [1] * rng.randint(0, 60),
    "few bytes": lambda rng: [rng.randint(1, 17) for _ in range(30)],
    "any size": lambda rng: [rng.randint(1, 3000) for _ in range(5)],
    "mixed runs": lambda rng: [
        size
        for _ in range(6)
        for size in [rng.choice((1, 2, 15, 16, 200))] * rng.randint(1, 5)
    ],
}
_EXTENSIONS = (b"", b"", b"", b";a=b", b" ", b';a="b;c"')
_PARTS = {
    "a size in other letters": b"g\r\n",
    "a size with a sign": b"+1\r\na\r\n",
    "a size with a prefix": b"0x1\r\na\r\n",
    "a size of 17 digits": b"1" * 17 + b"\r\n",
    "an empty size": b"\r\na\r\n",
    "a blank before a size": b" 1\r\na\r\n",
    "a bare line feed after a size": b"1\na\r\n",
    "a chunk that is longer than said": b"1\r\nab\r\n0\r\n\r\n",
    "a chunk that is shorter than said": b"3\r\na\r\n0\r\n\r\n",
    "a size line without an end": b"1;" + b"a" * 2000,
    "a trailer without an end": b"0\r\n" + b"a: b\r\n" * 3000,
}


def encode(body_sizes, rng):
    """Return a random body and its chunks."""
    body = b""
    chunks = b""
    for size in body_sizes:
        # Bytes that chunks themselves consist of.
        part = bytes(rng.choice(b"\r\n01a;") for _ in range(size))
        body += part
        chunks += b"%x%b\r\n%b\r\n" % (size, rng.choice(_EXTENSIONS), part)
    trailer = rng.choice((b"", b"a: b\r\nc:\r\n"))
    return body, chunks + b"0\r\n" + trailer + b"\r\n"


def decode_in_pieces(data, rng):
    """Return what a decoder finds, and what it leaves."""
    decoder = chunked_bodies.ChunkDecoder()
    found = b""
    at = 0
    while at < len(data) and not decoder.is_done:
        piece = data[at : at + rng.choice((1, 2, 7, 100, 5000))]
        found += decoder.decode(piece)
        at += len(piece)
    assert decoder.is_done
    return found, decoder.rest + data[at:]


@behave.when(
    "bodies are sent in chunks of {sizes}, and read in pieces of any size"
)
def decode_bodies(context, sizes):
    rng = random.Random(71)
    context.pairs = []
    for _ in range(_BODIES):
        body, data = encode(_SIZES[sizes](rng), rng)
        rest = rng.choice((b"", b"GET / HTTP/1.1\r\n"))
        found = decode_in_pieces(data + rest, rng)
        context.pairs.append(((body, rest), found))


@behave.then("each is decoded as it was, with what follows left over")
def check_bodies(context):
    for expected, found in context.pairs:
        assert expected == found, (expected, found)


@behave.when("a decoder gets {part}")
def decode_part(context, part):
    decoder = chunked_bodies.ChunkDecoder()
    context.status = None
    try:
        decoder.decode(_PARTS[part])
    except request_heads.InvalidRequestError as error:
        context.status = error.status


@behave.then("it refuses the body with status {status:d}")
def check_refused(context, status):
    assert context.status == status, context.status
