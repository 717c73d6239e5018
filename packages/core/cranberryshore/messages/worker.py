"""Frames of the worker session protocol: JSON arrays over one WebSocket per owner.

An owner is an incarnation of an entry daemon. A task is identified by its job id and its index in
the job.
"""

from enum import Enum
from typing import Any

import attrs
import msgspec

from cranberryshore.ownership.record import TaskRecord
from cranberryshore.work.batch import TaskBatch
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import TaskResult


@attrs.frozen
class Open:
    """First frame of a session; the worker then rejects frames of the owner's earlier sessions."""

    owner: str
    session: int
    worker_incarnation: str


@attrs.frozen
class Opened:
    """Reply to ``Open``; ``known`` identifies all tasks that the worker received from the owner."""

    worker_incarnation: str
    total: Capacity
    known: tuple[tuple[str, int], ...]


class RejectReason(Enum):
    """Why a worker refuses a session or a task.

    ``BUSY`` means a lack of free capacity, ``DUPLICATE`` that the worker has already received the
    task, and ``STALE_SESSION`` that the owner has opened a newer session.
    """

    BUSY = "busy"
    OWNER_CLOSED = "owner_closed"
    STALE_SESSION = "stale_session"
    DUPLICATE = "duplicate"
    WRONG_INCARNATION = "wrong_incarnation"


@attrs.frozen
class OpenRefused:
    """Reply to ``Open`` on failure."""

    reason: RejectReason


@attrs.frozen
class Start:
    """Starts tasks; the worker accepts or rejects each task separately."""

    batches: tuple[TaskBatch, ...]


@attrs.frozen
class Stop:
    """Stops all tasks of the given jobs."""

    jobs: tuple[str, ...]


@attrs.frozen
class Ack:
    """Acknowledges all ``Results`` frames up to sequence number ``through``."""

    through: int


@attrs.frozen
class CloseOwner:
    """Makes the worker refuse the owner from now on and send an ``OwnerReport`` of this number."""

    number: int
    owner: str


@attrs.frozen
class Results:
    """Job id and result of each task that has ended."""

    sequence: int
    results: tuple[tuple[str, TaskResult], ...]


@attrs.frozen
class Rejected:
    """Tasks that the worker has refused to start; only another ``Start`` frame can start them."""

    reason: RejectReason
    tasks: tuple[tuple[str, int], ...]


@attrs.frozen
class Usage:
    """Capacity that each owner uses on the worker; also the worker's periodic heartbeat."""

    by_owner: dict[str, Capacity]


@attrs.frozen
class OwnerReport:
    """Reply to ``CloseOwner``: the records of the owner's tasks.

    ``evicted_through`` is the highest sequence number of a job id of which the worker has evicted
    records, -1 if there is none.
    """

    number: int
    owner: str
    tasks: tuple[TaskRecord, ...]
    evicted_through: int = -1


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

_FRAME_TYPES: dict[str, type] = {
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
_FRAME_DECODERS = {name: msgspec.json.Decoder(type_) for name, type_ in _FRAME_TYPES.items()}
_frame_list_decoder = msgspec.json.Decoder(list[tuple[str, msgspec.Raw]])


def encode_frames(frames: list[Any]) -> str:
    """Encode frames as the text of one WebSocket message.

    Examples
    --------
    >>> encode_frames([Ack(3)])
    '[["Ack",{"through":3}]]'
    """
    return msgspec.json.encode([(type(frame).__name__, frame) for frame in frames]).decode()


def decode_frames(text: str) -> list[Any]:
    """Decode a WebSocket message; raise ``msgspec.DecodeError`` if a frame is malformed."""
    try:
        frames = _frame_list_decoder.decode(text)
        return [_FRAME_DECODERS[kind].decode(body) for kind, body in frames]
    except (RecursionError, KeyError) as error:
        raise msgspec.DecodeError(f"{type(error).__name__}: {error}") from error
