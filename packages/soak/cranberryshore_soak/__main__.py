"""Command line of the soak test."""

import asyncio
import logging
import tempfile
from argparse import ArgumentParser, Namespace
from pathlib import Path
from secrets import randbelow

import attrs

from cranberryshore_soak.cluster import SoakPlan
from cranberryshore_soak.regressions import REGRESSIONS
from cranberryshore_soak.runner import SoakResult, run_soak

RANDOM_SEED_LIMIT = 1_000_000


def print_result(result: SoakResult) -> None:
    """Print a summary line, followed by all events if a guarantee was violated."""
    print(
        f"seed {result.plan.seed}: {result.completed} of {result.jobs} under faults, "
        f"{result.recovery_completed} of {result.recovery_jobs} after, "
        f"{result.refused_starts} starts refused, "
        f"{len(result.faults)} promises broken, loop late by {result.max_lag_seconds:.3f} s",
        flush=True,
    )
    for line in result.events if result.faults else ():
        print(f"    {line}")


def plans_from_options(options: Namespace) -> list[SoakPlan]:
    """Return one plan for each of ``rounds`` consecutive seeds."""
    first = randbelow(RANDOM_SEED_LIMIT) if options.seed is None else options.seed
    plan = SoakPlan(
        first,
        options.instances,
        options.workers,
        options.callers,
        options.seconds,
        fault_names=tuple(options.faults),
    )
    return [attrs.evolve(plan, seed=seed) for seed in range(first, first + options.rounds)]


def main() -> int:
    """Run the soak for each plan; return 1 if any guarantee was violated, otherwise 0."""
    parser = ArgumentParser(description="Run real daemons under random faults.")
    parser.add_argument("--seed", type=int, help="first seed; random by default")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--callers", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=8.0, help="duration of the fault phase")
    parser.add_argument("--faults", nargs="+", default=[], help="names of the faults to inject")
    parser.add_argument("--keep", type=Path, default=Path(tempfile.gettempdir()) / "soak")
    parser.add_argument("--regressions", action="store_true", help="run plans that once failed")
    options = parser.parse_args()
    # The stand-ins' server logs each request of a disconnected client; faults cause many.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    plans = list(REGRESSIONS.values()) if options.regressions else plans_from_options(options)
    failed = 0
    for plan in plans:
        result = asyncio.run(run_soak(plan, options.keep))
        print_result(result)
        failed += bool(result.faults)
    print(f"{len(plans) - failed} of {len(plans)} held")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
