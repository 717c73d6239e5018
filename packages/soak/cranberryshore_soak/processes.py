"""Daemons as processes: started with settings of their own, and stopped by signals."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import deque
from pathlib import Path

import attrs

from cranberryshore_soak.launch import JUMP_VARIABLE, OFFSET_VARIABLE

KEPT_LINES = 40_000
"""Log lines of one process that are kept for a report."""

EXIT_SECONDS = 8.0
"""A process that was told to leave ends within its drain of 4 s and some more."""


@attrs.define(eq=False)
class DaemonProcess:
    """One daemon, over all its lives.

    Parameters
    ----------
    name, zone : str
        Its name and availability zone.
    settings : dict
        Its settings, as the file has them.
    folder : Path
        Where the file is written.
    clock_offset, clock_jump : float
        Error of its time of day, and what each jump adds, in seconds.
    on_fault : callable
        Told what a process ought not to do.
    ending : Process or None
        The latest process that was told to end.
    signalled : list
        When which signal was sent.
    """

    name: str
    zone: str
    settings: dict
    folder: Path
    clock_offset: float
    clock_jump: float
    on_fault: object
    process: asyncio.subprocess.Process | None = None
    lines: deque = attrs.field(factory=lambda: deque(maxlen=KEPT_LINES))
    signalled: list[tuple[float, signal.Signals]] = attrs.field(factory=list)
    paused_until: float = 0.0
    started_at: float = 0.0
    ending: asyncio.subprocess.Process | None = None
    watcher: asyncio.Task | None = None

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return self.settings["listen"]

    @property
    def ready(self) -> str:
        """Return the address for the balancer."""
        return self.settings["ready_listen"]

    @property
    def process_id(self) -> int:
        """Return the id of the process."""
        return self.process.pid

    def is_running(self) -> bool:
        """Tell whether the process is there."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text("// written by the soak\n" + json.dumps(self.settings), encoding="utf-8")

    async def start(self) -> None:
        """Begin a life."""
        self.write_settings()
        environment = os.environ | {
            "CRANBERRYSHORE_SETTINGS": str(self.folder / f"{self.name}.json"),
            OFFSET_VARIABLE: str(self.clock_offset),
            JUMP_VARIABLE: str(self.clock_jump),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cranberryshore_soak.launch",
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self.started_at = time.monotonic()
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Keep the log, and report an end that nobody has asked for."""
        async for line in process.stdout:
            self._keep(line)
        code = await process.wait()
        if process is not self.ending:
            self.on_fault(f"{self.name} ended by itself with status {code}")
        elif code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.on_fault(f"{self.name} ended with status {code}")

    def _keep(self, line: bytes) -> None:
        text = line.decode(errors="replace").rstrip()
        self.lines.append(text)
        try:
            json.loads(text)
        except ValueError:
            self.on_fault(f"{self.name} wrote a line that is no JSON: {text[:200]}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.is_running():
            self.signalled.append((time.monotonic(), number))
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.ending = self.process
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def leave(self) -> None:
        """Tell the process to leave, and report one that does not."""
        self.ending = self.process
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_SECONDS + max(self.paused_until - time.monotonic(), 0)):
                await self.process.wait()
        except TimeoutError:
            self.on_fault(f"{self.name} has not left after SIGTERM")
            await self.kill()

    async def pause(self, seconds: float) -> None:
        """Stop the process for some time."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if time.monotonic() >= self.paused_until - 0.01:
            self.send(signal.SIGCONT)

    def was_signalled(self, since: float, numbers: set[signal.Signals]) -> bool:
        """Tell whether one of some signals was sent since a time."""
        return any(at >= since and number in numbers for at, number in self.signalled)

    async def close(self) -> None:
        """End the process and wait for its last lines."""
        if self.is_running():
            await self.kill()
        if self.watcher is not None:
            await self.watcher
