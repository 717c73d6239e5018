"""Jobs with waiting tasks, in the order in which they are placed.

In an overload of a large pool, hundreds of jobs wait, and thousands of runs a second end, each of
which makes room for a task. The jobs are therefore kept sorted instead of being sorted for each of
these changes. Their urgency changes with time, so all are sorted again at each tick.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator

import attrs

from cranberryshore.pool import ordering
from cranberryshore.pool.work import PoolJob

SortedEntry = tuple[tuple[int, float, int], int, PoolJob]
"""Sort key, number in the order of arrival, and job."""


@attrs.define(eq=False)
class WaitingJobs:
    """Jobs with waiting tasks, sorted by :func:`ordering.waiting_sort_key`.

    Parameters
    ----------
    smallest_millicores : int
        Lower bound of the demand of all waiting tasks.
    """

    entries: list[SortedEntry] = attrs.field(factory=list)
    positions: dict[PoolJob, tuple[tuple[int, float, int], int]] = attrs.field(factory=dict)
    added_count: int = 0
    smallest_millicores: int = 0

    def update(self, job: PoolJob, now: float) -> None:
        """Add a job, or sort it again; remove it if it has no waiting tasks."""
        position = self.positions.pop(job, None)
        if position is not None:
            self._remove_entry(position)
        if job.is_ended or not job.waiting_tasks:
            return
        number = position[1] if position is not None else self._next_number()
        if not self.entries or job.smallest_millicores < self.smallest_millicores:
            self.smallest_millicores = job.smallest_millicores
        key = ordering.waiting_sort_key(job, now)
        self.positions[job] = (key, number)
        insort(self.entries, (key, number, job))

    def remove(self, job: PoolJob) -> None:
        """Remove a job that has ended."""
        position = self.positions.pop(job, None)
        if position is not None:
            self._remove_entry(position)

    def sort(self, now: float) -> None:
        """Sort all jobs by their urgency at time ``now``."""
        self.entries = sorted(
            (ordering.waiting_sort_key(job, now), number, job)
            for job, (_, number) in self.positions.items()
            if job.waiting_tasks
        )
        self.positions = {job: (key, number) for key, number, job in self.entries}
        demands = (job.smallest_millicores for job in self.positions)
        self.smallest_millicores = min(demands, default=0)

    def __iter__(self) -> Iterator[PoolJob]:
        return (job for _, _, job in self.entries if job.waiting_tasks)

    def __len__(self) -> int:
        return len(self.entries)

    def _next_number(self) -> int:
        self.added_count += 1
        return self.added_count

    def _remove_entry(self, position: tuple[tuple[int, float, int], int]) -> None:
        del self.entries[bisect_left(self.entries, position)]
