import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore.config import ResourceKind
from cranberryshore.identity import parse_submission_id
from cranberryshore.work import Capacity, JobRequest, TaskSpec
from cranberryshore_proof.deployment import SimulatedDeployment
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.config.editor import Proposal

QUOTA = 9000
TEAM = "letterers"


async def _declare(deployment: SimulatedDeployment) -> None:
    entry = deployment.entries[0]
    spec = {"quota_millicores": QUOTA}
    proposal = Proposal(ResourceKind.CALLER_POLICY, TEAM, spec, 0, "test", "test")
    await deployment.network.spawn(entry.name, entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.5)


async def _load(deployment: SimulatedDeployment) -> None:
    """Give every instance of both zones far more work of the team than the quota allows."""
    task = TaskSpec(Capacity(1000, 10, 0), 300, "run_ms=300")
    for entry in deployment.entries:
        ids = entry.daemon.ownership.ledger.issue("desk", 1, asyncio.get_running_loop().time())
        id = parse_submission_id(str(ids[0])).unwrap()
        request = JobRequest((task,) * 300, team=TEAM)
        await deployment.network.spawn(entry.name, entry.daemon.router.submit(id, "desk", request))


async def _samples(deployment: SimulatedDeployment) -> list[int]:
    await deployment.start()
    await asyncio.sleep(3.0)
    await _declare(deployment)
    await _load(deployment)
    await asyncio.sleep(2.0)
    samples = []
    for _ in range(60):
        await asyncio.sleep(0.05)
        samples.append(sum(node.model.used.millicores for node in deployment.workers.values()))
    return samples


class QuotaTest(TestCase):
    def test_quota_holds_over_all_instances_of_two_zones(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        samples = run_virtual(_samples(SimulatedDeployment(5)))
        self.assertLessEqual(max(samples), QUOTA)
        self.assertGreaterEqual(min(samples), QUOTA // 2)
