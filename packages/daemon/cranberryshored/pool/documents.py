"""Transfers of the configuration and of the list of workers between the instances of a pool."""

from collections.abc import Callable
from math import isfinite

import attrs

from cranberryshore.messages import (
    Beat,
    ConfigNews,
    ConfigRequest,
    LossNews,
    PeerMessage,
    RosterChanges,
    RosterNews,
)
from cranberryshore.pool import Group, LostRun, Member
from cranberryshore.pool.transfers import OWN_READ_SECONDS, Transfers
from cranberryshored.pool.clock import now
from cranberryshored.pool.protocols import ExchangeListener

CONFIG_REQUEST_SECONDS = 0.15
"""Interval of requests for a configuration, each to the peer whose heartbeat has just arrived."""


@attrs.define(eq=False)
class DocumentExchange:
    """Sends documents to the peers that lack them, and requests newer ones.

    Parameters
    ----------
    send : callable
        Sends a message to a member.
    rosters, configs : Transfers
        Transfers that are under way.
    config_outdated_since : float or None
        Time since which a peer is known to have a newer configuration.
    config_requested_at : float
        Time of the latest request for it.
    """

    group: Group
    listener: ExchangeListener
    send: Callable[[Member, PeerMessage], None]
    rosters: Transfers = attrs.field(factory=Transfers)
    configs: Transfers = attrs.field(factory=Transfers)
    config_outdated_since: float | None = None
    config_requested_at: float = float("-inf")

    def deliver(self, sender: str, message: PeerMessage) -> None:
        """Handle a document, or a request for one."""
        if isinstance(message, ConfigNews):
            self.listener.handle_config(message.config)
        elif isinstance(message, ConfigRequest):
            self.send_config(sender)
        elif isinstance(message, RosterNews):
            self.listener.handle_roster(message.version, message.workers)
        elif isinstance(message, RosterChanges):
            self.listener.handle_roster_changes(message)
        elif isinstance(message, LossNews):
            self.listener.handle_losses(message.lost_runs)

    def config_applied(self) -> None:
        """Record that the configuration in force has changed."""
        self.config_outdated_since = None

    def config_age(self, moment: float) -> float | None:
        """Return how long ago the configuration in force was last known to be the newest one."""
        confirmation = self.listener.config_confirmation()
        age = confirmation.age(moment)
        is_known = confirmation.version == self.listener.config().version
        return age if is_known and isfinite(age) else None

    def record_confirmation(self, beat: Beat) -> None:
        """Record what a peer knows of the newest configuration."""
        newest_at = float("-inf")
        if beat.config_age is not None and beat.echo is not None:
            newest_at = beat.echo - beat.config_age
        self.listener.config_confirmation().record(beat.config_version, newest_at)

    def record_evacuations(self, beat: Beat) -> None:
        """Record what a peer knows of evacuations."""
        if beat.evacuations is not None:
            keeper = self.listener.evacuations()
            keeper.hear(beat.sender.incarnation, beat.evacuations, beat.store_age)

    def compare_config(self, member: Member, moment: float) -> None:
        """Request the configuration of a peer if it is newer and could not be read from the store.

        Called with each heartbeat of the peer.
        """
        self.configs.acknowledge(member.at.incarnation, member.config_version)
        if member.config_version <= self.listener.config().version:
            return
        if self.config_outdated_since is None:
            self.config_outdated_since = moment
        is_due = moment - self.config_requested_at >= CONFIG_REQUEST_SECONDS
        if is_due and moment - self.config_outdated_since >= OWN_READ_SECONDS:
            self.config_requested_at = moment
            request = ConfigRequest(member.config_version)
            self.send(member, request)

    def send_config(self, receiver: str) -> None:
        """Send the configuration to a peer that has requested it."""
        member, config = self.group.members.get(receiver), self.listener.config()
        if member is not None and self.configs.begin(
            receiver, config.version, len(config.queues), now()
        ):
            self.send(member, ConfigNews(config))

    def send_roster(self, member: Member) -> None:
        """Send the list of workers, or its changes, to a follower that lacks them."""
        version, _ = self.listener.roster()
        receiver = member.at.incarnation
        if self.rosters.acknowledge(receiver, member.roster_version):
            # Waiting for their next heartbeats would leave them without workers for some rounds.
            self._send_to_next_waiting()
        if member.roster_version >= version:
            return
        news = self.listener.roster_news(member.roster_version)
        entries = news.changed if isinstance(news, RosterChanges) else news.workers
        if self.rosters.begin(receiver, version, len(entries), now()):
            self.send(member, news)

    def send_losses(self, member: Member, lost_runs: tuple[LostRun, ...]) -> None:
        """Send records of lost runs to a peer, which may schedule next."""
        if lost_runs:
            self.send(member, LossNews(lost_runs))

    def _send_to_next_waiting(self) -> None:
        receiver = self.rosters.next_waiting()
        waiting = self.group.members.get(receiver) if receiver is not None else None
        if waiting is not None:
            self.send_roster(waiting)
