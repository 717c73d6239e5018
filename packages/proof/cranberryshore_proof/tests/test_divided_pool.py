"""Tests of a pool in which each availability zone has a scheduler of its own."""

import asyncio
import logging
from unittest import TestCase, mock

import structlog

from cranberryshore.pool import Outcome, division, group
from cranberryshore_proof.pool_crashes import MAX_CRASHES
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_jobs import SimulatedJob
from cranberryshore_proof.pool_play import PoolSimulation
from cranberryshore_proof.virtual_loop import run_virtual

ZONES = tuple("abcde"[number % 5] for number in range(20))
WORKER_COUNT = 20
JOBS_PER_SECOND = 10.0
quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


def schedulers(deployment: PoolDeployment) -> dict[str, str]:
    """Return the zones of the claims of all instances, by the zone of the instance."""
    claims = ((daemon.settings.zone, daemon.group.claim) for daemon in deployment.daemons.values())
    return {zone: claim.zone for zone, claim in claims if claim is not None}


class DividedPoolTest(TestCase):
    def setUp(self):
        structlog.configure(wrapper_class=quiet)
        sizes = (
            (division, "DIVIDED_GROUP_SIZE", 10),
            (division, "UNDIVIDED_GROUP_SIZE", 6),
            (group, "SMALL_GROUP_SIZE", 8),
        )
        for module, name, size in sizes:
            patcher = mock.patch.object(module, name, size)
            patcher.start()
            self.addCleanup(patcher.stop)

    def play(self, fault, worker_count: int = WORKER_COUNT) -> PoolDeployment:
        """Play a load with a fault in the middle; check that no task runs twice."""

        async def run() -> PoolDeployment:
            deployment = PoolDeployment(7, ZONES, worker_count)
            await deployment.start()
            load = asyncio.ensure_future(deployment.load(6.0, JOBS_PER_SECOND))
            await asyncio.sleep(2.0)
            await fault(deployment)
            await asyncio.gather(*await load)
            return deployment

        deployment = run_virtual(run())
        self.assertEqual(deployment.faults, [])
        return deployment

    def check_all_completed(self, deployment: PoolDeployment) -> None:
        summary = deployment.summary()
        self.assertEqual(summary.completed, summary.jobs)

    def test_each_zone_has_its_own_scheduler(self):
        async def check(deployment: PoolDeployment) -> None:
            self.assertEqual(schedulers(deployment), {zone: zone for zone in "abcde"})

        self.check_all_completed(self.play(check))

    def test_loss_of_a_scheduler_concerns_its_zone_only(self):
        async def kill(deployment: PoolDeployment) -> None:
            followed = [daemon.exchange.epoch for daemon in deployment.daemons.values()]
            deployment.kill(deployment.scheduler_number())
            await asyncio.sleep(2.0)
            self.assertEqual(schedulers(deployment), {zone: zone for zone in "abcde"})
            changed = sum(
                daemon.exchange.epoch not in followed for daemon in deployment.daemons.values()
            )
            self.assertLessEqual(changed, 3)

        self.check_all_completed(self.play(kill))

    def test_zone_that_is_cut_off_keeps_its_scheduler(self):
        async def cut(deployment: PoolDeployment) -> None:
            deployment.cut({n for n, zone in enumerate(ZONES) if zone == "b"}, {"b"})
            before = schedulers(deployment)
            await asyncio.sleep(2.0)
            self.assertEqual(schedulers(deployment), before)
            deployment.heal()

        self.check_all_completed(self.play(cut))

    def test_graceful_shutdown_hands_over_within_the_zone(self):
        async def drain(deployment: PoolDeployment) -> None:
            number = deployment.scheduler_number()
            daemon = deployment.daemons[deployment.address(number)]
            zone = daemon.settings.zone
            task = deployment.network.spawn(deployment.address(number), daemon.drain())
            await asyncio.sleep(0.1)
            self.assertEqual(schedulers(deployment)[zone], zone)
            await task
            deployment.kill(number)

        self.check_all_completed(self.play(drain))

    def test_zone_without_workers_uses_those_of_the_others(self):
        async def check(deployment: PoolDeployment) -> None:
            self.assertEqual(set(schedulers(deployment).values()), {""})

        # Only three of the five zones have a worker.
        self.check_all_completed(self.play(check, worker_count=3))

    def test_zone_without_workers_uses_those_of_the_others_after_a_restart_of_everything(self):
        async def restart(deployment: PoolDeployment) -> None:
            for number in range(len(ZONES)):
                deployment.kill(number)
            await asyncio.sleep(0.5)
            starts = [deployment.start_instance(number) for number in range(len(ZONES))]
            await asyncio.gather(*starts)
            await asyncio.sleep(3.0)
            self.assertEqual(set(schedulers(deployment).values()), {""})

        self.play(restart, worker_count=3)

    def test_crashes_are_forgotten_in_another_zone(self):
        # The entry instance dies, and the caller submits the job again in another zone.
        async def run() -> None:
            deployment = PoolDeployment(7, ZONES, WORKER_COUNT, budget_ms=12_000)
            await deployment.start()
            job = SimulatedJob("00000000000000ff", deployment.now())
            task = f"{job.id}.0.0.0"
            deployment.demands[job.id], deployment.seconds[job.id] = 1000, 0.9
            deployment.crash_model.deadly_tasks.add(task)
            self.assertEqual((ZONES[0], schedulers(deployment)["a"]), ("a", "a"))
            caller = asyncio.ensure_future(deployment.call(0, job, 2))
            while task not in deployment.crash_model.crashed:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            others = {daemon.settings.zone: daemon for daemon in deployment.daemons.values()}
            self.assertTrue(all(item.crashes.is_suspect(task) for item in others.values()))
            for number, zone in enumerate(ZONES):
                if zone == "a":
                    deployment.kill(number)
            await caller
            self.assertEqual(job.answers[-1], Outcome.FAILED)
            # Nobody is left who would prove the crash of the first worker.
            self.assertLessEqual(len(deployment.crash_model.crashed[task]), MAX_CRASHES)
            self.assertEqual(deployment.faults, [])

        run_virtual(run())

    def test_random_faults(self):
        for seed in (1, 2, 3):
            result = run_virtual(PoolSimulation(PoolDeployment(seed, ZONES, WORKER_COUNT)).run())
            self.assertEqual(result.faults, ())
            self.assertEqual(result.completed_after_faults, result.jobs_after_faults)
