"""Handling of one service's requests: admission, slot, forwarding and retry."""

import asyncio
from itertools import count
from typing import Protocol

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.config import ServiceSpec
from cranberryshore.dispatch import (
    Effect,
    GrantLoans,
    RecallLoans,
    ReportHeldLoans,
    RequestLoans,
    ReturnLoans,
)
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.limits import RetryBudget
from cranberryshore.messages import (
    LoanAsk,
    LoanGrants,
    LoanRecall,
    LoanReturns,
    LoansHeld,
    PeerMessage,
)
from cranberryshore.placement import Assignment
from cranberryshore.requests import GateSettings, RequestGate, Ticket, TicketDecided
from cranberryshore.timeline import EventRecorder
from cranberryshored.evidence import EvidenceService
from cranberryshored.loans import LoanExchange
from cranberryshored.metrics import Metrics
from cranberryshored.requests.forwarder import (
    Forwarder,
    ForwardFailure,
    IncomingRequest,
    UpstreamResponse,
)

NO_UPSTREAM_RETRY_AFTER_MS = 100
SCOPE_PREFIX = "service/"


class UpstreamListStatus(Protocol):
    """Tells whether the known upstreams are current, and refreshes them."""

    def is_current(self) -> bool:
        """Return whether the instance list was polled since the last pause of this process."""
        ...

    async def refresh(self) -> None:
        """Poll the instance list now, at most for the timeout of one call."""
        ...


