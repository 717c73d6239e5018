import asyncio
import logging
from random import Random
from unittest import TestCase

import structlog

from cranberryshore_proof.callers import Caller
from cranberryshore_proof.deployment import SimulatedDeployment
from cranberryshore_proof.faults import Fault, FaultKind
from cranberryshore_proof.simulation import FaultInjector
from cranberryshore_proof.virtual_loop import run_virtual

FAULTS = (
    Fault(FaultKind.FAIL_WORKER, 0.5, 1.0, 0, 0),
    Fault(FaultKind.FREEZE_WORKER, 1.0, 2.0, 1, 0),
    Fault(FaultKind.CUT_ENTRY_WORKER, 2.0, 1.0, 0, 2),
    Fault(FaultKind.FREEZE_ENTRY, 2.5, 1.0, 1, 0),
)


async def _remaining_millicores(deployment: SimulatedDeployment) -> list[int]:
    await deployment.start()
    await asyncio.sleep(3.0)
    started_at = asyncio.get_running_loop().time()
    callers = [Caller(f"c{n}", "zone-a", deployment, Random(n)) for n in range(3)]
    injector = FaultInjector(deployment)
    await asyncio.gather(
        injector.inject(FAULTS, started_at), *(caller.run(started_at + 5.0) for caller in callers)
    )
    await injector.wait_until_undone()
    await asyncio.sleep(6.0)
    pools = [entry.daemon.jobs.dispatcher.workers.pool for entry in deployment.entries]
    return [
        amount.millicores
        for pool in pools
        for member in pool.members.values()
        for amount in (member.used, member.borrowed, *member.lent.values())
    ]


class CapacityTest(TestCase):
    def test_all_capacity_is_released_after_all_jobs_have_ended(self):
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)
        for seed in range(3):
            held = run_virtual(_remaining_millicores(SimulatedDeployment(seed)))
            with self.subTest(seed=seed):
                self.assertEqual(sum(held), 0)
