import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore_proof.pool_changed_workers import ChangedWorkers, simulate_changed_workers
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_workers import COMMON_LABEL, OTHER_LABEL
from cranberryshore_proof.virtual_loop import run_virtual

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)

DOWN_SECONDS, LEAD_SECONDS, SILENT_SECONDS = 1.5, 0.3, 2.0
"""The next scheduler takes over 0.2 s after the return, and reads no registration for 1.5 s."""

CHANGED_WORKERS = ("w3", "w4", "w5")


class ChangedWorkersTest(TestCase):
    """Workers return as another kind while another instance takes over scheduling.

    Regression (issue 57): the start that wrote an inherited registration was not recorded.
    """

    def setUp(self):
        structlog.configure(wrapper_class=quiet)

    def faults_after(self, label: str, millicores: int) -> list[str]:
        """Return the violations when half of the workers return as a kind under load."""

        async def run() -> list[str]:
            deployment = PoolDeployment(7, is_store_simulated=True)
            deployment.labelled.share = 1.0
            await deployment.start()
            load = asyncio.ensure_future(deployment.load(5.0, 20.0))
            await asyncio.sleep(0.5)
            workers = [deployment.workers[name] for name in CHANGED_WORKERS]
            changes = ChangedWorkers(deployment, lambda text: None)
            kinds = dict.fromkeys(workers, (label, millicores))
            await changes.change(kinds, DOWN_SECONDS, LEAD_SECONDS, SILENT_SECONDS)
            await asyncio.gather(*await load)
            return deployment.faults

        return run_virtual(run())

    def test_new_scheduler_starts_tasks_by_the_labels_of_a_former_process(self):
        self.assertEqual(self.faults_after(OTHER_LABEL, 4000), [])

    def test_new_scheduler_starts_tasks_in_the_capacity_of_a_former_process(self):
        self.assertEqual(self.faults_after(COMMON_LABEL, 900), [])

    def test_random_changes_beside_other_faults(self):
        for seed in range(1, 7):
            result = simulate_changed_workers(seed)
            self.assertEqual((seed, result.faults), (seed, ()))
            self.assertEqual(result.completed_after_faults, result.jobs_after_faults)
