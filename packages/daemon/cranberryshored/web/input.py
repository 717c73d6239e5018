"""Reading and checking what callers send."""

from typing import TypeVar

import attrs
import msgspec
from aiohttp.web import HTTPRequestEntityTooLarge, Request

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal, malformed
from cranberryshore.messages import decode_json
from cranberryshored.web.answers import RefusalError

T = TypeVar("T")


async def read_body(request: Request) -> bytes:
    """Return the whole body; raises the refusal if it is too large."""
    if not request.can_read_body:
        return b""
    try:
        return await request.read()
    except HTTPRequestEntityTooLarge as error:
        refusal = Refusal(ErrorType.TOO_LARGE, ExecutionStatus.NOT_RUN, "The body is too large.")
        raise RefusalError(refusal) from error


def decode_body(body: bytes, type_: type[T]) -> T:
    """Decode a JSON body; raises the refusal with the path of the fault."""
    try:
        known = {field.name for field in attrs.fields(type_)}
        for name in decode_json(body, dict[str, msgspec.Raw]):
            if name not in known:
                expected = f"one of {', '.join(sorted(known))}"
                raise RefusalError(malformed("field", name, expected))
        return decode_json(body, type_)
    except (msgspec.DecodeError, ValueError) as error:
        raise RefusalError(malformed("body", f"{len(body)} bytes", str(error))) from error


def query_number(request: Request, name: str, default: int, most: int) -> int:
    """Return a number from the query; raises the refusal if it is out of bounds."""
    text = request.query.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or int(text) > most:
        raise RefusalError(malformed(name, text, f"a number from 0 to {most}"))
    return int(text)


def header_number(request: Request, name: str, most: int) -> int | None:
    """Return a number from a header, or ``None`` if there is none."""
    text = request.headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or not 1 <= int(text) <= most:
        raise RefusalError(malformed(name, text, f"a number from 1 to {most}"))
    return int(text)
