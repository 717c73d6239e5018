"""Straight lines through measured points."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Slope:
    """A fitted line ``value = base + slope * size`` and how far the points are off.

    Parameters
    ----------
    name : str
        What was measured.
    unit : str
        Unit of the values.
    sizes, values : tuple of float
        The points.
    base, slope : float
        The line.
    residual : float
        Largest distance of a point from the line, as a share of the largest value.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    base: float
    slope: float
    residual: float


def fit(name: str, unit: str, points: Sequence[tuple[float, float]]) -> Slope:
    """Fit a line by least squares.

    Examples
    --------
    >>> line = fit("x", "s", [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)])
    >>> line.base, line.slope, line.residual
    (1.0, 2.0, 0.0)
    """
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(float(value) for _, value in points)
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    product = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    slope = product / spread
    base = mean_value - slope * mean_size
    off = max(abs(base + slope * size - value) for size, value in zip(sizes, values, strict=True))
    return Slope(name, unit, sizes, values, base, slope, off / max(map(abs, values)))
