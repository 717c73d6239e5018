"""Heartbeats (beats) that an instance sends: what they tell, and to whom they go."""

from collections.abc import Callable
from typing import Any

import attrs

from cranberryshore.messages import Beat
from cranberryshore.pool import Group, Member, MemberAddress
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshore.pool.overload import LoadReport
from cranberryshored.pool.clock import now
from cranberryshored.pool.documents import DocumentExchange
from cranberryshored.pool.following import Following
from cranberryshored.pool.peer_streams import PeerStreams
from cranberryshored.pool.protocols import ExchangeListener

BEAT_SECONDS = 0.15
"""Interval of beats: about a third of the 0.5 s of silence after which a peer counts as failed."""

ROUNDS_PER_MEMBER_LIST = 5
"""A scheduler sends the list of live members only in every fifth round, because both the list and
the number of its receivers grow with the group."""


@attrs.define(eq=False)
class HeartbeatSender:
    """Sends the beats of an instance.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to send beats to while no scheduler is known.
    send_message : callable
        Sends a message to an address, for one incarnation.
    successor : str
        Incarnation that takes over scheduling when this instance leaves; empty if none is named.
    acknowledged_at : float
        Time of the last beat to the scheduler.
    load_report : callable
        Returns the limit of a member's jobs, or ``None``.
    """

    group: Group
    seeds: tuple[str, ...]
    listener: ExchangeListener
    following: Following
    streams: PeerStreams
    documents: DocumentExchange
    send_message: Callable[[str, str, Any], None]
    successor: str = ""
    acknowledged_at: float = float("-inf")
    rounds: int = 0
    load_report: Callable[[Member], LoadReport | None] = lambda member: None

    def send(self, member: Member, moment: float) -> None:
        """Send a beat to a member."""
        following = self.following
        if member.at.incarnation == following.scheduler:
            self.acknowledged_at = moment
        stream = self.streams.incoming_from(member.at.incarnation)
        beat = Beat(
            self.group.own,
            self.listener.config().version,
            following.epoch,
            stream.id,
            stream.received,
            moment,
            is_draining=self.group.is_draining,
            claim=self.group.claim,
            follows=following.scheduler,
            roster_version=self.listener.roster()[0],
            successor=self.successor,
            hears_receiver=moment - member.heard_at < PEER_TIMEOUT_SECONDS,
            members=self._members_to_send(member, moment),
            echo=member.heartbeat_sent_at,
            known_epoch=member.epoch,
            config_age=self.documents.config_age(moment),
            store_age=self.listener.store_age(moment),
            listing_age=self._listing_age(moment),
            evacuations=self.listener.evacuations().to_send(),
            load=self.load_report(member),
        )
        self.send_message(member.at.address, "", beat)

    def _listing_age(self, moment: float) -> float | None:
        """Return the age of the registrations by which this instance schedules, if it does."""
        return None if self.group.claim is None else moment - self.group.listing_read_at

    def targets(self, moment: float) -> list[Member]:
        """Return the members to send a beat to.

        A scheduler sends to all members, an instance without one to those that may become one, and
        others to the scheduler.
        Without a scheduler, this method itself sends a beat to the seeds that are not members.
        """
        members = self.group.members
        if self.group.claim is not None:
            is_divided = self.group.claim.is_divided
            return self.group.scheduled_members() if is_divided else list(members.values())
        if not self.following.scheduler:
            member_addresses = {member.at.address for member in members.values()}
            for address in self.seeds:
                if address not in member_addresses and address != self.group.own.address:
                    self.send_message(address, "", self._seed_beat())
            leaderless_at = self.following.leaderless_at
            return self.group.possible_schedulers(leaderless_at, self.rounds, moment)
        # The beats of the scheduler are answered at once, which is usually enough.
        scheduler = members.get(self.following.scheduler)
        is_due = moment - self.acknowledged_at >= BEAT_SECONDS
        return [scheduler] if scheduler is not None and is_due else []

    def _seed_beat(self) -> Beat:
        version = self.listener.config().version
        return Beat(self.group.own, version, self.following.epoch, 0, 0, now())

    def _members_to_send(self, member: Member, moment: float) -> tuple[MemberAddress, ...]:
        followed = self.group.members.get(self.following.scheduler)
        is_searching = not member.follows and self.group.is_divided
        may_need_scheduler = is_searching and self.following.may_share(member.at)
        is_other = followed is not None and followed is not member
        if is_other and (member.claim is not None or may_need_scheduler):
            # The two schedulers, or the peer and the scheduler, may not know of each other.
            return (followed.at,)
        if self.group.claim is None or self.rounds % ROUNDS_PER_MEMBER_LIST:
            return ()
        return tuple(member.at for member in self.group.live(moment))
