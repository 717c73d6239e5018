"""HTTP routes for jobs."""

import asyncio

import attrs
from aiohttp.web import Request, Response, RouteTableDef
from result import Err

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.identity import SubmissionId, parse_submission_id
from cranberryshore.settings import LimitSettings, TokenSettings
from cranberryshore.work import JobRequest, check_job_request
from cranberryshored.jobs import JobRouter, KeyBindings, OwnershipService
from cranberryshored.web.auth import Tokens, check_team
from cranberryshored.web.input import decode_body, query_number, read_body
from cranberryshored.web.responses import (
    RefusalError,
    json_response,
    refusal_response,
    result_response,
)

NOT_READY_RETRY_AFTER_MS = 500
HTTP_ACCEPTED = 202


@attrs.frozen
class IssueBody:
    """Request for a number of submission ids."""

    count: int = 1


@attrs.frozen
class IssuedIds:
    """Newly issued submission ids."""

    ids: tuple[str, ...]


@attrs.define(eq=False)
class JobRoutes:
    """Handlers that issue ids and submit, query and cancel jobs."""

    router: JobRouter
    ownership: OwnershipService
    bindings: KeyBindings
    tokens: Tokens
    limits: LimitSettings

    def routes(self) -> RouteTableDef:
        """Return the route table."""
        table = RouteTableDef()
        table.post("/v1/submission-ids")(self.issue)
        table.post("/v1/jobs")(self.submit_by_key)
        table.put("/v1/jobs/{id}")(self.submit)
        table.get("/v1/jobs/{id}")(self.query)
        table.delete("/v1/jobs/{id}")(self.cancel)
        return table

    async def issue(self, request: Request) -> Response:
        """Issue submission ids for later submissions."""
        token = self.tokens.authenticate(request)
        body = decode_body(await read_body(request) or b"{}", IssueBody)
        maximum = self.limits.issued_ids
        if not 1 <= body.count <= maximum:
            raise RefusalError(malformed("count", body.count, f"1 to {maximum}"))
        self._check_ready()
        now = asyncio.get_running_loop().time()
        ids = self.ownership.ledger.issue(token.name, body.count, now)
        return json_response(IssuedIds(tuple(str(id) for id in ids)))

    async def submit(self, request: Request) -> Response:
        """Submit a job under a previously issued id."""
        token = self.tokens.authenticate(request)
        id = _parse_id(request)
        try:
            job = await self._read_job(request, token)
        except RefusalError as error:
            # An earlier, well-formed submission under this id may have run.
            claim = error.refusal.claim if self._is_unused(id) else ExecutionStatus.MAY_HAVE_RUN
            return refusal_response(attrs.evolve(error.refusal, claim=claim))
        return await self._submit(request, id, token, job)

    async def submit_by_key(self, request: Request) -> Response:
        """Submit a job under the caller's ``Idempotency-Key``, or under a new id without one."""
        token = self.tokens.authenticate(request)
        key = request.headers.get("Idempotency-Key")
        job = await self._read_job(request, token)
        self._check_ready()
        if key is None:
            now = asyncio.get_running_loop().time()
            id = self.ownership.ledger.issue(token.name, 1, now)[0]
            return await self._submit(request, id, token, job)
        binding = await self.bindings.bind(token.name, key)
        if isinstance(binding, Err):
            return refusal_response(binding.err_value)
        return await self._submit(request, binding.ok_value, token, job)

    async def query(self, request: Request) -> Response:
        """Return a job's state, waiting up to ``wait_ms`` for the job to end."""
        token = self.tokens.authenticate(request)
        id = _parse_id(request)
        wait_ms = query_number(request, "wait_ms", 0, self.limits.wait_ms)
        return result_response(await self.router.query(id, token.name, wait_ms))

    async def cancel(self, request: Request) -> Response:
        """Cancel a job."""
        token = self.tokens.authenticate(request)
        id = _parse_id(request)
        return result_response(await self.router.cancel(id, token.name))

    async def _submit(
        self, request: Request, id: SubmissionId, token: TokenSettings, job: JobRequest
    ) -> Response:
        wait_ms = query_number(request, "wait_ms", 0, self.limits.wait_ms)
        answer = await self.router.submit(id, token.name, job)
        if isinstance(answer, Err) or wait_ms == 0:
            return result_response(answer, HTTP_ACCEPTED)
        return result_response(await self.router.query(id, token.name, wait_ms))

    async def _read_job(self, request: Request, token: TokenSettings) -> JobRequest:
        job = decode_body(await read_body(request), JobRequest)
        checked = check_job_request(job)
        if isinstance(checked, Err):
            raise RefusalError(checked.err_value)
        check_team(token, job.team)
        return job

    def _is_unused(self, id: SubmissionId) -> bool:
        now = asyncio.get_running_loop().time()
        is_own = id.issuer == self.ownership.incarnation
        return is_own and self.ownership.ledger.is_unused(id, now)

    def _check_ready(self) -> None:
        if self.router.jobs.dispatcher.is_draining:
            detail = "This instance is leaving; ask another one."
            raise RefusalError(Refusal(ErrorType.DRAINING, ExecutionStatus.NOT_RUN, detail, 0))
        if not self.ownership.is_registered:
            detail = "This instance is not registered in the store yet."
            refusal = Refusal(
                ErrorType.NOT_READY, ExecutionStatus.NOT_RUN, detail, NOT_READY_RETRY_AFTER_MS
            )
            raise RefusalError(refusal)


def _parse_id(request: Request) -> SubmissionId:
    parsed = parse_submission_id(request.match_info["id"])
    if isinstance(parsed, Err):
        raise RefusalError(parsed.err_value)
    return parsed.ok_value
