"""HTTP route for requests to declared services."""

from itertools import count
from time import time

import attrs
from aiohttp.web import Request, Response, RouteTableDef
from result import Err

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshored.config import ConfigConfirmer
from cranberryshored.requests import IncomingRequest, RequestService
from cranberryshored.requests.forwarder import forwardable_headers
from cranberryshored.web.auth import Tokens, check_team
from cranberryshored.web.input import header_number, read_body
from cranberryshored.web.responses import RefusalError, refusal_response

MAX_TIMEOUT_MS = 600_000
IS_URGENT_BY_CLASS = {"urgent": True, "ordinary": False}
BOOLEAN_BY_TEXT = {"yes": True, "no": False}
DRAINING_RETRY_AFTER_MS = 0  # another instance can accept the request at once
UNCONFIRMED_RETRY_AFTER_MS = 1000


@attrs.define(eq=False)
class RequestRoutes:
    """Handler that forwards requests to declared services."""

    services: dict[str, RequestService]
    tokens: Tokens
    recorder: EventRecorder
    confirmer: ConfigConfirmer
    is_draining: bool = False
    request_numbers: count = attrs.field(factory=lambda: count(1))

    def routes(self) -> RouteTableDef:
        """Return the route table."""
        table = RouteTableDef()
        table.route("*", "/v1/services/{service}/{path:.*}")(self.serve)
        return table

    async def serve(self, request: Request) -> Response:
        """Forward a request and return the upstream's status, headers and body."""
        token = self.tokens.authenticate(request)
        team = request.headers.get("Team", token.teams[0])
        check_team(token, team)
        service = await self._find_service(request)
        is_urgent = _header_choice(request, "Request-Class", IS_URGENT_BY_CLASS, False)
        is_idempotent = _header_choice(
            request, "Idempotent", BOOLEAN_BY_TEXT, service.spec.is_idempotent
        )
        timeout_ms = header_number(request, "Timeout-Ms", MAX_TIMEOUT_MS)
        body = await read_body(request)
        id = f"{self.recorder.process}.r{next(self.request_numbers)}"
        incoming = IncomingRequest(
            request.method,
            _upstream_path(request),
            forwardable_headers(request.headers),
            body,
            is_idempotent,
        )
        answer = await service.serve(incoming, team, is_urgent, timeout_ms)
        if isinstance(answer, Err):
            self._record_refusal(id, service.name, answer.err_value)
            response = refusal_response(answer.err_value)
        else:
            forwarded = answer.ok_value
            detail = f"{service.name} with status {forwarded.status}"
            self.recorder.record(time(), EventKind.REQUEST_ANSWERED, id, detail)
            response = Response(
                body=forwarded.body, status=forwarded.status, headers=forwarded.headers
            )
        response.headers["Request-Id"] = id
        return response

    async def _find_service(self, request: Request) -> RequestService:
        if self.is_draining:
            detail = "This instance is leaving; ask another one."
            raise RefusalError(
                Refusal(
                    ErrorType.DRAINING, ExecutionStatus.NOT_RUN, detail, DRAINING_RETRY_AFTER_MS
                )
            )
        name = request.match_info["service"]
        is_confirmed = name in self.services or await self.confirmer.confirm()
        # The confirmation may have added the service.
        service = self.services.get(name)
        if service is None:
            raise RefusalError(_unknown_service_refusal(name, is_confirmed))
        return service

    def _record_refusal(self, id: str, service: str, refusal: Refusal) -> None:
        detail = f"{service}, {refusal.type.value}: {refusal.claim.value}"
        self.recorder.record(time(), EventKind.REQUEST_REFUSED, id, detail)


def _unknown_service_refusal(name: str, is_confirmed: bool) -> Refusal:
    if is_confirmed:
        detail = f"No service {name} is declared."
        return Refusal(ErrorType.NOT_FOUND, ExecutionStatus.NOT_RUN, detail)
    detail = f"No service {name} is known, but the configuration may be outdated."
    return Refusal(
        ErrorType.STORE_UNAVAILABLE, ExecutionStatus.NOT_RUN, detail, UNCONFIRMED_RETRY_AFTER_MS
    )


def _upstream_path(request: Request) -> str:
    """Return path and query relative to the service, in the caller's percent-encoding."""
    parts = request.raw_path.split("/", 4)
    return "/" + parts[4]


def _header_choice(request: Request, name: str, values: dict[str, bool], default: bool) -> bool:
    text = request.headers.get(name)
    if text is None:
        return default
    if text not in values:
        raise RefusalError(malformed(name, text, " or ".join(values)))
    return values[text]
