"""Simulations of a pool under random faults in virtual time, reproducible by their seeds."""

import asyncio
from argparse import ArgumentParser
from collections.abc import Callable, Coroutine
from random import Random

import attrs

from cranberryshore.pool import HoldState, PoolConfig
from cranberryshore_proof.config_checks import STORE
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_evacuation_faults import EVACUATION_LIMIT_MS, EvacuationFaults
from cranberryshore_proof.pool_jobs import JobMix
from cranberryshore_proof.pool_result import PoolResult
from cranberryshore_proof.pool_worker_faults import WorkerFaults
from cranberryshore_proof.virtual_loop import run_virtual

LOAD_SECONDS = 14.0
LOAD_AFTER_FAULTS_SECONDS = 8.0

DEADLY_SHARE = 0.04
"""Share of the jobs with a task that crashes its workers: with 8 jobs a second, some five of the
load's 14 s."""

WAVE_DEADLY_SHARE = 0.002
"""The same beside waves of crashes, under their load."""

FAULT_INTERVAL_SECONDS, WAVE_FAULT_INTERVAL_SECONDS = (0.2, 2.5), (1.5, 8.0)
"""Ranges of the time between two faults, without waves of crashes and beside them."""

SERIES_INTERVAL_SECONDS = (3.0, 9.0)
"""Range of the time between the beginnings of two series of waves."""

WAVE_WORKERS, WAVE_JOBS_PER_SECOND = 24, 50.0
"""Workers and load of simulations with waves of crashes: starts are always on their way."""

WAVE_JOB_MIX = JobMix((900, 1400), (0.06, 0.06, 0.06, 0.2), (2, 4, 8))
"""Each job occupies several workers for a short time, so that starts are sent to idle workers."""

FULL_ROOM = 4000
"""Millicores of each worker."""

LONG_BUDGET_MS = 9000
"""Time that callers wait in simulations with such tasks, so that they are started several times."""


