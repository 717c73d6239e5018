"""Admission and queueing of the requests to one service, limited by upstream slots."""

from collections.abc import Callable

import attrs

from cranberryshore.dispatch import effects as out
from cranberryshore.dispatch.lending import Backlog, LoanBalancer
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.limits.fair_queue import FairQueue
from cranberryshore.placement.assignment import Assignment
from cranberryshore.placement.shared_pool import Grant, SharedPool
from cranberryshore.work.capacity import Capacity

ONE_SLOT = Capacity(slots=1)
EWMA_WEIGHT = 0.05
MIN_RETRY_AFTER_MS = 20
FAILURE_PAUSE_SECONDS = 1.0
SLOW_FACTOR = 1.5


@attrs.frozen
class GateSettings:
    """Limits of one service.

    Parameters
    ----------
    queue_limit : int
        Maximum number of requests that wait for a slot.
    """

    queue_limit: int = 2000


@attrs.define(eq=False)
class Ticket:
    """A request that waits for an upstream slot or holds one.

    ``refusal`` is set if the request was refused, which happens only before it is forwarded.
    """

    id: int
    team: str
    is_urgent: bool
    arrived_at: float
    deadline_at: float
    upstream: str | None = None
    refusal: Refusal | None = None

    @property
    def is_waiting(self) -> bool:
        """Return whether the request still waits for a slot."""
        return self.upstream is None and self.refusal is None


@attrs.frozen
class TicketDecided(out.Effect):
    """A ticket has received a slot or a refusal."""

    ticket: Ticket


@attrs.define
class UpstreamRecord:
    """Moving average of the service time of an upstream, and the end of its failure pause."""

    service_ms: float = 0.0
    paused_until: float = 0.0


