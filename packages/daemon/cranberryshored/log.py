"""Log records as short sentences with a fixed prefix for each part."""

import logging

import structlog
from structlog.typing import EventDict, FilteringBoundLogger, WrappedLogger

from cranberryshore.settings import LogSettings


def _prefixed(logger: WrappedLogger, method: str, event: EventDict) -> EventDict:
    part = event.pop("part", "daemon")
    event["event"] = f"{part}: {event['event']}"
    return event


def configure_log(settings: LogSettings, instance: str) -> None:
    """Set the form and the amount of the log for the whole process."""
    renderer = (
        structlog.processors.JSONRenderer()
        if settings.is_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            _prefixed,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def part_log(part: str) -> FilteringBoundLogger:
    """Return the logger of one part; ``part`` is the prefix of its records."""
    return structlog.get_logger(part=part)
