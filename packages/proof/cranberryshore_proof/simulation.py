"""Simulation of one history: load under faults, then recovery, then the checks."""

import asyncio
import json
from collections.abc import Sequence
from random import Random

import attrs

from cranberryshore.config import ResourceKind
from cranberryshore_proof.callers import Caller, Operator, call_entry
from cranberryshore_proof.checks import INVARIANTS, Verdict
from cranberryshore_proof.deployment import SERVICE, ZONES, EntryNode, SimulatedDeployment
from cranberryshore_proof.fake_platform import STORE
from cranberryshore_proof.faults import Fault, draw_faults
from cranberryshore_proof.history import History
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.config.editor import Proposal

WARM_UP_SECONDS = 3.0
LOAD_SECONDS = 10.0
RECOVERY_SECONDS = 8.0
RESTART_DELAY_SECONDS = 0.7
CALLERS_PER_ZONE = 2


@attrs.frozen
class CheckedHistory:
    """A history with its faults and the verdicts of all checks."""

    seed: int
    faults: tuple[Fault, ...]
    history: History
    verdicts: dict[str, Verdict]

    @property
    def is_violated(self) -> bool:
        """Return whether any invariant was violated."""
        return any(verdict.violations for verdict in self.verdicts.values())


@attrs.define(eq=False)
class FaultInjector:
    """Injects faults and undoes them; each kind has a method named ``_`` and its value."""

    deployment: SimulatedDeployment
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def inject(self, faults: Sequence[Fault], started_at: float) -> None:
        """Start each fault at its time after ``started_at``."""
        loop = asyncio.get_running_loop()
        for fault in faults:
            delay = started_at + fault.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.tasks.append(asyncio.create_task(self._apply(fault)))

    async def wait_until_undone(self) -> None:
        """Wait until every fault has been undone."""
        await asyncio.gather(*self.tasks)

    async def _apply(self, fault: Fault) -> None:
        deployment = self.deployment
        deployment.history.faults += 1
        deployment.history.faults_in_flight += self._has_work_in_progress()
        action = getattr(self, f"_{fault.kind.value}")
        await action(fault)

    def _has_work_in_progress(self) -> bool:
        running = any(worker.model.used.millicores for worker in self.deployment.workers.values())
        waiting = any(
            entry.daemon is not None and entry.daemon.web.in_flight
            for entry in self.deployment.entries
        )
        return running or waiting

    def _choose_entry(self, number: int) -> EntryNode:
        return self.deployment.entries[number % len(self.deployment.entries)]

    def _record_disruption(self, node: str, fault: Fault) -> None:
        # Violations up to 1 s after the end of the fault are excused as well.
        now = asyncio.get_running_loop().time()
        self.deployment.history.disruptions.append((now, now + fault.seconds + 1.0, node))

    async def _kill_entry(self, fault: Fault) -> None:
        entry = self._choose_entry(fault.first_number)
        self._record_disruption(entry.name, fault)
        if entry.daemon is None:
            return
        entry.kill()
        # An odd second number selects the fixed delay.
        await asyncio.sleep(RESTART_DELAY_SECONDS if fault.second_number % 2 else fault.seconds)
        if entry.daemon is None:
            entry.launch()

    async def _freeze_entry(self, fault: Fault) -> None:
        entry = self._choose_entry(fault.first_number)
        self._record_disruption(entry.name, fault)
        self.deployment.network.freeze(entry.name)
        await asyncio.sleep(fault.seconds)
        self.deployment.network.unfreeze(entry.name)

    async def _drain_entry(self, fault: Fault) -> None:
        entry = self._choose_entry(fault.first_number)
        if entry.daemon is None or entry.daemon.is_draining:
            return
        started_at = asyncio.get_running_loop().time()
        if await entry.leave():
            self.deployment.record_drain(entry, started_at)
            entry.launch()

    async def _cut(self, pairs: list[tuple[str, str]], fault: Fault) -> None:
        for one, other in pairs:
            self.deployment.network.cut(one, other)
        await asyncio.sleep(fault.seconds)
        for one, other in pairs:
            self.deployment.network.heal(one, other)

    async def _cut_peers(self, fault: Fault) -> None:
        one, other = self._choose_entry(fault.first_number), self._choose_entry(fault.second_number)
        if one is not other:
            self._record_disruption(one.name, fault)
            self._record_disruption(other.name, fault)
            await self._cut([(one.name, other.name)], fault)

    async def _cut_entry_worker(self, fault: Fault) -> None:
        workers = sorted(self.deployment.workers)
        worker = workers[fault.second_number % len(workers)]
        await self._cut([(self._choose_entry(fault.first_number).name, worker)], fault)

    async def _cut_entry_store(self, fault: Fault) -> None:
        entry = self._choose_entry(fault.first_number)
        self._record_disruption(entry.name, fault)
        await self._cut([(entry.name, STORE)], fault)

    async def _cut_zone(self, fault: Fault) -> None:
        zone = ZONES[fault.first_number % len(ZONES)]
        inside = {entry.name for entry in self.deployment.zone_entries(zone)}
        outside = {entry.name for entry in self.deployment.entries} - inside | {STORE, "list"}
        self._record_disruption("", fault)
        now = asyncio.get_running_loop().time()
        self.deployment.history.list_outages.append((now, now + fault.seconds, zone))
        await self._cut([(one, other) for one in inside for other in outside], fault)

    async def _store_down(self, fault: Fault) -> None:
        self._record_disruption("", fault)
        self.deployment.store.is_down = True
        await asyncio.sleep(fault.seconds)
        self.deployment.store.is_down = False

    async def _lose_replies(self, fault: Fault) -> None:
        self.deployment.store.replies_to_lose += 1 + fault.first_number % 3

    async def _kill_worker(self, fault: Fault) -> None:
        worker = self._choose_worker(fault)
        if worker.name in self.deployment.network.dead:
            return
        worker.kill()
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        worker.launch()
        self.deployment.publish_worker(worker)

    async def _freeze_worker(self, fault: Fault) -> None:
        worker = self._choose_worker(fault)
        self.deployment.network.freeze(worker.name)
        await asyncio.sleep(fault.seconds)
        self.deployment.network.unfreeze(worker.name)

    async def _fail_worker(self, fault: Fault) -> None:
        worker = self._choose_worker(fault)
        worker.model.faults.fail_all = True
        await asyncio.sleep(fault.seconds)
        worker.model.faults.fail_all = False

    async def _break_upstream(self, fault: Fault) -> None:
        self._choose_upstream(fault).answers_to_drop += 1 + fault.second_number % 4

    async def _leave_upstream(self, fault: Fault) -> None:
        self.deployment.publish_upstream(self._choose_upstream(fault).name, is_leaving=True)

    def _choose_worker(self, fault: Fault):
        names = sorted(self.deployment.workers)
        return self.deployment.workers[names[fault.first_number % len(names)]]

    def _choose_upstream(self, fault: Fault):
        names = sorted(self.deployment.upstreams)
        return self.deployment.upstreams[names[fault.first_number % len(names)]]


