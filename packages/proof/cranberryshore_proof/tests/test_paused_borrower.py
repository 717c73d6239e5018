import asyncio
import logging
from unittest import TestCase

import structlog
from multidict import CIMultiDict

from cranberryshore.config import ResourceKind
from cranberryshore_proof.deployment import (
    SERVICE,
    DeploymentShape,
    EntryNode,
    SimulatedDeployment,
)
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.config.editor import Proposal
from cranberryshored.requests import IncomingRequest

SHAPE = DeploymentShape(zones=("zone-a",), entries=2, workers=1, upstreams=1)
SLOTS = 4
RUN_MS = 300
SPEC = {"timeout_ms": 20_000, "slots_per_upstream": SLOTS}


async def _run(deployment: SimulatedDeployment) -> tuple[int, int]:
    """Return the borrowed slots at the freeze and the most requests running at once."""
    await deployment.start()
    await asyncio.sleep(3.0)
    first, second = deployment.entries
    network = deployment.network
    proposal = Proposal(ResourceKind.SERVICE, SERVICE, SPEC, 0, "test", "test")
    await network.spawn(first.name, first.daemon.editor.change(proposal))
    await asyncio.sleep(1.0)
    (upstream,) = deployment.upstreams.values()

    def serve(entry: EntryNode, count: int) -> list[asyncio.Task]:
        body = f"nonce {RUN_MS}".encode()
        request = IncomingRequest("POST", "/seat", CIMultiDict(), body, True)
        service = entry.daemon.services[SERVICE]
        return [
            network.spawn(entry.name, service.serve(request, "default", False, None))
            for _ in range(count)
        ]

    assignee = first.daemon.zone.assigned_to(first.daemon.services[SERVICE].scope, upstream.name)
    is_first = assignee == str(first.daemon.ownership.incarnation)
    lender, borrower = (first, second) if is_first else (second, first)
    requests = serve(borrower, 60)
    await asyncio.sleep(1.0)
    borrowed = borrower.daemon.services[SERVICE].gate.pool.members[upstream.name].borrowed.slots
    network.freeze(borrower.name)
    # The lender counts the borrower as dead before it needs the slots itself.
    await asyncio.sleep(2.0)
    requests += serve(lender, 80)
    await asyncio.sleep(1.0)
    network.unfreeze(borrower.name)
    for answer in await asyncio.gather(*requests):
        answer.unwrap()
    starts = [at for at, _ in upstream.runs]
    return borrowed, max(sum(at <= other < at + RUN_MS / 1000 for other in starts) for at in starts)


class PausedBorrowerTest(TestCase):
    def test_resumed_instance_does_not_use_loans_that_its_peer_has_written_off(self):
        # Regression: an instance went on using borrowed slots after a pause in which the lender had
        # counted it as dead, so an upstream received twice as many requests as it has slots.
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)
        for seed in range(3):
            with self.subTest(seed=seed):
                result = run_virtual(_run(SimulatedDeployment(seed, SHAPE)))
                self.assertEqual(result, (SLOTS, SLOTS))
