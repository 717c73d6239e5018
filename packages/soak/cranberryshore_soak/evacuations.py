"""Evacuations of zones during a soak, written to the store as operators do, and their check."""

import asyncio
import time
from random import Random

import attrs

from cranberryshore_platform.tests import platform_api
from cranberryshore_proof.evacuation_checks import EvacuationChecks
from cranberryshore_soak.cluster import ZONES, SoakCluster

EVACUATION_SECONDS = (1.0, 6.0)
PAUSE_SECONDS = (0.5, 3.0)
TWO_ZONES_SHARE = 0.2
"""Share of the evacuations of two zones at once; workers of the third serve all callers."""


@attrs.define(eq=False)
class SoakEvacuations:
    """Evacuates zones, and checks that undisturbed schedulers start nothing in them."""

    cluster: SoakCluster
    random: Random
    checks: EvacuationChecks = attrs.field(factory=EvacuationChecks)

    def __attrs_post_init__(self) -> None:
        self.cluster.history.find_evacuation = self._find_violation

    async def run(self) -> None:
        """Evacuate zones again and again until cancelled, then revoke all evacuations."""
        chosen: list[str] = []
        try:
            while True:
                await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
                count = 2 if self.random.random() < TWO_ZONES_SHARE else 1
                chosen = self.random.sample(sorted(set(ZONES)), count)
                self._declare(chosen)
                await asyncio.sleep(self.random.uniform(*EVACUATION_SECONDS))
                self._revoke(chosen)
                chosen = []
        finally:
            self._revoke(chosen)

    def _declare(self, zones: list[str]) -> None:
        self.cluster.history.record_event(f"  evacuates zones {zones}")
        for zone in zones:
            self.cluster.store.set(platform_api.EVACUATIONS_PREFIX + zone, "")
            self.checks.declare(zone, time.monotonic())

    def _revoke(self, zones: list[str]) -> None:
        if zones:
            self.cluster.history.record_event(f"  uses zones {zones} again")
        for zone in zones:
            self.checks.revoke(zone)
            self.cluster.store.remove(platform_api.EVACUATIONS_PREFIX + zone)

    def _find_violation(self, zone: str) -> str | None:
        """Return why no task may start in a zone now, if all schedulers must know of that."""
        if zone not in self.checks.declared_at:
            return None
        now, probe = time.monotonic(), self.cluster.config_probe
        schedulers = [item for item in self.cluster.daemons.values() if item.is_scheduler]
        is_in_touch = bool(schedulers) and all(
            probe.is_in_touch(daemon, now) for daemon in schedulers
        )
        return self.checks.check(zone, now, is_in_touch, float("inf"))
