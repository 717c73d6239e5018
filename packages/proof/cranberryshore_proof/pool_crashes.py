"""Model of tasks that crash their workers, and checks of what the scheduler makes of them.

A crash counts for a task only if one of its runs was on the worker when the process ended: a run
that had lapsed, ended or never begun was not lost with it. A worker that leaves does not crash.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs

from cranberryshore.pool import EndKind, FailureCause, JobFailure, RunKey
from cranberryshore_proof.pool_workers import ModelWorker

CRASH_DELAY_SECONDS = 0.015
"""Time from the start of a task that crashes its worker to the crash."""

RESTART_SECONDS = 3.0

MIN_CRASHES = 2
"""A task may be given up after ``MIN_CRASHES`` workers have crashed under it."""

MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
"""A task under which ``MAX_CRASHES`` workers have crashed may be started so many times more."""


class CrashHost(Protocol):
    """Deployment whose workers crash and return."""

    def worker_crashed(self, worker: ModelWorker) -> None:
        """Let a worker refuse connections, whose process ends now."""
        ...

    def worker_returns(self, worker: ModelWorker, is_renamed: bool) -> None:
        """Let a worker answer again, or another one at its address."""
        ...


@attrs.define(eq=False)
class CrashModel:
    """Workers that tasks crash, and that return.

    Parameters
    ----------
    report : callable
        Called with each violation that is found.
    deadly_tasks : set of str
        Tasks that crash each worker that starts them.
    crashed : dict
        Names and starts of the workers that have crashed while a task was on them, by task.
    crashed_by_themselves : dict
        Those of them that no task has crashed. No scheduler can tell why, so a sound task may be
        given up after two such crashes.
    failed_runs : dict
        Number of the runs of each task that have ended as failed on a worker.
    late_starts : dict
        Number of starts of each task after ``MAX_CRASHES`` crashes.
    """

    random: Random
    host: CrashHost
    report: Callable[[str], None]
    deadly_tasks: set[str] = attrs.field(factory=set)
    crashed: dict[str, set[tuple[str, int]]] = attrs.field(factory=dict)
    crashed_by_themselves: dict[str, set[tuple[str, int]]] = attrs.field(factory=dict)
    failed_runs: dict[str, int] = attrs.field(factory=dict)
    late_starts: dict[str, int] = attrs.field(factory=dict)

    def task_started(self, worker: ModelWorker, key: RunKey) -> None:
        """Check a start, and crash the worker soon if the task does so."""
        task = key[0]
        if task not in self.deadly_tasks:
            return
        if len(self.crashed.get(task, ())) >= MAX_CRASHES:
            self.late_starts[task] = self.late_starts.get(task, 0) + 1
            if self.late_starts[task] > MAX_STARTS_AFTER_CRASHES:
                self.report(f"{task} started again after {self.crashed[task]} crashed")
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_DELAY_SECONDS, self._crash_under, worker, worker.born, key)

    def run_ended(self, worker: ModelWorker, key: RunKey, kind: EndKind) -> None:
        """Record the end of a run."""
        if kind is EndKind.FAILED:
            self.failed_runs[key[0]] = self.failed_runs.get(key[0], 0) + 1

    def _crash_under(self, worker: ModelWorker, born: int, key: RunKey) -> None:
        worker.end_due_runs(asyncio.get_running_loop().time())
        if worker.born == born and key in worker.runs and not worker.is_down:
            self.crash(worker)

    def crash(
        self,
        worker: ModelWorker,
        restart_seconds: float = RESTART_SECONDS,
        is_injected: bool = False,
        is_renamed: bool | None = None,
    ) -> None:
        """Crash a worker; it returns under its own name or another one, by chance if ``None``."""
        self.record_crash(worker, is_injected)
        self.host.worker_crashed(worker)
        worker.crash()
        if is_renamed is None:
            is_renamed = self.random.random() < 0.5
        loop = asyncio.get_running_loop()
        loop.call_later(restart_seconds, self.host.worker_returns, worker, is_renamed)

    def record_crash(self, worker: ModelWorker, is_injected: bool = False) -> None:
        """Record that a worker crashes now, because of a task or by itself.

        It must still have its runs.
        """
        worker.end_due_runs(asyncio.get_running_loop().time())
        for task, _ in worker.runs:
            self.crashed.setdefault(task, set()).add((worker.name, worker.born))
            if is_injected:
                found = self.crashed_by_themselves.setdefault(task, set())
                found.add((worker.name, worker.born))

    def check_failure(self, failure: JobFailure | None, max_attempts: int) -> None:
        """Check that a job may be shown as failed.

        ``max_attempts`` is the number of failed runs after which a task of the job fails.
        """
        if failure is None:
            self.report("a job is shown as failed without a cause")
        elif failure.cause is FailureCause.WORKERS_CRASHED:
            self.check_given_up(failure.task)
        else:
            self.check_task_failed(failure.task, max_attempts)

    def check_given_up(self, task: str) -> None:
        """Check that a task may be given up because it crashes its workers."""
        counted = self.crashed if task in self.deadly_tasks else self.crashed_by_themselves
        if len(counted.get(task, ())) < MIN_CRASHES:
            crashed = sorted(self.crashed.get(task, ()))
            alone = sorted(self.crashed_by_themselves.get(task, ()))
            self.report(
                f"{task} given up, although only {crashed} crashed under it, {alone} by themselves"
            )

    def check_task_failed(self, task: str, max_attempts: int) -> None:
        """Check that a task may be shown as failed because its runs have failed too often."""
        count = self.failed_runs.get(task, 0)
        if count < max_attempts:
            self.report(f"{task} shown as failed, although {count} of its runs failed")
