"""Events observed by callers and workers, checked against the guarantees of the pool."""

import asyncio
import time
from collections.abc import Callable

import attrs

from cranberryshore.pool import EndKind, RunKey
from cranberryshore_proof.pool_crashes import CrashModel
from cranberryshore_proof.pool_workers import ModelWorker

DRAIN_TIMEOUT_SECONDS = 3.0
"""Time after which no task may start on a draining worker: the strictest limit of any deployment is
2 s after the list of workers has been read, which takes up to 1 s."""

CANCEL_TIMEOUT_SECONDS = 3.0
"""Time after the acknowledgement of a cancel from which no task of the job may start."""

UNDISTURBED_SECONDS = 4.0
"""Time limits are checked only when no fault has begun or ended for this long."""


def job_of(task: str) -> str:
    """Return the id of the job that a task belongs to.

    Examples
    --------
    >>> job_of("00000000000000aa.0.1.17")
    '00000000000000aa'
    """
    return task.partition(".")[0]


@attrs.define(eq=False)
class History:
    """Records events and the guarantees that they violate, as lines of text.

    Parameters
    ----------
    workers : dict
        All workers by name, including those that were removed.
    faults, events : list of str
        Violated guarantees, and all events including these.
    started, done : set of str
        Jobs of which a task has started, and tasks that have succeeded.
    failures : dict
        Number of runs of each task that a worker has ended as failed.
    refused : set of str
        Jobs whose caller was told that they have not run.
    labels : dict
        Label of the present process of each worker, by name.
    label_of : callable
        Returns the label that a task requires, or "".
    cancelled : dict
        Times at which cancels of jobs were acknowledged.
    oldest_start : callable
        Returns the time at which the oldest of the running instances has started.
    draining : dict
        Times at which workers began to drain, by name.
    disturbed_at : float
        Time at which a fault last began or ended.
    find_evacuation : callable
        Returns why no task may start in a zone, if so.
    """

    workers: dict[str, ModelWorker] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)
    events: list[str] = attrs.field(factory=list)
    started: set[str] = attrs.field(factory=set)
    done: set[str] = attrs.field(factory=set)
    failures: dict[str, int] = attrs.field(factory=dict)
    refused: set[str] = attrs.field(factory=set)
    labels: dict[str, str] = attrs.field(factory=dict)
    label_of: Callable[[str], str] = attrs.field(default=lambda task: "")
    cancelled: dict[str, float] = attrs.field(factory=dict)
    oldest_start: Callable[[], float] = attrs.field(default=lambda: float("-inf"))
    draining: dict[str, float] = attrs.field(factory=dict)
    begun_at: float = attrs.field(factory=time.monotonic)
    disturbed_at: float = 0.0
    find_evacuation: Callable[[str], str | None] = attrs.field(default=lambda zone: None)
    crash_model: CrashModel | None = None
    on_violation: Callable[[], None] | None = None

    def record_event(self, text: str) -> None:
        """Append an event with its time since the start."""
        self.events.append(f"{time.monotonic() - self.begun_at:7.3f} {text}")

    def report(self, text: str) -> None:
        """Record a violated guarantee."""
        self.record_event(f"BROKEN {text}")
        self.faults.append(self.events[-1])

    def record_disturbance(self) -> None:
        """Record that a fault begins or ends now."""
        self.disturbed_at = time.monotonic()

    def run_started(self, worker: ModelWorker, key: RunKey) -> None:
        """Check a start: capacity, refused job, concurrent run, draining worker, evacuation."""
        now = asyncio.get_running_loop().time()
        job = job_of(key[0])
        self.started.add(job)
        if self.crash_model is not None:
            self.crash_model.task_started(worker, key)
        if worker.used() > worker.allowed_millicores(now):
            self.report(f"{worker.name} exceeds its capacity: {sorted(worker.runs)}")
        label, required = self.labels.get(worker.name, ""), self.label_of(key[0])
        if required not in ("", label):
            self.report(f"{key[0]} starts on {worker.name} of kind {label}, not {required}")
        if job in self.refused:
            self.report(f"{key[0]} starts on {worker.name} although its job was refused")
        self._check_cancelled(worker, key[0])
        evacuation = self.find_evacuation(worker.zone)
        if evacuation is not None:
            self.report(f"{key[0]} starts on {worker.name}: {evacuation}")
        for other in self.workers.values():
            other.end_due_runs(now)
            for task, attempt in other.runs:
                if task == key[0] and not (other is worker and attempt == key[1]):
                    self.report(f"{task} runs twice: {other.name}/{attempt}, {worker.name}/{key}")
        draining_since = self.draining.get(worker.name)
        is_undisturbed = time.monotonic() > self.disturbed_at + UNDISTURBED_SECONDS
        if (
            draining_since is not None
            and is_undisturbed
            and time.monotonic() > draining_since + DRAIN_TIMEOUT_SECONDS
        ):
            self.report(f"{key[0]} starts on {worker.name}, which is draining")

    def _check_cancelled(self, worker: ModelWorker, task: str) -> None:
        job = job_of(task)
        late_by = time.monotonic() - self.cancelled.get(job, float("inf")) - CANCEL_TIMEOUT_SECONDS
        if late_by > 0 and not self._is_cancel_forgotten(job):
            self.report(f"{task} starts on {worker.name}, cancelled {late_by:.2f} s too long ago")

    def _is_cancel_forgotten(self, job: str) -> bool:
        """Return whether all instances that knew of the cancel of a job have ended."""
        return self.oldest_start() >= self.cancelled[job]

    def check_cancelled_runs(self, job: str) -> None:
        """Check that no task of a cancelled job runs any more."""
        if self._is_cancel_forgotten(job):
            return
        now = asyncio.get_running_loop().time()
        for worker in self.workers.values():
            worker.end_due_runs(now)
            for task, attempt in worker.runs:
                if job_of(task) == job:
                    self.report(f"{task}/{attempt} runs on at {worker.name}, though cancelled")

    def job_cancelled(self, job: str, instance: str, asked_at: float) -> None:
        """Record that an instance has acknowledged the cancel of a job."""
        now = time.monotonic()
        self.cancelled.setdefault(job, now)
        self.record_event(f"{instance} has cancelled {job} after {now - asked_at:.2f} s")

    def run_ended(self, worker: ModelWorker, key: RunKey, kind: EndKind) -> None:
        """Record the end of a run."""
        if kind is EndKind.DONE:
            self.done.add(key[0])
        elif kind is EndKind.FAILED:
            self.failures[key[0]] = self.failures.get(key[0], 0) + 1

    def task_given_up(self, task: str, max_attempts: int) -> None:
        """Check that a task that is said to have failed too often has done so on workers."""
        failures = self.failures.get(task, 0)
        if failures < max_attempts:
            self.report(f"{task} given up after {failures} of {max_attempts} failures")

    def job_refused(self, job: str) -> None:
        """Check that no task has started of a job whose caller was told that it has not run."""
        self.refused.add(job)
        if job in self.started:
            self.report(f"job {job} was refused although one of its tasks had started")

    def job_completed(self, job: str, count: int) -> None:
        """Check that all tasks of a job that was reported as completed have succeeded.

        Task names hold job, occurrence, step and index; these jobs have one occurrence and step.
        """
        missing = [n for n in range(count) if f"{job}.0.0.{n}" not in self.done]
        if missing:
            self.report(f"job {job} was reported completed without tasks {missing}")
