"""Typed events of all processes, in an order that puts causes before effects."""

from cranberryshore.timeline.clock import HybridClock, Stamp
from cranberryshore.timeline.event import Event, EventKind
from cranberryshore.timeline.explain import explain_events
from cranberryshore.timeline.log_records import LogRecord, explain_records, read_records
from cranberryshore.timeline.recorder import Recorder, merge_events

__all__ = [
    "Event",
    "EventKind",
    "HybridClock",
    "LogRecord",
    "Recorder",
    "Stamp",
    "explain_events",
    "explain_records",
    "merge_events",
    "read_records",
]