@attrs.define
class RequestGate:
    """Allocates the slots of the upstreams of one service in the zone.

    Each upstream is assigned to one entry instance, which alone allocates its slots; peers with
    a backlog borrow slots from it. Requests are forwarded only with a slot, so that they queue
    here and not inside an upstream.

    Parameters
    ----------
    settings : GateSettings
        Limits of the service.
    pool : SharedPool
        Upstreams of the service and their slots.
    queue : FairQueue
        Requests that wait for a slot.
    records : dict
        Service time and failure pause by upstream name.
    service_ms : float
        Moving average of the service time over all upstreams.
    waiting : int
        Number of requests that wait for a slot.
    """

    settings: GateSettings
    pool: SharedPool = attrs.field(factory=SharedPool)
    queue: FairQueue[Ticket] = attrs.field(
        factory=lambda: FairQueue(is_live=lambda ticket: ticket.is_waiting)
    )
    records: dict[str, UpstreamRecord] = attrs.field(factory=dict)
    assignment: Assignment = Assignment()
    service_ms: float = 10.0
    waiting: int = 0
    loan_balancer: LoanBalancer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.loan_balancer = LoanBalancer(self.pool)

    def set_upstreams(self, slots: dict[str, int]) -> None:
        """Set the upstreams that may receive new requests and their numbers of slots."""
        for name, count in slots.items():
            self.pool.add(name, Capacity(slots=count))
            self.records.setdefault(name, UpstreamRecord())
        for name, member in list(self.pool.members.items()):
            member.is_open = name in slots
            if not member.is_open and member.used.slots == 0:
                self.pool.remove(name)
                self.records.pop(name, None)
        self.pool.assign(self.assignment)

    def assign(self, assignment: Assignment) -> list[out.Effect]:
        """Apply an assignment of upstreams to instances."""
        self.assignment = assignment
        held = self.pool.assign(assignment)
        return [out.ReportHeldLoans(tuple(held))] if held else []

    def admit(self, ticket: Ticket, now: float) -> list[out.Effect]:
        """Assign a slot to a request, queue it or refuse it."""
        effects = self.loan_balancer.check_pause(now)
        ticket.refusal = self._refusal(ticket, now)
        if ticket.refusal is not None:
            return [*effects, TicketDecided(ticket)]
        if self.waiting == 0 and self._place(ticket, now):
            # With an empty queue, bypassing it overtakes no other request.
            return [*effects, TicketDecided(ticket)]
        self.waiting += 1
        self.queue.push(ticket.team, ticket.is_urgent, ticket)
        return effects + self.advance(now)

    def finish(self, upstream: str, now: float, service_ms: float, is_ok: bool) -> list[out.Effect]:
        """Release the slot of a request that has ended."""
        self.pool.release(upstream, ONE_SLOT)
        record = self.records.get(upstream)
        if record is not None and not is_ok:
            record.paused_until = now + FAILURE_PAUSE_SECONDS
        elif record is not None:
            record.service_ms += EWMA_WEIGHT * (service_ms - record.service_ms)
            self.service_ms += EWMA_WEIGHT * (service_ms - self.service_ms)
        return self.advance(now)

    def release(self, upstream: str, now: float, least_ms: float = 0.0) -> list[out.Effect]:
        """Release the slot of a request that was not sent, or whose end was not awaited.

        It would have taken longer than ``least_ms``, which tells something only of a slow upstream.
        """
        self.pool.release(upstream, ONE_SLOT)
        record = self.records.get(upstream)
        if record is not None:
            record.service_ms += EWMA_WEIGHT * max(least_ms - record.service_ms, 0.0)
            self.service_ms += EWMA_WEIGHT * max(least_ms - self.service_ms, 0.0)
        return self.advance(now)

    def abandon(self, ticket: Ticket, now: float) -> list[out.Effect]:
        """Cancel a waiting request whose caller has disconnected."""
        if not ticket.is_waiting:
            return []
        return self._refuse(ticket, ErrorType.CANCELLED, "The caller went away.", None)

    def advance(self, now: float) -> list[out.Effect]:
        """Assign free slots to waiting requests and balance slots with the peers."""
        effects = self.loan_balancer.check_pause(now)
        if self.waiting == 0 and self.loan_balancer.is_idle():
            return effects
        backlog = None
        while (head := self.queue.peek()) is not None:
            team, is_urgent, ticket = head
            if ticket.deadline_at <= now:
                detail = "The request's time passed while it waited for a slot."
                effects += self._refuse(ticket, ErrorType.DEADLINE_PASSED, detail, None)
                continue
            if not self._place(ticket, now):
                backlog = Backlog(ONE_SLOT, self.waiting)
                break
            self.queue.charge(team, is_urgent, 1.0)
            self.queue.pop(team, is_urgent)
            self.waiting -= 1
            effects.append(TicketDecided(ticket))
        return effects + self.loan_balancer.balance(backlog, now)

    def _place(self, ticket: Ticket, now: float) -> bool:
        placed = self.pool.place(ONE_SLOT, 1, self._placement_rank, self._allowance(now))
        if placed:
            ticket.upstream = placed[0][0]
        return bool(placed)

    def tick(self, now: float) -> list[out.Effect]:
        """Refuse all queued requests whose deadline has passed."""
        effects: list[out.Effect] = []
        for ticket in list(self.queue.entries()):
            if ticket.is_waiting and ticket.deadline_at <= now:
                detail = "The request's time passed while it waited for a slot."
                effects += self._refuse(ticket, ErrorType.DEADLINE_PASSED, detail, None)
        return effects + self.advance(now)

    def loan_granted(self, grants: tuple[Grant, ...], now: float) -> list[out.Effect]:
        """Add slots lent by a peer and assign them."""
        effects = self.loan_balancer.check_pause(now)
        self.pool.borrow(grants)
        self.loan_balancer.on_granted(ONE_SLOT, grants)
        return effects + self.advance(now)

    def wait_ms(self) -> float:
        """Estimate the queueing delay of a newly accepted request in milliseconds."""
        slots = sum(
            member.total.slots
            for member in self.pool.members.values()
            if member.is_open and member.is_assigned
        )
        return self.waiting * self.service_ms / slots if slots else 0.0

    def free_slots(self) -> int:
        """Return the free slots of the upstreams assigned to this instance."""
        members = self.pool.members.items()
        return sum(self.pool.free(name).slots for name, member in members if member.is_assigned)

    def _refuse(
        self, ticket: Ticket, type: ErrorType, detail: str, retry_after_ms: int | None
    ) -> list[out.Effect]:
        ticket.refusal = Refusal(type, ExecutionStatus.NOT_RUN, detail, retry_after_ms)
        self.waiting -= 1
        return [TicketDecided(ticket)]

    def _refusal(self, ticket: Ticket, now: float) -> Refusal | None:
        if not any(member.is_open for member in self.pool.members.values()):
            detail = "No upstream of this service is known in this zone."
            return Refusal(ErrorType.NO_UPSTREAM, ExecutionStatus.NOT_RUN, detail, 1000)
        wait_ms = self.wait_ms()
        retry_ms = max(int(wait_ms / 2), MIN_RETRY_AFTER_MS)
        if self.waiting >= self.settings.queue_limit:
            detail = f"{self.waiting} requests wait already."
            return Refusal(ErrorType.QUEUE_FULL, ExecutionStatus.NOT_RUN, detail, retry_ms)
        left_ms = (ticket.deadline_at - now) * 1000
        # The estimate does not hold for urgent requests, which overtake the ordinary ones.
        if not ticket.is_urgent and wait_ms + self.service_ms > left_ms:
            detail = f"The wait is about {wait_ms:.0f} ms, past the request's deadline."
            return Refusal(ErrorType.DEADLINE_UNMEETABLE, ExecutionStatus.NOT_RUN, detail, retry_ms)
        return None

    def _placement_rank(self, name: str) -> float:
        return 1.0 if self.records[name].service_ms > SLOW_FACTOR * self.service_ms else 0.0

    def _allowance(self, now: float) -> Callable[[str], int]:
        def allowance(name: str) -> int:
            # One million is effectively unlimited.
            return 0 if self.records[name].paused_until > now else 1_000_000

        return allowance
