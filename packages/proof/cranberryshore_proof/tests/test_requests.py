import asyncio
import logging
from unittest import TestCase

import structlog
from multidict import CIMultiDict

from cranberryshore.config import ResourceKind
from cranberryshore.requests import RequestGate
from cranberryshore_proof.deployment import SERVICE, SimulatedDeployment
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.config.editor import Proposal
from cranberryshored.requests import IncomingRequest

USUAL_MS = 400.0


async def _run(deployment: SimulatedDeployment) -> RequestGate:
    """Let two callers give up early; return the gate."""
    await deployment.start()
    await asyncio.sleep(3.0)
    entry = deployment.entries[0]
    proposal = Proposal(ResourceKind.SERVICE, SERVICE, {"timeout_ms": 3000}, 0, "test", "test")
    await deployment.network.spawn(entry.name, entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.0)
    service = entry.daemon.services[SERVICE]
    service.gate.service_ms = USUAL_MS
    for record in service.gate.records.values():
        record.service_ms = USUAL_MS
    request = IncomingRequest("POST", "/seat", CIMultiDict(), b"nonce 500", True)
    for timeout_ms in (50, None):
        task = deployment.network.spawn(
            entry.name, service.serve(request, "default", False, timeout_ms)
        )
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return service.gate


class RequestsTest(TestCase):
    def setUp(self):
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)
        self.gate = run_virtual(_run(SimulatedDeployment(2)))

    def test_caller_timeouts_do_not_pause_upstreams(self):
        # Regression: a caller's short timeout or disconnection counted as a failure of the
        # upstream, so one caller could pause every upstream for a second at a time.
        paused = [record.paused_until for record in self.gate.records.values()]
        self.assertTrue(paused)
        self.assertEqual(set(paused), {0.0})

    def test_callers_that_leave_make_their_upstreams_fast(self):
        times = [self.gate.service_ms]
        times += [record.service_ms for record in self.gate.records.values()]
        self.assertEqual(set(times), {USUAL_MS})
