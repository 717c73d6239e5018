"""Command line of the soak."""

import asyncio
import logging
import tempfile
from argparse import ArgumentParser, Namespace
from pathlib import Path
from secrets import randbelow

from cranberryshore_soak.cluster import SoakPlan
from cranberryshore_soak.regressions import REGRESSIONS
from cranberryshore_soak.runner import SoakResult, play

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


def drawn_plans(chosen: Namespace) -> list[SoakPlan]:
    """Return the plans of seeds in a row."""
    first = randbelow(FRESH_SEEDS) if chosen.seed is None else chosen.seed
    return [
        SoakPlan(seed, chosen.instances, chosen.workers, chosen.callers, chosen.seconds)
        for seed in range(first, first + chosen.rounds)
    ]


def main() -> int:
    """Play some seeds and print what they have shown."""
    parser = ArgumentParser(description="Real daemons under drawn faults.")
    parser.add_argument("--seed", type=int, help="first seed; drawn if it is left out")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8.0, help="length of the storm")
    parser.add_argument("--keep", type=Path, default=Path(tempfile.gettempdir()) / "soak")
    parser.add_argument("--regressions", action="store_true", help="the seeds that once failed")
    chosen = parser.parse_args()
    # The stand-ins' server logs each request whose caller is gone, which a storm causes on purpose.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    plans = list(REGRESSIONS.values()) if chosen.regressions else drawn_plans(chosen)
    failed = 0
    for plan in plans:
        result = asyncio.run(play(plan, chosen.keep))
        print_result(result)
        failed += bool(result.faults)
    print(f"{len(plans) - failed} of {len(plans)} held")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
