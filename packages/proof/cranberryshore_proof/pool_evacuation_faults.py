"""Evacuations of the zones of a simulated pool, one after the other, at random times."""

import asyncio
from collections.abc import Callable
from random import Random

import attrs

from cranberryshore_proof.pool_deployment import PoolDeployment

EVACUATION_LIMIT_MS = 5000
EVACUATED_COUNTS = (1, 1, 1, 2, 3)
"""Numbers of zones to choose from; three are all."""

EVACUATION_RANGE_SECONDS = (1.0, 9.0)
PAUSE_RANGE_SECONDS = (0.0, 2.0)
WARM_SECONDS = 4.0
"""Time for which workers report after an evacuation that they warm up."""


@attrs.define(eq=False)
class EvacuationFaults:
    """Evacuates zones of a deployment.

    Parameters
    ----------
    record_event : callable
        Called with a description of each change.
    """

    deployment: PoolDeployment
    record_event: Callable[[str], None]

    async def run(self, end: float) -> None:
        """Evacuate some zones again and again until a time."""
        deployment, random = self.deployment, Random(self.deployment.seed + 2)
        zones = sorted(set(deployment.zones))
        while deployment.now() < end:
            chosen = random.sample(zones, random.choice(EVACUATED_COUNTS))
            seconds = random.uniform(*EVACUATION_RANGE_SECONDS)
            self.record_event(f"evacuate {', '.join(chosen)} for {seconds:.2f} s")
            deployment.evacuations.declare(chosen, deployment.now())
            await asyncio.sleep(seconds)
            warm_at = deployment.now() + WARM_SECONDS
            for worker in deployment.workers.values():
                if worker.zone in chosen:
                    deployment.registrations.warm_at[worker.name] = warm_at
            self.record_event("all zones are in use again")
            deployment.evacuations.declare((), deployment.now())
            await asyncio.sleep(random.uniform(*PAUSE_RANGE_SECONDS))
