"""Heartbeats (beats) and reliable, ordered messages between the instances of a pool."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import (
    Beat,
    CancelWork,
    ConfigNews,
    ConfigRequest,
    LossNews,
    PeerMessage,
    RosterChanges,
    RosterNews,
    SubmitWork,
)
from cranberryshore.pool import (
    Group,
    LostRun,
    Member,
    MemberAddress,
    ReceiveStream,
    SendStream,
)
from cranberryshore.pool.group import (
    FENCED_BACKOFF_SECONDS,
    MEMBER_EXPIRY_SECONDS,
    PEER_TIMEOUT_SECONDS,
)
from cranberryshore.pool.stream import StreamPosition
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now, unix_ms
from cranberryshored.pool.documents import DocumentExchange
from cranberryshored.pool.protocols import ExchangeListener, NumberedMessage
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task
from cranberryshored.transport import Transport

BEAT_SECONDS = 0.15
"""Interval of beats: about a third of the 0.5 s of silence after which a peer counts as failed."""

ROUNDS_PER_MEMBER_LIST = 5
"""A scheduler sends the list of live members only in every fifth round, because both the list and
the number of its receivers grow with the group."""

RECONNECT_SECONDS = 0.4
"""Silence after which the connection to a peer is replaced, since it may be broken."""

STALL_SECONDS = 0.45
"""Gap between two beats after which this process counts as stalled."""


@attrs.frozen
class FormerScheduler:
    """A scheduler that this instance has left.

    Parameters
    ----------
    epoch : int
        Epoch of this instance that began then.
    heard_at : float
        Time of its latest beat by then.
    """

    epoch: int
    heard_at: float


@attrs.define(eq=False)
class PeerExchange:
    """Maintains the view of the group and transfers messages between its members.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to send beats to while no scheduler is known.
    follows : str
        Incarnation of the scheduler; empty if there is none.
    term : int
        Term of its claim: a scheduler that claims again has dropped all jobs.
    zone : str
        Zone that this claim is limited to; empty for all zones.
    follows_heard_at : float
        Time of its latest beat. It may not be a member any more: a later start displaces it.
    successor : str
        Incarnation that takes over scheduling when this instance leaves; empty if none is named.
    leaderless_at : float
        Time since which this instance has had no scheduler, if it has none.
    epoch : int
        Number of times that ``follows`` or ``term`` has changed.
    former : dict
        Former schedulers by incarnation.
    acknowledged_at : float
        Time of the last heartbeat to the scheduler.
    absent : dict
        Time since which an entry instance whose jobs are scheduled here is not a member.
    """

    group: Group
    seeds: tuple[str, ...]
    listener: ExchangeListener
    metrics: Metrics
    log: FilteringBoundLogger
    transport: Transport | None = None
    out_streams: dict[str, SendStream] = attrs.field(factory=dict)
    in_streams: dict[str, ReceiveStream] = attrs.field(factory=dict)
    reconnected_at: dict[str, float] = attrs.field(factory=dict)
    follows: str = ""
    term: int = 0
    zone: str = ""
    follows_heard_at: float = float("-inf")
    former: dict[str, FormerScheduler] = attrs.field(factory=dict)
    acknowledged_at: float = float("-inf")
    absent: dict[str, float] = attrs.field(factory=dict)
    successor: str = ""
    leaderless_at: float = float("-inf")
    beat_at: float = 0.0
    rounds: int = 0
    epoch: int = 0
    task: asyncio.Task | None = None
    documents: DocumentExchange = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.documents = DocumentExchange(self.group, self.listener, self._send_document)

    async def start(self) -> None:
        """Start sending beats."""
        self.beat_at = self.leaderless_at = now()
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop sending beats."""
        await cancel_tasks([self.task])

    @property
    def own(self) -> MemberAddress:
        """Return the address of this instance."""
        return self.group.own

    def send(
        self, incarnation: str, make: Callable[[StreamPosition, float], NumberedMessage]
    ) -> None:
        """Send a numbered message to a peer, and resend it until it is acknowledged.

        ``make`` returns the message, given its position in the stream and the estimated time of the
        peer's monotonic clock.
        """
        member = self.group.members.get(incarnation)
        if member is None:
            return
        stream = self.out_streams.get(incarnation)
        if stream is None:
            stream = self.out_streams[incarnation] = SendStream(unix_ms())
        moment = now()
        message = make(stream.next_position(), member.clock(moment))
        stream.record_sent(message, moment)
        self.transport.send(member.at.address, incarnation, message)

    def _send_document(self, member: Member, message: PeerMessage) -> None:
        self.transport.send(member.at.address, member.at.incarnation, message)

    def deliver(self, sender: str, message: Any) -> None:
        """Handle a message from the transport."""
        if isinstance(message, Beat):
            if message.sender.address != self.own.address:
                self._handle_beat(message)
        elif isinstance(message, ConfigNews):
            self.listener.handle_config(message.config)
        elif isinstance(message, ConfigRequest):
            self.documents.send_config(sender)
        elif isinstance(message, RosterNews):
            self.listener.handle_roster(message.version, message.workers)
        elif isinstance(message, RosterChanges):
            self.listener.handle_roster_changes(message)
        elif isinstance(message, LossNews):
            self.listener.handle_losses(message.lost_runs)
        elif isinstance(message, NumberedMessage):
            for ready in self.in_streams.setdefault(sender, ReceiveStream()).take(message):
                self.listener.handle_message(sender, ready)

    def announce_config(self) -> None:
        """Tell the scheduler, or as a scheduler all members, the version of a new configuration.

        The scheduler then knows of it before the jobs that depend on it.
        """
        self.documents.config_applied()
        if self.group.claim is not None:
            self.announce()
        else:
            self.acknowledge()

    def push_roster(self) -> None:
        """Send the list of workers to all live members."""
        for member in self.group.live(now()):
            self.documents.send_roster(member)

    def push_losses(self, lost_runs: tuple[LostRun, ...]) -> None:
        """Send records of lost runs to all live members."""
        for member in self.group.live(now()):
            self.documents.send_losses(member, lost_runs)

    def announce(self) -> None:
        """Send a beat to all members now."""
        moment = now()
        for member in list(self.group.members.values()):
            self._send_beat(member, moment)

    def follow(self) -> None:
        """Follow the scheduler with the strongest claim."""
        scheduler = self.group.scheduler(now())
        follows = self.own.incarnation if self.group.claim is not None else ""
        term, zone = 0, ""
        if not follows and scheduler is not None:
            follows, term = scheduler.at.incarnation, scheduler.claim.term
            zone = scheduler.claim.zone
        if (follows, term) == (self.follows, self.term):
            return
        self.term, self.zone = term, zone
        self.log.info("Scheduler followed.", before=self.follows, scheduler=follows)
        self._reset_acknowledgement_times()
        self.epoch += 1
        self._withdraw_jobs(self.follows)
        if self.follows not in ("", self.own.incarnation):
            self.former[self.follows] = FormerScheduler(self.epoch, self.follows_heard_at)
        before, self.follows = self.group.members.get(self.follows), follows
        self.follows_heard_at = now()
        if not follows:
            self.leaderless_at = now()
            for member in self.group.possible_schedulers(now(), self.rounds, now()):
                self._send_beat(member, now())
        if before is not None and follows:
            # The previous scheduler then stops this instance's jobs, so the new one can start them.
            self._send_beat(before, now())
        if scheduler is not None and follows == scheduler.at.incarnation:
            self._send_beat(scheduler, now())
        self.listener.scheduler_changed()

    def claim_zone(self) -> str:
        """Return the zone that the claim of the followed scheduler is limited to, if any."""
        return self.zone if self.group.claim is None else self.group.claim.zone

    def claim_term(self) -> int:
        """Return the term of the claim of the followed scheduler, 0 if there is none."""
        return self.term if self.group.claim is None else self.group.claim.term

    def has_released(self, scheduler: str) -> bool:
        """Return whether a former scheduler can start nothing more for this instance.

        It has taken note that this instance left it, it schedules no more, or this instance has
        not acknowledged its heartbeats for so long that its right to start tasks has ended.
        """
        if scheduler == self.own.incarnation:
            return self.group.claim is None
        left = self.former.get(scheduler)
        member = self.group.members.get(scheduler)
        if left is None or member is None:
            return left is None or now() - left.heard_at >= PEER_TIMEOUT_SECONDS
        if member.claim is None or member.known_epoch is None:
            return True
        if now() - member.heard_at >= PEER_TIMEOUT_SECONDS:
            return True
        return member.known_epoch >= left.epoch

    def _reset_acknowledgement_times(self) -> None:
        """Restart the timeouts for acknowledgement of beats.

        After a change of scheduler, beats go to members that had none to acknowledge before.
        """
        moment = now()
        for member in self.group.members.values():
            member.acknowledged_at = moment

    def _withdraw_jobs(self, scheduler: str) -> None:
        """Replace unacknowledged submissions to a former scheduler with cancellations."""
        stream = self.out_streams.get(scheduler)
        if stream is not None:
            stream.replace(
                lambda item: (
                    CancelWork(item.place, item.request.id)
                    if isinstance(item, SubmitWork)
                    else item
                )
            )

    def _handle_beat(self, beat: Beat) -> None:
        moment = now()
        if self.group.is_replaced(beat.sender, moment):
            return
        is_new = beat.sender.incarnation not in self.group.members
        member = self.group.record_contact(beat.sender, moment)
        if beat.sender.incarnation == self.follows:
            self.follows_heard_at = moment
        if beat.sent_at < member.heartbeat_sent_at:
            # A newer beat has already arrived over a newer connection.
            return
        member.is_draining, member.claim = beat.is_draining, beat.claim
        member.heartbeat_sent_at, member.known_epoch = beat.sent_at, beat.known_epoch
        has_left = beat.epoch > member.epoch and beat.follows != self.own.incarnation
        if is_new:
            member.epoch, member.acknowledged_at = beat.epoch, moment
        self.record_epoch(member, beat.epoch)
        member.follows, member.config_version = beat.follows, beat.config_version
        member.roster_version = beat.roster_version
        for item in beat.members:
            self.group.add_reported_member(item, moment)
        self._reconnect_if_unheard(member, beat, moment)
        if beat.sender.incarnation in self.out_streams:
            self.out_streams[beat.sender.incarnation].acknowledge(beat.stream, beat.received)
        if beat.successor == self.own.incarnation and self.group.claim is None:
            self._take_over(beat)
        if is_new:
            self.log.info("Peer discovered.", peer=beat.sender.incarnation)
            if self.group.claim is not None:
                self.documents.send_losses(member, self.listener.lost_runs())
        is_outdated = self._follows_wrong_scheduler(beat) or self._is_competing_claim(beat)
        if is_new or has_left or is_outdated:
            self._send_beat(member, moment)
        self.documents.record_confirmation(beat)
        self.documents.compare_config(member, moment)
        self._handle_follower(member, beat, moment)
        if beat.claim is not None:
            self.group.learn_division(beat.claim)
        if beat.claim is not None or member.at.incarnation == self.follows:
            self._update_claim(moment)
        if member.at.incarnation == self.follows:
            self._send_beat(member, moment)
        elif beat.sender.incarnation in self.former:
            self.listener.scheduler_released()

    def _handle_follower(self, member: Member, beat: Beat, moment: float) -> None:
        """Handle the part of a beat that concerns this instance as a scheduler."""
        if self.group.claim is None:
            return
        if beat.follows == self.own.incarnation:
            heartbeat_at = moment if beat.echo is None else beat.echo
            self.listener.entry_acknowledged(
                beat.sender.incarnation, heartbeat_at, beat.roster_version
            )
            self.documents.send_roster(member)
        else:
            self.listener.entry_lost(beat.sender.incarnation)

    def record_epoch(self, member: Member, epoch: int) -> None:
        """Record the epoch of a peer, which has handed over its jobs of earlier epochs."""
        if epoch <= member.epoch:
            return
        member.epoch = epoch
        if self.group.claim is not None:
            self.listener.entry_lost(member.at.incarnation)

    def inform(self, member: Member) -> None:
        """Send a beat to a member now."""
        self._send_beat(member, now())

    def acknowledge(self) -> None:
        """Send a beat to the scheduler now, which tells the version of the roster."""
        scheduler = self.group.members.get(self.follows)
        if scheduler is not None:
            self._send_beat(scheduler, now())

    def _take_over(self, beat: Beat) -> None:
        """Take over from a scheduler that has named this instance as its successor."""
        if beat.sender.incarnation == self.follows and not self.group.is_draining:
            self.log.info("Taking over from a leaving scheduler.", peer=self.follows)
            self.listener.claim_due(self.group.claim_of_successor())

    def _reconnect_if_unheard(self, member: Member, beat: Beat, moment: float) -> None:
        """Replace the connection to a peer that no longer hears this instance.

        Each direction has its own connection, which can fail alone: only the peer's beats show it.
        """
        if beat.hears_receiver:
            member.acknowledged_at = moment
        elif moment - member.acknowledged_at > RECONNECT_SECONDS:
            member.acknowledged_at = moment
            self.log.warning("Peer does not hear this instance.", peer=member.at.incarnation)
            self.transport.disconnect(member.at.address)

    def _follows_wrong_scheduler(self, beat: Beat) -> bool:
        """Return whether a peer must learn which instance schedules.

        It follows this instance, which has no claim, or no scheduler although one is known.
        """
        if beat.follows == self.own.incarnation:
            return self.group.claim is None
        is_searching = not beat.follows and beat.claim is None
        return is_searching and bool(self.follows) and self._may_share_scheduler(beat.sender)

    def _may_share_scheduler(self, peer: MemberAddress) -> bool:
        """Return whether a peer can follow the same scheduler as this instance."""
        return not self.group.is_divided or peer.zone == self.own.zone

    def _send_beat(self, member: Member, moment: float) -> None:
        if member.at.incarnation == self.follows:
            self.acknowledged_at = moment
        stream = self.in_streams.get(member.at.incarnation, ReceiveStream())
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
            self._members_to_send(member, moment),
            member.heartbeat_sent_at,
            member.epoch,
            self.documents.config_age(moment),
        )
        self.transport.send(member.at.address, "", beat)

    def _is_competing_claim(self, beat: Beat) -> bool:
        """Return whether a peer claims workers of the own zone beside the followed scheduler."""
        if beat.claim is None or self.follows in ("", beat.sender.incarnation):
            return False
        return beat.claim.zone in ("", self.own.zone) or not self.group.is_divided

    def _members_to_send(self, member: Member, moment: float) -> tuple[MemberAddress, ...]:
        followed = self.group.members.get(self.follows)
        is_searching = not member.follows and self.group.is_divided
        may_need_scheduler = is_searching and self._may_share_scheduler(member.at)
        is_other = followed is not None and followed is not member
        if is_other and (member.claim is not None or may_need_scheduler):
            # The two schedulers, or the peer and the scheduler, may not know of each other.
            return (followed.at,)
        if self.group.claim is None or self.rounds % ROUNDS_PER_MEMBER_LIST:
            return ()
        return tuple(member.at for member in self.group.live(moment))

    async def _run(self) -> None:
        while True:
            planned = now() + BEAT_SECONDS
            await asyncio.sleep(BEAT_SECONDS)
            moment = now()
            self.metrics.loop_lag.observe(max(moment - planned, 0.0))
            if moment - self.beat_at > STALL_SECONDS:
                self._handle_stall(moment)
            self.beat_at = moment
            self.rounds += 1
            with failures_logged(self.log, "round"):
                self._run_round(moment)
            self.metrics.live_peers.set(len(self.group.live(moment)))
            self.metrics.config_age.set(self.listener.config_confirmation().age(moment))

    def _handle_stall(self, moment: float) -> None:
        """Restart the silence timeouts of live peers, and give up workers that others may hold."""
        self.log.warning("This process stood still.", seconds=round(moment - self.beat_at, 2))
        for member in self.group.members.values():
            if member.heard_at > self.beat_at - STALL_SECONDS:
                member.heard_at = moment
        self.process_stalled()

    def process_stalled(self) -> None:
        """Give up the claim, and submit this instance's jobs again."""
        self._end_claim("this process stood still")
        self.listener.process_stalled()

    def _run_round(self, moment: float) -> None:
        for member in self.group.remove_expired_members(moment):
            self.transport.disconnect(member.at.address)
        self._forget_streams()
        if self.group.claim is not None:
            self._check_claim(moment)
        self._update_claim(moment)
        for member in self._beat_targets(moment):
            self._reconnect_if_silent(member, moment)
            self._send_beat(member, moment)
        for incarnation, stream in self.out_streams.items():
            member = self.group.members.get(incarnation)
            if member is not None:
                self._resend_due(member, stream, moment)

    def _resend_due(self, member: Member, stream: SendStream, moment: float) -> None:
        for message in stream.due_for_resend(moment):
            if isinstance(message, SubmitWork):
                message = attrs.evolve(message, echo=member.clock(moment))
            self.transport.send(member.at.address, member.at.incarnation, message)

    def _check_claim(self, moment: float) -> None:
        """Drop the jobs of silent entry instances, and the claim if most workers are lost."""
        if self.listener.has_lost_workers():
            self.group.fenced_until = moment + FENCED_BACKOFF_SECONDS
            self._end_claim("most workers obey another holder")
            return
        if self.group.is_divided and not self.group.claim.zone:
            self._end_claim("each availability zone of a large pool has its own scheduler")
            return
        if self.group.claim.is_divided and self.group.is_uneven:
            self._end_claim("the workers of another zone are needed")
            return
        held = self.listener.held_count()
        self.group.claim = attrs.evolve(self.group.claim, held=held)
        members = self.group.members
        live = {member.at.incarnation for member in self.group.live(moment)}
        waiting = self.listener.waiting_entries() - live - {self.own.incarnation}
        self.absent = {name: self.absent.get(name, moment) for name in waiting - members.keys()}
        for incarnation in sorted(waiting):
            if moment - self.absent.get(incarnation, float("-inf")) < PEER_TIMEOUT_SECONDS:
                # A delayed beat of an earlier incarnation may displace a silent member.
                continue
            self.log.warning("Entry instance lost.", peer=incarnation)
            self.listener.entry_lost(incarnation)

    def _end_claim(self, reason: str) -> None:
        if self.group.claim is not None:
            self.group.claim = None
            self.listener.claim_ended(reason)

    def _update_claim(self, moment: float) -> None:
        if self.group.must_yield(moment):
            self._end_claim("another claim is stronger")
        claim = self.group.next_claim(moment)
        if claim is not None:
            self.listener.claim_due(claim)
        self.follow()

    def _beat_targets(self, moment: float) -> list[Member]:
        """Return the members to send a beat to.

        A scheduler sends to all members, an instance without one to those that may become one, and
        others to the scheduler.
        Without a scheduler, this method itself sends a beat to the seeds that are not members.
        """
        members = self.group.members
        if self.group.claim is not None:
            is_divided = self.group.claim.is_divided
            return self.group.scheduled_members() if is_divided else list(members.values())
        if not self.follows:
            member_addresses = {member.at.address for member in members.values()}
            for address in self.seeds:
                if address not in member_addresses and address != self.own.address:
                    self.transport.send(address, "", self._seed_beat())
            return self.group.possible_schedulers(self.leaderless_at, self.rounds, moment)
        # The beats of the scheduler are answered at once, which is usually enough.
        scheduler = members.get(self.follows)
        is_due = moment - self.acknowledged_at >= BEAT_SECONDS
        return [scheduler] if scheduler is not None and is_due else []

    def _seed_beat(self) -> Beat:
        return Beat(self.own, self.listener.config().version, self.epoch, 0, 0, now())

    def _reconnect_if_silent(self, member: Member, moment: float) -> None:
        address = member.at.address
        silent_since = max(member.heard_at, member.listed_at, self.reconnected_at.get(address, 0.0))
        if moment - silent_since > RECONNECT_SECONDS:
            self.reconnected_at[address] = moment
            self.transport.disconnect(address)

    def _forget_streams(self) -> None:
        """Drop the streams of incarnations that are no longer members, and old schedulers."""
        for name, left in list(self.former.items()):
            if now() - left.heard_at > MEMBER_EXPIRY_SECONDS and name not in self.group.members:
                del self.former[name]
        for streams in (self.out_streams, self.in_streams):
            for incarnation in [name for name in streams if name not in self.group.members]:
                del streams[incarnation]
