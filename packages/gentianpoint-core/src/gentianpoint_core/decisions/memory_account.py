"""Divides the memory that callers may use at one process.

Whatever callers make a process hold is taken from one account before it is
read. Large holdings, such as long bodies, share a part of it, so that they
leave the rest to small requests. Where something is waited for, the smallest
goes first.
"""

import typing

__all__ = ("AccountSize", "MemoryAccount", "Waiter", "find_size")

_CALLERS_SHARE: typing.Final = 0.6
"""Share of the memory that is free at the start which callers may use. The
rest is for the process's own growth and for the allocator."""
_LARGE_SHARE: typing.Final = 0.75
"""Share of the account that large holdings may have together."""
_LEAST_SMALL_BYTES: typing.Final = 4 << 20
"""Least part of the account that large holdings leave to small ones."""


class AccountSize(typing.NamedTuple):
    """Sizes of an account, in bytes."""

    total_bytes: int
    """All that callers may use."""
    large_bytes: int
    """What large holdings may have of it together."""


def find_size(
    memory_bytes: int, resident_bytes: int, largest_bytes: int
) -> AccountSize:
    """Return the size of the account of a process.

    ``memory_bytes`` is what the process may use, of which it uses
    ``resident_bytes`` before it serves anybody. One holding of
    ``largest_bytes`` always fits.

    >>> find_size(100 << 20, 60 << 20, 4 << 20) == (24 << 20, 18 << 20)
    True
    """
    free_bytes = max(0, memory_bytes - resident_bytes)
    total_bytes = int(free_bytes * _CALLERS_SHARE)
    large_bytes = max(int(total_bytes * _LARGE_SHARE), largest_bytes)
    return AccountSize(
        max(total_bytes, large_bytes + _LEAST_SMALL_BYTES), large_bytes
    )


class Waiter(typing.NamedTuple):
    """A holding that is waited for; the order is that of its fields."""

    size: int
    """Bytes that are to be taken."""
    number: int
    """Place in the order of arrival."""
    is_large: bool
    """True if it counts as large."""


class MemoryAccount:
    """What callers use of an account, and who waits for a part of it."""

    def __init__(self, size: AccountSize) -> None:
        """Begin with nothing taken."""
        self.size: typing.Final = size
        self.held_bytes = 0
        self.large_held_bytes = 0
        self._waiters: typing.Final[list[Waiter]] = []

    def has_room(self, size: int, *, is_large: bool = False) -> bool:
        """Tell whether ``size`` bytes are free."""
        if self.held_bytes + size > self.size.total_bytes:
            return False
        is_shared = is_large and (
            self.large_held_bytes + size > self.size.large_bytes
        )
        return not is_shared

    def is_mostly_free(self, size: int) -> bool:
        """Tell whether half of the account stays free after ``size`` bytes."""
        return self.held_bytes + size <= self.size.total_bytes // 2

    def take(self, size: int, *, is_large: bool) -> None:
        """Take ``size`` bytes, whether or not they are free."""
        self.held_bytes += size
        if is_large:
            self.large_held_bytes += size

    def try_take(self, size: int, *, is_large: bool) -> bool:
        """Take ``size`` bytes if they are free; tell whether they were."""
        if not self.has_room(size, is_large=is_large):
            return False
        self.take(size, is_large=is_large)
        return True

    def give_back(self, size: int, *, is_large: bool) -> None:
        """Give back what was taken."""
        self.held_bytes -= size
        if is_large:
            self.large_held_bytes -= size

    def add_waiter(self, waiter: Waiter) -> None:
        """Let a holding wait."""
        self._waiters.append(waiter)
        self._waiters.sort()

    def remove_waiter(self, waiter: Waiter) -> None:
        """Let a holding wait no longer."""
        self._waiters.remove(waiter)

    def has_waiters(self) -> bool:
        """Tell whether a holding waits."""
        return bool(self._waiters)

    def count_waiting_bytes(self) -> int:
        """Return how much is waited for, in bytes."""
        return sum(waiter.size for waiter in self._waiters)

    def grant_next(self) -> typing.Optional[Waiter]:
        """Take for the smallest waiter if it fits, and return it."""
        if not self._waiters:
            return None
        first = self._waiters[0]
        if not self.try_take(first.size, is_large=first.is_large):
            return None
        del self._waiters[0]
        return first
