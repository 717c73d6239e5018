from unittest import TestCase

from cranberryshore.dispatch import (
    AnnounceIsolation,
    Assigned,
    Cancel,
    Dispatcher,
    DispatchSettings,
    Drain,
    JobOwnershipLost,
    JobRefused,
    JobSettled,
    OwnerClosed,
    OwnerNamed,
    OwnershipConfirmed,
    OwnershipDoubted,
    StartTasks,
    StopTasks,
    Submit,
    TasksFinished,
    TasksRejected,
    Tick,
    Trace,
    WorkerAdded,
    WorkerIsolated,
    WorkerLost,
    WorkerOpened,
    decode_trace,
    encode_trace,
    replay,
)
from cranberryshore.errors import ErrorType, ExecutionStatus
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.placement import Assignment
from cranberryshore.work import Capacity, JobRequest, TaskResult, TaskSpec

OWNER = Incarnation("a", "e1", "0" * 16)
ONE_PROCESSOR = Capacity(1000, 100, 0)


def request(count: int, demand: Capacity = ONE_PROCESSOR, **options) -> JobRequest:
    return JobRequest(tuple(TaskSpec(demand, 100) for _ in range(count)), **options)


def started(effects) -> list[tuple[str, str, int]]:
    return [
        (effect.worker, effect.batch.job, task.index)
        for effect in effects
        if isinstance(effect, StartTasks)
        for task in effect.batch.tasks
    ]


