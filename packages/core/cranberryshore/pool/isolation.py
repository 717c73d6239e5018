"""Where a task is started that may crash its worker.

When a kind of jobs crashes workers one after another, each start of a suspect may cost a worker for
some seconds, and all runs beside it. Suspects are therefore started on workers with the fewest
runs, none of them long, and nothing is started beside them. Only a part of the workers of a service
is exposed to them at a time; the others keep serving sound jobs. First starts crash workers, too,
and nobody knows beforehand which ones do, so a queue that has cost several workers in the last
seconds is confined to half of them.
"""

from collections.abc import Iterable
from zlib import crc32

import attrs

from cranberryshore.pool.common_cause import NoticedLoss, RecentLosses
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.run import BootState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.worker_status import RunKey

EXPOSED_SHARE = 8
"""One in so many workers of a service runs a suspect, or was lost under one."""

RECOVERY_SECONDS = 3.0
"""Time in which a crashed worker is back."""

CONFINING_SHARE = 8
"""A queue is confined while one in so many workers of a service is lost under its tasks."""

MIN_QUEUE_LOSSES = 2
"""Number of lost workers below which no queue is confined."""

MIN_DIVIDED_WORKERS = 8
"""Number of workers of a service below which no queue is confined."""

LONG_RUN_SECONDS = 0.5
"""Expected run time from which a run is too much to lose beside a suspect."""


@attrs.define(eq=False)
class WorkerLoss:
    """Loss of a worker, with the runs that may have been on it.

    Parameters
    ----------
    born : int
        Identifier of the start of its process.
    queues : dict
        Queue of each run.
    suspects : set of RunKey
        Those of the runs beside which nothing else was started.
    is_exposed : bool
        Whether the worker ran a suspect.
    """

    worker: str
    born: int
    service: str
    at: float
    queues: dict[RunKey, str]
    suspects: set[RunKey]
    is_exposed: bool

    def queue_shares(self) -> dict[str, float]:
        """Return the share of each queue in the loss."""
        names = sorted(set(self.queues.values()))
        return {name: 1 / len(names) for name in names}

    def is_refuted_by(self, worker: HeldWorker) -> bool:
        """Return whether the same process has answered a poll from after the loss."""
        is_same = (self.worker, self.born) == (worker.name, worker.born)
        return is_same and self.at < worker.polled_at

    def withdraw_start(self, key: RunKey) -> None:
        """Record that a run has never begun."""
        self.queues.pop(key, None)
        if key in self.suspects:
            self.suspects.discard(key)
            self.is_exposed = bool(self.suspects)


@attrs.define(eq=False)
class Isolation:
    """Limits on the starts of suspects, and of queues that crash workers.

    Parameters
    ----------
    losses : list of WorkerLoss
        Losses of the last seconds, without those that have a common cause and exposed no suspect.
    recent : RecentLosses
        Latest losses without suspects, which may have a common cause.
    """

    registry: RunRegistry
    statistics: RunStatistics
    losses: list[WorkerLoss] = attrs.field(factory=list)
    recent: RecentLosses = attrs.field(factory=RecentLosses)

    @property
    def queue_losses(self) -> list[tuple[str, float, float]]:
        """Return queues, their shares in the loss of a worker without suspects, and its time."""
        return [
            (queue, share, loss.at)
            for loss in self.losses
            if not loss.is_exposed
            for queue, share in loss.queue_shares().items()
        ]

    def worker_lost(self, worker: HeldWorker, boot: BootState, now: float) -> None:
        """Record that a worker was lost."""
        if not boot.is_exposed:
            related = self.recent.add(NoticedLoss(worker.name, now), now)
            if related:
                # A rack or a zone was lost, which says nothing about the queues.
                since = min(loss.lost_at for loss in related)
                self.losses = [item for item in self.losses if item.is_exposed or item.at < since]
                return
        queues = {
            key: self.registry.tasks_by_run[key][0].request.queue
            for key in boot.runs
            if key in self.registry.tasks_by_run
        }
        self.losses.append(
            WorkerLoss(
                worker.name,
                boot.born,
                worker.service,
                now,
                queues,
                set(boot.isolated_runs),
                boot.is_exposed,
            )
        )

    def start_withdrawn(self, worker: str, key: RunKey) -> None:
        """Record that a run has never begun, so that it was not lost with its worker."""
        for loss in self.losses:
            if loss.worker == worker:
                loss.withdraw_start(key)

    def worker_answered(self, worker: HeldWorker) -> None:
        """Record that a worker has answered a poll; it was not lost before, if it has not ended."""
        if self.losses:
            self.losses = [loss for loss in self.losses if not loss.is_refuted_by(worker)]

    def confined_workers(
        self, queue: str, service: str, workers: Iterable[HeldWorker], now: float
    ) -> frozenset[str] | None:
        """Return the workers on which tasks of a queue may be started; ``None`` for all.

        A queue that crashes workers keeps half of them, so that others can use the rest.
        """
        if not self.losses:
            return None
        self._discard_old(now)
        lost = sum(share for name, share, _ in self.queue_losses if name == queue)
        if lost < MIN_QUEUE_LOSSES:
            return None
        names = [
            worker.name
            for worker in workers
            if worker.service == service and not worker.is_evacuated
        ]
        if len(names) < MIN_DIVIDED_WORKERS or lost < len(names) / CONFINING_SHARE:
            return None
        return frozenset(name for name in names if crc32(name.encode()) % 2)

    def may_start(self, workers: Iterable[HeldWorker], service: str, now: float) -> bool:
        """Return whether another worker of a service may be exposed to a suspect."""
        self._discard_old(now)
        members = [
            worker for worker in workers if worker.service == service and not worker.is_evacuated
        ]
        exposed = sum(loss.is_exposed and loss.service == service for loss in self.losses)
        exposed += sum(
            bool(worker.isolated_runs) and worker.state is HoldState.HELD for worker in members
        )
        return exposed < max(1, len(members) // EXPOSED_SHARE)

    def _discard_old(self, now: float) -> None:
        self.losses = [loss for loss in self.losses if now < loss.at + RECOVERY_SECONDS]

    def is_suitable(self, worker: HeldWorker) -> bool:
        """Return whether a suspect may be started beside the runs of a worker."""
        return not any(self._is_long(key) for key in worker.runs)

    def _is_long(self, key: RunKey) -> bool:
        job, task = self.registry.tasks_by_run[key]
        return self.statistics.expected_task_ms(job, task) > 1000 * LONG_RUN_SECONDS
