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

QUOTA_MILLICORES = 9000
TEAM = "letterers"


async def _set_quota(deployment: SimulatedDeployment) -> None:
    entry = deployment.entries[0]
    spec = {"quota_millicores": QUOTA_MILLICORES}
    proposal = Proposal(ResourceKind.CALLER_POLICY, TEAM, spec, 0, "test", "test")
    await deployment.network.spawn(entry.name, entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.5)


async def _submit_beyond_quota(deployment: SimulatedDeployment) -> None:
    """Submit far more tasks of the team to every instance than the quota allows to run."""
    task = TaskSpec(Capacity(1000, 10, 0), 300, "run_ms=300")
    for entry in deployment.entries:
        ids = entry.daemon.ownership.ledger.issue("desk", 1, asyncio.get_running_loop().time())
        id = parse_submission_id(str(ids[0])).unwrap()
        request = JobRequest((task,) * 300, team=TEAM)
        await deployment.network.spawn(entry.name, entry.daemon.router.submit(id, "desk", request))


async def _sample_used_millicores(deployment: SimulatedDeployment) -> list[int]:
    await deployment.start()
    await asyncio.sleep(3.0)
    await _set_quota(deployment)
    await _submit_beyond_quota(deployment)
    await asyncio.sleep(2.0)
    samples = []
    for _ in range(60):
        await asyncio.sleep(0.05)
        samples.append(sum(node.model.used.millicores for node in deployment.workers.values()))
    return samples


class QuotaTest(TestCase):
    def test_quota_applies_across_instances_of_two_zones(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        samples = run_virtual(_sample_used_millicores(SimulatedDeployment(5)))
        self.assertLessEqual(max(samples), QUOTA_MILLICORES)
        self.assertGreaterEqual(min(samples), QUOTA_MILLICORES // 2)
