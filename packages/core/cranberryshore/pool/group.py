"""Leader election: each instance decides from heartbeats which instance schedules a pool.

One scheduler holds all workers that it can reach. When its heartbeats stop, the best-ranked
instance among those that receive heartbeats from a leaderless majority claims the pool; followers
of a reachable scheduler of one zone count as leaderless. An instance in a minority that reaches
most of its own availability zone claims only the workers of that zone, since the zone may be
partitioned. An instance that receives no heartbeats, or only heartbeats of followers of a scheduler
it cannot reach, claims nothing: taking workers away from a scheduler that others reach would
disrupt the pool. In a large pool, which is divided, each availability zone has a scheduler of its
own. Conflicting claims are resolved by the scope and the number of workers held.
Safety does not depend on the election: workers obey only the highest fencing token.
"""

from collections.abc import Collection

import attrs

from cranberryshore.pool import division
from cranberryshore.pool.claims import Claim, Member, MemberAddress
from cranberryshore.pool.store_access import StoreContact, find_reader
from cranberryshore.pool.worker_registration import WorkerRegistration

PEER_TIMEOUT_SECONDS = 0.5
"""Time without heartbeats after which a peer is down: three intervals of 0.15 s plus delay."""

MEMBER_EXPIRY_SECONDS = 8.0
"""Time after which a silent peer is removed.

Until then it counts as a member in majorities, unless its registration with the platform ends.
"""

STARTUP_DELAY_SECONDS = 0.6
"""Time after startup without claims, long enough to receive three scheduler heartbeats."""

CLAIM_DELAY_SECONDS = 0.1
"""Delay before the best-ranked instance claims, so that a claim in transit can arrive."""

RANK_DELAY_SECONDS = 0.3
"""Additional delay for each better-ranked live instance, which should claim first."""

SMALL_GROUP_SIZE = 48
"""Number of members up to which an instance without a scheduler sends heartbeats to all of them."""

CANDIDATE_COUNT = 8
"""Number of best-ranked members that get the heartbeats in a larger group."""

ZONE_CANDIDATE_COUNT = 4
"""Number of best-ranked members of the own zone that get them too, since it may be cut off."""

OTHERS_PER_ROUND = 2
"""Number of further members that get them in each round, in turn, so that all are discovered."""

FENCED_BACKOFF_SECONDS = 4.0
"""Time without claims after an instance has lost its workers to another scheduler."""


