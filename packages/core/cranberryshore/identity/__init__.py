"""Identifiers of entry instance incarnations and of submissions."""

from cranberryshore.identity.incarnation import (
    Incarnation,
    is_valid_name,
    new_incarnation,
    parse_incarnation,
)
from cranberryshore.identity.ledger import Claim, ClaimKind, SubmissionBatch, SubmissionLedger
from cranberryshore.identity.submission_id import SubmissionId, parse_submission_id

__all__ = [
    "Claim",
    "ClaimKind",
    "Incarnation",
    "SubmissionBatch",
    "SubmissionId",
    "SubmissionLedger",
    "is_valid_name",
    "new_incarnation",
    "parse_incarnation",
    "parse_submission_id",
]
