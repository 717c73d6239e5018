"""Tests of cancels in a simulated pool, each named after what went wrong or would."""

import asyncio
import logging
from unittest import TestCase, mock

import structlog

from cranberryshore.pool import Outcome, division
from cranberryshore_proof.pool_cancels import CancellingDeployment
from cranberryshore_proof.pool_jobs import SimulatedJob
from cranberryshore_proof.virtual_loop import run_virtual

LONG_MS = 20_000


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class CancellingTestCase(TestCase):
    def simulate(self, scenario, seed: int = 7, **options) -> CancellingDeployment:
        async def run() -> CancellingDeployment:
            deployment = CancellingDeployment(seed, budget_ms=LONG_MS, **options)
            await deployment.start()
            checks = asyncio.ensure_future(deployment.check_runs())
            await scenario(deployment)
            checks.cancel()
            return deployment

        deployment = run_virtual(run())
        self.assertEqual(deployment.faults, [])
        return deployment

    def other(self, deployment: CancellingDeployment, *numbers: int) -> int:
        """Return the number of an instance that is none of these."""
        return next(n for n in range(len(deployment.zones)) if n not in numbers)

    def assert_cancelled(self, job: SimulatedJob) -> None:
        self.assertEqual(job.answers[-1:], [Outcome.CANCELLED])

    def running(self, deployment: CancellingDeployment, job: SimulatedJob) -> list[str]:
        for worker in deployment.workers.values():
            worker.end_due_runs(deployment.now())
        keys = [key for worker in deployment.workers.values() for key in worker.runs]
        return [task for task, _ in keys if task.startswith(job.id)]


