"""Drawn faults against a pool in virtual time; each seed gives the same play again."""

import asyncio
from argparse import ArgumentParser

import attrs

from cranberryshore_proof.pool_world import PoolWorld
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

    world: PoolWorld
    events: list[str] = attrs.field(factory=list)

    def _note(self, text: str) -> None:
        self.events.append(f"{self.world.now():.3f} {text}")

    def _victim(self) -> int:
        """Return an instance, half the time the one that schedules."""
        number = self.world.scheduler_number()
        if number is not None and self.world.random.random() < 0.5:
            return number
        return self.world.random.randrange(len(self.world.zones))

    async def _kill(self, seconds: float) -> None:
        number = self._victim()
        self._note(f"kill e{number}")
        self.world.kill(number)
        await asyncio.sleep(min(seconds, 2.0))
        await self.world.start_instance(number)

    async def _kill_all(self, seconds: float) -> None:
        self._note("kill all")
        for number in range(len(self.world.zones)):
            self.world.kill(number)
        await asyncio.sleep(min(seconds, 1.0))
        for number in range(len(self.world.zones)):
            await self.world.start_instance(number)

    async def _freeze(self, seconds: float) -> None:
        number = self._victim()
        address = self.world.address(number)
        self._note(f"freeze e{number} for {seconds:.2f} s")
        self.world.network.freeze(address)
        await asyncio.sleep(seconds)
        if address in self.world.network.frozen:
            self.world.network.wake(address)

    async def _cut(self, seconds: float) -> None:
        number = self._victim()
        zone = self.world.zones[number]
        if self.world.random.random() < 0.5:
            self._note(f"cut zone {zone}")
            numbers = {n for n, item in enumerate(self.world.zones) if item == zone}
            self.world.cut(numbers, {zone})
        else:
            self._note(f"cut e{number} from its peers")
            for other in set(range(len(self.world.zones))) - {number}:
                self.world.network.cut(self.world.address(number), self.world.address(other))
        await asyncio.sleep(seconds)
        self.world.heal()

    async def _crash(self, seconds: float) -> None:
        worker = self.world.random.choice(list(self.world.workers.values()))
        self._note(f"crash {worker.name}")
        worker.crash()
        worker.is_down = True
        await asyncio.sleep(seconds)
        worker.is_down = False

    async def _fail_all(self, seconds: float) -> None:
        worker = self.world.random.choice(list(self.world.workers.values()))
        self._note(f"{worker.name} fails all")
        worker.fails_all = True
        await asyncio.sleep(seconds)
        worker.fails_all = False

    async def _late(self, seconds: float) -> None:
        self._note("orders late")
        self.world.late_share = 0.2
        for daemon in self.world.daemons.values():
            daemon.calls.late_share = 0.2
        await asyncio.sleep(seconds)
        self.world.late_share = 0.0
        for daemon in self.world.daemons.values():
            daemon.calls.late_share = 0.0

    async def _store(self, seconds: float) -> None:
        numbers = range(len(self.world.zones))
        away = {self.world.address(n) for n in numbers if self.world.random.random() < 0.6}
        self._note(f"store away from {sorted(away)}")
        self.world.without_store |= away
        await asyncio.sleep(seconds)
        self.world.without_store -= away

    async def play(self) -> PlayResult:
        """Play some seconds of faults and some without."""
        world = self.world
        await world.start()
        load = asyncio.ensure_future(world.load(LOAD_SECONDS, 8.0))
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
        end = world.now() + LOAD_SECONDS - 3.0
        while world.now() < end:
            await asyncio.sleep(world.random.uniform(0.2, 2.5))
            fault = world.random.choice(kinds)
            faults.append(asyncio.ensure_future(fault(world.random.uniform(0.3, 4.0))))
        callers = await load
        await asyncio.gather(*faults)
        await asyncio.gather(*callers)
        stormy = world.summary()
        world.jobs = []
        await asyncio.sleep(4.0)
        await asyncio.gather(*await world.load(CALM_SECONDS, 5.0))
        calm = world.summary()
        return PlayResult(
            world.seed,
            tuple(self.events),
            tuple(world.faults),
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
        return await PoolPlay(PoolWorld(seed)).play()

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
