"""Complete responses of the guard to clients that it refuses."""

from collections.abc import Callable
from http import HTTPStatus

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.intake import IntakeCause
from cranberryshore.messages import encode_json

RETRY_AFTER_SECONDS = 1
"""Memory and connections are usually free after the stall limit, one second."""

BodyFormat = Callable[[IntakeCause], bytes]


def platform_body(cause: IntakeCause) -> bytes:
    """Return the body of a refusal in the platform's API."""
    return encode_json({"error": cause.detail})


def api_body(cause: IntakeCause) -> bytes:
    """Return the body of a refusal in the API of ``cranberryshored``."""
    is_body = cause is IntakeCause.BODY_TOO_LARGE
    type_ = ErrorType.TOO_LARGE if is_body else ErrorType(cause.value)
    retry_after_ms = RETRY_AFTER_SECONDS * 1000 if cause.may_retry else None
    # This request has not run, but an earlier one under the same id may have.
    refusal = Refusal(type_, ExecutionStatus.MAY_HAVE_RUN, cause.detail, retry_after_ms)
    return encode_json({"error": refusal})


def refusal_reply(cause: IntakeCause, body_format: BodyFormat) -> bytes:
    r"""Return a complete HTTP response that closes the connection.

    Examples
    --------
    >>> refusal_reply(IntakeCause.HEAD_TOO_LARGE, platform_body).split(b"\r\n")[0]
    b'HTTP/1.1 431 Request Header Fields Too Large'
    """
    body = body_format(cause)
    status = HTTPStatus(cause.status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if cause.may_retry:
        lines.append(f"Retry-After: {RETRY_AFTER_SECONDS}")
    return "\r\n".join((*lines, "", "")).encode() + body
