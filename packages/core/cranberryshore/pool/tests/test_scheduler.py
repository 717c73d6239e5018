from unittest import TestCase

from cranberryshore.pool import (
    AcknowledgedRights,
    EndKind,
    HeldWorker,
    JobEnded,
    Outcome,
    PollWorker,
    PoolConfig,
    QueueSpec,
    ReportedEnd,
    ReportedRun,
    ResumedJobReleased,
    Scheduler,
    StartRun,
    StepSpec,
    StopRun,
    WorkerRegistration,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.pool.held_worker import MAX_CLOCK_AGE_SECONDS
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS, VERIFICATION_SECONDS
from cranberryshore.pool.scheduler import UNLISTED_WORKER_SECONDS
from cranberryshore.pool.start_rights import RUN_RIGHT_SECONDS, START_RIGHT_SECONDS
from cranberryshore.pool.takeover import ADOPTION_WINDOW_SECONDS
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.pool.verifying import ROUND_INTERVAL_SECONDS
from cranberryshore.work import Capacity

QUEUE = QueueSpec("q", "h", "/q/", "s", max_attempts=2, slack_factor=2.0, aim_ms=100)
OTHER = QueueSpec("o", "h", "/o/", "t")
WORKERS = frozenset({"w1", "w2"})


def request(job_id="j", count=1, millicores=1000, estimate_ms=100, **options) -> WorkRequest:
    step = StepSpec(count, Capacity(millicores, 10), estimate_ms)
    values = {"steps": (step,), "budget_ms": 5000} | options
    return WorkRequest(job_id, "q", "p", **values)


def registration(name: str) -> WorkerRegistration:
    return WorkerRegistration(name, name, "z", "s", Capacity(2000, 1000), born=1)


class SchedulerTestCase(TestCase):
    def setUp(self):
        self.scheduler = Scheduler(PoolConfig(1, (QUEUE, OTHER)), UnlimitedRights())
        self.now = 0.0
        self.ends = {}
        for name in ("w1", "w2"):
            self.add_worker(name)
            self.poll(name)
        self.scheduler.take_effects()
        self.now += 0.01

    def add_worker(self, name: str) -> None:
        worker = HeldWorker(
            name, name, "z", "s", Capacity(2000, 1000), frozenset(), 1, registered_born=1
        )
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

    def submit(self, *args, exposed: frozenset | None = WORKERS, **options) -> list[StartRun]:
        self.scheduler.submit(request(*args, **options), "e", self.now, exposed)
        return self.starts()

    def effects(self, kind: type) -> list:
        return [item for item in self.scheduler.take_effects() if isinstance(item, kind)]

    def starts(self) -> list[StartRun]:
        """Confirm the pending start requests and return them."""
        starts = self.effects(StartRun)
        for start in starts:
            self.scheduler.start_confirmed(start.worker, start.key, self.now)
        return starts

    def answer_polls(self) -> None:
        """Answer the polls of idle workers, whose clocks must be known before a start."""
        for effect in self.effects(PollWorker):
            self.poll(effect.worker, list(self.scheduler.workers[effect.worker].runs))

    def end(self, start: StartRun, kind: EndKind) -> None:
        worker = self.scheduler.workers[start.worker]
        running = [key for key in worker.runs if key != start.key]
        self.poll(start.worker, running, [(start.key, kind)])


class SchedulerTest(SchedulerTestCase):
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

    def test_job_goes_on_after_the_cancel_by_a_caller(self):
        # Review case 2: DELETE was acknowledged, and the further tasks of the job were started.
        (start,) = self.submit()
        self.scheduler.cancel("j", "f", self.now)
        self.assertEqual(self.effects(StopRun), [])
        self.scheduler.cancel("j", None, self.now)
        effects = self.scheduler.take_effects()
        stops = [effect.key for effect in effects if isinstance(effect, StopRun)]
        ends = [(e.entry, e.outcome) for e in effects if isinstance(e, JobEnded)]
        self.assertEqual((stops, ends), ([start.key], [("e", Outcome.CANCELLED)]))

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
        ends = [(end.entry, end.outcome) for end in self.effects(JobEnded)]
        self.assertEqual(ends, [("e", Outcome.GIVEN_UP), ("f", Outcome.COMPLETED)])

    def test_resumed_job_waits_until_all_workers_are_polled(self):
        self.assertEqual(self.submit(is_resumed=True), [])
        self.poll("w1")
        self.assertEqual(self.starts(), [])
        self.poll("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_waits_full_delay_if_not_all_workers_are_held(self):
        # A scheduler of one zone polls only the workers of that zone, so its polls prove nothing
        # about runs in other zones.
        steps = (StepSpec(1, Capacity(1000, 10), 1000),)
        self.submit(is_resumed=True, steps=steps, exposed=WORKERS | {"w3"})
        arrived = self.now
        self.poll("w1")
        self.poll("w2")
        self.now = arrived + RESUMED_JOB_WAIT_SECONDS - 0.02
        self.poll("w1")
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS - 0.01)
        self.assertEqual(self.starts(), [])
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS)
        self.assertEqual(len(self.starts()), 1)

    def test_resumed_job_with_unknown_workers_waits_full_delay(self):
        steps = (StepSpec(1, Capacity(1000, 10), 1000),)
        self.submit(is_resumed=True, steps=steps, exposed=None)
        arrived = self.now
        self.poll("w1")
        self.poll("w2")
        self.assertEqual(self.starts(), [])
        self.scheduler.tick(arrived + RESUMED_JOB_WAIT_SECONDS)
        self.answer_polls()
        self.assertEqual(len(self.starts()), 1)

    def test_job_resumed_through_two_instances_waits_for_the_workers_of_both(self):
        # The second instance has never had the roster with the first worker, which runs the job.
        self.submit(is_resumed=True, exposed=WORKERS)
        self.submit(is_resumed=True, exposed=frozenset({"w2"}))
        self.poll("w2")
        self.assertEqual(self.starts(), [])
        self.poll("w1")
        self.assertEqual(len(self.starts()), 1)

    def test_job_resumed_through_two_instances_with_unknown_workers_waits_full_delay(self):
        self.submit(is_resumed=True, exposed=None)
        self.submit(is_resumed=True, exposed=WORKERS)
        for name in ("w1", "w2"):
            self.poll(name)
        self.assertEqual(self.starts(), [])

    def test_release_of_a_resumed_job_is_logged(self):
        self.submit(is_resumed=True)
        self.poll("w1")
        self.poll("w2")
        (released,) = self.effects(ResumedJobReleased)
        self.assertEqual((released.verified_workers, released.unverified_workers), (2, 0))

    def test_nothing_is_started_for_a_silent_entry_instance(self):
        # Regression: a scheduler that did not know that an entry instance had turned to another
        # one started its waiting tasks and extended the leases of their workers.
        rights = self.scheduler.rights = AcknowledgedRights("own")
        rights.rosters.record(1, [registration("w1"), registration("w2")])
        rights.record_roster("e", 1)
        acknowledged_at = self.now
        rights.acknowledge("e", acknowledged_at)
        (first,) = self.submit()
        self.now = acknowledged_at + START_RIGHT_SECONDS
        self.assertEqual(self.submit("k", steps=(StepSpec(1, Capacity(1000, 10), 1000),)), [])
        worker = self.scheduler.workers[first.worker]
        end_ms = (acknowledged_at + RUN_RIGHT_SECONDS) * 1000 + worker.clock_offset_ms
        self.assertLessEqual(self.scheduler.lease_end_ms(worker, self.now), end_ms)
        self.now = acknowledged_at + RUN_RIGHT_SECONDS
        self.assertIsNone(self.scheduler.lease_end_ms(worker, self.now))
        rights.acknowledge("e", self.now)
        self.assertIsNotNone(self.scheduler.lease_end_ms(worker, self.now))
        self.poll("w1" if first.worker == "w2" else "w2")
        self.assertEqual([start.key[0] for start in self.starts()], ["k.0.0.0"])

    def test_lease_of_a_start_outlived_the_right_of_its_entry_instance(self):
        # With a whole lease, a run that is started just before the right ends would go on while
        # the task is started by another scheduler 1.3 s after the last heartbeat.
        rights = self.scheduler.rights = AcknowledgedRights("own")
        rights.rosters.record(1, [registration("w1"), registration("w2")])
        rights.record_roster("e", 1)
        acknowledged_at = self.now
        rights.acknowledge("e", acknowledged_at)
        self.now = acknowledged_at + START_RIGHT_SECONDS - 0.01
        (start,) = self.submit()
        worker = self.scheduler.workers[start.worker]
        end_ms = (acknowledged_at + RUN_RIGHT_SECONDS) * 1000 + worker.clock_offset_ms
        self.assertLessEqual(start.lease_end_ms, end_ms)

    def test_start_on_an_idle_worker_waits_until_its_clock_is_read(self):
        # Regression: the lease end of a start relied on an old reading of the clock, which starts
        # anew with the worker, so that a late start was carried out after its task had started
        # elsewhere.
        self.now += 2 * MAX_CLOCK_AGE_SECONDS
        self.scheduler.submit(request(), "e", self.now)
        effects = self.scheduler.take_effects()
        self.assertEqual([type(effect) for effect in effects], [PollWorker])
        self.poll(effects[0].worker)
        self.assertEqual([start.worker for start in self.starts()], [effects[0].worker])

    def test_lease_is_not_extended_for_runs_of_a_dropped_job(self):
        # Regression: the lease of a run that did not stop was extended after its job had been
        # handed over to another scheduler, even if its entry instance had come back.
        rights = self.scheduler.rights = AcknowledgedRights("own")
        rights.rosters.record(1, [registration("w1"), registration("w2")])
        rights.record_roster("e", 1)
        rights.acknowledge("e", self.now)
        (first,) = self.submit()
        rights.revoke("e")
        self.scheduler.entry_lost("e", self.now)
        rights.acknowledge("e", self.now + 0.1)
        worker = self.scheduler.workers[first.worker]
        self.assertIsNone(self.scheduler.lease_end_ms(worker, self.now + 0.1))

    def test_job_starts_only_on_workers_known_to_its_entry_instance(self):
        rights = self.scheduler.rights = AcknowledgedRights("own")
        rights.rosters.record(1, [registration("w2")])
        rights.rosters.record(2, [registration("w1"), registration("w2")])
        rights.record_roster("e", 1)
        rights.acknowledge("e", self.now)
        self.assertEqual({start.worker for start in self.submit(count=4)}, {"w2"})
        rights.record_roster("e", 2)
        self.scheduler.tick(self.now)
        self.assertEqual({start.worker for start in self.starts()}, {"w1"})

    def test_job_submitted_again_does_not_start_beside_a_run_of_another_scheduler(self):
        # Regression: only resumed jobs took runs of an earlier scheduler into account.
        self.poll("w1", [("j.0.0.0", 1)])
        self.assertEqual(self.submit(), [])

    def test_runs_on_a_worker_without_registration_continue(self):
        # Regression (incident inc1): the scheduler gave up a worker when its registration expired
        # in an outage of the store, and started its tasks again.
        (start,) = self.submit()
        self.scheduler.unlist(start.worker, self.now)
        self.scheduler.tick(self.now + UNLISTED_WORKER_SECONDS + 0.1)
        self.assertEqual(self.starts(), [])
        worker = self.scheduler.workers[start.worker]
        self.assertIsNotNone(self.scheduler.lease_end_ms(worker, self.now))
        self.end(start, EndKind.DONE)
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.scheduler.tick(self.now + UNLISTED_WORKER_SECONDS + 0.1)
        self.assertNotIn(start.worker, self.scheduler.workers)

    def test_resumed_job_that_cannot_wait_is_refused_after_verification(self):
        self.submit(is_resumed=True, exposed=WORKERS | {"w3"})
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
        rights = UnlimitedRights()
        self.scheduler = Scheduler(self.scheduler.config, rights, acquiring_since=self.now)
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

    def test_end_reported_after_a_job_was_handed_over_is_adopted(self):
        # Regression: a task of a resumed job ran again if the worker reported its end after the
        # job had arrived.
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)

    def test_lost_poll_of_a_round_is_repeated(self):
        # Regression: a resumed job waited until all leases had ended if a single poll was lost.
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        self.effects(PollWorker)
        self.poll("w1")
        self.scheduler.tick(self.now + ROUND_INTERVAL_SECONDS)
        self.assertEqual([poll.worker for poll in self.effects(PollWorker)], ["w2"])

    def test_job_without_slack_waits_for_the_clock_of_an_idle_worker(self):
        self.now += 2 * MAX_CLOCK_AGE_SECONDS
        self.scheduler.submit(request(budget_ms=105), "e", self.now)
        self.scheduler.tick(self.now)
        self.assertEqual(self.effects(JobEnded), [])

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
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        self.assertEqual({poll.worker for poll in self.effects(PollWorker)}, {"w1", "w2"})

    def test_jobs_handed_over_together_share_one_poll_round(self):
        # About 250 jobs of a scheduler that had left requested 176 polls each, which kept the new
        # scheduler busy for ten seconds.
        for number in range(50):
            self.scheduler.submit(request(f"j{number}", is_resumed=True), "e", self.now, WORKERS)
        self.assertEqual(len(self.effects(PollWorker)), 2)
        self.scheduler.tick(self.now + 0.01)
        self.assertEqual(self.effects(PollWorker), [])

    def test_later_job_requests_another_poll_round(self):
        self.scheduler.submit(request("j1", is_resumed=True), "e", self.now, WORKERS)
        self.effects(PollWorker)
        self.scheduler.submit(request("j2", is_resumed=True), "e", self.now + 0.01, WORKERS)
        self.assertEqual(self.effects(PollWorker), [])
        self.scheduler.tick(self.now + 1.0)
        self.assertEqual({poll.worker for poll in self.effects(PollWorker)}, {"w1", "w2"})

    def test_resumed_job_starts_once_all_workers_have_responded(self):
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        self.assertEqual(self.starts(), [])
        self.poll("w1")
        self.assertEqual(self.starts(), [])
        self.poll("w2")
        self.assertEqual(len(self.starts()), 1)

    def test_adopted_run_does_not_update_statistics(self):
        # The time since the adoption of a run was recorded as its run time. Jobs were expected to
        # take 1 ms, and were refused as late or stopped as stragglers for ten seconds after each
        # change of the scheduler.
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        self.poll("w1", running=[("j.0.0.0", 1)])
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertEqual(self.scheduler.statistics.health.record_for("w1").run_ratio, 1.0)

    def test_adopted_end_does_not_update_statistics(self):
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.DONE)])
        self.scheduler.submit(request(is_resumed=True), "e", self.now, WORKERS)
        (end,) = self.effects(JobEnded)
        self.assertIs(end.outcome, Outcome.COMPLETED)
        self.assertNotIn("q", self.scheduler.statistics.run_times.regressions)
        self.assertGreaterEqual(end.summary.waited_ms, 0)
