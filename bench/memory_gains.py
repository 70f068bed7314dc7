"""Memory that a new process gains by some work."""

from collections import abc
import multiprocessing
import multiprocessing.connection
import os
import typing

from bench import measures

__all__ = ("measure_gain",)

_Argument = typing.TypeVar("_Argument")


def _work_in_child(
    work: abc.Callable[[_Argument], object],
    argument: _Argument,
    answer: multiprocessing.connection.Connection,
) -> None:
    before = measures.read_memory(os.getpid())
    kept: list[object] = []
    kept.append(work(argument))
    answer.send(measures.read_memory(os.getpid()) - before)


def measure_gain(
    work: abc.Callable[[_Argument], object], argument: _Argument
) -> int:
    """Return the bytes that a new process gains by ``work``.

    The result is kept until memory is read. ``work`` is a function of a
    module: the process starts afresh, since memory that this one has freed
    would be used again and hide the gain.
    """
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe()
    child = context.Process(
        target=_work_in_child, args=(work, argument, theirs)
    )
    child.start()
    # Without this a child that dies would leave us waiting for ever.
    theirs.close()
    gained = ours.recv()
    child.join()
    return int(gained)
