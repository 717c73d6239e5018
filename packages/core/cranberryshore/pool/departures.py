"""Whether a lost worker has left, as far as the registrations tell.

A worker that leaves announces it in its registration and ends with all its runs. If nobody reads
the announcement, the loss looks like a crash. While the platform's store answers, an announcement
is read within a second, and a worker that has crashed stays registered for some seconds. So a
worker has provably not left if the store has answered all the while from before the loss until a
second after it, and still lists the worker as not leaving then.
"""

from enum import Enum

import attrs

from cranberryshore.pool.crashes import Entry
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
    observed_since : float
        First answer of the store, in seconds.
    answering_since, answered_at : float
        First and latest answer without a gap in between.
    listing : WorkerListing or None
        Latest answer.
    """

    observed_since: float = float("inf")
    answering_since: float = float("inf")
    answered_at: float = float("-inf")
    listing: WorkerListing | None = None

    def record(self, listing: WorkerListing) -> None:
        """Record an answer of the store."""
        if listing.answered_at > self.answered_at + MAX_ANSWER_GAP_SECONDS:
            self.answering_since = listing.answered_at
        self.observed_since = min(self.observed_since, listing.answered_at)
        self.answered_at, self.listing = listing.answered_at, listing

    def is_answering(self, now: float) -> bool:
        """Return whether an announcement that a worker has made by now would be read."""
        is_recent = now <= self.answered_at + NOTICE_SECONDS
        return is_recent and self.answering_since <= now - NOTICE_SECONDS

    def judge(self, loss: Entry) -> Departure:
        """Return what the latest answer tells of the worker of a loss."""
        if self.listing is None:
            return Departure.UNDECIDED
        name, born = loss.lost.worker, loss.lost.born
        found = [entry for entry in self.listing.workers if entry.name == name]
        if not found or name in self.listing.missing or not found[0].is_of_start(born):
            return Departure.UNKNOWN
        if found[0].is_draining:
            return Departure.ANNOUNCED
        if not self._would_have_read_announcement(loss):
            return Departure.UNKNOWN
        if self.listing.confirmed_at < loss.lost_at + HIDDEN_CHANGE_SECONDS:
            return Departure.UNDECIDED
        return Departure.EXCLUDED

    def _would_have_read_announcement(self, loss: Entry) -> bool:
        if self.observed_since > loss.lost_at - NOTICE_SECONDS:
            # An earlier scheduler has noticed the loss.
            return loss.lost.was_store_answering
        return self.answering_since <= loss.lost_at - NOTICE_SECONDS
