"""An entry instance of a pool: the parts put together, with explicit start, drain and close."""

import asyncio
from collections.abc import Callable

import attrs
from result import Err, Result
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import SettingsError
from cranberryshore.messages import CancelWork, PeerMessage, SubmitWork, WorkEnded
from cranberryshore.pool import (
    Claim,
    Group,
    JobEnded,
    MemberAddress,
    Outcome,
    PoolConfig,
    WorkerEntry,
    WorkRequest,
)
from cranberryshore.settings.pool import PoolSettings
from cranberryshore.timeline import EventRecorder
from cranberryshored.log import part_log
from cranberryshored.metrics import Metrics
from cranberryshored.peers.transport import PeerTransport, Transport
from cranberryshored.pool.clock import TokenSource, now, unix_ms
from cranberryshored.pool.desk import EntryDesk
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.protocols import Numbered, Registry, WorkerCalls
from cranberryshored.pool.scheduling import SchedulingService
from cranberryshored.tasks import end_tasks, start_task

STALE_SECONDS = 0.4
"""Work that was under way for longer may have been handed to another scheduler meanwhile, which
happens 0.5 s after the last beat at the earliest."""

LIST_SECONDS = 0.5
"""Time between two readings of the registered instances while no scheduler is known."""

LIST_FOLLOWING_SECONDS = 3.0
"""The same for a scheduler; the others learn members from its beats."""

LEAVE_READY_SECONDS = 2.4
"""Time after which no new connections come once readiness has ended: two looks, one a second."""


Deliver = Callable[[str, PeerMessage], None]
TransportMaker = Callable[[MemberAddress, Deliver], Transport]


def peer_transport(metrics: Metrics, listen: str) -> TransportMaker:
    """Return a maker of transports over the network that listen on an address."""

    def make(own: MemberAddress, deliver: Deliver) -> Transport:
        recorder, log = EventRecorder(own.incarnation), part_log("peers")
        return PeerTransport(listen, lambda: own.incarnation, deliver, recorder, metrics, log)

    return make


