"""Frame of the cases with clients that the users do not control.

Three daemons, six servers, ordinary callers at a low rate, readiness checks like those of the
platform, and after some calm the hostile clients as a process of their own.
"""

import asyncio
import json
import os
import random
import sys
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import attrs
from deployment import (
    BROKEN,
    HELD,
    Deployment,
    Record,
    exchange,
    job_request,
    readiness,
    run_script,
    status_of,
)

STANDINS = Path(__file__).resolve().parent
OK = 200
CALM_S = 6.0
INTERVAL_S = 0.2
CHECK_S = 0.1
BUDGET_MS = 1500
"""Time that an ordinary caller waits, as on the small sites."""

ANSWER_S = 1.7
"""Time within which an answer reaches an ordinary caller that still waits: ``BUDGET_MS``, and 0.2 s
more for the way."""

GIVE_UP_S = 15.0
WINDOW_S = 5.0
SPAN_S = 10.0
"""Time in which no ordinary caller is served that counts as broken: some 50 callers."""

HANG_S = 5.0
"""Time without an answer to a readiness check that counts as a hang: five checks in a row, where
the platform gives a daemon up after two."""


@attrs.define
class Answer:
    """Answer to an ordinary caller; ``sent_at`` counts from the start of the traffic."""

    sent_at: float
    daemon: str
    status: int
    seconds: float


@attrs.define
class Observation:
    """What callers, the platform and the machines have seen."""

    answers: list[Answer] = attrs.field(factory=list)
    checks: dict[str, float] = attrs.field(factory=dict)
    peak_mb: dict[str, float] = attrs.field(factory=dict)
    ended: list[str] = attrs.field(factory=list)

    def find_unserved(self, first_s: float) -> list[str]:
        """Return the daemons that have served no ordinary caller that was sent from a time on."""
        late = [item for item in self.answers if item.sent_at >= first_s]
        served = {item.daemon for item in late if item.status == OK}
        return [
            f"{name} has served none of {sum(item.daemon == name for item in late)} callers "
            f"that were sent from {first_s:.0f} s on"
            for name in sorted({item.daemon for item in late} - served)
        ]

    def longest_gap(self) -> float:
        """Return the longest time in which no caller was sent that was served."""
        sent = sorted(item.sent_at for item in self.answers)
        served = sorted(item.sent_at for item in self.answers if item.status == OK)
        marks = [sent[0], *served, sent[-1]]
        return max(later - earlier for earlier, later in pairwise(marks))

    def find_silence(self) -> list[str]:
        """Return what was broken: a process has ended or hung, or callers got no answers."""
        broken = [f"{name} has ended" for name in self.ended]
        for name, seconds in sorted(self.checks.items()):
            if seconds >= HANG_S:
                broken.append(f"{name} has answered no readiness check for {seconds:.1f} s")
        gap = self.longest_gap()
        if gap >= SPAN_S:
            broken.append(f"no ordinary caller was served for {gap:.1f} s")
        return broken


def ordinary_body() -> bytes:
    """Return a job of two tasks of 0.1 s, like those of the small sites."""
    step = {"count": 2, "cpu": 4000, "memMb": 256, "estimateMs": 100}
    return json.dumps({"spec": "100", "steps": [step], "bestEffort": True}).encode()


