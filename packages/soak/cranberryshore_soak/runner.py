"""One soak run: a phase of faults under load, then a recovery phase without faults."""

import asyncio
import time
from pathlib import Path
from random import Random
from signal import SIGTERM

import attrs
from aiohttp import ClientError

from cranberryshore_platform.tests import platform_api
from cranberryshore_soak.callers import BUDGET_SECONDS, SoakJob
from cranberryshore_soak.cluster import QUEUE, SoakCluster, SoakPlan
from cranberryshore_soak.fault_injection import FaultInjector
from cranberryshore_soak.history import CANCEL_TIMEOUT_SECONDS
from cranberryshored.platform.session import single_try_session

SETTLE_SECONDS = 5.0
"""Minimum time from the last fault to the recovery checks: up to 4 s of recovery and 1 s margin."""

MAX_OVERHEAD_SECONDS = 90.0
"""Time limit of a run beyond its two phases: two waits of up to 30 s until all daemons are ready,
the last faults, settling and checks; a longer run is a violation."""

RECOVERY_CALLER_COUNT, RECOVERY_TASK_COUNTS = 3, (1, 2)
"""Three jobs of two tasks of up to two cores fit on the minimum of four workers of four cores."""

FAULT_PHASE_MEAN_PAUSE_SECONDS, RECOVERY_MEAN_PAUSE_SECONDS = 1.0, 0.4
NOT_FOUND = 404


@attrs.frozen
class SoakResult:
    """Result of a soak run.

    Parameters
    ----------
    events, faults : tuple of str
        All events, and those that report a violated guarantee.
    jobs, completed : int
        Jobs submitted in the fault phase, and those that completed.
    recovery_jobs, recovery_completed : int
        The same for the recovery phase, without jobs whose callers disconnect early.
    refused_starts : int
        Starts that workers without a process refused.
    max_lag_seconds : float
        Largest lag of the soak's own event loop.
    """

    plan: SoakPlan
    events: tuple[str, ...]
    faults: tuple[str, ...]
    jobs: int
    completed: int
    recovery_jobs: int
    recovery_completed: int
    refused_starts: int
    max_lag_seconds: float


def _count_completed(jobs: list[SoakJob]) -> int:
    return sum(job.is_completed for job in jobs)


async def _check_config(cluster: SoakCluster) -> None:
    """Check that every daemon serves the configured queues and none that were removed.

    A queue added by a fault has the prefix ``/n<version of the previous configuration>/``.
    """
    in_force = {queue.prefix for queue in cluster.queues}
    dropped = {f"/n{number}/" for number in range(cluster.config_version)} - in_force
    async with single_try_session() as session:
        for daemon in cluster.daemons.values():
            try:
                for prefix in sorted(in_force | dropped):
                    status = await platform_api.get_queue_status(
                        session, daemon.front, QUEUE.host, prefix
                    )
                    if (status == NOT_FOUND) != (prefix in dropped):
                        cluster.history.report(f"{daemon.name} answers {status} for {prefix}")
            except (ClientError, OSError, TimeoutError) as error:
                cluster.history.report(f"{daemon.name} does not answer: {error}")


async def _check_no_runs(cluster: SoakCluster) -> None:
    await asyncio.sleep(CANCEL_TIMEOUT_SECONDS)
    now = asyncio.get_running_loop().time()
    for worker in cluster.workers.values():
        worker.model.end_due_runs(now)
        if worker.model.runs:
            cluster.history.report(f"{worker.model.name} still runs {sorted(worker.model.runs)}")


async def run_soak(plan: SoakPlan, keep: Path | None = None) -> SoakResult:
    """Run both phases of a plan and check the guarantees.

    The logs and events of a run that violated a guarantee are written to a folder in ``keep``.
    """
    cluster = SoakCluster(plan)
    # On SIGTERM, cancel this task so that the daemons are stopped too.
    asyncio.get_running_loop().add_signal_handler(SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(
            plan.fault_seconds + plan.recovery_seconds + MAX_OVERHEAD_SECONDS
        ):
            jobs, recovery = await _run_phases(cluster)
    except TimeoutError:
        cluster.history.report("the soak did not finish in time")
        jobs, recovery = [], []
    finally:
        asyncio.get_running_loop().remove_signal_handler(SIGTERM)
        await cluster.close()
    if cluster.history.faults and keep is not None:
        _write_logs(cluster, keep)
    return SoakResult(
        plan,
        tuple(cluster.history.events),
        tuple(cluster.history.faults),
        len(jobs),
        _count_completed(jobs),
        len(recovery),
        _count_completed(recovery),
        cluster.refused_starts(),
        cluster.lag.max_seconds,
    )


async def _run_phases(cluster: SoakCluster) -> tuple[list[SoakJob], list[SoakJob]]:
    """Return the jobs of both phases, in the second without early disconnects."""
    plan = cluster.plan
    injector = FaultInjector(cluster, Random(plan.seed + 3))
    await cluster.start()
    load = asyncio.create_task(
        cluster.run_callers(plan.fault_seconds, plan.caller_count, FAULT_PHASE_MEAN_PAUSE_SECONDS)
    )
    await injector.run(plan.fault_seconds - BUDGET_SECONDS)
    jobs = await load
    cluster.history.record_event("all faults have ended; recovery phase")
    await cluster.wait_until_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    await _check_config(cluster)
    recovery = await _run_recovery(cluster)
    await _check_no_runs(cluster)
    return jobs, recovery


async def _run_recovery(cluster: SoakCluster) -> list[SoakJob]:
    """Submit jobs after the faults and check that they complete; return them."""
    callers = cluster.callers
    callers.task_counts, callers.deadly_share = RECOVERY_TASK_COUNTS, 0.0
    callers.patient_share = callers.canceller.share = 0.0
    jobs = await cluster.run_callers(
        cluster.plan.recovery_seconds, RECOVERY_CALLER_COUNT, RECOVERY_MEAN_PAUSE_SECONDS
    )
    jobs = [job for job in jobs if not job.disconnects_early]
    for job in jobs:
        if not job.is_completed:
            at = job.begun_at - cluster.history.begun_at
            cluster.history.report(
                f"recovery job {job.id} begun at {at:.3f} s ended with {job.status}"
            )
    return jobs


def _write_logs(cluster: SoakCluster, folder: Path) -> None:
    folder = folder / f"seed-{cluster.plan.seed}-{int(time.time())}"
    folder.mkdir(parents=True)
    (folder / "events.txt").write_text("\n".join(cluster.history.events), encoding="utf-8")
    for daemon in [*cluster.daemons.values(), *cluster.retired]:
        (folder / f"{daemon.name}.log").write_text("\n".join(daemon.log_lines), encoding="utf-8")
