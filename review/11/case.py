"""A cancelled job runs after all entry processes were killed."""

import asyncio
import signal
from pathlib import Path

from deployment import Deployment, simple_job
from running import CannotJudgeError, run_case

JOB = "5c0e7a21d94b36f8"
CANCEL_SECONDS, CONTACT_SECONDS = 3.0, 3.0
"""``cancel_ms`` and ``contactMs`` of the site."""

DOWN_SECONDS = 1.0


async def play(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Cancel a job, kill and restart all entry processes, and send the job once more."""
    first, second, third = deployment.entries
    body = simple_job(count=4, run_ms=400)
    handed_in = asyncio.create_task(deployment.call(first, "POST", JOB, body))
    await asyncio.sleep(0.15)
    cancelled = await deployment.call(second, "DELETE", JOB, budget_ms=4000)
    answer = await handed_in
    if cancelled["status"] not in (200, 410) or answer["status"] != 200:
        raise CannotJudgeError(f"{cancelled} {answer}")
    await asyncio.sleep(0.5)
    if with_trouble:
        for entry in deployment.entries:
            deployment.signal_entry(entry, signal.SIGKILL)
        for entry in deployment.entries:
            entry.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        for entry in deployment.entries:
            deployment.start_entry(entry)
        await deployment.wait_ready()
    # Long enough for all machines to be in touch again.
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    await deployment.call(third, "POST", JOB, body)
    return [
        f"{event['minion']} started {event['task']} at {event['at']} s, its job was cancelled at"
        f" {cancelled['at']} s"
        for event in deployment.record.of("start")
        if event["at"] > cancelled["at"] + CANCEL_SECONDS
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
