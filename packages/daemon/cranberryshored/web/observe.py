"""HTTP routes for health, metrics, status, reports, traces and the timeline."""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp.web import Request, Response, RouteTableDef
from prometheus_client import generate_latest

from cranberryshore.dispatch import Trace, encode_trace
from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.messages import RolloutAnswer, RolloutQuery, TimelineAnswer, TimelineQuery
from cranberryshore.timeline import Event, EventRecorder, merge_events
from cranberryshored.evidence import EvidenceService
from cranberryshored.metrics import Metrics
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.web.auth import Tokens
from cranberryshored.web.input import query_number
from cranberryshored.web.responses import json_response, refusal_response, result_response

PEER_CALL_TIMEOUT_SECONDS = 1.0
HTTP_SERVICE_UNAVAILABLE = 503
MAX_UNIX_TIME = 10**10


@attrs.frozen
class MemberStatus:
    """State of one peer as known to this instance."""

    incarnation: str
    state: str
    revision: int


@attrs.frozen
class InstanceStatus:
    """Status of an instance for operators."""

    incarnation: str
    zone: str
    is_ready: bool
    is_draining: bool
    revision: int
    follows_store: bool
    open_workers: int
    queued_tasks: int
    running_jobs: int
    peers: tuple[MemberStatus, ...]


@attrs.frozen
class Readiness:
    """Whether this instance should receive work, and the reason if not."""

    is_ready: bool
    reason: str


@attrs.frozen
class RolloutBody:
    """Answers from instances of all availability zones, and addresses without an answer."""

    instances: tuple[RolloutAnswer, ...]
    unreached: tuple[str, ...]


@attrs.frozen
class TimelineBody:
    """Events from all processes of the availability zone that answered."""

    events: tuple[Event, ...]
    dropped: int
    unreached: tuple[str, ...]


@attrs.define(eq=False)
class MonitoringRoutes:
    """Handlers for health, metrics, status, reports, traces and the timeline."""

    tokens: Tokens
    metrics: Metrics
    recorder: EventRecorder
    membership: MembershipService
    calls: PeerCalls
    readiness: Callable[[], Readiness]
    status: Callable[[], InstanceStatus]
    addresses: Callable[[], set[str]]
    evidence: EvidenceService
    trace: Trace | None

    def routes(self) -> RouteTableDef:
        """Register the handlers of peer calls and return the route table."""
        self.calls.handlers[TimelineQuery] = self._on_timeline_query
        self.calls.handlers[RolloutQuery] = self._on_rollout_query
        table = RouteTableDef()
        table.get("/healthz")(self.health)
        table.get("/readyz")(self.ready)
        table.get("/metrics")(self.show_metrics)
        table.get("/v1/status")(self.show_status)
        table.get("/v1/rollout")(self.rollout)
        table.get("/v1/report")(self.report)
        table.get("/v1/trace")(self.show_trace)
        table.get("/v1/timeline")(self.timeline)
        return table

    async def health(self, request: Request) -> Response:
        """Answer as long as the event loop runs."""
        return Response(text="ok\n")

    async def ready(self, request: Request) -> Response:
        """Tell the load balancer whether to send work to this instance."""
        readiness = self.readiness()
        return json_response(readiness, 200 if readiness.is_ready else HTTP_SERVICE_UNAVAILABLE)

    async def show_metrics(self, request: Request) -> Response:
        """Return all metrics in the Prometheus text format."""
        text = generate_latest(self.metrics.registry)
        return Response(body=text, content_type="text/plain")

    async def show_status(self, request: Request) -> Response:
        """Return this instance's status."""
        self.tokens.operator(request)
        return json_response(self.status())

    async def rollout(self, request: Request) -> Response:
        """Return the configuration revision of reachable instances in all availability zones."""
        self.tokens.operator(request)
        addresses = sorted(self.addresses())
        peer_query = RolloutQuery()
        answers = await asyncio.gather(
            *(
                self.calls.call(address, "", peer_query, PEER_CALL_TIMEOUT_SECONDS)
                for address in addresses
            )
        )
        instances = [await self._on_rollout_query(peer_query)]
        unreached = []
        for address, answer in zip(addresses, answers, strict=True):
            if isinstance(answer, RolloutAnswer):
                instances.append(answer)
            else:
                unreached.append(address)
        return json_response(RolloutBody(tuple(instances), tuple(unreached)))

    async def show_trace(self, request: Request) -> Response:
        """Return the recorded inputs of the dispatcher.

        Responds with a refusal if recording is disabled or entries were dropped.
        """
        self.tokens.operator(request)
        if self.trace is None or self.trace.dropped:
            detail = "No whole trace is recorded; see the setting records_trace."
            return refusal_response(Refusal(ErrorType.NOT_FOUND, ExecutionStatus.NOT_RUN, detail))
        body = encode_trace(self.trace.entries)
        return Response(body=body, content_type="application/json")

    async def report(self, request: Request) -> Response:
        """Return promises and outcomes of a time range, from the evidence of all instances."""
        self.tokens.operator(request)
        since = query_number(request, "from", 0, MAX_UNIX_TIME)
        until = query_number(request, "to", MAX_UNIX_TIME, MAX_UNIX_TIME)
        team = request.query.get("team")
        return result_response(await self.evidence.report(since, until, team))

    async def timeline(self, request: Request) -> Response:
        """Return the events about a subject, merged over all processes of the availability zone."""
        self.tokens.operator(request)
        subject = request.query.get("subject", "")
        peers = self.membership.table.reachable()
        peer_query = TimelineQuery(subject)
        answers = await asyncio.gather(
            *(
                self.calls.call(
                    peer.address, str(peer.incarnation), peer_query, PEER_CALL_TIMEOUT_SECONDS
                )
                for peer in peers
            )
        )
        parts = [self.recorder.events_for(subject)]
        dropped = self.recorder.dropped
        unreached = []
        for peer, answer in zip(peers, answers, strict=True):
            if isinstance(answer, TimelineAnswer):
                parts.append(answer.events)
                dropped += answer.dropped
            else:
                unreached.append(str(peer.incarnation))
        merged = merge_events(parts)
        return json_response(TimelineBody(tuple(merged), dropped, tuple(unreached)))

    async def _on_rollout_query(self, query: RolloutQuery) -> RolloutAnswer:
        status = self.status()
        return RolloutAnswer(status.incarnation, status.revision)

    async def _on_timeline_query(self, query: TimelineQuery) -> TimelineAnswer:
        return TimelineAnswer(tuple(self.recorder.events_for(query.subject)), self.recorder.dropped)
