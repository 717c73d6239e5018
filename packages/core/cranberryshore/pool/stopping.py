"""Stops of active runs, and their repetition until they take effect."""

from collections.abc import Mapping

import attrs

from cranberryshore.pool.effects import PoolEffect, StopRun
from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run import RunState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.worker_status import RunKey

STOP_RETRY_SECONDS = 0.15
"""Time after which a stop without effect is sent again; workers stop runs within 50 ms."""


@attrs.frozen(eq=False)
class RunStopper:
    """Stops runs of a scheduler.

    Parameters
    ----------
    workers : mapping
        Held workers by name, maintained by the scheduler.
    effects : list of PoolEffect
        Receives the required actions.
    """

    workers: Mapping[str, HeldWorker]
    registry: RunRegistry
    statistics: RunStatistics
    effects: list[PoolEffect]

    def stop(self, name: str, key: RunKey, now: float) -> None:
        """Stop a run, if the worker has it."""
        worker = self.workers.get(name)
        run = worker.runs.get(key) if worker is not None else None
        if run is not None:
            run.state, run.stop_requested_at = RunState.STOPPING, now
            self.effects.append(StopRun(name, key, worker.token))

    def stop_stragglers(self, worker: HeldWorker, listed: set[RunKey], now: float) -> None:
        """Stop stragglers among the reported runs, so that their tasks start elsewhere.

        A run that is missing from the latest report may have ended while polls were lost.
        """
        for key, run in worker.runs.items():
            if run.state is not RunState.RUNNING or key not in listed:
                continue
            if self.statistics.isolate_straggler(
                worker.name, run, *self.registry.tasks_by_run[key], now
            ):
                self.stop(worker.name, key, now)

    def repeat_stops(self, worker: HeldWorker, now: float) -> None:
        """Stop those runs of a worker again that were to be stopped some time ago."""
        for key, run in worker.runs.items():
            if run.state is RunState.STOPPING and now > run.stop_requested_at + STOP_RETRY_SECONDS:
                self.stop(worker.name, key, now)