@attrs.define(eq=False)
class Group:
    """Membership and leader election of a pool, as one instance sees them.

    Parameters
    ----------
    listed : frozenset of str or None
        Addresses registered with the platform; ``None`` if unknown.
    unregistered : frozenset of str
        Members that were known and not registered when these addresses were read.
    listed_at : float
        Time at which the platform was asked for them.
    page_read_at : float
        Time at which the store has last answered this instance with a part of the registrations;
        that of its latest claim, if it has not since.
    listing_read_at : float
        Time at which the registrations of the workers were read that this instance knows, by itself
        or by the scheduler that it follows.
    is_large, is_overloaded, is_uneven : bool
        Whether the pool is large, one scheduler was overloaded, and some zone has too few workers.
    evacuated : frozenset of str
        Evacuated zones, whose workers do not count.
    """

    own: MemberAddress
    started_at: float
    members: dict[str, Member] = attrs.field(factory=dict)
    claim: Claim | None = None
    is_draining: bool = False
    leaderless_since: float | None = None
    fenced_until: float = float("-inf")
    listed: frozenset[str] | None = None
    unregistered: frozenset[str] = frozenset()
    listed_at: float = float("-inf")
    page_read_at: float = float("-inf")
    listing_read_at: float = float("-inf")
    is_large: bool = False
    is_overloaded: bool = False
    is_uneven: bool = False
    evacuated: frozenset[str] = frozenset()

    @property
    def is_divided(self) -> bool:
        """Return whether each availability zone should have a scheduler of its own."""
        return (self.is_large or self.is_overloaded) and not self.is_uneven

    def is_replaced(self, sender: MemberAddress, now: float) -> bool:
        """Return whether a live peer is a later incarnation at the address of a sender.

        The message of the sender was delayed. A peer that is not live may be an earlier one, if the
        clock of its machine was set back.
        """
        return any(
            member.at.address == sender.address
            and member.at.started_at_ms() > sender.started_at_ms()
            for member in self.live(now)
        )

    def record_contact(self, sender: MemberAddress, now: float) -> Member:
        """Record contact with a peer; a new incarnation at an address replaces the old one.

        ``sender`` must be another instance: the caller drops messages that an instance sends to its
        own address, under which a previous incarnation was registered.
        """
        for incarnation, member in list(self.members.items()):
            if member.at.address == sender.address and incarnation != sender.incarnation:
                del self.members[incarnation]
        member = self.members.get(sender.incarnation)
        if member is None:
            member = self.members[sender.incarnation] = Member(sender)
        member.heard_at = now
        return member

    def list_members(self, listed: tuple[MemberAddress, ...]) -> None:
        """Set the addresses of the instances that are registered with the platform."""
        self.listed = frozenset(item.address for item in listed)
        self.unregistered = frozenset(
            name for name, member in self.members.items() if member.at.address not in self.listed
        )
        zones = {item.zone for item in listed}
        self.is_large = division.is_large(len(self.listed), len(zones), self.is_large)

    def learn_division(self, claim: Claim) -> None:
        """Record from the claim of a peer whether the pool is divided.

        Followers read neither the list of registered instances nor that of the workers.
        """
        self.is_overloaded |= claim.is_overloaded
        if claim.is_uneven:
            self.is_uneven = True
        elif claim.is_divided:
            self.is_large = True
        elif not claim.zone:
            self.is_uneven = False

    def add_reported_member(self, item: MemberAddress, now: float) -> None:
        """Add a peer that a scheduler or the platform lists, unless its address is known."""
        if item.address == self.own.address:
            return
        if item.incarnation in self.members:
            self.members[item.incarnation].listed_at = now
            return
        if any(member.at.address == item.address for member in self.members.values()):
            return
        self.members[item.incarnation] = Member(item, listed_at=now)

    def remove_expired_members(self, now: float) -> list[Member]:
        """Remove and return the members that have been silent for too long."""
        silent = [
            member
            for member in self.members.values()
            if max(member.heard_at, member.listed_at) < now - MEMBER_EXPIRY_SECONDS
        ]
        for member in silent:
            del self.members[member.at.incarnation]
        return silent

    def live(self, now: float) -> list[Member]:
        """Return the members that were heard within the peer timeout."""
        return [
            member
            for member in self.members.values()
            if now - member.heard_at < PEER_TIMEOUT_SECONDS
        ]

    def scheduler(self, now: float) -> Member | None:
        """Return the live peer with the strongest claim that covers the zone of this instance."""
        claimed = [
            member
            for member in self.live(now)
            if member.claim is not None and member.claim.zone in ("", self.own.zone)
        ]
        return max(
            claimed, key=lambda member: member.claim.precedence(self.is_divided), default=None
        )

    def possible_schedulers(self, since: float, round_number: int, now: float) -> list[Member]:
        """Return the members that an instance without a scheduler sends heartbeats to.

        When a scheduler of a hundred instances is lost, heartbeats between all of them would take
        half of the processor of a small one. Only an instance that hears most others can claim, so
        it is enough that all send theirs to the same few: the best-ranked ones that respond.

        Parameters
        ----------
        since : float
            Time since which this instance has had no scheduler, in seconds.
        round_number : int
            Number of the round of heartbeats.
        now : float
            Present time, in seconds.
        """
        members = sorted(self.members.values(), key=lambda member: member.at.rank())
        if len(members) <= SMALL_GROUP_SIZE:
            return members
        candidates = [member for member in members if self._may_respond(member, since, now)]
        in_zone = [member for member in candidates if member.at.zone == self.own.zone]
        chosen = {
            member.at.incarnation: member
            for member in (
                *candidates[:CANDIDATE_COUNT],
                *in_zone[:ZONE_CANDIDATE_COUNT],
                *(member for member in members if member.claim is not None),
            )
        }
        first = round_number * OTHERS_PER_ROUND
        for number in range(first, first + OTHERS_PER_ROUND):
            member = members[number % len(members)]
            chosen[member.at.incarnation] = member
        return list(chosen.values())

    @staticmethod
    def _may_respond(member: Member, since: float, now: float) -> bool:
        """Return whether a member has responded, or has not had the time to respond."""
        latest = max(member.heard_at, member.listed_at, since)
        return not member.is_draining and now - latest < PEER_TIMEOUT_SECONDS

    def must_yield(self, now: float) -> bool:
        """Return whether a peer has a stronger claim than this instance."""
        if self.claim is None:
            return False
        competitor = self.scheduler(now)
        if competitor is None:
            return False
        own = self.claim.precedence(self.is_divided)
        return competitor.claim.precedence(self.is_divided) > own

    def next_claim(self, now: float) -> Claim | None:
        """Return the claim, with term 0, that this instance should make now, or ``None``."""
        earliest = self.fenced_until
        if not self._has_leaderless_majority(now):
            earliest = max(earliest, self.started_at + STARTUP_DELAY_SECONDS)
        if self.claim is not None or self.is_draining or now < earliest:
            self.leaderless_since = None
            return None
        if self.scheduler(now) is not None:
            self.leaderless_since = None
            return None
        if self.leaderless_since is None:
            self.leaderless_since = now
        reachable = self.possible_successors(now)
        if self.evacuated:
            # Schedulers of other zones keep their claims until one of all zones is stronger.
            reachable = [member for member in reachable if member.claim is None]
        better_ranked_count = sum(member.at.rank() < self.own.rank() for member in reachable)
        if (
            now
            < self.leaderless_since + CLAIM_DELAY_SECONDS + better_ranked_count * RANK_DELAY_SECONDS
        ):
            return None
        return self._widest_claim(now)

    def successor(self, now: float) -> Member | None:
        """Return the peer that should become scheduler when this instance leaves."""
        return min(self.possible_successors(now), key=lambda member: member.at.rank(), default=None)

    def record_claim(self, claim: Claim, now: float) -> None:
        """Record that this instance claims workers, by the registrations that it knows."""
        self.claim, self.page_read_at = claim, now
        if self.listing_read_at == float("-inf"):
            self.listing_read_at = now

    def reader(self, answer_age: float | None, now: float) -> Member | None:
        """Return the peer that should schedule since it can read the workers' registrations.

        ``answer_age`` is the time since the store has answered this instance, in seconds; ``None``
        if it has not.
        """
        if self.claim is None or (self.claim.zone and not self.claim.is_divided):
            return None
        contact = StoreContact(
            now - self.listing_read_at,
            float("inf") if answer_age is None else answer_age,
            now - self.page_read_at,
        )
        return find_reader(self._untried_successors(now), contact, now)

    def _untried_successors(self, now: float) -> list[Member]:
        """Return the possible successors that have not handed over since the latest reading.

        The others could not read the registrations either.
        """
        return [
            member
            for member in self.possible_successors(now)
            if member.handed_over_at <= self.listing_read_at
        ]

    def possible_successors(self, now: float) -> list[Member]:
        """Return the live peers that may schedule what this instance may schedule."""
        return [
            member
            for member in self.live(now)
            if not member.is_draining and (not self.is_divided or member.at.zone == self.own.zone)
        ]

    def claim_of_successor(self) -> Claim:
        """Return the claim, with term 0, to take over from a scheduler that leaves."""
        if self.is_divided:
            return Claim(0, zone=self.own.zone, is_divided=True, is_overloaded=self.is_overloaded)
        return Claim(0, is_uneven=self.is_uneven)

    def compare_workers(self, workers: Collection[WorkerRegistration], is_first: bool) -> bool:
        """Check as a scheduler whether the workers are spread evenly enough for a division.

        A scheduler of a zone checks only the first list (``is_first``): later, the registrations of
        a whole zone may have expired in a partition. Return whether the result has changed.
        """
        if self.claim is None:
            return False
        workers = [worker for worker in workers if worker.zone not in self.evacuated]
        was_uneven = self.is_uneven
        if not self.claim.zone:
            zones = {member.at.zone for member in self.members.values()} | {self.own.zone}
            self.is_uneven = division.is_uneven(zones, workers)
            self.claim = attrs.evolve(self.claim, is_uneven=self.is_uneven)
        elif self.claim.is_divided and (is_first or self.own.zone in self.evacuated):
            self.is_uneven |= division.is_without_workers(self.own.zone, workers)
        return self.is_uneven is not was_uneven

    def scheduled_members(self) -> list[Member]:
        """Return the members that a scheduler of a divided pool sends heartbeats to.

        These are the instances of its zone, and the schedulers of the others.
        """
        return [
            member
            for member in self.members.values()
            if member.at.zone == self.own.zone or member.claim is not None
        ]

    def _has_leaderless_majority(self, now: float) -> bool:
        """Return whether most registered instances are live and follow no scheduler.

        Then no scheduler can be active, and a new instance may claim without delay.
        """
        if self.listed is None or len(self.listed) < 2:
            return False
        listed = self.listed
        if self.is_divided:
            zones = {member.at.address: member.at.zone for member in self.members.values()}
            listed = {address for address in listed if zones.get(address) == self.own.zone}
            listed.add(self.own.address)
        reachable = {
            member.at.address
            for member in self.live(now)
            if not member.follows and member.claim is None
        }
        return 2 * len((reachable | {self.own.address}) & listed) > len(listed)

    def _widest_claim(self, now: float) -> Claim | None:
        """Return the claim with the widest scope for which this instance has a majority.

        Followers of a scheduler of one zone count, since they would follow one of all zones.
        """
        live = self.live(now)
        replaceable = {"", self.own.incarnation} | {
            member.at.incarnation
            for member in live
            if member.claim is not None and member.claim.zone
        }
        reachable = {self.own.address} | {
            member.at.address for member in live if member.follows in replaceable
        }
        known = self._known_zones(now)
        if not self.is_divided and 2 * len(reachable & known.keys()) > len(known):
            return Claim(0, is_uneven=self.is_uneven)
        zone = {address for address, where in known.items() if where == self.own.zone}
        if (len(zone) > 1 or self.is_divided) and 2 * len(reachable & zone) > len(zone):
            claim = Claim(0, zone=self.own.zone, is_divided=self.is_divided)
            return attrs.evolve(claim, is_uneven=self.is_uneven, is_overloaded=self.is_overloaded)
        return None

    def _known_zones(self, now: float) -> dict[str, str]:
        """Return the zone by address of every member that may be alive."""
        live = {member.at.incarnation for member in self.live(now)}
        known = {
            member.at.address: member.at.zone
            for member in self.members.values()
            # Followers read no list, so members may have been registered since the last one.
            if member.at.incarnation not in self.unregistered or member.at.incarnation in live
        }
        known[self.own.address] = self.own.zone
        return known
