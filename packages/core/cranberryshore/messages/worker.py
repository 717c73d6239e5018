"""Frames of the worker's session protocol: JSON arrays over one WebSocket per owner."""

from enum import Enum
from typing import Any

import attrs
import msgspec

from cranberryshore.dispatch.effects import TaskBatch
from cranberryshore.ownership.record import TaskRecord
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import TaskResult


@attrs.frozen
class Open:
    """First frame of a session.

    The worker refuses frames of earlier sessions of the owner once a later one is open.
    """

    owner: str
    session: int
    worker_incarnation: str


@attrs.frozen
class Opened:
    """Answer to ``Open``: all tasks that the worker has received from the owner."""

    worker_incarnation: str
    total: Capacity
    known: tuple[tuple[str, int], ...]


class RejectReason(Enum):
    """Why a worker refuses."""

    BUSY = "busy"
    OWNER_CLOSED = "owner_closed"
    STALE_SESSION = "stale_session"
    DUPLICATE = "duplicate"
    WRONG_INCARNATION = "wrong_incarnation"


@attrs.frozen
class OpenRefused:
    """The session can not be opened."""

    reason: RejectReason


@attrs.frozen
class Start:
    """Start tasks; each job's tasks are started or rejected one by one."""

    batches: tuple[TaskBatch, ...]


@attrs.frozen
class Stop:
    """Stop all tasks of jobs."""

    jobs: tuple[str, ...]


@attrs.frozen
class Ack:
    """All ``Results`` frames up to ``through`` have been received."""

    through: int


@attrs.frozen
class CloseOwner:
    """Refuse an owner from now on and report its tasks."""

    number: int
    owner: str


@attrs.frozen
class Results:
    """Results of ended tasks: job id and result of each."""

    sequence: int
    results: tuple[tuple[str, TaskResult], ...]


@attrs.frozen
class Rejected:
    """Tasks that were not started and never will be by this message."""

    reason: RejectReason
    tasks: tuple[tuple[str, int], ...]


@attrs.frozen
class Usage:
    """What each owner holds on the worker; sent periodically, also as a sign of life."""

    by_owner: dict[str, Capacity]


@attrs.frozen
class OwnerReport:
    """Answer to ``CloseOwner``: the records of the owner's tasks."""

    number: int
    owner: str
    tasks: tuple[TaskRecord, ...]


Frame = (
    Open
    | Opened
    | OpenRefused
    | Start
    | Stop
    | Ack
    | CloseOwner
    | Results
    | Rejected
    | Usage
    | OwnerReport
)

_TYPES: dict[str, type] = {
    type_.__name__: type_
    for type_ in (
        Open,
        Opened,
        OpenRefused,
        Start,
        Stop,
        Ack,
        CloseOwner,
        Results,
        Rejected,
        Usage,
        OwnerReport,
    )
}
_DECODERS = {name: msgspec.json.Decoder(type_) for name, type_ in _TYPES.items()}
_outer = msgspec.json.Decoder(list[tuple[str, msgspec.Raw]])


def encode_frames(frames: list[Any]) -> str:
    """Encode frames that travel together.

    Examples
    --------
    >>> encode_frames([Ack(3)])
    '[["Ack",{"through":3}]]'
    """
    return msgspec.json.encode([(type(frame).__name__, frame) for frame in frames]).decode()


def decode_frames(text: str) -> list[Any]:
    """Decode frames; malformed ones raise ``msgspec.DecodeError``."""
    return [_DECODERS[kind].decode(body) for kind, body in _outer.decode(text)]
