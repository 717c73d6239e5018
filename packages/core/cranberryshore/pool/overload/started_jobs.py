"""Jobs that a scheduler has started lately, in a form that fits a heartbeat.

Designed for callers that get no answer, for example because their entry instance fails, and send
the same job 1.3 s later to another one, which has no credit. It must not refuse the job as not run.
"""

from collections.abc import Iterable
from zlib import crc32

import attrs

FILTER_BITS = 8192
"""Size of the Bloom filter: 1 KB a heartbeat, about 1.7 Mbit/s to 31 instances while overloaded.
With 250 starts a second, about one in ten other jobs passes the gate without credit."""

INDEX_BITS = 13
"""Bits of a hash that select one bit of the filter."""

GENERATION_SECONDS = 2.0
"""Time for which started jobs are collected in one part."""

GENERATIONS = 3
"""Parts that are kept: jobs are remembered for 4 to 6 s. Callers wait for about 1.54 s and the time
for their work, which is less than a second, and repeat the job 1.3 s later."""


@attrs.define(eq=False)
class StartedJobs:
    """Collects started jobs, and forgets them after some seconds.

    Parameters
    ----------
    generations : list of set of str
        Jobs by the time of their collection, the latest ones last.
    began_at : float
        Time at which the latest part began.

    Examples
    --------
    >>> jobs = StartedJobs()
    >>> jobs.add(["a"], 0.0)
    >>> "a" in jobs, "b" in jobs
    (True, False)
    >>> may_contain(jobs.to_filter(), "a"), may_contain(jobs.to_filter(), "b")
    (True, False)
    """

    generations: list[set[str]] = attrs.field(factory=lambda: [set()])
    began_at: float = float("-inf")

    def add(self, jobs: Iterable[str], now: float) -> None:
        """Add jobs that have been started; those that are added again are kept for longer."""
        if now - self.began_at >= GENERATION_SECONDS:
            self.generations = [*self.generations[1 - GENERATIONS :], set()]
            self.began_at = now
        self.generations[-1].update(jobs)

    def __contains__(self, job: str) -> bool:
        return any(job in part for part in self.generations)

    def to_filter(self) -> bytes:
        """Return a Bloom filter of the jobs."""
        bits = bytearray(FILTER_BITS // 8)
        for job in set().union(*self.generations):
            for index in _indices(job):
                bits[index >> 3] |= 1 << (index & 7)
        return bytes(bits)


def may_contain(bits: bytes, job: str) -> bool:
    """Return whether a filter contains a job; sometimes also for a job that it does not contain.

    Examples
    --------
    >>> may_contain(b"", "a")
    False
    """
    if len(bits) * 8 != FILTER_BITS:
        return False
    return all(bits[index >> 3] & 1 << (index & 7) for index in _indices(job))


def _indices(job: str) -> tuple[int, int]:
    value = crc32(job.encode())
    mask = FILTER_BITS - 1
    return value & mask, value >> INDEX_BITS & mask
