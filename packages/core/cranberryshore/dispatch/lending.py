"""Borrowing capacity of workers and upstreams from peers, lending it and returning it."""

from collections.abc import Iterable

import attrs

from cranberryshore.dispatch import effects as out
from cranberryshore.placement.shared_pool import Grant, SharedPool
from cranberryshore.work.capacity import ZERO_CAPACITY, Capacity

REQUEST_REPEAT_SECONDS = 0.5
MIN_REQUEST_INTERVAL_SECONDS = 0.002
PAUSE_THRESHOLD_SECONDS = 0.5
"""Time without any input, not even a tick, after which the process counts as paused."""


@attrs.frozen
class Backlog:
    """The first demand that could not be placed, and the number of all waiting items."""

    demand: Capacity
    count: int


@attrs.define
class LoanBalancer:
    """Balances capacity between this instance and its peers after each input.

    An instance with a backlog requests loans, recalls what it has lent, and lends nothing; one
    without returns what it has borrowed and serves the requests of its peers.

    Parameters
    ----------
    pool : SharedPool
        Workers or upstreams of the zone.
    requested_at : float or None
        Time of the last loan request, or ``None`` if none is open.
    outstanding_count : int
        Requested copies of the demand not granted yet.
    checked_at : float or None
        Time of the last check for a pause of this process.
    """

    pool: SharedPool
    requested_at: float | None = None
    outstanding_count: int = 0
    checked_at: float | None = None

    def is_idle(self) -> bool:
        """Return whether there is no open request, no borrowed capacity and no peer to serve."""
        pool = self.pool
        return self.requested_at is None and not pool.borrowed_resources and not pool.loan_requests

    def check_pause(self, now: float) -> list[out.Effect]:
        """After a pause of this process, place nothing more on loans, and report those in use.

        The lenders may have counted this instance as dead and its loans as free.
        """
        gap = 0.0 if self.checked_at is None else now - self.checked_at
        self.checked_at = now
        if gap <= PAUSE_THRESHOLD_SECONDS:
            return []
        self.pool.recall(self.pool.borrowed_resources)
        effects = self._return_borrowed(only_recalled=True)
        held = self.pool.held_loans()
        return [*effects, out.ReportHeldLoans(tuple(held))] if held else effects

    def balance(self, backlog: Backlog | None, now: float) -> list[out.Effect]:
        """Return the effects that the current backlog requires."""
        if backlog is not None:
            return self._request_loans(backlog, now)
        effects: list[out.Effect] = []
        if self.requested_at is not None:
            self.requested_at = None
            effects.append(out.RequestLoans(ZERO_CAPACITY, 0))
        effects += self._return_borrowed(only_recalled=False)
        for peer, grants in self.pool.grant_loan_requests(now).items():
            effects.append(out.GrantLoans(peer, tuple(grants)))
        return effects

    def _request_loans(self, backlog: Backlog, now: float) -> list[out.Effect]:
        effects = self._return_borrowed(only_recalled=True)
        if self._is_request_due(backlog, now):
            self.requested_at = now
            self.outstanding_count = backlog.count
            effects.append(out.RequestLoans(backlog.demand, backlog.count))
        recalled = self.pool.recall_from_peers(backlog.demand, backlog.count)
        for peer, names in recalled.items():
            effects.append(out.RecallLoans(peer, frozenset(names)))
        return effects

    def on_granted(self, demand: Capacity, grants: Iterable[Grant]) -> None:
        """Subtract granted loans from the outstanding request."""
        copies = sum(grant.amount.max_copies(demand) for grant in grants)
        self.outstanding_count = max(self.outstanding_count - copies, 0)

    def _is_request_due(self, backlog: Backlog, now: float) -> bool:
        if self.requested_at is None or now - self.requested_at >= REQUEST_REPEAT_SECONDS:
            return True
        return (
            backlog.count > self.outstanding_count
            and now - self.requested_at >= MIN_REQUEST_INTERVAL_SECONDS
        )

    def _return_borrowed(self, only_recalled: bool) -> list[out.Effect]:
        grants = self.pool.give_back(only_recalled)
        return [out.ReturnLoans(tuple(grants))] if grants else []
