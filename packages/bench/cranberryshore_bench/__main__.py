"""Runs the benchmark; writes build/bench.json and prints a table."""

import logging
from argparse import ArgumentParser
from pathlib import Path

import structlog

from cranberryshore.messages import encode_json
from cranberryshore_bench.process_bench import process_rows
from cranberryshore_bench.row import print_table
from cranberryshore_bench.scenarios import all_rows


def main() -> None:
    """Run all scenarios in virtual time, then measure the costs of real processes."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=Path("build/bench.json"))
    arguments = parser.parse_args()
    critical_only_logger = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only_logger)
    rows = all_rows(arguments.seed)
    rows += process_rows(arguments.seed)
    arguments.out.parent.mkdir(exist_ok=True)
    arguments.out.write_bytes(encode_json(rows))
    print_table(rows)


if __name__ == "__main__":
    main()
