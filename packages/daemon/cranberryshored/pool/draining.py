"""Hand-over of the claim of an instance that leaves, and the wait for its pending jobs."""

import asyncio
from collections.abc import Sized

from cranberryshored.pool.clock import now
from cranberryshored.pool.exchange import PeerExchange

READINESS_DRAIN_SECONDS = 2.4
"""Time until the load balancer sends no new connections after readiness has ended: two readiness
checks, one per second."""

CHECK_SECONDS = 0.02
"""Interval of the checks for pending jobs."""


def give_up_claim(exchange: PeerExchange) -> bool:
    """Give up the claim and name a successor; return whether there is a claim and a successor."""
    group = exchange.group
    successor = group.successor(now())
    if group.claim is None or successor is None:
        return False
    if not group.claim.zone or group.claim.is_divided:
        exchange.heartbeats.successor = successor.at.incarnation
    group.claim = None
    return True


async def wait_until_drained(pending: Sized, limit_seconds: float) -> None:
    """Wait until no new callers come and no jobs are pending, for the jobs up to a limit."""
    loop = asyncio.get_running_loop()
    earliest, latest = loop.time() + READINESS_DRAIN_SECONDS, loop.time() + limit_seconds
    while loop.time() < earliest or (pending and loop.time() < latest):
        await asyncio.sleep(CHECK_SECONDS)
