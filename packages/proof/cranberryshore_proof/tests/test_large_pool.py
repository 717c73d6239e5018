"""Tests of a pool whose heartbeats share slow processors and links with other work.

The hosts are those of an installation of 97 instances and 540 workers, scaled down: with a fifth of
the instances and workers, on processors and links that are slower in proportion, each processor and
link has the same share of work.
"""

import asyncio
from collections.abc import Callable, Coroutine
from unittest import TestCase

from cranberryshore.pool import PoolConfig, QueueSpec
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_transport import Host
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.pool.app import PoolDaemon

INSTANCE_COUNT = 20
WORKER_COUNT = 108
ZONES = tuple(f"z{number % 5}" for number in range(INSTANCE_COUNT))
LARGE_HOST = Host(0.43, 1_000_000.0)
SMALL_HOST = Host(0.1, 620_000.0)
HOSTS = tuple(LARGE_HOST if number < 5 else SMALL_HOST for number in range(INSTANCE_COUNT))
JOBS_PER_SECOND = 90.0
LOAD_SECONDS = 6.0
RELEASE_INTERVAL_SECONDS = 0.7
"""Interval between the restarts of workers in a release."""

ROUTE_COUNT = 390
"""A fifth of the routes of a large configuration."""

CONFIG_INTERVAL_SECONDS = 0.8


class RecordedClaims:
    """Records the beginning of each claim of the instances of a deployment."""

    def __init__(self, deployment: PoolDeployment) -> None:
        self.deployment = deployment
        self.claims: list[tuple[float, str, int]] = []

    async def run(self) -> None:
        """Look for new claims until cancelled."""
        while True:
            for daemon in self.deployment.daemons.values():
                self._record(daemon)
            await asyncio.sleep(0.01)

    def _record(self, daemon: PoolDaemon) -> None:
        claim = daemon.group.claim
        if claim is None:
            return
        instance = daemon.settings.instance
        if (instance, claim.term) not in {item[1:] for item in self.claims}:
            self.claims.append((self.deployment.now(), instance, claim.term))


async def release_workers(deployment: PoolDeployment) -> None:
    """Replace the registrations of the workers, one after the other."""
    for name in sorted(deployment.workers):
        deployment.registrations.expired.add(name)
        await asyncio.sleep(RELEASE_INTERVAL_SECONDS)
        deployment.registrations.expired.discard(name)


async def change_config(deployment: PoolDeployment) -> None:
    """Publish configurations with many routes in quick succession."""
    routes = tuple(QueueSpec(f"r{n}", f"h{n}.example", f"/r{n}/", "s") for n in range(ROUTE_COUNT))
    for version in range(2, 12):
        await asyncio.sleep(CONFIG_INTERVAL_SECONDS)
        deployment.config = PoolConfig(version, deployment.config.queues[:1] + routes)


class LargePoolTest(TestCase):
    def simulate(self, seed: int, trouble: Callable[[PoolDeployment], Coroutine]):
        async def run():
            deployment = PoolDeployment(seed, ZONES, WORKER_COUNT, hosts=HOSTS)
            recorded = RecordedClaims(deployment)
            watching = asyncio.ensure_future(recorded.run())
            await deployment.start()
            troubled = asyncio.ensure_future(trouble(deployment))
            callers = await deployment.load(LOAD_SECONDS, JOBS_PER_SECOND)
            await asyncio.gather(*callers)
            watching.cancel()
            troubled.cancel()
            return deployment, recorded.claims

        return run_virtual(run())

    def check_one_claim(self, seed: int, trouble: Callable[[PoolDeployment], Coroutine]) -> None:
        deployment, claims = self.simulate(seed, trouble)
        self.assertEqual(deployment.faults, [])
        self.assertEqual(len(claims), 1, claims)
        summary = deployment.summary()
        self.assertEqual(summary.completed, summary.jobs)

    def test_scheduler_changed_again_and_again_while_workers_were_replaced(self):
        for seed in (1, 2):
            self.check_one_claim(seed, release_workers)

    def test_scheduler_changed_again_and_again_while_configurations_changed(self):
        self.check_one_claim(3, change_config)
