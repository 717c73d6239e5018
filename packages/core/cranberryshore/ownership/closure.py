"""Finding the truth about the tasks of an owner that has died."""

from enum import Enum

import attrs

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity.submission_id import SubmissionId
from cranberryshore.ownership.record import OwnedWorker, TaskRecord, TaskRecordState

ASK_AGAIN_MS = 500
WORKER_GONE_RETRY_MS = 5000


class TruthKind(Enum):
    """What is known about a job of a closed owner."""

    COMPLETE = "complete"
    FAILED = "failed"
    PENDING = "pending"


@attrs.frozen
class Truth:
    """What can be told about a job of a closed owner.

    Parameters
    ----------
    kind : TruthKind
        Whether the job is complete, failed for good, or not decided yet.
    outputs : tuple of str
        All outputs in task order if the job is complete.
    refusal : Refusal or None
        The failure, or the refusal to answer now.
    """

    kind: TruthKind
    outputs: tuple[str, ...] = ()
    refusal: Refusal | None = None


def _failed(type: ErrorType, claim: ExecutionStatus, detail: str) -> Truth:
    return Truth(TruthKind.FAILED, refusal=Refusal(type, claim, detail))


@attrs.define
class Closure:
    """Collects the records of a closed owner from the workers of its final record.

    A worker that has reported refuses the owner from then on, so its report is final as to
    which tasks were started. A worker that is gone for good leaves a doubt, unless the other
    reports account for all of a job's tasks.

    Parameters
    ----------
    owner : str
        The closed incarnation.
    workers : frozenset of OwnedWorker
        All workers named by the closed record, past ones included.
    below : dict
        For each past worker, the sequence number from which on ids are sure to be newer.
    """

    owner: str
    workers: frozenset[OwnedWorker]
    below: dict[OwnedWorker, int] = attrs.field(factory=dict)
    reports: dict[OwnedWorker, dict[str, dict[int, TaskRecord]]] = attrs.field(factory=dict)
    gone: set[OwnedWorker] = attrs.field(factory=set)

    def on_report(self, worker: OwnedWorker, tasks: tuple[TaskRecord, ...]) -> None:
        """Record a worker's report; a later report of the same worker replaces it."""
        by_job: dict[str, dict[int, TaskRecord]] = {}
        for task in tasks:
            by_job.setdefault(task.job, {})[task.index] = task
        self.reports[worker] = by_job
        self.gone.discard(worker)

    def on_gone(self, worker: OwnedWorker) -> None:
        """Record that a worker incarnation no longer exists."""
        if worker not in self.reports:
            self.gone.add(worker)

    def missing(self, id: SubmissionId) -> set[OwnedWorker]:
        """Return the workers that may know of ``id``, have not reported and are not gone."""
        return self._concerned(id) - self.reports.keys() - self.gone

    def is_running(self, id: SubmissionId) -> bool:
        """Tell whether any worker reports a task of the job as running."""
        records = self._records(str(id))
        return any(record.state is TaskRecordState.RUNNING for record in records.values())

    def truth(self, id: SubmissionId, caller: str) -> Truth:
        """Return what can be told to ``caller`` about a job now."""
        records = self._records(str(id))
        if any(record.caller != caller for record in records.values()):
            detail = "This id was not issued to this caller."
            return _failed(ErrorType.ID_NOT_ISSUED, ExecutionStatus.NOT_RUN, detail)
        states = [record.state for record in records.values()]
        if TaskRecordState.FAILED in states:
            detail = "A task ran and failed; the issuer has died."
            return _failed(ErrorType.TASK_FAILED, ExecutionStatus.RAN_AND_FAILED, detail)
        count = next(iter(records.values())).task_count if records else None
        if count is not None and len(records) == count:
            return self._whole_truth(records, states)
        if self.missing(id):
            detail = "The issuer has died and not all of its workers have been asked yet."
            return _pending(detail, ASK_AGAIN_MS)
        return self._partial_truth(id, records)

    def _concerned(self, id: SubmissionId) -> set[OwnedWorker]:
        """Return the workers on which tasks of ``id`` can have been started."""
        return {
            worker
            for worker in self.workers
            if worker not in self.below or id.sequence < self.below[worker]
        }

    def _records(self, job: str) -> dict[int, TaskRecord]:
        records: dict[int, TaskRecord] = {}
        for by_job in self.reports.values():
            records.update(by_job.get(job, {}))
        return records

    def _whole_truth(self, records: dict[int, TaskRecord], states: list[TaskRecordState]) -> Truth:
        if TaskRecordState.STOPPED in states:
            detail = "The job was stopped before it was complete; the issuer has died."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        if TaskRecordState.RUNNING in states:
            return _pending("All of the job's tasks are running or done.", ASK_AGAIN_MS)
        outputs = tuple(records[index].output for index in sorted(records))
        return Truth(TruthKind.COMPLETE, outputs)

    def _partial_truth(self, id: SubmissionId, records: dict[int, TaskRecord]) -> Truth:
        if records:
            detail = "The issuer died before it had started all of the job's tasks."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        gone = self.gone & self._concerned(id)
        if gone:
            names = ", ".join(sorted(worker.name for worker in gone))
            detail = f"The issuer has died, and so has what its workers knew: {names}."
            return _failed(ErrorType.OWNER_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
        detail = "The issuer died before any task was started, and none will be; use a new id."
        return _failed(ErrorType.OWNER_LOST, ExecutionStatus.NOT_RUN, detail)


def _pending(detail: str, retry_after_ms: int) -> Truth:
    refusal = Refusal(ErrorType.TRUTH_PENDING, ExecutionStatus.MAY_HAVE_RUN, detail, retry_after_ms)
    return Truth(TruthKind.PENDING, refusal=refusal)
