"""The zone's workers, upstreams and peers, as the instance list and the heartbeats give them."""

import asyncio
from collections.abc import Callable
from time import time

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshore.dispatch import Assigned, PeerDead, WorkerAdded, WorkerLost
from cranberryshore.identity import Incarnation
from cranberryshore.messages.peer import JOBS_SCOPE
from cranberryshore.ownership import OwnedWorker
from cranberryshore.placement import Assignment, assign_balanced
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind
from cranberryshored.jobs import Closures, JobRouter, JobService, OwnershipService
from cranberryshored.jobs.ownership import Closed
from cranberryshored.peers import MembershipService
from cranberryshored.platform import InstanceKind, InstanceList, ListedInstance
from cranberryshored.requests import RequestService
from cranberryshored.tasks import cancel_tasks

RECORD_RETRY_SECONDS = 0.5
ALIVE_PERIOD_SECONDS = 0.1
PAUSE_SECONDS = 0.5


@attrs.define(eq=False)
class ZoneView:
    """Keeps sessions, upstreams and assignments in step with the instance list and the peers.

    Parameters
    ----------
    services : dict
        Declared services by name.
    on_retired : callable
        Called with an incarnation of this process that the store says is closed.
    """

    settings: DaemonSettings
    instance_list: InstanceList
    membership: MembershipService
    ownership: OwnershipService
    jobs: JobService
    closures: Closures
    router: JobRouter
    services: dict[str, RequestService]
    log: FilteringBoundLogger
    on_retired: Callable[[Incarnation], None]
    version: int = -1
    workers: dict[str, ListedInstance] = attrs.field(factory=dict)
    upstreams: dict[str, ListedInstance] = attrs.field(factory=dict)
    assignments: dict[str, dict[str, str]] = attrs.field(factory=dict)
    used_workers: set[OwnedWorker] = attrs.field(factory=set)
    tasks: list[asyncio.Task] = attrs.field(factory=list)
    asked_at: float = 0.0
    alive_at: float = 0.0
    paused_until: float = 0.0
    polled: asyncio.Event = attrs.field(factory=asyncio.Event)
    poll_now: asyncio.Event = attrs.field(factory=asyncio.Event)
    workers_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Begin to follow the instance list."""
        self.alive_at = asyncio.get_running_loop().time()
        self.tasks = [
            asyncio.create_task(self._watch_pauses()),
            asyncio.create_task(self._poll()),
            asyncio.create_task(self._keep_record()),
        ]

    async def close(self) -> None:
        """Stop following."""
        await cancel_tasks(self.tasks)

    def assigned_to(self, scope: str, resource: str) -> str | None:
        """Return the incarnation that a worker or upstream is assigned to."""
        return self.assignments.get(scope, {}).get(resource)

    def membership_changed(self, gone: list[Incarnation]) -> None:
        """Share the workers and upstreams out anew."""
        for incarnation in gone:
            self.jobs.handle(PeerDead(str(incarnation)))
            for service in self.services.values():
                service.gate.pool.drop_peer(str(incarnation))
        self.share_out()

    def share_out(self) -> None:
        """Compute the assignments and put them in force here."""
        participants = {str(peer.incarnation) for peer in self.membership.table.live()}
        own = str(self.ownership.incarnation)
        if not self.membership.is_draining:
            participants.add(own)
        live = frozenset(participants)
        assignees = assign_balanced(self.workers.keys(), participants)
        self.assignments[JOBS_SCOPE] = assignees
        self.jobs.handle(Assigned(Assignment(own, assignees, live)))
        for service in self.services.values():
            assignees = assign_balanced(service.addresses.keys(), participants)
            self.assignments[service.scope] = assignees
            service.assign(Assignment(own, assignees, live))

    def set_service_upstreams(self, service: RequestService) -> None:
        """Give a service its upstreams from the list."""
        addresses = {
            name: instance.address
            for name, instance in self.upstreams.items()
            if instance.service == service.name
        }
        service.set_upstreams(addresses)

    def is_current(self) -> bool:
        """Tell whether the list was asked since this process was last paused.

        After a pause an upstream that it knows may have left long ago. A list that does not
        answer counts as asked, since a zone that is cut off goes on serving.
        """
        self._note_alive()
        return self.asked_at >= self.paused_until

    def _note_alive(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.alive_at > PAUSE_SECONDS:
            self.paused_until = now
        self.alive_at = now

    async def _watch_pauses(self) -> None:
        while True:
            self._note_alive()
            await asyncio.sleep(ALIVE_PERIOD_SECONDS)

    async def refresh(self) -> None:
        """Wait for the next answer of the list, at most for the time of one call."""
        self.poll_now.set()
        polled = self.polled
        waiter = asyncio.create_task(polled.wait())
        await asyncio.wait([waiter], timeout=self.settings.platform.call_timeout_seconds)
        waiter.cancel()

    async def _poll(self) -> None:
        period = self.settings.platform.instance_list_poll_seconds
        loop = asyncio.get_running_loop()
        while True:
            asked_at = loop.time()
            fetched = await self.instance_list.fetch(self.version)
            if isinstance(fetched, Err):
                self.log.debug("Instance list unreachable.", error=fetched.err_value.detail)
            elif fetched.ok_value is not None:
                self.version = fetched.ok_value.version
                self._take(fetched.ok_value.instances)
            self.asked_at = asked_at
            self.polled.set()
            self.polled = asyncio.Event()
            if self.is_current():
                await self._sleep(period)

    async def _sleep(self, seconds: float) -> None:
        """Sleep until the next poll is due or wanted at once."""
        self.poll_now.clear()
        waiter = asyncio.create_task(self.poll_now.wait())
        await asyncio.wait([waiter], timeout=seconds)
        waiter.cancel()

    def _take(self, instances: tuple[ListedInstance, ...]) -> None:
        zone = self.settings.zone
        entries = [item for item in instances if item.kind is InstanceKind.ENTRY]
        here = {item.address for item in entries if item.zone == zone and not item.is_leaving}
        self.membership.set_candidates(here)
        other_zones: dict[str, list[str]] = {}
        for item in entries:
            if item.zone != zone and not item.is_leaving:
                other_zones.setdefault(item.zone, []).append(item.address)
        self.router.other_zones = other_zones
        self._take_workers([item for item in instances if _is_worker(item, zone)])
        self.upstreams = {item.name: item for item in instances if _is_open_upstream(item, zone)}
        for service in self.services.values():
            self.set_service_upstreams(service)
        self.share_out()

    def _take_workers(self, workers: list[ListedInstance]) -> None:
        self.closures.live_workers = {item.name: item.incarnation for item in workers}
        live = {item.name: item for item in workers if not item.is_leaving}
        for item in self.workers.values():
            if item.name not in live:
                self.jobs.handle(WorkerLost(item.name, item.incarnation, is_leaving=True))
        self.workers = live
        self.workers_changed.set()

    async def _keep_record(self) -> None:
        """Write the owner's record whenever the workers change, and then use them."""
        while True:
            await self.workers_changed.wait()
            self.workers_changed.clear()
            wanted = dict(self.workers)
            owned = (
                frozenset(OwnedWorker(item.name, item.incarnation) for item in wanted.values())
                | self._still_used()
            )
            written = await self.ownership.set_workers(owned)
            if isinstance(written, Err):
                if isinstance(written.err_value, Closed):
                    self.on_retired(written.err_value.incarnation)
                self.log.debug("Record not written.", error=str(written.err_value))
                await asyncio.sleep(RECORD_RETRY_SECONDS)
                self.workers_changed.set()
                continue
            await self._use(wanted)

    def _still_used(self) -> frozenset[OwnedWorker]:
        """Return recorded workers on which tasks of this owner may still run."""
        members = self.jobs.dispatcher.workers.pool.members
        return frozenset(
            worker
            for worker in self.ownership.record.workers
            if worker.name in members and members[worker.name].used.millicores > 0
        )

    async def _use(self, workers: dict[str, ListedInstance]) -> None:
        owner = str(self.ownership.incarnation)
        for item in workers.values():
            worker = OwnedWorker(item.name, item.incarnation)
            if worker not in self.used_workers:
                self.used_workers.add(worker)
                recorder = self.jobs.recorder
                recorder.record(time(), EventKind.WORKER_ADDED, worker.name, worker.incarnation)
            self.jobs.handle(WorkerAdded(worker.name, worker.incarnation, item.capacity))
            await self.jobs.links.connect(worker, item.address, owner)
        used = {worker.name for worker in self._still_used()}
        for name in set(self.jobs.links.links) - workers.keys() - used:
            await self.jobs.links.disconnect(name)


def _is_worker(item: ListedInstance, zone: str) -> bool:
    return item.kind is InstanceKind.WORKER and item.zone == zone


def _is_open_upstream(item: ListedInstance, zone: str) -> bool:
    return item.kind is InstanceKind.UPSTREAM and item.zone == zone and not item.is_leaving
