"""Exchange of the teams' demands, from which each instance computes its share of the quotas."""

import asyncio

import attrs

from cranberryshore.dispatch import PeerDemand
from cranberryshore.messages import Demands
from cranberryshored.jobs import JobRouter, JobService
from cranberryshored.peers import MembershipService, Transport
from cranberryshored.tasks import cancel_tasks

SEND_INTERVAL_SECONDS = 0.5
FULL_UPDATE_PERIODS = 20
MIN_RELATIVE_CHANGE = 0.05
ZONE_PREFIX = "zone:"
RECIPIENTS_PER_ZONE = 2


@attrs.define(eq=False)
class QuotaExchange:
    """Sends the demand, in millicores, of the teams with a quota to the peers and other zones.

    A message holds only the teams whose demand has changed by more than ``MIN_RELATIVE_CHANGE``;
    every ``FULL_UPDATE_PERIODS`` periods it holds all teams. Within an availability zone, every
    instance sends to every peer. Between zones, the live instance with the lowest incarnation
    sends the sum of its zone to two instances of each other zone, which relay it to their peers.
    """

    jobs: JobService
    membership: MembershipService
    transport: Transport
    router: JobRouter
    last_sent: dict[str, dict[str, int]] = attrs.field(factory=dict)
    periods: int = 0
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start sending."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending."""
        await cancel_tasks([self.task])

    def on_demands(self, message: Demands) -> None:
        """Handle demands from a peer or another zone; relay those of another zone to the peers."""
        own_zone = self.membership.settings.zone
        self.jobs.handle(PeerDemand(message.source, message.changed, message.is_whole))
        is_unrelayed_zone_sum = message.source.startswith(ZONE_PREFIX) and not message.relayed_by
        if is_unrelayed_zone_sum and message.source != ZONE_PREFIX + own_zone:
            relayed = attrs.evolve(message, relayed_by=str(self.membership.table.own))
            self._send_to_peers(relayed)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SEND_INTERVAL_SECONDS)
            self.periods += 1
            own = str(self.membership.table.own)
            message = self._next_message(own, self._own_demands())
            if message is not None:
                self._send_to_peers(message)
            if self._represents_zone():
                self._send_to_zones()

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

    def _represents_zone(self) -> bool:
        own = self.membership.table.own
        return all(own < peer.incarnation for peer in self.membership.table.live())

    def _send_to_zones(self) -> None:
        source = ZONE_PREFIX + self.membership.settings.zone
        message = self._next_message(source, self._zone_demands())
        if message is None:
            return
        for addresses in self.router.other_zones.values():
            for address in addresses[:RECIPIENTS_PER_ZONE]:
                self.transport.send(address, "", message)

    def _send_to_peers(self, message: Demands) -> None:
        for peer in self.membership.table.live():
            self.transport.send(peer.address, str(peer.incarnation), message)

    def _next_message(self, source: str, demands: dict[str, int]) -> Demands | None:
        """Return the changes since the last message, or a periodic full update."""
        if self.periods % FULL_UPDATE_PERIODS == 0:
            last_sent = self.last_sent.get(source, {})
            self.last_sent[source] = demands
            is_known_idle = not demands and not last_sent
            return None if is_known_idle else Demands(source, demands, is_whole=True)
        last_sent = self.last_sent.setdefault(source, {})
        changed = {}
        for team in demands.keys() | last_sent.keys():
            before, now = last_sent.get(team, 0), demands.get(team, 0)
            if abs(now - before) > MIN_RELATIVE_CHANGE * max(before, 1):
                changed[team] = now
        last_sent.update(changed)
        return Demands(source, changed, is_whole=False) if changed else None
