"""Whether a lost worker has left, as far as the registrations tell.

A worker that leaves announces it in its registration and ends with all its runs. If nobody reads
the announcement, the loss looks like a crash. While the platform's store answers, an announcement
is read within a second, and a worker that has crashed stays registered for some seconds. So a
worker has provably not left if the store has answered all the while from before the loss until a
second after it, and still lists the worker as not leaving then.
"""

from enum import Enum

import attrs

from cranberryshore.pool.worker_registration import WorkerListing

MAX_ANSWER_GAP_SECONDS = 1.3
"""Time between two answers of the store from which an announcement may have been lost in between:
watches wait for 1 s, and changes are batched for 0.3 s."""

NOTICE_SECONDS = 0.5
"""Shortest time between the announcement of a worker and its end."""

HIDDEN_CHANGE_SECONDS = 1.0
"""Time for which the store may answer without the latest changes."""


class Departure(Enum):
    """What the registrations tell of a lost worker."""

    UNDECIDED = "undecided"
    EXCLUDED = "registered"
    ANNOUNCED = "left"
    UNKNOWN = "unknown"


@attrs.define
class DepartureCheck:
    """The latest listing of the workers, and since when the store has answered all the while.

    Parameters
    ----------
    answering_since, answered_at : float
        First and latest answer of the store without a gap in between, in seconds.
    listing : WorkerListing or None
        Latest answer.
    """

    answering_since: float = float("inf")
    answered_at: float = float("-inf")
    listing: WorkerListing | None = None

    def record(self, listing: WorkerListing) -> None:
        """Record an answer of the store."""
        if listing.answered_at > self.answered_at + MAX_ANSWER_GAP_SECONDS:
            self.answering_since = listing.answered_at
        self.answered_at, self.listing = listing.answered_at, listing

    def judge(self, worker: str, born: int, lost_at: float) -> Departure:
        """Return what the latest answer tells of a worker that was lost at a time."""
        if self.listing is None:
            return Departure.UNDECIDED
        found = [entry for entry in self.listing.workers if entry.name == worker]
        if not found or worker in self.listing.missing or not found[0].is_of_start(born):
            return Departure.UNKNOWN
        if found[0].is_draining:
            return Departure.ANNOUNCED
        if self.answering_since > lost_at - NOTICE_SECONDS:
            return Departure.UNKNOWN
        if self.listing.confirmed_at < lost_at + HIDDEN_CHANGE_SECONDS:
            return Departure.UNDECIDED
        return Departure.EXCLUDED
