import attrs

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    HoldState,
    JobEnded,
    Outcome,
    StartRun,
    WorkerListing,
    WorkerStatus,
)
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.isolation import RECOVERY_SECONDS
from cranberryshore.pool.job_failure import FailureCause
from cranberryshore.pool.refusing import RETRY_AFTER_MS
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_scheduler import SchedulerTestCase, registration, request
from cranberryshore.work import Capacity


class LostWorkerTestCase(SchedulerTestCase):
    """Workers that stop to answer, with the runs on them, while the store answers."""

    def setUp(self):
        super().setUp()
        self.list_workers(-1.0)
        self.list_workers(0.0)

    def list_workers(self, now: float | None = None, *missing: str, **changes) -> None:
        """Read the registrations, in which some values of all workers differ."""
        now = self.now if now is None else now
        workers = tuple(
            attrs.evolve(registration(worker.name), **({"born": worker.born} | changes))
            for worker in self.scheduler.workers.values()
        )
        listing = WorkerListing(workers, frozenset(missing), now, now)
        self.scheduler.workers_listed(listing, now)

    def fail_polls(self, name: str) -> None:
        for failures in (1, 2):
            self.scheduler.record_poll_failure(name, failures, self.now)

    def crash(self, name: str) -> None:
        """Let a worker refuse connections until its lease has expired."""
        self.list_workers()
        self.refuse(name)
        self.list_workers()

    def refuse(self, name: str) -> None:
        """Let a worker refuse connections, while the store does not answer."""
        self.scheduler.worker_closed(name, self.now)
        self.fail_polls(name)
        self.scheduler.worker_refuses(name, self.now)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)

    def replace(self, name: str) -> None:
        """Let another worker answer at the address of a crashed one."""
        self.scheduler.worker_replaced(name, self.now)
        self.scheduler.unlist(name, self.now)
        self.add_worker(name + "+")
        self.poll(name + "+")

    def poll_idle(self, name: str = "") -> None:
        """Poll all workers but one, since their clocks must be known before a start."""
        for worker in sorted(self.scheduler.workers.values(), key=lambda item: item.name):
            if worker.state is HoldState.HELD and worker.name != name:
                self.poll(worker.name, list(worker.runs))

    def starts_after_polls(self, name: str) -> list:
        """Poll the other workers and return the starts that follow."""
        self.poll_idle(name)
        return self.starts()


