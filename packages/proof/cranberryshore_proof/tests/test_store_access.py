import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore.pool.store_access import MAX_ANSWER_AGE_SECONDS
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.virtual_loop import run_virtual

JOBS_PER_SECOND = 60.0
LOAD_SECONDS = 7.0
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
