"""Records and metrics of failed runs, lost workers, uneven workers and interfering queues."""

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import (
    Departure,
    InterferenceChanged,
    SpeedsChanged,
    UnsuccessfulRun,
    WorkerLossJudged,
    WorkerLost,
)
from cranberryshored.metrics import Metrics

DEPARTURE_SENTENCES = {
    Departure.EXCLUDED: "Lost worker is still registered; if its process has ended, it crashed.",
    Departure.ANNOUNCED: "Lost worker had announced that it leaves; its loss counts for no task.",
    Departure.UNKNOWN: "Store does not tell whether a lost worker has left; its loss is no crash.",
}

SPEED_SENTENCES = {
    True: "Workers differ in speed; tasks are placed by it.",
    False: "Workers do not differ in speed any more; tasks are placed as on equal ones.",
}


def log_unsuccessful_run(
    lost: UnsuccessfulRun, log: FilteringBoundLogger, metrics: Metrics
) -> None:
    """Log and count a run that has not ended well."""
    metrics.wasted_messages.labels(f"run_{lost.kind.value}").inc()
    log.info(
        "Run did not end well.",
        job=lost.key[0].partition(".")[0],
        task=lost.key[0],
        attempt=lost.key[1],
        worker=lost.worker,
        kind=lost.kind.value,
        ran_ms=lost.ran_ms,
    )


def log_lost_worker(lost: WorkerLost, log: FilteringBoundLogger, metrics: Metrics) -> None:
    """Log and count a worker that was lost with its runs."""
    metrics.lost_workers.labels(lost.state.value).inc()
    log.warning(
        "Worker was lost with its runs.",
        worker=lost.worker,
        crash=lost.state.value,
        silent_ms=lost.silent_ms,
        runs=[f"{task}/{attempt}" for task, attempt in lost.running],
        possible_runs=[f"{task}/{attempt}" for task, attempt in lost.possible],
        lapsed_runs=[f"{task}/{attempt}" for task, attempt in lost.lapsed],
    )


def log_judged_loss(judged: WorkerLossJudged, log: FilteringBoundLogger, metrics: Metrics) -> None:
    """Log and count what the registrations tell of a lost worker."""
    metrics.judged_losses.labels(judged.departure.value).inc()
    log.info(DEPARTURE_SENTENCES[judged.departure], worker=judged.worker)


def log_changed_speeds(change: SpeedsChanged, log: FilteringBoundLogger, metrics: Metrics) -> None:
    """Log and count whether workers of a service differ in speed."""
    metrics.uneven_workers.labels(change.service).set(change.workers if change.is_uneven else 0)
    log.info(SPEED_SENTENCES[change.is_uneven], **attrs.asdict(change))


def log_interference(
    change: InterferenceChanged, log: FilteringBoundLogger, metrics: Metrics
) -> None:
    """Log and count the pairs of queues that slow each other down."""
    metrics.interfering_pairs.set(len(change.slowdowns))
    log.info("Pairs of queues that slow each other down have changed.", slowdowns=change.slowdowns)
