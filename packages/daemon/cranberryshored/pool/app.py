"""Entry instance of a pool, assembled from its parts, with explicit start, drain and close."""

import asyncio
from math import isfinite

import attrs
from result import Err, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import SettingsError
from cranberryshore.messages import CancelMessage, RosterChanges, RosterNews, SubmitWork, WorkEnded
from cranberryshore.pool import (
    CancelledJobs,
    Claim,
    ConfigConfirmation,
    CrashHistory,
    Group,
    JobEnded,
    LostRun,
    MemberAddress,
    PoolConfig,
    QueueSpec,
    SchedulingPolicy,
    WorkerListing,
    WorkerRegistration,
)
from cranberryshore.settings.pool import PoolSettings
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.cancel_service import CancelService
from cranberryshored.pool.clock import TokenSource, now, unix_ms
from cranberryshored.pool.draining import give_up_claim, wait_until_drained
from cranberryshored.pool.entry_service import EntryService
from cranberryshored.pool.evacuations import EvacuationKeeper
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.loss_keeper import LossKeeper
from cranberryshored.pool.member_list import MemberLister
from cranberryshored.pool.outcomes import decode_end, encode_end
from cranberryshored.pool.overload_control import EntryOverload, SchedulerLoad
from cranberryshored.pool.protocols import NumberedMessage, Registry, WorkerCalls
from cranberryshored.pool.roster_keeper import RosterKeeper
from cranberryshored.pool.routing import RouteFailure, Router
from cranberryshored.pool.scheduler_link import SchedulerLink
from cranberryshored.pool.scheduling import SchedulingService
from cranberryshored.pool.submissions import SubmissionHandler
from cranberryshored.pool.transports import TransportFactory
from cranberryshored.tasks import cancel_tasks, start_task


