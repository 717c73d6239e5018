"""Relief of this instance while it schedules and its event loop lags."""

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import Group, Member
from cranberryshore.pool.relief import (
    LagMeter,
    can_divide,
    find_stronger_instance,
)
from cranberryshore.settings.relief import ReliefSettings
from cranberryshored.pool.protocols import ExchangeListener

ANNOUNCEMENT_SECONDS = 0.3
"""Time between the announcement of a division and the end of the claim: two heartbeats, so that the
instances of all zones know that they may claim their own zone."""


@attrs.define(eq=False)
class SchedulerRelief:
    """Finds out how the load of a scheduler's claim can be moved, if it is too high.

    Parameters
    ----------
    lag : LagMeter
        Lag of the event loop of this instance.
    divides_at : float
        Time at which the claim ends because the pool is divided, in seconds.
    """

    group: Group
    listener: ExchangeListener
    log: FilteringBoundLogger
    settings: ReliefSettings = ReliefSettings()
    lag: LagMeter = attrs.field(factory=LagMeter)
    divides_at: float = float("-inf")

    def claimed(self) -> None:
        """Record that this instance has just claimed workers; their takeover lags by itself."""
        self.lag.reset()

    def find_successor(self, moment: float) -> Member | None:
        """Return a stronger instance that should schedule instead of this one, if it lags."""
        claim = self.group.claim
        if not self._is_overloaded(moment) or (claim.zone and not claim.is_divided):
            return None
        successors = self.group.possible_successors(moment)
        stronger = find_stronger_instance(self.group.own, successors, moment)
        if stronger is not None:
            self.log.warning(
                "Event loop of the scheduler lags; a stronger instance schedules.",
                peer=stronger.at.incarnation,
                lag_ms=int(1000 * self.lag.mean_seconds),
            )
        return stronger

    def prepare_division(self, moment: float) -> bool:
        """Divide the pool if this instance cannot schedule all zones; return whether it begins."""
        group = self.group
        if not self._is_overloaded(moment) or group.claim.zone or group.is_uneven:
            return False
        members = [member.at for member in group.live(moment)]
        if not can_divide(group.own, members, self.listener.roster()[1]):
            return False
        self.log.warning(
            "Event loop of the scheduler lags; each availability zone gets its own scheduler.",
            lag_ms=int(1000 * self.lag.mean_seconds),
        )
        group.is_overloaded = True
        group.claim = attrs.evolve(group.claim, is_overloaded=True)
        self.divides_at = moment + ANNOUNCEMENT_SECONDS
        return True

    def is_preparing(self, moment: float) -> bool:
        """Return whether a division is announced, and the claim of all zones still holds."""
        return moment < self.divides_at

    def _is_overloaded(self, moment: float) -> bool:
        return self.settings.is_enabled and self.lag.is_overloaded(moment)
