"""Jobs that end without having been offered to a worker, for the metrics."""

from enum import Enum

from cranberryshore.pool import QueueSpec, WorkRequest

UNTRIED_TARGET_SHARE = 0.25
"""Share of the target response time after which the end of an untried job is counted: an earlier
refusal leaves the caller enough time to turn elsewhere."""


class UntriedCause(Enum):
    """Why a job ended that was not offered to a worker.

    ``LEFT`` and ``UNANSWERED`` are upper bounds: the entry instance does not know whether the
    scheduler has offered these jobs.
    """

    REFUSED = "refused"
    LATE = "late"
    NO_SCHEDULER = "no_scheduler"
    LEFT = "left"
    UNANSWERED = "unanswered"


def is_untried_too_long(queue: QueueSpec, request: WorkRequest, waited_seconds: float) -> bool:
    """Return whether a job that has not been tried has cost its caller too much time.

    Examples
    --------
    >>> from cranberryshore.pool import StepSpec
    >>> from cranberryshore.work import Capacity
    >>> queue = QueueSpec("q", "h", "/q/", "s", slack_factor=1.0, aim_ms=100)
    >>> request = WorkRequest("j", "q", "", (StepSpec(1, Capacity(1000), 100),), 1000)
    >>> is_untried_too_long(queue, request, 0.04), is_untried_too_long(queue, request, 0.06)
    (False, True)
    """
    target_ms = queue.response_target_ms(request.steps[0].estimate_ms)
    return waited_seconds * 1000 > UNTRIED_TARGET_SHARE * target_ms
