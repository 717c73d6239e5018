"""Usable capacity of workers that are slow at first after their start.

Tasks take up to 1.5 times as long on a worker that has just started. When the workers of a zone
return together, a third of the pool is in this state. Such a worker is chosen last; while it is
idle, it gets one task of any size, and beside that a share of its processors that grows.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.worker_registration import WorkerRegistration
from cranberryshore.work.capacity import Capacity

INITIAL_SHARE = 0.8
"""Usable share of the processors at the start: run times are 1.25 times as long in the mean of a
warm-up, so the worker does 0.8 of its work. Smaller shares earn less in replays of the return of a
third of the workers; using all processors earns about the same, see docs/design/evacuation.md."""


@attrs.define
class WarmUp:
    """Warm-up of one start of a worker.

    Parameters
    ----------
    born : int
        Identifier of the start.
    left_ms : int
        Remaining time by the latest registration.
    begins_at, ends_at : float
        Times between which its usable share increases, in seconds.
    """

    born: int
    left_ms: int
    begins_at: float
    ends_at: float

    def share(self, now: float) -> float:
        """Return the usable share of the processors.

        Examples
        --------
        >>> warm_up = WarmUp(1, 2000, 10.0, 12.0)
        >>> round(warm_up.share(10.5), 2), warm_up.share(13.0)
        (0.85, 1.0)
        """
        if now >= self.ends_at:
            return 1.0
        elapsed = max(now - self.begins_at, 0.0) / (self.ends_at - self.begins_at)
        return INITIAL_SHARE + (1.0 - INITIAL_SHARE) * elapsed


@attrs.define(eq=False)
class WarmUps:
    """Warm-ups of the workers of a scheduler.

    Parameters
    ----------
    by_worker : dict
        Warm-ups that have not ended, by name of the worker.
    shares : dict
        Usable share of the processors of each of these workers, as of the latest refresh.
    """

    by_worker: dict[str, WarmUp] = attrs.field(factory=dict)
    shares: dict[str, float] = attrs.field(factory=dict)

    def record(self, entries: Iterable[WorkerRegistration], now: float) -> set[str]:
        """Take the remaining times from registrations; return the workers that are affected.

        The same registration is read again with each change of another one, so only a different
        remaining time tells something new. Within a start, the end is never postponed.
        """
        changed = set()
        for entry in entries:
            known = self.by_worker.get(entry.name)
            if entry.warmup_left_ms <= 0:
                if known is not None:
                    self._remove(entry.name)
                    changed.add(entry.name)
                continue
            ends_at = now + entry.warmup_left_ms / 1000
            if known is None or known.born != entry.born or entry.warmup_left_ms > known.left_ms:
                known = WarmUp(entry.born, entry.warmup_left_ms, now, ends_at)
                self.by_worker[entry.name] = known
            elif entry.warmup_left_ms < known.left_ms:
                known.left_ms, known.ends_at = entry.warmup_left_ms, min(known.ends_at, ends_at)
            self._set_share(entry.name, known, now)
            changed.add(entry.name)
        return changed

    def refresh(self, now: float) -> set[str]:
        """Increase the usable shares; return the workers that are affected."""
        changed = set(self.shares)
        for name in changed:
            # An ended one is kept: the registration that has begun it may be read again.
            self._set_share(name, self.by_worker[name], now)
        return changed

    def forget(self, name: str) -> None:
        """Forget a worker that is not held any more."""
        if name in self.by_worker:
            self._remove(name)

    def _set_share(self, name: str, warm_up: WarmUp, now: float) -> None:
        share = warm_up.share(now)
        if share < 1.0:
            self.shares[name] = share
        else:
            self.shares.pop(name, None)

    def _remove(self, name: str) -> None:
        del self.by_worker[name]
        self.shares.pop(name, None)

    def is_warming(self, name: str) -> bool:
        """Return whether a worker is slow because it has just started."""
        return name in self.shares

    def share(self, name: str) -> float:
        """Return the usable share of the processors of a worker."""
        return self.shares.get(name, 1.0)

    def room(self, worker: HeldWorker) -> Capacity:
        """Return the free capacity of a worker that tasks may use."""
        if worker.name not in self.shares or not worker.runs:
            return worker.room
        withheld = int(worker.total.millicores * (1.0 - self.shares[worker.name]))
        return worker.room - Capacity(withheld)
