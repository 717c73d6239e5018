"""Which instance schedules a pool, decided by each instance from the beats that it hears.

One scheduler holds all workers that it reaches. If it falls silent, the best-ranked of those that
still hear a majority without a scheduler claims its work; a minority that hears most of its own
availability zone claims that zone's workers only, because the zone may be cut off. An instance
that hears nobody, or only such as follow a scheduler that it cannot hear, claims nothing: taking
workers from a scheduler that others hear would disturb everybody. Two claims that meet are settled
by reach. Safety does not rest on any of this: workers obey the highest fencing token.
"""

import attrs

PEER_TIMEOUT_SECONDS = 0.5
"""Silence after which a peer counts as gone: three beats of 0.15 s and some delay."""

MEMBER_EXPIRY_SECONDS = 8.0
"""A silent peer counts as a member for so long, unless its registration ends before."""

START_SECONDS = 0.6
"""A fresh instance claims nothing for so long, in which it hears of a scheduler: three beats."""

CLAIM_SECONDS = 0.1
"""Wait before the best-ranked instance claims, in which a claim under way arrives."""

RANK_SECONDS = 0.3
"""Further wait for each better-ranked instance that is heard, which ought to claim first."""

FENCED_BACKOFF_SECONDS = 4.0
"""An instance that lost its workers to another scheduler claims nothing for so long."""


@attrs.frozen
class MemberAddress:
    """One run of one instance, and where it listens for its peers.

    Parameters
    ----------
    incarnation : str
        Names the run.
    address : str
        IP number and port.
    zone : str
        Availability zone.
    millicores : int
        Its processor, in thousandths of a core.
    """

    incarnation: str
    address: str
    zone: str
    millicores: int = 1000

    def rank(self) -> tuple[int, str]:
        """Return the order in which instances claim: one scheduler's processor is the limit.

        Examples
        --------
        >>> MemberAddress("a", "1", "z", 500).rank() > MemberAddress("b", "2", "z", 2000).rank()
        True
        """
        return (-self.millicores, self.address)


@attrs.frozen
class Claim:
    """What a scheduler schedules.

    Parameters
    ----------
    term : int
        Fencing token at the time of the claim; a later claim has a higher one.
    zone : str
        Availability zone whose workers it holds; empty for all.
    held : int
        Number of workers that obey it.
    """

    term: int
    zone: str = ""
    held: int = 0

    def strength(self) -> tuple[bool, int, int]:
        """Return the order in which claims that meet are kept, highest first."""
        return (not self.zone, self.held, self.term)


@attrs.define
class Member:
    """A peer as last heard.

    Parameters
    ----------
    heard_at : float
        When it was heard last, in seconds.
    hears_own_at : float
        When it last said that it hears this instance, or was first told something.
    """

    at: MemberAddress
    heard_at: float = float("-inf")
    acknowledged_at: float = float("-inf")
    listed_at: float = float("-inf")
    is_draining: bool = False
    claim: Claim | None = None
    follows: str = ""
    config_version: int = 0
    roster_version: int = 0
    epoch: int = 0
    heartbeat_sent_at: float = float("-inf")

    def clock(self, now: float) -> float:
        """Return the peer's steady clock, late by the time that its beat was under way."""
        return self.heartbeat_sent_at + now - self.heard_at


