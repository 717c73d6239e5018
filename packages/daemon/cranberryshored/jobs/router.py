"""Routing of job calls to this process, the issuer, a peer in the issuer's zone, or the workers."""

import asyncio
from collections.abc import Awaitable, Callable
from time import time

import attrs
from result import Err, Ok, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.dispatch import Cancel, JobRefused, Submit
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity import (
    Incarnation,
    SubmissionId,
    SubmissionIdStatus,
    parse_submission_id,
)
from cranberryshore.membership import PeerState
from cranberryshore.messages import CancelCall, JobAnswer, JobQuery, SubmitCall
from cranberryshore.ownership import JobOutcome, JobOutcomeKind
from cranberryshore.timeline import EventKind
from cranberryshore.work import JobRequest, JobState
from cranberryshored.jobs.closures import ClosureService
from cranberryshored.jobs.ownership import OwnershipService
from cranberryshored.jobs.service import JobService
from cranberryshored.peers import MembershipService, PeerCalls

CALL_TIMEOUT_SECONDS = 2.0
RETRY_MS = 500
MAX_RETAINED_REFUSALS = 100_000
OUTCOME_POLL_INTERVAL_SECONDS = 0.2

AnswerResult = Result[JobAnswer, Refusal]


def _unreachable(detail: str) -> Err[Refusal]:
    refusal = Refusal(ErrorType.ISSUER_UNREACHABLE, ExecutionStatus.MAY_HAVE_RUN, detail, RETRY_MS)
    return Err(refusal)


