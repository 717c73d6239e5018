"""Command line of the soak."""

import asyncio
import logging
import tempfile
from argparse import ArgumentParser
from pathlib import Path
from secrets import randbelow

from cranberryshore_soak.play import SoakResult, play
from cranberryshore_soak.world import SoakPlan

FRESH_SEEDS = 1_000_000


def print_result(result: SoakResult) -> None:
    """Print one line, and all events if a promise was broken."""
    print(
        f"seed {result.plan.seed}: {result.completed} of {result.jobs} under faults, "
        f"{result.calm_completed} of {result.calm_jobs} after, "
        f"{len(result.faults)} promises broken, loop late by {result.worst_lag:.3f} s",
        flush=True,
    )
    for line in result.events if result.faults else ():
        print(f"    {line}")


def main() -> int:
    """Play some seeds and print what they have shown."""
    parser = ArgumentParser(description="Real daemons under drawn faults.")
    parser.add_argument("--seed", type=int, help="first seed; drawn if it is left out")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=14.0, help="length of the storm")
    parser.add_argument("--keep", type=Path, default=Path(tempfile.gettempdir()) / "soak")
    chosen = parser.parse_args()
    first = randbelow(FRESH_SEEDS) if chosen.seed is None else chosen.seed
    # The stand-ins' server logs each request whose caller is gone, which a storm causes on purpose.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    failed = 0
    for seed in range(first, first + chosen.rounds):
        plan = SoakPlan(seed, chosen.instances, chosen.workers, chosen.callers, chosen.seconds)
        result = asyncio.run(play(plan, chosen.keep))
        print_result(result)
        failed += bool(result.faults)
    print(f"{chosen.rounds - failed} of {chosen.rounds} held")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
