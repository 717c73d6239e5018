"""Which instance schedules when the platform's store answers some instances only.

Only the scheduler reads the registrations of the workers. If the store rejects it while it serves
others, the scheduler does not learn that a worker has less capacity or leaves, and goes on with old
registrations. It hands its claim to an instance that the store answers. If the store answers no
instance, or none in a zone that is cut off, the scheduler goes on.

A rejection often strikes several instances at once, so the next scheduler may be rejected, too. It
begins with the registrations that the former one has read, and hands over as soon as the store has
not answered it either.
"""

from collections.abc import Iterable

import attrs

from cranberryshore.pool.claims import Member

MAX_LISTING_AGE_SECONDS = 2.5
"""Age of the registrations from which a scheduler hands over, if it can: with the time to claim and
to read, less than the 4.5 s after which a smaller capacity must be known."""

MAX_ANSWER_AGE_SECONDS = 1.5
"""Time since the store has answered an instance up to which it is expected to answer again: each
instance waits up to 1 s for changes of the configuration."""


@attrs.frozen
class StoreContact:
    """When the store has last answered a scheduler; all times in seconds.

    Parameters
    ----------
    listing_age : float
        Time since the registrations were read that it uses, by itself or by a former scheduler.
    answer_age : float
        Time since the store has answered this instance; infinite if it has not.
    page_age : float
        Time since the store has answered this instance with a part of the registrations, or since
        it has claimed the workers.
    """

    listing_age: float
    answer_age: float
    page_age: float

    def is_lost(self) -> bool:
        """Return whether an instance that the store answers should schedule.

        A new scheduler that the store answers reads the registrations page by page.

        Examples
        --------
        >>> StoreContact(listing_age=3.0, answer_age=0.2, page_age=0.1).is_lost()
        False
        >>> StoreContact(listing_age=3.0, answer_age=2.0, page_age=0.1).is_lost()
        True
        """
        if self.listing_age <= MAX_LISTING_AGE_SECONDS:
            return False
        is_rejected = self.answer_age > MAX_ANSWER_AGE_SECONDS
        return is_rejected or self.page_age > MAX_LISTING_AGE_SECONDS


def find_reader(successors: Iterable[Member], contact: StoreContact, now: float) -> Member | None:
    """Return the instance to which a scheduler hands its claim, ``None`` to keep it.

    Parameters
    ----------
    successors : iterable of Member
        Instances that may schedule the same workers.
    contact : StoreContact
        Contact of this scheduler with the store.
    now : float
        Present time, in seconds.
    """
    if not contact.is_lost():
        return None
    readers = [
        member for member in successors if now - member.store_answered_at <= MAX_ANSWER_AGE_SECONDS
    ]
    return min(readers, key=lambda member: member.at.rank(), default=None)