@attrs.define(eq=False)
class JobRouter:
    """Submits, queries and cancels jobs, forwarding calls for jobs of other instances.

    Parameters
    ----------
    other_zones : dict
        Peer addresses of each other availability zone, from the instance list.
    refused : dict
        The last ``MAX_RETAINED_REFUSALS`` refusals by submission id, for repeated submissions
        and queries.
    """

    jobs: JobService
    ownership: OwnershipService
    membership: MembershipService
    calls: PeerCalls
    closures: ClosureService
    log: FilteringBoundLogger
    other_zones: dict[str, list[str]] = attrs.field(factory=dict)
    refused: dict[str, Refusal] = attrs.field(factory=dict)

    def register(self) -> None:
        """Register the handlers of job calls from peers."""
        self.calls.handlers[SubmitCall] = self._on_submit_call
        self.calls.handlers[JobQuery] = self._on_query_call
        self.calls.handlers[CancelCall] = self._on_cancel_call

    async def submit(self, id: SubmissionId, caller: str, request: JobRequest) -> AnswerResult:
        """Submit a job under its id, or return the outcome of an earlier submission."""
        if id.issuer == self.ownership.incarnation:
            return self._submit_local(id, caller, request)
        return await self._forward(id, SubmitCall(str(id), caller, request), caller, 0)

    async def query(self, id: SubmissionId, caller: str, wait_ms: int) -> AnswerResult:
        """Return a job's state, waiting up to ``wait_ms`` for it to settle."""
        if str(id) in self.jobs.dispatcher.jobs:
            return await self._query_local(id, caller, wait_ms)
        if id.issuer == self.ownership.incarnation:
            return Err(self._unknown_refusal(id))
        return await self._forward(id, JobQuery(str(id), caller, wait_ms), caller, wait_ms)

    async def cancel(self, id: SubmissionId, caller: str) -> AnswerResult:
        """Cancel a job; a settled job keeps its outcome."""
        if str(id) in self.jobs.dispatcher.jobs:
            answer = await self._query_local(id, caller, 0)
            if isinstance(answer, Err):
                return answer
            self.jobs.handle(Cancel(id))
            return await self._query_local(id, caller, 0)
        if id.issuer == self.ownership.incarnation:
            return Err(self._unknown_refusal(id))
        return await self._forward(id, CancelCall(str(id), caller), caller, 0)

    def _submit_local(self, id: SubmissionId, caller: str, request: JobRequest) -> AnswerResult:
        now = asyncio.get_running_loop().time()
        job = self.jobs.dispatcher.jobs.get(str(id))
        if job is not None:
            return self._answer_to(caller, id)
        claim = self.ownership.ledger.claim(id, caller, now)
        if claim.kind is SubmissionIdStatus.USED:
            return Err(self._unknown_refusal(id))
        if claim.kind is not SubmissionIdStatus.FRESH:
            return Err(_claim_refusal(claim.kind))
        return self._accept(Submit(id, caller, request))

    def _accept(self, submit: Submit) -> AnswerResult:
        key, count = str(submit.id), len(submit.request.tasks)
        recorder, metrics = self.jobs.recorder, self.jobs.metrics
        recorder.record(time(), EventKind.JOB_SUBMITTED, key, submit.caller, count)
        for effect in self.jobs.handle(submit):
            if isinstance(effect, JobRefused) and effect.id == submit.id:
                self._retain_refusal(key, effect.refusal)
                reason = effect.refusal.type.value
                metrics.refusals.labels(reason).inc()
                self.jobs.evidence.refused(submit.request.team)
                recorder.record(time(), EventKind.JOB_REFUSED, key, reason, count)
                return Err(effect.refusal)
        metrics.accepted_tasks.inc(count)
        self.jobs.evidence.job_accepted(submit.request.team)
        recorder.record(time(), EventKind.JOB_ACCEPTED, key, submit.caller, count)
        return self._answer_to(submit.caller, submit.id)

    async def _query_local(self, id: SubmissionId, caller: str, wait_ms: int) -> AnswerResult:
        answer = self._answer_to(caller, id)
        if isinstance(answer, Err) or wait_ms <= 0:
            return answer
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_ms / 1000
        await self.jobs.wait(self.jobs.dispatcher.jobs[str(id)], wait_ms / 1000)
        if str(id) not in self.jobs.dispatcher.jobs:
            return await self.query(id, caller, max(int((deadline - loop.time()) * 1000), 0))
        return self._answer_to(caller, id)

    def _retain_refusal(self, key: str, refusal: Refusal) -> None:
        self.refused[key] = refusal
        if len(self.refused) > MAX_RETAINED_REFUSALS:
            del self.refused[next(iter(self.refused))]

    def _answer_to(self, caller: str, id: SubmissionId) -> AnswerResult:
        job = self.jobs.dispatcher.jobs.get(str(id))
        if job is None:
            return Err(self._unknown_refusal(id))
        if job.caller != caller:
            return Err(_claim_refusal(SubmissionIdStatus.NOT_ISSUED))
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
        return _claim_refusal(SubmissionIdStatus.EXPIRED)

    async def _forward(
        self,
        id: SubmissionId,
        message: SubmitCall | JobQuery | CancelCall,
        caller: str,
        wait_ms: int,
    ) -> AnswerResult:
        """Forward a call for an id that another incarnation issued.

        If the issuer has died, the outcome is resolved from the workers' reports.
        """
        issuer = id.issuer
        if issuer.zone != self.membership.settings.zone:
            return await self._forward_to_zone(issuer.zone, message, wait_ms)
        peer = self.membership.table.peers.get(issuer)
        if peer is not None and peer.state is PeerState.LIVE:
            reply = await self.calls.call(
                peer.address, str(issuer), message, CALL_TIMEOUT_SECONDS + wait_ms / 1000
            )
            return _answer_from_reply(reply, "The issuer did not answer in time.")
        if self._may_be_alive(issuer):
            return _unreachable("The issuer is silent; its death is not certain yet.")
        return await self._outcome_from_workers(id, caller, wait_ms)

    def _may_be_alive(self, issuer: Incarnation) -> bool:
        own = self.ownership.incarnation
        if (issuer.zone, issuer.instance) == (own.zone, own.instance):
            # The issuer is an earlier incarnation of this instance.
            return False
        state = self.membership.table.state_of(issuer)
        if state is PeerState.LEFT:
            return False
        if state is None and not self.membership.is_discovery_complete():
            return True
        closure_seconds = self.membership.settings.timing.closure_seconds
        return self.membership.silent_seconds(issuer) < closure_seconds

    async def _forward_to_zone(
        self, zone: str, message: SubmitCall | JobQuery | CancelCall, wait_ms: int
    ) -> AnswerResult:
        for address in self.other_zones.get(zone, []):
            timeout = CALL_TIMEOUT_SECONDS + wait_ms / 1000
            reply = await self.calls.call(address, "", message, timeout)
            if reply is not None:
                return _answer_from_reply(reply, "")
        return _unreachable(f"No instance of zone {zone} answers.")

    async def _outcome_from_workers(
        self, id: SubmissionId, caller: str, wait_ms: int
    ) -> AnswerResult:
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            job_outcome = await self.closures.resolve(id, caller)
            is_late = asyncio.get_running_loop().time() >= deadline
            if job_outcome.kind is not JobOutcomeKind.PENDING or is_late:
                return _answer_from_outcome(id, job_outcome)
            await asyncio.sleep(OUTCOME_POLL_INTERVAL_SECONDS)

    async def _on_submit_call(self, call: SubmitCall) -> JobAnswer | Refusal:
        return await self._answer_peer(
            call.id, lambda id: self.submit(id, call.caller, call.request)
        )

    async def _on_query_call(self, call: JobQuery) -> JobAnswer | Refusal:
        return await self._answer_peer(
            call.id, lambda id: self.query(id, call.caller, call.wait_ms)
        )

    async def _on_cancel_call(self, call: CancelCall) -> JobAnswer | Refusal:
        return await self._answer_peer(call.id, lambda id: self.cancel(id, call.caller))

    async def _answer_peer(
        self, text: str, action: Callable[[SubmissionId], Awaitable[AnswerResult]]
    ) -> JobAnswer | Refusal:
        parsed = parse_submission_id(text)
        if isinstance(parsed, Err):
            return parsed.err_value
        answer = await action(parsed.ok_value)
        return answer.err_value if isinstance(answer, Err) else answer.ok_value


def _answer_from_reply(reply: JobAnswer | Refusal | None, detail: str) -> AnswerResult:
    if isinstance(reply, Refusal):
        return Err(reply)
    return Ok(reply) if isinstance(reply, JobAnswer) else _unreachable(detail)


def _answer_from_outcome(id: SubmissionId, job_outcome: JobOutcome) -> AnswerResult:
    if job_outcome.kind is JobOutcomeKind.COMPLETE:
        count = len(job_outcome.outputs)
        return Ok(JobAnswer(str(id), JobState.COMPLETE, count, job_outcome.outputs))
    if job_outcome.kind is JobOutcomeKind.FAILED:
        return Ok(JobAnswer(str(id), JobState.FAILED, 0, None, job_outcome.refusal))
    return Err(job_outcome.refusal)


def _claim_refusal(kind: SubmissionIdStatus) -> Refusal:
    if kind is SubmissionIdStatus.NOT_ISSUED:
        detail = "This id was not issued to this caller."
        return Refusal(ErrorType.ID_NOT_ISSUED, ExecutionStatus.NOT_RUN, detail)
    detail = "What became of this id is no longer remembered."
    return Refusal(ErrorType.ID_EXPIRED, ExecutionStatus.MAY_HAVE_RUN, detail)
