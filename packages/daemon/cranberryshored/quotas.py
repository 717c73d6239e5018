"""Exchange of the teams' demands, from which each instance works out its share of the quotas."""

import asyncio

import attrs

from cranberryshore.dispatch import PeerDemand
from cranberryshore.messages import Demands
from cranberryshored.jobs import JobRouter, JobService
from cranberryshored.peers import MembershipService, Transport
from cranberryshored.tasks import cancel_tasks

PERIOD_SECONDS = 0.5
WHOLE_PERIODS = 20
LEAST_CHANGE = 0.05
ZONE_PREFIX = "zone:"
ADDRESSES_PER_ZONE = 2


@attrs.define(eq=False)
class QuotaExchange:
    """Tells peers and other zones the demand of the teams that have a quota.

    Only teams whose demand has changed by more than ``LEAST_CHANGE`` are named, and all of them
    now and then. Within the zone every instance tells every peer. Between zones the first live
    instance of a zone tells the zone's sum to two instances of each other zone, which pass it on
    to their peers.
    """

    jobs: JobService
    membership: MembershipService
    transport: Transport
    router: JobRouter
    told: dict[str, dict[str, int]] = attrs.field(factory=dict)
    periods: int = 0
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to tell."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop telling."""
        await cancel_tasks([self.task])

    def on_demands(self, message: Demands) -> None:
        """Take what a peer or another zone tells; pass on what came from another zone."""
        own_zone = self.membership.settings.zone
        self.jobs.handle(PeerDemand(message.source, message.changed, message.is_whole))
        is_from_elsewhere = message.source.startswith(ZONE_PREFIX) and not message.relayed_by
        if is_from_elsewhere and message.source != ZONE_PREFIX + own_zone:
            relayed = attrs.evolve(message, relayed_by=str(self.membership.table.own))
            self._tell_peers(relayed)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_SECONDS)
            self.periods += 1
            own = str(self.membership.table.own)
            message = self._news(own, self._own_demands())
            if message is not None:
                self._tell_peers(message)
            if self._speaks_for_zone():
                self._tell_zones()

    def _own_demands(self) -> dict[str, int]:
        limited = self.jobs.dispatcher.quotas.limits
        demands = self.jobs.dispatcher.demands()
        return {team: amount for team, amount in demands.items() if team in limited}

    def _zone_demands(self) -> dict[str, int]:
        total = dict(self._own_demands())
        for peer, demands in self.jobs.dispatcher.quotas.peers.items():
            if not peer.startswith(ZONE_PREFIX):
                for team, amount in demands.items():
                    total[team] = total.get(team, 0) + amount
        return total

    def _speaks_for_zone(self) -> bool:
        own = self.membership.table.own
        return all(own < peer.incarnation for peer in self.membership.table.live())

    def _tell_zones(self) -> None:
        source = ZONE_PREFIX + self.membership.settings.zone
        message = self._news(source, self._zone_demands())
        if message is None:
            return
        for addresses in self.router.other_zones.values():
            for address in addresses[:ADDRESSES_PER_ZONE]:
                self.transport.send(address, "", message)

    def _tell_peers(self, message: Demands) -> None:
        for peer in self.membership.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def _news(self, source: str, demands: dict[str, int]) -> Demands | None:
        """Return what is new since the last time, or everything now and then."""
        if self.periods % WHOLE_PERIODS == 0:
            told = self.told.get(source, {})
            self.told[source] = demands
            is_known_idle = not demands and not told
            return None if is_known_idle else Demands(source, demands, is_whole=True)
        told = self.told.setdefault(source, {})
        changed = {}
        for team in demands.keys() | told.keys():
            before, now = told.get(team, 0), demands.get(team, 0)
            if abs(now - before) > LEAST_CHANGE * max(before, 1):
                changed[team] = now
        told.update(changed)
        return Demands(source, changed, is_whole=False) if changed else None
