"""Daemon processes, started with their own settings and controlled by signals."""

import asyncio
import json
import os
import signal
import sys
import time
from collections import deque
from contextlib import suppress
from pathlib import Path

import attrs

from cranberryshore_soak.environment import HANDLERS_REPORT, JUMP_VARIABLE, OFFSET_VARIABLE

MAX_LOG_LINES = 40_000
"""Log lines retained for each daemon."""

SCHEDULING_EVENTS = {"scheduler: Scheduling begins.": True, "scheduler: Scheduling ends.": False}
"""Events of the log, and whether the instance schedules after them."""

FAILED_START_EVENT = "scheduler: Start request failed."
EXIT_TIMEOUT_SECONDS = 8.0
"""Time for a process to exit after SIGTERM: its drain time of 4 s, and a margin."""


def await_processes_without_threads() -> None:
    """Let asyncio await child processes on its event loop, as it does from Python 3.12 on.

    Earlier versions start a thread for each process, which delays the loop on a busy machine.
    """
    if sys.version_info >= (3, 12):
        return
    watcher = asyncio.get_child_watcher()
    if not isinstance(watcher, asyncio.PidfdChildWatcher):
        watcher = asyncio.PidfdChildWatcher()
        asyncio.set_child_watcher(watcher)
    if not watcher.is_active():
        watcher.attach_loop(asyncio.get_running_loop())


@attrs.define(eq=False)
class DaemonProcess:
    """One daemon across its restarts.

    Parameters
    ----------
    folder : Path
        Folder of the settings file.
    clock_offset, clock_jump : float
        Initial error of the wall clock, and the change at each jump, in seconds.
    on_violation : callable
        Receives a description of each unexpected behavior of the process.
    terminating : Process or None
        The last process that was killed or told to shut down.
    is_scheduler : bool
        Whether the log of the current process says that it schedules.
    refused_starts : int
        Number of starts that workers refused, by the log.
    handling : Process or None
        The last process that has reported that it handles signals.
    """

    name: str
    zone: str
    settings: dict
    folder: Path
    clock_offset: float
    clock_jump: float
    on_violation: object
    process: asyncio.subprocess.Process | None = None
    log_lines: deque = attrs.field(factory=lambda: deque(maxlen=MAX_LOG_LINES))
    sent_signals: list[tuple[float, signal.Signals]] = attrs.field(factory=list)
    paused_until: float = 0.0
    started_at: float = 0.0
    terminating: asyncio.subprocess.Process | None = None
    handling: asyncio.subprocess.Process | None = None
    watcher: asyncio.Task | None = None
    is_scheduler: bool = False
    refused_starts: int = 0

    @property
    def front(self) -> str:
        """Return the address that callers send requests to."""
        return self.settings["listen"]

    @property
    def ready(self) -> str:
        """Return the address of the readiness probe."""
        return self.settings["ready_listen"]

    @property
    def process_id(self) -> int:
        """Return the id of the current process."""
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether a process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> None:
        """Write the settings file."""
        path = self.folder / f"{self.name}.json"
        path.write_text("// written by the soak\n" + json.dumps(self.settings), encoding="utf-8")

    async def start(self) -> None:
        """Start a process."""
        await_processes_without_threads()
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
        self.started_at, self.is_scheduler = time.monotonic(), False
        self.watcher = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process: asyncio.subprocess.Process) -> None:
        """Collect the log, and report an unrequested exit or an unexpected exit status."""
        async for line in process.stdout:
            if line.decode(errors="replace").rstrip() == HANDLERS_REPORT:
                self.handling = process
            self._record_log_line(line)
        code = await process.wait()
        if process is not self.terminating:
            self.on_violation(f"{self.name} exited unexpectedly with status {code}")
        elif code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.on_violation(f"{self.name} exited with status {code}")

    def _record_log_line(self, line: bytes) -> None:
        text = line.decode(errors="replace").rstrip()
        self.log_lines.append(text)
        try:
            record = json.loads(text)
        except ValueError:
            self.on_violation(f"{self.name} wrote a log line that is not JSON: {text[:200]}")
            return
        event = record.get("event")
        if event in SCHEDULING_EVENTS:
            self.is_scheduler = SCHEDULING_EVENTS[event]
        self.refused_starts += event == FAILED_START_EVENT and record["reply"] == "refused"

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running():
            self.sent_signals.append((time.monotonic(), number))
            # Process.send_signal would take the exit status of a process that has just exited, and
            # the watcher would report status 255.
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    def send_handled(self, number: signal.Signals) -> None:
        """Send a signal that ends a process without a handler, once the process has one."""
        if self.handling is self.process:
            self.send(number)

    async def kill(self) -> None:
        """Kill the process."""
        self.terminating = self.process
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def leave(self) -> None:
        """Send SIGTERM and wait for the exit; report and kill the process if it takes too long."""
        self.terminating = self.process
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(
                EXIT_TIMEOUT_SECONDS + max(self.paused_until - time.monotonic(), 0)
            ):
                await self.process.wait()
        except TimeoutError:
            self.on_violation(f"{self.name} did not exit after SIGTERM")
            await self.kill()

    async def pause(self, seconds: float) -> None:
        """Suspend the process with SIGSTOP; of overlapping pauses, the last to end resumes it."""
        self.paused_until = max(self.paused_until, time.monotonic() + seconds)
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if time.monotonic() >= self.paused_until - 0.01:
            self.send(signal.SIGCONT)

    def was_signalled(self, since: float, numbers: set[signal.Signals]) -> bool:
        """Return whether any of the given signals was sent since a time."""
        return any(at >= since and number in numbers for at, number in self.sent_signals)

    async def close(self) -> None:
        """Kill the process and wait until its output has been read."""
        if self.is_running():
            await self.kill()
        if self.watcher is not None:
            await self.watcher
