"""Cost of whole daemons against the size of the system, measured on separate processes."""

import asyncio
import tempfile
from pathlib import Path

import attrs

from cranberryshore.work import Capacity, JobRequest, TaskSpec
from cranberryshore_bench.linear_fit import LinearFit, fit_line
from cranberryshore_bench.metrics_text import sum_samples
from cranberryshore_cli import Client
from cranberryshore_standins.cluster import Cluster, ClusterShape, caller_token

MICROSECONDS_PER_SECOND = 1e6
IDLE_SECONDS = 5.0
JOB_COUNT = 60
WORKER_CAPACITY = Capacity(128_000, 262_144, 0)
JOB_CLUSTER = ClusterShape(entries=1, workers=4, upstreams=1, worker_capacity=WORKER_CAPACITY)


@attrs.frozen
class IdleUsage:
    """Processor share, peer traffic and memory of an idle daemon."""

    processor_percent: float
    kilobytes_per_second: float
    memory_mb: float


async def _job_microseconds(cluster: Cluster, client: Client, tasks: int) -> float:
    name = cluster.entries()[0].name
    request = JobRequest((TaskSpec(Capacity(1000, 16, 0), 20),) * tasks)
    ids = (await client.obtain_ids(JOB_COUNT)).unwrap()
    before = cluster.processor_seconds(name)
    for id in ids:
        (await client.submit(id, request, 10_000)).unwrap()
    return (cluster.processor_seconds(name) - before) / JOB_COUNT * MICROSECONDS_PER_SECOND


async def job_cost_by_tasks() -> LinearFit:
    """Fit a daemon's processor time for a job, by tasks."""
    with tempfile.TemporaryDirectory(prefix="cranberryshore-slopes-") as folder:
        cluster = Cluster(JOB_CLUSTER, Path(folder))
        try:
            await cluster.start()
            client = Client(cluster.entries()[0].url, caller_token(0))
            await client.start()
            # The first measurement only warms the daemon up.
            await _job_microseconds(cluster, client, 100)
            points = []
            for tasks in (30, 60, 120, 240, 490):
                points.append((tasks, await _job_microseconds(cluster, client, tasks)))
            await client.close()
        finally:
            await cluster.close()
    return fit_line("daemon's processor time of one job, by tasks", "µs", points)


async def _measure_idle(shape: ClusterShape) -> IdleUsage:
    with tempfile.TemporaryDirectory(prefix="cranberryshore-slopes-") as folder:
        cluster = Cluster(shape, Path(folder))
        try:
            await cluster.start()
            node = cluster.entries()[0]
            await asyncio.sleep(1.0)
            seconds = cluster.processor_seconds(node.name)
            sent_bytes = await _peer_bytes(cluster)
            await asyncio.sleep(IDLE_SECONDS)
            seconds = cluster.processor_seconds(node.name) - seconds
            sent_bytes = await _peer_bytes(cluster) - sent_bytes
            return IdleUsage(
                seconds / IDLE_SECONDS * 100,
                sent_bytes / IDLE_SECONDS / 1000,
                cluster.resident_mb(node.name),
            )
        finally:
            await cluster.close()


async def _peer_bytes(cluster: Cluster) -> float:
    async with cluster.session.get(f"{cluster.entries()[0].url}/metrics") as response:
        return sum_samples(await response.text(), "cranberryshore_peer_bytes_total")


async def peers() -> list[LinearFit]:
    """Fit the processor share and peer traffic of an idle daemon, by peers."""
    cpu, traffic = [], []
    for entries in (2, 3, 5, 8):
        idle = await _measure_idle(ClusterShape(entries=entries, workers=1, upstreams=1))
        cpu.append((entries - 1, idle.processor_percent))
        traffic.append((entries - 1, idle.kilobytes_per_second))
    return [
        fit_line("idle processor share, by peers of the zone", "%", cpu),
        fit_line("idle peer traffic, by peers of the zone", "KB/s", traffic),
    ]


async def workers() -> list[LinearFit]:
    """Fit the processor share and memory of an idle daemon, by worker sessions."""
    cpu, memory = [], []
    for count in (2, 8, 16, 32):
        idle = await _measure_idle(ClusterShape(entries=1, workers=count, upstreams=1))
        cpu.append((count, idle.processor_percent))
        memory.append((count, idle.memory_mb))
    return [
        fit_line("idle processor share, by worker sessions", "%", cpu),
        fit_line("idle memory, by worker sessions", "MB", memory),
    ]


async def process_slopes() -> list[LinearFit]:
    """Measure and fit all costs of whole daemons."""
    return [await job_cost_by_tasks(), *await peers(), *await workers()]
