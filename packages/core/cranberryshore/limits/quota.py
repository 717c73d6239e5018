"""Team quotas across all instances, enforced without a store call per task."""

import attrs


@attrs.define
class TeamQuotas:
    """Divides the quota of each team between the instances that use it.

    Every instance reports its demand to the peers of its zone, and one instance of each zone
    reports the sum over the zone to the other zones. The quota of a team is divided in
    proportion to the last reported demands. Between two reports the sum of the shares can
    exceed the quota by at most the change in demand during that time. The share of a silent
    peer stays reserved until the peer is considered dead, and that of an unreachable zone stays
    reserved.

    Parameters
    ----------
    limits : dict
        Quota by team, in concurrently running millicores across all zones.
    peers : dict
        Last reported demand by peer or other zone, and by team, in millicores.

    Examples
    --------
    >>> quotas = TeamQuotas({"letterers": 8000})
    >>> quotas.set_peer_demand("peer", {"letterers": 6000})
    >>> quotas.room("letterers", own_running=0, own_demand=2000)
    2000
    >>> quotas.room("unlimited", own_running=0, own_demand=10) is None
    True
    """

    limits: dict[str, int] = attrs.field(factory=dict)
    peers: dict[str, dict[str, int]] = attrs.field(factory=dict)

    def set_peer_demand(self, peer: str, demands: dict[str, int], is_whole: bool = True) -> None:
        """Set the demand of a peer by team, in running and waiting millicores.

        If ``is_whole`` is false, teams that are not listed keep their last reported demand.
        """
        held = {} if is_whole else self.peers.get(peer, {})
        merged = {**held, **demands}
        self.peers[peer] = {team: amount for team, amount in merged.items() if amount > 0}

    def drop_peer(self, peer: str) -> None:
        """Remove the demand of a dead peer."""
        self.peers.pop(peer, None)

    def room(self, team: str, own_running: int, own_demand: int) -> int | None:
        """Return how many more millicores the team may run here, ``None`` without a quota."""
        limit = self.limits.get(team)
        if limit is None:
            return None
        others = sum(demands.get(team, 0) for demands in self.peers.values())
        total = others + own_demand
        share = limit if total <= limit else limit * own_demand // max(total, 1)
        if total <= limit:
            # The quota covers the total demand, so this instance may use all that the others
            # do not need.
            share = limit - others
        return max(share - own_running, 0)
