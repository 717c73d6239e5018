"""One soak: a storm of faults under load, then a calm in which everything must be well."""

import asyncio
import time
from pathlib import Path
from random import Random
from signal import SIGTERM

import attrs
from aiohttp import ClientError

from cranberryshore_platform.tests import faces
from cranberryshore_soak.callers import BUDGET_SECONDS, SoakJob
from cranberryshore_soak.storm import Storm
from cranberryshore_soak.world import QUEUE, SoakPlan, SoakWorld
from cranberryshored.platform.session import single_try_session

SETTLE_SECONDS = 5.0
"""Time after the last fault until everything must be well: bounds of 4 s, and 1 s."""

CLEAR_SECONDS = 3.0
"""Nothing runs on so long after the last caller has left; 3 s are allowed after a cancel."""

LONGEST_EXTRA_SECONDS = 90.0
"""Two starts of up to 30 s, the last faults, settling and checks; longer is a fault."""

CALM_CALLERS, CALM_TASK_COUNTS = 3, (1, 2)
"""Three jobs of two tasks on two cores fit the four workers of four cores that stay at least."""

STORM_PAUSE, CALM_PAUSE = 1.0, 0.4
NOT_FOUND = 404


@attrs.frozen
class SoakResult:
    """What a soak has shown.

    Parameters
    ----------
    jobs, completed : int
        Jobs submitted during the storm, and those that completed.
    calm_jobs, calm_completed : int
        The same afterwards, without those whose callers left.
    worst_lag : float
        How late the soak's own event loop ran at worst, in seconds.
    """

    plan: SoakPlan
    events: tuple[str, ...]
    faults: tuple[str, ...]
    jobs: int
    completed: int
    calm_jobs: int
    calm_completed: int
    worst_lag: float


def _completed(jobs: list[SoakJob]) -> int:
    return sum(job.is_completed for job in jobs)


async def _check_config(world: SoakWorld) -> None:
    """Check that every daemon knows the queues in force and no others."""
    in_force = {queue.prefix for queue in world.queues}
    dropped = {f"/n{number}/" for number in range(world.config_version)} - in_force
    async with single_try_session() as session:
        for daemon in world.daemons.values():
            try:
                for prefix in sorted(in_force | dropped):
                    status = await faces.ask_count(session, daemon.front, QUEUE.host, prefix)
                    if (status == NOT_FOUND) != (prefix in dropped):
                        world.history.report(f"{daemon.name} answers {status} for {prefix}")
            except (ClientError, OSError, TimeoutError) as error:
                world.history.report(f"{daemon.name} cannot be asked: {error}")


async def _check_clear(world: SoakWorld) -> None:
    """Check that nothing runs on for callers that have their answers."""
    await asyncio.sleep(CLEAR_SECONDS)
    now = asyncio.get_running_loop().time()
    for worker in world.workers.values():
        worker.model.end_due_runs(now)
        if worker.model.runs:
            world.history.report(f"{worker.model.name} still runs {sorted(worker.model.runs)}")


async def play(plan: SoakPlan, keep: Path | None = None) -> SoakResult:
    """Play one seed.

    Parameters
    ----------
    plan : SoakPlan
        Size and seed.
    keep : Path, optional
        Folder for the logs and events of a soak in which a promise was broken.
    """
    world = SoakWorld(plan)
    # So that the processes that were started here end with it.
    asyncio.get_running_loop().add_signal_handler(SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(plan.storm_seconds + plan.calm_seconds + LONGEST_EXTRA_SECONDS):
            jobs, calm = await _storm_and_calm(world)
    except TimeoutError:
        world.history.report("the soak did not come to its end")
        jobs, calm = [], []
    finally:
        asyncio.get_running_loop().remove_signal_handler(SIGTERM)
        await world.close()
    if world.history.faults and keep is not None:
        _keep(world, keep)
    return SoakResult(
        plan,
        tuple(world.history.events),
        tuple(world.history.faults),
        len(jobs),
        _completed(jobs),
        len(calm),
        _completed(calm),
        world.lag.worst,
    )


async def _storm_and_calm(world: SoakWorld) -> tuple[list[SoakJob], list[SoakJob]]:
    """Return the jobs of both parts, the second without those whose callers left."""
    plan = world.plan
    storm = Storm(world, Random(plan.seed + 3))
    await world.start()
    load = asyncio.create_task(world.load(plan.storm_seconds, plan.caller_count, STORM_PAUSE))
    await storm.run(plan.storm_seconds - BUDGET_SECONDS)
    jobs = await load
    world.history.note("calm")
    await world.until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    await _check_config(world)
    calm = await _calm(world)
    await _check_clear(world)
    return jobs, calm


async def _calm(world: SoakWorld) -> list[SoakJob]:
    """Submit jobs after the faults and check that they complete; return them."""
    world.callers.task_counts = CALM_TASK_COUNTS
    jobs = await world.load(world.plan.calm_seconds, CALM_CALLERS, CALM_PAUSE)
    jobs = [job for job in jobs if not job.has_left]
    for job in jobs:
        if not job.is_completed:
            at = job.begun_at - world.history.begun_at
            world.history.report(f"calm job {job.id} of {at:.3f} ended with {job.status}")
    return jobs


def _keep(world: SoakWorld, folder: Path) -> None:
    """Write events and logs."""
    folder = folder / f"seed-{world.plan.seed}-{int(time.time())}"
    folder.mkdir(parents=True)
    (folder / "events.txt").write_text("\n".join(world.history.events), encoding="utf-8")
    for daemon in [*world.daemons.values(), *world.retired]:
        (folder / f"{daemon.name}.log").write_text("\n".join(daemon.lines), encoding="utf-8")
