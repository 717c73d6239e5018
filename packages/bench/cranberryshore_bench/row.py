"""Rows of the benchmark's results."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Row:
    """One measured value of a scenario under a policy."""

    scenario: str
    policy: str
    measure: str
    value: float
    unit: str


def print_table(rows: Sequence[Row]) -> None:
    """Print rows as a table."""
    print(f"{'scenario':<24} {'policy':<12} {'measure':<34} {'value':>10} unit")
    for row in rows:
        print(
            f"{row.scenario:<24} {row.policy:<12} {row.measure:<34} {row.value:>10.4g} {row.unit}"
        )
