"""Recording, serialization and replay of the inputs of a dispatcher."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from cranberryshore.dispatch import inputs
from cranberryshore.dispatch.dispatcher import Dispatcher, DispatchSettings
from cranberryshore.dispatch.effects import Effect
from cranberryshore.dispatch.inputs import Input
from cranberryshore.errors import Refusal, malformed

MAX_TRACE_ENTRIES = 20_000
INPUT_TYPES: dict[str, type] = {
    name: value
    for name, value in vars(inputs).items()
    if isinstance(value, type) and issubclass(value, Input) and value is not Input
}


@attrs.frozen
class TraceEntry:
    """An input and the time at which it was handled."""

    now: float
    input: Input


@attrs.frozen
class EncodedEntry:
    """Serializable form of an entry; ``kind`` is the class name of ``input``."""

    now: float
    kind: str
    input: Any


@attrs.define
class Trace:
    """The most recent inputs of a dispatcher, up to ``MAX_TRACE_ENTRIES``.

    ``dropped`` counts the older entries that were evicted; a trace without its beginning cannot
    be replayed.
    """

    entries: deque[TraceEntry] = attrs.field(factory=lambda: deque(maxlen=MAX_TRACE_ENTRIES))
    dropped: int = 0

    def record(self, input: Input, now: float) -> None:
        """Append an input."""
        self.dropped += len(self.entries) == self.entries.maxlen
        self.entries.append(TraceEntry(now, input))


def encode_trace(entries: Iterable[TraceEntry]) -> bytes:
    """Encode a trace as JSON.

    Examples
    --------
    >>> b'"kind":"Tick"' in encode_trace([TraceEntry(1.0, inputs.Tick())])
    True
    """
    encoded_entries = [
        EncodedEntry(entry.now, type(entry.input).__name__, entry.input) for entry in entries
    ]
    return msgspec.json.encode(encoded_entries)


def decode_trace(data: bytes) -> Result[list[TraceEntry], Refusal]:
    """Decode a trace from JSON, or return a refusal if it is malformed.

    Examples
    --------
    >>> decode_trace(encode_trace([TraceEntry(1.0, inputs.Tick())])).unwrap()
    [TraceEntry(now=1.0, input=Tick())]
    >>> decode_trace(b"[{}]").is_err()
    True
    """
    try:
        encoded_entries = msgspec.json.decode(data, type=list[EncodedEntry])
        return Ok(
            [
                TraceEntry(encoded.now, msgspec.convert(encoded.input, INPUT_TYPES[encoded.kind]))
                for encoded in encoded_entries
            ]
        )
    except (msgspec.DecodeError, KeyError, ValueError) as error:
        return Err(malformed("trace", f"{len(data)} bytes", str(error)))


def replay(
    settings: DispatchSettings, owner: str, entries: Iterable[TraceEntry]
) -> tuple[Dispatcher, list[tuple[Effect, ...]]]:
    """Replay recorded inputs on a new dispatcher.

    Returns
    -------
    tuple
        The dispatcher in its final state, and the effects of each input.

    Examples
    --------
    >>> entries = [TraceEntry(1.0, inputs.Tick())]
    >>> replay(DispatchSettings(), "a.e1.0000000000000000", entries)[1]
    [()]
    """
    dispatcher = Dispatcher(settings, owner)
    effects = [tuple(dispatcher.handle(entry.input, entry.now)) for entry in entries]
    return dispatcher, effects
