from unittest import TestCase

import attrs

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
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.pool.refusing import RETRY_AFTER_MS, may_gain_worker
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity

QUEUE = QueueSpec("q", "h", "/q/", "s", max_attempts=2, slack_factor=20.0, aim_ms=2000)
ALL = frozenset({"a1", "a2", "b1"})


class EvacuationTestCase(TestCase):
    """Two workers in zone a, one in zone b."""

    def setUp(self):
        self.scheduler = Scheduler(PoolConfig(1, (QUEUE,)), UnlimitedRights())
        self.now = 1.0
        self.ended: dict[str, list] = {}
        for name in sorted(ALL):
            self.add(name)
        self.scheduler.take_effects()

    def add(self, name: str, born: int = 1) -> None:
        labels = frozenset({"x"} if name == "a1" else ())
        worker = HeldWorker(
            name, name, name[0], "s", Capacity(2000, 1000), labels, 1, registered_born=1
        )
        self.scheduler.add_worker(worker, self.now)
        self.poll(name, born=born)

    def poll(self, name: str, running=(), ended=(), born: int = 1) -> None:
        listed = self.ended.setdefault(name, [])
        for key in ended:
            listed.append(ReportedEnd(len(listed) + 1, *key, EndKind.DONE))
        self.now += 0.001
        runs = tuple(ReportedRun(*key) for key in running)
        status = WorkerStatus(born, int(self.now * 1000), runs, tuple(listed))
        token = self.scheduler.workers[name].token
        self.scheduler.record_status(name, status, token, self.now, self.now)

    def evacuate(self, *zones: str) -> None:
        self.scheduler.evacuate(zones, self.now)

    def submit(self, job: str = "j", count: int = 1, millicores: int = 1000, **options) -> list:
        estimate_ms, label = options.pop("estimate_ms", 100), options.pop("label", "")
        step = StepSpec(count, Capacity(millicores), estimate_ms, label=label)
        request = WorkRequest(job, "q", "", (step,), 5000, **options)
        self.scheduler.submit(request, "e", self.now, ALL)
        return self.effects()

    def effects(self) -> list:
        effects = self.scheduler.take_effects()
        for effect in effects:
            if isinstance(effect, StartRun):
                self.scheduler.start_confirmed(effect.worker, effect.key, self.now)
        return effects

    def started_on(self, effects: list) -> list[str]:
        return [effect.worker for effect in effects if isinstance(effect, StartRun)]

    def only_end(self, effects: list) -> JobEnded:
        (end,) = (effect for effect in effects if isinstance(effect, JobEnded))
        return end

    def tick(self, seconds: float = 0.025) -> list:
        self.now += seconds
        for name, worker in self.scheduler.workers.items():
            if not worker.is_clock_known(self.now):
                self.poll(name, list(worker.runs))
        self.scheduler.tick(self.now)
        return self.effects()


class StartTest(EvacuationTestCase):
    def test_no_task_starts_on_workers_of_an_evacuated_zone(self):
        self.evacuate("a")
        self.assertEqual(self.started_on(self.submit(count=6)), ["b1", "b1"])
        self.assertEqual(self.started_on(self.tick()), [])

    def test_waiting_tasks_start_when_the_evacuation_is_revoked(self):
        self.evacuate("a")
        self.submit(count=6)
        self.evacuate()
        self.assertEqual(sorted(self.started_on(self.effects())), ["a1", "a1", "a2", "a2"])

    def test_worker_that_is_acquired_during_an_evacuation_gets_nothing(self):
        # A scheduler that has just begun, and a worker that returns under another name.
        self.evacuate("a")
        self.add("a3")
        self.assertEqual(set(self.started_on(self.submit(count=6))), {"b1"})

    def test_restart_of_a_worker_does_not_end_its_evacuation(self):
        self.evacuate("a")
        self.poll("a1", born=2)
        relist(self.scheduler, "a1")
        self.assertEqual(set(self.started_on(self.submit(count=6))), {"b1"})

    def test_suspect_is_not_isolated_on_an_evacuated_worker(self):
        self.submit(millicores=1500)
        name = "j.0.0.0"
        self.evacuate("a")
        isolation = self.scheduler.placer.isolation
        self.assertTrue(isolation.may_start(self.scheduler.workers.values(), "s", self.now))
        self.scheduler.workers["a1"].isolated_runs.add((name, 9))
        # The isolated run in the evacuated zone takes no place of the remaining workers.
        self.assertTrue(isolation.may_start(self.scheduler.workers.values(), "s", self.now))


