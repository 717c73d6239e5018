"""Batches of evidence: counts by minute, and exceptions in full."""

from enum import Enum
from hashlib import sha256

import attrs
import msgspec

BUCKET_SECONDS = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0)


class PromiseKind(Enum):
    """What was promised."""

    JOB = "job"
    REQUEST = "request"
    REFUSAL = "refusal"
    CONFIGURATION = "configuration"
    DRAIN = "drain"


class Outcome(Enum):
    """What became of a promise."""

    KEPT = "kept"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@attrs.frozen(order=True)
class CellKey:
    """Minute (Unix time over 60), kind, team and service of a cell."""

    minute: int
    kind: str
    team: str
    service: str


@attrs.define
class Cell:
    """Counts of one minute, kind, team and service.

    Promises count in the minute in which they were made, outcomes in that in which they came.
    ``times`` counts response times by bucket, the last one for all above ``BUCKET_SECONDS``.
    """

    key: CellKey
    promised: int = 0
    kept: int = 0
    broken: int = 0
    unknown: int = 0
    times: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKET_SECONDS) + 1))


@attrs.frozen
class EvidenceException:
    """One promise that was not kept, in full."""

    at: float
    kind: PromiseKind
    subject: str
    team: str
    outcome: Outcome
    detail: str


@attrs.frozen
class Batch:
    """What one incarnation noted between two writes.

    Parameters
    ----------
    writer : str
        Incarnation that writes.
    sequence : int
        Number of the batch, from 0 without gaps.
    since, until : float
        Unix times between which everything that was noted is in this batch.
    cells : tuple of Cell
        Counts.
    exceptions : tuple of EvidenceException
        Promises that were not kept.
    dropped : int
        Exceptions that the bound has cut off; they are in the counts.
    open_promises : int
        Promises without an outcome at ``until``.
    is_last : bool
        Whether the writer left in good order after it.
    """

    writer: str
    sequence: int
    since: float
    until: float
    cells: tuple[Cell, ...]
    exceptions: tuple[EvidenceException, ...]
    dropped: int
    open_promises: int
    is_last: bool


@attrs.frozen
class SealedBatch:
    """A batch as the store holds it, with a digest by which a cut-off one is noticed."""

    digest: str
    body: str


def encode_batch(batch: Batch) -> str:
    """Return the text that the store holds for a batch."""
    body = msgspec.json.encode(batch).decode()
    sealed = SealedBatch(sha256(body.encode()).hexdigest(), body)
    return msgspec.json.encode(sealed).decode()


def decode_batch(text: str) -> Batch | None:
    """Return the batch in a stored text; ``None`` if it is damaged.

    Examples
    --------
    >>> batch = Batch("a.e1.0", 0, 1.0, 2.0, (), (), 0, 0, False)
    >>> decode_batch(encode_batch(batch)) == batch, decode_batch(encode_batch(batch)[:-5])
    (True, None)
    """
    try:
        sealed = msgspec.json.decode(text, type=SealedBatch)
        if sha256(sealed.body.encode()).hexdigest() != sealed.digest:
            return None
        return msgspec.json.decode(sealed.body, type=Batch)
    except (msgspec.DecodeError, ValueError):
        return None
