"""Tasks start on minions without their label, after a change of the scheduler."""

import asyncio
import signal
from pathlib import Path

from deployment import Deployment, simple_job
from running import run_case

LABEL, OTHER_LABEL = "a", "b"
ROUNDS, MINIONS = 5, 14
CRASH_SECONDS, LEAD_SECONDS = 1.5, 0.3
"""Time for which a minion is down, and time before its return at which the scheduler is killed."""

RESTART_SECONDS, CALM_SECONDS = 1.0, 3.0
CALL_SECONDS = 0.06


async def play(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Let minions return as another kind while the scheduler changes."""
    calls: list[asyncio.Task] = []
    callers = asyncio.create_task(_send_jobs(deployment, calls))
    await asyncio.sleep(1.0)
    for number in range(ROUNDS):
        if with_trouble:
            await _disturb(deployment, number)
        await asyncio.sleep(CALM_SECONDS)
    callers.cancel()
    await asyncio.gather(*calls)
    return [
        f"{event['minion']} with the labels {event['labels']} was told to start {event['task']},"
        f" which needs {LABEL}, at {event['at']} s"
        for event in deployment.record.of("start")
        if LABEL not in event["labels"]
    ]


async def _send_jobs(deployment: Deployment, calls: list[asyncio.Task]) -> None:
    body = simple_job(count=6, run_ms=400, cpu=4000)
    body["steps"][0]["requiredLabel"] = LABEL
    while True:
        running = [entry for entry in deployment.entries if entry.is_running()]
        entry, job = running[len(calls) % len(running)], f"{len(calls):016x}"
        calls.append(asyncio.create_task(deployment.call(entry, "POST", job, body)))
        await asyncio.sleep(CALL_SECONDS)


async def _disturb(deployment: Deployment, number: int) -> None:
    minion, scheduler = deployment.minions[number], deployment.scheduler()
    await minion.crash()
    await asyncio.sleep(CRASH_SECONDS - LEAD_SECONDS)
    deployment.signal_entry(scheduler, signal.SIGKILL)
    scheduler.process.wait()
    await asyncio.sleep(LEAD_SECONDS)
    await minion.boot([OTHER_LABEL, *minion.labels[1:]])
    await asyncio.sleep(RESTART_SECONDS)
    deployment.start_entry(scheduler)
    await deployment.wait_ready()


if __name__ == "__main__":
    run_case(Path(__file__).parent, play, minions=MINIONS)
