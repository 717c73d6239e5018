"""Division of a large pool: one scheduler for each availability zone instead of one for all.

At 97 instances, 270 workers and 600 jobs a second, one scheduler of all zones has little processor
left for bursts, and each fault of it, of its links or of its zone concerns the callers of all
zones: their jobs are handed over at the same moment. A zone has a fifth of the load and a fifth of
the workers, so its own scheduler has room for bursts, and a fault of it concerns its zone only. The
workers must be spread evenly for that, since a zone uses its own workers only.
"""

from collections import Counter
from collections.abc import Collection, Iterable

from cranberryshore.pool.worker_registration import WorkerRegistration

DIVIDED_GROUP_SIZE = 60
"""Number of registered instances from which a pool is divided. With 38 instances, one scheduler of
all zones carries the load."""

UNDIVIDED_GROUP_SIZE = 45
"""Number of registered instances below which a divided pool is not divided any more."""

MIN_ZONE_SHARE = 0.5
"""Smallest number of workers of a service in a zone, relative to the mean of the zones."""


def is_large(instance_count: int, zone_count: int, was_large: bool) -> bool:
    """Return whether a pool is large enough to be divided.

    Examples
    --------
    >>> is_large(97, 5, False), is_large(50, 5, False), is_large(50, 5, True), is_large(97, 1, True)
    (True, False, True, False)
    """
    limit = UNDIVIDED_GROUP_SIZE if was_large else DIVIDED_GROUP_SIZE
    return zone_count > 1 and instance_count >= limit


def is_uneven(zones: Collection[str], workers: Iterable[WorkerRegistration]) -> bool:
    """Return whether some zone has too few workers of a service for a scheduler of its own.

    Examples
    --------
    >>> from cranberryshore.work import Capacity
    >>> zones = "ababababa"
    >>> workers = [WorkerRegistration(f"w{z}", "", z, "s", Capacity(), born=1) for z in zones]
    >>> is_uneven({"a", "b"}, workers), is_uneven({"a", "b", "c"}, workers), is_uneven({"a"}, [])
    (False, True, True)
    """
    counts = Counter((worker.service, worker.zone) for worker in workers)
    totals = Counter()
    for (service, _), count in counts.items():
        totals[service] += count
    if not totals:
        return True
    return any(
        counts[service, zone] < MIN_ZONE_SHARE * total / len(zones)
        for service, total in totals.items()
        for zone in zones
    )


def is_without_workers(zone: str, workers: Collection[WorkerRegistration]) -> bool:
    """Return whether a service has workers in other zones only."""
    services = {worker.service for worker in workers}
    return services > {worker.service for worker in workers if worker.zone == zone}
