"""Reasons for which the input of a client is refused or its connection is closed."""

from enum import Enum


class IntakeCause(Enum):
    """Reason, as shown in metrics and logs."""

    HEAD_TOO_LARGE = "head_too_large"
    EMPTY_LINES = "empty_lines"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    NO_MEMORY = "no_memory"
    NO_CONNECTION = "no_connection"
    CLOSING = "closing"
    IDLE = "idle"
    UNREAD_RESPONSE = "unread_response"

    @property
    def status(self) -> int:
        """Return the HTTP status of the refusal."""
        return STATUS_BY_CAUSE.get(self, 503)

    @property
    def detail(self) -> str:
        """Return one sentence for people."""
        return DETAIL_BY_CAUSE[self]

    @property
    def may_retry(self) -> bool:
        """Return whether the same request can succeed later."""
        return self.status in (408, 503)


STATUS_BY_CAUSE = {
    IntakeCause.HEAD_TOO_LARGE: 431,
    IntakeCause.EMPTY_LINES: 400,
    IntakeCause.MALFORMED: 400,
    IntakeCause.BODY_TOO_LARGE: 413,
    IntakeCause.HEAD_TIMEOUT: 408,
    IntakeCause.BODY_TIMEOUT: 408,
}

DETAIL_BY_CAUSE = {
    IntakeCause.HEAD_TOO_LARGE: "The head of the request is too large.",
    IntakeCause.EMPTY_LINES: "There are too many empty lines before the request.",
    IntakeCause.MALFORMED: "The request is malformed.",
    IntakeCause.BODY_TOO_LARGE: "The body is too large.",
    IntakeCause.HEAD_TIMEOUT: "The head of the request was not received in time.",
    IntakeCause.BODY_TIMEOUT: "The body was not received in time.",
    IntakeCause.NO_MEMORY: "This instance has no memory for the request.",
    IntakeCause.NO_CONNECTION: "This instance has too many connections.",
    IntakeCause.CLOSING: "This instance is shutting down.",
    IntakeCause.IDLE: "The connection was idle and another client needed it.",
    IntakeCause.UNREAD_RESPONSE: "The client did not read the response.",
}
