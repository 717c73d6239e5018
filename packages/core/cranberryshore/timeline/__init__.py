"""Typed events of all processes, in an order that puts causes before effects."""

from cranberryshore.timeline.clock import HybridClock, Stamp
from cranberryshore.timeline.event import Event, EventKind
from cranberryshore.timeline.recorder import Recorder, merge_events

__all__ = ["Event", "EventKind", "HybridClock", "Recorder", "Stamp", "merge_events"]
