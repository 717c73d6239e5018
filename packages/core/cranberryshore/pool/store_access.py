"""Which instance schedules when the platform's store answers some instances only.

Only the scheduler reads the registrations of the workers. If the store rejects it while it serves
others, the scheduler does not learn that a worker has less capacity or leaves, and goes on with old
registrations. It hands its claim to an instance that the store answers. If the store answers no
instance, or none in a zone that is cut off, the scheduler goes on.
"""

from collections.abc import Iterable

from cranberryshore.pool.claims import Member

MAX_LISTING_AGE_SECONDS = 2.5
"""Age of the registrations from which a scheduler hands over, if it can: with the time to claim and
to read, less than the 4.5 s after which a smaller capacity must be known."""

MAX_ANSWER_AGE_SECONDS = 1.5
"""Time since the store has answered an instance up to which it is expected to answer again: each
instance waits up to 1 s for changes of the configuration."""


def find_reader(successors: Iterable[Member], listing_age: float, now: float) -> Member | None:
    """Return the instance to which a scheduler hands its claim, ``None`` to keep it.

    Parameters
    ----------
    successors : iterable of Member
        Instances that may schedule the same workers.
    listing_age : float
        Time since the store has answered this scheduler with the registrations, in seconds.
    now : float
        Present time, in seconds.
    """
    if listing_age <= MAX_LISTING_AGE_SECONDS:
        return None
    readers = [
        member for member in successors if now - member.store_answered_at <= MAX_ANSWER_AGE_SECONDS
    ]
    return min(readers, key=lambda member: member.at.rank(), default=None)
