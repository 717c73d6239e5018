"""The entry daemon: builds all components and starts, drains and closes them."""

import asyncio
from time import time

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.config import ConfigState, ServiceSpec
from cranberryshore.dispatch import (
    Dispatcher,
    Drain,
    OwnerClosed,
    OwnerNamed,
    OwnershipConfirmed,
    Trace,
)
from cranberryshore.identity import Incarnation
from cranberryshore.limits import TokenBucket
from cranberryshore.membership import PeerTable
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind, EventRecorder
from cranberryshored.config import ConfigApplier, ConfigConfirmer, ConfigEditor, ConfigFollower
from cranberryshored.dependencies import Dependencies
from cranberryshored.evidence import EvidenceService
from cranberryshored.inbox import PeerInbox
from cranberryshored.jobs import (
    ClosureService,
    JobRouter,
    JobService,
    KeyBindings,
    OwnershipService,
    WorkerLinks,
)
from cranberryshored.loans import LoanExchange
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.quotas import QuotaExchange
from cranberryshored.requests import RequestService
from cranberryshored.status import StatusReader
from cranberryshored.tasks import cancel_tasks
from cranberryshored.web.auth import index_tokens
from cranberryshored.web.jobs import JobRoutes
from cranberryshored.web.observe import MonitoringRoutes
from cranberryshored.web.requests import RequestRoutes
from cranberryshored.web.resources import ResourceRoutes
from cranberryshored.zone import ZoneView

DRAIN_POLL_SECONDS = 0.05