async def _simulate(seed: int, faults: Sequence[Fault]) -> History:
    deployment = SimulatedDeployment(seed)
    loop = asyncio.get_running_loop()
    await deployment.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    await _create_service(deployment)
    started_at = loop.time()
    until = started_at + LOAD_SECONDS
    callers = [
        Caller(f"caller-{zone}-{number}", zone, deployment, Random(f"{seed}-{zone}-{number}"))
        for zone in ZONES
        for number in range(CALLERS_PER_ZONE)
    ]
    operators = [Operator(f"operator-{n}", deployment, Random(f"{seed}-op-{n}")) for n in range(2)]
    injector = FaultInjector(deployment)
    await asyncio.gather(
        injector.inject(faults, started_at),
        *(caller.run(until) for caller in callers),
        *(operator.run(until) for operator in operators),
    )
    await injector.wait_until_undone()
    await asyncio.sleep(RECOVERY_SECONDS)
    await asyncio.gather(*(caller.query_all_jobs() for caller in callers))
    _record_stored_service(deployment)
    return deployment.collect_history()


async def _create_service(deployment: SimulatedDeployment) -> None:
    proposal = Proposal(ResourceKind.SERVICE, SERVICE, {"timeout_ms": 3000}, 0, "setup", "setup")
    entry = deployment.entries[0]
    await call_entry(deployment, "setup", entry, lambda: entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.0)


def _record_stored_service(deployment: SimulatedDeployment) -> None:
    stored = deployment.store.model.keys.get(f"config/service/{SERVICE}")
    if stored is not None:
        deployment.history.service_in_store = json.loads(stored.value)
        deployment.history.service_revision_in_store = stored.revision


def run_history(seed: int, faults: Sequence[Fault] | None = None) -> CheckedHistory:
    """Simulate one history and check it; the faults are chosen by the seed unless given."""
    if faults is None:
        faults = draw_faults(Random(f"faults-{seed}"), LOAD_SECONDS)
    history = run_virtual(_simulate(seed, faults))
    verdicts = {name: check(history) for name, check in INVARIANTS.items()}
    return CheckedHistory(seed, tuple(faults), history, verdicts)


def shrink(outcome: CheckedHistory, name: str) -> CheckedHistory:
    """Return the history with a minimal set of faults that still violates the named invariant.

    Removes each fault in turn if the violation remains without it.
    """
    minimal = outcome
    for fault in outcome.faults:
        remaining = tuple(other for other in minimal.faults if other is not fault)
        candidate = run_history(outcome.seed, remaining)
        if candidate.verdicts[name].violations:
            minimal = candidate
    return minimal
