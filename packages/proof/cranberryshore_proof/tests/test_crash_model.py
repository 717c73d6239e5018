import asyncio
from random import Random
from unittest import TestCase

from cranberryshore.pool import FailureCause, JobFailure, StartRun, StopRun
from cranberryshore_proof.pool_crashes import CrashModel
from cranberryshore_proof.pool_workers import STOP_DURATION_SECONDS, ModelWorker
from cranberryshore_proof.virtual_loop import run_virtual

TASK = "00000000000000aa.0.0.0"
TASK_SECONDS = 0.5
MAX_ATTEMPTS = 2


class IdleHost:
    """Host whose workers stay away."""

    def worker_crashed(self, worker: ModelWorker) -> None:
        """Do nothing."""

    def worker_returns(self, worker: ModelWorker, is_renamed: bool) -> None:
        """Do nothing."""


class CrashModelTest(TestCase):
    """What counts as a crash under a task, by what its workers had."""

    def check(self, scenario) -> list[str]:
        """Return the violations that are found when the task is given up after a scenario."""
        violations = []

        async def run() -> None:
            model = CrashModel(Random(1), IdleHost(), violations.append)
            workers = [
                ModelWorker(
                    name,
                    "a",
                    4000,
                    lambda _: TASK_SECONDS,
                    model.task_started,
                    on_end=model.run_ended,
                )
                for name in ("w0", "w1")
            ]
            for worker in workers:
                await scenario(model, worker)
            model.check_given_up(TASK)

        run_virtual(run())
        return violations

    @staticmethod
    def start(worker: ModelWorker, lease_seconds: float = 1.0) -> None:
        now = asyncio.get_running_loop().time()
        lease_end_ms = int((now + lease_seconds) * 1000)
        worker.start(StartRun(worker.name, (TASK, 1), "", 1, lease_end_ms), 1000, now)

    def test_two_crashes_under_a_sound_task_allow_to_give_it_up(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            self.start(worker)
            model.crash(worker, is_injected=True)

        self.assertEqual(self.check(crash), [])

    def test_lapsed_run_is_not_lost_with_its_worker(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            self.start(worker, lease_seconds=0.1)
            await asyncio.sleep(0.2)
            model.crash(worker, is_injected=True)

        self.assertEqual(len(self.check(crash)), 1)

    def test_ended_run_is_not_lost_with_its_worker(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            self.start(worker)
            await asyncio.sleep(TASK_SECONDS + 0.1)
            model.crash(worker, is_injected=True)

        self.assertEqual(len(self.check(crash)), 1)

    def test_stopped_run_is_not_lost_with_its_worker(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            self.start(worker)
            now = asyncio.get_running_loop().time()
            worker.stop(StopRun(worker.name, (TASK, 1), 1), now)
            await asyncio.sleep(STOP_DURATION_SECONDS + 0.01)
            model.crash(worker, is_injected=True)

        self.assertEqual(len(self.check(crash)), 1)

    def test_crash_beside_another_task_does_not_excuse(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            self.start(worker)
            model.crash(worker)

        self.assertEqual(len(self.check(crash)), 1)

    def test_deadly_task_may_be_given_up(self):
        async def crash(model: CrashModel, worker: ModelWorker) -> None:
            model.deadly_tasks.add(TASK)
            self.start(worker)
            await asyncio.sleep(0.1)

        self.assertEqual(self.check(crash), [])

    def test_failure_needs_failed_runs(self):
        async def run_failed(count: int) -> list[str]:
            violations = []
            model = CrashModel(Random(1), IdleHost(), violations.append)
            for number in range(count):
                worker = ModelWorker(
                    f"w{number}",
                    "a",
                    4000,
                    lambda _: 0.1,
                    model.task_started,
                    on_end=model.run_ended,
                )
                worker.fails_all = True
                self.start(worker)
                await asyncio.sleep(0.2)
            model.check_failure(JobFailure(FailureCause.TASK_FAILED, TASK, 1), MAX_ATTEMPTS)
            return violations

        self.assertEqual(len(run_virtual(run_failed(MAX_ATTEMPTS - 1))), 1)
        self.assertEqual(run_virtual(run_failed(MAX_ATTEMPTS)), [])

    def test_failure_needs_a_cause(self):
        violations = []
        CrashModel(Random(1), IdleHost(), violations.append).check_failure(None, MAX_ATTEMPTS)
        self.assertEqual(len(violations), 1)
