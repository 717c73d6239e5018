"""Tests of a take-over: a new scheduler of a large pool gets all jobs of the previous one."""

from unittest import TestCase, mock

from cranberryshore.pool import (
    EndKind,
    HeldWorker,
    PoolConfig,
    QueueSpec,
    ReportedEnd,
    ReportedRun,
    ResumedJobReleased,
    Scheduler,
    StepSpec,
    WorkerStatus,
    WorkRequest,
    adoption,
)
from cranberryshore.pool.foreign_runs import ForeignRuns
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity

JOB_COUNT = 200
QUEUE = QueueSpec("q", "h", "/q/", "s", slack_factor=3.0, aim_ms=500)


class CountingSet(frozenset):
    """Set that counts how often its members are enumerated."""

    scans = 0

    def __iter__(self):
        type(self).scans += 1
        return super().__iter__()


class Takeover:
    """A new scheduler of ``worker_count`` workers, each with a run and an end of an earlier one."""

    def __init__(self, worker_count: int) -> None:
        self.names = CountingSet(f"w{number:03}" for number in range(worker_count))
        self.scheduler = Scheduler(PoolConfig(1, (QUEUE,)), UnlimitedRights())
        for name in sorted(self.names):
            worker = HeldWorker(
                name, name, "z", "s", Capacity(4000, 1000), frozenset(), 1, registered_born=1
            )
            self.scheduler.add_worker(worker, 0.0)
        self.released = []

    def submit(self, number: int, now: float) -> None:
        step = StepSpec(3, Capacity(1000, 10), 100)
        request = WorkRequest(f"j{number}", "q", "p", (step,), 5000, is_resumed=True)
        self.scheduler.submit(request, "e", now, self.names)
        self.take_effects()

    def take_effects(self) -> None:
        effects = self.scheduler.take_effects()
        self.released += [item for item in effects if isinstance(item, ResumedJobReleased)]

    def poll(self, name: str, now: float) -> None:
        number = int(name[1:])
        running = (ReportedRun(f"j{number}.0.0.0", 1),)
        ended = (ReportedEnd(1, f"j{number}.0.0.1", 1, EndKind.DONE),)
        status = WorkerStatus(1, 0, running, ended)
        self.scheduler.record_status(name, status, 1, now, now)
        self.take_effects()

    def run(self) -> None:
        for number in range(JOB_COUNT // 2):
            self.submit(number, 0.0)
        for name in sorted(self.names):
            self.poll(name, 0.05)
        for number in range(JOB_COUNT // 2, JOB_COUNT):
            self.submit(number, 0.06)
        for name in sorted(self.names):
            self.poll(name, 0.1)


class TakeoverTest(TestCase):
    def test_each_job_was_looked_up_on_every_worker(self):
        def examined_workers(worker_count: int) -> int:
            examined = []
            take = adoption.take_reported_ends

            def counted(job, workers):
                workers = list(workers)
                examined.extend(workers)
                return take(job, workers)

            with mock.patch.object(adoption, "take_reported_ends", counted):
                Takeover(worker_count).run()
            return len(examined)

        # Each of the jobs has ends on at most one worker.
        self.assertLessEqual(examined_workers(540), JOB_COUNT)

    def test_each_poll_looked_for_unpolled_workers_of_all_jobs(self):
        CountingSet.scans = 0
        Takeover(JOB_COUNT).run()
        # One enumeration for each job that is released, to log it, and few to find unpolled ones.
        self.assertLess(CountingSet.scans, JOB_COUNT + 20)

    def test_all_jobs_are_adopted_and_released(self):
        takeover = Takeover(JOB_COUNT)
        takeover.run()
        scheduler = takeover.scheduler
        self.assertEqual(len(takeover.released), JOB_COUNT)
        # One task has ended, one run was adopted, and one was started.
        self.assertEqual(len(scheduler.registry.tasks_by_run), 2 * JOB_COUNT)
        self.assertTrue(all(job.unfinished_tasks == 2 for job in scheduler.jobs.values()))

    def test_outdated_entries_are_discarded(self):
        foreign = ForeignRuns()
        worker = HeldWorker("w", "w", "z", "s", Capacity(1), frozenset(), 1, registered_born=1)
        worker.strangers = {(f"j{number}.0.0.0", 1) for number in range(foreign.rebuild_size + 1)}
        foreign.record(worker, ())
        worker.strangers = {("j7.0.0.0", 1)}
        foreign.discard_outdated([worker])
        self.assertEqual(foreign.workers_by_job, {"j7": {"w"}})