@attrs.define(eq=False, slots=False)
class PoolDaemon:
    """One entry instance of a pool.

    Parameters
    ----------
    make_transport : callable
        Returns the transport to the peers.
    is_first_roster : bool
        Whether the workers have not been read from the store since the latest claim.
    store_answered_at : float
        Time at which the store has last answered with the configuration.
    """

    settings: PoolSettings
    metrics: Metrics
    calls: WorkerCalls
    registry: Registry
    make_transport: TransportFactory
    is_draining: bool = False
    is_first_roster: bool = False
    store_answered_at: float = float("-inf")
    pool_config: PoolConfig = PoolConfig()
    tasks: list[asyncio.Task] = attrs.field(factory=list)
    workers_task: asyncio.Task | None = None
    log: FilteringBoundLogger = attrs.field(factory=lambda: make_logger("daemon"))

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        incarnation = f"{settings.instance}.{unix_ms():x}"
        millicores = int(1000 * settings.processor_share * settings.processor_speed)
        own = MemberAddress(incarnation, settings.peer_address, settings.zone, millicores)
        self.tokens = TokenSource(own.address)
        self.rosters = RosterKeeper(incarnation)
        self.crashes = CrashHistory()
        self.evacuation_keeper = EvacuationKeeper(
            settings, self._evacuations_changed, self.metrics, make_logger("evacuations")
        )
        self.loss_keeper = LossKeeper(
            incarnation, self.crashes, self.registry, self._losses_learned, make_logger("store")
        )
        log = make_logger("group")
        self.exchange = PeerExchange(Group(own, now()), settings.seeds, self, self.metrics, log)
        self.exchange.transport = self.make_transport(own, self.exchange.deliver)
        self.exchange.relief.settings = settings.relief
        self.cancelled = CancelledJobs()
        self.cancelling = CancelService(
            self.exchange,
            self.cancelled,
            self._jobs_cancelled,
            self.metrics,
            make_logger("cancelling"),
        )
        self.members = MemberLister(self.registry, self.exchange, self.cancelling.awaits_silent)
        self.scheduling = self._make_scheduling(own)
        self.scheduling.has_warm_ups = self.evacuation_keeper.is_enabled
        self.submissions = SubmissionHandler(
            self.exchange, self.scheduling, self.config, self._job_ended, make_logger("daemon")
        )
        link = SchedulerLink(self.exchange, self.scheduling, self.rosters, self.config)
        self.entry_service = EntryService(
            link, self.metrics, make_logger("entry"), cancelled=self.cancelled
        )
        load = SchedulerLoad(self.exchange, self.scheduling, self.metrics, make_logger("overload"))
        load.connect(self.submissions, link)
        self.entry_service.overload = self.overload = EntryOverload(self.exchange, load)
        self.overload.apply(settings.overload)
        self.confirmation = ConfigConfirmation()
        self.router = Router(
            self.config, self.confirmation, self._read_config, self.metrics, make_logger("router")
        )

    def _make_scheduling(self, own: MemberAddress) -> SchedulingService:
        return SchedulingService(
            own.incarnation,
            self.calls,
            self.tokens,
            self.rosters.history,
            self._job_ended,
            lambda: self.exchange.process_stalled(),
            self._losses_recorded,
            self.crashes,
            make_logger("scheduler"),
            self.metrics,
            cancelled=self.cancelled,
            policy=SchedulingPolicy.from_settings(self.settings),
        )

    @property
    def group(self) -> Group:
        """Return the group as this instance sees it."""
        return self.exchange.group

    async def start(self) -> None:
        """Start all parts."""
        await self.calls.start()
        await self.registry.start()
        await self.exchange.transport.start()
        await self.exchange.start()
        await self.entry_service.start()
        await self.cancelling.start()
        on_evacuations = self.evacuation_keeper.handler()
        following = self.registry.follow_config(self.handle_read_config, on_evacuations)
        self.tasks = [
            start_task(self.registry.keep_registered(self.group.own), self.log),
            start_task(following, self.log),
            start_task(self.members.run(), self.log),
        ]
        self.log.info("Started.", incarnation=self.group.own.incarnation)

    def reload(self, loaded: Result[PoolSettings, list[SettingsError]]) -> None:
        """Apply changed settings; changed addresses take effect at the next start."""
        if isinstance(loaded, Err):
            faults = [str(fault) for fault in loaded.err_value]
            self.log.error("Changed settings are not valid; the old ones stay.", faults=faults)
            return
        self.settings = loaded.ok_value
        self.exchange.heartbeats.seeds = self.settings.seeds
        self.overload.apply(self.settings.overload)
        self.log.info("Settings read again.")

    async def drain(self) -> None:
        """Hand scheduling to a successor, report not ready, and wait for the pending jobs."""
        self.log.info("Draining.", waiting=len(self.entry_service.pending))
        self.is_draining = self.group.is_draining = True
        if give_up_claim(self.exchange):
            self.claim_ended("this instance leaves")
        self.exchange.announce()
        await wait_until_drained(self.entry_service.pending, self.settings.drain_seconds)
        self.entry_service.give_up_all("This instance leaves.")
        self.cancelling.give_up_all()

    async def close(self) -> None:
        """Stop all parts."""
        await cancel_tasks([*self.tasks, self.workers_task])
        await self.loss_keeper.close()
        await self.cancelling.close()
        await self.scheduling.close()
        await self.entry_service.close()
        await self.exchange.close()
        await self.router.close()
        await self.registry.unregister()
        await self.exchange.transport.close()
        await self.registry.close()
        await self.calls.close()
        self.log.info("Stopped.")

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new callers here."""
        return not self.is_draining and bool(self.pool_config.version and self.exchange.follows)

    async def find_queue(self, host: str, path: str) -> Result[QueueSpec, RouteFailure]:
        """Return the queue of requests for a host and path."""
        return await self.router.find(host, path)

    def handle_read_config(self, config: PoolConfig, newest_at: float) -> None:
        """Apply a configuration that was the newest one in the store at a time."""
        self.store_answered_at = now()
        self.confirmation.record(config.version, newest_at)
        self.handle_config(config)

    async def _read_config(self) -> None:
        await self.registry.read_config(self.handle_read_config)

    # Implementation of ExchangeListener

    def scheduler_changed(self) -> None:
        """See :class:`ExchangeListener`."""
        self.cancelling.inform_new_members()
        self.entry_service.scheduler_changed()

    def scheduler_released(self) -> None:
        """See :class:`ExchangeListener`."""
        self.entry_service.scheduler_changed()

    def entry_acknowledged(
        self, incarnation: str, heartbeat_at: float, roster_version: int
    ) -> None:
        """See :class:`ExchangeListener`."""
        if roster_version > self.rosters.version:
            # The peer would ignore the roster of this instance.
            self.rosters.publish(roster_version, self.rosters.workers)
        self.scheduling.acknowledge(incarnation, heartbeat_at, roster_version)

    def entry_lost(self, incarnation: str) -> None:
        """See :class:`ExchangeListener`."""
        if self.scheduling.claim is not None:
            self.scheduling.entry_lost(incarnation)

    def handle_message(self, sender: str, message: NumberedMessage) -> None:
        """See :class:`ExchangeListener`."""
        if isinstance(message, WorkEnded):
            self.entry_service.job_ended(decode_end(message), sender)
        elif self.scheduling.claim is None:
            self.log.debug("Ignored work because this instance does not schedule.", sender=sender)
        elif isinstance(message, SubmitWork):
            self.submissions.handle(sender, message)
        else:
            self.submissions.cancel(message.job)
            self.scheduling.cancel(message.job, sender)

    def handle_config(self, config: PoolConfig) -> None:
        """Apply a configuration if it is newer than the one in force."""
        if config.version <= self.pool_config.version:
            return
        self.log.info(
            "Configuration in force.", version=config.version, before=self.pool_config.version
        )
        self.pool_config = config
        self.metrics.revision.set(config.version)
        self.scheduling.set_config(config)
        self.exchange.announce_config()
        self.submissions.retry()

    def handle_roster(self, version: int, workers: tuple[WorkerRegistration, ...]) -> None:
        """Store a scheduler's list of workers, for a takeover by this instance."""
        if self.group.claim is None and version > self.rosters.version:
            self.rosters.adopt(version, workers)
            self.exchange.acknowledge()

    def handle_roster_changes(self, changes: RosterChanges) -> None:
        """See :class:`ExchangeListener`."""
        workers = self.rosters.apply(changes)
        if workers is not None:
            self.handle_roster(changes.version, workers)
        else:
            # The acknowledgement tells which version this instance has.
            self.exchange.acknowledge()

    def handle_cancelling(self, sender: str, message: CancelMessage) -> None:
        """See :class:`ExchangeListener`."""
        self.cancelling.handle(sender, message)

    def _jobs_cancelled(self, jobs: tuple[str, ...]) -> None:
        for job in jobs:
            self.entry_service.cancel(job)
            if self.scheduling.claim is not None:
                self.scheduling.cancel(job, None)

    def handle_losses(self, lost_runs: tuple[LostRun, ...]) -> None:
        """See :class:`ExchangeListener`."""
        self.loss_keeper.merge(lost_runs)

    def _losses_recorded(self, lost_runs: tuple[LostRun, ...]) -> None:
        self.exchange.push_losses(lost_runs)
        self.loss_keeper.save_soon()

    def _losses_learned(self) -> None:
        if self.scheduling.claim is None:
            self.crashes.take_changes(now())
        self.scheduling.losses_changed()

    def lost_runs(self) -> tuple[LostRun, ...]:
        """See :class:`ExchangeListener`."""
        return self.crashes.records(now())

    def roster_news(self, base: int) -> RosterNews | RosterChanges:
        """See :class:`ExchangeListener`."""
        return self.rosters.news_since(base)

    def config(self) -> PoolConfig:
        """See :class:`ExchangeListener`."""
        return self.pool_config

    def config_confirmation(self) -> ConfigConfirmation:
        """See :class:`ExchangeListener`."""
        return self.confirmation

    def evacuations(self) -> EvacuationKeeper:
        """See :class:`ExchangeListener`."""
        return self.evacuation_keeper

    def _evacuations_changed(self, zones: frozenset[str]) -> None:
        self.scheduling.evacuate(zones)
        self.group.evacuated = zones
        self._compare_workers(self.rosters.workers, False)

    def store_age(self, moment: float) -> float | None:
        """See :class:`ExchangeListener`."""
        age = moment - self.store_answered_at
        return age if isfinite(age) else None

    def roster(self) -> tuple[int, tuple[WorkerRegistration, ...]]:
        """See :class:`ExchangeListener`."""
        return self.rosters.version, self.rosters.workers

    def held_count(self) -> int:
        """See :class:`ExchangeListener`."""
        return self.scheduling.held_count()

    def has_lost_workers(self) -> bool:
        """See :class:`ExchangeListener`."""
        return self.scheduling.lost_count() > self.scheduling.held_count()

    def waiting_entries(self) -> set[str]:
        """See :class:`ExchangeListener`."""
        return self.scheduling.waiting_entries()

    def process_stalled(self) -> None:
        """See :class:`ExchangeListener`."""
        self.entry_service.resubmit_all()

    def claim_due(self, claim: Claim) -> None:
        """See :class:`ExchangeListener`."""
        if not self.pool_config.version:
            return
        claim = attrs.evolve(claim, term=self.tokens.next())
        self.group.record_claim(claim, now())
        self.is_first_roster = True
        self.scheduling.begin(claim, self.pool_config, self.rosters.workers)
        following = self.registry.follow_workers(
            self._handle_workers, self.rosters.workers, self._handle_page
        )
        self.workers_task = start_task(following, self.log)
        self.exchange.follow()
        self.exchange.announce()
        self.exchange.push_losses(self.crashes.recent_records(now()))
        self.loss_keeper.load_soon()

    def claim_ended(self, reason: str) -> None:
        """See :class:`ExchangeListener`."""
        if self.workers_task is not None:
            self.workers_task.cancel()
            self.workers_task = None
        self.scheduling.end(reason)
        self.exchange.follow()

    def _job_ended(self, end: JobEnded) -> None:
        if end.entry == self.group.own.incarnation:
            self.entry_service.job_ended(end, end.entry)
            return
        self.exchange.send(end.entry, lambda place, echo: encode_end(place, end))

    def _handle_page(self) -> None:
        self.group.page_read_at = now()

    def _compare_workers(self, workers: tuple[WorkerRegistration, ...], is_first: bool) -> None:
        if workers and self.group.compare_workers(workers, is_first):
            # Before the pool is divided, which the others must agree to.
            self.exchange.announce()

    def _handle_workers(self, listing: WorkerListing) -> None:
        self.group.listing_read_at = listing.answered_at
        self._compare_workers(listing.workers, self.is_first_roster)
        self.is_first_roster = False
        if self.rosters.update(listing.workers):
            # New workers are used only for instances that know them.
            self.exchange.push_roster()
        self.scheduling.workers_listed(listing)
