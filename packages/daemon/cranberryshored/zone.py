"""Workers, upstreams and peers of the zone, from the instance list and the heartbeats."""

import asyncio
from collections.abc import Callable
from time import time

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshore.dispatch import Assigned, PeerDead, WorkerAdded, WorkerLost
from cranberryshore.dispatch.lending import PAUSE_THRESHOLD_SECONDS
from cranberryshore.identity import Incarnation
from cranberryshore.messages.peer import JOBS_SCOPE
from cranberryshore.ownership import OwnedWorker
from cranberryshore.placement import Assignment, assign_balanced
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventKind
from cranberryshored.jobs import ClosureService, JobRouter, JobService, OwnershipService
from cranberryshored.jobs.ownership import RecordClosed
from cranberryshored.peers import MembershipService
from cranberryshored.platform import InstanceKind, InstanceList, ListedInstance
from cranberryshored.requests import RequestService
from cranberryshored.tasks import cancel_tasks

RECORD_RETRY_SECONDS = 0.5
PAUSE_CHECK_INTERVAL_SECONDS = 0.1


@attrs.define(eq=False)
class ZoneView:
    """Updates sessions, upstreams and assignments from the instance list and the peers.

    Parameters
    ----------
    services : dict
        Declared services by name.
    on_record_closed : callable
        Called with an incarnation of this process whose record is closed in the store.
    """

    settings: DaemonSettings
    instance_list: InstanceList
    membership: MembershipService
    ownership: OwnershipService
    jobs: JobService
    closures: ClosureService
    router: JobRouter
    services: dict[str, RequestService]
    log: FilteringBoundLogger
    on_record_closed: Callable[[Incarnation], None]
    version: int = -1
    workers: dict[str, ListedInstance] = attrs.field(factory=dict)
    upstreams: dict[str, ListedInstance] = attrs.field(factory=dict)
    assignments: dict[str, dict[str, str]] = attrs.field(factory=dict)
    workers_in_timeline: set[OwnedWorker] = attrs.field(factory=set)
    tasks: list[asyncio.Task] = attrs.field(factory=list)
    last_poll_started_at: float = 0.0
    last_tick_at: float = 0.0
    resumed_at: float = 0.0
    poll_done: asyncio.Event = attrs.field(factory=asyncio.Event)
    poll_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    workers_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Start polling the instance list."""
        self.last_tick_at = asyncio.get_running_loop().time()
        self.tasks = [
            asyncio.create_task(self._watch_pauses()),
            asyncio.create_task(self._poll()),
            asyncio.create_task(self._maintain_owner_record()),
        ]

    async def close(self) -> None:
        """Stop polling."""
        await cancel_tasks(self.tasks)

    def assigned_to(self, scope: str, resource: str) -> str | None:
        """Return the incarnation that a worker or upstream is assigned to."""
        return self.assignments.get(scope, {}).get(resource)

    def membership_changed(self, gone: list[Incarnation]) -> None:
        """Drop the peers that are gone and reassign the workers and upstreams."""
        for incarnation in gone:
            self.jobs.handle(PeerDead(str(incarnation)))
            for service in self.services.values():
                service.gate.pool.drop_peer(str(incarnation))
        self.update_assignments()

    def update_assignments(self) -> None:
        """Compute the assignments and apply them in this instance."""
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
        """Set the upstreams of a service from the instance list."""
        addresses = {
            name: instance.address
            for name, instance in self.upstreams.items()
            if instance.service == service.name
        }
        service.set_upstreams(addresses)

    def is_current(self) -> bool:
        """Return whether the instance list was polled, start to end, since the last process pause.

        After a pause, a known upstream may have left long ago. A failed poll counts too, so that
        a zone that cannot reach the instance list keeps serving.
        """
        self._detect_pause()
        return self.last_poll_started_at >= self.resumed_at

    def _detect_pause(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self.last_tick_at > PAUSE_THRESHOLD_SECONDS:
            self.resumed_at = now
        self.last_tick_at = now

    async def _watch_pauses(self) -> None:
        while True:
            self._detect_pause()
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_SECONDS)

    async def refresh(self) -> None:
        """Poll the list now and wait for the result, at most for the timeout of one call."""
        self.poll_requested.set()
        poll_done = self.poll_done
        waiter = asyncio.create_task(poll_done.wait())
        await asyncio.wait([waiter], timeout=self.settings.platform.call_timeout_seconds)
        waiter.cancel()

    async def _poll(self) -> None:
        period = self.settings.platform.instance_list_poll_seconds
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            fetched = await self.instance_list.fetch(self.version)
            if isinstance(fetched, Err):
                self.log.debug("Instance list unreachable.", error=fetched.err_value.detail)
            else:
                self.closures.listed_at = started_at
                if fetched.ok_value is not None:
                    self.version = fetched.ok_value.version
                    self._apply_list(fetched.ok_value.instances)
            self.last_poll_started_at = started_at
            self.poll_done.set()
            self.poll_done = asyncio.Event()
            if self.is_current():
                await self._wait_for_next_poll(period)

    async def _wait_for_next_poll(self, seconds: float) -> None:
        """Wait until the next poll is due or requested."""
        self.poll_requested.clear()
        waiter = asyncio.create_task(self.poll_requested.wait())
        await asyncio.wait([waiter], timeout=seconds)
        waiter.cancel()

    def _apply_list(self, instances: tuple[ListedInstance, ...]) -> None:
        zone = self.settings.zone
        entries = [item for item in instances if item.kind is InstanceKind.ENTRY]
        candidates = {item.address for item in entries if item.zone == zone and not item.is_leaving}
        self.membership.set_candidates(candidates)
        other_zones: dict[str, list[str]] = {}
        for item in entries:
            if item.zone != zone and not item.is_leaving:
                other_zones.setdefault(item.zone, []).append(item.address)
        self.router.other_zones = other_zones
        self._apply_workers([item for item in instances if _is_worker(item, zone)])
        self.upstreams = {
            item.name: item for item in instances if _is_available_upstream(item, zone)
        }
        for service in self.services.values():
            self.set_service_upstreams(service)
        self.update_assignments()

    def _apply_workers(self, workers: list[ListedInstance]) -> None:
        self.closures.listed_workers = {item.name: item.incarnation for item in workers}
        live = {item.name: item for item in workers if not item.is_leaving}
        for item in self.workers.values():
            listed = live.get(item.name)
            if listed is None or listed.incarnation != item.incarnation:
                # Before the owner record is written, which states that later ids do not use it.
                self.jobs.handle(WorkerLost(item.name, item.incarnation, is_leaving=True))
        self.workers = live
        self.workers_changed.set()

    async def _maintain_owner_record(self) -> None:
        """Write the owner record whenever the workers change, then connect to the workers."""
        while True:
            await self.workers_changed.wait()
            self.workers_changed.clear()
            wanted = dict(self.workers)
            owned = (
                frozenset(OwnedWorker(item.name, item.incarnation) for item in wanted.values())
                | self._workers_in_use()
            )
            written = await self.ownership.set_workers(owned)
            if isinstance(written, Err):
                if isinstance(written.err_value, RecordClosed):
                    self.on_record_closed(written.err_value.incarnation)
                self.log.debug("Owner record not written.", error=str(written.err_value))
                await asyncio.sleep(RECORD_RETRY_SECONDS)
                self.workers_changed.set()
                continue
            await self._connect_workers(wanted)

    def _workers_in_use(self) -> frozenset[OwnedWorker]:
        """Return the recorded workers on which tasks of this owner may still run."""
        members = self.jobs.dispatcher.workers.pool.members
        return frozenset(
            worker
            for worker in self.ownership.record.workers
            if worker.name in members and members[worker.name].used.millicores > 0
        )

    async def _connect_workers(self, workers: dict[str, ListedInstance]) -> None:
        owner = str(self.ownership.incarnation)
        for item in workers.values():
            worker = OwnedWorker(item.name, item.incarnation)
            if worker not in self.workers_in_timeline:
                self.workers_in_timeline.add(worker)
                recorder = self.jobs.recorder
                recorder.record(time(), EventKind.WORKER_ADDED, worker.name, worker.incarnation)
            self.jobs.handle(WorkerAdded(worker.name, worker.incarnation, item.capacity))
            await self.jobs.links.connect(worker, item.address, owner)
        used = {worker.name for worker in self._workers_in_use()}
        for name in set(self.jobs.links.links) - workers.keys() - used:
            await self.jobs.links.disconnect(name)


def _is_worker(item: ListedInstance, zone: str) -> bool:
    return item.kind is InstanceKind.WORKER and item.zone == zone


def _is_available_upstream(item: ListedInstance, zone: str) -> bool:
    return item.kind is InstanceKind.UPSTREAM and item.zone == zone and not item.is_leaving
