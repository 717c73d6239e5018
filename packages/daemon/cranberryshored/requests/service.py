"""Requests from arrival to answer: admission, slot, forwarding, retry."""

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
from cranberryshore.errors import ErrorType, Refusal, RunClaim
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
from cranberryshore.timeline import Recorder
from cranberryshored.evidence import EvidenceService
from cranberryshored.loans import LoanExchange
from cranberryshored.metrics import Metrics
from cranberryshored.requests.forwarder import (
    Forwarded,
    Forwarder,
    ForwardFailure,
    IncomingRequest,
)

LATE_RETRY_MS = 100
SCOPE_PREFIX = "service/"


class Freshness(Protocol):
    """Knows whether the list of upstreams is recent."""

    def is_current(self) -> bool:
        """Tell whether the list was asked lately."""
        ...

    async def refresh(self) -> None:
        """Wait until the list has been asked again."""
        ...


@attrs.define(eq=False, slots=False)
class RequestService:
    """Serves one declared service in this zone.

    Parameters
    ----------
    name : str
        Name of the service.
    spec : ServiceSpec
        Specification in force.
    addresses : dict
        Address by upstream.
    """

    name: str
    spec: ServiceSpec
    forwarder: Forwarder
    loans: LoanExchange
    recorder: Recorder
    metrics: Metrics
    log: FilteringBoundLogger
    freshness: Freshness
    evidence: EvidenceService
    gate: RequestGate = attrs.field(init=False)
    addresses: dict[str, str] = attrs.field(factory=dict)
    futures: dict[int, asyncio.Future] = attrs.field(factory=dict)
    numbers: count = attrs.field(factory=lambda: count(1))
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    in_flight: int = 0

    def __attrs_post_init__(self) -> None:
        self.gate = RequestGate(self._gate_settings())
        self.seconds = self.metrics.request_seconds.labels(self.name)
        self.queued = self.metrics.queued_requests.labels(self.name)
        self.free_slots = self.metrics.free_slots.labels(self.name)
        self.refused = self.metrics.requests.labels("refused")
        self.answered = self.metrics.requests.labels("answered")
        self.forwarded = self.metrics.messages.labels("upstream")

    @property
    def scope(self) -> str:
        """Return the scope of this service's loan messages."""
        return SCOPE_PREFIX + self.name

    def set_spec(self, spec: ServiceSpec) -> None:
        """Put another specification in force; what is under way keeps the old one."""
        self.spec = spec
        self.gate.settings = self._gate_settings()
        self.set_upstreams(self.addresses)

    def set_upstreams(self, addresses: dict[str, str]) -> None:
        """Set the upstreams that may receive new requests."""
        self.addresses = addresses
        self.gate.set_upstreams(dict.fromkeys(addresses, self.spec.slots_per_upstream))
        self.advance()

    def assign(self, assignment: Assignment) -> None:
        """Put an assignment of the upstreams in force."""
        self._carry_out(self.gate.assign(assignment))
        self.advance()

    def advance(self) -> None:
        """Carry out what the gate has become able to do."""
        self._carry_out(self.gate.advance(self._now()))

    def tick(self) -> None:
        """Give up requests whose time has passed."""
        self._carry_out(self.gate.tick(self._now()))
        self.queued.set(self.gate.waiting)
        self.free_slots.set(self.gate.free_slots())

    def on_loan(self, sender: str, message: PeerMessage) -> None:
        """Handle a peer's loan message."""
        now = self._now()
        if isinstance(message, LoanAsk):
            self.gate.pool.add_loan_request(sender, message.demand, message.count, now)
        elif isinstance(message, LoanGrants):
            self._carry_out(self.gate.loan_granted(message.grants, now))
        elif isinstance(message, LoansHeld):
            self.gate.pool.record_loans(sender, message.grants)
        elif isinstance(message, LoanReturns):
            self.gate.pool.record_returns(sender, message.grants)
        elif isinstance(message, LoanRecall):
            self.gate.pool.recall(message.resources)
        self.advance()

    async def serve(
        self, request: IncomingRequest, team: str, is_urgent: bool, timeout_ms: int | None
    ) -> Result[Forwarded, Refusal]:
        """Forward a request and return the upstream's answer or a truthful refusal."""
        limit_ms = min(timeout_ms or self.spec.timeout_ms, self.spec.timeout_ms)
        arrived_at = self._now()
        deadline_at = arrived_at + limit_ms / 1000
        self.in_flight += 1
        self.evidence.request_arrived(team, self.name)
        try:
            answer = await self._attempts(request, team, is_urgent, deadline_at)
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

    async def _attempts(
        self, request: IncomingRequest, team: str, is_urgent: bool, deadline_at: float
    ) -> Result[Forwarded, Refusal]:
        self.budget.on_attempt()
        may_have_run = False
        while True:
            admitted = await self._admit(team, is_urgent, deadline_at)
            if admitted.refusal is not None:
                return Err(_with_doubt(admitted.refusal, may_have_run))
            if not await self._is_usable(admitted):
                continue
            outcome = await self._forward(admitted, request, deadline_at)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            may_have_run = may_have_run or failure.was_sent
            if not self._may_retry(request, failure, deadline_at):
                return Err(_failure_refusal(failure, may_have_run))
            self.metrics.wasted.labels("request_retry").inc()

    async def _is_usable(self, ticket: Ticket) -> bool:
        """Tell whether the ticket's upstream may still receive work.

        After a pause of this process the upstreams it knows may have left, so it asks first.
        """
        try:
            while not self.freshness.is_current():
                await self.freshness.refresh()
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise
        if ticket.upstream in self.addresses:
            return True
        self._abandon(ticket)
        return False

    async def _admit(self, team: str, is_urgent: bool, deadline_at: float) -> Ticket:
        now = self._now()
        ticket = Ticket(next(self.numbers), team, is_urgent, now, deadline_at)
        effects = self.gate.admit(ticket, now)
        if ticket.is_waiting:
            future = asyncio.get_running_loop().create_future()
            self.futures[ticket.id] = future
            self._carry_out(effects)
            try:
                await future
            except asyncio.CancelledError:
                self._abandon(ticket)
                raise
            finally:
                self.futures.pop(ticket.id, None)
        else:
            self._carry_out(effects)
        return ticket

    def _abandon(self, ticket: Ticket) -> None:
        now = self._now()
        if ticket.is_waiting:
            self._carry_out(self.gate.abandon(ticket, now))
        elif ticket.upstream is not None:
            self._carry_out(self.gate.finish(ticket.upstream, now, 0.0, True))

    async def _forward(
        self, ticket: Ticket, request: IncomingRequest, deadline_at: float
    ) -> Result[Forwarded, ForwardFailure]:
        upstream = ticket.upstream
        started = self._now()
        left = max(deadline_at - started, 0.001)
        is_ok = True
        try:
            address = self.addresses.get(upstream, "")
            outcome = await self.forwarder.forward(address, request, left)
            # A caller's short timeout, or its going away, says nothing about the upstream.
            is_ok = isinstance(outcome, Ok) or outcome.err_value.is_timeout
        finally:
            ended = self._now()
            service_ms = (ended - started) * 1000
            self._carry_out(self.gate.finish(upstream, ended, service_ms, is_ok))
        self.forwarded.inc()
        return outcome

    def _may_retry(
        self, request: IncomingRequest, failure: ForwardFailure, deadline_at: float
    ) -> bool:
        """Allow a retry only within the budget, and where running twice does no harm."""
        if failure.was_sent and not request.is_idempotent:
            return False
        if failure.is_timeout or self._now() >= deadline_at:
            return False
        return self.budget.try_acquire()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, TicketDecided):
                future = self.futures.get(effect.ticket.id)
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


def _with_doubt(refusal: Refusal, may_have_run: bool) -> Refusal:
    """Return a refusal after earlier attempts of an idempotent request."""
    if not may_have_run:
        return refusal
    return attrs.evolve(refusal, claim=RunClaim.MAY_HAVE_RUN)


def _failure_refusal(failure: ForwardFailure, may_have_run: bool) -> Refusal:
    if not may_have_run:
        return Refusal(
            ErrorType.NO_UPSTREAM,
            RunClaim.NOT_RUN,
            "No upstream accepted a connection.",
            LATE_RETRY_MS,
        )
    if failure.is_timeout:
        detail = f"The upstream did not answer in time: {failure.detail}"
        return Refusal(ErrorType.UPSTREAM_TIMEOUT, RunClaim.MAY_HAVE_RUN, detail)
    detail = f"The upstream broke off: {failure.detail}."
    return Refusal(ErrorType.UPSTREAM_LOST, RunClaim.MAY_HAVE_RUN, detail)
