"""Costs of real processes: processor time, memory, control traffic, configuration."""

import asyncio
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import ClientSession, TCPConnector

from cranberryshore.work import Capacity, JobRequest, TaskSpec
from cranberryshore_bench.metrics_text import sum_samples
from cranberryshore_bench.row import Row
from cranberryshore_bench.statistics import percentile
from cranberryshore_cli import Client
from cranberryshore_standins.cluster import (
    HOST,
    OPERATOR_TOKEN,
    Cluster,
    ClusterShape,
    Node,
    caller_token,
    free_ports,
    processor_seconds,
)

JOB_TASKS = 120
JOB_COUNT = 150
JOB_PARALLEL = 6
REQUEST_COUNT = 3000
REQUEST_PARALLEL = 16
REQUEST_ROUNDS = 5
IDLE_SECONDS = 8.0
CHANGES = 200
FROZEN_SECONDS = 3.0
WORKER = Capacity(64_000, 262_144, 0)


async def _processor_seconds(cluster: Cluster) -> float:
    return sum(cluster.processor_seconds(node.name) for node in cluster.entries())


async def job_cost_rows(cluster: Cluster) -> list[Row]:
    """Return the daemons' processor time per task in large jobs."""
    clients = [Client(node.url, caller_token(0)) for node in cluster.entries()]
    for client in clients:
        await client.start()
    request = JobRequest(tuple(TaskSpec(Capacity(1000, 64, 0), 50) for _ in range(JOB_TASKS)))
    gate = asyncio.Semaphore(JOB_PARALLEL)

    async def one(number: int) -> None:
        async with gate:
            client = clients[number % len(clients)]
            id = (await client.obtain_ids(1)).unwrap()[0]
            (await client.submit(id, request, 10_000)).unwrap()

    before = await _processor_seconds(cluster)
    await asyncio.gather(*(one(number) for number in range(JOB_COUNT)))
    spent = await _processor_seconds(cluster) - before
    for client in clients:
        await client.close()
    tasks = JOB_TASKS * JOB_COUNT
    micros = spent / tasks * 1e6
    return [Row("jobs of 120 tasks", "product", "processor time per task", micros, "µs")]


async def _send_requests(url: str, count: int) -> None:
    headers = {"Authorization": f"Bearer {caller_token(0)}"}
    gate = asyncio.Semaphore(REQUEST_PARALLEL)
    async with ClientSession(connector=TCPConnector(limit=0)) as session:

        async def one(number: int) -> None:
            async with gate:
                path = f"{url}?nonce=n{number}&ms=1"
                async with session.get(path, headers=headers) as response:
                    await response.read()

        await asyncio.gather(*(one(number) for number in range(count)))


async def request_cost_rows(cluster: Cluster) -> list[Row]:
    """Compare a forwarded request with a bare forwarder's, in turn."""
    entry = cluster.entries()[0]
    port = free_ports(1)[0]
    targets = [node.url for node in cluster.upstreams()]
    module = "cranberryshore_bench.bare_forwarder"
    bare = subprocess.Popen([sys.executable, "-m", module, str(port), *targets])
    await asyncio.sleep(1.0)
    ours, theirs = [], []
    try:
        for _ in range(REQUEST_ROUNDS):
            before = cluster.processor_seconds(entry.name)
            await _send_requests(f"{entry.url}/v1/services/booking/seat", REQUEST_COUNT)
            ours.append(cluster.processor_seconds(entry.name) - before)
            before = processor_seconds(bare.pid)
            await _send_requests(f"http://{HOST}:{port}/seat", REQUEST_COUNT)
            theirs.append(processor_seconds(bare.pid) - before)
    finally:
        bare.terminate()
        bare.wait()
    scenario = "forwarded requests"
    micros = percentile(ours, 0.5) / REQUEST_COUNT * 1e6
    bare_micros = percentile(theirs, 0.5) / REQUEST_COUNT * 1e6
    ratio = percentile([one / other for one, other in zip(ours, theirs, strict=True)], 0.5)
    return [
        Row(scenario, "product", "processor time per request", micros, "µs"),
        Row(scenario, "bare", "processor time per request", bare_micros, "µs"),
        Row(scenario, "product", "cost over bare forwarder", ratio, ""),
    ]


async def _metrics(cluster: Cluster, node: Node) -> str:
    async with cluster.session.get(f"{node.url}/metrics") as response:
        return await response.text()


