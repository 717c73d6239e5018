"""Measures the slopes on which docs/CAPACITY.md is based; writes build/slopes.json."""

import asyncio
import logging
from argparse import ArgumentParser
from pathlib import Path

import attrs
import structlog

from cranberryshore.messages import encode_json
from cranberryshore_bench.core_slopes import core_slopes, reference_seconds
from cranberryshore_bench.linear_fit import LinearFit
from cranberryshore_bench.process_slopes import process_slopes


@attrs.frozen
class SlopeRun:
    """All fits of one run, and the time of the reference loop before and after it."""

    reference_seconds: tuple[float, float]
    slopes: tuple[LinearFit, ...]


def main() -> None:
    """Measure all slopes, write them to a file and print them."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("build/slopes.json"))
    arguments = parser.parse_args()
    critical_only_logger = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only_logger)
    before = reference_seconds()
    slopes = [*core_slopes(), *asyncio.run(process_slopes())]
    run = SlopeRun((before, reference_seconds()), tuple(slopes))
    arguments.out.parent.mkdir(exist_ok=True)
    arguments.out.write_bytes(encode_json(run))
    print(f"reference loop: {run.reference_seconds[0]:.3f} s, {run.reference_seconds[1]:.3f} s")
    for slope in slopes:
        print(
            f"{slope.name}: {slope.base:.4g} + {slope.slope:.4g} per unit, {slope.unit}, "
            f"residual {slope.residual:.0%}"
        )


if __name__ == "__main__":
    main()
