"""Which process answers for a job: this one, the issuer, a peer of its zone, or the workers."""

import asyncio
from collections.abc import Awaitable, Callable
from time import time

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.dispatch import Cancel, JobRefused, Submit
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity import (
    ClaimKind,
    Incarnation,
    SubmissionId,
    parse_submission_id,
)
from cranberryshore.membership import PeerState
from cranberryshore.messages import CancelCall, JobAnswer, JobQuery, SubmitCall
from cranberryshore.ownership import Truth, TruthKind
from cranberryshore.timeline import EventKind
from cranberryshore.work import JobRequest, JobState
from cranberryshored.jobs.closures import Closures
from cranberryshored.jobs.ownership import OwnershipService
from cranberryshored.jobs.service import JobService
from cranberryshored.peers import MembershipService, PeerCalls

CALL_SECONDS = 2.0
RETRY_MS = 500
REMEMBERED_REFUSALS = 100_000
TRUTH_POLL_SECONDS = 0.2

Answer = Result[JobAnswer, Refusal]


def _unreachable(detail: str) -> Err[Refusal]:
    refusal = Refusal(ErrorType.ISSUER_UNREACHABLE, ExecutionStatus.MAY_HAVE_RUN, detail, RETRY_MS)
    return Err(refusal)


@attrs.define(eq=False)
class JobRouter:
    """Submits, queries and cancels jobs wherever they are.

    Parameters
    ----------
    other_zones : dict
        Peer addresses of each other availability zone, from the instance list.
    """

    jobs: JobService
    ownership: OwnershipService
    membership: MembershipService
    calls: PeerCalls
    closures: Closures
    log: FilteringBoundLogger
    other_zones: dict[str, list[str]] = attrs.field(factory=dict)
    refused: dict[str, Refusal] = attrs.field(factory=dict)

    def register(self) -> None:
        """Answer these calls when peers make them."""
        self.calls.handlers[SubmitCall] = self._on_submit_call
        self.calls.handlers[JobQuery] = self._on_query_call
        self.calls.handlers[CancelCall] = self._on_cancel_call

    async def submit(self, id: SubmissionId, caller: str, request: JobRequest) -> Answer:
        """Start a job under its id, or learn what became of it."""
        if id.issuer == self.ownership.incarnation:
            return self._submit_here(id, caller, request)
        return await self._ask(id, SubmitCall(str(id), caller, request), caller, 0)

    async def query(self, id: SubmissionId, caller: str, wait_ms: int) -> Answer:
        """Return a job's state, waiting up to ``wait_ms`` for its end."""
        if str(id) in self.jobs.dispatcher.jobs:
            return await self._query_here(id, caller, wait_ms)
        if id.issuer == self.ownership.incarnation:
            return Err(self._unknown_refusal(id))
        return await self._ask(id, JobQuery(str(id), caller, wait_ms), caller, wait_ms)

    async def cancel(self, id: SubmissionId, caller: str) -> Answer:
        """Withdraw a job; a settled one keeps its outcome."""
        if str(id) in self.jobs.dispatcher.jobs:
            answer = await self._query_here(id, caller, 0)
            if isinstance(answer, Err):
                return answer
            self.jobs.handle(Cancel(id))
            return await self._query_here(id, caller, 0)
        if id.issuer == self.ownership.incarnation:
            return Err(self._unknown_refusal(id))
        return await self._ask(id, CancelCall(str(id), caller), caller, 0)

    def _submit_here(self, id: SubmissionId, caller: str, request: JobRequest) -> Answer:
        now = asyncio.get_running_loop().time()
        job = self.jobs.dispatcher.jobs.get(str(id))
        if job is not None:
            return self._answer_to(caller, id)
        claim = self.ownership.ledger.claim(id, caller, now)
        if claim.kind is ClaimKind.USED:
            return Err(self._unknown_refusal(id))
        if claim.kind is not ClaimKind.FRESH:
            return Err(_claim_refusal(claim.kind))
        return self._accept(Submit(id, caller, request))

    def _accept(self, submit: Submit) -> Answer:
        key, count = str(submit.id), len(submit.request.tasks)
        recorder, metrics = self.jobs.recorder, self.jobs.metrics
        recorder.record(time(), EventKind.JOB_SUBMITTED, key, submit.caller, count)
        for effect in self.jobs.handle(submit):
            if isinstance(effect, JobRefused) and effect.id == submit.id:
                self._remember_refusal(key, effect.refusal)
                reason = effect.refusal.type.value
                metrics.refusals.labels(reason).inc()
                self.jobs.evidence.refused(submit.request.team)
                recorder.record(time(), EventKind.JOB_REFUSED, key, reason, count)
                return Err(effect.refusal)
        metrics.accepted.inc(count)
        self.jobs.evidence.job_accepted(submit.request.team)
        recorder.record(time(), EventKind.JOB_ACCEPTED, key, submit.caller, count)
        return self._answer_to(submit.caller, submit.id)

    async def _query_here(self, id: SubmissionId, caller: str, wait_ms: int) -> Answer:
        answer = self._answer_to(caller, id)
        if isinstance(answer, Err) or wait_ms <= 0:
            return answer
        await self.jobs.wait(self.jobs.dispatcher.jobs[str(id)], wait_ms / 1000)
        if str(id) not in self.jobs.dispatcher.jobs:
            return await self.query(id, caller, 0)
        return self._answer_to(caller, id)

    def _remember_refusal(self, key: str, refusal: Refusal) -> None:
        self.refused[key] = refusal
        if len(self.refused) > REMEMBERED_REFUSALS:
            del self.refused[next(iter(self.refused))]

    def _answer_to(self, caller: str, id: SubmissionId) -> Answer:
        job = self.jobs.dispatcher.jobs.get(str(id))
        if job is None:
            return Err(self._unknown_refusal(id))
        if job.caller != caller:
            return Err(_claim_refusal(ClaimKind.NOT_ISSUED))
        return Ok(self.jobs.answer(job))

    def _unknown_refusal(self, id: SubmissionId) -> Refusal:
        """Return the refusal for an id of this incarnation without a retained job."""
        refusal = self.refused.get(str(id))
        if refusal is not None:
            return refusal
        now = asyncio.get_running_loop().time()
        if self.ownership.ledger.is_unused(id, now):
            detail = "Nothing has been submitted under this id."
            return Refusal(ErrorType.NOT_FOUND, ExecutionStatus.NOT_RUN, detail)
        return _claim_refusal(ClaimKind.EXPIRED)

    async def _ask(
        self,
        id: SubmissionId,
        question: SubmitCall | JobQuery | CancelCall,
        caller: str,
        wait_ms: int,
    ) -> Answer:
        """Ask whoever can answer for an id that another incarnation issued."""
        issuer = id.issuer
        if issuer.zone != self.membership.settings.zone:
            return await self._ask_zone(issuer.zone, question, wait_ms)
        peer = self.membership.table.peers.get(issuer)
        if peer is not None and peer.state is PeerState.LIVE:
            reply = await self.calls.call(
                peer.address, str(issuer), question, CALL_SECONDS + wait_ms / 1000
            )
            return _as_answer(reply, "The issuer did not answer in time.")
        if self._may_still_live(issuer):
            return _unreachable("The issuer is silent; its death is not certain yet.")
        return await self._truth(id, caller, wait_ms)

    def _may_still_live(self, issuer: Incarnation) -> bool:
        own = self.ownership.incarnation
        if (issuer.zone, issuer.instance) == (own.zone, own.instance):
            # An earlier run of this instance.
            return False
        state = self.membership.table.state_of(issuer)
        if state is PeerState.LEFT:
            return False
        if state is None and not self.membership.has_settled():
            return True
        closure_seconds = self.membership.settings.timing.closure_seconds
        return self.membership.silent_seconds(issuer) < closure_seconds

    async def _ask_zone(
        self, zone: str, question: SubmitCall | JobQuery | CancelCall, wait_ms: int
    ) -> Answer:
        for address in self.other_zones.get(zone, []):
            timeout = CALL_SECONDS + wait_ms / 1000
            reply = await self.calls.call(address, "", question, timeout)
            if reply is not None:
                return _as_answer(reply, "")
        return _unreachable(f"No instance of zone {zone} answers.")

    async def _truth(self, id: SubmissionId, caller: str, wait_ms: int) -> Answer:
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            truth = await self.closures.truth(id, caller)
            is_late = asyncio.get_running_loop().time() >= deadline
            if truth.kind is not TruthKind.PENDING or is_late:
                return _truth_answer(id, truth)
            await asyncio.sleep(TRUTH_POLL_SECONDS)

    async def _on_submit_call(self, call: SubmitCall) -> JobAnswer | Refusal:
        return await self._for_peer(call.id, lambda id: self.submit(id, call.caller, call.request))

    async def _on_query_call(self, call: JobQuery) -> JobAnswer | Refusal:
        return await self._for_peer(call.id, lambda id: self.query(id, call.caller, call.wait_ms))

    async def _on_cancel_call(self, call: CancelCall) -> JobAnswer | Refusal:
        return await self._for_peer(call.id, lambda id: self.cancel(id, call.caller))

    async def _for_peer(
        self, text: str, action: Callable[[SubmissionId], Awaitable[Answer]]
    ) -> JobAnswer | Refusal:
        parsed = parse_submission_id(text)
        if isinstance(parsed, Err):
            return parsed.err_value
        answer = await action(parsed.ok_value)
        return answer.err_value if isinstance(answer, Err) else answer.ok_value


def _as_answer(reply: JobAnswer | Refusal | None, detail: str) -> Answer:
    if isinstance(reply, Refusal):
        return Err(reply)
    return Ok(reply) if isinstance(reply, JobAnswer) else _unreachable(detail)


def _truth_answer(id: SubmissionId, truth: Truth) -> Answer:
    if truth.kind is TruthKind.COMPLETE:
        count = len(truth.outputs)
        return Ok(JobAnswer(str(id), JobState.COMPLETE, count, truth.outputs))
    if truth.kind is TruthKind.FAILED:
        return Ok(JobAnswer(str(id), JobState.FAILED, 0, None, truth.refusal))
    return Err(truth.refusal)


def _claim_refusal(kind: ClaimKind) -> Refusal:
    if kind is ClaimKind.NOT_ISSUED:
        detail = "This id was not issued to this caller."
        return Refusal(ErrorType.ID_NOT_ISSUED, ExecutionStatus.NOT_RUN, detail)
    detail = "What became of this id is no longer remembered."
    return Refusal(ErrorType.ID_EXPIRED, ExecutionStatus.MAY_HAVE_RUN, detail)