@attrs.define(eq=False, slots=False)
class Daemon:
    """One entry instance.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    metrics : Metrics
        Metrics that all components update.
    dependencies : Dependencies
        External systems that the daemon uses.
    """

    settings: DaemonSettings
    metrics: Metrics
    dependencies: Dependencies
    services: dict[str, RequestService] = attrs.field(factory=dict)
    is_draining: bool = False
    log: FilteringBoundLogger = attrs.field(factory=lambda: make_logger("daemon"))

    def __attrs_post_init__(self) -> None:
        settings, deps = self.settings, self.dependencies
        self.store, self.instance_list = deps.store, deps.instance_list
        self.ownership = OwnershipService(
            settings, self.store, make_logger("ownership"), deps.unix_time, deps.random
        )
        self.recorder = EventRecorder(str(self.ownership.incarnation))
        self.evidence = EvidenceService(
            self.store,
            lambda: str(self.ownership.incarnation),
            deps.unix_time,
            settings.timing.evidence_seconds,
            make_logger("evidence"),
        )
        self._build_peers()
        self._build_jobs()
        self._build_requests_and_config()
        self.zone = ZoneView(
            settings,
            self.instance_list,
            self.membership,
            self.ownership,
            self.jobs,
            self.closures,
            self.router,
            self.services,
            make_logger("zone"),
            self._on_record_closed,
        )
        self.quotas = QuotaExchange(self.jobs, self.membership, self.transport, self.router)
        self.inbox = PeerInbox(self.membership, self.calls, self.quotas, self.jobs, self.services)
        self.applier = ConfigApplier(
            settings.zone,
            self.state,
            self.services,
            self.jobs,
            self._make_service,
            make_logger("configuration"),
        )
        self._build_web()

    def _build_peers(self) -> None:
        settings = self.settings
        self.transport = self.dependencies.transport(
            lambda: str(self.ownership.incarnation),
            lambda sender, message: self.inbox.deliver(sender, message),
            self.recorder,
        )
        self.calls = PeerCalls(self.transport, str(settings.peer_listen), make_logger("peers"))
        self.table = PeerTable(self.ownership.incarnation)
        self.membership = MembershipService(
            settings, self.table, self.transport, self, make_logger("membership")
        )

    def _build_jobs(self) -> None:
        settings, timing = self.settings, self.settings.timing
        dispatcher = Dispatcher(settings.dispatch, str(self.ownership.incarnation))
        self.loans = LoanExchange(self.table, self.transport, self)
        self.jobs = JobService(
            dispatcher,
            self.loans,
            self.recorder,
            self.metrics,
            make_logger("jobs"),
            timing.tick_seconds,
            self.evidence,
        )
        if settings.records_trace:
            self.jobs.trace = Trace()
        self.jobs.links = WorkerLinks(
            timing.worker_lost_seconds,
            self.jobs,
            self.metrics,
            make_logger("workers"),
            self.dependencies.worker_http_session,
        )
        self.closures = ClosureService(
            self.store,
            self.jobs.links,
            self.recorder,
            make_logger("closures"),
            self.dependencies.unix_time,
        )
        self.jobs.closures = self.closures
        self.router = JobRouter(
            self.jobs,
            self.ownership,
            self.membership,
            self.calls,
            self.closures,
            make_logger("router"),
        )
        self.router.register()
        self._set_owner()

    def _build_requests_and_config(self) -> None:
        self.forwarder = self.dependencies.forwarder
        self.state = ConfigState()
        self.follower = ConfigFollower(
            self.state,
            self.store,
            self.calls,
            self.membership,
            self.recorder,
            self.metrics,
            make_logger("configuration"),
            self._apply_config,
        )
        self.editor = ConfigEditor(
            self.store,
            self.recorder,
            make_logger("configuration"),
            self.evidence,
            self.follower.rollout,
        )

    def _build_web(self) -> None:
        settings = self.settings
        tokens = index_tokens(settings.tokens)
        rate = settings.limits.key_bindings_per_second
        self.bindings = KeyBindings(self.store, self.ownership, TokenBucket(rate, rate))
        self.request_routes = RequestRoutes(
            self.services,
            tokens,
            self.recorder,
            ConfigConfirmer(self.follower, make_logger("configuration")),
        )
        job_routes = JobRoutes(self.router, self.ownership, self.bindings, tokens, settings.limits)
        resource_routes = ResourceRoutes(
            self.follower, self.editor, tokens, settings.limits.wait_ms
        )
        self.status_reader = StatusReader(
            self.settings, self.ownership, self.follower, self.membership, self.zone, self.jobs
        )
        monitoring_routes = MonitoringRoutes(
            tokens,
            self.metrics,
            self.recorder,
            self.membership,
            self.calls,
            self.status_reader.readiness,
            self.status_reader.status,
            self.peer_addresses,
            self.evidence,
            self.jobs.trace,
        )
        tables = [
            routes.routes()
            for routes in (self.request_routes, job_routes, resource_routes, monitoring_routes)
        ]
        self.web = self.dependencies.web(tables)

    async def start(self) -> None:
        """Start all components; the web server starts last.

        Raises
        ------
        OSError
            If an address to listen on cannot be used; all components have been closed.
        """
        self.recorder.record(time(), EventKind.PROCESS_STARTED)
        try:
            for part in self._components():
                await part.start()
        except OSError:
            await self._close_components()
            raise
        self.tick_task = asyncio.create_task(self._tick())
        self.renewal_task = asyncio.create_task(self._replace_closed_incarnation())
        self.confirmation_task = asyncio.create_task(self._confirm_ownership())
        self.log.info("Started.", incarnation=str(self.ownership.incarnation))

    async def close(self) -> None:
        """Drain, then stop all components."""
        await self.drain()
        await cancel_tasks([self.tick_task, self.renewal_task, self.confirmation_task])
        await self._close_components()
        self.log.info("Stopped.")

    async def drain(self) -> None:
        """Stop accepting work and finish what was accepted, within the drain time.

        During the first half of the drain time, queued jobs are still started, on capacity
        borrowed from the peers. After that, jobs that are still queued are refused as not run,
        and running tasks are awaited until the drain time ends. Even an idle instance still
        listens for ``readiness_grace_seconds``, at most for half the drain time, because the load
        balancer may send work until it notices that the instance is not ready.
        """
        loop = asyncio.get_running_loop()
        timing = self.settings.timing
        started = loop.time()
        self.is_draining = self.membership.is_draining = True
        self.request_routes.is_draining = True
        self.recorder.record(time(), EventKind.PROCESS_DRAINING)
        self.log.info("Draining.")
        self.membership.send_heartbeats()
        self.jobs.handle(Drain())
        self.zone.update_assignments()
        self.follower.release_waiters()
        grace_until = started + timing.readiness_grace_seconds
        queue_deadline = started + timing.drain_seconds / 2
        while loop.time() < queue_deadline and (self._is_busy() or loop.time() < grace_until):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.jobs.handle(Drain(is_final=True))
        while loop.time() < started + timing.drain_seconds and self._is_busy():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.evidence.drained(loop.time() - started, not self._is_busy())

    def peer_addresses(self) -> set[str]:
        """Return the peer addresses of all other instances in all availability zones."""
        addresses = set(self.membership.candidates)
        addresses |= {peer.address for peer in self.table.reachable()}
        for others in self.router.other_zones.values():
            addresses.update(others)
        return addresses - {str(self.settings.peer_listen)}

    def assigned_to(self, scope: str, resource: str) -> str | None:
        """See :class:`Assignments`."""
        return self.zone.assigned_to(scope, resource)

    def membership_changed(self, gone: list[Incarnation]) -> None:
        """See :class:`MembershipListener`."""
        for incarnation in gone:
            self.follower.drop_peer(incarnation)
        self.metrics.live_peers.set(len(self.table.live()))
        self.zone.membership_changed(gone)

    def peer_revision(self, peer: Incarnation, revision: int, follows_store: bool) -> None:
        """See :class:`MembershipListener`."""
        self.follower.on_peer_revision(peer, revision, follows_store)

    def own_revision(self) -> int:
        """See :class:`MembershipListener`."""
        return self.state.revision

    def follows_store(self) -> bool:
        """See :class:`MembershipListener`."""
        return self.follower.follows_store

    async def _close_components(self) -> None:
        await self.web.close()
        await self.ownership.close_record()
        for part in reversed(self._components()):
            if part is not self.web:
                await part.close()

    def _components(self) -> list:
        return [
            self.store,
            self.instance_list,
            self.transport,
            self.calls,
            self.forwarder,
            self.jobs.links,
            self.jobs,
            self.membership,
            self.follower,
            self.zone,
            self.quotas,
            self.evidence,
            self.web,
        ]

    def _is_busy(self) -> bool:
        return self.web.in_flight > 0 or any(
            not job.is_settled for job in self.jobs.dispatcher.jobs.values()
        )

    def _apply_config(self) -> None:
        self.applier.apply()
        self.zone.update_assignments()

    def _make_service(self, name: str, spec: ServiceSpec) -> RequestService:
        service = RequestService(
            name,
            spec,
            self.forwarder,
            self.loans,
            self.recorder,
            self.metrics,
            make_logger("requests"),
            self.zone,
            self.evidence,
        )
        self.zone.set_service_upstreams(service)
        return service

    def _on_record_closed(self, incarnation: Incarnation) -> None:
        self.jobs.handle(OwnerClosed(str(incarnation)))

    async def _replace_closed_incarnation(self) -> None:
        """Take a new incarnation whenever a peer has closed the current one."""
        while True:
            await self.jobs.owner_retired.wait()
            self.jobs.owner_retired.clear()
            self.ownership.renew()
            self._set_owner()
            self.evidence.renew()
            self.zone.workers_changed.set()

    async def _confirm_ownership(self) -> None:
        """Read after each pause of this process whether a peer has closed the incarnation."""
        while True:
            await self.jobs.ownership_doubted.wait()
            self.jobs.ownership_doubted.clear()
            owner, asked_at = str(self.ownership.incarnation), asyncio.get_running_loop().time()
            read = await self.ownership.is_closed()
            if read.unwrap_or(False):
                self.jobs.handle(OwnerClosed(owner))
            else:
                # A failed read counts too, so that jobs run during a store outage; the workers
                # reject the starts of a closed owner.
                self.jobs.handle(OwnershipConfirmed(owner, asked_at))

    def _set_owner(self) -> None:
        owner = str(self.ownership.incarnation)
        self.jobs.handle(OwnerNamed(owner))
        self.table.own = self.ownership.incarnation
        self.closures.closed_by = owner
        self.recorder.process = owner

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(self.settings.timing.tick_seconds)
            for service in self.services.values():
                service.tick()
