"""Withdrawal of starts that have certainly never begun."""

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.run import Run
from cranberryshore.pool.worker_status import RunKey


def withdraw_start(worker: HeldWorker, key: RunKey) -> Run | None:
    """Remove a run that has never begun, and return it unless it was removed before.

    What is kept of the worker for a later loss forgets it as well.
    """
    run = worker.remove_run(key)
    worker.lapsed_runs.discard(key)
    if worker.closed_boot is not None:
        worker.closed_boot = worker.closed_boot.without(key)
    return run