class CancelledJobTest(CancellingTestCase):
    """Review case 2: a job goes on after DELETE was acknowledged."""

    def test_cancel_at_any_instance(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = self.other(deployment, scheduler)
            third = self.other(deployment, scheduler, entry)
            for owner in (entry, scheduler):
                for asked in (entry, scheduler, third):
                    job = deployment.submit(owner, 9.0)
                    await asyncio.sleep(0.3)
                    self.assertTrue(self.running(deployment, job))
                    begun = deployment.now()
                    self.assertTrue(await deployment.cancel(asked, job.id))
                    self.assertLess(deployment.now() - begun, 0.1)
                    await asyncio.sleep(0.1)
                    self.assert_cancelled(job)
                    self.assertEqual(self.running(deployment, job), [])

        self.simulate(scenario)

    def test_cancel_overtakes_its_job(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            job_id = f"{0:016x}"
            self.assertTrue(await deployment.cancel(self.other(deployment, scheduler), job_id))
            for number in range(len(deployment.zones)):
                deployment.job_count = 0
                job = deployment.submit(number, 9.0)
                await asyncio.sleep(0.2)
                self.assert_cancelled(job)
                self.assertEqual(self.running(deployment, job), [])

        self.simulate(scenario)

    def test_late_repetition_runs_at_an_instance_that_has_started_since(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = self.other(deployment, scheduler)
            deployment.kill(entry)
            await asyncio.sleep(4.5)
            self.assertTrue(await deployment.cancel(scheduler, f"{0:016x}"))
            await deployment.start_instance(entry)
            await asyncio.sleep(6.0)
            job = deployment.submit(entry, 9.0)
            await asyncio.sleep(0.3)
            self.assert_cancelled(job)

        self.simulate(scenario)

    def test_scheduler_changes_while_the_cancel_is_under_way(self):
        for is_entry_asked in (True, False):
            for delay in (0.0, 0.0005, 0.001, 0.002):

                async def scenario(
                    deployment: CancellingDeployment, delay=delay, is_entry_asked=is_entry_asked
                ) -> None:
                    scheduler = deployment.scheduler_number()
                    entry = self.other(deployment, scheduler)
                    asked = entry if is_entry_asked else self.other(deployment, scheduler, entry)
                    job = deployment.submit(entry, 9.0)
                    await asyncio.sleep(0.3)
                    cancel = asyncio.ensure_future(
                        deployment.cancel_until_acknowledged(job.id, 8.0)
                        if not is_entry_asked
                        else deployment.cancel(asked, job.id)
                    )
                    await asyncio.sleep(delay)
                    deployment.kill(scheduler)
                    await cancel
                    self.assertTrue(await deployment.cancel_until_acknowledged(job.id, 8.0))
                    self.assert_cancelled(job)
                    await asyncio.sleep(6.0)

                with self.subTest(is_entry_asked=is_entry_asked, delay=delay):
                    self.simulate(scenario)

    def test_cancel_is_forgotten_with_the_scheduler(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = self.other(deployment, scheduler)
            job = deployment.submit(entry, 9.0)
            await asyncio.sleep(0.3)
            self.assertTrue(await deployment.cancel(scheduler, job.id))
            deployment.kill(scheduler)
            await asyncio.sleep(2.0)
            deployment.job_count = 0
            again = deployment.submit(self.other(deployment, scheduler, entry), 9.0)
            await asyncio.sleep(4.0)
            self.assert_cancelled(again)

        self.simulate(scenario)

    def test_scheduler_that_has_just_started_runs_a_cancelled_job(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            # The best-ranked instance becomes the scheduler.
            self.assertTrue(await deployment.cancel(4, f"{0:016x}"))
            for number in {0, deployment.scheduler_number()}:
                deployment.kill(number)
            await deployment.start_instance(0)
            while deployment.scheduler_number() != 0:
                await asyncio.sleep(0.05)
                self.assertLess(deployment.now(), 20.0)
            await asyncio.sleep(2.0)
            job = deployment.submit(0, 9.0)
            await asyncio.sleep(1.0)
            self.assert_cancelled(job)
            self.assertEqual(self.running(deployment, job), [])

        self.simulate(scenario)

    def test_cancel_of_a_dead_owners_job_is_never_acknowledged(self):
        # Until the owner's registration has ended, it may be cut off with the job.
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = self.other(deployment, scheduler)
            job = deployment.submit(entry, 9.0)
            await asyncio.sleep(0.3)
            deployment.kill(entry)
            begun = deployment.now()
            asked = self.other(deployment, scheduler, entry)
            while not await deployment.cancel(asked, job.id):
                self.assertLess(deployment.now() - begun, 5.0)
            self.assertEqual(self.running(deployment, job), [])
            await asyncio.sleep(6.0)

        self.simulate(scenario)

    def test_cancel_is_acknowledged_while_the_owners_zone_goes_on(self):
        # The zone reaches the store, so its registrations stay, and has a scheduler of its own.
        async def scenario(deployment: CancellingDeployment) -> None:
            cut = {n for n, zone in enumerate(deployment.zones) if zone == "b"}
            owner = min(cut)
            scheduler = deployment.scheduler_number()
            far = self.other(deployment, *cut)
            job = deployment.submit(owner, 20.0)
            await asyncio.sleep(0.3)
            deployment.cut(cut, {"b"})
            deployment.partitioned = set()
            deployment.apart_until = float("-inf")
            await asyncio.sleep(4.0)
            self.assertNotIn(scheduler, cut)
            for _ in range(3):
                self.assertFalse(await deployment.cancel(far, job.id))
            deployment.heal()
            self.assertTrue(await deployment.cancel_until_acknowledged(job.id, 6.0))
            await asyncio.sleep(4.0)
            self.assert_cancelled(job)

        self.simulate(scenario)

    def test_frozen_owner_hands_its_cancelled_job_over(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = self.other(deployment, scheduler)
            job = deployment.submit(entry, 9.0)
            await asyncio.sleep(0.3)
            deployment.network.freeze(deployment.address(entry))
            self.assertTrue(await deployment.cancel_until_acknowledged(job.id, 8.0))
            deployment.network.unfreeze(deployment.address(entry))
            await asyncio.sleep(6.0)
            self.assert_cancelled(job)

        self.simulate(scenario)

    def test_cancels_under_faults(self):
        # Regressions: 3002, 3021, 4003, 4008, 4033, in which a scheduler that had just started, or
        # had been cut off, did not know of the cancels.
        for seed in (41, 42, 43, 3002, 3021, 4003, 4008, 4033):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        async def scenario(deployment: CancellingDeployment) -> None:
            loading = asyncio.ensure_future(deployment.play_jobs(14.0, 2.0, 0.6))
            random = deployment.random
            while not loading.done():
                await asyncio.sleep(random.uniform(0.2, 1.5))
                number = random.randrange(len(deployment.zones))
                if random.random() < 0.6:
                    number = deployment.scheduler_number() or number
                address = deployment.address(number)
                if random.random() < 0.5:
                    deployment.kill(number)
                    await asyncio.sleep(random.uniform(0.1, 2.0))
                    await deployment.start_instance(number)
                elif random.random() < 0.5:
                    deployment.network.freeze(address)
                    await asyncio.sleep(random.uniform(0.2, 4.0))
                    deployment.network.unfreeze(address)
                else:
                    zone = deployment.zones[number]
                    numbers = {n for n, other in enumerate(deployment.zones) if other == zone}
                    deployment.cut(numbers, {zone})
                    await asyncio.sleep(random.uniform(0.5, 4.0))
                    deployment.heal()
            await asyncio.sleep(8.0)
            self.assertGreater(len(deployment.acknowledged), 5)

        self.simulate(scenario, seed)


class DividedPoolCancelTest(CancellingTestCase):
    """A job goes on in another zone, whose instances its scheduler does not send heartbeats to."""

    def setUp(self):
        for name, size in (("DIVIDED_GROUP_SIZE", 10), ("UNDIVIDED_GROUP_SIZE", 6)):
            patcher = mock.patch.object(division, name, size)
            patcher.start()
            self.addCleanup(patcher.stop)

    def schedulers(self, deployment: CancellingDeployment) -> dict[str, int]:
        """Return the number of the scheduler of each zone."""
        numbers = {}
        for number in range(len(deployment.zones)):
            daemon = deployment.daemons.get(deployment.address(number))
            if daemon is not None and daemon.group.claim is not None:
                numbers[daemon.group.claim.zone] = number
        return numbers

    def simulate_zones(self, scenario) -> CancellingDeployment:
        return self.simulate(scenario, zones=("a", "b", "c") * 4, worker_count=12)

    def test_cancel_in_another_zone(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            schedulers = self.schedulers(deployment)
            self.assertEqual(sorted(schedulers), ["a", "b", "c"])
            owner = self.other(deployment, *schedulers.values())
            for asked in range(len(deployment.zones)):
                job = deployment.submit(owner, 9.0)
                await asyncio.sleep(0.3)
                self.assertTrue(self.running(deployment, job))
                begun = deployment.now()
                self.assertTrue(await deployment.cancel(asked, job.id))
                self.assertLess(deployment.now() - begun, 0.2)
                await asyncio.sleep(0.1)
                self.assert_cancelled(job)
                self.assertEqual(self.running(deployment, job), [])
            knowing = [job.id in d.cancelled for d in deployment.daemons.values()]
            self.assertEqual(knowing, [True] * len(deployment.zones))

        self.simulate_zones(scenario)

    def test_cancel_is_acknowledged_while_a_zone_has_no_scheduler(self):
        async def scenario(deployment: CancellingDeployment) -> None:
            schedulers = self.schedulers(deployment)
            job = deployment.submit(self.other(deployment, *schedulers.values()), 9.0)
            await asyncio.sleep(0.3)
            deployment.kill(schedulers["c"])
            asked = schedulers["a"]
            self.assertTrue(await deployment.cancel_until_acknowledged(job.id, 8.0), asked)
            for number, address in enumerate(map(deployment.address, range(12))):
                if number != schedulers["c"]:
                    self.assertIn(job.id, deployment.daemons[address].cancelled)
            self.assert_cancelled(job)

        self.simulate_zones(scenario)