@attrs.define(eq=False)
class PoolSimulation:
    """Injects faults into a deployment while callers submit jobs.

    Parameters
    ----------
    has_crashes : bool
        Whether some tasks crash their workers, and some workers refuse connections, have less
        room for a while, crash unseen or leave.
    has_waves : bool
        Whether workers crash in waves instead of unseen, beside fewer other faults.
    has_evacuations : bool
        Whether zones are evacuated.
    """

    deployment: PoolDeployment
    has_crashes: bool = False
    has_waves: bool = False
    has_evacuations: bool = False
    events: list[str] = attrs.field(factory=list)

    @property
    def random(self) -> Random:
        """Return the generator of all random decisions."""
        return self.deployment.random

    def record_event(self, text: str) -> None:
        """Record a fault with its time."""
        self.events.append(f"{self.deployment.now():.3f} {text}")

    def _choose_instance(self) -> int:
        """Return the number of an instance, a scheduler in at least half of the cases."""
        number = self.deployment.scheduler_number()
        if number is not None and self.deployment.random.random() < 0.5:
            return number
        return self.deployment.random.randrange(len(self.deployment.zones))

    async def _change_config(self) -> None:
        """Add a queue or remove the oldest added one, again and again."""
        deployment = self.deployment
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 2.5))
            config = deployment.config
            first, *added = config.queues
            if added and self.random.random() < 0.4:
                added = added[1:]
            else:
                name = f"n{config.version}"
                added.append(attrs.evolve(first, name=name, prefix=f"/{name}/"))
            version = config.version + self.random.randrange(1, 4)
            deployment.change_config(PoolConfig(version, (first, *added)))

    async def _silence(self, _seconds: float) -> None:
        self.record_event("all connections to the store fall silent")
        self.deployment.silence_connections()

    async def _silence_store(self, seconds: float) -> None:
        self.record_event(f"store does not answer for {seconds:.2f} s")
        self.deployment.disturbances.begin(STORE)
        self.deployment.store.is_silent = True
        await asyncio.sleep(seconds)
        self.deployment.store.is_silent = False
        self.deployment.disturbances.end(self.deployment.now(), STORE)

    async def _slow_store(self, seconds: float) -> None:
        slow_seconds = self.random.uniform(0.05, 0.8)
        self.record_event(f"store is slow by {slow_seconds:.2f} s for {seconds:.2f} s")
        self.deployment.disturbances.begin(STORE)
        self.deployment.store.slow_seconds = slow_seconds
        await asyncio.sleep(seconds)
        self.deployment.store.slow_seconds = 0.0
        self.deployment.disturbances.end(self.deployment.now(), STORE)

    async def _compact_store(self, _seconds: float) -> None:
        self.record_event("store drops its history")
        self.deployment.compact_store()

    async def _kill(self, seconds: float) -> None:
        number = self._choose_instance()
        self.record_event(f"kill e{number}")
        self.deployment.kill(number)
        await asyncio.sleep(min(seconds, 2.0))
        await self.deployment.start_instance(number)

    async def _kill_all(self, seconds: float) -> None:
        self.record_event("kill all")
        for number in range(len(self.deployment.zones)):
            self.deployment.kill(number)
        await asyncio.sleep(min(seconds, 1.0))
        for number in range(len(self.deployment.zones)):
            await self.deployment.start_instance(number)

    async def _freeze(self, seconds: float) -> None:
        number = self._choose_instance()
        address = self.deployment.address(number)
        self.record_event(f"freeze e{number} for {seconds:.2f} s")
        self.deployment.network.freeze(address)
        self.deployment.disturbances.begin(address)
        await asyncio.sleep(seconds)
        self.deployment.disturbances.end(self.deployment.now(), address)
        if address in self.deployment.network.frozen:
            self.deployment.network.unfreeze(address)

    async def _cut(self, seconds: float) -> None:
        number = self._choose_instance()
        zone = self.deployment.zones[number]
        if self.deployment.random.random() < 0.5:
            self.record_event(f"cut zone {zone}")
            numbers = {n for n, item in enumerate(self.deployment.zones) if item == zone}
            self.deployment.cut(numbers, {zone})
        else:
            self.record_event(f"cut e{number} from its peers")
            for other in set(range(len(self.deployment.zones))) - {number}:
                self.deployment.network.cut(
                    self.deployment.address(number), self.deployment.address(other)
                )
        await asyncio.sleep(seconds)
        self.deployment.heal()

    async def _crash_worker(self, seconds: float) -> None:
        worker = self.deployment.random.choice(list(self.deployment.workers.values()))
        if self.has_crashes and worker.is_down:
            return
        self.record_event(f"crash {worker.name}")
        self.deployment.crash_model.record_crash(worker, is_injected=True)
        if self.has_crashes:
            self.deployment.registrations.keep(worker)
        worker.crash()
        worker.is_down = True
        await asyncio.sleep(seconds)
        worker.is_down = False
        self.deployment.registrations.renew(worker)

    async def _fail_all_runs(self, seconds: float) -> None:
        worker = self.deployment.random.choice(list(self.deployment.workers.values()))
        self.record_event(f"{worker.name} fails all runs")
        worker.fails_all = True
        await asyncio.sleep(seconds)
        worker.fails_all = False

    async def _refuse_connections(self, seconds: float) -> None:
        worker = self.random.choice(list(self.deployment.workers.values()))
        if worker.refuses or worker.is_replaced:
            return
        self.record_event(f"{worker.name} refuses connections for {seconds:.2f} s")
        born, worker.refuses = worker.born, True
        await asyncio.sleep(seconds)
        if worker.born == born:
            worker.refuses = False

    async def _resize(self, seconds: float) -> None:
        worker = self.random.choice(list(self.deployment.workers.values()))
        if worker.name in self.deployment.registrations.stale:
            # Nobody could learn of it in time.
            return
        room = self.random.choice((0, 900, 2000, 2900))
        self.record_event(f"{worker.name} has {room} millicores for {2 * seconds:.2f} s")
        worker.resize(room, self.deployment.now())
        await asyncio.sleep(2 * seconds)
        worker.resize(FULL_ROOM, self.deployment.now())

    async def _delay_orders(self, seconds: float) -> None:
        self.record_event("delay orders to workers")
        self.deployment.late_share = 0.2
        for daemon in self.deployment.daemons.values():
            daemon.calls.late_share = 0.2
        await asyncio.sleep(seconds)
        self.deployment.late_share = 0.0
        for daemon in self.deployment.daemons.values():
            daemon.calls.late_share = 0.0

    async def _cut_store(self, seconds: float) -> None:
        numbers = range(len(self.deployment.zones))
        cut_nodes = {
            self.deployment.address(n) for n in numbers if self.deployment.random.random() < 0.6
        }
        self.record_event(f"cut store from {sorted(cut_nodes)}")
        self.deployment.nodes_without_store |= cut_nodes
        self.deployment.disturbances.begin(*sorted(cut_nodes))
        # Every other worker cannot reach the store either.
        self.deployment.expire_registrations(sorted(self.deployment.workers)[::2])
        await asyncio.sleep(seconds)
        self.deployment.nodes_without_store -= cut_nodes
        self.deployment.disturbances.end(self.deployment.now(), *sorted(cut_nodes))
        self.deployment.restore_registrations()

    async def _disturb_workers(self, end: float) -> None:
        """Let workers crash unseen, or leave, until a time."""
        worker_faults = WorkerFaults(self.deployment, self.record_event)
        faults = []
        while self.deployment.now() < end:
            await asyncio.sleep(self.random.uniform(0.5, 2.5))
            faults.append(asyncio.ensure_future(worker_faults.inject()))
        await asyncio.gather(*faults)

    async def _crash_in_waves(self, end: float) -> None:
        """Begin series of waves of crashes, some of which overlap, until a time."""
        worker_faults = WorkerFaults(self.deployment, self.record_event)
        series = []
        while self.deployment.now() < end:
            series.append(asyncio.ensure_future(worker_faults.crash_in_waves()))
            await asyncio.sleep(self.random.uniform(*SERIES_INTERVAL_SECONDS))
        await asyncio.gather(*series)

    def _fault_kinds(self) -> tuple[Callable[[float], Coroutine], ...]:
        """Return the methods that inject faults other than those of :class:`WorkerFaults`."""
        kinds = (
            self._kill,
            self._kill_all,
            self._freeze,
            self._cut,
            self._crash_worker,
            self._fail_all_runs,
            self._delay_orders,
            self._cut_store,
        )
        if self.has_crashes:
            kinds += (self._refuse_connections, self._resize) * 2
        if self.deployment.is_store_simulated:
            kinds += (
                self._silence,
                self._silence_store,
                self._slow_store,
                self._compact_store,
            )
        return kinds

    async def inject_faults(self, end: float) -> list[asyncio.Future]:
        """Inject random faults until a time; return those that may not have ended."""
        kinds, interval_seconds = self._fault_kinds(), FAULT_INTERVAL_SECONDS
        faults = []
        if self.has_waves:
            faults.append(asyncio.ensure_future(self._crash_in_waves(end)))
            interval_seconds = WAVE_FAULT_INTERVAL_SECONDS
        elif self.has_crashes:
            faults.append(asyncio.ensure_future(self._disturb_workers(end)))
        if self.has_evacuations:
            evacuations = EvacuationFaults(self.deployment, self.record_event)
            faults.append(asyncio.ensure_future(evacuations.run(end)))
        while self.deployment.now() < end:
            await asyncio.sleep(self.random.uniform(*interval_seconds))
            fault = self.random.choice(kinds)
            faults.append(asyncio.ensure_future(fault(self.random.uniform(0.3, 4.0))))
        return faults

    async def run(self) -> PoolResult:
        """Submit jobs under faults, then without."""
        deployment = self.deployment
        deployment.evacuations.limit_ms = EVACUATION_LIMIT_MS if self.has_evacuations else 0
        await deployment.start()
        jobs_per_second = WAVE_JOBS_PER_SECOND if self.has_waves else 8.0
        load = asyncio.ensure_future(deployment.load(LOAD_SECONDS, jobs_per_second))
        if self.has_crashes:
            deployment.deadly_share = WAVE_DEADLY_SHARE if self.has_waves else DEADLY_SHARE
            deployment.budget_ms = LONG_BUDGET_MS
        if deployment.is_store_simulated:
            deployment.background.append(asyncio.ensure_future(self._change_config()))
        faults = await self.inject_faults(deployment.now() + LOAD_SECONDS - 3.0)
        callers = await load
        await asyncio.gather(*faults)
        await asyncio.gather(*callers)
        under_faults = deployment.summary()
        deployment.jobs, deployment.deadly_share = [], 0.0
        await asyncio.sleep(4.0)
        await asyncio.gather(*await deployment.load(LOAD_AFTER_FAULTS_SECONDS, 5.0))
        after_faults = deployment.summary()
        self._check_workers_in_use()
        return PoolResult(
            deployment.seed,
            tuple(self.events),
            tuple(deployment.faults),
            under_faults.jobs,
            under_faults.completed,
            after_faults.jobs,
            after_faults.completed,
            sum(len(worker.refused_starts) for worker in deployment.workers.values()),
            max(worker.refused_at_once() for worker in deployment.workers.values()),
        )

    def _check_workers_in_use(self) -> None:
        """Check that each worker that is up is held by a scheduler, since all faults have ended."""
        schedulings = [daemon.scheduling for daemon in self.deployment.daemons.values()]
        held = {
            name
            for scheduling in schedulings
            if scheduling.claim is not None
            for name, worker in scheduling.scheduler.workers.items()
            if worker.state is HoldState.HELD
        }
        for worker in self.deployment.workers.values():
            is_up = not (worker.is_down or worker.refuses or worker.is_replaced)
            if is_up and worker.name not in held:
                self.deployment.faults.append(f"{worker.name} is up and out of use")


