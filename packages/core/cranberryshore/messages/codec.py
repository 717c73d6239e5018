"""Message encoding: MessagePack between daemons, JSON for HTTP APIs and stored data."""

from collections.abc import Callable
from functools import cache
from typing import Any, TypeVar

import attrs
import msgspec

from cranberryshore.bounds import DECODING_ERRORS
from cranberryshore.errors import Refusal
from cranberryshore.messages import peer, pool
from cranberryshore.timeline.clock import HybridTimestamp

T = TypeVar("T")

# The messages of an envelope. The other types are sent inside PeerCall and PeerReply.
PeerMessage = (
    peer.Heartbeat
    | peer.Demands
    | peer.Leave
    | peer.LoanAsk
    | peer.LoanGrants
    | peer.LoanReturns
    | peer.LoanRecall
    | peer.LoansHeld
    | peer.IsolatedWorker
    | peer.PeerCall
    | peer.PeerReply
    | pool.Beat
    | pool.SubmitWork
    | pool.CancelWork
    | pool.WorkEnded
    | pool.ConfigNews
    | pool.ConfigRequest
    | pool.RosterNews
    | pool.RosterChanges
    | pool.LossNews
    | pool.CancelMessage
)

_MESSAGE_TYPES: dict[str, type] = {
    type_.__name__: type_
    for type_ in (
        peer.Heartbeat,
        peer.Demands,
        peer.Leave,
        peer.LoanAsk,
        peer.LoanGrants,
        peer.LoanReturns,
        peer.LoanRecall,
        peer.LoansHeld,
        peer.IsolatedWorker,
        peer.PeerCall,
        peer.PeerReply,
        pool.Beat,
        pool.SubmitWork,
        pool.CancelWork,
        pool.WorkEnded,
        pool.ConfigNews,
        pool.ConfigRequest,
        pool.RosterNews,
        pool.RosterChanges,
        pool.LossNews,
        pool.CancelRequest,
        pool.CancelConfirmed,
        pool.CancelNews,
        pool.CancelNewsNoted,
        peer.SubmitCall,
        peer.JobQuery,
        peer.CancelCall,
        peer.TimelineQuery,
        peer.ConfigQuery,
        peer.RolloutQuery,
        peer.RolloutAnswer,
        peer.JobAnswer,
        peer.TimelineAnswer,
        peer.ConfigAnswer,
        Refusal,
    )
}

_INDEPENDENT_ITEMS: dict[type, tuple[str, Callable[[Any], str]]] = {
    pool.Beat: ("members", lambda member: member.incarnation),
    pool.LossNews: ("lost_runs", lambda lost: f"{lost.task} on {lost.worker}"),
}
"""Field with independent items, and the name of an item, by type of message."""

ENCODING_ERRORS = (OverflowError, TypeError, ValueError, RecursionError)
"""Errors of the codec for values that it has no representation for, such as large integers."""


@attrs.frozen
class EncodedMessage:
    """A message in MessagePack and the name of its type."""

    kind: str
    body: bytes


@attrs.frozen
class Envelope:
    """A batch of messages from one daemon to another.

    Parameters
    ----------
    sender : str
        Incarnation of the sender.
    target : str
        Incarnation of the receiver, or empty for any process at the address. A process that has
        replaced the target under the same address drops its messages.
    stamp : HybridTimestamp
        Sender's hybrid logical time.
    """

    sender: str
    target: str
    stamp: HybridTimestamp
    parts: tuple[EncodedMessage, ...]


_encoder = msgspec.msgpack.Encoder()
_json_encoder = msgspec.json.Encoder()


@cache
def _decoder(type_: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(type_)


@cache
def _json_decoder(type_: type) -> msgspec.json.Decoder:
    return msgspec.json.Decoder(type_)


def encode_message(message: Any) -> EncodedMessage:
    """Encode one message as MessagePack, together with the name of its type."""
    return EncodedMessage(type(message).__name__, _encoder.encode(message))


def encoding_error(value: Any) -> str:
    """Return why a value cannot be sent in a message; empty if it can.

    Examples
    --------
    >>> encoding_error(2**63), encoding_error(2**64)
    ('', "can't serialize ints < -2**63 or > 2**64 - 1")
    """
    try:
        _encoder.encode(value)
    except ENCODING_ERRORS as error:
        return str(error)
    return ""


def without_unencodable(message: Any) -> tuple[Any, tuple[str, ...]]:
    """Return a message without the items that cannot be sent, and the names of these items.

    Only messages whose items hold independently of each other are reduced. The others, such as
    lists of workers, have versions: a list must be the same on all instances that have a version.

    Examples
    --------
    >>> from cranberryshore.pool import LostRun
    >>> lost = LostRun("j.0.0.0", 1, "w", 2**70)
    >>> without_unencodable(pool.LossNews((lost,)))
    (LossNews(lost_runs=()), ('j.0.0.0 on w',))
    """
    independent = _INDEPENDENT_ITEMS.get(type(message))
    if independent is None:
        return message, ()
    field, name_of = independent
    items = getattr(message, field)
    left_out = tuple(item for item in items if encoding_error(item))
    kept = tuple(item for item in items if not encoding_error(item))
    return attrs.evolve(message, **{field: kept}), tuple(name_of(item) for item in left_out)


def decode_message(kind: str, body: bytes) -> Any | None:
    """Decode one message; return ``None`` if its kind is unknown or its body is malformed."""
    type_ = _MESSAGE_TYPES.get(kind)
    if type_ is None:
        return None
    try:
        return _decoder(type_).decode(body)
    except DECODING_ERRORS:
        return None


def encode_envelope(sender: str, target: str, stamp: HybridTimestamp, messages: list[Any]) -> bytes:
    """Encode an envelope with messages for one peer.

    Examples
    --------
    >>> data = encode_envelope("a.e1.0", "", HybridTimestamp(1, 0), [peer.Leave()])
    >>> [part.kind for part in decode_envelope(data).parts]
    ['Leave']
    """
    parts = tuple(encode_message(message) for message in messages)
    return _encoder.encode(Envelope(sender, target, stamp, parts))


def decode_envelope(data: bytes) -> Envelope | None:
    """Decode an envelope; return ``None`` if it is malformed."""
    try:
        return _decoder(Envelope).decode(data)
    except DECODING_ERRORS:
        return None


def encode_json(message: Any) -> bytes:
    """Encode one message as JSON."""
    return _json_encoder.encode(message)


def decode_json(data: bytes, type_: type[T]) -> T:
    """Decode JSON; raise ``msgspec.DecodeError`` with the path of the invalid value.

    No other error is raised, also if the data is nested too deeply.
    """
    try:
        return _json_decoder(type_).decode(data)
    except RecursionError as error:
        raise msgspec.DecodeError(str(error)) from error
