"""The scenarios of the benchmark in virtual time."""

import asyncio
from random import Random

import attrs

from cranberryshore_bench.row import Row
from cranberryshore_bench.simulated import Machine
from cranberryshore_bench.virtual_bench import (
    CUSTOMERS,
    Customer,
    fairness_row,
    job_rows,
    play_product,
    recovery_seconds,
    request_rows,
)
from cranberryshore_bench.workload import JobArrival, draw_jobs
from cranberryshore_proof.deployment import SimulatedDeployment

SECONDS = 6.0
LOADS = (0.5, 0.8, 0.95)
SLOW_FACTOR = 4.0
FAULT_AT = 2.0


def _jobs(customer: Customer, load: float, seed: int, seconds: float = SECONDS) -> list[JobArrival]:
    return draw_jobs(customer.jobs, customer.processors, load, seconds, Random(seed))


def load_rows(seed: int) -> list[Row]:
    """Both customers' jobs and the requests at several loads."""
    rows = []
    for load in LOADS:
        for customer in CUSTOMERS:
            scenario = f"{customer.name} {load:.0%}"
            rows += job_rows(scenario, customer, _jobs(customer, load, seed), seed)
        rows += request_rows(f"requests {load:.0%}", load, SECONDS / 2, seed)
    return rows


def burst_rows(seed: int) -> list[Row]:
    """Three times the room for one second on top of half load."""
    customer = CUSTOMERS[1]
    burst = draw_jobs(customer.jobs, customer.processors, 3.0, 1.0, Random(seed + 1))
    arrivals = _jobs(customer, 0.5, seed)
    arrivals += [_later(item, FAULT_AT) for item in burst]
    arrivals.sort(key=lambda item: item.at)
    return job_rows("burst", customer, arrivals, seed)


def _later(arrival: JobArrival, seconds: float) -> JobArrival:

    return attrs.evolve(arrival, at=arrival.at + seconds)


def bad_worker_rows(seed: int) -> list[Row]:
    """One worker that is slow, and one that fails everything."""
    customer = CUSTOMERS[0]
    room = customer.worker.millicores // 1000
    others = [Machine(room)] * (customer.workers - 1)

    async def slow(deployment: SimulatedDeployment, began: float) -> None:
        deployment.workers["worker-zone-a-0"].model.faults.slow_factor = SLOW_FACTOR

    async def fail(deployment: SimulatedDeployment, began: float) -> None:
        deployment.workers["worker-zone-a-0"].model.faults.fail_all = True

    arrivals = _jobs(customer, 0.5, seed)
    machines = [Machine(room, slow_factor=SLOW_FACTOR), *others]
    rows = job_rows("one slow worker", customer, arrivals, seed, machines, slow)
    machines = [Machine(room, fails_all=True), *others]
    return rows + job_rows("one failing worker", customer, arrivals, seed, machines, fail)


def instance_rows(seed: int) -> list[Row]:
    """One instance killed, and all instances replaced one after the other."""
    customer = CUSTOMERS[0]

    async def kill(deployment: SimulatedDeployment, began: float) -> None:
        await asyncio.sleep(FAULT_AT)
        deployment.entries[0].kill()
        await asyncio.sleep(2.0)
        deployment.entries[0].launch()

    async def replace(deployment: SimulatedDeployment, began: float) -> None:
        for entry in deployment.entries:
            await asyncio.sleep(1.0)
            await entry.leave()
            entry.launch()
            await asyncio.sleep(0.5)

    arrivals = _jobs(customer, 0.5, seed)
    rows = job_rows("one instance killed", customer, arrivals, seed, None, kill)
    played = play_product(customer.shape(), arrivals, seed, kill)
    killed_at = 4.0 + FAULT_AT
    recovery = recovery_seconds(played, killed_at)
    rows.append(Row("one instance killed", "product", "work flows again after", recovery, "s"))
    return rows + job_rows("rolling replacement", customer, arrivals, seed, None, replace)


def all_rows(seed: int) -> list[Row]:
    """Run all scenarios."""
    rows = load_rows(seed)
    rows += burst_rows(seed)
    rows += bad_worker_rows(seed)
    rows += instance_rows(seed)
    rows.append(fairness_row(seed))
    return rows
