"""Runs one case as a script, with its exit status."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from deployment import ZONES, Deployment
from record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 105.0

Play = Callable[[Deployment, bool], Awaitable[list[str]]]
"""Plays a case with or without the disruption, and returns where the rule was broken."""


class CannotJudgeError(Exception):
    """The case did not get as far as the rule."""


def run_case(folder: Path, play: Play, zones: Sequence[str] = ZONES, minions: int = 6) -> None:
    """Play a case, write its record, and exit with its result."""
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_play(Deployment(record, zones, minions), play, with_trouble))
    except Exception as error:
        traceback.print_exc()
        record.add("not run", error=repr(error))
        status = NOT_RUN
    else:
        for sentence in broken:
            print(sentence)
            record.add("broken", what=sentence)
        print("the rule was broken" if broken else "the rule held")
        status = BROKEN if broken else HELD
    record.write()
    sys.exit(status)


async def _play(deployment: Deployment, play: Play, with_trouble: bool) -> list[str]:
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            await deployment.start()
            return await play(deployment, with_trouble)
    finally:
        await deployment.close()
