"""Minions crash and start again under their ids, and are of another kind then."""

import asyncio
import json

from standins.cluster import Cluster, main
from standins.record import Record

DOWN_SECONDS = 2.0
GAP_SECONDS = 0.4
KIND_A_COUNT, CRASHED_COUNT, ROUNDS = 8, 3, 2
LABEL = "a"
PREFIX = "/lohu930/"
TASK_MS = 200
SECONDS = 11.0
PAUSE_SECONDS = 0.0125


def job_body() -> dict:
    """Return a job of a task that needs a minion of one kind."""
    step = {"count": 1, "cpu": 14_000, "memMb": 64, "estimateMs": TASK_MS, "requiredLabel": LABEL}
    return {"spec": json.dumps({"ms": TASK_MS}), "steps": [step], "bestEffort": True}


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Send jobs all the time, and let minions return as others of another kind."""
    cluster = Cluster(record)
    violations: list[str] = []

    def check(run: object) -> None:
        if LABEL not in run.minion.labels:
            labels = run.minion.labels
            violations.append(f"ROUTE: {run.task} starts on {run.minion.id}, labels {labels}")

    cluster.on_run.append(check)
    jobs: list[asyncio.Task] = []
    try:
        await cluster.start(
            [
                {"labels": [LABEL if number < KIND_A_COUNT else "b", f"r1-{number // 8}"]}
                for number in range(24)
            ]
        )
        await asyncio.sleep(1.0)
        trouble = asyncio.create_task(restart(cluster, has_trouble))
        end = record.now() + SECONDS
        number = 0
        while record.now() < end:
            path = f"{PREFIX}7c0e7a21d94b{number:04x}"
            daemon = cluster.daemons[number % 3]
            jobs.append(asyncio.create_task(cluster.call(daemon, "POST", path, job_body())))
            number += 1
            await asyncio.sleep(PAUSE_SECONDS)
        await trouble
        await asyncio.gather(*jobs)
    finally:
        await cluster.close()
    return violations


async def restart(cluster: Cluster, has_trouble: bool) -> None:
    """Let minions crash and return, and report at once that they are of another kind."""
    for number in range(ROUNDS):
        await asyncio.sleep(2.0)
        if not has_trouble:
            continue
        crashed = cluster.minions[number * CRASHED_COUNT : (number + 1) * CRASHED_COUNT]
        for minion in crashed:
            await minion.crash()
        await asyncio.sleep(DOWN_SECONDS)
        for minion in crashed:
            minion.labels = ["b", "r1-0"]
            await minion.start()
            await asyncio.sleep(GAP_SECONDS)


if __name__ == "__main__":
    main(play)
