"""Decoding of records of other instances in the store, which other programs may have written."""

import msgspec
from result import Err, Ok, Result

from cranberryshore.bounds import MAX_AMOUNT, MAX_REASON_CHARACTERS, Rejection, is_address
from cranberryshore.messages import decode_json
from cranberryshore.pool import LostRun, MemberAddress


def decode_member(_name: str, text: str) -> Result[MemberAddress, Rejection]:
    """Return the registered instance of an entry."""
    try:
        member = decode_json(text.encode(), MemberAddress)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(Rejection(str(error)[:MAX_REASON_CHARACTERS]))
    if not is_address(member.address):
        return Err(Rejection("the address is not an IP address and a port"))
    return Ok(member)


def split_losses(text: str) -> Result[tuple[bytes, ...], Rejection]:
    """Return the encoded records of lost runs of an entry."""
    try:
        return Ok(tuple(bytes(item) for item in decode_json(text.encode(), list[msgspec.Raw])))
    except (msgspec.DecodeError, ValueError) as error:
        return Err(Rejection(str(error)[:MAX_REASON_CHARACTERS]))


def decode_lost_run(data: bytes) -> Result[LostRun, Rejection]:
    """Return one record of a lost run."""
    try:
        lost = decode_json(data, LostRun)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(Rejection(str(error)[:MAX_REASON_CHARACTERS]))
    if not 0 <= lost.age_seconds <= MAX_AMOUNT:
        return Err(Rejection("the age is no time"))
    return Ok(lost)
