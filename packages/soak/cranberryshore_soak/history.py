"""What callers and workers have seen, checked against what is promised."""

import asyncio
import time
from collections.abc import Callable

import attrs

from cranberryshore.pool import EndKind, RunKey
from cranberryshore_proof.pool_workers import ModelWorker

DRAIN_SECONDS = 3.0
"""Nothing starts on a worker that leaves after so long: the shorter bound of the sites is 2 s, and
1 s for the workers' list to be read."""

CALM_SECONDS = 4.0
"""Bounds in time hold once nothing was disturbed for so long."""


def job_of(task: str) -> str:
    """Return the job that a task belongs to.

    Examples
    --------
    >>> job_of("00000000000000aa.0.1.17")
    '00000000000000aa'
    """
    return task.partition(".")[0]


@attrs.define(eq=False)
class History:
    """Collects events and reports each broken promise once, as a line of text.

    Parameters
    ----------
    workers : dict
        All workers by name.
    started, done : set of str
        Jobs of which a task has started, and tasks that have ended well.
    refused : set of str
        Jobs whose caller was told that they have not run.
    draining : dict
        When a worker has said that it leaves.
    disturbed_at : float
        When the last fault ended or began.
    """

    workers: dict[str, ModelWorker] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    events: list[str] = attrs.field(factory=list)
    started: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    refused: set[str] = attrs.field(factory=set)
    draining: dict[str, float] = attrs.field(factory=dict)
    begun_at: float = attrs.field(factory=time.monotonic)
    disturbed_at: float = 0.0
    on_fault: Callable[[], None] | None = None

    def note(self, text: str) -> None:
        """Record what was done."""
        self.events.append(f"{time.monotonic() - self.begun_at:7.3f} {text}")

    def report(self, text: str) -> None:
        """Record a broken promise."""
        self.note(f"BROKEN {text}")
        self.faults.append(self.events[-1])

    def disturb(self) -> None:
        """Record that something is disturbed now."""
        self.disturbed_at = time.monotonic()

    def run_started(self, worker: ModelWorker, key: RunKey) -> None:
        """Check a start: room, a second run of the task, a refused job, a worker that leaves."""
        now = asyncio.get_running_loop().time()
        job = job_of(key[0])
        self.started.add(job)
        if worker.used() > worker.millicores:
            self.report(f"{worker.name} is over its room: {sorted(worker.runs)}")
        if job in self.refused:
            self.report(f"{key[0]} starts on {worker.name}, and its job was refused")
        for other in self.workers.values():
            other.end_due_runs(now)
            for task, attempt in other.runs:
                if task == key[0] and not (other is worker and attempt == key[1]):
                    self.report(f"{task} runs twice: {other.name}/{attempt}, {worker.name}/{key}")
        left_at = self.draining.get(worker.name)
        is_calm = time.monotonic() > self.disturbed_at + CALM_SECONDS
        if left_at is not None and is_calm and time.monotonic() > left_at + DRAIN_SECONDS:
            self.report(f"{key[0]} starts on {worker.name}, which leaves")

    def run_ended(self, worker: ModelWorker, key: RunKey, kind: EndKind) -> None:
        """Record an end."""
        if kind is EndKind.DONE:
            self.done.add(key[0])

    def job_refused(self, job: str) -> None:
        """Check that a job of which the caller was told that it has not run has not."""
        self.refused.add(job)
        if job in self.started:
            self.report(f"job {job} was refused, and a task of it had started")

    def job_completed(self, job: str, count: int) -> None:
        """Check that all tasks of a job that is called completed have ended well."""
        missing = [n for n in range(count) if f"{job}.0.0.{n}" not in self.done]
        if missing:
            self.report(f"job {job} was called completed without tasks {missing}")
