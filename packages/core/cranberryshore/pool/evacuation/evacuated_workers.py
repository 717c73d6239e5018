"""Held workers of evacuated zones, and the jobs that fit on no others."""

from collections.abc import Iterable, Mapping

import attrs

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.work import PoolJob, StepSpec


def can_ever_hold(worker: HeldWorker, step: StepSpec) -> bool:
    """Return whether a task of a step fits on a worker when nothing else is on it."""
    return worker.total.holds(step.demand) and (not step.label or step.label in worker.labels)


def is_place(worker: HeldWorker) -> bool:
    """Return whether a worker, which is not evacuated, may get tasks when its runs have ended.

    One that has not answered its first poll yet counts until a poll of it fails.
    """
    if not worker.is_listed or worker.is_draining:
        return False
    is_expected = worker.state is HoldState.ACQUIRING and not worker.is_unheard
    return is_expected or worker.state is HoldState.HELD


@attrs.define(eq=False)
class EvacuatedWorkers:
    """Marks the held workers of evacuated zones.

    Parameters
    ----------
    workers : mapping
        Held workers by name, maintained by the scheduler.
    zones : frozenset of str
        Evacuated zones.
    confined : dict
        Whether a step fits on evacuated workers only, by service and step, as of ``checked_at``:
        hundreds of waiting jobs have the same few steps.
    """

    workers: Mapping[str, HeldWorker]
    zones: frozenset[str] = frozenset()
    confined: dict[tuple, bool] = attrs.field(factory=dict)
    checked_at: float = float("-inf")

    def apply(self, zones: Iterable[str]) -> list[HeldWorker]:
        """Set the evacuated zones; return the workers for which that makes a difference."""
        self.zones = frozenset(zones)
        self.confined.clear()
        changed = [
            worker
            for worker in self.workers.values()
            if worker.is_evacuated is not (worker.zone in self.zones)
        ]
        for worker in changed:
            self.mark(worker)
        return changed

    def mark(self, worker: HeldWorker) -> None:
        """Mark a worker according to its zone."""
        worker.is_evacuated = worker.zone in self.zones

    def confines(self, job: PoolJob, service: str, now: float) -> bool:
        """Return whether some task of a job fits on evacuated workers only.

        Such a job would wait until the evacuation is revoked. Workers that are leaving, not
        registered or out of reach are no place for it either: the stricter rule applies.
        """
        if not self.zones:
            return False
        if now != self.checked_at:
            self.confined.clear()
            self.checked_at = now
        return any(self._confines_step(step, service) for step in job.request.steps)

    def _confines_step(self, step: StepSpec, service: str) -> bool:
        key = (service, step.demand, step.label)
        if key not in self.confined:
            self.confined[key] = self._fits_evacuated_only(step, service)
        return self.confined[key]

    def _fits_evacuated_only(self, step: StepSpec, service: str) -> bool:
        is_any_evacuated = False
        for worker in self.workers.values():
            if worker.service != service or not can_ever_hold(worker, step):
                continue
            if worker.is_evacuated:
                is_any_evacuated = True
            elif is_place(worker):
                return False
        return is_any_evacuated
