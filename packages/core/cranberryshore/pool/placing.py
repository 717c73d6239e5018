"""Placement of waiting tasks on workers."""

from collections.abc import Mapping

import attrs

from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.effects import PollWorker, PoolEffect, ResumedJobReleased, StartRun
from cranberryshore.pool.failed_searches import FailedSearches
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.start_rights import StartRights
from cranberryshore.pool.verifying import ResumedJobs
from cranberryshore.pool.waiting_jobs import WaitingJobs
from cranberryshore.pool.work import PoolJob, PoolTask
from cranberryshore.pool.worker_preference import StartObserver
from cranberryshore.pool.worker_selection import Query, WorkerIndex

REFRESHED_SHARE = 8
"""A tick sorts one in so many workers again: their ranks change with the mean of the pool."""


@attrs.define(eq=False)
class Placer:
    """Starts the waiting tasks of a scheduler's jobs on its workers.

    Parameters
    ----------
    effects : list of PoolEffect
        Receives the required actions.
    stranger_holders : set of str
        Workers with active runs of another scheduler.
    failed_searches : FailedSearches
        Searches for a worker that have failed in the present round.
    start_observers : list of StartObserver
        Are told of each start.
    """

    workers: Mapping[str, HeldWorker]
    rights: StartRights
    registry: RunRegistry
    statistics: RunStatistics
    crashes: CrashHistory
    effects: list[PoolEffect]
    waiting: WaitingJobs = attrs.field(factory=WaitingJobs)
    resumed_jobs: ResumedJobs = attrs.field(factory=ResumedJobs)
    stranger_holders: set[str] = attrs.field(factory=set)
    refreshed_count: int = 0
    failed_searches: FailedSearches = attrs.field(factory=FailedSearches)
    start_observers: list[StartObserver] = attrs.field(factory=list)
    isolation: Isolation = attrs.field(init=False)
    index: WorkerIndex = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.isolation = Isolation(self.registry, self.statistics)
        self.index = WorkerIndex(self.workers, self.statistics.health, self.lease_limit)

    def replace_rights(self, rights: StartRights) -> StartRights:
        """Use other rights of the scheduler, and return them."""
        self.rights = rights
        return rights

    def lease_limit(self, worker: HeldWorker) -> float:
        """Return the time at which the lease of a worker must have ended.

        The lease covers all runs, so the entry instance heard longest ago determines it.
        """
        limit = float("inf")
        for key in worker.runs:
            job = self.registry.tasks_by_run[key][0]
            limit = min(
                limit, job.lease_limit if job.is_ended else self.rights.lease_limit(job.entry)
            )
        return limit

    def worker_changed(self, worker: HeldWorker) -> None:
        """Record that a worker has changed."""
        self.index.mark_changed(worker.name)
        if worker.strangers:
            self.stranger_holders.add(worker.name)
        else:
            self.stranger_holders.discard(worker.name)

    def worker_removed(self, name: str) -> None:
        """Record that a worker is not held any more."""
        self.index.mark_changed(name)
        self.stranger_holders.discard(name)

    def job_ended(self, job: PoolJob) -> None:
        """Remove a job that has ended."""
        self.waiting.remove(job)
        self.resumed_jobs.remove(job)

    def tick(self, now: float) -> None:
        """Sort the waiting jobs, and a part of the workers, again."""
        self.waiting.sort(now)
        self.refreshed_count += 1
        part = self.refreshed_count % REFRESHED_SHARE
        self.index.outdated.update(list(self.workers)[part::REFRESHED_SHARE])
        self.index.outdated.update(self.index.warm_ups.refresh(now))

    def place_jobs(self, config: PoolConfig, now: float) -> None:
        """Start as many waiting tasks as fit."""
        if not self.waiting:
            return
        self._release_resumed_jobs(now)
        self.index.refresh(now)
        index = self.index
        largest = {service: index.largest_millicores(service) for service in index.tiers}
        self.failed_searches.clear()
        foreign = self._foreign_tasks()
        changed = []
        for job, service in self.waiting.fitting(largest, config):
            if job.delayed_until > now or not self.rights.may_start(job.entry, now):
                continue
            if self._place_job(job, service, foreign, now):
                changed.append(job)
                largest[service] = index.largest_millicores(service)
        for job in changed:
            self.waiting.update(job, now)

    def _foreign_tasks(self) -> set[str]:
        """Return the tasks of which another scheduler has active runs."""
        holders = (self.workers.get(name) for name in self.stranger_holders)
        return {key[0] for worker in holders if worker is not None for key in worker.strangers}

    def _release_resumed_jobs(self, now: float) -> None:
        for job in self.resumed_jobs.release(self.workers, bool(self.stranger_holders), now):
            job.delayed_until = 0.0
            exposed = job.exposed_workers or ()
            verified = sum(
                name in self.workers and self.workers[name].polled_at >= job.received_at
                for name in exposed
            )
            waited_ms = int((now - job.received_at) * 1000)
            unverified = len(exposed) - verified
            self.effects.append(ResumedJobReleased(job.request.id, verified, unverified, waited_ms))

    def _place_job(self, job: PoolJob, service: str, foreign: set[str], now: float) -> bool:
        """Place as many tasks of a job as fit; return whether any was placed.

        ``foreign`` are the tasks of which another scheduler has active runs.
        """
        usable = self.rights.usable_workers(job.entry)
        confined = self.isolation.confined_workers(
            job.request.queue, service, self.workers.values(), now
        )
        allowed = usable
        if confined is not None:
            allowed = confined if usable is None else usable & confined
        asked: set[str] = set()
        has_placed = False
        searched = (service, allowed)
        for task in job.startable_tasks():
            name = job.name_of(task)
            if name in foreign or self.registry.is_task_active(name):
                continue
            query = Query(job, task, service, allowed, asked, now)
            if self.crashes.is_suspect(name):
                has_placed |= self._place_suspect(attrs.evolve(query, usable=usable))
                continue
            if self.failed_searches.covers(searched, job.step_of(task)):
                break
            worker = self.index.select(query, is_ready=True)
            if worker is not None:
                has_placed |= self._start_run(job, task, worker, now)
                continue
            self.index.refresh(now)
            worker = self.index.select(query, is_ready=False)
            if worker is None:
                if not asked:
                    self.failed_searches.record(searched, job.step_of(task))
                break
            self._read_clock(worker, now)
            asked.add(worker.name)
        return has_placed

    def _place_suspect(self, query: Query) -> bool:
        """Place a task that may crash its worker; return whether it was placed."""
        job, task, now = query.job, query.task, query.now
        name = job.name_of(task)
        if self.crashes.awaits_proof(name, now):
            return False
        if not self.isolation.may_start(self.workers.values(), query.service, now):
            return False
        self.index.refresh(now)
        is_alone = self.crashes.must_run_alone(name)
        worker = self.index.select_isolated(query, self.isolation.is_suitable, is_alone)
        if worker is None:
            return False
        if not worker.is_clock_known(now):
            self._read_clock(worker, now)
            query.excluded.add(worker.name)
            return False
        if not self._start_run(job, task, worker, now):
            return False
        worker.isolated_runs.add((name, task.attempt))
        self.index.update(worker.name, now)
        return True

    def _read_clock(self, worker: HeldWorker, now: float) -> None:
        """Poll an idle worker, whose clock must be known before a start, unless that is due."""
        if not worker.is_clock_being_read(now):
            worker.clock_requested_at = now
            self.effects.append(PollWorker(worker.name))

    def _start_run(self, job: PoolJob, task: PoolTask, worker: HeldWorker, now: float) -> bool:
        limit_at = min(self.lease_limit(worker), self.rights.lease_limit(job.entry))
        lease_end_ms = worker.lease_end_ms(now, limit_at)
        if lease_end_ms is None:
            return False
        task.attempt += 1
        key = (job.name_of(task), task.attempt)
        self.registry.record_start(job, task, worker, key, now)
        worker.add_run(key, job.step_of(task).demand, now, lease_end_ms)
        for observer in self.start_observers:
            observer.run_started(worker, key, job, now)
        record = self.statistics.health.record_for(worker.name)
        record.probe_running = bool(record.isolation_seconds)
        self.statistics.health.rejections.sent(worker.name, key, now)
        self.index.update(worker.name, now)
        payload = job.request.payload
        self.effects.append(StartRun(worker.name, key, payload, worker.token, lease_end_ms))
        return True
