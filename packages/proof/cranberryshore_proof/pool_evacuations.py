"""Evacuations of a simulated pool: keys in the model of the store, and a check of each start."""

from collections.abc import Iterable

import attrs

from cranberryshore.pool.evacuation import ZoneEvacuations
from cranberryshore_proof.config_checks import Disturbances
from cranberryshore_proof.evacuation_checks import EvacuationChecks
from cranberryshore_proof.pool_registry import EVACUATIONS_PREFIX
from cranberryshore_proof.pool_store import ModelStore
from cranberryshore_proof.pool_workers import ModelWorker
from cranberryshored.pool.app import PoolDaemon


@attrs.define(eq=False)
class ModelEvacuations:
    """Declares evacuations, and checks the starts of the instances.

    Parameters
    ----------
    daemons : dict
        Present runs of the instances, by address.
    limit_ms : int
        Setting of the instances; 0 disables evacuations.
    present : ZoneEvacuations
        Evacuated zones, and a revision that increases with each change.
    """

    store: ModelStore
    disturbances: Disturbances
    daemons: dict[str, PoolDaemon]
    limit_ms: int = 0
    present: ZoneEvacuations = ZoneEvacuations(1)
    checks: EvacuationChecks = attrs.field(factory=EvacuationChecks)

    def declare(self, zones: Iterable[str], now: float) -> None:
        """Evacuate exactly these zones."""
        before, zones = self.present.zones, tuple(sorted(zones))
        self.present = ZoneEvacuations(self.present.revision + 1, zones)
        for zone in sorted(set(before) - set(zones)):
            self.store.set(EVACUATIONS_PREFIX + zone, None)
            self.checks.revoke(zone)
        for zone in sorted(set(zones) - set(before)):
            self.store.set(EVACUATIONS_PREFIX + zone, "any value")
            self.checks.declare(zone, now)

    def check_start(self, worker: ModelWorker, now: float) -> list[str]:
        """Check a start by the instance whose fencing token the worker obeys."""
        faults = []
        for address, daemon in self.daemons.items():
            held = daemon.scheduling.scheduler.workers.get(worker.name)
            if daemon.scheduling.claim is None or held is None or held.token != worker.token:
                continue
            is_in_touch = self.disturbances.is_in_touch(address, now)
            contact_age = now - daemon.store_answered_at
            fault = self.checks.check(worker.zone, now, is_in_touch, contact_age)
            if fault is not None:
                faults.append(f"{now:.3f} a task starts on {worker.name}: {fault}")
        return faults
