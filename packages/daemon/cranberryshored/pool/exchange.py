"""Heartbeats (beats) and reliable, ordered messages between the instances of a pool."""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import Beat, CancelMessage, PeerMessage, SubmitWork
from cranberryshore.pool import Claim, Group, LostRun, Member, MemberAddress
from cranberryshore.pool.group import FENCED_BACKOFF_SECONDS
from cranberryshore.pool.stream import StreamPosition
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.pool.documents import DocumentExchange
from cranberryshored.pool.following import Following
from cranberryshored.pool.heartbeats import BEAT_SECONDS, HeartbeatSender
from cranberryshored.pool.peer_connections import PeerConnections
from cranberryshored.pool.peer_streams import PeerStreams
from cranberryshored.pool.protocols import ExchangeListener, NumberedMessage
from cranberryshored.pool.relief import SchedulerRelief
from cranberryshored.pool.silent_entries import SilentEntries
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task
from cranberryshored.transport import Transport

STALL_SECONDS = 0.45
"""Gap between two beats after which this process counts as stalled."""


@attrs.define(eq=False)
class PeerExchange:
    """Maintains the view of the group and transfers messages between its members.

    Parameters
    ----------
    seeds : tuple of str
        Addresses to send beats to while no scheduler is known.
    """

    group: Group
    seeds: tuple[str, ...]
    listener: ExchangeListener
    metrics: Metrics
    log: FilteringBoundLogger
    transport: Transport | None = None
    beat_at: float = 0.0
    task: asyncio.Task | None = None
    documents: DocumentExchange = attrs.field(init=False)
    following: Following = attrs.field(init=False)
    streams: PeerStreams = attrs.field(init=False)
    connections: PeerConnections = attrs.field(init=False)
    heartbeats: HeartbeatSender = attrs.field(init=False)
    relief: SchedulerRelief = attrs.field(init=False)
    silent_entries: SilentEntries = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.documents = DocumentExchange(self.group, self.listener, self.send_unnumbered)
        self.following = Following(self.group)
        self.streams = PeerStreams(self.group, self._send_message)
        self.connections = PeerConnections(self._disconnect, self.log)
        self.relief = SchedulerRelief(self.group, self.listener, self.log)
        self.silent_entries = SilentEntries(self.group, self.listener, self.log)
        self.heartbeats = HeartbeatSender(
            self.group,
            self.seeds,
            self.listener,
            self.following,
            self.streams,
            self.documents,
            self._send_message,
        )

    async def start(self) -> None:
        """Start sending beats."""
        self.beat_at = self.following.leaderless_at = now()
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop sending beats."""
        await cancel_tasks([self.task])

    @property
    def own(self) -> MemberAddress:
        """Return the address of this instance."""
        return self.group.own

    @property
    def follows(self) -> str:
        """Return the incarnation of the scheduler, or an empty string if there is none."""
        return self.following.scheduler

    @property
    def epoch(self) -> int:
        """Return how often this instance has changed its scheduler."""
        return self.following.epoch

    def send(
        self, incarnation: str, make: Callable[[StreamPosition, float], NumberedMessage]
    ) -> None:
        """Send a numbered message to a peer, and resend it until it is acknowledged.

        ``make`` returns the message, given its position in the stream and the estimated time of the
        peer's monotonic clock.
        """
        self.streams.send(incarnation, make)

    def _send_message(self, address: str, incarnation: str, message: Any) -> None:
        self.transport.send(address, incarnation, message)

    def _disconnect(self, address: str) -> None:
        self.transport.disconnect(address)

    def send_unnumbered(self, member: Member, message: PeerMessage) -> None:
        """Send a message to a peer once."""
        self.transport.send(member.at.address, member.at.incarnation, message)

    def deliver(self, sender: str, message: Any) -> None:
        """Handle a message from the transport."""
        if isinstance(message, Beat):
            if message.sender.address != self.own.address:
                self._handle_beat(message)
        elif isinstance(message, NumberedMessage):
            if isinstance(message, SubmitWork):
                self.relief.lag.record_submission(now() - message.echo)
            for ready in self.streams.take(sender, message):
                self.listener.handle_message(sender, ready)
        elif isinstance(message, CancelMessage):
            self.listener.handle_cancelling(sender, message)
        else:
            self.documents.deliver(sender, message)

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
            self.heartbeats.send(member, moment)

    def follow(self) -> None:
        """Follow the scheduler with the strongest claim."""
        scheduler = self.group.scheduler(now())
        follows = self.own.incarnation if self.group.claim is not None else ""
        term, zone = 0, ""
        if not follows and scheduler is not None:
            follows, term = scheduler.at.incarnation, scheduler.claim.term
            zone = scheduler.claim.zone
        if (follows, term) == (self.follows, self.following.term):
            return
        self.log.info("Scheduler followed.", before=self.follows, scheduler=follows)
        self._reset_acknowledgement_times()
        self.streams.withdraw_jobs(self.follows)
        before = self.group.members.get(self.follows)
        self.following.change(follows, term, zone)
        if not follows:
            for member in self.group.possible_schedulers(now(), self.heartbeats.rounds, now()):
                self.inform(member)
        if before is not None and follows:
            # The previous scheduler then stops this instance's jobs, so the new one can start them.
            self.inform(before)
        if scheduler is not None and follows == scheduler.at.incarnation:
            self.inform(scheduler)
        self.listener.scheduler_changed()

    def claim_zone(self) -> str:
        """Return the zone that the claim of the followed scheduler is limited to, if any."""
        return self.following.zone if self.group.claim is None else self.group.claim.zone

    def claim_term(self) -> int:
        """Return the term of the claim of the followed scheduler, 0 if there is none."""
        return self.following.term if self.group.claim is None else self.group.claim.term

    def has_released(self, scheduler: str) -> bool:
        """See :meth:`Following.has_released`."""
        return self.following.has_released(scheduler)

    def _reset_acknowledgement_times(self) -> None:
        """Restart the timeouts for acknowledgement of beats.

        After a change of scheduler, beats go to members that had none to acknowledge before.
        """
        moment = now()
        for member in self.group.members.values():
            member.acknowledged_at = moment

    def _handle_beat(self, beat: Beat) -> None:
        moment = now()
        if self.group.is_replaced(beat.sender, moment):
            return
        is_new = beat.sender.incarnation not in self.group.members
        member = self.group.record_contact(beat.sender, moment)
        if beat.sender.incarnation == self.follows:
            self.following.heard_at = moment
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
        member.load = beat.load
        if beat.store_age is not None:
            member.store_answered_at = moment - beat.store_age
        if beat.successor and beat.sender.incarnation == self.follows:
            member.handed_over_at = moment
        if beat.listing_age is not None and beat.sender.incarnation == self.follows:
            self.group.listing_read_at = moment - beat.listing_age
        for item in beat.members:
            self.group.add_reported_member(item, moment)
        self.connections.replace_if_unheard(member, beat, moment)
        self.streams.acknowledge(beat)
        if beat.successor == self.own.incarnation and self.group.claim is None:
            self._take_over(beat)
        if is_new:
            self.log.info("Peer discovered.", peer=beat.sender.incarnation)
            if self.group.claim is not None:
                self.documents.send_losses(member, self.listener.lost_runs())
        if is_new or has_left or self.following.must_inform(beat):
            self.heartbeats.send(member, moment)
        self.documents.record_confirmation(beat)
        self.documents.record_evacuations(beat)
        self.documents.compare_config(member, moment)
        self._handle_follower(member, beat, moment)
        if beat.claim is not None:
            self.group.learn_division(beat.claim)
        if beat.claim is not None or member.at.incarnation == self.follows:
            self._update_claim(moment)
        if member.at.incarnation == self.follows:
            self.heartbeats.send(member, moment)
        elif beat.sender.incarnation in self.following.former:
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
        self.heartbeats.send(member, now())

    def acknowledge(self) -> None:
        """Send a beat to the scheduler now, which tells the version of the roster."""
        scheduler = self.group.members.get(self.follows)
        if scheduler is not None:
            self.inform(scheduler)

    def _take_over(self, beat: Beat) -> None:
        """Take over from a scheduler that has named this instance as its successor."""
        if beat.sender.incarnation == self.follows and not self.group.is_draining:
            self.log.info("Taking over from a leaving scheduler.", peer=self.follows)
            self._claim(self.group.claim_of_successor())

    async def _run(self) -> None:
        while True:
            planned = now() + BEAT_SECONDS
            await asyncio.sleep(BEAT_SECONDS)
            moment = now()
            self.metrics.loop_lag.observe(max(moment - planned, 0.0))
            self.relief.lag.record(moment - planned, moment)
            if moment - self.beat_at > STALL_SECONDS:
                self._handle_stall(moment)
            self.beat_at = moment
            self.heartbeats.rounds += 1
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
        self.following.discard_outdated()
        self.streams.discard_outdated()
        if self.group.claim is not None:
            self._check_claim(moment)
        self._update_claim(moment)
        for member in self.heartbeats.targets(moment):
            self.connections.replace_if_silent(member, moment)
            self.heartbeats.send(member, moment)
        self.streams.resend_due(moment)

    def _check_claim(self, moment: float) -> None:
        """Drop the jobs of silent entry instances, and the claim if most workers are lost."""
        if self.listener.has_lost_workers():
            self.group.fenced_until = moment + FENCED_BACKOFF_SECONDS
            self._end_claim("most workers obey another holder")
            return
        if self.group.is_divided and not self.group.claim.zone:
            if not self.relief.is_preparing(moment):
                self._end_claim("each availability zone has its own scheduler")
            return
        if self.group.claim.is_divided and self.group.is_uneven:
            self._end_claim("the workers of another zone are needed")
            return
        reader = self.group.reader(self.listener.store_age(moment), moment)
        if reader is not None:
            self.log.warning(
                "Store does not answer with the workers; another instance schedules.",
                peer=reader.at.incarnation,
                listing_seconds=round(moment - self.group.listing_read_at, 2),
                answer_seconds=self.listener.store_age(moment),
            )
            reason = "another instance reads the registrations of the workers"
            self._hand_over(reader, moment, reason)
            return
        held = self.listener.held_count()
        self.group.claim = attrs.evolve(self.group.claim, held=held)
        stronger = self.relief.find_successor(moment)
        if stronger is not None:
            self._hand_over(stronger, moment, "a stronger instance schedules")
            return
        if self.relief.prepare_division(moment):
            self.announce()
        self.silent_entries.drop_jobs(moment)

    def _hand_over(self, successor: Member, moment: float, reason: str) -> None:
        """Let another instance schedule, which claims when it hears of it."""
        self.group.fenced_until = moment + FENCED_BACKOFF_SECONDS
        self.heartbeats.successor = successor.at.incarnation
        self._end_claim(reason)
        self.announce()

    def _claim(self, claim: Claim) -> None:
        self.heartbeats.successor = ""
        self.relief.claimed()
        self.listener.claim_due(claim)

    def _end_claim(self, reason: str) -> None:
        if self.group.claim is not None:
            self.group.claim = None
            self.listener.claim_ended(reason)

    def _update_claim(self, moment: float) -> None:
        if self.group.must_yield(moment):
            self._end_claim("another claim is stronger")
        claim = self.group.next_claim(moment)
        if claim is not None:
            self._claim(claim)
        self.follow()
