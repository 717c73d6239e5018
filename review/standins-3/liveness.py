"""Watches whether entry processes answer, and whether ordinary callers are answered."""

import asyncio

from deployment import Deployment, Entry, simple_job

CHECK_SECONDS, CALL_SECONDS = 0.25, 0.2
HANG_SECONDS = 2.0
"""The platform takes a machine out of rotation after two missed checks, one a second."""

MAX_SILENT_SHARE = 0.1
"""Share of the ordinary calls that may stay without an answer; without a disruption, none does."""


async def watch(deployment: Deployment, seconds: float) -> list[str]:
    """Check all processes and send ordinary jobs for some time; return what was broken."""
    entries, record = deployment.entries, deployment.record
    checks = [asyncio.create_task(_check(deployment, entry)) for entry in entries]
    until, calls = record.now() + seconds, []
    while record.now() < until:
        entry = entries[len(calls) % len(entries)]
        call = deployment.call(entry, "POST", f"{len(calls):016x}", simple_job())
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(CALL_SECONDS)
    statuses = [answer["status"] for answer in await asyncio.gather(*calls)]
    for check in checks:
        check.cancel()
    await asyncio.gather(*checks, return_exceptions=True)
    broken = []
    for entry in entries:
        events = [event for event in record.of("check") if event["entry"] == entry.name]
        longest = max((event["seconds"] for event in events), default=seconds)
        if longest > HANG_SECONDS:
            broken.append(f"{entry.name} answered nothing for {longest:.1f} s")
        if not entry.is_running():
            broken.append(f"{entry.name} has ended")
    served, silent = statuses.count(200), statuses.count(0)
    record.add("ordinary callers", calls=len(statuses), served=served, without_answer=silent)
    print(f"ordinary callers: {len(statuses)} calls, {served} served, {silent} without an answer")
    if silent > MAX_SILENT_SHARE * len(statuses):
        broken.append(f"{silent} of {len(statuses)} ordinary calls got no answer in time")
    return broken


async def _check(deployment: Deployment, entry: Entry) -> None:
    while True:
        began_at = deployment.record.now()
        await deployment.is_ready(entry, 20.0)
        seconds = deployment.record.now() - began_at
        deployment.record.add("check", entry=entry.name, seconds=round(seconds, 3))
        await asyncio.sleep(CHECK_SECONDS)
