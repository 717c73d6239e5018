"""Runs simulated histories under random faults and prints a line for each invariant."""

import logging
import sys
from argparse import ArgumentParser

import structlog

from cranberryshore_proof.checks import INVARIANTS
from cranberryshore_proof.simulation import CheckedHistory, run_history, shrink

MAX_PRINTED_VIOLATIONS = 3


def _print_violation(outcome: CheckedHistory, name: str) -> None:
    minimal = shrink(outcome, name)
    print(f"violation of {name}, seed {outcome.seed}; minimal set of faults that reproduces it:")
    for fault in minimal.faults:
        print(
            f"  {fault.kind.value} at {fault.at:.3f} s for {fault.seconds} s "
            f"({fault.first_number}, {fault.second_number})"
        )
    for violation in minimal.verdicts[name].violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation}")


def run(seed: int, rounds: int) -> int:
    """Run ``rounds`` histories and return the exit status.

    Histories without any task start prove nothing and are not counted.
    """
    held = dict.fromkeys(INVARIANTS, 0)
    events = dict.fromkeys(INVARIANTS, 0)
    shown: set[str] = set()
    faults = in_flight = counted = 0
    for number in range(rounds):
        outcome = run_history(seed * 10_000 + number)
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
    """Run the selected histories."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=10)
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    sys.exit(run(arguments.seed, arguments.rounds))


if __name__ == "__main__":
    main()
