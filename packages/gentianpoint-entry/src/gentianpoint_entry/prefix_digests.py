"""Digests of prompt prefixes, in the form that engines publish."""

from collections import abc
import typing

import xxhash

__all__ = ("digest_prefixes",)

_CHUNK_CHARACTERS: typing.Final = 256
"""Length of a chunk, in characters."""
_MAX_CHUNKS: typing.Final = 64
"""Largest number of chunks that are digested."""


def digest_prefixes(prompt: str) -> abc.Sequence[int]:
    """Return the digests of the first 256, 512, ... characters.

    An incomplete last chunk is left out, and at most 64 chunks are used,
    which bounds the time spent on a long prompt.
    """
    state = xxhash.xxh64()
    digests = []
    chunk_count = len(prompt) // _CHUNK_CHARACTERS
    for chunk in range(min(chunk_count, _MAX_CHUNKS)):
        start = chunk * _CHUNK_CHARACTERS
        state.update(prompt[start : start + _CHUNK_CHARACTERS].encode())
        digests.append(state.intdigest())
    return digests
