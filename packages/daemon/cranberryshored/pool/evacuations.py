"""Evacuations of availability zones, as this instance knows them from the store and from peers."""

from collections.abc import Callable
from math import inf

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool.evacuation import KnownEvacuations, ZoneEvacuations
from cranberryshore.settings.pool import PoolSettings
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.pool.protocols import EvacuationHandler

STORE_SOURCE = "store"
"""Source of a state that this instance has read itself, in the log."""


@attrs.define(eq=False)
class EvacuationKeeper:
    """Keeps the newest known state, applies its changes, and reports it.

    Parameters
    ----------
    settings : PoolSettings
        With ``evacuation_limit_ms`` 0, no evacuation is ever known.
    on_change : callable
        Called with the evacuated zones when they have changed.
    """

    settings: PoolSettings
    on_change: Callable[[frozenset[str]], None]
    metrics: Metrics
    log: FilteringBoundLogger
    known: KnownEvacuations = attrs.field(factory=KnownEvacuations)

    def __attrs_post_init__(self) -> None:
        if self.is_enabled:
            self.metrics.evacuations_age.set_function(lambda: self.known.age(now()))

    @property
    def is_enabled(self) -> bool:
        """Return whether the platform has evacuations."""
        return self.settings.evacuation_limit_ms > 0

    def handler(self) -> EvacuationHandler | None:
        """Return what handles the answers of the store; ``None`` if there are no evacuations."""
        return self.read if self.is_enabled else None

    def read(self, evacuations: ZoneEvacuations, confirmed_at: float) -> None:
        """Take over what the store has answered, which was the newest state at a time."""
        before = self.known.zones
        if self.is_enabled:
            self._learned(self.known.learn(evacuations, confirmed_at), before, STORE_SOURCE)

    def hear(self, sender: str, evacuations: ZoneEvacuations, store_age: float | None) -> None:
        """Take over what a peer knows, whom the store has answered some seconds ago."""
        before = self.known.zones
        confirmed_at = -inf if store_age is None else now() - store_age
        if self.is_enabled:
            self._learned(self.known.hear(evacuations, confirmed_at), before, sender)

    def to_send(self) -> ZoneEvacuations | None:
        """See :meth:`KnownEvacuations.to_send`."""
        return self.known.to_send()

    def _learned(self, has_changed: bool, before: frozenset[str], source: str) -> None:
        present = self.known.present
        self.metrics.evacuations_revision.set(present.revision)
        if not has_changed:
            return
        age = self.known.age(now())
        self.log.info(
            "Evacuations in force.",
            revision=present.revision,
            zones=present.zones,
            before=sorted(before),
            source=source,
            age_seconds=round(age, 2) if age < inf else None,
        )
        for zone in before | self.known.zones:
            self.metrics.evacuated_zones.labels(zone).set(int(zone in self.known.zones))
        self.on_change(self.known.zones)