def simulate_pool(
    seed: int,
    is_store_simulated: bool = True,
    has_crashes: bool = False,
    has_waves: bool = False,
    has_evacuations: bool = False,
) -> PoolResult:
    """Simulate a pool; the seed determines load, faults, configurations and delays.

    Waves of crashes are simulated only with ``has_crashes``.
    """

    async def run() -> PoolResult:
        deployment = PoolDeployment(seed, is_store_simulated=is_store_simulated)
        if has_waves:
            deployment.worker_count, deployment.job_mix = WAVE_WORKERS, WAVE_JOB_MIX
        return await PoolSimulation(deployment, has_crashes, has_waves, has_evacuations).run()

    return run_virtual(run())


def has_held(result: PoolResult) -> bool:
    """Print the result of a seed, and return whether it has no violation."""
    has_failed = bool(result.faults) or result.completed_after_faults < result.jobs_after_faults
    print(
        f"seed {result.seed}: {result.completed} of {result.jobs} under faults, "
        f"{result.completed_after_faults} of {result.jobs_after_faults} after, "
        f"{result.refused_starts} starts refused, {result.refused_at_once} at once"
    )
    for line in (*result.events, *result.faults) if has_failed else ():
        print(f"    {line}")
    return not has_failed


def main() -> int:
    """Simulate consecutive seeds and print their results."""
    parser = ArgumentParser(description="Simulate a pool under random faults in virtual time.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--crashes", action="store_true", help="some tasks crash their workers")
    parser.add_argument("--waves", action="store_true", help="and workers crash in waves")
    parser.add_argument("--evacuations", action="store_true", help="zones are evacuated")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.rounds):
        result = simulate_pool(
            seed,
            has_crashes=arguments.crashes or arguments.waves,
            has_waves=arguments.waves,
            has_evacuations=arguments.evacuations,
        )
        failed += not has_held(result)
    print(f"{arguments.rounds - failed} of {arguments.rounds} held")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
