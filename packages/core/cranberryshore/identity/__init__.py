"""Identifiers of entry instance incarnations and of submissions."""

from cranberryshore.identity.incarnation import (
    Incarnation,
    is_valid_name,
    new_incarnation,
    parse_incarnation,
)
from cranberryshore.identity.ledger import (
    SubmissionBatch,
    SubmissionIdCheck,
    SubmissionIdStatus,
    SubmissionLedger,
)
from cranberryshore.identity.submission_id import SubmissionId, parse_submission_id

__all__ = [
    "Incarnation",
    "SubmissionBatch",
    "SubmissionId",
    "SubmissionIdCheck",
    "SubmissionIdStatus",
    "SubmissionLedger",
    "is_valid_name",
    "new_incarnation",
    "parse_incarnation",
    "parse_submission_id",
]
