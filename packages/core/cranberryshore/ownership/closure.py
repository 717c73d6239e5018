"""Recovery of the job outcomes of a closed owner from the records of its workers."""

from enum import Enum

import attrs

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.ownership.record import OwnedWorker, TaskRecord, TaskRecordState

PENDING_RETRY_MS = 500
WORKER_LOST_RETRY_MS = 5000


class JobOutcomeKind(Enum):
    """Kind of a recovered job outcome."""

    COMPLETE = "complete"
    FAILED = "failed"
    PENDING = "pending"


@attrs.frozen
class JobOutcome:
    """Recovered outcome of a job of a closed owner.

    Parameters
    ----------
    kind : JobOutcomeKind
        Whether the job is complete, has failed, or is still undecided.
    outputs : tuple of str
        All outputs in task order if the job is complete.
    refusal : Refusal or None
        The failure, or for an undecided job the refusal that asks to retry.
    """

    kind: JobOutcomeKind
    outputs: tuple[str, ...] = ()
    refusal: Refusal | None = None


def _failed(type: ErrorType, claim: ExecutionStatus, detail: str) -> JobOutcome:
    return JobOutcome(JobOutcomeKind.FAILED, refusal=Refusal(type, claim, detail))


@attrs.define
class OwnerClosure:
    """Collects task records of a closed owner from the workers in its final store record.

    Once a worker has reported, it rejects the owner's messages, so no task missing from its
    report can be started later. If a worker is lost permanently, tasks may have run on it
    without a record, unless the other reports account for all tasks of the job.

    Parameters
    ----------
    owner : str
        The closed incarnation.
    workers : frozenset of OwnedWorker
        All current and past workers in the closed record.
    below : dict
        For each past worker, the sequence number from which on ids were issued after the
        worker was dropped.
    reports : dict
        Task records by worker, job id and task index, for each worker that has reported.
    lost_workers : set of OwnedWorker
        Workers that no longer exist, and have not reported since.
    evicted_through : int
        Highest sequence number of an id of which a worker has evicted records, -1 if none.
    """

    owner: str
    workers: frozenset[OwnedWorker]
    below: dict[OwnedWorker, int] = attrs.field(factory=dict)
    reports: dict[OwnedWorker, dict[str, dict[int, TaskRecord]]] = attrs.field(factory=dict)
    lost_workers: set[OwnedWorker] = attrs.field(factory=set)
    evicted_through: int = -1

    def on_report(
        self, worker: OwnedWorker, tasks: tuple[TaskRecord, ...], evicted_through: int = -1
    ) -> None:
        """Record the report of a worker, replacing an earlier one."""
        by_job: dict[str, dict[int, TaskRecord]] = {}
        for task in tasks:
            by_job.setdefault(task.job, {})[task.index] = task
        self.reports[worker] = by_job
        self.evicted_through = max(self.evicted_through, evicted_through)
        self.lost_workers.discard(worker)

    def on_worker_lost(self, worker: OwnedWorker) -> None:
        """Record that a worker incarnation no longer exists."""
        self.lost_workers.add(worker)

    def unreported_workers(self, id: SubmissionId) -> set[OwnedWorker]:
        """Return the workers that may have tasks of ``id``, have not reported and are not lost."""
        return self._possible_workers(id) - self.reports.keys() - self.lost_workers

    def is_running(self, id: SubmissionId) -> bool:
        """Return whether any worker reports a running task of the job."""
        records = self._records(str(id))
        return any(record.state is TaskRecordState.RUNNING for record in records.values())

    def job_outcome(self, id: SubmissionId, caller: str) -> JobOutcome:
        """Return the outcome of a job that follows from the reports received so far.

        To a caller that did not submit the job, the id is reported as not issued.
        """
        records = self._records(str(id))
        if any(record.caller != caller for record in records.values()):
            detail = "This id was not issued to this caller."
            return _failed(ErrorType.ID_NOT_ISSUED, ExecutionStatus.NOT_RUN, detail)
        states = [record.state for record in records.values()]
        if TaskRecordState.FAILED in states:
            detail = "A task ran and failed; the issuer has died."
            return _failed(ErrorType.TASK_FAILED, ExecutionStatus.RAN_AND_FAILED, detail)
        lost_worker = self._worker_lost_under(str(id))
        if lost_worker is not None:
            detail = f"Worker {lost_worker.name} was lost while a task may have been running."
            return _failed(ErrorType.TASK_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        count = next(iter(records.values())).task_count if records else None
        if count is not None and len(records) == count:
            return self._full_outcome(records, states)
        if self.unreported_workers(id):
            detail = "The issuer has died and not all of its workers have been asked yet."
            return _pending(detail, PENDING_RETRY_MS)
        return self._partial_outcome(id, records)

    def _possible_workers(self, id: SubmissionId) -> set[OwnedWorker]:
        """Return the workers on which tasks of ``id`` may have been started."""
        return {
            worker
            for worker in self.workers
            if worker not in self.below or id.sequence < self.below[worker]
        }

    def _worker_lost_under(self, job: str) -> OwnedWorker | None:
        """Return a lost worker that has reported a running task of a job, if any."""
        for worker in sorted(self.lost_workers & self.reports.keys()):
            records = self.reports[worker].get(job, {}).values()
            if any(record.state is TaskRecordState.RUNNING for record in records):
                return worker
        return None

    def _records(self, job: str) -> dict[int, TaskRecord]:
        records: dict[int, TaskRecord] = {}
        for by_job in self.reports.values():
            records.update(by_job.get(job, {}))
        return records

    def _full_outcome(
        self, records: dict[int, TaskRecord], states: list[TaskRecordState]
    ) -> JobOutcome:
        if TaskRecordState.STOPPED in states:
            detail = "The job was stopped before it was complete; the issuer has died."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        if TaskRecordState.RUNNING in states:
            return _pending("All of the job's tasks are running or done.", PENDING_RETRY_MS)
        outputs = tuple(records[index].output for index in sorted(records))
        return JobOutcome(JobOutcomeKind.COMPLETE, outputs)

    def _partial_outcome(self, id: SubmissionId, records: dict[int, TaskRecord]) -> JobOutcome:
        if records:
            detail = "The issuer died before it had started all of the job's tasks."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        lost_workers = (self.lost_workers - self.reports.keys()) & self._possible_workers(id)
        if lost_workers:
            names = ", ".join(sorted(worker.name for worker in lost_workers))
            detail = f"The issuer has died, and so has what its workers knew: {names}."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        if id.sequence <= self.evicted_through:
            detail = "The issuer has died, and its workers may have evicted the job's records."
            return _failed(ErrorType.ID_EXPIRED, ExecutionStatus.MAY_HAVE_RUN, detail)
        detail = "The issuer died before any task was started, and none will be; use a new id."
        return _failed(ErrorType.OWNER_LOST, ExecutionStatus.NOT_RUN, detail)


def _pending(detail: str, retry_after_ms: int) -> JobOutcome:
    refusal = Refusal(ErrorType.TRUTH_PENDING, ExecutionStatus.MAY_HAVE_RUN, detail, retry_after_ms)
    return JobOutcome(JobOutcomeKind.PENDING, refusal=refusal)
