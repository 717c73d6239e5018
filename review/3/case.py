"""The store turns the scheduler's machine away, and a minion says that its room has shrunk."""

import asyncio
import json

from standins.cluster import Cluster, main
from standins.record import Record

REFUSED_SECONDS = 9.0
CONTACT_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.5
PREFIX = "/lohu930/"
TASK_MS = 200
TASK_CPU = 14_000
ROOM, SHRUNK_ROOM = 32_000, 16_000
PAUSE_SECONDS = 0.02


def job_body() -> dict:
    """Return a job of two tasks."""
    step = {"count": 2, "cpu": TASK_CPU, "memMb": 64, "estimateMs": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step], "bestEffort": True}


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Send jobs all the time, and let minions shrink while the scheduler is turned away."""
    cluster = Cluster(record)
    violations: list[str] = []
    shrunk_at: dict[str, float] = {}

    def check(run: object) -> None:
        used = TASK_CPU * len(run.minion.runs)
        at = shrunk_at.get(run.minion.id, float("inf"))
        is_counted = run.started_at > at + CONTACT_SECONDS + HEARTBEAT_SECONDS
        room = SHRUNK_ROOM if is_counted else ROOM
        if used > room:
            late = run.started_at - at
            violations.append(
                f"LIMIT: {run.task} brings {run.minion.id} to {used} of {room}"
                f" {late:.2f} s after it has shrunk"
            )

    cluster.on_run.append(check)
    jobs: list[asyncio.Task] = []
    try:
        await cluster.start([{} for _ in range(6)])
        await asyncio.sleep(3.0)
        scheduler = None
        end = record.now() + 2.0 + REFUSED_SECONDS + 2.0
        # Calls that wait when the rejection begins are still answered, watches within 1 s.
        trouble_at, shrink_at, back_at = 2.0, 3.5, 2.0 + REFUSED_SECONDS
        started, number = record.now(), 0
        while record.now() < end:
            since = record.now() - started
            if has_trouble and trouble_at <= since < back_at:
                if scheduler is None:
                    scheduler = cluster.scheduler()
                    record.add("script", f"the store rejects {scheduler.name}")
                cluster.store.refused = {scheduler.name}
            else:
                cluster.store.refused = set()
            if since >= shrink_at and not shrunk_at:
                for minion in cluster.minions[:3]:
                    minion.cpu = SHRUNK_ROOM
                    minion.report()
                    shrunk_at[minion.id] = record.now()
                    record.add(minion.id, f"says in the store that its cpu is {SHRUNK_ROOM}")
            path = f"{PREFIX}9c0e7a21d94b{number:04x}"
            daemon = cluster.daemons[number % 3]
            jobs.append(asyncio.create_task(cluster.call(daemon, "POST", path, job_body())))
            number += 1
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.gather(*jobs)
    finally:
        await cluster.close()
    return violations


if __name__ == "__main__":
    main(play)
