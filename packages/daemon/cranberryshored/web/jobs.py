"""Jobs over HTTP."""

import asyncio

import attrs
from aiohttp.web import Request, Response, RouteTableDef
from result import Err

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.identity import SubmissionId, parse_submission_id
from cranberryshore.settings import LimitSettings, TokenSettings
from cranberryshore.work import JobRequest, check_job_request
from cranberryshored.jobs import JobRouter, KeyBindings, OwnershipService
from cranberryshored.web.answers import RefusalError, json_answer, refusal_answer, result_answer
from cranberryshored.web.auth import Tokens, check_team
from cranberryshored.web.input import decode_body, query_number, read_body

NOT_READY_RETRY_MS = 500
ACCEPTED = 202


@attrs.frozen
class IssueBody:
    """How many submission ids a caller wants."""

    count: int = 1


@attrs.frozen
class IssuedIds:
    """Fresh submission ids."""

    ids: tuple[str, ...]


@attrs.define(eq=False)
class JobRoutes:
    """Handlers of the job interface."""

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
        """Issue submission ids ahead."""
        token = self.tokens.bearer(request)
        body = decode_body(await read_body(request) or b"{}", IssueBody)
        most = self.limits.issued_ids
        if not 1 <= body.count <= most:
            raise RefusalError(malformed("count", body.count, f"1 to {most}"))
        self._check_ready()
        now = asyncio.get_running_loop().time()
        ids = self.ownership.ledger.issue(token.name, body.count, now)
        return json_answer(IssuedIds(tuple(str(id) for id in ids)))

    async def submit(self, request: Request) -> Response:
        """Submit a job under an id that was obtained ahead."""
        token = self.tokens.bearer(request)
        id = _parsed_id(request)
        try:
            job = await self._job_request(request, token)
        except RefusalError as error:
            # An earlier, well-formed submission under this id may have run.
            claim = error.refusal.claim if self._is_unused(id) else ExecutionStatus.MAY_HAVE_RUN
            return refusal_answer(attrs.evolve(error.refusal, claim=claim))
        return await self._submit(request, id, token, job)

    async def submit_by_key(self, request: Request) -> Response:
        """Submit a job under an idempotency key of the caller's own, or under none."""
        token = self.tokens.bearer(request)
        key = request.headers.get("Idempotency-Key")
        job = await self._job_request(request, token)
        self._check_ready()
        if key is None:
            now = asyncio.get_running_loop().time()
            id = self.ownership.ledger.issue(token.name, 1, now)[0]
            return await self._submit(request, id, token, job)
        bound = await self.bindings.bind(token.name, key)
        if isinstance(bound, Err):
            return refusal_answer(bound.err_value)
        return await self._submit(request, bound.ok_value, token, job)

    async def query(self, request: Request) -> Response:
        """Return a job's state, waiting for its end if asked to."""
        token = self.tokens.bearer(request)
        id = _parsed_id(request)
        wait_ms = query_number(request, "wait_ms", 0, self.limits.wait_ms)
        return result_answer(await self.router.query(id, token.name, wait_ms))

    async def cancel(self, request: Request) -> Response:
        """Withdraw a job."""
        token = self.tokens.bearer(request)
        id = _parsed_id(request)
        return result_answer(await self.router.cancel(id, token.name))

    async def _submit(
        self, request: Request, id: SubmissionId, token: TokenSettings, job: JobRequest
    ) -> Response:
        wait_ms = query_number(request, "wait_ms", 0, self.limits.wait_ms)
        answer = await self.router.submit(id, token.name, job)
        if isinstance(answer, Err) or wait_ms == 0:
            return result_answer(answer, ACCEPTED)
        return result_answer(await self.router.query(id, token.name, wait_ms))

    async def _job_request(self, request: Request, token: TokenSettings) -> JobRequest:
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
                ErrorType.NOT_READY, ExecutionStatus.NOT_RUN, detail, NOT_READY_RETRY_MS
            )
            raise RefusalError(refusal)


def _parsed_id(request: Request) -> SubmissionId:
    parsed = parse_submission_id(request.match_info["id"])
    if isinstance(parsed, Err):
        raise RefusalError(parsed.err_value)
    return parsed.ok_value
