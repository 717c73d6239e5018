"""Demonstration: the load of both client accounts on three zones of separate processes."""

import asyncio
import sys
import tempfile
from argparse import ArgumentParser
from collections import Counter
from pathlib import Path
from random import Random

from cranberryshore.work import Capacity
from cranberryshore_bench.driver import Driver
from cranberryshore_bench.metrics_text import sum_samples
from cranberryshore_bench.statistics import percentile
from cranberryshore_bench.workload import (
    CONSORTIUM_JOBS,
    HANEUL_JOBS,
    draw_jobs,
    draw_requests,
)
from cranberryshore_standins.cluster import Cluster, ClusterShape, caller_token
from cranberryshored.loop_lag import LoopLag

LOAD_SECONDS = 15.0
LOAD = 0.5
REQUEST_MS = 40.0
WORKER_CAPACITY = Capacity(16000, 32768, 0)
CLUSTER_SHAPE = ClusterShape(
    zones=("zone-a", "zone-b", "zone-c"),
    entries=3,
    workers=3,
    upstreams=3,
    worker_capacity=WORKER_CAPACITY,
)


async def _replay_load(cluster: Cluster, seed: int) -> list[Driver]:
    drivers, replays = [], []
    for index, zone in enumerate(CLUSTER_SHAPE.zones):
        random = Random(seed * 100 + index)
        processors = CLUSTER_SHAPE.workers * WORKER_CAPACITY.millicores // 1000
        jobs = draw_jobs(HANEUL_JOBS, processors, LOAD / 2, LOAD_SECONDS, random)
        jobs += draw_jobs(CONSORTIUM_JOBS, processors, LOAD / 2, LOAD_SECONDS, random)
        slots = CLUSTER_SHAPE.upstreams * CLUSTER_SHAPE.slots
        requests = draw_requests(slots, LOAD, LOAD_SECONDS, REQUEST_MS, random)
        urls = [node.url for node in cluster.entries(zone)]
        driver = Driver(urls, caller_token(index))
        await driver.start()
        drivers.append(driver)
        arrivals = sorted([*jobs, *requests], key=lambda arrival: arrival.at)
        replays.append(driver.replay(arrivals))
    await asyncio.gather(*replays)
    return drivers


def _mean_loop_lag_seconds(text: str) -> float:
    count = sum_samples(text, "cranberryshore_loop_lag_seconds_count")
    return sum_samples(text, "cranberryshore_loop_lag_seconds_sum") / max(count, 1)


async def _print_daemon_usage(cluster: Cluster, tasks: int) -> None:
    wasted = 0.0
    print(
        f"{'daemon':<18} {'processor s':>11} {'memory MB':>10} {'messages':>9} {'wasted':>7} "
        f"{'lag ms':>8}"
    )
    for node in cluster.entries():
        async with cluster.session.get(f"{node.url}/metrics") as response:
            text = await response.text()
        messages = sum_samples(text, "cranberryshore_messages_total")
        waste = sum_samples(text, "cranberryshore_wasted_messages_total")
        wasted += waste
        loop_lag_ms = 1000 * _mean_loop_lag_seconds(text)
        seconds = cluster.processor_seconds(node.name)
        memory = cluster.resident_mb(node.name)
        print(
            f"{node.name:<18} {seconds:>11.2f} {memory:>10.0f} {messages:>9.0f} {waste:>7.0f} "
            f"{loop_lag_ms:>8.1f}"
        )
    print(f"wasted messages per task: {wasted / max(tasks, 1):.4f}")


async def _accounting_errors(cluster: Cluster, drivers: list[Driver]) -> list[str]:
    """Return the violations of the guarantee that every accepted task is accounted for."""
    faults = []
    starts: Counter = Counter()
    for node in cluster.workers():
        log = await cluster.fetch(node.name, "/log")
        starts.update((job, index) for _, _, job, index in log["starts"])
    faults += [f"task {key} started {count} times" for key, count in starts.items() if count > 1]
    starts_by_job: Counter = Counter(job for job, _ in starts)
    for driver in drivers:
        for job in driver.jobs:
            if job.reason == "no answer":
                faults.append(f"job {job.id} has no answer")
            if job.is_complete and starts_by_job[job.id] != job.task_count:
                faults.append(f"job {job.id} is complete with {starts_by_job[job.id]} starts")
            if not job.is_own_answer:
                faults.append(f"job {job.id} got an answer that is not its own")
        faults += [
            f"request {r.nonce} got the answer of another request"
            for r in driver.requests
            if not r.is_own_answer
        ]
    return faults


async def _print_report(cluster: Cluster) -> None:
    """Fetch every instance's report, which makes it store its evidence, and print the last.

    Only the last is sure to include the evidence of all instances.
    """
    for node in cluster.entries():
        report = await cluster.fetch(node.name, "/v1/report")
    print("report on promises:")
    for row in report["rows"]:
        outcome = f"kept {row['kept']}, broken {row['broken']}, unknown {row['unknown']}"
        print(f"  {row['kind']} {row['team']}: promised {row['promised']}, {outcome}")


def _print_outcomes(drivers: list[Driver]) -> int:
    jobs = [job for driver in drivers for job in driver.jobs]
    requests = [request for driver in drivers for request in driver.requests]
    complete = [job for job in jobs if job.is_complete]
    tasks = sum(job.task_count for job in complete)
    reasons = Counter(job.reason for job in jobs)
    print(f"jobs: {len(jobs)} ({dict(reasons)}), tasks of complete jobs: {tasks}")
    seconds = [job.seconds for job in complete]
    print(
        f"job response: p50 {percentile(seconds, 0.5):.3f} s, p99 {percentile(seconds, 0.99):.3f} s"
    )
    statuses = Counter(request.status for request in requests)
    print(f"requests: {len(requests)} by status {dict(statuses)}")
    seconds = [request.seconds for request in requests if request.status == 200]
    print(
        f"request response: p50 {percentile(seconds, 0.5):.3f} s, "
        f"p99 {percentile(seconds, 0.99):.3f} s"
    )
    return tasks


async def _run(seed: int) -> int:
    with tempfile.TemporaryDirectory(prefix="cranberryshore-demo-") as folder:
        cluster = Cluster(CLUSTER_SHAPE, Path(folder))
        lag = LoopLag()
        await lag.start()
        try:
            print(f"starting {len(cluster.nodes)} processes in {len(CLUSTER_SHAPE.zones)} zones")
            await cluster.start()
            await cluster.apply_resource("service", "booking", {"timeout_ms": 10_000})
            print(f"replaying {LOAD_SECONDS:.0f} s of load at {LOAD:.0%}")
            drivers = await _replay_load(cluster, seed)
            tasks = _print_outcomes(drivers)
            await _print_daemon_usage(cluster, tasks)
            faults = await _accounting_errors(cluster, drivers)
            print(f"largest event loop lag of the load generator: {lag.max_seconds:.3f} s")
            await _print_report(cluster)
            for driver in drivers:
                await driver.close()
        finally:
            await lag.close()
            await cluster.close()
    for fault in faults[:20]:
        print(f"fault: {fault}")
    print("every accepted task is accounted for" if not faults else f"{len(faults)} faults")
    return 1 if faults else 0


def main() -> None:
    """Run the demonstration."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    sys.exit(asyncio.run(_run(parser.parse_args().seed)))


if __name__ == "__main__":
    main()
