"""Interfaces between the pool and the platform, and between the parts of the pool."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs
from result import Result

from cranberryshore.messages import (
    CancelMessage,
    CancelWork,
    RosterChanges,
    RosterNews,
    SubmitWork,
    WorkEnded,
)
from cranberryshore.pool import (
    Claim,
    ConfigConfirmation,
    HeldWorker,
    LostRun,
    MemberAddress,
    PoolConfig,
    StartRun,
    StopRun,
    WorkerListing,
    WorkerRegistration,
    WorkerStatus,
)
from cranberryshore.pool.evacuation import ZoneEvacuations


class StartReply(Enum):
    """A worker's reply to a start request.

    ``ATTEMPT_LOW`` means that the attempt number is not higher than an earlier one of the task.
    The last four are failures of the call: no process listens at the worker's address, so the
    request was not delivered; the connection was closed before the reply, as when the process ends;
    it was reset, as by a partition; no reply arrived in time.
    """

    STARTED = "started"
    FENCED = "fenced"
    ATTEMPT_LOW = "attempt_low"
    LEASE_EXPIRED = "lease_over"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    WORKER_RESTARTED = "other_life"
    MALFORMED = "malformed"
    REFUSED = "refused"
    CLOSED = "closed"
    DISCONNECTED = "disconnected"
    UNANSWERED = "unanswered"


class PollFailure(Enum):
    """Why a poll of a worker failed; the last four are as in :class:`StartReply`."""

    FENCED = "fenced"
    WORKER_RESTARTED = "other_life"
    MALFORMED = "malformed"
    REFUSED = "refused"
    CLOSED = "closed"
    DISCONNECTED = "disconnected"
    UNANSWERED = "unanswered"


@attrs.frozen
class PollRequest:
    """A poll of a worker's running and ended runs, which can also extend its lease.

    Parameters
    ----------
    token : int
        Fencing token of the scheduler.
    last_seen : int
        Ended runs up to this number are acknowledged.
    lease_end_ms : int or None
        New expiry time of the lease on the worker's clock; ``None`` leaves the lease unchanged.
    wait_ms : int
        How long the worker may delay its response while no run ends.
    """

    token: int
    last_seen: int
    lease_end_ms: int | None
    wait_ms: int


class WorkerCalls(Protocol):
    """Client for the requests to workers."""

    async def start(self) -> None:
        """Open the connection pool."""
        ...

    async def close(self) -> None:
        """Close the connection pool."""
        ...

    async def start_run(self, worker: HeldWorker, start: StartRun, seconds: float) -> StartReply:
        """Ask a worker to start a run, with a response timeout in seconds."""
        ...

    async def stop_run(self, worker: HeldWorker, stop: StopRun, seconds: float) -> bool:
        """Ask a worker to stop a run; return whether it responded before the timeout."""
        ...

    async def poll(
        self, worker: HeldWorker, poll: PollRequest, seconds: float
    ) -> Result[WorkerStatus, PollFailure]:
        """Extend a worker's lease, acknowledge ended runs and list its runs."""
        ...


ConfigHandler = Callable[[PoolConfig, float], None]
"""Called with a configuration, and a time at which it was the newest one."""

EvacuationHandler = Callable[[ZoneEvacuations, float], None]
"""Called with the evacuated zones, and a time at which they were the newest ones."""


