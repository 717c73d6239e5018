"""Log records as short sentences with a fixed prefix for each part, on standard output.

Writing never waits: a record that standard output does not take at once stays in a bounded buffer,
and beyond that it is counted. Equal records, by their sentence, are bounded in number for each
second; the next one that is written says how many were left out.
"""

import logging
import os
import sys
from collections.abc import Callable
from time import monotonic
from typing import Any

import attrs
import msgspec
import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

from cranberryshore.settings import LogSettings

RECORDS_PER_SECOND = 100
"""Equal records that are written each second; a scheduler at today's peak ends 80 jobs a second."""

BUFFER_BYTES = 262_144
"""Text that waits for a slow reader: some seconds of records."""


@attrs.define(eq=False)
class BoundedOutput:
    """Writes lines to a file descriptor that must not block.

    ``dropped`` counts the lines that the buffer had no room for since the last that it took.
    """

    descriptor: int
    buffer: bytearray = attrs.field(factory=bytearray)
    dropped: int = 0

    def write(self, line: bytes) -> None:
        """Write one line, or keep it until the descriptor takes more."""
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.flush()
        if len(self.buffer) + len(line) > BUFFER_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            note = {"event": "log: Records were dropped.", "dropped": self.dropped}
            self.buffer += msgspec.json.encode(note) + b"\n"
            self.dropped = 0
        self.buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self.buffer.clear()
                return
            del self.buffer[:written]


@attrs.define(eq=False)
class Sampler:
    """Leaves out records of a sentence that has come too often within a second."""

    clock: Callable[[], float] = monotonic
    second: int = 0
    counts: dict[str, int] = attrs.field(factory=dict)
    left_out: dict[str, int] = attrs.field(factory=dict)

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Pass a record on, or leave it out."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts.clear()
        sentence = event["event"]
        count = self.counts[sentence] = self.counts.get(sentence, 0) + 1
        if count > RECORDS_PER_SECOND:
            self.left_out[sentence] = self.left_out.get(sentence, 0) + 1
            raise structlog.DropEvent
        if sentence in self.left_out:
            event["left_out"] = self.left_out.pop(sentence)
        return event


def _prefixed(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "daemon")
    event["event"] = f"{part}: {event['event']}"
    return event


def _encode(value: Any, **_: Any) -> bytes:
    return msgspec.json.encode(value, enc_hook=str) + b"\n"


@attrs.frozen
class OutputLogger:
    """Hands rendered records of every level to the output."""

    output: BoundedOutput

    def msg(self, line: bytes) -> None:
        """Write one record."""
        self.output.write(line)

    debug = info = warning = error = critical = msg


def _json_output() -> Callable[..., OutputLogger]:
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    logger = OutputLogger(BoundedOutput(descriptor))
    return lambda *_: logger


def configure_log(settings: LogSettings, instance: str) -> None:
    """Set the form and the amount of the log for the whole process."""
    processors = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso"),
        _prefixed,
        Sampler(),
    ]
    factory: Callable[..., Any] = structlog.PrintLoggerFactory()
    if settings.is_json:
        processors.append(structlog.processors.JSONRenderer(serializer=_encode))
        factory = _json_output()
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=False))
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=factory,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def make_logger(part: str) -> FilteringBoundLogger:
    """Return the logger of one part; ``part`` is the prefix of its records."""
    return structlog.get_logger(part=part)
