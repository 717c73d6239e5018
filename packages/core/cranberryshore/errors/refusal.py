"""Refusals and failures, each of which states whether the work may have run."""

from enum import Enum

import attrs


class ExecutionStatus(Enum):
    """Whether the refused or failed job or request has been executed."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN_AND_FAILED = "ran_and_failed"


class ErrorType(Enum):
    """All errors returned to callers and operators, as listed in docs/API.md."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DEADLINE_PASSED = "deadline_passed"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    ID_NOT_ISSUED = "id_not_issued"
    ID_EXPIRED = "id_expired"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    OWNER_CLOSED = "owner_closed"
    OWNER_LOST = "owner_lost"
    # The issuer of the job has died, and the outcome of the job is not known yet.
    TRUTH_PENDING = "truth_pending"
    TASK_FAILED = "task_failed"
    TASK_LOST = "task_lost"
    CANCELLED = "cancelled"
    NO_WORKER = "no_worker"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    CONFLICT = "conflict"
    CHANGE_UNCERTAIN = "change_uncertain"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_BUDGET_EXHAUSTED = "key_budget_exhausted"
    WATCH_GAP = "watch_gap"
    HEAD_TOO_LARGE = "head_too_large"
    EMPTY_LINES = "empty_lines"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"
    CLOSING = "closing"
    INTERNAL = "internal"


HTTP_STATUS = {
    ErrorType.MALFORMED: 400,
    ErrorType.TOO_LARGE: 413,
    ErrorType.UNAUTHENTICATED: 401,
    ErrorType.FORBIDDEN: 403,
    ErrorType.NOT_FOUND: 404,
    ErrorType.NEVER_FITS: 422,
    ErrorType.QUEUE_FULL: 503,
    ErrorType.DEADLINE_UNMEETABLE: 503,
    ErrorType.DEADLINE_PASSED: 504,
    ErrorType.DRAINING: 503,
    ErrorType.NOT_READY: 503,
    ErrorType.ID_NOT_ISSUED: 409,
    ErrorType.ID_EXPIRED: 410,
    ErrorType.ISSUER_UNREACHABLE: 503,
    ErrorType.OWNER_CLOSED: 409,
    ErrorType.OWNER_LOST: 502,
    ErrorType.TRUTH_PENDING: 503,
    ErrorType.TASK_FAILED: 502,
    ErrorType.TASK_LOST: 502,
    ErrorType.CANCELLED: 409,
    ErrorType.NO_WORKER: 503,
    ErrorType.NO_UPSTREAM: 503,
    ErrorType.UPSTREAM_LOST: 502,
    ErrorType.UPSTREAM_TIMEOUT: 504,
    ErrorType.CONFLICT: 409,
    ErrorType.CHANGE_UNCERTAIN: 503,
    ErrorType.STORE_UNAVAILABLE: 503,
    ErrorType.KEY_BUDGET_EXHAUSTED: 429,
    ErrorType.WATCH_GAP: 410,
    ErrorType.HEAD_TOO_LARGE: 431,
    ErrorType.EMPTY_LINES: 400,
    ErrorType.HEAD_TIMEOUT: 408,
    ErrorType.BODY_TIMEOUT: 408,
    ErrorType.NO_MEMORY: 503,
    ErrorType.NO_CONNECTION: 503,
    ErrorType.CLOSING: 503,
    ErrorType.INTERNAL: 500,
}


@attrs.frozen
class Refusal:
    """One refusal or failure as returned to the caller.

    Parameters
    ----------
    type : ErrorType
        Kind of the error, which also gives the HTTP status.
    claim : ExecutionStatus
        Accurate statement whether the job or request may have run.
    detail : str
        One sentence for people.
    retry_after_ms : int or None
        Time after which to retry, in milliseconds; ``None`` if a retry cannot succeed.

    Examples
    --------
    >>> Refusal(ErrorType.QUEUE_FULL, ExecutionStatus.NOT_RUN, "The queue is full.", 50).status
    503
    """

    type: ErrorType
    claim: ExecutionStatus
    detail: str
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status of the response."""
        return HTTP_STATUS[self.type]


def malformed(field: str, value: object, expected: str) -> Refusal:
    """Return the refusal of malformed input, with the field, its value and the expected form."""
    value_text = repr(value)[:80]
    return Refusal(
        ErrorType.MALFORMED,
        ExecutionStatus.NOT_RUN,
        f"{field}: got {value_text}, expected {expected}.",
    )