class Registry(Protocol):
    """Decoded access to the pool's data in the platform's store.

    The ``follow_*`` methods call their callback on changes until they are cancelled.
    """

    async def start(self) -> None:
        """Open connections."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...

    async def follow_config(
        self, on_config: ConfigHandler, on_evacuations: EvacuationHandler | None = None
    ) -> None:
        """Report every configuration that operators publish, again and again while it is newest.

        With ``on_evacuations``, the evacuated zones are reported in the same way.
        """
        ...

    async def read_config(self, on_config: ConfigHandler) -> None:
        """Report the present configuration once, if the store responds."""
        ...

    async def follow_workers(
        self,
        on_workers: Callable[[WorkerListing], None],
        known: tuple[WorkerRegistration, ...],
        on_page: Callable[[], None] = lambda: None,
    ) -> None:
        """Report the registered workers whenever they change, and each time they are confirmed.

        ``known`` are the workers that the caller holds, which may have lost their registration.
        ``on_page`` is called with each part of a listing that the store has answered.
        """
        ...

    async def keep_registered(self, member: MemberAddress) -> None:
        """Register an instance as a member of the pool and renew the registration."""
        ...

    async def unregister(self) -> None:
        """Stop renewing the registration."""
        ...

    async def save_losses(self, publisher: str, lost_runs: tuple[LostRun, ...]) -> bool:
        """Store the records of lost runs of one scheduler; return whether the store took them."""
        ...

    async def load_losses(self) -> tuple[LostRun, ...] | None:
        """Return the stored records of all schedulers, ``None`` if the store does not respond."""
        ...

    async def list_members(self) -> tuple[MemberAddress, ...] | None:
        """Return the registered instances, or ``None`` if the store does not respond."""
        ...


class EvacuationExchange(Protocol):
    """Evacuations of availability zones, as the instances tell each other."""

    def hear(self, sender: str, evacuations: ZoneEvacuations, store_age: float | None) -> None:
        """Handle what a peer knows, whom the store has answered ``store_age`` seconds ago."""
        ...

    def to_send(self) -> ZoneEvacuations | None:
        """Return what this instance knows; ``None`` as long as no evacuation was ever known."""
        ...


NumberedMessage = SubmitWork | CancelWork | WorkEnded


class ExchangeListener(Protocol):
    """Callbacks and queries of :class:`PeerExchange`."""

    def scheduler_changed(self) -> None:
        """Handle a change of the followed scheduler, or its loss."""
        ...

    def scheduler_released(self) -> None:
        """Handle that a former scheduler can start nothing more for this instance."""
        ...

    def entry_lost(self, incarnation: str) -> None:
        """Drop the jobs of an entry instance that has failed or follows another scheduler."""
        ...

    def entry_acknowledged(
        self, incarnation: str, heartbeat_at: float, roster_version: int
    ) -> None:
        """Handle that an entry instance follows this scheduler and has received a heartbeat.

        The heartbeat was sent at ``heartbeat_at`` on the monotonic clock of this instance.
        """
        ...

    def handle_message(self, sender: str, message: NumberedMessage) -> None:
        """Handle a message, delivered in order."""
        ...

    def handle_config(self, config: PoolConfig) -> None:
        """Handle the configuration in force at a peer."""
        ...

    def handle_roster(self, version: int, workers: tuple[WorkerRegistration, ...]) -> None:
        """Handle a peer's list of workers."""
        ...

    def handle_roster_changes(self, changes: RosterChanges) -> None:
        """Handle the changes of a peer's list of workers."""
        ...

    def handle_cancelling(self, sender: str, message: CancelMessage) -> None:
        """Handle a message about cancelled jobs."""
        ...

    def handle_losses(self, lost_runs: tuple[LostRun, ...]) -> None:
        """Handle runs that were lost with their workers."""
        ...

    def lost_runs(self) -> tuple[LostRun, ...]:
        """Return the runs that were lost with their workers."""
        ...

    def roster_news(self, base: int) -> RosterNews | RosterChanges:
        """Return the message that brings a peer's list of workers up to date.

        ``base`` is the version that the peer has.
        """
        ...

    def config(self) -> PoolConfig:
        """Return the configuration in force."""
        ...

    def config_confirmation(self) -> ConfigConfirmation:
        """Return what is known of the newest configuration."""
        ...

    def evacuations(self) -> EvacuationExchange:
        """Return the evacuations that this instance knows."""
        ...

    def store_age(self, moment: float) -> float | None:
        """Return the time since the platform's store has answered; ``None`` if it has not."""
        ...

    def roster(self) -> tuple[int, tuple[WorkerRegistration, ...]]:
        """Return the version of the worker list, and the list."""
        ...

    def held_count(self) -> int:
        """Return the number of workers that accept this instance's token."""
        ...

    def has_lost_workers(self) -> bool:
        """Return whether most workers have accepted another scheduler's higher token."""
        ...

    def waiting_entries(self) -> set[str]:
        """Return the entry instances whose jobs are scheduled here."""
        ...

    def process_stalled(self) -> None:
        """Handle a stall, in which this process did not run for some time."""
        ...

    def claim_due(self, claim: Claim) -> None:
        """Start scheduling under a claim, if a configuration is known.

        No other instance schedules, or the leaving scheduler has named this one its successor.
        """
        ...

    def claim_ended(self, reason: str) -> None:
        """Stop scheduling, for the given reason."""
        ...
