"""Bookkeeping of the submission ids that an incarnation has issued, and of their use."""

from enum import Enum

import attrs

from cranberryshore.identity.incarnation import Incarnation
from cranberryshore.identity.submission_id import SubmissionId

ID_LIFETIME_SECONDS = 3600.0
MAX_BATCH_SIZE = 1000


class SubmissionIdStatus(Enum):
    """Status of an id that a caller presents.

    ``NOT_ISSUED`` includes ids of other issuers and ids that were issued to another caller.
    """

    FRESH = "fresh"
    USED = "used"
    NOT_ISSUED = "not_issued"
    EXPIRED = "expired"


@attrs.frozen
class SubmissionIdCheck:
    """An id that a caller has presented, and its status."""

    kind: SubmissionIdStatus
    id: SubmissionId


@attrs.define
class SubmissionBatch:
    """Consecutive ids issued to one caller."""

    caller: str
    first: int
    count: int
    expires_at: float
    used: set[int] = attrs.field(factory=set)

    def contains(self, sequence: int) -> bool:
        """Return whether ``sequence`` belongs to this batch."""
        return self.first <= sequence < self.first + self.count


@attrs.define
class SubmissionLedger:
    """Issues submission ids and accepts each of them once.

    An id is accepted only from the caller to which it was issued, only before its batch
    expires, and only once. An expired batch is deleted; whether one of its ids was used can no
    longer be determined.

    Parameters
    ----------
    incarnation : Incarnation
        Issuer of the ids.

    Examples
    --------
    >>> ledger = SubmissionLedger(Incarnation("a", "e1", "0" * 16))
    >>> ids = ledger.issue("desk", 2, now=0.0)
    >>> ledger.claim(ids[0], "desk", now=1.0).kind
    <SubmissionIdStatus.FRESH: 'fresh'>
    >>> ledger.claim(ids[0], "desk", now=1.0).kind
    <SubmissionIdStatus.USED: 'used'>
    >>> ledger.claim(ids[1], "gate", now=1.0).kind
    <SubmissionIdStatus.NOT_ISSUED: 'not_issued'>
    """

    incarnation: Incarnation
    next_sequence: int = 0
    batches: list[SubmissionBatch] = attrs.field(factory=list)

    def issue(self, caller: str, count: int, now: float) -> list[SubmissionId]:
        """Issue ``count`` ids to ``caller``, valid for ``ID_LIFETIME_SECONDS``."""
        self._drop_expired(now)
        batch = SubmissionBatch(caller, self.next_sequence, count, now + ID_LIFETIME_SECONDS)
        self.batches.append(batch)
        self.next_sequence += count
        numbers = range(batch.first, batch.first + count)
        return [SubmissionId(self.incarnation, number) for number in numbers]

    def claim(self, id: SubmissionId, caller: str, now: float) -> SubmissionIdCheck:
        """Mark ``id`` as used if it is valid and unused; return the result of the check."""
        self._drop_expired(now)
        batch = self._batch_of(id.sequence)
        if id.issuer != self.incarnation or id.sequence >= self.next_sequence:
            return SubmissionIdCheck(SubmissionIdStatus.NOT_ISSUED, id)
        if batch is None:
            return SubmissionIdCheck(SubmissionIdStatus.EXPIRED, id)
        if batch.caller != caller:
            return SubmissionIdCheck(SubmissionIdStatus.NOT_ISSUED, id)
        if id.sequence in batch.used:
            return SubmissionIdCheck(SubmissionIdStatus.USED, id)
        batch.used.add(id.sequence)
        return SubmissionIdCheck(SubmissionIdStatus.FRESH, id)

    def is_unused(self, id: SubmissionId, now: float) -> bool:
        """Return whether ``id`` was issued, has not expired and has not been used."""
        self._drop_expired(now)
        batch = self._batch_of(id.sequence)
        return batch is not None and id.sequence not in batch.used

    def _batch_of(self, sequence: int) -> SubmissionBatch | None:
        low, high = 0, len(self.batches)
        while low < high:
            middle = (low + high) // 2
            batch = self.batches[middle]
            if batch.contains(sequence):
                return batch
            if sequence < batch.first:
                high = middle
            else:
                low = middle + 1
        return None

    def _drop_expired(self, now: float) -> None:
        expired = 0
        for batch in self.batches:
            if batch.expires_at > now:
                break
            expired += 1
        del self.batches[:expired]
