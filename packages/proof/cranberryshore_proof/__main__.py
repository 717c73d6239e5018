"""Runs histories and prints a line for each invariant."""

import logging
import sys
from argparse import ArgumentParser

import structlog

from cranberryshore_proof.checks import INVARIANTS
from cranberryshore_proof.play import Outcome, play, shrink

SHOWN_VIOLATIONS = 3


def _print_violation(outcome: Outcome, name: str) -> None:
    smallest = shrink(outcome, name)
    print(f"violation of {name}, seed {outcome.seed}; smallest set of faults that shows it:")
    for fault in smallest.faults:
        print(
            f"  {fault.kind.value} at {fault.at:.3f} s for {fault.seconds} s "
            f"({fault.one}, {fault.other})"
        )
    for violation in smallest.verdicts[name].violations[:SHOWN_VIOLATIONS]:
        print(f"  {violation}")


def run(seed: int, rounds: int) -> int:
    """Run ``rounds`` histories; return the exit status."""
    held = dict.fromkeys(INVARIANTS, 0)
    events = dict.fromkeys(INVARIANTS, 0)
    shown: set[str] = set()
    faults = in_flight = counted = 0
    for number in range(rounds):
        outcome = play(seed * 10_000 + number)
        history = outcome.history
        faults += history.faults
        in_flight += history.faults_in_flight
        if not history.starts:
            continue
        counted += 1
        for name, verdict in outcome.verdicts.items():
            held[name] += not verdict.violations
            events[name] += verdict.events
            if verdict.violations and name not in shown:
                shown.add(name)
                _print_violation(outcome, name)
    for name in INVARIANTS:
        print(
            f"invariant {name}: held in {held[name]} of {counted} histories, "
            f"{events[name]} events"
        )
    print(f"{faults} faults, {in_flight} while work was in flight")
    is_held = counted > 0 and all(count == counted for count in held.values())
    return 0 if is_held else 1


def main() -> None:
    """Run the histories that the command line asks for."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10)
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    sys.exit(run(arguments.seed, arguments.rounds))


if __name__ == "__main__":
    main()
