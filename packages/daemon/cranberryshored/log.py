"""Structured logging to standard output, with a fixed message prefix for each component.

Writing never blocks: a record that standard output does not accept at once is kept in a bounded
buffer, and if the buffer is full, the record is dropped and counted. Records with the same message
are limited to a number per second; the next one written carries the number of omitted records.
"""

import io
import json
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

MAX_EQUAL_RECORDS_PER_SECOND = 100
"""Limit per message; above the 80 jobs a second that a scheduler at peak load ends and logs."""

MAX_BUFFER_BYTES = 262_144
"""Buffer for a slow reader, enough for a few seconds of records."""


@attrs.define(eq=False)
class BoundedOutput:
    """Writes lines to a non-blocking file descriptor.

    ``dropped`` counts the lines lost to a full buffer since the last line that was buffered.
    """

    descriptor: int
    buffer: bytearray = attrs.field(factory=bytearray)
    dropped: int = 0

    def write(self, line: bytes) -> None:
        """Write one line, or buffer it until the descriptor is writable."""
        if len(self.buffer) + len(line) > MAX_BUFFER_BYTES:
            self.flush()
        if len(self.buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            record = {"event": "log: Records were dropped.", "dropped": self.dropped}
            self.buffer += msgspec.json.encode(record) + b"\n"
            self.dropped = 0
        self.buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self.buffer:
            try:
                written = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed, so the error cannot be logged either.
                self.buffer.clear()
                return
            del self.buffer[:written]


@attrs.define(eq=False)
class RecordRateLimiter:
    """Drops records whose message has already been logged too often within the second."""

    clock: Callable[[], float] = monotonic
    second: int = 0
    counts: dict[str, int] = attrs.field(factory=dict)
    left_out: dict[str, int] = attrs.field(factory=dict)

    def __call__(self, logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
        """Return the record, or raise ``DropEvent`` if its message is over the limit."""
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.counts.clear()
        message = event["event"]
        count = self.counts[message] = self.counts.get(message, 0) + 1
        if count > MAX_EQUAL_RECORDS_PER_SECOND:
            self.left_out[message] = self.left_out.get(message, 0) + 1
            raise structlog.DropEvent
        if message in self.left_out:
            event["left_out"] = self.left_out.pop(message)
        return event


def _add_prefix(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "daemon")
    event["event"] = f"{part}: {event['event']}"
    return event


def _encode(value: Any, **_: Any) -> bytes:
    try:
        return msgspec.json.encode(value, enc_hook=str) + b"\n"
    except UnicodeError:
        # Texts of requests can hold surrogates, which have no form in UTF-8.
        return json.dumps(value, default=str).encode() + b"\n"


@attrs.frozen
class OutputLogger:
    """Passes rendered records of every level to the output."""

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
    """Configure format and level of the log for the whole process."""
    processors = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso"),
        _add_prefix,
        RecordRateLimiter(),
    ]
    factory: Callable[..., Any] = structlog.PrintLoggerFactory()
    if settings.is_json:
        processors.append(structlog.processors.JSONRenderer(serializer=_encode))
        factory = _json_output()
    else:
        processors.append(structlog.dev.ConsoleRenderer(colors=False))
        if isinstance(sys.stdout, io.TextIOWrapper):
            sys.stdout.reconfigure(errors="backslashreplace")
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=factory,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def make_logger(part: str) -> FilteringBoundLogger:
    """Return the logger of one component; ``part`` is the prefix of its messages."""
    return structlog.get_logger(part=part)
