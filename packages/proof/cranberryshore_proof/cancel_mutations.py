"""Mutations of a pool that concern what has to be known before a cancel is confirmed.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

from collections.abc import Callable
from types import SimpleNamespace

from cranberryshore.pool import (
    CancelledJobs,
    CancelSpread,
    Outcome,
    OwedReply,
    Scheduler,
    cancelling,
)
from cranberryshore.pool.cancelling import Recipient
from cranberryshored.pool import (
    PoolDaemon,
    outcomes,
)
from cranberryshored.pool.cancel_service import CancelAsk, CancelService
from cranberryshored.pool.entry_service import EntryService

_CANCEL, _ASK_SCHEDULER, _RENEW = (
    Scheduler.cancel,
    CancelService._ask_scheduler,
    CancelledJobs.renew,
)


def _constant(value: object) -> Callable:
    return lambda *arguments: value


def _settle_all(self: CancelSpread) -> list[OwedReply]:
    settled, self.owed = self.owed, []
    return settled


def _is_silent_recipient(self: CancelSpread, recipient: Recipient, now: float) -> bool:
    return recipient.is_silent(now)


def _cancel_for_entry(self: Scheduler, job_id: str, entry: str | None, now: float) -> None:
    if entry is not None:
        _CANCEL(self, job_id, entry, now)


def _ask_first_scheduler(self: CancelService, ask: CancelAsk, moment: float) -> None:
    if ask.sent_to == ("", 0):
        _ASK_SCHEDULER(self, ask, moment)


def _renew_unknown(self: CancelledJobs, job: str, now: float) -> int | None:
    return self.note(job, now) if job in self.entries else _RENEW(self, job, now)


def _renew_or_ignore(self: CancelledJobs, job: str, now: float) -> int:
    return _RENEW(self, job, now) or self.last_number


CANCEL_MUTATIONS = (
    ("cancel: it is confirmed at once", CancelSpread, "settle", _settle_all),
    ("cancel: it is not passed on", CancelSpread, "due", _constant(())),
    ("cancel: it is never confirmed", CancelSpread, "settle", _constant(())),
    ("cancel: silent instances are not awaited", CancelSpread, "_is_gone", _is_silent_recipient),
    ("cancel: ended instances are awaited for ever", CancelSpread, "_is_gone", _constant(False)),
    (
        "cancel: zones without a scheduler are not awaited",
        CancelSpread,
        "_known_by_zone",
        _constant({}),
    ),
    ("cancel: a repeated cancel is not passed on", CancelledJobs, "renew", _renew_unknown),
    ("cancel: a lost message is not repeated", cancelling, "RESEND_SECONDS", 1e9),
    (
        "cancel: a cancelled job runs when it arrives",
        CancelledJobs,
        "__contains__",
        _constant(False),
    ),
    ("cancel: cancelled jobs are forgotten", cancelling, "RETENTION_SECONDS", 0.0),
    ("cancel: the scheduler goes on", Scheduler, "cancel", _cancel_for_entry),
    ("cancel: the waiting caller is not answered", EntryService, "cancel", _constant(None)),
    ("cancel: the job goes on", PoolDaemon, "_jobs_cancelled", _constant(None)),
    (
        "cancel: earlier versions cannot read the outcome",
        outcomes,
        "Outcome",
        SimpleNamespace(CANCELLED=None, GIVEN_UP=Outcome.GIVEN_UP),
    ),
    (
        "cancel: it is not repeated to another scheduler",
        CancelService,
        "_ask_scheduler",
        _ask_first_scheduler,
    ),
    (
        "cancel: a new instance is not told of earlier ones",
        CancelService,
        "inform_new_members",
        _constant(None),
    ),
    ("cancel: a new scheduler is not told", CancelService, "_is_teller", _constant(False)),
    ("cancel: a full instance confirms", CancelledJobs, "renew", _renew_or_ignore),
)
