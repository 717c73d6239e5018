"""Whether workers that are lost at the same moment have a common cause.

A wave of crashes takes a share of the workers at one moment, whatever they run. The loads that this
rule is for are such waves, seconds apart, on some tens of workers, and tasks that crash their
workers on hundreds of them, where several are lost in most tenths of a second without a common
cause. So more workers have to be lost at the same moment than usual.

Suspects run apart from each other. A worker on which one ran may be lost in a wave, but does not
make one: several culprits at once must not excuse each other.
"""

import attrs

from cranberryshore.pool.lost_run import LossKey

SIMULTANEOUS_SECONDS = 0.1
"""Largest time between losses at the same moment."""

MIN_SIMULTANEOUS_WORKERS = 3
"""Number of workers that have a common cause if they are lost at the same moment: a rack, a zone or
a partition."""

USUAL_SECONDS = 3.0
"""Time over which the usual number of lost workers is counted."""

MIN_RATIO_TO_USUAL = 3.0
"""Ratio of simultaneous losses to the usual number from which they have a common cause."""


@attrs.frozen
class NoticedLoss:
    """Loss of a worker.

    Parameters
    ----------
    lost_at : float
        Time of the loss, in seconds.
    is_exposed : bool
        Whether a suspect was running on the worker.
    records : tuple
        Tasks and keys of the records of the loss; empty for an idle worker.
    """

    worker: str
    lost_at: float
    is_exposed: bool = False
    records: tuple[tuple[str, LossKey], ...] = ()

    def is_simultaneous_with(self, other: "NoticedLoss") -> bool:
        """Return whether two workers were lost at the same moment."""
        return abs(self.lost_at - other.lost_at) <= SIMULTANEOUS_SECONDS


@attrs.define(eq=False)
class RecentLosses:
    """Losses of the last seconds.

    Examples
    --------
    >>> recent = RecentLosses()
    >>> [len(recent.add(NoticedLoss(f"w{number}", 1.0), 1.0)) for number in range(4)]
    [0, 0, 3, 4]
    """

    losses: list[NoticedLoss] = attrs.field(factory=list)

    def add(self, loss: NoticedLoss, now: float) -> list[NoticedLoss]:
        """Add a loss, and return those at the same moment that have a common cause."""
        self.losses = [item for item in self.losses if now <= item.lost_at + USUAL_SECONDS]
        self.losses.append(loss)
        simultaneous = [item for item in self.losses if item.is_simultaneous_with(loss)]
        return [item for item in simultaneous if self.has_common_cause(item)]

    def has_common_cause(self, loss: NoticedLoss) -> bool:
        """Return whether more workers than usual were lost at the moment of a loss."""
        others = [
            item for item in self.losses if item.worker != loss.worker and not item.is_exposed
        ]
        simultaneous = {item.worker for item in others if item.is_simultaneous_with(loss)}
        usual = {item.worker for item in others if not item.is_simultaneous_with(loss)}
        usual_number = len(usual) * 2 * SIMULTANEOUS_SECONDS / USUAL_SECONDS
        least = max(MIN_SIMULTANEOUS_WORKERS, 1 + MIN_RATIO_TO_USUAL * usual_number)
        return 1 + len(simultaneous) >= least
