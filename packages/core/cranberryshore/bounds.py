"""Bounds of values that other programs write, and the decoder of such values.

Entries of the store, requests of callers and answers of workers are decoded by
:func:`decode_bounded` into types whose fields have the bounds of this module. All numbers within
them fit the 64 bits of messages between instances, with room for sums.
"""

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Annotated, TypeVar

import attrs
import msgspec
from msgspec import Meta
from result import Err, Ok, Result

T = TypeVar("T")

MAX_AMOUNT = 10**9
"""Upper limit of amounts of a resource, in millicores or megabytes, and of durations, in
milliseconds: far above those of any worker."""

MAX_COUNT = 2**53
"""Upper limit of numbers that are counted up, and of times in milliseconds."""

MAX_REVISION = 2**63 - 1
MAX_TEXT_CHARACTERS = 1000
MAX_LABELS = 100
MAX_REASON_CHARACTERS = 300

Amount = Annotated[int, Meta(ge=0, le=MAX_AMOUNT)]
RealAmount = Annotated[float, Meta(ge=0, le=MAX_AMOUNT)]
SignedAmount = Annotated[int, Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
PositiveCount = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
Labels = Annotated[list[Text], Meta(max_length=MAX_LABELS)]

IDENTIFIER = compile_pattern(r"[!-~]{1,200}")
PORT = compile_pattern(r"[0-9]{1,5}")
MAX_PORT = 65_535

DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
"""Errors of the codec for malformed data; the last one for data that is nested too deeply."""


@attrs.frozen
class Rejection:
    """Why a value of another program cannot be used."""

    reason: str


def decode_bounded(decoder: msgspec.json.Decoder, data: str | bytes) -> Result[T, Rejection]:
    """Decode JSON of another program.

    Examples
    --------
    >>> decode_bounded(msgspec.json.Decoder(Amount), "5")
    Ok(5)
    >>> decode_bounded(msgspec.json.Decoder(Amount), "-5").err_value.reason
    'Expected `int` >= 0'
    """
    try:
        return Ok(decoder.decode(data))
    except DECODING_ERRORS as error:
        return Err(Rejection(str(error)[:MAX_REASON_CHARACTERS]))


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port that a process can listen on.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("[::1]:80")
    (True, True)
    >>> is_address("10.0.0.1:65536"), is_address("10.0.0.1"), is_address("worker:80")
    (False, False, False)
    """
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    if ip.is_unspecified or ip.is_multicast or "%" in host or is_bracketed != (ip.version == 6):
        return False
    return PORT.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT


def is_identifier(text: str) -> bool:
    """Return whether a text can name a worker in a header of a request.

    Examples
    --------
    >>> is_identifier("i-1"), is_identifier("a b"), is_identifier("")
    (True, False, False)
    """
    return IDENTIFIER.fullmatch(text) is not None
