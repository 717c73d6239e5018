"""Where a task is started that may crash its worker.

When a kind of jobs crashes workers one after another, each start of a suspect may cost a worker for
some seconds, and all runs beside it. Suspects are therefore started on workers with the fewest
runs, none of them long, and nothing is started beside them. Only a part of the workers of a service
is exposed to them at a time; the others keep serving sound jobs.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.pool.held_worker import HeldWorker, HoldState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics

EXPOSED_SHARE = 8
"""One in so many workers of a service runs a suspect, or was lost under one."""

RECOVERY_SECONDS = 3.0
"""Time in which a crashed worker is back."""

LONG_RUN_SECONDS = 0.5
"""Expected run time from which a run is too much to lose beside a suspect."""


@attrs.define(eq=False)
class Isolation:
    """Limits on the starts of suspects.

    Parameters
    ----------
    losses : list
        Service and time of the loss of each worker that ran a suspect, for the last seconds.
    """

    registry: RunRegistry
    statistics: RunStatistics
    losses: list[tuple[str, float]] = attrs.field(factory=list)

    def worker_lost(self, worker: HeldWorker, now: float) -> None:
        """Record that a worker was lost."""
        if worker.isolated_runs:
            self.losses.append((worker.service, now))

    def may_start(self, workers: Iterable[HeldWorker], service: str, now: float) -> bool:
        """Return whether another worker of a service may be exposed to a suspect."""
        self.losses = [item for item in self.losses if now < item[1] + RECOVERY_SECONDS]
        members = [worker for worker in workers if worker.service == service]
        exposed = sum(lost == service for lost, _ in self.losses)
        exposed += sum(
            bool(worker.isolated_runs) and worker.state is HoldState.HELD for worker in members
        )
        return exposed < max(1, len(members) // EXPOSED_SHARE)

    def is_suitable(self, worker: HeldWorker) -> bool:
        """Return whether a suspect may be started beside the runs of a worker."""
        return not any(self._is_long(key) for key in worker.runs)

    def _is_long(self, key: tuple[str, int]) -> bool:
        job, task = self.registry.tasks_by_run[key]
        return self.statistics.expected_task_ms(job, task) > 1000 * LONG_RUN_SECONDS