async def control_rows(cluster: Cluster) -> list[Row]:
    """Return what an idle daemon spends on control."""
    nodes = cluster.entries()
    bytes_before = [
        sum_samples(await _metrics(cluster, node), "cranberryshore_peer_bytes_total")
        for node in nodes
    ]
    before = [cluster.processor_seconds(node.name) for node in nodes]
    await asyncio.sleep(IDLE_SECONDS)
    shares = [
        (cluster.processor_seconds(node.name) - start) / IDLE_SECONDS * 100
        for node, start in zip(nodes, before, strict=True)
    ]
    rates = [
        (sum_samples(await _metrics(cluster, node), "cranberryshore_peer_bytes_total") - start)
        / IDLE_SECONDS
        / 1000
        for node, start in zip(nodes, bytes_before, strict=True)
    ]
    memory = max(cluster.resident_mb(node.name) for node in nodes)
    scenario = "idle, 3 zones"
    return [
        Row(scenario, "product", "control, largest processor share", max(shares), "%"),
        Row(scenario, "product", "control, largest memory", memory, "MB"),
        Row(scenario, "product", "control, largest peer traffic", max(rates), "KB/s"),
    ]


async def configuration_rows(cluster: Cluster) -> list[Row]:
    """Return how long changes take until they are in force everywhere."""
    entries = cluster.entries()
    frozen, replaced = entries[1], entries[4]
    counts = (await cluster.fetch("store", "/counts"))["calls"]
    calls_before = sum(counts.values())
    began = time.time()
    accepted: dict[int, float] = {}
    for number in range(CHANGES):
        if number == CHANGES // 4:
            cluster.suspend(frozen.name)
            asyncio.get_running_loop().call_later(FROZEN_SECONDS, cluster.resume, frozen.name)
        if number == CHANGES // 2:
            cluster.leave(replaced.name)
            await cluster.wait_exit_status(replaced.name)
            cluster.launch(replaced.name)
            await cluster.wait_ready(replaced.name)
        revision = await _apply(cluster, entries[0], 1000 + number)
        accepted[revision] = time.time()
        await asyncio.sleep(0.05)
    await asyncio.sleep(FROZEN_SECONDS)
    counts = (await cluster.fetch("store", "/counts"))["calls"]
    calls = sum(counts.values()) - calls_before
    delays = await _delays(cluster, accepted, frozen, replaced)
    elapsed = time.time() - began
    scenario = "configuration, 9 daemons"
    others = [delay for name, delay in delays if name not in (frozen.name, replaced.name)]
    woken = [delay for name, delay in delays if name == frozen.name]
    return [
        Row(scenario, "product", "in force everywhere, p50", percentile(others, 0.5), "s"),
        Row(scenario, "product", "in force everywhere, p99", percentile(others, 0.99), "s"),
        Row(scenario, "product", "in force everywhere, max", max(others), "s"),
        Row(scenario, "product", "in force in the frozen one, max", max(woken), "s"),
        Row(scenario, "product", "store calls per change", calls / CHANGES, ""),
        Row(scenario, "product", "store calls per second", calls / elapsed, "1/s"),
    ]


async def _apply(cluster: Cluster, node: Node, timeout_ms: int) -> int:
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    url = f"{node.url}/v1/resources/service/measured"
    body = {"spec": {"timeout_ms": timeout_ms}}
    async with cluster.session.put(url, json=body, headers=headers) as response:
        response.raise_for_status()
        return (await response.json())["revision"]


async def _delays(
    cluster: Cluster, accepted: dict[int, float], frozen: Node, replaced: Node
) -> list[tuple[str, float]]:
    """Return, for each instance and change, the time until it or a later one was in force."""
    delays = []
    for node in cluster.entries():
        url = "/v1/timeline?subject=config/service/measured"
        events = (await cluster.fetch(node.name, url))["events"]
        applied = sorted(
            (int(event["detail"]), event["stamp"]["wall_ms"] / 1000)
            for event in events
            if event["kind"] == "configuration_applied"
            and event["process"].split(".")[1] == node.name
        )
        first = applied[0][0] if applied else 0
        for revision, at in accepted.items():
            later = [when for number, when in applied if number >= revision]
            if later and revision >= first:
                delays.append((node.name, max(min(later) - at, 0.0)))
    return delays


async def _measure() -> list[Row]:
    rows = []
    shape = ClusterShape(entries=1, workers=4, upstreams=4, worker_capacity=WORKER)
    with tempfile.TemporaryDirectory(prefix="cranberryshore-bench-") as folder:
        cluster = Cluster(shape, Path(folder))
        try:
            await cluster.start()
            await cluster.apply_resource("service", "booking", {"timeout_ms": 10_000})
            rows += await job_cost_rows(cluster)
            rows += await request_cost_rows(cluster)
        finally:
            await cluster.close()
    shape = ClusterShape(zones=("zone-a", "zone-b", "zone-c"), workers=2, upstreams=1)
    with tempfile.TemporaryDirectory(prefix="cranberryshore-bench-") as folder:
        cluster = Cluster(shape, Path(folder))
        try:
            await cluster.start()
            rows += await control_rows(cluster)
            rows += await configuration_rows(cluster)
        finally:
            await cluster.close()
    return rows


def process_rows(seed: int) -> list[Row]:
    """Run all measurements of real processes."""
    return asyncio.run(_measure())
