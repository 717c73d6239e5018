"""Outcomes of jobs in messages between instances."""

from cranberryshore.messages import WorkEnded
from cranberryshore.pool import JobEnded, Outcome
from cranberryshore.pool.stream import StreamPosition


def encode_end(place: StreamPosition, end: JobEnded) -> WorkEnded:
    """Return the message with the outcome of a job.

    Earlier versions could not read an outcome that they do not know, and would wait for the message
    for ever.
    """
    is_cancelled = end.outcome is Outcome.CANCELLED
    outcome = Outcome.GIVEN_UP if is_cancelled else end.outcome
    return WorkEnded(
        place,
        end.job,
        outcome,
        detail=end.detail,
        retry_after_ms=end.retry_after_ms,
        failure=end.failure,
        is_cancelled=is_cancelled,
        is_late=end.is_late,
    )


def decode_end(message: WorkEnded) -> JobEnded:
    """Return the outcome of a job from a message."""
    outcome = Outcome.CANCELLED if message.is_cancelled else message.outcome
    return JobEnded(
        "",
        message.job,
        outcome,
        message.detail,
        message.retry_after_ms,
        failure=message.failure,
        is_late=message.is_late,
    )