class LostWorkerTest(LostWorkerTestCase):
    def test_task_is_given_up_after_two_crashes(self):
        (first,) = self.submit()
        self.crash(first.worker)
        (second,) = self.starts_after_polls(first.worker)
        self.assertNotEqual(second.worker, first.worker)
        self.replace(first.worker)
        self.crash(second.worker)
        self.replace(second.worker)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.outcome, end.failure.lost_workers), (Outcome.FAILED, 2))
        self.assertIs(end.failure.cause, FailureCause.WORKERS_CRASHED)

    def test_task_is_given_up_when_it_is_submitted_again(self):
        self.test_task_is_given_up_after_two_crashes()
        self.assertEqual(self.submit(), [])
        self.scheduler.submit(request(), "f", self.now)
        self.assertIs(self.effects(JobEnded)[-1].outcome, Outcome.FAILED)

    def test_two_lapses_of_silent_workers_give_up_no_task(self):
        (first,) = self.submit()
        for _ in range(2):
            (worker,) = [item for item in self.scheduler.workers.values() if item.runs]
            self.fail_polls(worker.name)
            self.now += LEASE_EXPIRY_SECONDS + 0.01
            self.scheduler.tick(self.now)
            self.poll(worker.name)
            self.starts_after_polls("")
        self.assertEqual(self.effects(JobEnded), [])
        self.assertFalse(self.scheduler.crashes.records(self.now))

    def test_restart_under_the_same_name_is_a_crash(self):
        (start,) = self.submit()
        self.now += 0.01
        status = WorkerStatus(2, 0, (), ())
        self.scheduler.record_status(start.worker, status, 1, self.now, self.now)
        self.list_workers(born=1)
        self.list_workers(self.now + HIDDEN_CHANGE_SECONDS, born=1)
        self.assertEqual(self.scheduler.crashes.crashed_workers(start.key[0]), 1)

    def test_end_of_a_leaving_worker_is_no_crash(self):
        (start,) = self.submit()
        relist(self.scheduler, start.worker, is_draining=True)
        self.crash(start.worker)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertFalse(self.scheduler.crashes.records(self.now))

    def test_run_of_another_scheduler_is_recorded_with_its_worker(self):
        self.poll("w1", [("x.0.0.0", 1)])
        self.crash("w1")
        self.assertTrue(self.scheduler.crashes.is_suspect("x.0.0.0"))

    def test_nothing_is_started_beside_a_suspect(self):
        (start,) = self.submit()
        self.crash(start.worker)
        (again,) = self.starts_after_polls(start.worker)
        self.assertEqual(self.submit("k"), [])
        self.end(again, EndKind.DONE)
        self.assertEqual(len(self.starts()), 1)

    def test_suspect_is_not_started_beside_long_work(self):
        (long,) = self.submit("long", estimate_ms=900)
        (short,) = self.submit("short")
        self.assertEqual(short.worker, long.worker)
        (start,) = self.submit("j")
        self.end(short, EndKind.DONE)
        self.crash(start.worker)
        self.assertEqual(self.starts_after_polls(start.worker), [])
        self.end(long, EndKind.DONE)
        self.assertEqual(
            [run.worker for run in self.starts_after_polls(start.worker)], [long.worker]
        )

    def test_workers_exposed_to_suspects_are_limited(self):
        for number in range(3, 9):
            self.add_worker(f"w{number}")
            self.poll(f"w{number}")
        starts = self.submit(count=2, millicores=2000)
        for start in starts:
            self.fail_polls(start.worker)
            self.scheduler.worker_refuses(start.worker, self.now)
            self.now += 0.2
        self.now += LEASE_EXPIRY_SECONDS
        self.scheduler.tick(self.now)
        (first,) = self.starts_after_polls("")
        self.crash(first.worker)
        self.assertEqual(self.starts_after_polls(""), [])
        self.now += RECOVERY_SECONDS
        self.assertEqual(len(self.starts_after_polls("")), 1)

    def test_run_on_a_worker_that_refuses_connections_waits_for_its_lease(self):
        # The worker may be alive behind a partition that resets connections.
        (start,) = self.submit()
        self.fail_polls(start.worker)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.assertEqual(self.starts_after_polls(start.worker), [])

    def test_job_is_refused_for_good_while_rooms_are_smaller(self):
        for name in ("w1", "w2"):
            relist(self.scheduler, name, capacity=Capacity(500, 1000))
        self.scheduler.submit(request(), "e", self.now)
        (end,) = self.effects(JobEnded)
        self.assertEqual((end.outcome, end.retry_after_ms), (Outcome.REFUSED, RETRY_AFTER_MS))
        relist(self.scheduler, "w1", capacity=Capacity(2000, 1000))
        self.assertEqual(len(self.submit()), 1)

    def test_job_is_refused_for_good_that_workers_held_before_the_scheduler_began(self):
        self.scheduler.largest["s"] = Capacity(4000, 1000)
        for name in ("w1", "w2"):
            worker = self.scheduler.workers[name]
            worker.resize(Capacity(500, 1000))
            worker.largest = worker.total
        self.scheduler.submit(request(), "e", self.now)
        self.scheduler.submit(request("k", millicores=4001), "e", self.now)
        ends = self.effects(JobEnded)
        self.assertEqual([end.retry_after_ms for end in ends], [RETRY_AFTER_MS, 0])

    def test_room_that_shrinks_counts_starts_and_stops_under_way(self):
        self.scheduler.submit(request(count=2), "e", self.now)
        starts = self.effects(StartRun)
        self.scheduler.cancel("j", "e", self.now)
        for name in ("w1", "w2"):
            relist(self.scheduler, name, capacity=Capacity(1000, 1000))
        worker = self.scheduler.workers[starts[0].worker]
        self.assertEqual(worker.room.millicores, 1000 - sum(len(worker.runs) * [1000]))
        others = [start.worker for start in self.submit("k", 4)]
        self.assertNotIn(worker.name, others)

    def test_worker_without_room_gets_nothing(self):
        worker = HeldWorker(
            "w", "w", "z", "s", Capacity(2000, 1000), frozenset(), 1, registered_born=1
        )
        worker.add_run(("j.0.0.0", 1), Capacity(2000, 10), 0.0)
        worker.resize(Capacity(1000, 1000))
        self.assertEqual(worker.room.millicores, -1000)
        self.assertFalse(worker.room.holds(Capacity(0, 10)))
