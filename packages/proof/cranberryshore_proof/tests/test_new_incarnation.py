import asyncio
import logging
from unittest import TestCase

import structlog

from cranberryshore.identity import parse_submission_id
from cranberryshore.messages import JobAnswer
from cranberryshore.work import Capacity, JobRequest, JobState, TaskSpec
from cranberryshore_proof.deployment import SimulatedDeployment
from cranberryshore_proof.virtual_loop import run_virtual


async def _run(deployment: SimulatedDeployment) -> tuple[str, str, JobAnswer | None]:
    """Restart an instance and submit a job under its first new id through a peer at once."""
    await deployment.start()
    await asyncio.sleep(8.0)
    new, peer = deployment.entries[1], deployment.entries[0]
    await new.leave()
    new.launch()
    while new.daemon is None or not new.daemon.ownership.is_registered:
        await asyncio.sleep(0.0005)
    before = str(new.daemon.ownership.incarnation)
    id = new.daemon.ownership.ledger.issue("desk", 1, asyncio.get_running_loop().time())[0]
    request = JobRequest((TaskSpec(Capacity(1000, 10, 0), 50, "run_ms=50"),))
    id = parse_submission_id(str(id)).unwrap()
    answer = None
    for _ in range(20):
        result = await deployment.network.spawn(
            peer.name, peer.daemon.router.submit(id, "desk", request)
        )
        if result.is_ok():
            answer = result.ok_value
            if answer.state in (JobState.COMPLETE, JobState.FAILED):
                break
        await asyncio.sleep(0.2)
    return before, str(new.daemon.ownership.incarnation), answer


class NewIncarnationTest(TestCase):
    def test_unknown_incarnation_is_not_considered_dead(self):
        # Regression: a peer counted an unknown incarnation as silent since its own start, so a
        # newly started instance was closed at once, repeatedly during a rolling replacement.
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)
        before, after, answer = run_virtual(_run(SimulatedDeployment(4)))
        self.assertEqual(before, after)
        self.assertIs(answer.state, JobState.COMPLETE)
