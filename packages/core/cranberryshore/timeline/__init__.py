"""Events and log records of all processes, and the explanation of outcomes from them."""

from cranberryshore.timeline.clock import HybridClock, HybridTimestamp
from cranberryshore.timeline.event import Event, EventKind
from cranberryshore.timeline.explain import explain_events
from cranberryshore.timeline.log_records import LogRecord, explain_job, parse_log_records
from cranberryshore.timeline.recorder import EventRecorder, merge_events

__all__ = [
    "Event",
    "EventKind",
    "EventRecorder",
    "HybridClock",
    "HybridTimestamp",
    "LogRecord",
    "explain_events",
    "explain_job",
    "merge_events",
    "parse_log_records",
]
