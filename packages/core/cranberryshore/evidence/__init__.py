"""What was promised and whether it was kept, in bounded memory and written in batches."""

from cranberryshore.evidence.batch import (
    Batch,
    Cell,
    CellKey,
    EvidenceException,
    Outcome,
    PromiseKind,
    SealedBatch,
    decode_batch,
    encode_batch,
)
from cranberryshore.evidence.book import EvidenceCollector
from cranberryshore.evidence.report import Gap, Report, ReportRow, make_report

__all__ = [
    "Batch",
    "Cell",
    "CellKey",
    "EvidenceCollector",
    "EvidenceException",
    "Gap",
    "Outcome",
    "PromiseKind",
    "Report",
    "ReportRow",
    "SealedBatch",
    "make_report",
    "decode_batch",
    "encode_batch",
]
