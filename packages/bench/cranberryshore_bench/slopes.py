"""Measures the slopes from which docs/CAPACITY.md is worked out; writes build/slopes.json."""

import asyncio
import logging
from argparse import ArgumentParser
from pathlib import Path

import structlog

from cranberryshore.messages import encode_json
from cranberryshore_bench.core_slopes import core_slopes
from cranberryshore_bench.process_slopes import process_slopes


def main() -> None:
    """Measure, write and print."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("build/slopes.json"))
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    slopes = [*core_slopes(), *asyncio.run(process_slopes())]
    arguments.out.parent.mkdir(exist_ok=True)
    arguments.out.write_bytes(encode_json(slopes))
    for slope in slopes:
        print(
            f"{slope.name}: {slope.base:.4g} + {slope.slope:.4g} per unit, {slope.unit}, "
            f"residual {slope.residual:.0%}"
        )


if __name__ == "__main__":
    main()