class RunTest(EvacuationTestCase):
    def test_runs_go_on_to_their_ends(self):
        starts = [item for item in self.submit(count=6) if isinstance(item, StartRun)]
        self.evacuate("a", "b")
        for name, worker in self.scheduler.workers.items():
            self.assertIsNotNone(self.scheduler.lease_end_ms(worker, self.now), name)
        effects = self.tick()
        self.assertEqual([type(item) for item in effects if not isinstance(item, PollWorker)], [])
        for name in sorted(ALL):
            self.poll(name, ended=[start.key for start in starts if start.worker == name])
        self.assertIs(self.only_end(self.effects()).outcome, Outcome.COMPLETED)

    def test_job_with_runs_is_not_refused(self):
        # "Not run" would be false; the caller of a running job gets its result.
        starts = [item for item in self.submit(count=1, label="x") if isinstance(item, StartRun)]
        self.evacuate("a")
        self.assertEqual([item for item in self.tick() if isinstance(item, JobEnded)], [])
        self.poll("a1", ended=[starts[0].key])
        self.assertIs(self.only_end(self.effects()).outcome, Outcome.COMPLETED)

    def test_runs_of_a_resumed_job_on_evacuated_workers_are_adopted(self):
        # The scheduler changes while a zone is evacuated, with a job that fits nowhere else.
        self.evacuate("a")
        key = ("j.0.0.0", 1)
        self.poll("a1", running=[key])
        effects = self.submit(label="x", is_resumed=True)
        self.assertEqual([item for item in effects if isinstance(item, JobEnded)], [])
        self.assertIn(key, self.scheduler.workers["a1"].runs)
        self.assertEqual([item for item in self.tick() if isinstance(item, JobEnded)], [])

    def test_resumed_job_without_runs_is_refused_when_it_is_verified(self):
        self.evacuate("a", "b")
        self.submit(is_resumed=True)
        ends = []
        for _ in range(60):
            ends += [item for item in self.tick() if isinstance(item, JobEnded)]
        self.assertEqual(len(ends), 1)
        self.assertEqual(ends[0].retry_after_ms, RETRY_AFTER_MS)


class RefusalTest(EvacuationTestCase):
    def assert_refused(self, effects: list) -> None:
        end = self.only_end(effects)
        self.assertIs(end.outcome, Outcome.REFUSED)
        self.assertEqual(end.retry_after_ms, RETRY_AFTER_MS)

    def test_job_that_fits_on_evacuated_workers_only_is_refused_at_once(self):
        self.scheduler.workers["b1"].resize(Capacity(500, 1000))
        self.evacuate("a")
        self.assert_refused(self.submit())

    def test_label_that_only_evacuated_workers_have(self):
        self.evacuate("a")
        self.assert_refused(self.submit(label="x"))

    def test_job_is_refused_if_all_zones_are_evacuated(self):
        self.evacuate("a", "b")
        self.assert_refused(self.submit())

    def test_waiting_job_is_refused_when_its_last_workers_are_evacuated(self):
        for name in ALL:
            self.scheduler.workers[name].mark_silent()
        self.submit(label="x")
        self.evacuate("a")
        self.assert_refused(self.tick())

    def test_leaving_worker_is_no_place_beside_an_evacuation(self):
        relist(self.scheduler, "b1", is_draining=True)
        self.evacuate("a")
        self.assert_refused(self.submit())

    def test_draining_and_shrinking_during_an_evacuation_stay_in_force_after_it(self):
        # The stricter rule applies, and revoking the evacuation does not revoke the other one.
        self.evacuate("a")
        relist(self.scheduler, "a1", is_draining=True)
        relist(self.scheduler, "a2", capacity=Capacity(1000, 1000))
        self.evacuate()
        self.assertEqual(sorted(self.started_on(self.submit(count=6))), ["a2", "b1", "b1"])

    def test_job_waits_for_a_busy_worker_of_another_zone(self):
        self.submit(count=6)
        self.evacuate("a")
        effects = self.submit("k") + self.tick()
        self.assertEqual([item for item in effects if isinstance(item, JobEnded)], [])

    def test_answers_change_with_the_capacity_of_the_remaining_workers(self):
        self.evacuate("a")
        self.scheduler.workers["b1"].resize(Capacity(500, 1000))
        self.assert_refused(self.submit())
        self.now += 0.001
        self.scheduler.workers["b1"].resize(Capacity(2000, 1000))
        self.assertEqual(self.started_on(self.submit("k")), ["b1"])


class CapacityTest(EvacuationTestCase):
    def test_expected_waits_count_the_remaining_workers_only(self):
        backlog = self.scheduler.deadlines.backlog
        whole = backlog.usable_cores("s")
        self.evacuate("a")
        self.assertAlmostEqual(backlog.usable_cores("s"), whole / 3)

    def test_evacuated_worker_that_is_being_acquired_is_no_hope(self):
        workers = [attrs.evolve(self.scheduler.workers["a1"], is_evacuated=True)]
        workers[0].clock_requested_at = self.now
        workers[0].clock_read_at = 0.0
        self.assertFalse(may_gain_worker(workers, 0.0, self.now))

    def test_queue_is_confined_to_half_of_the_remaining_workers(self):
        isolation = self.scheduler.placer.isolation
        for number in range(20):
            self.add(f"b{number + 2}")
        self.evacuate("a")
        loss = {("t", 1): "q"}
        for number in range(4):
            worker = self.scheduler.workers[f"b{number + 2}"]
            boot = attrs.evolve(worker.boot_state(self.now), runs=dict.fromkeys(loss, True))
            isolation.worker_lost(worker, boot, self.now + 0.2 * number)
        for item in isolation.losses:
            item.queues = dict(loss)
        workers = self.scheduler.workers.values()
        confined = isolation.confined_workers("q", "s", workers, self.now + 0.8)
        self.assertTrue(confined)
        self.assertFalse({name for name in confined if name.startswith("a")})