class DispatcherTest(TestCase):
    def setUp(self):
        self.settings = DispatchSettings(queued_tasks=100)
        self.dispatcher = Dispatcher(self.settings, str(OWNER))
        self.trace = Trace()
        self.effects: list = []
        self.now = 0.0
        for name in ("w1", "w2"):
            self.handle(WorkerAdded(name, "run-1", Capacity(4000, 8000, 0)))
            self.handle(WorkerOpened(name, "run-1", ()))
        self.handle(Assigned(Assignment("me", {"w1": "me", "w2": "me"})))

    def handle(self, input):
        self.trace.record(input, self.now)
        effects = self.dispatcher.handle(input, self.now)
        self.effects.append(tuple(effects))
        return effects

    def submit(self, sequence: int, job: JobRequest):
        return self.handle(Submit(SubmissionId(OWNER, sequence), "desk", job))

    def job(self, sequence: int):
        return self.dispatcher.jobs[f"{OWNER}.{sequence}"]

    def finish(self, starts, is_ok=True):
        effects = []
        for worker, job, index in starts:
            result = TaskResult(index, is_ok, f"out-{index}", 100)
            effects += self.handle(TasksFinished(worker, ((job, result),)))
        return effects

    def test_job_completes_with_results_in_reverse_order(self):
        starts = started(self.submit(0, request(6)))
        self.assertEqual(len(starts), 6)
        effects = self.finish(reversed(starts))
        self.assertIn(JobSettled(SubmissionId(OWNER, 0)), effects)
        self.assertTrue(self.job(0).is_complete)

    def test_one_failure_stops_the_rest_with_one_message_per_worker(self):
        starts = started(self.submit(0, request(8)))
        effects = self.finish(starts[:1], is_ok=False)
        stops = [effect.worker for effect in effects if isinstance(effect, StopTasks)]
        self.assertEqual(sorted(stops), ["w1", "w2"])
        self.assertIs(self.job(0).failure.claim, ExecutionStatus.RAN_AND_FAILED)

    def test_stopped_tasks_release_their_capacity(self):
        # Regression: without a report for stopped tasks, their capacity was never released.
        starts = started(self.submit(0, request(8)))
        self.finish(starts[:1], is_ok=False)
        for worker, job, index in starts[1:]:
            stopped = TaskResult(index, False, is_stopped=True)
            self.handle(TasksFinished(worker, ((job, stopped),)))
        self.assertEqual(len(started(self.submit(1, request(8)))), 8)
        self.assertEqual(self.dispatcher.late_results, 0)

    def test_isolated_worker_is_announced_and_avoided(self):
        for sequence in range(40):
            starts = started(self.submit(sequence, request(1)))
            effects = self.finish(starts, is_ok=starts[0][0] != "w1")
            announced = [effect for effect in effects if isinstance(effect, AnnounceIsolation)]
            if announced:
                break
        self.assertEqual(announced[0].worker, "w1")
        other = Dispatcher(self.settings, str(OWNER))
        for name in ("w1", "w2"):
            other.handle(WorkerAdded(name, "run-1", Capacity(4000, 8000, 0)), 0.0)
            other.handle(WorkerOpened(name, "run-1", ()), 0.0)
        other.handle(Assigned(Assignment("me", {"w1": "me", "w2": "me"})), 0.0)
        other.handle(WorkerIsolated("w1", "run-1", announced[0].seconds), 0.0)
        other.handle(WorkerIsolated("w2", "run-0", announced[0].seconds), 0.0)
        effects = other.handle(Submit(SubmissionId(OWNER, 0), "desk", request(6)), 0.1)
        self.assertEqual({start[0] for start in started(effects)}, {"w2"})

    def test_late_and_duplicate_results_are_ignored(self):
        starts = started(self.submit(0, request(1)))
        self.finish(starts)
        self.finish(starts, is_ok=False)
        self.assertTrue(self.job(0).is_complete)
        self.assertEqual(self.dispatcher.late_results, 1)

    def test_cancelled_before_any_start_is_not_run(self):
        self.submit(0, request(8))
        self.submit(1, request(3))
        self.handle(Cancel(SubmissionId(OWNER, 1)))
        self.assertIs(self.job(1).failure.claim, ExecutionStatus.NOT_RUN)
        self.handle(Cancel(SubmissionId(OWNER, 0)))
        self.assertIs(self.job(0).failure.claim, ExecutionStatus.MAY_HAVE_RUN)

    def test_tasks_of_a_lost_worker_are_not_started_again(self):
        self.submit(0, request(8))
        effects = self.handle(WorkerLost("w1", "run-1"))
        self.assertEqual(started(effects), [])
        self.assertIs(self.job(0).failure.type, ErrorType.TASK_LOST)
        self.assertIs(self.job(0).failure.claim, ExecutionStatus.MAY_HAVE_RUN)

    def test_rejected_task_is_started_elsewhere(self):
        starts = started(self.submit(0, request(1)))
        worker, job, index = starts[0]
        effects = self.handle(TasksRejected(worker, ((job, index),)))
        self.assertEqual(
            [start[0] for start in started(effects)], [{"w1": "w2", "w2": "w1"}[worker]]
        )

    def test_start_that_did_not_reach_the_worker_is_sent_again(self):
        starts = started(self.submit(0, request(2)))
        worker = starts[0][0]
        known = ((starts[0][1], starts[0][2]),)
        effects = self.handle(WorkerOpened(worker, "run-1", known))
        self.assertEqual([start[2] for start in started(effects)], [starts[1][2]])

    def test_refuses_oversized_tasks_and_full_queue(self):
        effects = self.submit(0, request(1, Capacity(9000, 0, 0)))
        self.assertIs(effects[0].refusal.type, ErrorType.NEVER_FITS)
        self.assertIsNone(effects[0].refusal.retry_after_ms)
        self.submit(1, request(90))
        effects = self.submit(2, request(60))
        self.assertIsInstance(effects[0], JobRefused)
        self.assertIs(effects[0].refusal.type, ErrorType.QUEUE_FULL)
        self.assertGreater(effects[0].refusal.retry_after_ms, 0)

    def test_deadline_that_cannot_be_met_is_refused(self):
        self.submit(0, request(80))
        effects = self.submit(1, request(1, deadline_ms=150))
        self.assertIs(effects[0].refusal.type, ErrorType.DEADLINE_UNMEETABLE)

    def test_deadline_that_passes_in_the_queue_fails_at_once(self):
        self.submit(0, request(8))
        self.submit(1, request(1, deadline_ms=300))
        self.now = 0.4
        self.handle(Tick())
        self.assertIs(self.job(1).failure.type, ErrorType.DEADLINE_PASSED)
        self.assertIs(self.job(1).failure.claim, ExecutionStatus.NOT_RUN)

    def test_teams_share_capacity_equally(self):
        running = started(self.submit(0, request(4, team="a")))
        running += started(self.submit(3, request(4, team="b")))
        self.submit(1, request(16, team="a"))
        self.submit(2, request(16, team="b"))
        teams = []
        for start in running:
            teams += [job for _, job, _ in started(self.finish([start]))]
        self.assertEqual(teams.count(f"{OWNER}.1"), teams.count(f"{OWNER}.2"))

    def test_large_task_is_not_starved_by_small_ones(self):
        running = started(self.submit(0, request(8)))
        self.submit(1, request(1, Capacity(4000, 100, 0), team="large"))
        placed = False
        for round_ in range(12):
            self.now += 0.2
            self.submit(10 + round_, request(2, team="small"))
            effects = self.finish(running[:2])
            running = running[2:] + started(effects)
            placed = placed or any(job == f"{OWNER}.1" for _, job, _ in running)
        self.assertTrue(placed)

    def test_closed_owner_starts_nothing_more(self):
        # Regression (seed 150038): jobs of a closed owner were started by its next incarnation.
        self.submit(0, request(4))
        self.submit(1, request(8))
        self.submit(2, request(3))
        effects = self.handle(OwnerClosed(str(OWNER)))
        self.assertIn(JobOwnershipLost(SubmissionId(OWNER, 0), "default"), effects)
        self.assertIs(self.job(2).failure.claim, ExecutionStatus.NOT_RUN)
        self.handle(OwnerNamed("a.e1.1111111111111111"))
        self.assertEqual(started(self.handle(Tick())), [])

    def test_nothing_starts_until_ownership_is_confirmed(self):
        self.now = 5.0
        self.handle(OwnershipDoubted())
        self.assertEqual(started(self.submit(0, request(2))), [])
        self.assertEqual(started(self.handle(OwnershipConfirmed("another", 5.0))), [])
        self.assertEqual(started(self.handle(OwnershipConfirmed(str(OWNER), 4.9))), [])
        self.assertEqual(len(started(self.handle(OwnershipConfirmed(str(OWNER), 5.0)))), 2)

    def test_owner_closed_while_doubted_refuses_its_jobs_as_not_run(self):
        self.handle(OwnershipDoubted())
        self.submit(0, request(2))
        self.handle(OwnerClosed(str(OWNER)))
        self.assertIs(self.job(0).failure.claim, ExecutionStatus.NOT_RUN)
        new_owner = Incarnation("a", "e1", "1" * 16)
        self.handle(OwnerNamed(str(new_owner)))
        effects = self.handle(Submit(SubmissionId(new_owner, 0), "desk", request(2)))
        self.assertEqual(len(started(effects)), 2)

    def test_final_drain_refuses_what_waits(self):
        self.submit(0, request(8))
        self.submit(1, request(3))
        self.handle(Drain())
        self.assertIs(self.submit(2, request(1))[0].refusal.type, ErrorType.DRAINING)
        self.handle(Drain(is_final=True))
        self.assertIs(self.job(1).failure.claim, ExecutionStatus.NOT_RUN)
        self.assertFalse(self.job(0).is_settled)

    def test_recorded_trace_replays_exactly(self):
        starts = started(self.submit(0, request(8)))
        self.submit(1, request(5, urgent=True))
        self.now = 0.1
        self.finish(starts)
        self.handle(WorkerLost("w2", "run-1"))
        entries = decode_trace(encode_trace(self.trace.entries)).unwrap()
        dispatcher, effects = replay(self.settings, str(OWNER), entries)
        self.assertEqual(effects, self.effects)
        self.assertEqual(dispatcher.jobs, self.dispatcher.jobs)
