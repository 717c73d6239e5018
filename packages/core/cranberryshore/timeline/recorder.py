"""Bounded record of the events of one process, and the merge of several records."""

from collections import deque
from collections.abc import Iterable

import attrs

from cranberryshore.timeline.clock import HybridClock
from cranberryshore.timeline.event import Event, EventKind

MAX_RECORDED_EVENTS = 50_000


@attrs.define
class EventRecorder:
    """Keeps the most recent events of one process.

    ``dropped`` counts the events evicted from the bounded record, so that a timeline can state
    that it is incomplete.
    """

    process: str
    clock: HybridClock = attrs.field(factory=HybridClock)
    events: deque[Event] = attrs.field(factory=lambda: deque(maxlen=MAX_RECORDED_EVENTS))
    dropped: int = 0

    def record(
        self,
        unix_time: float,
        kind: EventKind,
        subject: str = "",
        detail: str = "",
        count: int = 0,
    ) -> Event:
        """Append an event and return it."""
        event = Event(self.clock.next(unix_time), self.process, kind, subject, detail, count)
        if len(self.events) == self.events.maxlen:
            self.dropped += 1
        self.events.append(event)
        return event

    def events_for(self, subject: str) -> list[Event]:
        """Return the events about ``subject``, or all events if it is empty."""
        if not subject:
            return list(self.events)
        return [event for event in self.events if event.subject == subject]


def merge_events(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes in the order of their timestamps.

    Examples
    --------
    >>> one, two = EventRecorder("e1"), EventRecorder("e2")
    >>> _ = one.record(2.0, EventKind.JOB_ACCEPTED, "j")
    >>> _ = two.record(1.0, EventKind.JOB_ACCEPTED, "j")
    >>> [event.process for event in merge_events([one.events, two.events])]
    ['e2', 'e1']
    """
    events = [event for part in parts for event in part]
    return sorted(events, key=lambda event: (event.stamp, event.process))