@attrs.define(eq=False, slots=False)
class RequestService:
    """Admits and forwards the requests to one declared service in this availability zone.

    Parameters
    ----------
    addresses : dict
        Addresses by upstream name.
    """

    name: str
    spec: ServiceSpec
    forwarder: Forwarder
    loans: LoanExchange
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    upstream_list: UpstreamListStatus
    evidence: EvidenceService
    gate: RequestGate = attrs.field(init=False)
    addresses: dict[str, str] = attrs.field(factory=dict)
    admission_futures: dict[int, asyncio.Future] = attrs.field(factory=dict)
    ticket_numbers: count = attrs.field(factory=lambda: count(1))
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    in_flight: int = 0

    def __attrs_post_init__(self) -> None:
        self.gate = RequestGate(self._gate_settings())
        # Resolved once instead of for each request.
        self.seconds = self.metrics.request_seconds.labels(self.name)
        self.queued = self.metrics.queued_requests.labels(self.name)
        self.free_slots = self.metrics.free_slots.labels(self.name)
        self.refused = self.metrics.requests.labels("refused")
        self.answered = self.metrics.requests.labels("answered")
        self.forwarded = self.metrics.messages.labels("upstream")

    @property
    def scope(self) -> str:
        """Return the scope that identifies this service in loan messages."""
        return SCOPE_PREFIX + self.name

    def set_spec(self, spec: ServiceSpec) -> None:
        """Replace the specification; requests in progress keep the previous deadline."""
        self.spec = spec
        self.gate.settings = self._gate_settings()
        self.set_upstreams(self.addresses)

    def set_upstreams(self, addresses: dict[str, str]) -> None:
        """Set the upstreams that may receive new requests."""
        self.addresses = addresses
        self.gate.set_upstreams(dict.fromkeys(addresses, self.spec.slots_per_upstream))
        self.advance()

    def assign(self, assignment: Assignment) -> None:
        """Apply an assignment of the upstreams to instances."""
        self._apply_effects(self.gate.assign(assignment))
        self.advance()

    def advance(self) -> None:
        """Admit waiting requests to free slots and balance slot loans with the peers."""
        self._apply_effects(self.gate.advance(self._now()))

    def tick(self) -> None:
        """Refuse queued requests past their deadline."""
        self._apply_effects(self.gate.tick(self._now()))
        self.queued.set(self.gate.waiting)
        self.free_slots.set(self.gate.free_slots())

    def on_loan(self, sender: str, message: PeerMessage) -> None:
        """Handle a loan message from a peer."""
        now = self._now()
        if isinstance(message, LoanAsk):
            self.gate.pool.add_loan_request(sender, message.demand, message.count, now)
        elif isinstance(message, LoanGrants):
            self._apply_effects(self.gate.loan_granted(message.grants, now))
        elif isinstance(message, LoansHeld):
            self.gate.pool.record_loans(sender, message.grants)
        elif isinstance(message, LoanReturns):
            self.gate.pool.record_returns(sender, message.grants)
        elif isinstance(message, LoanRecall):
            self.gate.pool.recall(message.resources)
        self.advance()

    async def serve(
        self, request: IncomingRequest, team: str, is_urgent: bool, timeout_ms: int | None
    ) -> Result[UpstreamResponse, Refusal]:
        """Forward a request and return the upstream's response.

        A refusal states whether the request may have run on an upstream.
        """
        limit_ms = min(timeout_ms or self.spec.timeout_ms, self.spec.timeout_ms)
        arrived_at = self._now()
        deadline_at = arrived_at + limit_ms / 1000
        self.in_flight += 1
        self.evidence.request_arrived(team, self.name)
        try:
            answer = await self._forward_with_retries(request, team, is_urgent, deadline_at)
        finally:
            self.in_flight -= 1
        seconds = self._now() - arrived_at
        self.seconds.observe(seconds)
        refusal = answer.err_value if isinstance(answer, Err) else None
        self.evidence.request_ended(team, self.name, seconds, refusal)
        if isinstance(answer, Err):
            self.metrics.refusals.labels(answer.err_value.type.value).inc()
            self.refused.inc()
        else:
            self.answered.inc()
        return answer

    async def _forward_with_retries(
        self, request: IncomingRequest, team: str, is_urgent: bool, deadline_at: float
    ) -> Result[UpstreamResponse, Refusal]:
        self.budget.on_attempt()
        may_have_run = False
        while True:
            ticket = await self._admit(team, is_urgent, deadline_at)
            if ticket.refusal is not None:
                return Err(_with_execution_status(ticket.refusal, may_have_run))
            if not await self._is_upstream_current(ticket):
                continue
            outcome = await self._forward(ticket, request, deadline_at)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            may_have_run = may_have_run or failure.was_sent
            if not self._may_retry(request, failure, deadline_at):
                return Err(_failure_refusal(failure, may_have_run))
            self.metrics.wasted_messages.labels("request_retry").inc()

    async def _is_upstream_current(self, ticket: Ticket) -> bool:
        """Return whether the ticket's upstream is still listed; release the ticket if not.

        After a pause of this process, polls the instance list first: upstreams may have left.
        """
        try:
            while not self.upstream_list.is_current():
                await self.upstream_list.refresh()
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise
        if ticket.upstream in self.addresses:
            return True
        self._abandon(ticket)
        return False

    async def _admit(self, team: str, is_urgent: bool, deadline_at: float) -> Ticket:
        now = self._now()
        ticket = Ticket(next(self.ticket_numbers), team, is_urgent, now, deadline_at)
        effects = self.gate.admit(ticket, now)
        if ticket.is_waiting:
            future = asyncio.get_running_loop().create_future()
            self.admission_futures[ticket.id] = future
            self._apply_effects(effects)
            try:
                await future
            except asyncio.CancelledError:
                self._abandon(ticket)
                raise
            finally:
                self.admission_futures.pop(ticket.id, None)
        else:
            self._apply_effects(effects)
        return ticket

    def _abandon(self, ticket: Ticket) -> None:
        now = self._now()
        if ticket.is_waiting:
            self._apply_effects(self.gate.abandon(ticket, now))
        elif ticket.upstream is not None:
            self._apply_effects(self.gate.release(ticket.upstream, now))

    async def _forward(
        self, ticket: Ticket, request: IncomingRequest, deadline_at: float
    ) -> Result[UpstreamResponse, ForwardFailure]:
        upstream = ticket.upstream
        started = self._now()
        # The HTTP client takes 0 as no timeout.
        left = max(deadline_at - started, 0.001)
        # A timeout or a cancellation depends on the caller, so it is no end and no failure.
        has_ended = is_ok = False
        try:
            address = self.addresses.get(upstream, "")
            outcome = await self.forwarder.forward(address, request, left)
            is_ok = isinstance(outcome, Ok)
            has_ended = is_ok or not outcome.err_value.is_timeout
        finally:
            now = self._now()
            service_ms = (now - started) * 1000
            if has_ended:
                self._apply_effects(self.gate.finish(upstream, now, service_ms, is_ok))
            else:
                self._apply_effects(self.gate.release(upstream, now, service_ms))
        self.forwarded.inc()
        return outcome

    def _may_retry(
        self, request: IncomingRequest, failure: ForwardFailure, deadline_at: float
    ) -> bool:
        """Return whether to retry; takes one attempt from the retry budget if so."""
        if failure.was_sent and not request.is_idempotent:
            return False
        if failure.is_timeout or self._now() >= deadline_at:
            return False
        return self.budget.try_acquire()

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, TicketDecided):
                future = self.admission_futures.get(effect.ticket.id)
                if future is not None and not future.done():
                    future.set_result(None)
            elif isinstance(effect, RequestLoans):
                self.loans.request_loans(LoanAsk(self.scope, effect.demand, effect.count))
            elif isinstance(effect, GrantLoans):
                self.loans.lend(effect.peer, LoanGrants(self.scope, effect.grants))
            elif isinstance(effect, ReturnLoans):
                self.loans.return_grants(LoanReturns(self.scope, effect.grants))
            elif isinstance(effect, ReportHeldLoans):
                self.loans.report_held(LoansHeld(self.scope, effect.grants))
            elif isinstance(effect, RecallLoans):
                names = tuple(sorted(effect.workers))
                self.loans.recall(effect.peer, LoanRecall(self.scope, names))

    def _gate_settings(self) -> GateSettings:
        return GateSettings(self.spec.queue_limit)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _with_execution_status(refusal: Refusal, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return refusal
    return attrs.evolve(refusal, claim=ExecutionStatus.MAY_HAVE_RUN)


def _failure_refusal(failure: ForwardFailure, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return Refusal(
            ErrorType.NO_UPSTREAM,
            ExecutionStatus.NOT_RUN,
            "No upstream accepted a connection.",
            NO_UPSTREAM_RETRY_AFTER_MS,
        )
    if failure.is_timeout:
        detail = f"The upstream did not answer in time: {failure.detail}"
        return Refusal(ErrorType.UPSTREAM_TIMEOUT, ExecutionStatus.MAY_HAVE_RUN, detail)
    detail = f"The upstream broke off: {failure.detail}."
    return Refusal(ErrorType.UPSTREAM_LOST, ExecutionStatus.MAY_HAVE_RUN, detail)
