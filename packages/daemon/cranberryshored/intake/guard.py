"""Limits of a process on the input of all its HTTP clients, and their enforcement over time."""

import asyncio
import resource
from typing import Protocol

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.intake import (
    ConnectionTable,
    InputBudget,
    IntakeCause,
    IntakeLimits,
    Phase,
    Progress,
    RequestFramer,
    derive_limits,
)
from cranberryshore.settings.intake import IntakeSettings
from cranberryshored.intake.replies import BodyFormat
from cranberryshored.metrics import Metrics

SWEEP_SECONDS = 0.25
"""Period of the checks of time limits, which run only while there is something to check."""

LOG_SECONDS = 1.0
"""Minimum time between two records of the same cause."""

MAX_LINGERING = 16
"""Refused connections whose input is discarded so that the client can read the response; each one
keeps a descriptor for up to ``LINGER_SECONDS``."""


class GuardedConnection(Protocol):
    """Connection as seen by the guard."""

    framer: RequestFramer
    progress: Progress | None

    def refuse(self, cause: IntakeCause) -> None:
        """Send a refusal and close the connection."""
        ...

    def end(self, cause: IntakeCause) -> None:
        """Close the connection without a response."""
        ...

    def memory_granted(self) -> None:
        """Continue to read a request that waited for memory."""
        ...


@attrs.define(eq=False)
class ListenerGuard:
    """Connections of one address.

    Parameters
    ----------
    name : str
        Label of the address in metrics and logs.
    """

    name: str
    guard: "IntakeGuard"
    table: ConnectionTable
    body_format: BodyFormat

    def admit(self, connection: GuardedConnection, now: float) -> bool:
        """Register a new connection, if necessary in place of another one."""
        if self.table.is_full():
            other = self.table.choose(now)
            if other is None:
                return False
            self.close_for_another(other, now)
        self.table.set_phase(connection, Phase.SILENT, now)
        return True

    def close_for_another(self, connection: GuardedConnection, now: float) -> None:
        """Close a connection, or let it end after its response, so that another can be served."""
        phase = self.table.phases.get(connection)
        if phase is Phase.AHEAD:
            self.table.set_phase(connection, Phase.LEAVING, now)
            return
        if phase is Phase.RECEIVING:
            connection.refuse(IntakeCause.NO_CONNECTION)
        else:
            connection.end(IntakeCause.IDLE)
        self.table.remove(connection)


@attrs.define(eq=False)
class IntakeGuard:
    """All clients of a process.

    Parameters
    ----------
    receiving : dict
        Connections with an incomplete request and their addresses, in order of their progress.
    blocked : dict
        Connections whose clients do not read a response, and since when.
    lingering : int
        Refused connections whose input is discarded.
    """

    limits: IntakeLimits
    metrics: Metrics
    log: FilteringBoundLogger
    budget: InputBudget = attrs.field(init=False)
    receiving: dict[GuardedConnection, ListenerGuard] = attrs.field(factory=dict)
    blocked: dict[GuardedConnection, float] = attrs.field(factory=dict)
    lingering: int = 0
    logged_at: dict[IntakeCause, float] = attrs.field(factory=dict)
    omitted: dict[IntakeCause, int] = attrs.field(factory=dict)
    sweep_handle: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self.budget = InputBudget(self.limits.small_total, self.limits.large_total)
        self.metrics.client_input_bytes.set_function(
            lambda: self.budget.held_bytes + self.budget.reserved_bytes
        )

    def listener(self, name: str, limit: int, body_format: BodyFormat) -> ListenerGuard:
        """Return the guard of one address with at most ``limit`` connections."""
        table = ConnectionTable(limit)
        self.metrics.client_connections.labels(name).set_function(lambda: len(table.phases))
        return ListenerGuard(name, self, table, body_format)

    def report(self, cause: IntakeCause, listener: ListenerGuard) -> None:
        """Count a refusal, and log it unless the same cause was logged within the last second."""
        self.metrics.refused_clients.labels(cause.value, listener.name).inc()
        now = asyncio.get_running_loop().time()
        if now - self.logged_at.get(cause, float("-inf")) < LOG_SECONDS:
            self.omitted[cause] = self.omitted.get(cause, 0) + 1
            return
        self.logged_at[cause] = now
        self.log.warning(
            "Refused a client.",
            cause=cause.value,
            address=listener.name,
            others=self.omitted.pop(cause, 0),
        )

    def start_receiving(self, connection: GuardedConnection, listener: ListenerGuard) -> None:
        """Record progress of an incomplete request, and close others if memory is short."""
        self.receiving.pop(connection, None)
        self.receiving[connection] = listener
        self.budget.hold(connection, connection.framer.held_bytes)
        while self.budget.is_exceeded():
            other = self.budget.largest(self.receiving)
            if other is None:
                break
            other.refuse(IntakeCause.NO_MEMORY)
        self.schedule_sweep()

    def release(self, connection: GuardedConnection) -> None:
        """Forget the request of a connection; the memory is used for those that wait."""
        self.receiving.pop(connection, None)
        budget = self.budget
        if connection not in budget.reserved and connection not in budget.waiting:
            budget.held_bytes -= budget.held.pop(connection, 0)
            return
        for other in budget.release(connection, asyncio.get_running_loop().time()):
            other.memory_granted()

    def schedule_sweep(self) -> None:
        """Check the time limits soon."""
        if self.sweep_handle is None:
            loop = asyncio.get_running_loop()
            self.sweep_handle = loop.call_later(SWEEP_SECONDS, self._sweep)

    def _sweep(self) -> None:
        self.sweep_handle = None
        now = asyncio.get_running_loop().time()
        settings = self.limits.settings
        for connection in self.budget.overdue(now, settings.memory_wait_seconds):
            connection.refuse(IntakeCause.NO_MEMORY)
        for connection in self.budget.stalled(now):
            # Each refusal may end the wait of others; the rest keep their reservations then.
            if self.budget.waiting:
                connection.refuse(IntakeCause.NO_MEMORY)
        for connection in list(self.receiving):
            progress = connection.progress
            if progress is None or connection in self.budget.waiting:
                continue
            cause = progress.check(settings, connection.framer.received, now)
            if cause is not None:
                connection.refuse(cause)
        for connection, since in list(self.blocked.items()):
            if now - since >= settings.response_seconds:
                connection.end(IntakeCause.UNREAD_RESPONSE)
        if self.receiving or self.blocked or self.budget.waiting:
            self.schedule_sweep()

    def close(self) -> None:
        """Stop the checks."""
        if self.sweep_handle is not None:
            self.sweep_handle.cancel()
            self.sweep_handle = None


def make_guard(
    settings: IntakeSettings, metrics: Metrics, log: FilteringBoundLogger
) -> IntakeGuard:
    """Return the guard of this process."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return IntakeGuard(derive_limits(settings, descriptors), metrics, log)
