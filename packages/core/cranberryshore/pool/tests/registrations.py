import attrs

from cranberryshore.pool import HeldWorker, Scheduler, WorkerRegistration


def registration_of(worker: HeldWorker, **changes) -> WorkerRegistration:
    """Return the registration that the present start of a held worker has written."""
    entry = WorkerRegistration(
        worker.name,
        worker.address,
        worker.zone,
        worker.service,
        worker.total,
        labels=tuple(sorted(worker.labels)),
        rack=worker.rack,
        born=worker.born,
    )
    return attrs.evolve(entry, **changes)


def relist(scheduler: Scheduler, name: str, **changes) -> None:
    """Let a held worker register with changes."""
    scheduler.relist(registration_of(scheduler.workers[name], **changes))
