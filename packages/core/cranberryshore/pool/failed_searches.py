"""Searches for a worker that have failed in the present round of placement.

A worker may have enough free processors for a task and still not be used, for example since its
memory is full, or since starts on it are paused. Within a round, workers only become fuller. A
search for a larger task therefore fails as well, and is left out: in an overload, hundreds of jobs
would search in vain at each change.
"""

import attrs

from cranberryshore.pool.work import StepSpec
from cranberryshore.work.capacity import Capacity

SearchedWorkers = tuple[str, frozenset[str] | None]
"""Service, and names of the workers that are allowed, ``None`` for all."""


@attrs.define
class FailedSearches:
    """Demands that no worker could hold in the present round.

    Parameters
    ----------
    demands : dict
        Smallest demand that was searched for in vain, by the workers that were searched.

    Examples
    --------
    >>> failed = FailedSearches()
    >>> failed.record(("s", None), StepSpec(1, Capacity(2000, 10), 50))
    >>> failed.covers(("s", None), StepSpec(1, Capacity(3000, 10), 50, label="gpu"))
    True
    >>> failed.covers(("s", None), StepSpec(1, Capacity(3000, 5), 50))
    False
    """

    demands: dict[SearchedWorkers, Capacity] = attrs.field(factory=dict)

    def covers(self, workers: SearchedWorkers, step: StepSpec) -> bool:
        """Return whether a search for a task of a step is known to fail."""
        failed = self.demands.get(workers)
        return failed is not None and step.demand.holds(failed)

    def record(self, workers: SearchedWorkers, step: StepSpec) -> None:
        """Record that no worker could take a task of a step, and none was excluded.

        If the step has constraints of its own, the search says nothing about other tasks.
        """
        if step.label or step.max_per_worker:
            return
        known = self.demands.get(workers)
        if known is None or step.demand.millicores < known.millicores:
            self.demands[workers] = step.demand

    def clear(self) -> None:
        """Begin another round."""
        self.demands.clear()
