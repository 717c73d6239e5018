"""Batches of evidence: counts per minute, and a record of each promise that was not kept.

An instance makes a promise by accepting a job, a request or a configuration change, by refusing
work as not run, or by draining. The evidence shows afterwards whether the promise was kept.
"""

from enum import Enum
from hashlib import sha256

import attrs
import msgspec

from cranberryshore.bounds import DECODING_ERRORS

BUCKET_BOUNDS_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


class PromiseKind(Enum):
    """Kind of the promise that an instance has made."""

    JOB = "job"
    REQUEST = "request"
    REFUSAL = "refusal"
    CONFIGURATION = "configuration"
    DRAIN = "drain"


class PromiseOutcome(Enum):
    """Outcome of a promise."""

    KEPT = "kept"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@attrs.frozen(order=True)
class CellKey:
    """Minute (Unix time divided by 60), kind, team and service of a cell."""

    minute: int
    kind: str
    team: str
    service: str


@attrs.define
class Cell:
    """Counts of one minute, kind, team and service.

    A promise is counted in the minute in which it is made, an outcome in the minute in which it
    is recorded. ``times`` is a histogram of response times with the upper bounds
    ``BUCKET_BOUNDS_SECONDS`` and a last bucket for longer times.
    """

    key: CellKey
    promised: int = 0
    kept: int = 0
    broken: int = 0
    unknown: int = 0
    times: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKET_BOUNDS_SECONDS) + 1))


@attrs.frozen
class UnkeptPromise:
    """One promise that was broken or whose outcome is unknown.

    Parameters
    ----------
    at : float
        Unix time at which the outcome was recorded.
    subject : str
        Id of the job, name of the service, configuration revision or draining incarnation.
    team : str
        Team, or the operator of a configuration change; empty for a drain.
    detail : str
        Reason, as a sentence for people.
    """

    at: float
    kind: PromiseKind
    subject: str
    team: str
    outcome: PromiseOutcome
    detail: str


@attrs.frozen
class Batch:
    """Evidence that one incarnation recorded between two writes to the store.

    Parameters
    ----------
    sequence : int
        Numbers the writer's batches from 0 without gaps.
    since, until : float
        Unix times between which the batch holds everything that its writer recorded.
    dropped : int
        Unkept promises omitted from ``exceptions`` because of its size limit; the cells count them.
    open_promises : int
        Promises without an outcome at ``until``.
    is_last : bool
        Whether the writer shut down cleanly after this batch.
    """

    writer: str
    sequence: int
    since: float
    until: float
    cells: tuple[Cell, ...]
    exceptions: tuple[UnkeptPromise, ...]
    dropped: int
    open_promises: int
    is_last: bool


@attrs.frozen
class StoredBatch:
    """A serialized batch with a digest that reveals truncation or alteration."""

    digest: str
    body: str


def encode_batch(batch: Batch) -> str:
    """Return the serialized form of a batch for the store."""
    body = msgspec.json.encode(batch).decode()
    stored = StoredBatch(sha256(body.encode()).hexdigest(), body)
    return msgspec.json.encode(stored).decode()


def decode_batch(text: str) -> Batch | None:
    """Return the batch in a stored text, or ``None`` if it is damaged.

    Examples
    --------
    >>> batch = Batch("a.e1.0", 0, 1.0, 2.0, (), (), 0, 0, False)
    >>> decode_batch(encode_batch(batch)) == batch, decode_batch(encode_batch(batch)[:-5])
    (True, None)
    """
    try:
        stored = msgspec.json.decode(text, type=StoredBatch)
        if sha256(stored.body.encode()).hexdigest() != stored.digest:
            return None
        return msgspec.json.decode(stored.body, type=Batch)
    except DECODING_ERRORS:
        return None
