"""Reading and validation of request bodies, query parameters and headers."""

from typing import TypeVar

import attrs
import msgspec
from aiohttp.web import HTTPRequestEntityTooLarge, Request

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.messages import decode_json
from cranberryshored.web.responses import RefusalError

T = TypeVar("T")


async def read_body(request: Request) -> bytes:
    """Return the complete body; raises ``RefusalError`` if it is too large."""
    if not request.can_read_body:
        return b""
    try:
        return await request.read()
    except HTTPRequestEntityTooLarge as error:
        refusal = Refusal(ErrorType.TOO_LARGE, ExecutionStatus.NOT_RUN, "The body is too large.")
        raise RefusalError(refusal) from error


def decode_body(body: bytes, type_: type[T]) -> T:
    """Decode a JSON body; raises ``RefusalError`` for an unknown field or a malformed value."""
    try:
        known = {field.name for field in attrs.fields(type_)}
        for name in decode_json(body, dict[str, msgspec.Raw]):
            if name not in known:
                expected = f"one of {', '.join(sorted(known))}"
                raise RefusalError(malformed("field", name, expected))
        return decode_json(body, type_)
    except (msgspec.DecodeError, ValueError) as error:
        raise RefusalError(malformed("body", f"{len(body)} bytes", str(error))) from error


def query_number(request: Request, name: str, default: int, maximum: int) -> int:
    """Return an integer query parameter; raises ``RefusalError`` unless it is 0 to ``maximum``."""
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or int(text) > maximum:
        raise RefusalError(malformed(name, text, f"a number from 0 to {maximum}"))
    return int(text)


def header_number(request: Request, name: str, maximum: int) -> int | None:
    """Return an integer header, or ``None`` without it.

    Raises ``RefusalError`` unless the value is 1 to ``maximum``.
    """
    text = request.headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= maximum:
        raise RefusalError(malformed(name, text, f"a number from 1 to {maximum}"))
    return int(text)
