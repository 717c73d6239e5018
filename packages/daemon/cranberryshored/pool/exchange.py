"""Beats and numbered messages between the instances of a pool."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import (
    Beat,
    CancelWork,
    ConfigNews,
    RosterNews,
    SubmitWork,
)
from cranberryshore.pool import (
    Claim,
    Group,
    Member,
    MemberAddress,
    ReceiveStream,
    SendStream,
)
from cranberryshore.pool.group import FENCED_BACKOFF_SECONDS, PEER_TIMEOUT_SECONDS
from cranberryshore.pool.stream import StreamPosition
from cranberryshored.metrics import Metrics
from cranberryshored.peers.transport import Transport
from cranberryshored.pool.clock import now, unix_ms
from cranberryshored.pool.protocols import ExchangeListener, Numbered
from cranberryshored.tasks import end_tasks, start_task

BEAT_SECONDS = 0.15
"""Time between two beats: a third of the silence after which a peer counts as gone."""

MEMBERS_ROUNDS = 5
"""A scheduler tells whom it hears in every fifth round: the list grows with the group, and so do
those who get it."""

REDIAL_SECONDS = 0.4
"""A peer that was silent for so long gets a new connection, since the old one may be dead."""

PAUSE_SECONDS = 0.45
"""A gap between two beats that shows that this process stood still."""


@attrs.define(eq=False)
class PeerExchange:
    """Keeps the group up to date and carries messages between its members.

    Parameters
    ----------
    group : Group
        Decides who schedules.
    seeds : tuple of str
        Addresses to greet while no scheduler is known.
    """

    group: Group
    seeds: tuple[str, ...]
    listener: ExchangeListener
    metrics: Metrics
    log: FilteringBoundLogger
    transport: Transport | None = None
    outs: dict[str, SendStream] = attrs.field(factory=dict)
    ins: dict[str, ReceiveStream] = attrs.field(factory=dict)
    redialed: dict[str, float] = attrs.field(factory=dict)
    follows: str = ""
    successor: str = ""
    beat_at: float = 0.0
    rounds: int = 0
    epoch: int = 0
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to beat."""
        self.beat_at = now()
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop beating."""
        await end_tasks([self.task])

    @property
    def own(self) -> MemberAddress:
        """Return this instance."""
        return self.group.own

    def send(self, incarnation: str, make: Callable[[StreamPosition, float], Numbered]) -> None:
        """Send a numbered message to a peer, again until it is confirmed.

        Parameters
        ----------
        incarnation : str
            The peer.
        make : callable
            Returns the message for a place and a reading of the peer's clock.
        """
        member = self.group.members.get(incarnation)
        if member is None:
            return
        stream = self.outs.get(incarnation)
        if stream is None:
            stream = self.outs[incarnation] = SendStream(unix_ms())
        moment = now()
        message = make(stream.next_position(), member.clock(moment))
        stream.record_sent(message, moment)
        self.transport.send(member.at.address, incarnation, message)

    def deliver(self, sender: str, message: Any) -> None:
        """Take a message from the transport."""
        if isinstance(message, Beat):
            if message.sender.address != self.own.address:
                self._hear(message)
        elif isinstance(message, ConfigNews):
            self.listener.take_config(message.config)
        elif isinstance(message, RosterNews):
            self.listener.take_roster(message.version, message.workers)
        elif isinstance(message, Numbered):
            for ready in self.ins.setdefault(sender, ReceiveStream()).take(message):
                self.listener.take(sender, ready)

    def push_config(self) -> None:
        """Hand the configuration to the scheduler, ahead of work that needs it."""
        scheduler = self.group.members.get(self.follows)
        if scheduler is not None and scheduler.config_version < self.listener.config().version:
            news = ConfigNews(self.listener.config())
            self.transport.send(scheduler.at.address, self.follows, news)

    def announce(self) -> None:
        """Send a beat to everyone now."""
        moment = now()
        for member in list(self.group.members.values()):
            self._beat(member, moment)

    def follow(self) -> None:
        """Follow the scheduler with the strongest claim."""
        scheduler = self.group.scheduler(now())
        follows = self.own.incarnation if self.group.claim is not None else ""
        if not follows and scheduler is not None:
            follows = scheduler.at.incarnation
        if follows == self.follows:
            return
        self.log.info("Scheduler followed.", before=self.follows, scheduler=follows)
        self._expect_to_be_heard()
        self.epoch += 1
        self._take_back(self.follows)
        before, self.follows = self.group.members.get(self.follows), follows
        self.listener.scheduler_changed()
        if not follows:
            self.announce()
            return
        if before is not None:
            # It stops this instance's jobs now, so that they can be started elsewhere.
            self._beat(before, now())
        if scheduler is not None:
            self._beat(scheduler, now())

    def _expect_to_be_heard(self) -> None:
        """Give all peers their time to hear this instance, which beats to others from now on."""
        moment = now()
        for member in self.group.members.values():
            member.acknowledged_at = moment

    def _take_back(self, scheduler: str) -> None:
        """Do not hand jobs to a scheduler that is not followed any more."""
        stream = self.outs.get(scheduler)
        if stream is not None:
            stream.replace(
                lambda item: (
                    CancelWork(item.place, item.request.id)
                    if isinstance(item, SubmitWork)
                    else item
                )
            )

    def _hear(self, beat: Beat) -> None:
        moment = now()
        is_new = beat.sender.incarnation not in self.group.members
        member = self.group.record_contact(beat.sender, moment)
        if beat.sent_at < member.heartbeat_sent_at:
            # A newer one has come over a newer connection.
            return
        member.is_draining, member.claim = beat.is_draining, beat.claim
        member.heartbeat_sent_at, member.epoch = beat.sent_at, max(member.epoch, beat.epoch)
        member.follows, member.config_version = beat.follows, beat.config_version
        member.roster_version = beat.roster_version
        for item in beat.members:
            self.group.add_reported_member(item, moment)
        if is_new:
            member.acknowledged_at = moment
        self._check_heard(member, beat, moment)
        if beat.sender.incarnation in self.outs:
            self.outs[beat.sender.incarnation].acknowledge(beat.stream, beat.received)
        if beat.successor == self.own.incarnation and self.group.claim is None:
            self._succeed(beat)
        if is_new:
            self.log.info("Peer heard.", peer=beat.sender.incarnation)
        if is_new or self._is_mistaken(beat) or self._is_rival(beat):
            self._beat(member, moment)
        if member.config_version < self.listener.config().version:
            news = ConfigNews(self.listener.config())
            self.transport.send(member.at.address, beat.sender.incarnation, news)
        self._tell_roster(member)
        if self.group.claim is not None and beat.follows != self.own.incarnation:
            self.listener.peer_left(beat.sender.incarnation)
        if beat.claim is not None or member.at.incarnation == self.follows:
            self._decide(moment)

    def _succeed(self, beat: Beat) -> None:
        """Take over from a scheduler that leaves in good order."""
        if beat.sender.incarnation == self.follows and not self.group.is_draining:
            self.log.info("Schedule handed over.", peer=self.follows)
            self.listener.claim_wanted(Claim(0))

    def _check_heard(self, member: Member, beat: Beat, moment: float) -> None:
        """Open a new connection to a peer that does not hear this instance any more.

        The connections of two peers fall silent each by itself, and who is heard cannot tell.
        """
        if beat.hears_receiver:
            member.acknowledged_at = moment
        elif moment - member.acknowledged_at > REDIAL_SECONDS:
            member.acknowledged_at = moment
            self.log.warning("Peer does not hear this instance.", peer=member.at.incarnation)
            self.transport.forget(member.at.address)

    def _is_mistaken(self, beat: Beat) -> bool:
        """Tell whether a peer follows nobody, or this instance although it schedules nothing."""
        if beat.follows == self.own.incarnation:
            return self.group.claim is None
        return not beat.follows and beat.claim is None and bool(self.follows)

    def _tell_roster(self, member: Member) -> None:
        version, workers = self.listener.roster()
        if self.group.claim is not None and member.roster_version < version:
            news = RosterNews(version, workers)
            self.transport.send(member.at.address, member.at.incarnation, news)

    def _beat(self, member: Member, moment: float) -> None:
        stream = self.ins.get(member.at.incarnation, ReceiveStream())
        beat = Beat(
            self.own,
            self.listener.config().version,
            self.epoch,
            stream.id,
            stream.received,
            moment,
            self.group.is_draining,
            self.group.claim,
            self.follows,
            self.listener.roster()[0],
            self.successor,
            moment - member.heard_at < PEER_TIMEOUT_SECONDS,
            self._told_members(member, moment),
        )
        self.transport.send(member.at.address, "", beat)

    def _is_rival(self, beat: Beat) -> bool:
        """Tell whether a peer schedules beside the scheduler that this instance follows."""
        return beat.claim is not None and self.follows not in ("", beat.sender.incarnation)

    def _told_members(self, member: Member, moment: float) -> tuple[MemberAddress, ...]:
        followed = self.group.members.get(self.follows)
        if member.claim is not None and followed is not None and followed is not member:
            # The two may not know of each other.
            return (followed.at,)
        if self.group.claim is None or self.rounds % MEMBERS_ROUNDS:
            return ()
        return tuple(member.at for member in self.group.live(moment))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            moment = now()
            if moment - self.beat_at > PAUSE_SECONDS:
                self._was_paused(moment)
            self.beat_at = moment
            self.rounds += 1
            self._round(moment)
            self.metrics.live_peers.set(len(self.group.live(moment)))

    def _was_paused(self, moment: float) -> None:
        """Give the peers their time again, and give up workers that others may hold now."""
        self.log.warning("This process stood still.", seconds=round(moment - self.beat_at, 2))
        for member in self.group.members.values():
            if member.heard_at > self.beat_at - PAUSE_SECONDS:
                member.heard_at = moment
        self.stood_still()

    def stood_still(self) -> None:
        """Give up the claim, and hand this instance's jobs over anew."""
        self._end_claim("this process stood still")
        self.listener.stood_still()

    def _round(self, moment: float) -> None:
        for member in self.group.remove_expired_members(moment):
            self.transport.forget(member.at.address)
        self._forget_streams()
        if self.group.claim is not None:
            self._check_claim(moment)
        self._decide(moment)
        for member in self._beaten(moment):
            self._redial(member, moment)
            self._beat(member, moment)
        for incarnation, stream in self.outs.items():
            member = self.group.members.get(incarnation)
            if member is not None:
                self._send_again(member, stream, moment)

    def _send_again(self, member: Member, stream: SendStream, moment: float) -> None:
        for message in stream.due_for_resend(moment):
            if isinstance(message, SubmitWork):
                message = attrs.evolve(message, echo=member.clock(moment))
            self.transport.send(member.at.address, member.at.incarnation, message)

    def _check_claim(self, moment: float) -> None:
        """Drop the jobs of silent entry instances, and the claim if the workers obey others."""
        if self.listener.has_lost_hold():
            self.group.fenced_until = moment + FENCED_BACKOFF_SECONDS
            self._end_claim("most workers obey another holder")
            return
        held = self.listener.held_count()
        self.group.claim = attrs.evolve(self.group.claim, held=held)
        live = {member.at.incarnation for member in self.group.live(moment)}
        waiting = self.listener.waiting_entries() - live - {self.own.incarnation}
        for incarnation in sorted(waiting):
            self.log.warning("Entry instance lost.", peer=incarnation)
            self.listener.peer_left(incarnation)

    def _end_claim(self, reason: str) -> None:
        if self.group.claim is not None:
            self.group.claim = None
            self.listener.claim_ended(reason)

    def _decide(self, moment: float) -> None:
        if self.group.must_yield(moment):
            self._end_claim("another claim is stronger")
        claim = self.group.next_claim(moment)
        if claim is not None:
            self.listener.claim_wanted(claim)
        self.follow()

    def _beaten(self, moment: float) -> list[Member]:
        """Return whom a beat is due to: everyone without a scheduler, else the scheduler."""
        members = self.group.members
        if self.group.claim is not None or not self.follows:
            greeted = {member.at.address for member in members.values()}
            if not self.follows:
                for address in self.seeds:
                    if address not in greeted and address != self.own.address:
                        self.transport.send(address, "", self._greeting())
            return list(members.values())
        scheduler = members.get(self.follows)
        return [scheduler] if scheduler is not None else []

    def _greeting(self) -> Beat:
        return Beat(self.own, self.listener.config().version, self.epoch, 0, 0, now())

    def _redial(self, member: Member, moment: float) -> None:
        address = member.at.address
        silent_since = max(member.heard_at, member.listed_at, self.redialed.get(address, 0.0))
        if moment - silent_since > REDIAL_SECONDS:
            self.redialed[address] = moment
            self.transport.forget(address)

    def _forget_streams(self) -> None:
        """Drop the streams of runs that are forgotten or replaced."""
        for streams in (self.outs, self.ins):
            for incarnation in [name for name in streams if name not in self.group.members]:
                del streams[incarnation]
