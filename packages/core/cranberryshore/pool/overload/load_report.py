"""What an overloaded scheduler tells an entry instance."""

from typing import Annotated

import attrs
from msgspec import Meta

from cranberryshore.bounds import Amount

MAX_FILTER_BYTES = 65_536
"""Bound of a filter in a message; later versions may send a larger one than ``StartedJobs``."""


@attrs.frozen
class LoadReport:
    """Limit for one entry instance while its scheduler is overloaded.

    Parameters
    ----------
    credit : int
        Number of jobs of the entry instance that may be in flight: submitted and not ended.
    retry_after_ms : int
        Time in milliseconds that the scheduler needs for its backlog, over which refused callers
        should spread their retries.
    delay_ms : int
        Time in milliseconds that a submission currently waits before the scheduler reads it.
    started : bytes
        Filter of the jobs that may have been started lately, see ``StartedJobs``.
    """

    credit: Amount
    retry_after_ms: Amount
    delay_ms: Amount = 0
    started: Annotated[bytes, Meta(max_length=MAX_FILTER_BYTES)] = b""
