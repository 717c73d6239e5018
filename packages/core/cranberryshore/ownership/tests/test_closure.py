from unittest import TestCase

from cranberryshore.errors import ErrorType, ExecutionStatus
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.ownership import (
    JobOutcomeKind,
    OwnedWorker,
    OwnerClosure,
    OwnerRecord,
    TaskRecord,
    TaskRecordState,
)

OWNER = Incarnation("a", "e1", "0" * 16)
ID = SubmissionId(OWNER, 5)
ONE, TWO = OwnedWorker("w1", "run-1"), OwnedWorker("w2", "run-1")


def record(index: int, state: TaskRecordState, count: int = 2) -> TaskRecord:
    return TaskRecord(str(ID), "desk", count, index, state, f"out-{index}")


class ClosureTest(TestCase):
    def setUp(self):
        self.closure = OwnerClosure(str(OWNER), frozenset({ONE, TWO}))

    def claim(self):
        outcome = self.closure.job_outcome(ID, "desk")
        return outcome.kind, outcome.refusal.claim

    def test_not_run_only_after_every_worker_has_reported(self):
        self.closure.on_report(ONE, ())
        self.assertEqual(self.claim(), (JobOutcomeKind.PENDING, ExecutionStatus.MAY_HAVE_RUN))
        self.closure.on_report(TWO, ())
        self.assertEqual(self.claim(), (JobOutcomeKind.FAILED, ExecutionStatus.NOT_RUN))

    def test_lost_worker_leaves_outcome_uncertain(self):
        self.closure.on_report(ONE, ())
        self.closure.on_worker_lost(TWO)
        self.assertEqual(self.claim(), (JobOutcomeKind.FAILED, ExecutionStatus.MAY_HAVE_RUN))

    def test_complete_as_soon_as_all_tasks_are_accounted_for(self):
        tasks = tuple(record(index, TaskRecordState.OK) for index in range(2))
        self.closure.on_report(ONE, tasks)
        outcome = self.closure.job_outcome(ID, "desk")
        self.assertEqual(
            (outcome.kind, outcome.outputs), (JobOutcomeKind.COMPLETE, ("out-0", "out-1"))
        )
        self.assertIs(self.closure.job_outcome(ID, "another").kind, JobOutcomeKind.FAILED)

    def test_running_tasks_are_waited_for_and_part_of_a_job_fails(self):
        self.closure.on_report(ONE, (record(0, TaskRecordState.RUNNING),))
        self.closure.on_report(TWO, (record(1, TaskRecordState.OK),))
        self.assertIs(self.closure.job_outcome(ID, "desk").kind, JobOutcomeKind.PENDING)
        self.closure.on_report(TWO, ())
        self.assertEqual(self.claim(), (JobOutcomeKind.FAILED, ExecutionStatus.MAY_HAVE_RUN))

    def test_job_is_pending_for_ever_after_its_worker_was_lost_with_running_tasks(self):
        for state in (TaskRecordState.OK, TaskRecordState.RUNNING):
            self.closure.on_report(ONE, (record(0, TaskRecordState.RUNNING),))
            self.closure.on_report(TWO, (record(1, state),))
            self.closure.on_worker_lost(ONE)
            outcome = self.closure.job_outcome(ID, "desk")
            self.assertIs(outcome.kind, JobOutcomeKind.FAILED)
            self.assertIs(outcome.refusal.type, ErrorType.TASK_LOST)
            self.assertIs(outcome.refusal.claim, ExecutionStatus.MAY_HAVE_RUN)
            self.assertEqual(self.closure.job_outcome(ID, "another").refusal.claim.value, "not_run")

    def test_worker_that_is_lost_after_its_tasks_have_ended_leaves_their_outcome(self):
        self.closure.on_report(ONE, tuple(record(index, TaskRecordState.OK) for index in range(2)))
        self.closure.on_worker_lost(ONE)
        self.assertIs(self.closure.job_outcome(ID, "desk").kind, JobOutcomeKind.COMPLETE)

    def test_worker_that_is_lost_after_a_report_without_the_job_has_not_run_it(self):
        self.closure.on_report(ONE, ())
        self.closure.on_report(TWO, ())
        self.closure.on_worker_lost(ONE)
        self.assertEqual(self.claim(), (JobOutcomeKind.FAILED, ExecutionStatus.NOT_RUN))

    def test_worker_that_reports_after_all_was_not_lost(self):
        tasks = tuple(record(index, TaskRecordState.RUNNING) for index in range(2))
        self.closure.on_report(ONE, tasks)
        self.closure.on_worker_lost(ONE)
        self.assertTrue(self.closure.is_running(ID))
        self.closure.on_report(ONE, tuple(record(index, TaskRecordState.OK) for index in range(2)))
        self.assertIs(self.closure.job_outcome(ID, "desk").kind, JobOutcomeKind.COMPLETE)

    def test_evicted_records_leave_older_jobs_uncertain(self):
        self.closure.on_report(ONE, (), ID.sequence)
        self.closure.on_report(TWO, ())
        self.assertEqual(self.claim(), (JobOutcomeKind.FAILED, ExecutionStatus.MAY_HAVE_RUN))
        newer = self.closure.job_outcome(SubmissionId(OWNER, ID.sequence + 1), "desk")
        self.assertIs(newer.refusal.claim, ExecutionStatus.NOT_RUN)

    def test_past_worker_concerns_older_ids_only(self):
        # Regression (seed 20033): the record dropped a replaced worker that had run the job.
        record_ = OwnerRecord(str(OWNER), (ONE, TWO)).with_workers(frozenset({ONE}), 5)
        below = {entry.worker: entry.below for entry in record_.past}
        workers = frozenset(record_.workers) | below.keys()
        for sequence, claim in ((4, ExecutionStatus.MAY_HAVE_RUN), (5, ExecutionStatus.NOT_RUN)):
            closure = OwnerClosure(str(OWNER), workers, below)
            closure.on_report(ONE, ())
            closure.on_worker_lost(TWO)
            outcome = closure.job_outcome(SubmissionId(OWNER, sequence), "desk")
            self.assertIs(outcome.refusal.claim, claim)
