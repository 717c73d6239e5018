"""Waiting time of the long polls for ended runs.

A busy worker answers a poll when a run ends, or when the waiting time is over. In a pool of some
hundred workers under high load, polls without news take a good part of the scheduler's processor,
of which there is too little then: the scheduler is the bottleneck, and every job is late. The more
workers are polled, the longer their polls may wait.
"""

MIN_WAIT_SECONDS = 0.15
"""Waiting time in a small pool, by which a lost poll delays the detection of ended runs."""

MAX_WAIT_SECONDS = 0.3
"""Longest waiting time: less than a third of a lease, which each poll extends, and with a lagging
event loop still less than the age up to which the reading of a worker's clock is used."""

MAX_POLLS_PER_SECOND = 1_500.0
"""Rate of polls without news up to which the waiting time is not extended; a poll takes 0.2 ms."""


def wait_seconds(worker_count: int) -> float:
    """Return the waiting time of each poll if a number of workers is polled.

    Examples
    --------
    >>> wait_seconds(24), wait_seconds(176), wait_seconds(300), wait_seconds(540)
    (0.15, 0.15, 0.2, 0.3)
    """
    return min(max(worker_count / MAX_POLLS_PER_SECOND, MIN_WAIT_SECONDS), MAX_WAIT_SECONDS)
