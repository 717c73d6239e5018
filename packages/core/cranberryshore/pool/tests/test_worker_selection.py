"""Tests of the worker index: the same choices as a scan of all workers, at a constant cost."""

from unittest import TestCase, mock

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.tests.load_replay import Burst, generate_load, make_replay
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.worker_selection import MIN_LEASE_SECONDS, WorkerIndex, meets_constraints

JOBS_PER_WORKER_SECOND = 2.34
"""Calm load of the users' installations."""


def scan_all_workers(index: WorkerIndex, query, is_ready: bool) -> HeldWorker | None:
    """Return the best worker for a task as a scan of all workers finds it."""
    step = query.job.step_of(query.task)
    candidates = [
        worker
        for worker in index.workers.values()
        if worker.service == query.service
        and worker.is_available()
        and worker.is_clock_known(query.now) is is_ready
        and index.health.allowance(worker.name, query.now) > 0
        and index.lease_limit(worker) > query.now + MIN_LEASE_SECONDS
        and worker.name not in query.excluded
        and worker.room.holds(step.demand)
        and meets_constraints(worker, query.job, query.task)
    ]
    return min(
        candidates,
        key=lambda worker: (
            worker.name in query.task.avoided_workers,
            index.health.placement_rank(worker.name),
            bool(step.rack) and worker.rack != step.rack,
            worker.room.millicores,
            worker.name,
        ),
        default=None,
    )


class WorkerIndexTest(TestCase):
    def check_every_selection(self, replay, arrivals) -> int:
        """Compare each selection of a replay with a scan of all workers; return their number."""
        select = WorkerIndex.select
        checked = []

        def checked_select(index, query, is_ready):
            # Ranks follow the mean of the pool, so they are brought up to date for the comparison.
            for name in index.workers:
                index.update(name, query.now)
            chosen = select(index, query, is_ready)
            self.assertIs(chosen, scan_all_workers(index, query, is_ready))
            checked.append(chosen)
            return chosen

        with mock.patch.object(WorkerIndex, "select", checked_select):
            replay.simulate(arrivals)
        return len(checked)

    def test_selections_in_a_burst_are_those_of_a_scan(self):
        replay = make_replay(40)
        load = generate_load(1, 4, 40 * JOBS_PER_WORKER_SECOND, (Burst(1, 3, 1.8),))
        self.assertGreater(self.check_every_selection(replay, load), 1000)
        self.assertEqual(replay.overloads, 0)

    def test_selections_with_slow_workers_racks_and_unknown_clocks_are_those_of_a_scan(self):
        replay = make_replay(40)
        for number, worker in enumerate(replay.workers.values()):
            worker.held.rack = f"r{number % 5}"
            worker.slowdown = 4.0 if number % 7 == 0 else 1.0
            if number % 3 == 0:
                worker.held.clock_read_at = 0.0
        load = generate_load(2, 4, 40 * JOBS_PER_WORKER_SECOND, rack="r1")
        self.assertGreater(self.check_every_selection(replay, load), 1000)

    def test_changed_worker_is_selected_by_its_present_state(self):
        replay = make_replay(2)
        scheduler = replay.scheduler
        scheduler.tick(0.0)
        relist(scheduler, "w00", is_draining=True)
        load = generate_load(1, 1, 2.0)
        outcomes = replay.simulate(load)
        self.assertEqual(replay.workers["w00"].ended, [])
        self.assertTrue(all(item.outcome is not None for item in outcomes))
        self.assertEqual(scheduler.workers["w00"].last_seen, 0)

    def test_placement_examined_all_workers_of_a_large_pool(self):
        def examined_per_start(worker_count: int) -> float:
            replay = make_replay(worker_count)
            is_available = HeldWorker.is_available
            examined = []

            def counted(worker: HeldWorker) -> bool:
                examined.append(worker)
                return is_available(worker)

            load = generate_load(1, 2, worker_count * JOBS_PER_WORKER_SECOND)
            with mock.patch.object(HeldWorker, "is_available", counted):
                replay.simulate(load)
            return len(examined) / sum(len(arrival.runs) for arrival in load)

        # The target is a cost for each start that does not grow with the pool.
        self.assertLess(examined_per_start(540), 1.5 * examined_per_start(24))
