"""Linear regression of measured points."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class LinearFit:
    """A fitted line ``value = base + slope * size`` and its largest error.

    ``name`` is the measured quantity, ``sizes`` and ``values`` the measured points, ``residual``
    the largest distance of a point from the line as a share of the largest value.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    base: float
    slope: float
    residual: float


def fit_line(name: str, unit: str, points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line by least squares.

    Examples
    --------
    >>> line = fit_line("x", "s", [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)])
    >>> line.base, line.slope, line.residual
    (1.0, 2.0, 0.0)
    """
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(float(value) for _, value in points)
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    sum_of_squares = sum((size - mean_size) ** 2 for size in sizes)
    sum_of_products = sum(
        (size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True)
    )
    slope = sum_of_products / sum_of_squares
    base = mean_value - slope * mean_size
    max_error = max(
        abs(base + slope * size - value) for size, value in zip(sizes, values, strict=True)
    )
    return LinearFit(name, unit, sizes, values, base, slope, max_error / max(map(abs, values)))
