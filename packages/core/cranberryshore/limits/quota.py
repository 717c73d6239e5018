"""Quotas of teams over all instances, without a store call per task."""

import attrs


@attrs.define
class QuotaBook:
    """Splits each team's quota between the instances that use it.

    Every instance reports its demand to the peers of its zone, and one instance of each zone the
    zone's sum to the other zones. The limit of an instance is the team's limit divided in
    proportion to the demands as last heard. Between two reports the sum of the limits can exceed
    the quota by at most what the demands have shifted in that time. Where a peer falls silent
    its share stays reserved until it is dead; that of a zone that is cut off stays reserved.

    Parameters
    ----------
    limits : dict
        Quota by team, in millicores running at once over the fleet.

    Examples
    --------
    >>> book = QuotaBook({"letterers": 8000})
    >>> book.hear("peer", {"letterers": 6000})
    >>> book.room("letterers", own_running=0, own_demand=2000)
    2000
    >>> book.room("unlimited", own_running=0, own_demand=10) is None
    True
    """

    limits: dict[str, int] = attrs.field(factory=dict)
    peers: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def hear(self, peer: str, demands: dict[str, int], is_whole: bool = True) -> None:
        """Record a peer's demand by team: millicores running and waiting."""
        held = {} if is_whole else self.peers.get(peer, {})
        merged = {**held, **demands}
        self.peers[peer] = {team: amount for team, amount in merged.items() if amount > 0}

    def drop_peer(self, peer: str) -> None:
        """Forget a dead peer."""
        self.peers.pop(peer, None)

    def room(self, team: str, own_running: int, own_demand: int) -> int | None:
        """Return how many more millicores the team may run here, or ``None`` if unlimited."""
        limit = self.limits.get(team)
        if limit is None:
            return None
        others = sum(demands.get(team, 0) for demands in self.peers.values())
        total = others + own_demand
        share = limit if total <= limit else limit * own_demand // max(total, 1)
        if total <= limit:
            # Nobody is short: what the others do not ask for is free to use.
            share = limit - others
        return max(share - own_running, 0)
