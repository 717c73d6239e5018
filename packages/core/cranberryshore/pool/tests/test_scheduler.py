from unittest import TestCase

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    JobEnded,
    Outcome,
    PollWorker,
    PoolConfig,
    QueueSpec,
    ReportedEnd,
    ReportedRun,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS, VERIFICATION_SECONDS
from cranberryshore.pool.scheduler import ADOPTION_WINDOW_SECONDS
from cranberryshore.work import Capacity

QUEUE = QueueSpec("q", "h", "/q/", "s", max_attempts=2, slack_factor=2.0, aim_ms=100)
OTHER = QueueSpec("o", "h", "/o/", "t")


def request(job_id="j", count=1, millicores=1000, **options) -> WorkRequest:
    step = StepSpec(count, Capacity(millicores, 10), 100)
    values = {"steps": (step,), "budget_ms": 5000} | options
    return WorkRequest(job_id, "q", "p", **values)


class SchedulerTest(TestCase):
    def setUp(self):
        self.scheduler = Scheduler(PoolConfig(1, (QUEUE, OTHER)), covers_all_workers=True)
        self.now = 0.0
        self.ends = {}
        for name in ("w1", "w2"):
            worker = HeldWorker(name, name, "z", "s", Capacity(2000, 1000), frozenset(), 1)
            self.scheduler.add_worker(worker)
            self.look(name)
        self.scheduler.take_effects()

    def look(self, name: str, running=(), ended=()):
        numbers = self.ends.setdefault(name, [])
        listed = []
        for key, kind in ended:
            numbers.append(key)
            listed.append(ReportedEnd(len(numbers), *key, kind))
        self.now += 0.01
        answer = WorkerStatus(1, 0, tuple(ReportedRun(*key) for key in running), tuple(listed))
        token = self.scheduler.workers[name].token
        self.scheduler.record_status(name, answer, token, self.now, self.now)

    def submit(self, *args, **options) -> list[StartRun]:
        self.scheduler.submit(request(*args, **options), "e", self.now)
        return self.starts()

    def effects(self, kind: type) -> list:
        return [item for item in self.scheduler.take_effects() if isinstance(item, kind)]

    def starts(self) -> list[StartRun]:
        starts = self.effects(StartRun)
        for start in starts:
            self.scheduler.start_answered(start.worker, start.key, self.now)
        return starts

    def end(self, start: StartRun, kind: EndKind) -> None:
        worker = self.scheduler.workers[start.worker]
        running = [key for key in worker.runs if key != start.key]
        self.look(start.worker, running, [(start.key, kind)])

    def test_job_completes_when_all_tasks_are_done(self):
        starts = self.submit(count=3)
        self.assertEqual(len(starts), 3)
        for start in starts[:2]:
            self.end(start, EndKind.DONE)
        self.assertEqual(self.effects(JobEnded), [])
        self.end(starts[2], EndKind.DONE)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.outcome, end.entry, end.job), (Outcome.COMPLETED, "e", "j"))

    def test_no_worker_is_filled_over_its_room(self):
        starts = self.submit(count=5)
        self.assertEqual(len(starts), 4)
        self.assertEqual(self.scheduler.workers["w1"].room.millicores, 0)

    def test_failed_task_is_tried_again_elsewhere(self):
        (start,) = self.submit()
        self.end(start, EndKind.FAILED)
        (again,) = self.starts()
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(again.key, (start.key[0], 2))
        self.end(again, EndKind.FAILED)
        self.assertEqual(self.effects(JobEnded)[0].outcome, Outcome.FAILED)

    def test_cancelled_job_is_stopped_and_holds_its_room_until_its_end_is_listed(self):
        (start,) = self.submit(millicores=2000)
        self.scheduler.cancel("j", "e", self.now)
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, start.key)
        self.assertEqual(self.scheduler.workers[start.worker].room.millicores, 0)
        self.end(start, EndKind.STOPPED)
        self.assertEqual(self.scheduler.workers[start.worker].room.millicores, 2000)

    def test_job_that_comes_again_waits_for_the_runs_of_its_first_try(self):
        (start,) = self.submit()
        self.scheduler.cancel("j", "e", self.now)
        self.assertEqual(self.submit(), [])
        self.end(start, EndKind.STOPPED)
        (again,) = self.starts()
        self.assertGreater(again.key[1], start.key[1])

    def test_job_that_comes_again_through_another_instance_goes_on(self):
        (start,) = self.submit()
        self.scheduler.submit(request(), "f", self.now)
        self.end(start, EndKind.DONE)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.entry, end.outcome), ("f", Outcome.COMPLETED))

    def test_resumed_job_waits_until_all_workers_were_looked_at(self):
        self.assertEqual(self.submit(is_resumed=True), [])
        self.look("w1")
        self.assertEqual(self.starts(), [])
        self.look("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_waits_its_time_where_not_all_workers_are_held(self):
        # Cause: Haneul trouble-2, a scheduler of one zone looked at that zone's workers only.
        self.scheduler.covers_all_workers = False
        self.submit(is_resumed=True, steps=(StepSpec(1, Capacity(1000, 10), 1000),))
        arrived = self.now
        self.look("w1")
        self.look("w2")
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS - 0.01)
        self.assertEqual(self.starts(), [])
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS)
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_that_cannot_wait_ends_before_its_caller_comes_again(self):
        self.scheduler.covers_all_workers = False
        self.submit(is_resumed=True)
        self.scheduler.tick(self.now + VERIFICATION_SECONDS - 0.01)
        self.assertEqual(self.effects(JobEnded), [])
        self.scheduler.tick(self.now + VERIFICATION_SECONDS)
        self.assertEqual(len(self.effects(JobEnded)), 1)

    def test_dropped_entry_instance_is_told(self):
        self.submit()
        self.scheduler.entry_lost("e", self.now)
        self.assertEqual(self.effects(JobEnded)[0].outcome, Outcome.DROPPED)

    def test_job_too_large_for_every_worker_is_refused_at_once(self):
        self.scheduler.submit(request(millicores=3000), "e", self.now)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.outcome, end.retry_after_ms), (Outcome.REFUSED, 0))

    def test_job_of_an_unknown_queue_is_refused_at_once(self):
        self.scheduler.config = PoolConfig(2, (OTHER,))
        self.scheduler.submit(request(), "e", self.now)
        self.assertEqual(self.effects(JobEnded)[0].outcome, Outcome.REFUSED)

    def test_workers_of_another_service_are_not_used(self):
        for worker in self.scheduler.workers.values():
            worker.service = "t"
        self.assertEqual(self.submit(), [])

    def test_waiting_job_is_refused_once_it_is_of_no_use(self):
        self.submit("full", count=4)
        self.submit("late")
        self.scheduler.tick(self.now + 0.7)
        self.assertEqual(self.effects(JobEnded), [])
        self.scheduler.tick(self.now + 0.9)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.job, end.outcome), ("late", Outcome.REFUSED))
        self.assertGreater(end.retry_after_ms, 0)

    def test_stop_that_shows_no_effect_is_sent_again(self):
        (start,) = self.submit()
        self.scheduler.cancel("j", "e", self.now)
        self.scheduler.take_effects()
        self.now += 0.2
        self.look(start.worker, [start.key])
        self.assertEqual(len(self.effects(StopRun)), 1)

    def test_run_of_another_holder_is_stopped(self):
        self.look("w1", [("x.0.0.0", 3)])
        self.assertEqual(self.effects(StopRun), [])
        self.now += ADOPTION_WINDOW_SECONDS
        self.look("w1", [("x.0.0.0", 3)])
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, ("x.0.0.0", 3))

    def test_runs_of_another_scheduler_are_adopted(self):
        # Cause: Haneul trouble-2, all running work was thrown away when a scheduler left.
        self.look("w1", [("j.0.0.0", 3)])
        self.look("w2", ended=[(("j.0.0.1", 2), EndKind.DONE)])
        self.submit(count=2, is_resumed=True)
        self.assertEqual(self.scheduler.workers["w1"].room.millicores, 1000)
        self.assertEqual(self.effects(StartRun), [])
        self.look("w1", ended=[(("j.0.0.0", 3), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertEqual(end.outcome, Outcome.COMPLETED)

    def test_only_one_run_of_a_task_is_adopted(self):
        self.look("w1", [("j.0.0.0", 3)])
        self.look("w2", [("j.0.0.0", 4)])
        self.submit(is_resumed=True)
        self.now += ADOPTION_WINDOW_SECONDS
        self.look("w2", [("j.0.0.0", 4)])
        (stop,) = self.effects(StopRun)
        self.assertEqual((stop.worker, stop.key), ("w2", ("j.0.0.0", 4)))

    def test_run_that_takes_too_long_is_tried_elsewhere(self):
        # Cause: tasks that stood still held their room until their callers' time was over.
        (start,) = self.submit()
        self.now += 0.35
        self.look(start.worker, [start.key])
        self.assertEqual(self.effects(StopRun), [])
        self.now += 0.1
        self.look(start.worker, [start.key])
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, start.key)
        self.end(start, EndKind.STOPPED)
        (again,) = self.starts()
        self.assertNotEqual(again.worker, start.worker)

    def test_lost_looks_make_no_straggler(self):
        # Cause: Haneul trouble-3, workers were isolated for runs whose ends no look had brought.
        (start,) = self.submit()
        self.now += 0.5
        self.scheduler.tick(self.now)
        self.end(start, EndKind.DONE)
        self.assertEqual(self.effects(StopRun), [])

    def test_probe_that_never_began_does_not_bar_its_worker(self):
        # Cause: only results ended a probe, so a worker whose probe was lost was used no more.
        self.scheduler.workers["w2"].is_draining = True
        self.scheduler.statistics.health.isolate("w1", 0.001, self.now - 1.0)
        self.scheduler.submit(request(), "e", self.now)
        (probe,) = self.effects(StartRun)
        self.scheduler.start_rejected("w1", probe.key, False, self.now)
        self.assertEqual(len(self.starts()), 1)

    def test_low_attempt_is_raised(self):
        self.scheduler.submit(request(), "e", self.now)
        (start,) = self.effects(StartRun)
        self.scheduler.start_rejected(start.worker, start.key, True, self.now)
        (again,) = self.starts()
        self.assertGreater(again.key[1], start.key[1] + 1)

    def test_steps_run_in_order(self):
        steps = (
            StepSpec(1, Capacity(1000, 10), 50),
            StepSpec(1, Capacity(1000, 10), 50, after=(0,)),
        )
        (first,) = self.submit(steps=steps)
        self.end(first, EndKind.DONE)
        (second,) = self.starts()
        self.assertEqual((first.key[0], second.key[0]), ("j.0.0.0", "j.0.1.0"))

    def test_at_most_so_many_tasks_on_one_worker(self):
        step = StepSpec(2, Capacity(500, 10), 50, max_per_worker=1)
        starts = self.submit(steps=(step,))
        self.assertEqual({start.worker for start in starts}, {"w1", "w2"})

    def test_needed_label(self):
        step = StepSpec(1, Capacity(500, 10), 50, label="b")
        self.assertEqual(self.submit(steps=(step,)), [])
        self.scheduler.workers["w2"].labels = frozenset({"b"})
        self.scheduler.tick(self.now)
        self.assertEqual([start.worker for start in self.starts()], ["w2"])

    def test_leaving_worker_gets_nothing(self):
        for worker in self.scheduler.workers.values():
            worker.is_draining = True
        self.assertEqual(self.submit(), [])

    def test_resumed_job_asks_for_looks(self):
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.assertEqual({look.worker for look in self.effects(PollWorker)}, {"w1", "w2"})

    def test_jobs_handed_over_together_ask_for_looks_once(self):
        # Cause: Haneul grown trouble-2, some 250 jobs of a scheduler that had left asked for
        # 176 looks each, and the new scheduler was busy with them for ten seconds.
        for number in range(50):
            self.scheduler.submit(request(f"j{number}", is_resumed=True), "e", self.now)
        self.assertEqual(len(self.effects(PollWorker)), 2)
        self.scheduler.tick(self.now + 0.01)
        self.assertEqual(self.effects(PollWorker), [])

    def test_looks_are_asked_for_again_for_a_later_job(self):
        self.scheduler.submit(request("j1", is_resumed=True), "e", self.now)
        self.effects(PollWorker)
        self.scheduler.submit(request("j2", is_resumed=True), "e", self.now + 0.01)
        self.assertEqual(self.effects(PollWorker), [])
        self.scheduler.tick(self.now + 1.0)
        self.assertEqual({look.worker for look in self.effects(PollWorker)}, {"w1", "w2"})

    def test_resumed_job_starts_once_all_workers_have_answered(self):
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.assertEqual(self.starts(), [])
        self.look("w1")
        self.assertEqual(self.starts(), [])
        self.look("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_nothing_is_learned_from_a_run_that_was_taken_over(self):
        # Cause: Haneul grown trouble-2, the part of a run after its takeover counted as its whole
        # length, so that jobs were expected to take 1 ms, were refused as late or were stopped as
        # stragglers for ten seconds after each change of the scheduler.
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.look("w1", running=[("j.0.0.0", 1)])
        self.look("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertEqual(self.scheduler.statistics.health.record_for("w1").run_ratio, 1.0)

    def test_nothing_is_learned_from_an_end_that_was_taken_over(self):
        self.look("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertGreaterEqual(end.summary.waited_ms, 0)
