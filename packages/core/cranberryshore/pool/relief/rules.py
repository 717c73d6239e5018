"""How a scheduler whose event loop lags is relieved: by a stronger instance, or by division.

Load pattern: metastable overload. At 430 jobs and 1,500 starts a second, the scheduler of a pool of
176 workers falls behind, or a weak instance has taken over from it while the store did not answer.
Work for late and repeated submissions then keeps it overloaded after the burst has ended. A claim
that needs more processor than the instance has must move or be divided; refusing jobs does not help
while workers are idle.
"""

from collections import Counter
from collections.abc import Collection, Iterable

from cranberryshore.pool.claims import Member, MemberAddress
from cranberryshore.pool.store_access import MAX_ANSWER_AGE_SECONDS
from cranberryshore.pool.worker_registration import WorkerRegistration

MIN_STRENGTH_RATIO = 1.5
"""Processor capacity of another instance, relative to that of the scheduler, from which a change of
scheduler is worth its interruption of about half a second."""

MIN_ZONE_WORKERS = 40
"""Number of workers of a service that each zone must have: a job has up to 32 tasks, and two or
three fit on a worker, so a smaller zone could not start two jobs side by side."""

MIN_ZONE_STRENGTH = 0.5
"""Processor capacity of the strongest instance of each zone, relative to that of the scheduler of
all zones. With less, its part of the workers would overload it as well."""


def find_stronger_instance(
    own: MemberAddress, successors: Iterable[Member], now: float
) -> Member | None:
    """Return the instance that should schedule instead of an overloaded one, if there is one.

    Only an instance that the store answers can read the registrations of the workers.

    Examples
    --------
    >>> weak, strong = MemberAddress("a.1", "1", "z", 500), MemberAddress("b.1", "2", "z", 2000)
    >>> peer = Member(strong, store_answered_at=9.5)
    >>> find_stronger_instance(weak, [peer], 10.0) is peer
    True
    >>> find_stronger_instance(weak, [peer], 20.0) is None
    True
    """
    stronger = [
        member
        for member in successors
        if member.at.millicores >= MIN_STRENGTH_RATIO * own.millicores
        and now - member.store_answered_at <= MAX_ANSWER_AGE_SECONDS
    ]
    return min(stronger, key=lambda member: member.at.rank(), default=None)


def can_divide(
    own: MemberAddress,
    members: Collection[MemberAddress],
    workers: Iterable[WorkerRegistration],
) -> bool:
    """Return whether each zone has the workers and the processor for a scheduler of its own.

    Parameters
    ----------
    own : MemberAddress
        Overloaded scheduler of all zones.
    members : collection of MemberAddress
        Live instances, with the scheduler or without it.
    workers : iterable of WorkerRegistration
        Workers of all zones.
    """
    strongest = {own.zone: own.millicores}
    for member in members:
        strongest[member.zone] = max(strongest.get(member.zone, 0), member.millicores)
    counts = Counter((worker.service, worker.zone) for worker in workers)
    services = {service for service, _ in counts}
    zones = set(strongest) | {zone for _, zone in counts}
    if len(zones) < 2 or not services:
        return False
    return all(
        strongest.get(zone, 0) >= MIN_ZONE_STRENGTH * own.millicores
        and all(counts[service, zone] >= MIN_ZONE_WORKERS for service in services)
        for zone in zones
    )