@attrs.define(eq=False, slots=False)
class PoolDaemon:
    """One entry instance of a pool.

    Parameters
    ----------
    settings : PoolSettings
        Checked settings.
    metrics : Metrics
        Where everything is counted.
    calls : WorkerCalls
        Speaks to workers.
    registry : Registry
        Reads the platform's store.
    make_transport : callable
        Makes the transport to the peers.
    """

    settings: PoolSettings
    metrics: Metrics
    calls: WorkerCalls
    registry: Registry
    make_transport: TransportMaker
    is_draining: bool = False
    pool_config: PoolConfig = PoolConfig()
    workers: tuple[WorkerEntry, ...] = ()
    roster_version: int = 0
    tasks: list[asyncio.Task] = attrs.field(factory=list)
    watching: asyncio.Task | None = None
    log: FilteringBoundLogger = attrs.field(factory=lambda: part_log("daemon"))

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        incarnation = f"{settings.instance}.{unix_ms():x}"
        millicores = int(1000 * settings.processor_share * settings.processor_speed)
        own = MemberAddress(incarnation, settings.peer_address, settings.zone, millicores)
        self.tokens = TokenSource(own.address)
        log = part_log("group")
        self.exchange = PeerExchange(Group(own, now()), settings.seeds, self, self.metrics, log)
        self.exchange.transport = self.make_transport(own, self.exchange.deliver)
        self.scheduling = SchedulingService(
            self.calls,
            self.tokens,
            self._job_ended,
            lambda: self.exchange.stood_still(),
            part_log("scheduler"),
            self.metrics,
        )
        self.desk = EntryDesk(self, self.metrics, part_log("entry"))

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
        await self.desk.start()
        self.tasks = [
            start_task(self.registry.keep_registered(self.group.own), self.log),
            start_task(self.registry.follow_config(self.take_config), self.log),
            start_task(self._list_members(), self.log),
        ]
        self.log.info("Started.", incarnation=self.group.own.incarnation)

    def reload(self, loaded: Result[PoolSettings, list[SettingsError]]) -> None:
        """Put changed settings in force; addresses keep their values until the next start."""
        if isinstance(loaded, Err):
            faults = [str(fault) for fault in loaded.err_value]
            self.log.error("Changed settings are not valid; the old ones stay.", faults=faults)
            return
        self.settings = loaded.ok_value
        self.exchange.seeds = self.settings.seeds
        self.log.info("Settings read again.")

    async def drain(self) -> None:
        """Hand the schedule on, let new callers go elsewhere, and answer those who wait."""
        self.log.info("Draining.", waiting=len(self.desk.pending))
        self.is_draining = self.group.is_draining = True
        successor = self.group.successor(now())
        if self.group.claim is not None and successor is not None:
            if not self.group.claim.zone:
                self.exchange.successor = successor.at.incarnation
            self.group.claim = None
            self.claim_ended("this instance leaves")
        self.exchange.announce()
        loop = asyncio.get_running_loop()
        least, most = loop.time() + LEAVE_READY_SECONDS, loop.time() + self.settings.drain_seconds
        while loop.time() < least or (self.desk.pending and loop.time() < most):
            await asyncio.sleep(0.02)
        self.desk.give_up_all("This instance leaves.")

    async def close(self) -> None:
        """Stop all parts."""
        await end_tasks([*self.tasks, self.watching])
        await self.scheduling.close()
        await self.desk.close()
        await self.exchange.close()
        await self.registry.unregister()
        await self.exchange.transport.close()
        await self.registry.close()
        await self.calls.close()
        self.log.info("Stopped.")

    def is_ready(self) -> bool:
        """Tell whether the balancer should send new callers here."""
        if self.is_draining or not self.pool_config.version:
            return False
        return bool(self.exchange.follows)

    # What the exchange asks and tells

    def scheduler_changed(self) -> None:
        """See :class:`ExchangeListener`."""
        self.desk.scheduler_changed()

    def peer_left(self, incarnation: str) -> None:
        """See :class:`ExchangeListener`."""
        if self.scheduling.claim is not None:
            self.scheduling.entry_lost(incarnation)

    def take(self, sender: str, message: Numbered) -> None:
        """See :class:`ExchangeListener`."""
        if isinstance(message, WorkEnded):
            end = JobEnded("", message.job, message.outcome, message.detail, message.retry_after_ms)
            self.desk.ended(end, sender)
        elif self.scheduling.claim is None:
            self.log.debug("Work for a scheduler that is none.", sender=sender)
        elif isinstance(message, SubmitWork):
            self._take_work(sender, message)
        else:
            self.scheduling.cancel(message.job, sender)

    def _take_work(self, sender: str, message: SubmitWork) -> None:
        age = now() - message.echo
        member = self.group.members.get(sender)
        if age <= STALE_SECONDS and member is not None and message.epoch >= member.epoch:
            member.epoch = message.epoch
            self.scheduling.submit(message.request, sender)
            return
        job = message.request.id
        self.log.warning("Work was held up on its way.", job=job, sender=sender, seconds=age)
        self._job_ended(JobEnded(sender, job, Outcome.DROPPED, "It was held up on its way."))

    def take_config(self, config: PoolConfig) -> None:
        """Put a configuration in force unless it is older than the one in force."""
        if config.version <= self.pool_config.version:
            return
        self.log.info(
            "Configuration in force.", version=config.version, before=self.pool_config.version
        )
        self.pool_config = config
        self.metrics.revision.set(config.version)
        self.scheduling.set_config(config)
        self.exchange.push_config()

    def take_roster(self, version: int, workers: tuple[WorkerEntry, ...]) -> None:
        """Take a scheduler's list of workers, in case this instance takes over."""
        if self.group.claim is None and version > self.roster_version:
            self.roster_version, self.workers = version, workers

    def config(self) -> PoolConfig:
        """See :class:`ExchangeListener`."""
        return self.pool_config

    def roster(self) -> tuple[int, tuple[WorkerEntry, ...]]:
        """See :class:`ExchangeListener`."""
        return self.roster_version, self.workers

    def held_count(self) -> int:
        """See :class:`ExchangeListener`."""
        return self.scheduling.held_count()

    def has_lost_hold(self) -> bool:
        """See :class:`ExchangeListener`."""
        return self.scheduling.lost_count() > self.scheduling.held_count()

    def waiting_entries(self) -> set[str]:
        """See :class:`ExchangeListener`."""
        return self.scheduling.waiting_entries()

    def stood_still(self) -> None:
        """See :class:`ExchangeListener`."""
        self.desk.hand_over_again()

    def claim_wanted(self, claim: Claim) -> None:
        """See :class:`ExchangeListener`."""
        if not self.pool_config.version:
            return
        claim = attrs.evolve(claim, term=self.tokens.next())
        self.group.claim = claim
        self.scheduling.begin(claim, self.pool_config, self.workers)
        self.watching = start_task(self.registry.follow_workers(self._workers_read), self.log)
        self.exchange.follow()
        self.exchange.announce()

    def claim_ended(self, reason: str) -> None:
        """See :class:`ExchangeListener`."""
        if self.watching is not None:
            self.watching.cancel()
            self.watching = None
        self.scheduling.end(reason)
        self.exchange.follow()

    # What the desk asks

    def scheduler(self) -> str:
        """See :class:`WorkSink`."""
        return self.exchange.follows

    def submit(self, request: WorkRequest) -> None:
        """See :class:`WorkSink`."""
        if self.exchange.follows == self.group.own.incarnation:
            self.scheduling.submit(request, self.exchange.follows)
        else:
            self.exchange.send(
                self.exchange.follows,
                lambda place, echo: SubmitWork(place, request, self.exchange.epoch, echo),
            )

    def cancel(self, job: str) -> None:
        """See :class:`WorkSink`."""
        if self.exchange.follows == self.group.own.incarnation:
            self.scheduling.cancel(job, self.exchange.follows)
        elif self.exchange.follows:
            self.exchange.send(self.exchange.follows, lambda place, echo: CancelWork(place, job))

    def _job_ended(self, end: JobEnded) -> None:
        if end.entry == self.group.own.incarnation:
            self.desk.ended(end, end.entry)
            return
        self.exchange.send(
            end.entry,
            lambda place, echo: WorkEnded(
                place, end.job, end.outcome, end.detail, end.retry_after_ms
            ),
        )

    def _workers_read(self, workers: tuple[WorkerEntry, ...]) -> None:
        if workers != self.workers or not self.roster_version:
            self.roster_version = max(self.roster_version + 1, unix_ms())
            self.workers = workers
        self.scheduling.set_roster(workers, is_fresh=True)

    async def _list_members(self) -> None:
        while True:
            listed = await self.registry.list_members()
            if listed is not None:
                self.group.list_members(listed)
                for item in listed:
                    self.group.learn(item, now())
            is_lost = not self.exchange.follows
            if not is_lost and self.group.claim is None:
                await asyncio.sleep(LIST_SECONDS)
                while self.exchange.follows and self.group.claim is None:
                    await asyncio.sleep(LIST_SECONDS)
                continue
            await asyncio.sleep(LIST_SECONDS if is_lost else LIST_FOLLOWING_SECONDS)
