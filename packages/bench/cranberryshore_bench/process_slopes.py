"""Slopes of whole daemons, measured over separate processes."""

import asyncio
import tempfile
from pathlib import Path

import attrs

from cranberryshore.work import Capacity, JobRequest, TaskSpec
from cranberryshore_bench.fit import Slope, fit
from cranberryshore_bench.metrics_text import sum_samples
from cranberryshore_cli import Client
from cranberryshore_standins.cluster import Cluster, ClusterShape, caller_token

MICROSECONDS = 1e6
IDLE_SECONDS = 5.0
JOBS = 60
WORKER = Capacity(128_000, 262_144, 0)
SMALL = ClusterShape(entries=1, workers=4, upstreams=1, worker_capacity=WORKER)


@attrs.frozen
class Idle:
    """What an idle daemon spends."""

    processor_percent: float
    kilobytes_per_second: float
    memory_mb: float


async def _job_micros(cluster: Cluster, client: Client, tasks: int) -> float:
    name = cluster.entries()[0].name
    request = JobRequest((TaskSpec(Capacity(1000, 16, 0), 20),) * tasks)
    ids = (await client.obtain_ids(JOBS)).unwrap()
    before = cluster.processor_seconds(name)
    for id in ids:
        (await client.submit(id, request, 10_000)).unwrap()
    return (cluster.processor_seconds(name) - before) / JOBS * MICROSECONDS


async def tasks_in_a_job() -> Slope:
    """Return the daemon's processor time of one job, by its tasks."""
    with tempfile.TemporaryDirectory(prefix="cranberryshore-slopes-") as folder:
        cluster = Cluster(SMALL, Path(folder))
        try:
            await cluster.start()
            client = Client(cluster.entries()[0].url, caller_token(0))
            await client.start()
            await _job_micros(cluster, client, 100)
            points = []
            for tasks in (30, 60, 120, 240, 490):
                points.append((tasks, await _job_micros(cluster, client, tasks)))
            await client.close()
        finally:
            await cluster.close()
    return fit("daemon's processor time of one job, by tasks", "µs", points)


async def _idle(shape: ClusterShape) -> Idle:
    with tempfile.TemporaryDirectory(prefix="cranberryshore-slopes-") as folder:
        cluster = Cluster(shape, Path(folder))
        try:
            await cluster.start()
            node = cluster.entries()[0]
            await asyncio.sleep(1.0)
            seconds = cluster.processor_seconds(node.name)
            sent = await _peer_bytes(cluster)
            await asyncio.sleep(IDLE_SECONDS)
            seconds = cluster.processor_seconds(node.name) - seconds
            sent = await _peer_bytes(cluster) - sent
            return Idle(
                seconds / IDLE_SECONDS * 100,
                sent / IDLE_SECONDS / 1000,
                cluster.resident_mb(node.name),
            )
        finally:
            await cluster.close()


async def _peer_bytes(cluster: Cluster) -> float:
    async with cluster.session.get(f"{cluster.entries()[0].url}/metrics") as response:
        return sum_samples(await response.text(), "cranberryshore_peer_bytes_total")


async def peers() -> list[Slope]:
    """Return an idle daemon's processor share and traffic, by instances of its zone."""
    cpu, traffic = [], []
    for entries in (2, 3, 5, 8):
        idle = await _idle(ClusterShape(entries=entries, workers=1, upstreams=1))
        cpu.append((entries - 1, idle.processor_percent))
        traffic.append((entries - 1, idle.kilobytes_per_second))
    return [
        fit("idle processor share, by peers of the zone", "%", cpu),
        fit("idle peer traffic, by peers of the zone", "KB/s", traffic),
    ]


async def workers() -> list[Slope]:
    """Return an idle daemon's processor share and memory, by worker sessions."""
    cpu, memory = [], []
    for count in (2, 8, 16, 32):
        idle = await _idle(ClusterShape(entries=1, workers=count, upstreams=1))
        cpu.append((count, idle.processor_percent))
        memory.append((count, idle.memory_mb))
    return [
        fit("idle processor share, by worker sessions", "%", cpu),
        fit("idle memory, by worker sessions", "MB", memory),
    ]


async def process_slopes() -> list[Slope]:
    """Measure all slopes of whole daemons."""
    return [await tasks_in_a_job(), *await peers(), *await workers()]