@attrs.define
class HostileCase:
    """A case with one kind of hostile clients, which leave after ``trouble_s``."""

    folder: Path
    kind: str
    count: int
    memory_mb: int
    trouble_s: float
    after_s: float = 0.0
    seen: Observation = attrs.field(factory=Observation)

    async def observe(self) -> Observation:
        """Play the case."""
        record = Record(self.folder / "record.txt")
        deployment = Deployment(record, daemons=3, workers=6, memory_mb=self.memory_mb)
        try:
            await deployment.start()
            await self._play(deployment, record)
        finally:
            await deployment.close()
            record.close()
        return self.seen

    async def _play(self, deployment: Deployment, record: Record) -> None:
        began = time.monotonic()
        end = began + CALM_S + self.trouble_s + self.after_s
        tasks = [asyncio.create_task(self._check(item, end, record)) for item in deployment.daemons]
        tasks.append(asyncio.create_task(self._measure(deployment, end)))
        if os.environ.get("TROUBLE", "1") != "0":
            tasks.append(asyncio.create_task(self._attack(deployment, record)))
        number = 0
        while time.monotonic() < end:
            daemon = deployment.daemons[number % len(deployment.daemons)]
            number += 1
            tasks.append(asyncio.create_task(self._call(daemon, began, record)))
            await asyncio.sleep(INTERVAL_S)
        _, late = await asyncio.wait(tasks, timeout=GIVE_UP_S)
        for task in late:
            task.cancel()
        await asyncio.gather(*late, return_exceptions=True)
        self.seen.ended = [item.name for item in deployment.daemons if not item.is_alive()]
        self._summarize(record)

    async def _call(self, daemon, began: float, record: Record) -> None:
        job, sent_at = f"{random.getrandbits(64):016x}", time.monotonic()
        data = job_request(job, ordinary_body(), BUDGET_MS)
        status = status_of(await exchange(daemon.address("front"), data, GIVE_UP_S))
        seconds = time.monotonic() - sent_at
        self.seen.answers.append(Answer(sent_at - began, daemon.name, status, seconds))
        record("ordinary", job=job, at=daemon.name, status=status, s=f"{seconds:.3f}")

    async def _check(self, daemon, end: float, record: Record) -> None:
        """Check the readiness once a second, and keep the longest time without an answer."""
        while time.monotonic() < end:
            asked_at = time.monotonic()
            status = await readiness(daemon.address("ready"), GIVE_UP_S)
            seconds = time.monotonic() - asked_at
            longest = self.seen.checks.get(daemon.name, 0.0)
            self.seen.checks[daemon.name] = max(longest, seconds)
            record("readiness", at=daemon.name, status=status, s=f"{seconds:.3f}")
            await asyncio.sleep(max(0.0, 1.0 - seconds))

    async def _measure(self, deployment: Deployment, end: float) -> None:
        while time.monotonic() < end:
            for daemon in deployment.daemons:
                peak = self.seen.peak_mb.get(daemon.name, 0.0)
                self.seen.peak_mb[daemon.name] = max(peak, daemon.resident_mb())
            await asyncio.sleep(CHECK_S)

    async def _attack(self, deployment: Deployment, record: Record) -> None:
        await asyncio.sleep(CALM_S)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(STANDINS / "hostile.py"),
            self.kind,
            str(self.count),
            str(self.trouble_s),
            *(daemon.address("front") for daemon in deployment.daemons),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            async for line in process.stdout:
                record(line.decode().strip())
            record("hostile clients gone")
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    def _summarize(self, record: Record) -> None:
        first = 0.0
        while first < CALM_S + self.trouble_s + self.after_s:
            window = [
                item for item in self.seen.answers if first <= item.sent_at < first + WINDOW_S
            ]
            served = sum(item.status == OK for item in window)
            in_time = sum(bool(item.status) and item.seconds <= ANSWER_S for item in window)
            slowest = max((item.seconds for item in window), default=0.0)
            statuses = sorted({item.status for item in window})
            report(
                record,
                f"from {first:.0f} s: {served} of {len(window)} ordinary callers served, "
                f"{in_time} answered in time, statuses {statuses}, slowest answer {slowest:.2f} s",
            )
            first += WINDOW_S
        for name in sorted(self.seen.peak_mb):
            report(
                record,
                f"{name}: peak {self.seen.peak_mb[name]:.0f} MB of {self.memory_mb}, "
                f"longest readiness check {self.seen.checks.get(name, 0.0):.2f} s",
            )


def report(record: Record, line: str) -> None:
    """Print a line and add it to the record."""
    record("summary", text=line)
    print(line)


def run_case(case: HostileCase, verdict: Callable[[Observation], list[str]]) -> int:
    """Play a case; return the exit status by the verdict, which returns what was broken."""

    async def play() -> int:
        broken = verdict(await case.observe())
        print("broken: " + "; ".join(broken) if broken else "held")
        return BROKEN if broken else HELD

    return run_script(play())
