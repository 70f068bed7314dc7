"""Digests of prompt prefixes, as engines publish them."""

from collections import abc
import typing

import xxhash

__all__ = ("digest_prefixes",)

_CHUNK_CHARACTERS: typing.Final = 256
_MOST_CHUNKS: typing.Final = 64


def digest_prefixes(prompt: str) -> abc.Sequence[int]:
    """Return the digests of the first 256, 512, ... characters.

    Only whole chunks count, and no more than 64 of them, which bounds the
    time spent on a long prompt.
    """
    state = xxhash.xxh64()
    digests = []
    whole = len(prompt) // _CHUNK_CHARACTERS
    for chunk in range(min(whole, _MOST_CHUNKS)):
        start = chunk * _CHUNK_CHARACTERS
        state.update(prompt[start : start + _CHUNK_CHARACTERS].encode())
        digests.append(state.intdigest())
    return digests