@attrs.define(eq=False)
class Group:
    """The instances of a pool as one of them sees them.

    Parameters
    ----------
    own : MemberAddress
        This instance.
    started_at : float
        When it started, in seconds.
    """

    own: MemberAddress
    started_at: float
    members: dict[str, Member] = attrs.field(factory=dict)
    claim: Claim | None = None
    is_draining: bool = False
    leaderless_since: float | None = None
    fenced_until: float = float("-inf")
    listed: frozenset[str] | None = None

    def record_contact(self, sender: MemberAddress, now: float) -> Member:
        """Record that a peer was heard; a new run at an address replaces the old one.

        ``sender`` is another instance: what an instance sends to its own address, under which an
        earlier run of it was registered, is dropped by the caller.
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
        """Record which instances are registered with the platform."""
        self.listed = frozenset(item.address for item in listed)

    def add_reported_member(self, item: MemberAddress, now: float) -> None:
        """Record a peer that a scheduler hears."""
        if item.address == self.own.address or item.incarnation in self.members:
            return
        if any(member.at.address == item.address for member in self.members.values()):
            return
        self.members[item.incarnation] = Member(item, listed_at=now)

    def remove_expired_members(self, now: float) -> list[Member]:
        """Drop and return the members that were silent for long."""
        silent = [
            member
            for member in self.members.values()
            if max(member.heard_at, member.listed_at) < now - MEMBER_EXPIRY_SECONDS
        ]
        for member in silent:
            del self.members[member.at.incarnation]
        return silent

    def live(self, now: float) -> list[Member]:
        """Return the members that are heard."""
        return [
            member
            for member in self.members.values()
            if now - member.heard_at < PEER_TIMEOUT_SECONDS
        ]

    def scheduler(self, now: float) -> Member | None:
        """Return the peer with the strongest claim that covers this instance's zone."""
        claimed = [
            member
            for member in self.live(now)
            if member.claim is not None and member.claim.zone in ("", self.own.zone)
        ]
        return max(claimed, key=lambda member: member.claim.strength(), default=None)

    def must_yield(self, now: float) -> bool:
        """Tell whether another claim is stronger than this instance's own."""
        if self.claim is None:
            return False
        rival = self.scheduler(now)
        return rival is not None and rival.claim.strength() > self.claim.strength()

    def next_claim(self, now: float) -> Claim | None:
        """Return the claim that this instance should make now, without a term, or ``None``."""
        earliest = self.fenced_until
        if not self._hears_fresh_majority(now):
            earliest = max(earliest, self.started_at + START_SECONDS)
        if self.claim is not None or self.is_draining or now < earliest:
            self.leaderless_since = None
            return None
        if self.scheduler(now) is not None:
            self.leaderless_since = None
            return None
        if self.leaderless_since is None:
            self.leaderless_since = now
        heard = [member for member in self.live(now) if not member.is_draining]
        better = sum(member.at.rank() < self.own.rank() for member in heard)
        if now < self.leaderless_since + CLAIM_SECONDS + better * RANK_SECONDS:
            return None
        return self._scope(now)

    def successor(self, now: float) -> Member | None:
        """Return who ought to schedule after this instance."""
        heard = [member for member in self.live(now) if not member.is_draining]
        return min(heard, key=lambda member: member.at.rank(), default=None)

    def _hears_fresh_majority(self, now: float) -> bool:
        """Tell whether most registered instances are heard and follow nobody.

        Then no scheduler can be at work, and a fresh instance need not wait to hear of one.
        """
        if self.listed is None or len(self.listed) < 2:
            return False
        heard = {
            member.at.address
            for member in self.live(now)
            if not member.follows and member.claim is None
        }
        return 2 * len((heard | {self.own.address}) & self.listed) > len(self.listed)

    def _scope(self, now: float) -> Claim | None:
        """Return the widest claim that the number of heard members allows."""
        heard = {self.own.address} | {
            member.at.address
            for member in self.live(now)
            if member.follows in ("", self.own.incarnation)
        }
        known = self._known(now)
        if 2 * len(heard & known.keys()) > len(known):
            return Claim(0)
        zone = {address for address, where in known.items() if where == self.own.zone}
        if len(zone) > 1 and 2 * len(heard & zone) > len(zone):
            return Claim(0, self.own.zone)
        return None

    def _known(self, now: float) -> dict[str, str]:
        """Return the zone of every member that may be alive, by address."""
        live = {member.at.incarnation for member in self.live(now)}
        known = {
            member.at.address: member.at.zone
            for member in self.members.values()
            if self.listed is None
            or member.at.address in self.listed
            or member.at.incarnation in live
        }
        known[self.own.address] = self.own.zone
        return known
