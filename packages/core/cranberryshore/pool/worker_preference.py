"""Preferences among the workers on which a task fits, and observers of the runs they learn from."""

from typing import Protocol

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run import RunEnd
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_status import RunKey


class WorkerPreference(Protocol):
    """Reason to prefer some workers for a task to others on which it fits as well."""

    def is_neutral(self) -> bool:
        """Return whether no task has a reason to prefer any worker now."""
        ...

    def extra_ms(self, worker: HeldWorker, job: PoolJob, task: PoolTask) -> float:
        """Return the expected extra run time on a worker against a mean one, in milliseconds."""
        ...


class RunObserver(Protocol):
    """Learns from the runs that a scheduler has started."""

    def run_ended(
        self, worker: HeldWorker, end: RunEnd, job: PoolJob, task: PoolTask, now: float
    ) -> None:
        """Record an ended run, after it was removed from its worker."""
        ...


class StartObserver(Protocol):
    """Follows the runs that a scheduler starts."""

    def run_started(self, worker: HeldWorker, key: RunKey, job: PoolJob, now: float) -> None:
        """Record a run whose start is being requested, after it was added to its worker."""
        ...


@attrs.define(eq=False)
class PreferenceSum:
    """Sum of several preferences; neutral if there are none."""

    preferences: list[WorkerPreference] = attrs.field(factory=list)

    def is_neutral(self) -> bool:
        """See :class:`WorkerPreference`."""
        return all(preference.is_neutral() for preference in self.preferences)

    def extra_ms(self, worker: HeldWorker, job: PoolJob, task: PoolTask) -> float:
        """See :class:`WorkerPreference`."""
        return sum(item.extra_ms(worker, job, task) for item in self.preferences)

    def active(self) -> WorkerPreference | None:
        """Return a preference for the same workers, or ``None`` if there is none now.

        Usually, at most one of several preferences is not neutral; it is returned itself.

        Examples
        --------
        >>> PreferenceSum().active() is None
        True
        """
        active = [item for item in self.preferences if not item.is_neutral()]
        if not active:
            return None
        return active[0] if len(active) == 1 else PreferenceSum(active)


def rank_workers(
    preference: WorkerPreference, workers: list[HeldWorker], job: PoolJob, task: PoolTask
) -> list[HeldWorker]:
    """Return workers by their extra run time; equal ones stay in their order."""
    if len(workers) < 2:
        return workers
    return sorted(workers, key=lambda worker: preference.extra_ms(worker, job, task))
