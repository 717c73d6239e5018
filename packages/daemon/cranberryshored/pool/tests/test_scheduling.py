import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import attrs
import structlog
from result import Ok

from cranberryshore.pool import (
    Claim,
    CrashHistory,
    Outcome,
    PoolConfig,
    QueueSpec,
    RosterHistory,
    StepSpec,
    WorkerRegistration,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool import StartReply
from cranberryshored.pool.clock import CLOCKS, Clocks, TokenSource
from cranberryshored.pool.scheduling import STALL_SECONDS, SchedulingService

WORKER = WorkerRegistration("w", "w", "z", "s", Capacity(4000, 1000), labels=("a",), born=1)


class RecordingWorkerCalls:
    """Client whose workers accept every request; records the requested starts.

    ``born`` is the start of the worker processes.
    """

    def __init__(self):
        self.starts, self.born = [], 1

    async def start_run(self, worker, start, seconds):
        self.starts.append(start.key)
        return StartReply.STARTED

    async def stop_run(self, worker, stop, seconds):
        return True

    async def poll(self, worker, poll, seconds):
        await asyncio.sleep(0.01)
        return Ok(WorkerStatus(self.born, 0, (), ()))


class SchedulingTestCase(IsolatedAsyncioTestCase):
    """A scheduler with one worker."""

    async def asyncSetUp(self):  # noqa: N802
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        self.calls, self.stall_count, self.ends = RecordingWorkerCalls(), 0, []
        self.service = SchedulingService(
            "e",
            self.calls,
            TokenSource("e"),
            RosterHistory(),
            self.ends.append,
            self.record_stall,
            lambda lost_runs: None,
            CrashHistory(),
            make_logger("scheduler"),
            Metrics(),
        )
        queue = QueueSpec("q", "h", "/q/", "s", slack_factor=2.0, aim_ms=5000)
        self.service.begin(Claim(1), PoolConfig(1, (queue,)), (WORKER,))

    async def asyncTearDown(self):  # noqa: N802
        await self.service.close()

    def record_stall(self):
        self.stall_count += 1
        self.service.end("this process stood still")

    async def wait_until_held(self):
        for _ in range(100):
            if self.service.held_count():
                return
            await asyncio.sleep(0.01)
        self.fail("the worker was not held within 1 s")

    async def submit(self, budget_ms=5000, millicores=1000, label=""):
        step = StepSpec(1, Capacity(millicores, 10), 100, label=label)
        self.service.submit(WorkRequest("j", "q", "", (step,), budget_ms), "e")
        await asyncio.sleep(0)


class StalledSchedulerTest(SchedulingTestCase):
    async def test_orders_are_sent(self):
        await self.wait_until_held()
        await self.submit()
        await self.service.channels["w"].request_tasks.copy().pop()
        self.assertEqual(self.calls.starts, [("j.0.0.0", 1)])

    async def test_cancelled_job_of_an_uninformed_instance_is_started(self):
        await self.wait_until_held()
        self.service.cancelled.renew("j", 0.0)
        await self.submit()
        await asyncio.sleep(0.01)
        self.assertEqual(self.calls.starts, [])
        ends = [(end.entry, end.job, end.outcome) for end in self.ends]
        self.assertEqual(ends, [("e", "j", Outcome.CANCELLED)])

    async def test_job_without_slack_waits_for_first_worker(self):
        # Regression: a new scheduler refused such jobs until it had read the worker list and the
        # workers had responded, although all of them were idle.
        self.addCleanup(setattr, CLOCKS, "steady", CLOCKS.steady)
        moment = CLOCKS.steady()
        CLOCKS.steady = lambda: moment
        self.service.end("this instance begins again")
        self.service.begin(Claim(2), self.service.scheduler.config, ())
        await self.submit(budget_ms=100)
        self.service.scheduler.tick(moment)
        self.service.set_roster((WORKER,))
        self.service.scheduler.tick(moment)
        await self.wait_until_held()
        await asyncio.sleep(0.01)
        self.assertEqual(self.calls.starts, [("j.0.0.0", 1)])

    async def test_no_order_is_sent_after_a_stall(self):
        # Regression: after a stall, a scheduler placed its waiting jobs before it detected the
        # stall, although another scheduler might hold the workers and the jobs.
        await self.wait_until_held()
        self.service.last_tick_at -= STALL_SECONDS + 0.1
        await self.submit()
        self.assertEqual(self.stall_count, 1)
        self.assertIsNone(self.service.claim)
        self.assertEqual(self.calls.starts, [])

    async def test_worker_that_returns_for_another_service_gets_tasks_of_its_former_one(self):
        await self.wait_until_held()
        self.service.set_roster((attrs.evolve(WORKER, service="t"),))
        await self.submit()
        await asyncio.sleep(0.05)
        self.assertEqual(self.calls.starts, [])

    async def test_worker_that_returns_in_another_rack_keeps_the_former_one(self):
        await self.wait_until_held()
        self.service.set_roster((attrs.evolve(WORKER, rack="r1-1"),))
        self.assertEqual(self.service.scheduler.workers["w"].rack, "r1-1")

    async def test_worker_of_another_service_is_not_used_beside_runs_of_the_former_one(self):
        await self.wait_until_held()
        await self.submit()
        await self.service.channels["w"].request_tasks.copy().pop()
        self.service.set_roster((attrs.evolve(WORKER, service="t"),))
        self.assertFalse(self.service.scheduler.workers["w"].is_available())


class InheritedRegistrationTest(SchedulingTestCase):
    """A worker has restarted as another kind before the next scheduler has read its registration.

    Regression (issue 57): the start that wrote an inherited registration was not recorded, so that
    labels and capacity of the former process were used for the present one.
    """

    async def asyncSetUp(self):  # noqa: N802
        await super().asyncSetUp()
        self.service.end("another instance schedules")
        self.calls.born = 2
        self.service.begin(Claim(2), self.service.scheduler.config, (WORKER,))
        await self.wait_until_held()

    async def register(self, registration):
        self.service.set_roster((registration,))
        await asyncio.sleep(0.05)

    async def test_task_is_started_by_inherited_labels_of_a_former_process(self):
        await self.submit(label="a")
        await asyncio.sleep(0.05)
        self.assertEqual(self.calls.starts, [])
        await self.register(attrs.evolve(WORKER, labels=("b",), born=2))
        self.assertEqual(self.calls.starts, [])
        await self.register(attrs.evolve(WORKER, born=2))
        self.assertIn(("j.0.0.0", 1), self.calls.starts)

    async def test_task_is_started_in_inherited_capacity_of_a_former_process(self):
        await self.submit(millicores=4000)
        await asyncio.sleep(0.05)
        self.assertEqual(self.calls.starts, [])
        await self.register(attrs.evolve(WORKER, capacity=Capacity(2000, 1000), born=2))
        self.assertEqual(self.calls.starts, [])
        await self.register(attrs.evolve(WORKER, born=2))
        self.assertIn(("j.0.0.0", 1), self.calls.starts)

    async def test_unused_worker_with_an_inherited_registration_is_not_counted(self):
        self.assertEqual((self.service.held_count(), self.service.outdated_count()), (1, 1))
        await self.register(attrs.evolve(WORKER, born=2))
        self.assertEqual((self.service.held_count(), self.service.outdated_count()), (1, 0))
