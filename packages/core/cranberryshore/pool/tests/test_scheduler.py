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
            self.add_worker(name)
            self.poll(name)
        self.scheduler.take_effects()

    def add_worker(self, name: str) -> None:
        worker = HeldWorker(name, name, "z", "s", Capacity(2000, 1000), frozenset(), 1)
        self.scheduler.add_worker(worker, self.now)

    def poll(self, name: str, running=(), ended=()):
        reported_keys = self.ends.setdefault(name, [])
        listed = []
        for key, kind in ended:
            reported_keys.append(key)
            listed.append(ReportedEnd(len(reported_keys), *key, kind))
        self.now += 0.01
        status = WorkerStatus(1, 0, tuple(ReportedRun(*key) for key in running), tuple(listed))
        token = self.scheduler.workers[name].token
        self.scheduler.record_status(name, status, token, self.now, self.now)

    def submit(self, *args, **options) -> list[StartRun]:
        self.scheduler.submit(request(*args, **options), "e", self.now)
        return self.starts()

    def effects(self, kind: type) -> list:
        return [item for item in self.scheduler.take_effects() if isinstance(item, kind)]

    def starts(self) -> list[StartRun]:
        """Confirm the pending start requests and return them."""
        starts = self.effects(StartRun)
        for start in starts:
            self.scheduler.start_confirmed(start.worker, start.key, self.now)
        return starts

    def end(self, start: StartRun, kind: EndKind) -> None:
        worker = self.scheduler.workers[start.worker]
        running = [key for key in worker.runs if key != start.key]
        self.poll(start.worker, running, [(start.key, kind)])

    def test_job_completes_when_all_tasks_are_done(self):
        starts = self.submit(count=3)
        self.assertEqual(len(starts), 3)
        for start in starts[:2]:
            self.end(start, EndKind.DONE)
        self.assertEqual(self.effects(JobEnded), [])
        self.end(starts[2], EndKind.DONE)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.outcome, end.entry, end.job), (Outcome.COMPLETED, "e", "j"))

    def test_no_worker_is_overcommitted(self):
        starts = self.submit(count=5)
        self.assertEqual(len(starts), 4)
        self.assertEqual(self.scheduler.workers["w1"].room.millicores, 0)

    def test_failed_task_is_retried_on_another_worker(self):
        (start,) = self.submit()
        self.end(start, EndKind.FAILED)
        (again,) = self.starts()
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(again.key, (start.key[0], 2))
        self.end(again, EndKind.FAILED)
        self.assertEqual(self.effects(JobEnded)[0].outcome, Outcome.FAILED)

    def test_cancelled_job_occupies_capacity_until_its_end_is_reported(self):
        (start,) = self.submit(millicores=2000)
        self.scheduler.cancel("j", "e", self.now)
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, start.key)
        self.assertEqual(self.scheduler.workers[start.worker].room.millicores, 0)
        self.end(start, EndKind.STOPPED)
        self.assertEqual(self.scheduler.workers[start.worker].room.millicores, 2000)

    def test_resubmitted_job_waits_for_the_end_of_its_earlier_runs(self):
        (start,) = self.submit()
        self.scheduler.cancel("j", "e", self.now)
        self.assertEqual(self.submit(), [])
        self.end(start, EndKind.STOPPED)
        (again,) = self.starts()
        self.assertGreater(again.key[1], start.key[1])

    def test_job_resubmitted_through_another_instance_continues(self):
        (start,) = self.submit()
        self.scheduler.submit(request(), "f", self.now)
        self.end(start, EndKind.DONE)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.entry, end.outcome), ("f", Outcome.COMPLETED))

    def test_resumed_job_waits_until_all_workers_are_polled(self):
        self.assertEqual(self.submit(is_resumed=True), [])
        self.poll("w1")
        self.assertEqual(self.starts(), [])
        self.poll("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_waits_full_delay_if_not_all_workers_are_held(self):
        # A scheduler of one zone polls only the workers of that zone, so its polls prove nothing
        # about runs in other zones.
        self.scheduler.covers_all_workers = False
        self.submit(is_resumed=True, steps=(StepSpec(1, Capacity(1000, 10), 1000),))
        arrived = self.now
        self.poll("w1")
        self.poll("w2")
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS - 0.01)
        self.assertEqual(self.starts(), [])
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS)
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_that_cannot_wait_is_refused_after_verification(self):
        self.scheduler.covers_all_workers = False
        self.submit(is_resumed=True)
        self.scheduler.tick(self.now + VERIFICATION_SECONDS - 0.01)
        self.assertEqual(self.effects(JobEnded), [])
        self.scheduler.tick(self.now + VERIFICATION_SECONDS)
        self.assertEqual(len(self.effects(JobEnded)), 1)

    def test_dropped_entry_instance_is_notified(self):
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

    def test_waiting_job_is_refused_once_it_is_useless(self):
        self.submit("full", count=4)
        self.submit("late")
        self.scheduler.tick(self.now + 0.7)
        self.assertEqual(self.effects(JobEnded), [])
        self.scheduler.tick(self.now + 0.9)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.job, end.outcome), ("late", Outcome.REFUSED))
        self.assertGreater(end.retry_after_ms, 0)

    def test_tick_before_placement_refuses_no_job_that_fits(self):
        # A tick between the arrival of a job and its placement refused it beside idle workers.
        self.scheduler.submit(request(budget_ms=100), "e", self.now)
        self.scheduler.tick(self.now)
        self.assertEqual(len(self.starts()), 1)

    def test_tick_refuses_job_that_does_not_fit(self):
        self.submit("full", count=4)
        self.scheduler.submit(request("tight", budget_ms=100), "e", self.now)
        self.scheduler.tick(self.now)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.job, end.outcome), ("tight", Outcome.REFUSED))

    def test_job_without_slack_waits_for_worker_being_acquired(self):
        # Such a job was refused 2 ms after its arrival, 3 ms before the idle worker responded.
        self.submit("full", count=4)
        self.add_worker("w3")
        self.submit("tight", budget_ms=100)
        self.scheduler.tick(self.now)
        self.assertEqual(self.effects(JobEnded), [])
        self.poll("w3")
        self.assertEqual([start.worker for start in self.starts()], ["w3"])

    def test_job_without_slack_is_refused_once_worker_is_late(self):
        self.submit("full", count=4)
        self.add_worker("w3")
        step = StepSpec(1, Capacity(1000, 10), 1000)
        self.submit("tight", steps=(step,), budget_ms=1000)
        self.scheduler.tick(self.now + VERIFICATION_SECONDS - 0.01)
        self.assertEqual(self.effects(JobEnded), [])
        self.scheduler.tick(self.now + VERIFICATION_SECONDS)
        self.assertEqual(len(self.effects(JobEnded)), 1)

    def test_job_without_slack_is_refused_once_workers_are_full(self):
        self.add_worker("w3")
        self.submit("full", count=4)
        self.submit("tight", budget_ms=100)
        self.poll("w3", running=[("other.0.0.0", 1)])
        self.scheduler.tick(self.now)
        self.assertEqual(len(self.effects(JobEnded)), 1)

    def test_useless_job_does_not_wait_for_worker_being_acquired(self):
        self.submit("full", count=4)
        self.add_worker("w3")
        self.submit("useless", budget_ms=100, waited_ms=100)
        self.scheduler.tick(self.now)
        self.assertEqual(len(self.effects(JobEnded)), 1)

    def test_job_without_slack_waits_for_list_of_workers(self):
        self.scheduler = Scheduler(self.scheduler.config, acquiring_since=self.now)
        self.submit(budget_ms=100)
        self.scheduler.tick(self.now)
        self.assertEqual(self.effects(JobEnded), [])
        self.add_worker("w1")
        self.poll("w1")
        self.assertEqual(len(self.starts()), 1)

    def test_stop_without_effect_is_sent_again(self):
        (start,) = self.submit()
        self.scheduler.cancel("j", "e", self.now)
        self.scheduler.take_effects()
        self.now += 0.2
        self.poll(start.worker, [start.key])
        self.assertEqual(len(self.effects(StopRun)), 1)

    def test_foreign_run_is_stopped(self):
        self.poll("w1", [("x.0.0.0", 3)])
        self.assertEqual(self.effects(StopRun), [])
        self.now += ADOPTION_WINDOW_SECONDS
        self.poll("w1", [("x.0.0.0", 3)])
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, ("x.0.0.0", 3))

    def test_runs_of_another_scheduler_are_adopted(self):
        # All active runs were stopped and lost when a scheduler left.
        self.poll("w1", [("j.0.0.0", 3)])
        self.poll("w2", ended=[(("j.0.0.1", 2), EndKind.DONE)])
        self.submit(count=2, is_resumed=True)
        self.assertEqual(self.scheduler.workers["w1"].room.millicores, 1000)
        self.assertEqual(self.effects(StartRun), [])
        self.poll("w1", ended=[(("j.0.0.0", 3), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertEqual(end.outcome, Outcome.COMPLETED)

    def test_only_one_run_of_a_task_is_adopted(self):
        self.poll("w1", [("j.0.0.0", 3)])
        self.poll("w2", [("j.0.0.0", 4)])
        self.submit(is_resumed=True)
        self.now += ADOPTION_WINDOW_SECONDS
        self.poll("w2", [("j.0.0.0", 4)])
        (stop,) = self.effects(StopRun)
        self.assertEqual((stop.worker, stop.key), ("w2", ("j.0.0.0", 4)))

    def test_straggler_is_retried_on_another_worker(self):
        # Hanging tasks occupied their capacity until their callers timed out.
        (start,) = self.submit()
        self.now += 0.35
        self.poll(start.worker, [start.key])
        self.assertEqual(self.effects(StopRun), [])
        self.now += 0.1
        self.poll(start.worker, [start.key])
        (stop,) = self.effects(StopRun)
        self.assertEqual(stop.key, start.key)
        self.end(start, EndKind.STOPPED)
        (again,) = self.starts()
        self.assertNotEqual(again.worker, start.worker)

    def test_lost_polls_do_not_cause_stragglers(self):
        # Workers were isolated because of runs whose ends were not reported, as polls were lost.
        (start,) = self.submit()
        self.now += 0.5
        self.scheduler.tick(self.now)
        self.end(start, EndKind.DONE)
        self.assertEqual(self.effects(StopRun), [])

    def test_probe_that_never_began_does_not_block_its_worker(self):
        # Only results ended a probe, so a worker whose probe was lost was never used again.
        self.scheduler.workers["w2"].is_draining = True
        self.scheduler.statistics.health.isolate("w1", 0.001, self.now - 1.0)
        self.scheduler.submit(request(), "e", self.now)
        (probe,) = self.effects(StartRun)
        self.scheduler.start_rejected("w1", probe.key, False, self.now)
        self.assertEqual(len(self.starts()), 1)

    def test_low_attempt_number_is_increased(self):
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

    def test_max_tasks_per_worker(self):
        step = StepSpec(2, Capacity(500, 10), 50, max_per_worker=1)
        starts = self.submit(steps=(step,))
        self.assertEqual({start.worker for start in starts}, {"w1", "w2"})

    def test_required_label(self):
        step = StepSpec(1, Capacity(500, 10), 50, label="b")
        self.assertEqual(self.submit(steps=(step,)), [])
        self.scheduler.workers["w2"].labels = frozenset({"b"})
        self.scheduler.tick(self.now)
        self.assertEqual([start.worker for start in self.starts()], ["w2"])

    def test_draining_worker_receives_no_tasks(self):
        for worker in self.scheduler.workers.values():
            worker.is_draining = True
        self.assertEqual(self.submit(), [])

    def test_resumed_job_requests_polls(self):
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.assertEqual({poll.worker for poll in self.effects(PollWorker)}, {"w1", "w2"})

    def test_jobs_handed_over_together_share_one_poll_round(self):
        # About 250 jobs of a scheduler that had left requested 176 polls each, which kept the new
        # scheduler busy for ten seconds.
        for number in range(50):
            self.scheduler.submit(request(f"j{number}", is_resumed=True), "e", self.now)
        self.assertEqual(len(self.effects(PollWorker)), 2)
        self.scheduler.tick(self.now + 0.01)
        self.assertEqual(self.effects(PollWorker), [])

    def test_later_job_requests_another_poll_round(self):
        self.scheduler.submit(request("j1", is_resumed=True), "e", self.now)
        self.effects(PollWorker)
        self.scheduler.submit(request("j2", is_resumed=True), "e", self.now + 0.01)
        self.assertEqual(self.effects(PollWorker), [])
        self.scheduler.tick(self.now + 1.0)
        self.assertEqual({poll.worker for poll in self.effects(PollWorker)}, {"w1", "w2"})

    def test_resumed_job_starts_once_all_workers_have_responded(self):
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.assertEqual(self.starts(), [])
        self.poll("w1")
        self.assertEqual(self.starts(), [])
        self.poll("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_adopted_run_does_not_update_statistics(self):
        # The time since the adoption of a run was recorded as its run time. Jobs were expected to
        # take 1 ms, and were refused as late or stopped as stragglers for ten seconds after each
        # change of the scheduler.
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        self.poll("w1", running=[("j.0.0.0", 1)])
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertEqual(self.scheduler.statistics.health.record_for("w1").run_ratio, 1.0)

    def test_adopted_end_does_not_update_statistics(self):
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        self.scheduler.submit(request(is_resumed=True), "e", self.now)
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertGreaterEqual(end.summary.waited_ms, 0)
