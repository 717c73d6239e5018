"""Placement of waiting tasks on workers, in fair order and within quotas."""

from collections.abc import Sequence
from itertools import groupby
from operator import attrgetter

import attrs

from cranberryshore.dispatch import effects as out
from cranberryshore.dispatch.admission import WaitingWork
from cranberryshore.dispatch.lending import Backlog
from cranberryshore.dispatch.workers import WorkerSet
from cranberryshore.limits.fair_queue import FairQueue
from cranberryshore.limits.quota import TeamQuotas
from cranberryshore.work.batch import TaskBatch, TaskStart
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import Job
from cranberryshore.work.task import TaskSpec

MAX_TASKS_PER_PLACEMENT = 64
RESERVE_AFTER_SECONDS = 0.5

_demand_of = attrgetter("demand")


@attrs.frozen
class Reservation:
    """A worker that receives no other tasks until the next task of ``job`` fits on it."""

    job: Job
    worker: str


def _cost_millicore_ms(spec: TaskSpec) -> float:
    return float(max(spec.demand.millicores, 1)) * spec.expected_ms


@attrs.define
class TaskPlacer:
    """Takes waiting tasks in fair order and places them on workers with free capacity.

    ``backlog`` is the first demand that the last pass could not place, and ``blocked_job`` its job.
    ``waiting`` and ``running`` hold millicores by team.
    """

    queue: FairQueue[Job]
    workers: WorkerSet
    quotas: TeamQuotas
    backlog: Backlog | None = None
    reservation: Reservation | None = None
    blocked_job: Job | None = None
    blocked_since: float = 0.0
    waiting_tasks: int = 0
    waiting_millicore_ms: float = 0.0
    waiting: dict[str, int] = attrs.field(factory=dict)
    demand_counts: dict[Capacity, int] = attrs.field(factory=dict)
    running: dict[str, int] = attrs.field(factory=dict)

    def add(self, job: Job) -> None:
        """Enqueue a newly accepted job."""
        self._count_waiting(job, job.request.tasks, 1)
        self.queue.push(job.request.team, job.request.urgent, job)

    def requeue(self, job: Job, index: int) -> None:
        """Enqueue a started task again that its worker has not run."""
        self._count_waiting(job, (job.request.tasks[index],), 1)
        if len(job.waiting) == 1:
            self.queue.push(job.request.team, job.request.urgent, job, at_front=True)

    def remove_waiting(self, job: Job) -> None:
        """Remove the waiting tasks of a job that is settled or whose owner was closed."""
        if self.reservation is not None and self.reservation.job is job:
            self.reservation = None
        self._count_waiting(job, [job.request.tasks[index] for index in job.waiting], -1)
        job.waiting.clear()

    def on_task_end(self, job: Job, demand: Capacity) -> None:
        """Subtract an ended task from the running millicores of its team."""
        team = job.request.team
        self.running[team] = self.running.get(team, 0) - demand.millicores

    def waiting_work(self) -> WaitingWork:
        """Return the totals over all waiting tasks."""
        return WaitingWork(self.waiting_tasks, max(self.waiting_millicore_ms, 0.0))

    def demands(self) -> dict[str, int]:
        """Return the running and waiting millicores by team."""
        teams = self.running.keys() | self.waiting.keys()
        sums = {team: self.running.get(team, 0) + self.waiting.get(team, 0) for team in teams}
        return {team: amount for team, amount in sums.items() if amount > 0}

    def place_waiting(self, now: float) -> list[out.Effect]:
        """Place waiting tasks until no more of them fit."""
        effects = self._place_reserved(now)
        skip: set[tuple[str, bool]] = set()
        unplaceable: set[Capacity] = set()
        self.backlog = None
        while (head := self.queue.peek(frozenset(skip))) is not None:
            team, is_urgent, job = head
            spec, count = job.next_batch(MAX_TASKS_PER_PLACEMENT)
            allowed = min(count, self._quota_allowance(team, spec.demand))
            placed = self._place(spec.demand, allowed, unplaceable, now)
            if placed:
                effects += self._start(job, spec, placed)
                if not job.waiting:
                    self.queue.pop(team, is_urgent)
                continue
            if allowed:
                unplaceable.add(spec.demand)
                self._on_blocked(job, spec.demand, now)
                if self._are_all_unplaceable(unplaceable):
                    break
            skip.add((team, is_urgent))
        return effects

    def _place_reserved(self, now: float) -> list[out.Effect]:
        if self.reservation is None:
            return []
        job = self.reservation.job
        if not job.waiting:
            self.reservation = None
            return []
        spec, count = job.next_batch(MAX_TASKS_PER_PLACEMENT)
        allowed = min(count, self._quota_allowance(job.request.team, spec.demand))
        placed = self.workers.place(spec.demand, allowed, now) if allowed else []
        if not placed:
            return []
        self.reservation = None
        return self._start(job, spec, placed)

    def _place(
        self, demand: Capacity, count: int, unplaceable: set[Capacity], now: float
    ) -> list[tuple[str, int]]:
        """Allocate capacity, unless an equal or smaller demand already failed in this pass."""
        if count == 0 or any(demand.holds(smaller) for smaller in unplaceable):
            return []
        kept = "" if self.reservation is None else self.reservation.worker
        return self.workers.place(demand, count, now, kept)

    def _are_all_unplaceable(self, unplaceable: set[Capacity]) -> bool:
        return all(
            any(demand.holds(smaller) for smaller in unplaceable) for demand in self.demand_counts
        )

    def _on_blocked(self, job: Job, demand: Capacity, now: float) -> None:
        """Record the first blocked job and reserve a worker if it stays blocked too long.

        Otherwise smaller tasks would take all freed capacity and starve a task that needs most of
        a worker.
        """
        if self.backlog is not None:
            return
        self.backlog = Backlog(demand, self.waiting_tasks)
        if self.blocked_job is not job:
            self.blocked_job = job
            self.blocked_since = now
        if now - self.blocked_since < RESERVE_AFTER_SECONDS or self.reservation is not None:
            return
        worker = self.workers.most_free_worker(demand)
        if worker is not None:
            self.reservation = Reservation(job, worker)

    def _quota_allowance(self, team: str, demand: Capacity) -> int:
        running = self.running.get(team, 0)
        room = self.quotas.room(team, running, running + self.waiting.get(team, 0))
        if room is None or demand.millicores == 0:
            return MAX_TASKS_PER_PLACEMENT
        return room // demand.millicores

    def _start(
        self, job: Job, spec: TaskSpec, placed: list[tuple[str, int]]
    ) -> list[out.StartTasks]:
        effects = []
        for worker, number in placed:
            indexes = job.start_tasks(number, worker)
            specs = [job.request.tasks[index] for index in indexes]
            self._count_waiting(job, specs, -1)
            tasks = tuple(map(TaskStart, indexes, specs))
            batch = TaskBatch(str(job.id), job.caller, len(job.states), tasks)
            incarnation = self.workers.states[worker].incarnation
            effects.append(out.StartTasks(worker, incarnation, batch))
            team = job.request.team
            amount = spec.demand.millicores * number
            self.running[team] = self.running.get(team, 0) + amount
            self.queue.charge(team, job.request.urgent, _cost_millicore_ms(spec) * number)
        return effects

    def _count_waiting(self, job: Job, specs: Sequence[TaskSpec], sign: int) -> None:
        team = job.request.team
        self.waiting_tasks += sign * len(specs)
        millicores = 0
        for demand, run in groupby(specs, key=_demand_of):
            group_specs = list(run)
            millicores += demand.millicores * len(group_specs)
            self.waiting_millicore_ms += sign * sum(map(_cost_millicore_ms, group_specs))
            self._count_demand(demand, sign * len(group_specs))
        self.waiting[team] = self.waiting.get(team, 0) + sign * millicores

    def _count_demand(self, demand: Capacity, change: int) -> None:
        count = self.demand_counts.get(demand, 0) + change
        if count:
            self.demand_counts[demand] = count
        else:
            del self.demand_counts[demand]
