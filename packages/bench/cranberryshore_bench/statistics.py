"""Percentiles and fairness of measured values."""

from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal.

    Examples
    --------
    >>> jain_index([1.0, 1.0]), jain_index([1.0, 0.0])
    (1.0, 0.5)
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
