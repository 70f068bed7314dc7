"""Limits how much freed memory the allocator of the C library keeps.

When a long block is freed, glibc by default allocates further blocks up to
that length in its heap. Short blocks that live on between them then keep the
heap from shrinking, so that a process holds the memory of its busiest moment.
"""

import ctypes
import typing

__all__ = ("return_long_blocks",)

_M_TRIM_THRESHOLD: typing.Final = -1
"""Parameter of ``mallopt``: free bytes at the heap's end that are kept."""
_M_MMAP_THRESHOLD: typing.Final = -3
"""Parameter of ``mallopt``: length, in bytes, from which on a block has pages
of its own, which its end returns to the system."""
_LONG_BLOCK_BYTES: typing.Final = 65536


def return_long_blocks() -> bool:
    """Let blocks from 64 KiB on return to the system when they are freed.

    Returns False where the C library has no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    parameters = (_M_MMAP_THRESHOLD, _M_TRIM_THRESHOLD)
    return all(mallopt(item, _LONG_BLOCK_BYTES) for item in parameters)
