"""What a pool needs of the platform, in the product's own words."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import attrs
from result import Result

from cranberryshore.messages import CancelWork, SubmitWork, WorkEnded
from cranberryshore.pool import (
    Claim,
    HeldWorker,
    MemberAddress,
    PoolConfig,
    StartRun,
    StopRun,
    WorkerRegistration,
    WorkerStatus,
)


class StartReply(Enum):
    """A worker's reply to a start."""

    STARTED = "started"
    FENCED = "fenced"
    ATTEMPT_LOW = "attempt_low"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"
    MALFORMED = "malformed"
    UNANSWERED = "unanswered"


class LookFailure(Enum):
    """Why a look brought nothing."""

    FENCED = "fenced"
    OTHER_LIFE = "other_life"
    MALFORMED = "malformed"
    UNANSWERED = "unanswered"


@attrs.frozen
class Look:
    """One look at a worker.

    Parameters
    ----------
    token : int
        Fencing token of the holder.
    last_seen : int
        Ends up to this number are taken note of.
    lease_end_ms : int or None
        New end of the lease on the worker's clock; ``None`` leaves the lease as it is.
    wait_ms : int
        How long the worker may hold the answer back until a run ends.
    """

    token: int
    last_seen: int
    lease_end_ms: int | None
    wait_ms: int


class WorkerCalls(Protocol):
    """Calls to workers."""

    async def start(self) -> None:
        """Open the connection pool."""
        ...

    async def close(self) -> None:
        """Close the connection pool."""
        ...

    async def start_run(self, worker: HeldWorker, start: StartRun, seconds: float) -> StartReply:
        """Ask a worker to start a run, and wait so long for its answer."""
        ...

    async def stop_run(self, worker: HeldWorker, stop: StopRun, seconds: float) -> bool:
        """Ask a worker to stop a run; return whether it answered in time."""
        ...

    async def look(
        self, worker: HeldWorker, look: Look, seconds: float
    ) -> Result[WorkerStatus, LookFailure]:
        """Extend a worker's lease, confirm ends and read its lists."""
        ...


class Registry(Protocol):
    """What the platform's store holds for a pool, decoded.

    ``follow_*`` keep a listener up to date until they are cancelled.
    """

    async def start(self) -> None:
        """Open connections."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...

    async def follow_config(self, on_config: Callable[[PoolConfig], None]) -> None:
        """Report every configuration that the operators put in force."""
        ...

    async def follow_workers(
        self, on_workers: Callable[[tuple[WorkerRegistration, ...]], None]
    ) -> None:
        """Report the registered workers whenever they change."""
        ...

    async def keep_registered(self, member: MemberAddress) -> None:
        """Keep an instance registered as a member of the pool."""
        ...

    async def unregister(self) -> None:
        """End the registration."""
        ...

    async def list_members(self) -> tuple[MemberAddress, ...] | None:
        """Return the registered instances; ``None`` if the store does not answer."""
        ...


Numbered = SubmitWork | CancelWork | WorkEnded


class ExchangeListener(Protocol):
    """Told of what happens in the group."""

    def scheduler_changed(self) -> None:
        """Take note that this instance follows another scheduler, or none."""
        ...

    def peer_left(self, incarnation: str) -> None:
        """Drop the jobs of a peer that is gone or follows another scheduler."""
        ...

    def take(self, sender: str, message: Numbered) -> None:
        """Take a message that has arrived in order."""
        ...

    def take_config(self, config: PoolConfig) -> None:
        """Take a configuration that a peer has in force."""
        ...

    def take_roster(self, version: int, workers: tuple[WorkerRegistration, ...]) -> None:
        """Take a peer's list of workers."""
        ...

    def config(self) -> PoolConfig:
        """Return the configuration in force."""
        ...

    def roster(self) -> tuple[int, tuple[WorkerRegistration, ...]]:
        """Return the version of the list of workers, and the list."""
        ...

    def held_count(self) -> int:
        """Return the number of workers that obey this instance."""
        ...

    def has_lost_hold(self) -> bool:
        """Tell whether most workers obey another holder."""
        ...

    def waiting_entries(self) -> set[str]:
        """Return the entry instances whose jobs are scheduled here."""
        ...

    def stood_still(self) -> None:
        """Take note that this process stood still for some time."""
        ...

    def claim_wanted(self, claim: Claim) -> None:
        """Claim, because nobody else schedules."""
        ...

    def claim_ended(self, reason: str) -> None:
        """End scheduling, for the given reason."""
        ...
