"""The scenarios of the benchmark in virtual time."""

import asyncio
from random import Random

import attrs

from cranberryshore_bench.baselines import Machine
from cranberryshore_bench.row import Row
from cranberryshore_bench.virtual_bench import (
    CLIENT_ACCOUNTS,
    ClientAccount,
    fairness_row,
    job_rows,
    recovery_seconds,
    request_rows,
    run_daemons,
)
from cranberryshore_bench.workload import JobArrival, draw_jobs
from cranberryshore_proof.deployment import SimulatedDeployment

TRACE_SECONDS = 6.0
LOADS = (0.5, 0.8, 0.95)
SLOW_FACTOR = 4.0
DISTURBANCE_AT_SECONDS = 2.0


def _draw_account_jobs(
    account: ClientAccount, load: float, seed: int, seconds: float = TRACE_SECONDS
) -> list[JobArrival]:
    return draw_jobs(account.jobs, account.processors, load, seconds, Random(seed))


def load_rows(seed: int) -> list[Row]:
    """Run both client accounts' jobs, and requests, at several loads."""
    rows = []
    for load in LOADS:
        for account in CLIENT_ACCOUNTS:
            scenario = f"{account.name} {load:.0%}"
            rows += job_rows(scenario, account, _draw_account_jobs(account, load, seed), seed)
        rows += request_rows(f"requests {load:.0%}", load, TRACE_SECONDS / 2, seed)
    return rows


def burst_rows(seed: int) -> list[Row]:
    """Run at half load, plus jobs of three times the zone's capacity for one second."""
    account = CLIENT_ACCOUNTS[1]
    burst = draw_jobs(account.jobs, account.processors, 3.0, 1.0, Random(seed + 1))
    arrivals = _draw_account_jobs(account, 0.5, seed)
    arrivals += [_delayed(item, DISTURBANCE_AT_SECONDS) for item in burst]
    arrivals.sort(key=lambda item: item.at)
    return job_rows("burst", account, arrivals, seed)


def _delayed(arrival: JobArrival, seconds: float) -> JobArrival:
    return attrs.evolve(arrival, at=arrival.at + seconds)


def bad_worker_rows(seed: int) -> list[Row]:
    """Run with one slow worker, then one that fails all tasks."""
    account = CLIENT_ACCOUNTS[0]
    room = account.worker.millicores // 1000
    others = [Machine(room)] * (account.workers - 1)

    async def slow(deployment: SimulatedDeployment, start_time: float) -> None:
        deployment.workers["worker-zone-a-0"].model.faults.slow_factor = SLOW_FACTOR

    async def fail(deployment: SimulatedDeployment, start_time: float) -> None:
        deployment.workers["worker-zone-a-0"].model.faults.fail_all = True

    arrivals = _draw_account_jobs(account, 0.5, seed)
    machines = [Machine(room, slow_factor=SLOW_FACTOR), *others]
    rows = job_rows("one slow worker", account, arrivals, seed, machines, slow)
    machines = [Machine(room, fails_all=True), *others]
    return rows + job_rows("one failing worker", account, arrivals, seed, machines, fail)


def instance_rows(seed: int) -> list[Row]:
    """Run with one instance killed, then all replaced one after the other."""
    account = CLIENT_ACCOUNTS[0]

    async def kill(deployment: SimulatedDeployment, start_time: float) -> None:
        await asyncio.sleep(DISTURBANCE_AT_SECONDS)
        deployment.entries[0].kill()
        await asyncio.sleep(2.0)
        deployment.entries[0].launch()

    async def replace(deployment: SimulatedDeployment, start_time: float) -> None:
        for entry in deployment.entries:
            await asyncio.sleep(1.0)
            await entry.leave()
            entry.launch()
            await asyncio.sleep(0.5)

    arrivals = _draw_account_jobs(account, 0.5, seed)
    rows = job_rows("one instance killed", account, arrivals, seed, None, kill)
    # The same run as in job_rows, which does not return its completion times.
    summary = run_daemons(account.deployment_shape(), arrivals, seed, kill)
    # The virtual clock starts at 0; the load starts after 3 s of warm-up and 1 s of configuration.
    killed_at = 4.0 + DISTURBANCE_AT_SECONDS
    recovery = recovery_seconds(summary, killed_at)
    rows.append(Row("one instance killed", "product", "work flows again after", recovery, "s"))
    return rows + job_rows("rolling replacement", account, arrivals, seed, None, replace)


def all_rows(seed: int) -> list[Row]:
    """Run all scenarios."""
    rows = load_rows(seed)
    rows += burst_rows(seed)
    rows += bad_worker_rows(seed)
    rows += instance_rows(seed)
    rows.append(fairness_row(seed))
    return rows
