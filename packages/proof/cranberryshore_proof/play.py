"""One history: load, faults, healing, settling, checks."""

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
SETTLE_SECONDS = 8.0
RESTART_SECONDS = 0.7
CALLERS_PER_ZONE = 2


@attrs.frozen
class Outcome:
    """A checked history."""

    seed: int
    faults: tuple[Fault, ...]
    history: History
    verdicts: dict[str, Verdict]

    @property
    def is_violated(self) -> bool:
        """Tell whether any invariant was violated."""
        return any(verdict.violations for verdict in self.verdicts.values())


@attrs.define(eq=False)
class Player:
    """Applies faults to a world and undoes them."""

    deployment: SimulatedDeployment
    tasks: list[asyncio.Task] = attrs.field(factory=list)

    async def play(self, faults: Sequence[Fault], began: float) -> None:
        """Apply each fault at its time."""
        loop = asyncio.get_running_loop()
        for fault in faults:
            delay = began + fault.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self.tasks.append(asyncio.create_task(self._apply(fault)))

    async def end(self) -> None:
        """Wait until every fault has ended."""
        await asyncio.gather(*self.tasks)

    async def _apply(self, fault: Fault) -> None:
        deployment = self.deployment
        deployment.history.faults += 1
        deployment.history.faults_in_flight += self._is_work_in_flight()
        action = getattr(self, f"_{fault.kind.value}")
        await action(fault)

    def _is_work_in_flight(self) -> bool:
        running = any(record.model.used.millicores for record in self.deployment.workers.values())
        waiting = any(
            entry.daemon is not None and entry.daemon.web.in_flight
            for entry in self.deployment.entries
        )
        return running or waiting

    def _entry(self, number: int) -> EntryNode:
        return self.deployment.entries[number % len(self.deployment.entries)]

    def _hurt(self, node: str, fault: Fault) -> None:
        now = asyncio.get_running_loop().time()
        self.deployment.history.hurt.append((now, now + fault.seconds + 1.0, node))

    async def _kill_entry(self, fault: Fault) -> None:
        entry = self._entry(fault.one)
        self._hurt(entry.name, fault)
        if entry.daemon is None:
            return
        entry.kill()
        await asyncio.sleep(RESTART_SECONDS if fault.other % 2 else fault.seconds)
        if entry.daemon is None:
            entry.launch()

    async def _freeze_entry(self, fault: Fault) -> None:
        entry = self._entry(fault.one)
        self._hurt(entry.name, fault)
        self.deployment.network.freeze(entry.name)
        await asyncio.sleep(fault.seconds)
        self.deployment.network.wake(entry.name)

    async def _drain_entry(self, fault: Fault) -> None:
        entry = self._entry(fault.one)
        if entry.daemon is None or entry.daemon.is_draining:
            return
        began = asyncio.get_running_loop().time()
        if await entry.leave():
            self.deployment.drained(entry, began)
            entry.launch()

    async def _cut(self, pairs: list[tuple[str, str]], fault: Fault) -> None:
        for one, other in pairs:
            self.deployment.network.cut(one, other)
        await asyncio.sleep(fault.seconds)
        for one, other in pairs:
            self.deployment.network.heal(one, other)

    async def _cut_peers(self, fault: Fault) -> None:
        one, other = self._entry(fault.one), self._entry(fault.other)
        if one is not other:
            self._hurt(one.name, fault)
            self._hurt(other.name, fault)
            await self._cut([(one.name, other.name)], fault)

    async def _cut_entry_worker(self, fault: Fault) -> None:
        workers = sorted(self.deployment.workers)
        worker = workers[fault.other % len(workers)]
        await self._cut([(self._entry(fault.one).name, worker)], fault)

    async def _cut_entry_store(self, fault: Fault) -> None:
        entry = self._entry(fault.one)
        self._hurt(entry.name, fault)
        await self._cut([(entry.name, STORE)], fault)

    async def _cut_zone(self, fault: Fault) -> None:
        zone = ZONES[fault.one % len(ZONES)]
        inside = {entry.name for entry in self.deployment.zone_entries(zone)}
        outside = {entry.name for entry in self.deployment.entries} - inside | {STORE, "list"}
        self._hurt("", fault)
        now = asyncio.get_running_loop().time()
        self.deployment.history.list_cuts.append((now, now + fault.seconds, zone))
        await self._cut([(one, other) for one in inside for other in outside], fault)

    async def _store_down(self, fault: Fault) -> None:
        self._hurt("", fault)
        self.deployment.store.is_down = True
        await asyncio.sleep(fault.seconds)
        self.deployment.store.is_down = False

    async def _lose_replies(self, fault: Fault) -> None:
        self.deployment.store.lost_replies += 1 + fault.one % 3

    async def _kill_worker(self, fault: Fault) -> None:
        worker = self._worker(fault)
        if worker.name in self.deployment.network.dead:
            return
        worker.kill()
        await asyncio.sleep(RESTART_SECONDS)
        worker.launch()
        self.deployment.list_worker(worker)

    async def _freeze_worker(self, fault: Fault) -> None:
        worker = self._worker(fault)
        self.deployment.network.freeze(worker.name)
        await asyncio.sleep(fault.seconds)
        self.deployment.network.wake(worker.name)

    async def _fail_worker(self, fault: Fault) -> None:
        worker = self._worker(fault)
        worker.model.faults.fail_all = True
        await asyncio.sleep(fault.seconds)
        worker.model.faults.fail_all = False

    async def _break_upstream(self, fault: Fault) -> None:
        self._upstream(fault).breaks += 1 + fault.other % 4

    async def _leave_upstream(self, fault: Fault) -> None:
        self.deployment.list_upstream(self._upstream(fault).name, is_leaving=True)

    def _worker(self, fault: Fault):
        names = sorted(self.deployment.workers)
        return self.deployment.workers[names[fault.one % len(names)]]

    def _upstream(self, fault: Fault):
        names = sorted(self.deployment.upstreams)
        return self.deployment.upstreams[names[fault.one % len(names)]]


