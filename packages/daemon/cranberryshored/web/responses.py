"""HTTP responses: results and refusals as JSON, refusals with ``Retry-After``."""

from math import ceil
from typing import Any

import attrs
from aiohttp.web import HTTPException, Response
from result import Err, Result

from cranberryshore.errors import Refusal
from cranberryshore.messages import encode_json

JSON_TYPE = "application/json"


@attrs.frozen
class ErrorBody:
    """Body of every refusal."""

    error: Refusal


def json_response(message: Any, status: int = 200) -> Response:
    """Return a response with ``message`` as JSON."""
    return Response(body=encode_json(message), status=status, content_type=JSON_TYPE)


def refusal_response(refusal: Refusal) -> Response:
    """Return the response for a refusal, with ``Retry-After`` if a retry can succeed."""
    headers = {}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(ceil(refusal.retry_after_ms / 1000))
    body = encode_json(ErrorBody(refusal))
    return Response(body=body, status=refusal.status, content_type=JSON_TYPE, headers=headers)


def result_response(result: Result[Any, Refusal], status: int = 200) -> Response:
    """Return the response for a result or for its refusal."""
    if isinstance(result, Err):
        return refusal_response(result.err_value)
    return json_response(result.ok_value, status)


class RefusalError(HTTPException):
    """Raised by a handler to respond with a refusal."""

    # Placeholder for ``HTTPException``; the response takes the status of the refusal.
    status_code = 400

    def __init__(self, refusal: Refusal) -> None:
        super().__init__()
        self.refusal = refusal
