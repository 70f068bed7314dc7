"""Entries and agents as processes, which are told to end or killed.

This is a developer's tool: unlike the product's processes, it starts others,
and it ends only those that it has started, by their identifiers.
"""

from collections import abc
import os
import pathlib
import signal
import subprocess
import typing

import trio

from bench.soak import facts as seen

__all__ = ("ROOT", "Program")

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent.parent
"""Folder of the project."""
_LOOK_S: typing.Final = 0.1
_RESTART_S: typing.Final = 0.5
"""Time after which the platform starts a process again."""
_KILL_AFTER_S: typing.Final = 8.0
"""Time after the signal to end at which the platform kills."""
_MEMORY_S: typing.Final = 1.0
_STARTS: typing.Final = trio.CapacityLimiter(4)
"""Programs that are being started at once."""


class Program:
    """One program, started again whenever it has ended."""

    def __init__(
        self,
        name: str,
        command: abc.Sequence[str],
        settings: abc.Mapping[str, str],
        log_path: pathlib.Path,
        facts: seen.Facts,
    ) -> None:
        """Run ``command`` with ``settings`` as environment variables.

        What it prints, over all its starts, goes to ``log_path``.
        """
        self.name: typing.Final = name
        self._command: typing.Final = command
        self._settings: typing.Final = settings
        self._log_path: typing.Final = log_path
        self._facts: typing.Final = facts
        self._process: typing.Optional[subprocess.Popen[bytes]] = None
        self._is_expected_to_end = False
        self._memory_at = 0.0

    @property
    def pid(self) -> int:
        """Identifier of the process, 0 while there is none."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """True until the process has ended, also while it is told to."""
        return self._process is not None and self._process.poll() is None

    async def run(self) -> None:
        """Start it, and start it again whenever it has ended."""
        try:
            while True:
                await self._start()
                await self._watch()
                await trio.sleep(_RESTART_S)
        finally:
            self.kill()

    async def _start(self) -> None:
        """Start it from a thread, since starting waits for the system.

        A cancelled soak waits for that thread, and so knows the process.
        """
        self._is_expected_to_end = False
        self._process = await trio.to_thread.run_sync(
            self._open_process, limiter=_STARTS
        )

    def _open_process(self) -> subprocess.Popen[bytes]:
        with self._log_path.open("ab") as output:
            return subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={**os.environ, **self._settings},
            )

    async def _watch(self) -> None:
        process = self._process
        assert process is not None
        while process.poll() is None:
            self._note_memory(process.pid)
            await trio.sleep(_LOOK_S)
        if not self._is_expected_to_end:
            self._facts.endings.append(
                seen.Ending(self.name, trio.current_time(), process.returncode)
            )

    def _note_memory(self, pid: int) -> None:
        now = trio.current_time()
        if now < self._memory_at:
            return
        self._memory_at = now + _MEMORY_S
        try:
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
        except OSError:
            # It has ended since, which the watch notices.
            return
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                memory_mb = int(line.split()[1]) / 1024
                most = self._facts.most_memory_mb.get(self.name, 0.0)
                self._facts.most_memory_mb[self.name] = max(most, memory_mb)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self._is_expected_to_end = True
        self._signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Tell it to end, and kill it when its time is over."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        self._is_expected_to_end = True
        self._facts.stops.append(
            seen.Stop(self.name, process.pid, trio.current_time())
        )
        self._signal(signal.SIGTERM)
        with trio.move_on_after(_KILL_AFTER_S):
            while process.poll() is None:
                await trio.sleep(_LOOK_S)
            return
        process.kill()

    async def pause(self, for_s: float) -> None:
        """Let it stand still for a while."""
        process = self._process
        self._signal(signal.SIGSTOP)
        await trio.sleep(for_s)
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Tell it that its settings have changed."""
        self._signal(signal.SIGHUP)
