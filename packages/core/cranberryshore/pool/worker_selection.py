"""Selection of a worker for a task.

A typical task needs 14 cores and a worker has 32 or 48, so only two or three tasks fit, and a
poorly placed task leaves capacity that no other task can use. Best fit preserves the largest free
blocks. Workers that have failed or are slow are used last.

A pool of hundreds of workers starts thousands of tasks a second, and most of its workers have too
little room for the next one. The workers are therefore kept sorted by their free capacity, so that
the cost of a selection does not grow with the pool.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping
from itertools import islice

import attrs

from cranberryshore.placement.health import PLACEMENT_RANKS, PoolHealth
from cranberryshore.pool.evacuation import WarmUps
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_preference import (
    PreferenceSum,
    WorkerPreference,
    rank_workers,
)

MIN_LEASE_SECONDS = 0.5
"""No task is started on a worker whose lease ends earlier unless one of its runs ends before."""

COMPARED_WORKERS = 6
"""Number of workers with enough free capacity that are compared by preference, in groups: the cost
of a selection must not grow with the pool, and in replays 12 and 24 have earned the same."""

TIER_COUNT = 2 * len(PLACEMENT_RANKS)


def meets_constraints(worker: HeldWorker, job: PoolJob, task: PoolTask) -> bool:
    """Return whether a worker satisfies the constraints of a task, regardless of free capacity."""
    step = job.step_of(task)
    if step.label and step.label not in worker.labels:
        return False
    return not (
        step.max_per_worker and job.placed_count(worker.name, task.step) >= step.max_per_worker
    )


@attrs.frozen
class Query:
    """Task to be placed, and the conditions that do not depend on its demand.

    Parameters
    ----------
    usable : frozenset of str or None
        Workers on which the entry instance of the job allows starts; ``None`` for all.
    excluded : set of str
        Workers that are not selected.
    """

    job: PoolJob
    task: PoolTask
    service: str
    usable: frozenset[str] | None
    excluded: set[str]
    now: float


@attrs.define(eq=False)
class WorkerIndex:
    """Available workers of each service, sorted by free capacity within tiers.

    There is a tier for each placement rank of the workers whose clocks are known, and one for each
    rank of the others. An entry may be outdated until ``refresh`` processes its worker, so the
    state of a worker is checked before it is selected.

    Parameters
    ----------
    workers : mapping
        Held workers by name, maintained by the scheduler.
    lease_limit : callable
        Returns the time at which the lease of a worker must have ended.
    tiers : dict
        Free millicores and names of the workers of each tier, sorted, by service.
    entries : dict
        Service, tier and free millicores of each worker, as sorted.
    outdated : set of str
        Workers that have changed since they were sorted.
    preference : PreferenceSum
        Chooses among the workers of a tier on which a task fits; the tightest fit if it is neutral.
    warm_ups : WarmUps
        Workers that have just started; their ranks are the last one.
    """

    workers: Mapping[str, HeldWorker]
    health: PoolHealth
    lease_limit: Callable[[HeldWorker], float]
    tiers: dict[str, list[list[tuple[int, str]]]] = attrs.field(factory=dict)
    entries: dict[str, tuple[str, int, int]] = attrs.field(factory=dict)
    names_by_rack: dict[str, set[str]] = attrs.field(factory=dict)
    outdated: set[str] = attrs.field(factory=set)
    preference: PreferenceSum = attrs.field(factory=PreferenceSum)
    warm_ups: WarmUps = attrs.field(factory=WarmUps)

    def mark_changed(self, name: str) -> None:
        """Record that a worker has changed, was added or was removed."""
        self.outdated.add(name)

    def refresh(self, now: float) -> None:
        """Sort the changed workers again."""
        for name in self.outdated:
            self.update(name, now)
        self.outdated.clear()

    def update(self, name: str, now: float) -> None:
        """Sort one worker again."""
        worker = self.workers.get(name)
        entry = None
        if worker is not None and worker.is_available():
            tier = _tier_number(worker.is_clock_known(now), self._rank(name))
            entry = (worker.service, tier, self.warm_ups.room(worker).millicores)
        previous = self.entries.get(name)
        if entry == previous:
            return
        if previous is not None:
            members = self.tiers[previous[0]][previous[1]]
            del members[bisect_left(members, (previous[2], name))]
            del self.entries[name]
        if entry is not None:
            tiers = self.tiers.setdefault(worker.service, [[] for _ in range(TIER_COUNT)])
            insort(tiers[entry[1]], (entry[2], name))
            self.entries[name] = entry
            if worker.rack:
                self.names_by_rack.setdefault(worker.rack, set()).add(name)

    def _rank(self, name: str) -> int:
        if self.warm_ups.is_warming(name):
            return PLACEMENT_RANKS[-1]
        return self.health.placement_rank(name)

    def largest_millicores(self, service: str) -> int:
        """Return the largest number of free millicores on a worker of a service."""
        tiers = self.tiers.get(service, ())
        return max((members[-1][0] for members in tiers if members), default=0)

    def select(self, query: Query, is_ready: bool) -> HeldWorker | None:
        """Return the best worker for a task, or ``None`` if it fits on none.

        With ``is_ready``, only workers are considered whose clock is known, else only the others.
        """
        tiers = self.tiers.get(query.service)
        if tiers is None:
            return None
        avoided = query.task.avoided_workers
        preference = self.preference.active()
        for is_avoided in (False, True) if avoided else (False,):
            for rank in PLACEMENT_RANKS:
                tier = _tier_number(is_ready, rank)
                names = self._by_preference(tier, tiers[tier], query)
                if avoided:
                    names = _filtered(names, avoided, is_avoided)
                if preference is not None:
                    names = self._ranked(names, query, preference)
                for name in names:
                    if self._can_run(name, query, is_ready):
                        return self.workers[name]
        return None

    def _ranked(
        self, names: Iterator[str], query: Query, preference: WorkerPreference
    ) -> Iterator[str]:
        """Sort each group of some workers by preference."""
        while group := list(islice(names, COMPARED_WORKERS)):
            if len(group) == 1:
                yield group[0]
                continue
            workers = [worker for worker in map(self.workers.get, group) if worker is not None]
            for worker in rank_workers(preference, workers, query.job, query.task):
                yield worker.name

    def select_isolated(
        self, query: Query, is_suitable: Callable[[HeldWorker], bool], is_alone: bool
    ) -> HeldWorker | None:
        """Return the worker with the fewest runs beside a task that may crash it.

        With ``is_alone``, only workers without runs are considered.
        """
        candidates = [
            (name in query.task.avoided_workers, len(worker.runs), tier, name)
            for tier, members in enumerate(self.tiers.get(query.service, ()))
            for _, name in list(members)
            if (worker := self.workers.get(name)) is not None
            and not (is_alone and worker.runs)
            and self._can_run(name, query, worker.is_clock_known(query.now))
            and is_suitable(worker)
        ]
        return self.workers[min(candidates)[-1]] if candidates else None

    def _by_preference(
        self, tier: int, members: list[tuple[int, str]], query: Query
    ) -> Iterator[str]:
        """Yield the workers of a tier with enough millicores, the preferred ones first."""
        step = query.job.step_of(query.task)
        if step.rack:
            entries = self.entries
            names = self.names_by_rack.get(step.rack, set()) & entries.keys()
            chosen = [name for name in names if entries[name][:2] == (query.service, tier)]
            yield from sorted(chosen, key=lambda name: (entries[name][2], name))
        for position in range(bisect_left(members, (step.demand.millicores, "")), len(members)):
            yield members[position][1]

    def _can_run(self, name: str, query: Query, is_ready: bool) -> bool:
        """Return whether a task can be placed on a worker as it is now."""
        worker, now = self.workers.get(name), query.now
        if worker is None or worker.is_clock_known(now) is not is_ready:
            self.outdated.add(name)
            return False
        return (
            worker.is_available()
            and self.warm_ups.room(worker).holds(query.job.step_of(query.task).demand)
            and name not in query.excluded
            and (query.usable is None or name in query.usable)
            and self.health.allowance(name, now) > 0
            and self.lease_limit(worker) > now + MIN_LEASE_SECONDS
            and meets_constraints(worker, query.job, query.task)
        )


def _filtered(names: Iterator[str], avoided: set[str], is_avoided: bool) -> Iterator[str]:
    return (name for name in names if (name in avoided) is is_avoided)


def _tier_number(is_ready: bool, rank: int) -> int:
    return rank if is_ready else rank + len(PLACEMENT_RANKS)
