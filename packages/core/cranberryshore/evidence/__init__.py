"""Evidence of promises and their outcomes, in bounded memory and stored in batches."""

from cranberryshore.evidence.batch import (
    Batch,
    Cell,
    CellKey,
    PromiseKind,
    PromiseOutcome,
    StoredBatch,
    UnkeptPromise,
    decode_batch,
    encode_batch,
)
from cranberryshore.evidence.collector import EvidenceCollector
from cranberryshore.evidence.report import Gap, Report, ReportRow, make_report

__all__ = [
    "Batch",
    "Cell",
    "CellKey",
    "EvidenceCollector",
    "Gap",
    "PromiseKind",
    "PromiseOutcome",
    "Report",
    "ReportRow",
    "StoredBatch",
    "UnkeptPromise",
    "decode_batch",
    "encode_batch",
    "make_report",
]
