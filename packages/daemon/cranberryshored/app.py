"""The entry daemon: all parts put together, with an explicit start, drain and close."""

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
    Trace,
)
from cranberryshore.identity import Incarnation
from cranberryshore.limits import TokenBucket
from cranberryshore.membership import PeerTable
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind, Recorder
from cranberryshored.config import ConfigApplier, ConfigEditor, ConfigFollower
from cranberryshored.evidence import EvidenceService
from cranberryshored.inbox import PeerInbox
from cranberryshored.jobs import (
    Closures,
    JobRouter,
    JobService,
    KeyBindings,
    OwnershipService,
    WorkerLinks,
)
from cranberryshored.loans import LoanExchange
from cranberryshored.log import part_log
from cranberryshored.metrics import Metrics
from cranberryshored.peers import MembershipService, PeerCalls
from cranberryshored.quotas import QuotaExchange
from cranberryshored.requests import RequestService
from cranberryshored.surroundings import Surroundings
from cranberryshored.tasks import end_tasks
from cranberryshored.web.auth import index_tokens
from cranberryshored.web.jobs import JobRoutes
from cranberryshored.web.observe import InstanceStatus, MemberStatus, MonitoringRoutes, Readiness
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
        Checked settings.
    metrics : Metrics
        Where everything is counted.
    surroundings : Surroundings
        What the daemon is connected to.
    """

    settings: DaemonSettings
    metrics: Metrics
    surroundings: Surroundings
    services: dict[str, RequestService] = attrs.field(factory=dict)
    is_draining: bool = False
    log: FilteringBoundLogger = attrs.field(factory=lambda: part_log("daemon"))

    def __attrs_post_init__(self) -> None:
        settings, around = self.settings, self.surroundings
        self.store, self.instance_list = around.store, around.instance_list
        self.ownership = OwnershipService(
            settings, self.store, part_log("ownership"), around.unix_time, around.random
        )
        self.recorder = Recorder(str(self.ownership.incarnation))
        self.evidence = EvidenceService(
            self.store,
            lambda: str(self.ownership.incarnation),
            around.unix_time,
            settings.timing.evidence_seconds,
            part_log("evidence"),
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
            part_log("zone"),
            self._retire,
        )
        self.quotas = QuotaExchange(self.jobs, self.membership, self.transport, self.router)
        self.inbox = PeerInbox(self.membership, self.calls, self.quotas, self.jobs, self.services)
        self.applier = ConfigApplier(
            settings.zone,
            self.state,
            self.services,
            self.jobs,
            self._make_service,
            part_log("configuration"),
        )
        self._build_web()

    def _build_peers(self) -> None:
        settings = self.settings
        self.transport = self.surroundings.transport(
            lambda: str(self.ownership.incarnation),
            lambda sender, message: self.inbox.deliver(sender, message),
            self.recorder,
        )
        self.calls = PeerCalls(self.transport, str(settings.peer_listen), part_log("peers"))
        self.table = PeerTable(self.ownership.incarnation)
        self.membership = MembershipService(
            settings, self.table, self.transport, self, part_log("membership")
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
            part_log("jobs"),
            timing.tick_seconds,
            self.evidence,
        )
        if settings.records_trace:
            self.jobs.trace = Trace()
        self.jobs.links = WorkerLinks(
            timing.worker_lost_seconds,
            self.jobs,
            self.metrics,
            part_log("workers"),
            self.surroundings.worker_session,
        )
        self.closures = Closures(
            self.store,
            self.jobs.links,
            self.recorder,
            part_log("closures"),
            self.surroundings.unix_time,
        )
        self.jobs.closures = self.closures
        self.router = JobRouter(
            self.jobs,
            self.ownership,
            self.membership,
            self.calls,
            self.closures,
            part_log("router"),
        )
        self.router.register()
        self._name_owner()

    def _build_requests_and_config(self) -> None:
        self.forwarder = self.surroundings.forwarder
        self.state = ConfigState()
        self.follower = ConfigFollower(
            self.state,
            self.store,
            self.calls,
            self.membership,
            self.recorder,
            self.metrics,
            part_log("configuration"),
            self._configure,
        )
        self.editor = ConfigEditor(
            self.store, self.recorder, part_log("configuration"), self.evidence, self.lagging
        )

    def _build_web(self) -> None:
        settings = self.settings
        tokens = index_tokens(settings.tokens)
        rate = settings.limits.key_bindings_per_second
        self.bindings = KeyBindings(self.store, self.ownership, TokenBucket(rate, rate))
        self.request_routes = RequestRoutes(self.services, tokens, self.recorder)
        job_routes = JobRoutes(self.router, self.ownership, self.bindings, tokens, settings.limits)
        resource_routes = ResourceRoutes(
            self.follower, self.editor, tokens, settings.limits.wait_ms
        )
        observe_routes = MonitoringRoutes(
            tokens,
            self.metrics,
            self.recorder,
            self.membership,
            self.calls,
            self.readiness,
            self.status,
            self.peer_addresses,
            self.evidence,
            self.jobs.trace,
        )
        tables = [
            routes.routes()
            for routes in (self.request_routes, job_routes, resource_routes, observe_routes)
        ]
        self.web = self.surroundings.web(tables)

    async def start(self) -> None:
        """Start all parts; listening for callers comes last."""
        self.recorder.record(time(), EventKind.PROCESS_STARTED)
        for part in self._parts():
            await part.start()
        self.tick_task = asyncio.create_task(self._tick())
        self.retire_task = asyncio.create_task(self._watch_retirement())
        self.log.info("Started.", incarnation=str(self.ownership.incarnation))

    async def close(self) -> None:
        """Drain, then stop all parts."""
        await self.drain()
        await end_tasks([self.tick_task, self.retire_task])
        await self.web.close()
        await self.ownership.close_record()
        for part in reversed(self._parts()):
            if part is not self.web:
                await part.close()
        self.log.info("Stopped.")

    async def drain(self) -> None:
        """Accept nothing more and end what was accepted, bounded in time.

        Until half of the drain time has passed, the queue is worked off with room borrowed from
        the peers; what still waits then is refused as not run, and what runs is waited for.
        """
        loop = asyncio.get_running_loop()
        timing = self.settings.timing
        started = loop.time()
        self.is_draining = self.membership.is_draining = True
        self.request_routes.is_draining = True
        self.recorder.record(time(), EventKind.PROCESS_DRAINING)
        self.log.info("Draining.")
        self.membership.beat()
        self.jobs.handle(Drain())
        self.zone.share_out()
        self.follower.end_waits()
        grace_until = started + timing.readiness_grace_seconds
        half = started + timing.drain_seconds / 2
        while loop.time() < half and (self._is_busy() or loop.time() < grace_until):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.jobs.handle(Drain(is_final=True))
        while loop.time() < started + timing.drain_seconds and self._is_busy():
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self.evidence.drained(loop.time() - started, not self._is_busy())

    def readiness(self) -> Readiness:
        """Tell whether the balancer should send work here."""
        if self.is_draining:
            return Readiness(False, "draining")
        if not self.follower.has_loaded:
            return Readiness(False, "no configuration yet")
        if self.zone.version < 0:
            return Readiness(False, "no instance list yet")
        return Readiness(True, "")

    def status(self) -> InstanceStatus:
        """Return what operators see of this instance."""
        dispatcher = self.jobs.dispatcher
        peers = tuple(
            MemberStatus(
                str(peer.incarnation),
                peer.state.value,
                self.follower.ahead.get(peer.incarnation, 0),
            )
            for peer in self.table.peers.values()
        )
        return InstanceStatus(
            str(self.ownership.incarnation),
            self.settings.zone,
            self.readiness().is_ready,
            self.is_draining,
            self.state.revision,
            self.follower.follows_store,
            sum(link.is_open for link in self.jobs.links.links.values()),
            dispatcher.filling.waiting_tasks,
            sum(not job.is_settled for job in dispatcher.jobs.values()),
            peers,
        )

    def peer_addresses(self) -> set[str]:
        """Return the peer addresses of all other instances of all zones."""
        addresses = set(self.membership.candidates)
        addresses |= {peer.address for peer in self.table.reachable()}
        for others in self.router.other_zones.values():
            addresses.update(others)
        return addresses - {str(self.settings.peer_listen)}

    def lagging(self, revision: int) -> list[str]:
        """Return the live instances of the zone that do not have a revision in force."""
        late = [
            str(peer.incarnation)
            for peer in self.table.live()
            if self.follower.ahead.get(peer.incarnation, 0) < revision
        ]
        own = [str(self.ownership.incarnation)] if self.state.revision < revision else []
        return own + late

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

    def _parts(self) -> list:
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

    def _configure(self) -> None:
        self.applier.apply()
        self.zone.share_out()

    def _make_service(self, name: str, spec: ServiceSpec) -> RequestService:
        service = RequestService(
            name,
            spec,
            self.forwarder,
            self.loans,
            self.recorder,
            self.metrics,
            part_log("requests"),
            self.zone,
            self.evidence,
        )
        self.zone.set_service_upstreams(service)
        return service

    def _retire(self, incarnation: Incarnation) -> None:
        self.jobs.handle(OwnerClosed(str(incarnation)))

    async def _watch_retirement(self) -> None:
        """Replace the incarnation once a peer has closed it."""
        while True:
            await self.jobs.retired.wait()
            self.jobs.retired.clear()
            self.ownership.renew()
            self._name_owner()
            self.evidence.renew()
            self.zone.workers_changed.set()

    def _name_owner(self) -> None:
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
