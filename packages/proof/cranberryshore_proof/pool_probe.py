"""Callers that ask one simulated instance for queues, all the while, and check its answers."""

import asyncio
from random import Random
from typing import Protocol

import attrs

from cranberryshore_proof.config_checks import ConfigChecks, Disturbances
from cranberryshore_proof.network import Network
from cranberryshored.pool.app import PoolDaemon
from cranberryshored.pool.routing import RouteFailure

HOST = "h"
PROBE_INTERVAL_SECONDS = 0.08
"""Mean pause of the callers that ask one instance for queues."""

PROBE_TIMEOUT_SECONDS = 3.0


class ProbedPool(Protocol):
    """Simulated pool whose instances are asked.

    Parameters
    ----------
    daemons : dict
        Instances that are running, by address.
    faults : list of str
        Receives the violations found.
    """

    seed: int
    network: Network
    daemons: dict[str, PoolDaemon]
    checks: ConfigChecks
    disturbances: Disturbances
    faults: list[str]

    def now(self) -> float:
        """Return the virtual time in seconds."""
        ...

    def address(self, number: int) -> str:
        """Return the address of an instance."""
        ...


@attrs.frozen
class QueueProbe:
    """Callers of one instance, whose requests follow one another."""

    pool: ProbedPool
    number: int

    async def run(self) -> None:
        """Ask an instance for random queues, one after the other, and check its answers."""
        # A generator of its own: further probes must not change the other random decisions.
        random = Random(f"{self.pool.seed} {self.number}")
        while True:
            await asyncio.sleep(random.uniform(0.0, 2 * PROBE_INTERVAL_SECONDS))
            prefix = random.choice([*self.pool.checks.known_prefixes(), "/none/"])
            await self._ask(prefix)

    async def _ask(self, prefix: str) -> None:
        address, sent_at = self.pool.address(self.number), self.pool.now()
        daemon = self.pool.daemons.get(address)
        if daemon is None:
            return
        boot = f"{address}#{self.pool.network.runs[address]}"
        asked = self.pool.network.spawn(address, daemon.find_queue(HOST, prefix))
        await asyncio.wait([asked], timeout=PROBE_TIMEOUT_SECONDS)
        if not asked.done() or asked.cancelled():
            asked.cancel()
            return
        is_in_touch = all(
            self.pool.disturbances.is_in_touch(address, at) for at in (sent_at, self.pool.now())
        )
        found = asked.result()
        violation = None
        if found.is_ok() or found.err_value is RouteFailure.UNKNOWN_QUEUE:
            violation = self.pool.checks.check(boot, prefix, found.is_ok(), sent_at, is_in_touch)
        elif is_in_touch:
            violation = f"{boot} refuses {prefix} at {sent_at:.3f}: {found.err_value.value}"
        if violation is not None:
            self.pool.faults.append(violation)
