"""Resource vectors: processors, memory, accelerators and request slots."""

import attrs

MILLICORES_PER_PROCESSOR = 1000
UNBOUNDED_COUNT = 1_000_000


@attrs.frozen
class Capacity:
    """Amounts of the resources of a worker or an upstream.

    Examples
    --------
    >>> whole = Capacity(4000, 8192, 1)
    >>> whole.max_copies(Capacity(1000, 1024, 0))
    4
    >>> (whole - Capacity(1000, 1024, 0)).millicores
    3000
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: "Capacity") -> "Capacity":
        return Capacity(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: "Capacity") -> "Capacity":
        return Capacity(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def __mul__(self, count: int) -> "Capacity":
        return Capacity(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
            self.slots * count,
        )

    def holds(self, demand: "Capacity") -> bool:
        """Return whether ``demand`` fits into this amount."""
        return (
            self.millicores >= demand.millicores
            and self.memory_mb >= demand.memory_mb
            and self.accelerators >= demand.accelerators
            and self.slots >= demand.slots
        )

    def max_copies(self, demand: "Capacity") -> int:
        """Return how many copies of ``demand`` fit at the same time.

        Returns ``UNBOUNDED_COUNT`` if all components of ``demand`` are zero.
        """
        fits = UNBOUNDED_COUNT
        if demand.millicores:
            fits = min(fits, self.millicores // demand.millicores)
        if demand.memory_mb:
            fits = min(fits, self.memory_mb // demand.memory_mb)
        if demand.accelerators:
            fits = min(fits, self.accelerators // demand.accelerators)
        if demand.slots:
            fits = min(fits, self.slots // demand.slots)
        return max(fits, 0)

    def largest(self, other: "Capacity") -> "Capacity":
        """Return the larger one of each component.

        Examples
        --------
        >>> Capacity(1, 5).largest(Capacity(2, 4))
        Capacity(millicores=2, memory_mb=5, accelerators=0, slots=0)
        """
        return Capacity(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def clipped(self) -> "Capacity":
        """Return this amount with negative components set to zero."""
        return Capacity(
            max(self.millicores, 0),
            max(self.memory_mb, 0),
            max(self.accelerators, 0),
            max(self.slots, 0),
        )

    def maximum(self, other: "Capacity") -> "Capacity":
        """Return the component-wise maximum."""
        return Capacity(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )


ZERO_CAPACITY = Capacity()
