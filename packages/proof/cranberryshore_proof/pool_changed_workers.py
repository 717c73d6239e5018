"""Workers of a simulated pool that return as another kind while the scheduler changes.

The next scheduler inherits the registrations of the former processes, and may have the answers of
the present ones before it has read theirs.
"""

import asyncio
from argparse import ArgumentParser
from collections.abc import Callable
from random import Random

import attrs

from cranberryshore_proof.config_checks import STORE
from cranberryshore_proof.pool_deployment import PoolDeployment
from cranberryshore_proof.pool_play import PoolSimulation, has_held
from cranberryshore_proof.pool_result import PoolResult
from cranberryshore_proof.pool_workers import COMMON_LABEL, OTHER_LABEL, ModelWorker
from cranberryshore_proof.virtual_loop import run_virtual

KINDS = ((COMMON_LABEL, 4000), (OTHER_LABEL, 4000), (COMMON_LABEL, 2000), (OTHER_LABEL, 900))
"""Labels and millicores of the kinds of workers."""

UNCHANGED_WORKERS = 3
"""Number of workers that keep their kind, so that every job fits on some."""

PAUSE_RANGE_SECONDS = (0.5, 2.0)
DOWN_RANGE_SECONDS = (1.0, 2.5)
LEAD_RANGE_SECONDS = (0.0, 0.7)
"""Range of the time from the end of the scheduler to the return; another one takes over after
0.5 s."""

SILENCE_SHARE = 0.5
"""Share of the changes beside which the store is silent, so that no registration is read."""

SILENCE_RANGE_SECONDS = (0.5, 2.0)
LABELLED_SHARE = 0.5
"""Share of the jobs that require the common label."""


@attrs.define(eq=False)
class ChangedWorkers:
    """Lets workers of a deployment return as another kind.

    Parameters
    ----------
    record_event : callable
        Called with a description of each change.
    random : Random
        Generator of all decisions, so that those of other faults do not depend on them.
    """

    deployment: PoolDeployment
    record_event: Callable[[str], None]
    random: Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.random = Random(f"{self.deployment.seed} changed workers")

    async def run(self, end: float) -> None:
        """Change workers again and again until a time, and then back."""
        while self.deployment.now() < end:
            await asyncio.sleep(self.random.uniform(*PAUSE_RANGE_SECONDS))
            silent_seconds = 0.0
            if self.random.random() < SILENCE_SHARE:
                silent_seconds = self.random.uniform(*SILENCE_RANGE_SECONDS)
            await self.change(
                self._choose(),
                self.random.uniform(*DOWN_RANGE_SECONDS),
                self.random.uniform(*LEAD_RANGE_SECONDS),
                silent_seconds,
            )

        changed = [
            worker
            for worker in self.deployment.workers.values()
            if (worker.label, worker.millicores) != KINDS[0] and not worker.is_replaced
        ]
        await self.change(dict.fromkeys(changed, KINDS[0]), DOWN_RANGE_SECONDS[0], 0.0)

    def _choose(self) -> dict[ModelWorker, tuple[str, int]]:
        """Return some workers that are up, with the kinds that they are to have."""
        changeable = [
            worker
            for worker in list(self.deployment.workers.values())[UNCHANGED_WORKERS:]
            if not (worker.is_down or worker.refuses or worker.is_replaced)
        ]
        count = self.random.randint(0, len(changeable))
        chosen = self.random.sample(changeable, count)
        return {worker: self.random.choice(KINDS) for worker in chosen}

    async def change(
        self,
        kinds: dict[ModelWorker, tuple[str, int]],
        down_seconds: float,
        lead_seconds: float,
        silent_seconds: float = 0.0,
    ) -> None:
        """Crash workers; ``lead_seconds`` before they return as others, kill the scheduler.

        From then on, the store is silent for ``silent_seconds``.
        """
        names = {worker.name: f"{label}{room}" for worker, (label, room) in kinds.items()}
        self.record_event(
            f"{names} crash, return after {down_seconds:.2f} s; the scheduler is killed"
            f" {lead_seconds:.2f} s before, the store silent for {silent_seconds:.2f} s"
        )
        for worker, kind in kinds.items():
            self.deployment.crash_model.crash(worker, down_seconds, True, is_renamed=False)
            worker.return_as(*kind)
        await asyncio.sleep(down_seconds - lead_seconds)
        await asyncio.gather(self._silence_store(silent_seconds), self._restart_scheduler())

    async def _restart_scheduler(self) -> None:
        number = self.deployment.scheduler_number()
        if number is not None:
            self.deployment.kill(number)
            await asyncio.sleep(1.0)
            await self.deployment.start_instance(number)

    async def _silence_store(self, seconds: float) -> None:
        if seconds:
            self.deployment.disturbances.begin(STORE)
            self.deployment.store.is_silent = True
            await asyncio.sleep(seconds)
            self.deployment.store.is_silent = False
            self.deployment.disturbances.end(self.deployment.now(), STORE)


@attrs.define(eq=False)
class ChangedWorkersSimulation(PoolSimulation):
    """Simulation in which workers return as another kind, beside the other faults."""

    async def inject_faults(self, end: float) -> list[asyncio.Future]:
        """See :class:`PoolSimulation`."""
        self.deployment.labelled.share = LABELLED_SHARE
        changes = ChangedWorkers(self.deployment, self.record_event)
        return [asyncio.ensure_future(changes.run(end)), *await super().inject_faults(end)]


def simulate_changed_workers(seed: int) -> PoolResult:
    """Simulate a pool whose workers change; the seed determines everything."""

    async def run() -> PoolResult:
        deployment = PoolDeployment(seed, is_store_simulated=True)
        return await ChangedWorkersSimulation(deployment).run()

    return run_virtual(run())


def main() -> int:
    """Simulate consecutive seeds and print their results."""
    parser = ArgumentParser(description="Simulate a pool whose workers change, in virtual time.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.rounds)
    held = sum(has_held(simulate_changed_workers(seed)) for seed in seeds)
    print(f"{held} of {arguments.rounds} held")
    return 0 if held == arguments.rounds else 1


if __name__ == "__main__":
    raise SystemExit(main())
