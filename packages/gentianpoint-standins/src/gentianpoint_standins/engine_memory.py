"""Cache memory of an engine, in blocks, with a cache of prompt prefixes.

A prompt's whole chunks of 256 characters are shared between streams and
stay in memory after their last user has gone, until their blocks are
needed: the least recently used goes first. All else that a stream holds is
its own and is free when the stream ends or is preempted.
"""

import collections
from collections import abc
import typing

import xxhash

__all__ = (
    "CHUNK_TOKENS",
    "BlockMemory",
    "CacheChange",
    "count_prompt_tokens",
    "digest_prefixes",
)

_CHARACTERS_PER_TOKEN: typing.Final = 4
_CHUNK_CHARACTERS: typing.Final = 256

CHUNK_TOKENS: typing.Final = _CHUNK_CHARACTERS // _CHARACTERS_PER_TOKEN
"""Tokens of one shared chunk of a prompt."""


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt."""
    return max(1, -(-len(prompt) // _CHARACTERS_PER_TOKEN))


def digest_prefixes(prompt: str) -> tuple[int, ...]:
    """Return the digests of the first 256, 512, ... characters."""
    state = xxhash.xxh64()
    digests = []
    for start in range(
        0, len(prompt) - _CHUNK_CHARACTERS + 1, _CHUNK_CHARACTERS
    ):
        state.update(prompt[start : start + _CHUNK_CHARACTERS].encode())
        digests.append(state.intdigest())
    return tuple(digests)


class CacheChange(typing.NamedTuple):
    """What the prefix cache gained and lost."""

    added: tuple[int, ...]
    """Digests now held."""
    removed: tuple[int, ...]
    """Digests no longer held."""


class BlockMemory:
    """Blocks, the shared chunks in them, and the changes of those."""

    def __init__(self, blocks: int, block_tokens: int) -> None:
        """Hold ``blocks`` blocks of ``block_tokens`` tokens each."""
        self.blocks: typing.Final = blocks
        self.block_tokens: typing.Final = block_tokens
        self._free = blocks
        self._chunk_blocks: typing.Final = self.count_blocks(CHUNK_TOKENS)
        self._users: typing.Final[dict[int, int]] = {}
        self._idle: typing.Final[collections.OrderedDict[int, None]] = (
            collections.OrderedDict()
        )
        self._added: list[int] = []
        self._removed: list[int] = []

    def count_blocks(self, tokens: int) -> int:
        """Return the number of blocks that ``tokens`` fill."""
        return -(-tokens // self.block_tokens)

    def count_used(self) -> int:
        """Return the blocks held by streams, idle chunks left out."""
        return self.blocks - self._free - len(self._idle) * self._chunk_blocks

    def count_prompt_blocks(self, chunks: int, own_tokens: int) -> int:
        """Return the blocks of a stream with shared chunks."""
        return chunks * self._chunk_blocks + self.count_blocks(own_tokens)

    def take_blocks(self, count: int) -> bool:
        """Take ``count`` blocks, evicting idle chunks; False if too few."""
        available = self._free + len(self._idle) * self._chunk_blocks
        if count > available:
            return False
        while self._free < count:
            digest, _ = self._idle.popitem(last=False)
            self._forget(digest)
        self._free -= count
        return True

    def free_blocks(self, count: int) -> None:
        """Give back ``count`` blocks."""
        self._free += count

    def _forget(self, digest: int) -> None:
        del self._users[digest]
        self._free += self._chunk_blocks
        self._removed.append(digest)

    def take_chunks(
        self, digests: abc.Sequence[int], own_tokens: int
    ) -> typing.Optional[int]:
        """Take all chunks of a prompt and blocks for ``own_tokens``.

        Returns the number of chunks that were held already, from the first
        on, whose tokens need not be computed; None when memory is too
        short, and then nothing is taken.
        """
        held = 0
        while held < len(digests) and digests[held] in self._users:
            held += 1
        self._use_chunks(digests[:held])
        lost = [digest for digest in digests[held:] if digest in self._users]
        self._use_chunks(lost)
        fresh = len(digests) - held - len(lost)
        needed = fresh * self._chunk_blocks + self.count_blocks(own_tokens)
        if not self.take_blocks(needed):
            self.release_chunks(lost)
            self.release_chunks(digests[:held])
            return None
        for digest in digests[held:]:
            if digest not in self._users:
                self._users[digest] = 1
                self._added.append(digest)
        return held

    def _use_chunks(self, digests: abc.Sequence[int]) -> None:
        for digest in digests:
            self._users[digest] += 1
            self._idle.pop(digest, None)

    def release_chunks(self, digests: abc.Sequence[int]) -> None:
        """Stop using chunks; the last ones of a prompt are evicted first."""
        for digest in reversed(digests):
            self._users[digest] -= 1
            if not self._users[digest]:
                self._idle[digest] = None

    def forget_idle(self) -> None:
        """Empty the cache of chunks that nobody uses."""
        while self._idle:
            digest, _ = self._idle.popitem()
            self._forget(digest)

    def take_change(self) -> typing.Optional[CacheChange]:
        """Return what changed since the last call; None for nothing."""
        if not self._added and not self._removed:
            return None
        change = CacheChange(tuple(self._added), tuple(self._removed))
        self._added = []
        self._removed = []
        return change
