"""Jobs with waiting tasks, in the order in which they are placed.

In an overload of a large pool, hundreds of jobs wait, and thousands of runs a second end, each of
which makes room for a task. The jobs are therefore kept sorted instead of being sorted for each of
these changes. Their urgency changes with time, so all are sorted again at each tick.

Most of the waiting jobs fit on no worker at that moment. The sorted jobs are therefore divided into
blocks, and each block knows the smallest demand of its jobs by service, so that a round of
placement skips the blocks of which no job fits.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator, Mapping

import attrs

from cranberryshore.pool import ordering
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.work import PoolJob

SortedEntry = tuple[tuple[int, float, int], int, PoolJob]
"""Sort key, number in the order of arrival, and job."""

MAX_BLOCK_SIZE = 32
"""Number of jobs from which a block is divided: a round looks at each block once, and at all jobs
of a block of which one may fit, so both costs are similar for some thousand waiting jobs."""


@attrs.define(eq=False)
class JobBlock:
    """Consecutive jobs of the sorted ones.

    Parameters
    ----------
    smallest : dict or None
        Smallest millicores that any task of the jobs needs, by service; ``None`` if not known.
    """

    entries: list[SortedEntry]
    smallest: dict[str, int] | None = None

    def may_fit(self, free: Mapping[str, int], config: PoolConfig) -> bool:
        """Return whether a task of any job may fit into the free millicores of its service."""
        if self.smallest is None:
            self.smallest = self._find_smallest(config)
        for service, millicores in self.smallest.items():
            if millicores <= free.get(service, 0):
                return True
        return False

    def add(self, entry: SortedEntry, config: PoolConfig | None) -> None:
        """Add a job."""
        insort(self.entries, entry)
        if self.smallest is None or config is None:
            return
        job = entry[2]
        queue = job.queue_in(config)
        if queue is not None:
            known = self.smallest.get(queue.service, job.smallest_millicores)
            self.smallest[queue.service] = min(known, job.smallest_millicores)

    def remove(self, position: tuple[tuple[int, float, int], int]) -> None:
        """Remove the job at a position."""
        _, _, job = self.entries.pop(bisect_left(self.entries, position))
        if self.smallest is not None and job.smallest_millicores in self.smallest.values():
            self.smallest = None

    def divide(self, size: int) -> "JobBlock":
        """Remove all jobs but the first ones, and return a block of them."""
        other = JobBlock(self.entries[size:])
        del self.entries[size:]
        self.smallest = None
        return other

    def _find_smallest(self, config: PoolConfig) -> dict[str, int]:
        smallest: dict[str, int] = {}
        for _, _, job in self.entries:
            queue = job.queue_in(config)
            if queue is not None:
                known = smallest.get(queue.service, job.smallest_millicores)
                smallest[queue.service] = min(known, job.smallest_millicores)
        return smallest


@attrs.define(eq=False)
class WaitingJobs:
    """Jobs with waiting tasks, sorted by :func:`ordering.waiting_sort_key`.

    Parameters
    ----------
    blocks : list of JobBlock
        The sorted jobs; no block is empty.
    positions : dict
        Sort key and number of each job.
    config : PoolConfig or None
        Configuration by which the smallest demands of the blocks were found.
    """

    blocks: list[JobBlock] = attrs.field(factory=list)
    positions: dict[PoolJob, tuple[tuple[int, float, int], int]] = attrs.field(factory=dict)
    added_count: int = 0
    config: PoolConfig | None = None

    def update(self, job: PoolJob, now: float) -> None:
        """Add a job, or sort it again; remove it if it has no waiting tasks."""
        position = self.positions.pop(job, None)
        if position is not None:
            self._remove_entry(position)
        if job.is_ended or not job.waiting_tasks:
            return
        number = position[1] if position is not None else self._next_number()
        key = ordering.waiting_sort_key(job, now)
        self.positions[job] = (key, number)
        self._add_entry((key, number, job))

    def remove(self, job: PoolJob) -> None:
        """Remove a job that has ended."""
        position = self.positions.pop(job, None)
        if position is not None:
            self._remove_entry(position)

    def sort(self, now: float) -> None:
        """Sort all jobs by their urgency at time ``now``."""
        entries = sorted(
            (ordering.waiting_sort_key(job, now), number, job)
            for job, (_, number) in self.positions.items()
            if job.waiting_tasks
        )
        self.positions = {job: (key, number) for key, number, job in entries}
        size = MAX_BLOCK_SIZE // 2
        self.blocks = [
            JobBlock(entries[first : first + size]) for first in range(0, len(entries), size)
        ]

    def fitting(self, free: Mapping[str, int], config: PoolConfig) -> Iterator[tuple[PoolJob, str]]:
        """Yield the jobs of which a task may fit, in their order, with their services.

        ``free`` is the largest number of free millicores on a worker, by service. The caller may
        change it between two jobs; the jobs must stay as they are.
        """
        if config is not self.config:
            self.config = config
            for block in self.blocks:
                block.smallest = None
        limit = max(free.values(), default=0)
        for block in self.blocks:
            if not block.may_fit(free, config):
                continue
            for _, _, job in block.entries:
                # Most jobs are too large for all services, which is the cheapest test.
                if job.smallest_millicores > limit:
                    continue
                queue = job.queue_in(config)
                if queue is None or job.smallest_millicores > free.get(queue.service, 0):
                    continue
                if job.waiting_tasks:
                    yield job, queue.service
                    limit = max(free.values(), default=0)

    def __iter__(self) -> Iterator[PoolJob]:
        return (job for block in self.blocks for _, _, job in block.entries if job.waiting_tasks)

    def __len__(self) -> int:
        return len(self.positions)

    def _next_number(self) -> int:
        self.added_count += 1
        return self.added_count

    def _find_block(self, position: tuple[tuple[int, float, int], int]) -> int:
        """Return the number of the first block that does not end before a position."""
        return bisect_left(self.blocks, position, key=lambda block: block.entries[-1])

    def _add_entry(self, entry: SortedEntry) -> None:
        number = min(self._find_block(entry[:2]), len(self.blocks) - 1)
        if number < 0:
            self.blocks.append(JobBlock([entry]))
            return
        block = self.blocks[number]
        block.add(entry, self.config)
        if len(block.entries) > MAX_BLOCK_SIZE:
            self.blocks.insert(number + 1, block.divide(MAX_BLOCK_SIZE // 2))

    def _remove_entry(self, position: tuple[tuple[int, float, int], int]) -> None:
        number = self._find_block(position)
        block = self.blocks[number]
        block.remove(position)
        if not block.entries:
            del self.blocks[number]