async def _run(seed: int, faults: Sequence[Fault]) -> History:
    deployment = SimulatedDeployment(seed)
    loop = asyncio.get_running_loop()
    await deployment.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    await _declare(deployment)
    began = loop.time()
    until = began + LOAD_SECONDS
    callers = [
        Caller(f"caller-{zone}-{number}", zone, deployment, Random(f"{seed}-{zone}-{number}"))
        for zone in ZONES
        for number in range(CALLERS_PER_ZONE)
    ]
    operators = [Operator(f"operator-{n}", deployment, Random(f"{seed}-op-{n}")) for n in range(2)]
    player = Player(deployment)
    await asyncio.gather(
        player.play(faults, began),
        *(caller.run(until) for caller in callers),
        *(operator.run(until) for operator in operators),
    )
    await player.end()
    await asyncio.sleep(SETTLE_SECONDS)
    await asyncio.gather(*(caller.settle() for caller in callers))
    _note_store(deployment)
    return deployment.collect()


async def _declare(deployment: SimulatedDeployment) -> None:
    proposal = Proposal(ResourceKind.SERVICE, SERVICE, {"timeout_ms": 3000}, 0, "setup", "setup")
    entry = deployment.entries[0]
    await call_entry(deployment, "setup", entry, lambda: entry.daemon.editor.change(proposal))
    await asyncio.sleep(1.0)


def _note_store(deployment: SimulatedDeployment) -> None:

    stored = deployment.store.model.keys.get(f"config/service/{SERVICE}")
    if stored is not None:
        deployment.history.stored = json.loads(stored.value)
        deployment.history.stored_revision = stored.revision


def play(seed: int, faults: Sequence[Fault] | None = None) -> Outcome:
    """Run one history in virtual time and check it."""
    if faults is None:
        faults = draw_faults(Random(f"faults-{seed}"), LOAD_SECONDS)
    history = run_virtual(_run(seed, faults))
    verdicts = {name: check(history) for name, check in INVARIANTS.items()}
    return Outcome(seed, tuple(faults), history, verdicts)


def shrink(outcome: Outcome, name: str) -> Outcome:
    """Leave out faults one by one as long as the named invariant is still violated."""
    smallest = outcome
    for fault in outcome.faults:
        fewer = tuple(other for other in smallest.faults if other is not fault)
        tried = play(outcome.seed, fewer)
        if tried.verdicts[name].violations:
            smallest = tried
    return smallest
