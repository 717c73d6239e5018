"""Drawn faults against a pool in virtual time; each seed gives the same play again."""

import asyncio
from argparse import ArgumentParser

import attrs

from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.virtual_loop import run_virtual

LOAD_SECONDS = 14.0
CALM_SECONDS = 8.0


@attrs.frozen
class PlayResult:
    """What a play has shown.

    Parameters
    ----------
    seed : int
        Seed of the play.
    events : tuple of str
        The faults that were injected, with their times.
    faults : tuple of str
        Rules that were broken.
    jobs, completed : int
        Jobs submitted under faults, and those that completed.
    calm_jobs, calm_completed : int
        The same after the faults.
    """

    seed: int
    events: tuple[str, ...]
    faults: tuple[str, ...]
    jobs: int
    completed: int
    calm_jobs: int
    calm_completed: int


@attrs.define(eq=False)
class PoolPlay:
    """Injects faults into a world while callers submit jobs."""

    deployment: PoolDeployment
    events: list[str] = attrs.field(factory=list)

    def _note(self, text: str) -> None:
        self.events.append(f"{self.deployment.now():.3f} {text}")

    def _victim(self) -> int:
        """Return an instance, half the time the one that schedules."""
        number = self.deployment.scheduler_number()
        if number is not None and self.deployment.random.random() < 0.5:
            return number
        return self.deployment.random.randrange(len(self.deployment.zones))

    async def _kill(self, seconds: float) -> None:
        number = self._victim()
        self._note(f"kill e{number}")
        self.deployment.kill(number)
        await asyncio.sleep(min(seconds, 2.0))
        await self.deployment.start_instance(number)

    async def _kill_all(self, seconds: float) -> None:
        self._note("kill all")
        for number in range(len(self.deployment.zones)):
            self.deployment.kill(number)
        await asyncio.sleep(min(seconds, 1.0))
        for number in range(len(self.deployment.zones)):
            await self.deployment.start_instance(number)

    async def _freeze(self, seconds: float) -> None:
        number = self._victim()
        address = self.deployment.address(number)
        self._note(f"freeze e{number} for {seconds:.2f} s")
        self.deployment.network.freeze(address)
        await asyncio.sleep(seconds)
        if address in self.deployment.network.frozen:
            self.deployment.network.unfreeze(address)

    async def _cut(self, seconds: float) -> None:
        number = self._victim()
        zone = self.deployment.zones[number]
        if self.deployment.random.random() < 0.5:
            self._note(f"cut zone {zone}")
            numbers = {n for n, item in enumerate(self.deployment.zones) if item == zone}
            self.deployment.cut(numbers, {zone})
        else:
            self._note(f"cut e{number} from its peers")
            for other in set(range(len(self.deployment.zones))) - {number}:
                self.deployment.network.cut(
                    self.deployment.address(number), self.deployment.address(other)
                )
        await asyncio.sleep(seconds)
        self.deployment.heal()

    async def _crash(self, seconds: float) -> None:
        worker = self.deployment.random.choice(list(self.deployment.workers.values()))
        self._note(f"crash {worker.name}")
        worker.crash()
        worker.is_down = True
        await asyncio.sleep(seconds)
        worker.is_down = False

    async def _fail_all(self, seconds: float) -> None:
        worker = self.deployment.random.choice(list(self.deployment.workers.values()))
        self._note(f"{worker.name} fails all")
        worker.fails_all = True
        await asyncio.sleep(seconds)
        worker.fails_all = False

    async def _late(self, seconds: float) -> None:
        self._note("orders late")
        self.deployment.late_share = 0.2
        for daemon in self.deployment.daemons.values():
            daemon.calls.late_share = 0.2
        await asyncio.sleep(seconds)
        self.deployment.late_share = 0.0
        for daemon in self.deployment.daemons.values():
            daemon.calls.late_share = 0.0

    async def _store(self, seconds: float) -> None:
        numbers = range(len(self.deployment.zones))
        away = {
            self.deployment.address(n) for n in numbers if self.deployment.random.random() < 0.6
        }
        self._note(f"store away from {sorted(away)}")
        self.deployment.without_store |= away
        await asyncio.sleep(seconds)
        self.deployment.without_store -= away

    async def play(self) -> PlayResult:
        """Play some seconds of faults and some without."""
        deployment = self.deployment
        await deployment.start()
        load = asyncio.ensure_future(deployment.load(LOAD_SECONDS, 8.0))
        kinds = (
            self._kill,
            self._kill_all,
            self._freeze,
            self._cut,
            self._crash,
            self._fail_all,
            self._late,
            self._store,
        )
        faults = []
        end = deployment.now() + LOAD_SECONDS - 3.0
        while deployment.now() < end:
            await asyncio.sleep(deployment.random.uniform(0.2, 2.5))
            fault = deployment.random.choice(kinds)
            faults.append(asyncio.ensure_future(fault(deployment.random.uniform(0.3, 4.0))))
        callers = await load
        await asyncio.gather(*faults)
        await asyncio.gather(*callers)
        stormy = deployment.summary()
        deployment.jobs = []
        await asyncio.sleep(4.0)
        await asyncio.gather(*await deployment.load(CALM_SECONDS, 5.0))
        calm = deployment.summary()
        return PlayResult(
            deployment.seed,
            tuple(self.events),
            tuple(deployment.faults),
            stormy.jobs,
            stormy.completed,
            calm.jobs,
            calm.completed,
        )


def play_pool(seed: int) -> PlayResult:
    """Play one seed.

    Parameters
    ----------
    seed : int
        Draws load, faults and delays.
    """

    async def run() -> PlayResult:
        return await PoolPlay(PoolDeployment(seed)).play()

    return run_virtual(run())


def main() -> int:
    """Play some seeds and print what they have shown."""
    parser = ArgumentParser(description="Faults against a pool in virtual time.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.rounds):
        result = play_pool(seed)
        is_bad = bool(result.faults) or result.calm_completed < result.calm_jobs
        failed += is_bad
        print(
            f"seed {seed}: {result.completed} of {result.jobs} under faults, "
            f"{result.calm_completed} of {result.calm_jobs} after"
        )
        for line in (*result.events, *result.faults) if is_bad else ():
            print(f"    {line}")
    print(f"{arguments.rounds - failed} of {arguments.rounds} held")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
