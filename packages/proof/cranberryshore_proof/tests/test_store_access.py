import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore.pool.store_access import MAX_ANSWER_AGE_SECONDS
from cranberryshore_proof.config_checks import STORE
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.virtual_loop import run_virtual

JOBS_PER_SECOND = 60.0
LOAD_SECONDS, LISTING_LOAD_SECONDS = 7.0, 12.0
SMALL_ROOM = 1900
SECOND_REJECTION_SECONDS = 1.6
"""Time after the first rejection at which the next scheduler is rejected, too: the store has
answered it so recently that the first one hands over to it."""


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))


class SuccessiveRejectionTest(TestCase):
    """The store rejects the scheduler and then the one that takes over; others read it."""

    def shrink_rooms(self, seed: int) -> PoolDeployment:
        """Let all capacities shrink when the first rejection has begun, under load."""

        async def run() -> PoolDeployment:
            deployment = PoolDeployment(seed, zones=("a", "a", "b"))
            await deployment.start()
            load = asyncio.ensure_future(deployment.load(LOAD_SECONDS, JOBS_PER_SECOND))
            await asyncio.sleep(0.5)
            first = deployment.scheduler_number()
            second = min({0, 1, 2} - {first})
            deployment.nodes_without_store.add(deployment.address(first))
            await asyncio.sleep(0.05)
            for worker in deployment.workers.values():
                worker.resize(SMALL_ROOM, deployment.now())
            await asyncio.sleep(SECOND_REJECTION_SECONDS)
            deployment.nodes_without_store.add(deployment.address(second))
            await asyncio.gather(*await load)
            self.assertNotIn(deployment.scheduler_number(), (first, second))
            return deployment

        return run_virtual(run())

    def test_scheduler_that_takes_over_and_is_rejected_starts_beyond_shrunk_rooms(self):
        self.assertGreater(SECOND_REJECTION_SECONDS, MAX_ANSWER_AGE_SECONDS)
        for seed in (1, 2, 3):
            deployment = self.shrink_rooms(seed)
            self.assertEqual((seed, deployment.faults), (seed, []))


class SlowListingTest(TestCase):
    """Listings of the workers take over a second when a scheduler is lost and capacities shrink."""

    def lose_scheduler(
        self, seed: int, has_smaller_rooms: bool = True, is_killed: bool = True, **slowness
    ) -> tuple[PoolDeployment, list[int]]:
        """Return the deployment, and the instances that have scheduled since the loss."""
        schedulers = []

        async def watch(deployment: PoolDeployment) -> None:
            while True:
                number = deployment.scheduler_number()
                if number is not None and schedulers[-1:] != [number]:
                    schedulers.append(number)
                await asyncio.sleep(0.02)

        async def run() -> PoolDeployment:
            deployment = PoolDeployment(seed, is_store_simulated=True)
            await deployment.start()
            deployment.disturbances.begin(STORE)
            for name, value in slowness.items():
                setattr(deployment.store, name, value)
            load = asyncio.ensure_future(deployment.load(LISTING_LOAD_SECONDS, JOBS_PER_SECOND))
            if is_killed:
                deployment.kill(deployment.scheduler_number())
            watcher = asyncio.ensure_future(watch(deployment))
            await asyncio.sleep(1.0)
            if has_smaller_rooms:
                for worker in deployment.workers.values():
                    worker.resize(SMALL_ROOM, deployment.now())
            await asyncio.gather(*await load)
            watcher.cancel()
            return deployment

        return run_virtual(run()), schedulers

    def check(self, **slowness) -> None:
        for seed in (1, 2, 3):
            deployment, schedulers = self.lose_scheduler(seed, **slowness)
            self.assertEqual((seed, deployment.faults[:3]), (seed, []))
            self.assertEqual((seed, len(schedulers)), (seed, 1), schedulers)

    def test_schedulers_hand_over_to_each_other_before_a_listing_is_read(self):
        self.check(listing_seconds=1.2)

    def test_schedulers_hand_over_to_each_other_before_all_pages_are_read(self):
        self.check(listing_seconds=0.5, page_size=1)

    def test_schedulers_hand_over_in_a_circle_while_no_listing_is_answered(self):
        for seed in (1, 2, 3):
            deployment, schedulers = self.lose_scheduler(seed, False, listing_seconds=3.0)
            self.assertEqual((seed, deployment.faults[:3]), (seed, []))
            self.assertEqual(len(schedulers), len(set(schedulers)), schedulers)

    def test_scheduler_hands_over_when_all_calls_become_slow(self):
        self.check(is_killed=False, slow_seconds=1.0)

    def test_schedulers_hand_over_to_each_other_while_all_calls_are_slow(self):
        self.check(slow_seconds=1.2)
