"""HTTP answers: results as JSON, refusals with their claim and when to come back."""

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


def json_answer(message: Any, status: int = 200) -> Response:
    """Return ``message`` as JSON."""
    return Response(body=encode_json(message), status=status, content_type=JSON_TYPE)


def refusal_answer(refusal: Refusal) -> Response:
    """Return a refusal with its status and, where coming back can help, ``Retry-After``."""
    headers = {}
    if refusal.retry_after_ms is not None:
        headers["Retry-After"] = str(ceil(refusal.retry_after_ms / 1000))
    body = encode_json(ErrorBody(refusal))
    return Response(body=body, status=refusal.status, content_type=JSON_TYPE, headers=headers)


def result_answer(result: Result[Any, Refusal], status: int = 200) -> Response:
    """Return a result or its refusal."""
    if isinstance(result, Err):
        return refusal_answer(result.err_value)
    return json_answer(result.ok_value, status)


class RefusalError(HTTPException):
    """Ends a handler with a refusal."""

    status_code = 400

    def __init__(self, refusal: Refusal) -> None:
        super().__init__()
        self.refusal = refusal
