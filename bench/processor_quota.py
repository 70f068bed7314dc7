"""Quotas of processor time for processes, kept from outside by signals."""

from collections import abc
import contextlib
import os
import pathlib
import signal
import threading
import time
import typing

__all__ = ("ProcessorQuota", "read_processor_s")

_PERIOD_S: typing.Final = 0.1
"""Time in which a process may use its quota up."""
_LOOK_S: typing.Final = 0.004


def read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        # It has ended, and another one comes.
        return 0.0
    return int(text.split()[0]) / 1e9


class ProcessorQuota:
    """Lets a process stand still once it has used up its quota of a period.

    It is kept in a thread of its own, so that a busy scheduler does not let
    the process run on.
    """

    def __init__(self, find_pid: abc.Callable[[], int], cores: float) -> None:
        """Allow ``cores``; ``find_pid`` returns 0 while there is none."""
        self._find_pid: typing.Final = find_pid
        self._cores: typing.Final = cores
        self._has_ended: typing.Final = threading.Event()
        self._thread: typing.Final = threading.Thread(
            target=self._run, daemon=True
        )

    def __enter__(self) -> "ProcessorQuota":
        """Begin to keep the quota."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Let the process run on as it likes."""
        self._has_ended.set()
        self._thread.join()

    def _run(self) -> None:
        # What a process used beyond its quota counts in the next period.
        owed_s = 0.0
        while not self._has_ended.is_set():
            pid = self._find_pid()
            ends_at = time.monotonic() + _PERIOD_S
            began_s = read_processor_s(pid)
            quota_s = self._cores * _PERIOD_S - owed_s
            while time.monotonic() < ends_at:
                time.sleep(_LOOK_S)
                if read_processor_s(pid) - began_s >= quota_s and pid:
                    self._stop_until(pid, ends_at)
            used_s = read_processor_s(pid) - began_s
            owed_s = max(0.0, used_s - quota_s)

    def _stop_until(self, pid: int, ends_at: float) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGSTOP)
            while time.monotonic() < ends_at:
                time.sleep(_LOOK_S)
            os.kill(pid, signal.SIGCONT)
