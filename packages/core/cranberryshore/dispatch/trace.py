"""Recorded inputs of a dispatcher and their replay."""

from collections import deque
from collections.abc import Iterable

import attrs

from cranberryshore.dispatch.dispatcher import Dispatcher, DispatchSettings
from cranberryshore.dispatch.effects import Effect
from cranberryshore.dispatch.inputs import Input

TRACE_ENTRIES = 20_000


@attrs.frozen
class TraceEntry:
    """One input with the time at which it was handled."""

    now: float
    input: Input


@attrs.define
class Trace:
    """The latest inputs of a dispatcher, in bounded memory."""

    entries: deque[TraceEntry] = attrs.field(factory=lambda: deque(maxlen=TRACE_ENTRIES))

    def record(self, input: Input, now: float) -> None:
        """Append one input."""
        self.entries.append(TraceEntry(now, input))


def replay(
    settings: DispatchSettings, owner: str, entries: Iterable[TraceEntry]
) -> list[tuple[Effect, ...]]:
    """Return the effects of each recorded input on a new dispatcher.

    Examples
    --------
    >>> from cranberryshore.dispatch.inputs import Tick
    >>> replay(DispatchSettings(), "a.e1.0000000000000000", [TraceEntry(1.0, Tick())])
    [()]
    """
    dispatcher = Dispatcher(settings, owner)
    return [tuple(dispatcher.handle(entry.input, entry.now)) for entry in entries]
