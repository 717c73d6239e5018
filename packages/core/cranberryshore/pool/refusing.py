"""Refusal of waiting jobs that can no longer be answered in time.

During an overload, a job that waits until its caller times out wastes the time of the caller.
A waiting job is therefore refused as soon as its answer would be useless. No job is refused while
free capacity is available, or before a new scheduler knows whether there is any.
"""

from collections.abc import Iterable

from cranberryshore.pool.held_worker import HeldWorker
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.work import ANSWER_LATENCY_SECONDS, PoolJob
from cranberryshore.work.capacity import Capacity

RETRY_AFTER_MS = 1000
"""Retry delay for refused callers; load bursts last one to four seconds."""

RESUMED_JOB_WAIT_SECONDS = 1.3
"""Time until no run of a previous scheduler can exist: longer than ``RUN_END_SECONDS``, after which
all leases have expired that it could give before its entry instance turned to this scheduler."""

VERIFICATION_SECONDS = 0.25
"""Time in which a new scheduler usually polls all workers, even if a response is lost."""


def earliest_start(job: PoolJob, now: float) -> float:
    """Return the earliest possible start time of a job.

    While a new scheduler is still polling its workers, the delay of a resumed job is ignored,
    because the polls may end it early.
    """
    is_verifying = bool(job.delayed_until) and now < job.received_at + VERIFICATION_SECONDS
    return now if is_verifying else max(now, job.delayed_until)


def is_infeasible(job: PoolJob, expected_seconds: float, now: float) -> bool:
    """Return whether a waiting job can no longer be answered before its answer is useless."""
    last_useful_end = min(job.useless_at, job.deadline_at)
    return now + expected_seconds + ANSWER_LATENCY_SECONDS > last_useful_end


def may_gain_worker(workers: Iterable[HeldWorker], acquiring_since: float, now: float) -> bool:
    """Return whether a worker may become available within moments.

    That is the case for a limited time while a worker is being acquired, none is known yet, or the
    clock of an idle worker is being read.

    Examples
    --------
    >>> may_gain_worker([], 1.0, 1.1), may_gain_worker([], 1.0, 2.0)
    (True, False)
    """
    members = [
        worker
        for worker in workers
        if worker.is_listed and not (worker.is_draining or worker.is_evacuated)
    ]
    if any(worker.is_clock_being_read(now) for worker in members):
        return True
    if now >= acquiring_since + VERIFICATION_SECONDS:
        return False
    return not members or any(worker.state is HoldState.ACQUIRING for worker in members)


def fit_retry_ms(
    job: PoolJob, workers: Iterable[HeldWorker], largest: Capacity | None
) -> int | None:
    """Return when a job may be tried again that no worker has room for, 0 for never.

    ``None`` if its tasks fit, or if no worker of the service is known yet. A worker may have a
    smaller capacity for a while, and the scheduler may hold a part of the workers. ``largest`` is
    the most that any worker of the service has had of each resource, if it is known.
    """
    demands = {step.demand for step in job.request.steps}
    ever_too_large, is_any_known = demands, False
    if largest is not None:
        ever_too_large = {item for item in demands if not largest.holds(item)}
    for worker in workers:
        is_any_known = True
        demands = {demand for demand in demands if not worker.total.holds(demand)}
        if not demands:
            return None
        ever_too_large = {item for item in ever_too_large if not worker.largest.holds(item)}
    if not is_any_known:
        return None
    return 0 if ever_too_large else RETRY_AFTER_MS
