"""Asking peers for room, lending to them, and returning what is no longer needed."""

from collections.abc import Iterable

import attrs

from cranberryshore.dispatch import effects as out
from cranberryshore.placement.shared_pool import Grant, SharedPool
from cranberryshore.work.capacity import NOTHING, Capacity

ASK_AGAIN_SECONDS = 0.5
LEAST_ASK_SECONDS = 0.002


@attrs.frozen
class Backlog:
    """What waits for room: the first demand in turn and how many copies wait in all."""

    demand: Capacity
    count: int


@attrs.define
class Lending:
    """Balances room between this instance and its peers after each input.

    An instance with a backlog asks its peers, recalls what it has lent, and lends nothing. An
    instance without one returns what it borrowed and serves the peers that have asked.
    """

    pool: SharedPool
    asked_at: float | None = None
    asked_left: int = 0

    def is_idle(self) -> bool:
        """Tell whether there is nothing to ask for, to return, to lend or to withdraw."""
        pool = self.pool
        return self.asked_at is None and not pool.borrowed_resources and not pool.loan_requests

    def balance(self, backlog: Backlog | None, now: float) -> list[out.Effect]:
        """Return the messages to peers that the present backlog calls for."""
        if backlog is not None:
            return self._seek(backlog, now)
        effects: list[out.Effect] = []
        if self.asked_at is not None:
            self.asked_at = None
            effects.append(out.AskPeers(NOTHING, 0))
        effects += self._give_back(only_recalled=False)
        for peer, grants in self.pool.grant_loan_requests(now).items():
            effects.append(out.LendTo(peer, tuple(grants)))
        return effects

    def _seek(self, backlog: Backlog, now: float) -> list[out.Effect]:
        effects = self._give_back(only_recalled=True)
        if self._is_ask_due(backlog, now):
            self.asked_at = now
            self.asked_left = backlog.count
            effects.append(out.AskPeers(backlog.demand, backlog.count))
        recalled = self.pool.recall_from_peers(backlog.demand, backlog.count)
        for peer, names in recalled.items():
            effects.append(out.RecallLoans(peer, frozenset(names)))
        return effects

    def on_granted(self, demand: Capacity, grants: Iterable[Grant]) -> None:
        """Count what peers have lent against what was asked for."""
        copies = sum(grant.amount.count_of(demand) for grant in grants)
        self.asked_left = max(self.asked_left - copies, 0)

    def _is_ask_due(self, backlog: Backlog, now: float) -> bool:
        if self.asked_at is None or now - self.asked_at >= ASK_AGAIN_SECONDS:
            return True
        return backlog.count > self.asked_left and now - self.asked_at >= LEAST_ASK_SECONDS

    def _give_back(self, only_recalled: bool) -> list[out.Effect]:
        grants = self.pool.give_back(only_recalled)
        return [out.GiveBack(tuple(grants))] if grants else []
