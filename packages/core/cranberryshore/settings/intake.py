"""Limits on what the clients of an HTTP server may send and hold."""

from typing import Annotated

import attrs
from msgspec import Meta

Bytes = Annotated[int, Meta(ge=1, le=1_000_000_000)]
IntakeSeconds = Annotated[float, Meta(gt=0, le=3600)]

PlatformLimit = Annotated[float, Meta(gt=0, le=1e12)]
"""Limit that the platform writes into the settings; whether as an integer is up to the platform."""

DEFAULT_MEMORY_MB = 160
"""Memory of the smallest instance."""


@attrs.frozen
class IntakeSettings:
    """Limits on the input of all HTTP clients of a process.

    Parameters
    ----------
    memory_mb : float or None
        Memory of the instance, in MiB; ``None`` stands for ``DEFAULT_MEMORY_MB``.
    max_descriptors : float or None
        Descriptors that the process may open; ``None`` stands for the limit of the process itself.
    reserved_descriptors : int
        Descriptors reserved for files.
    body_bytes : int
        Maximum size of a request body; ``cranberryshored`` uses ``limits.body_bytes`` instead.
    head_bytes : int
        Maximum size of a request's head; ordinary clients send less than 8 KiB.
    empty_lines : int
        Maximum number of empty lines before a request; ordinary clients send at most one.
    small_bytes : int
        Size up to which a request is read without waiting for memory.
    head_seconds, body_seconds : float
        Maximum time for a complete head, and maximum time without progress in a body.
    body_bytes_per_second : float
        Minimum average rate of a body after ``body_seconds``.
    memory_wait_seconds : float
        Maximum time that a large request waits for memory before it is refused.
    response_seconds : float
        Maximum time for which a client may read nothing of a response that is ready.
    """

    memory_mb: PlatformLimit | None = None
    max_descriptors: PlatformLimit | None = None
    reserved_descriptors: Annotated[int, Meta(ge=0, le=100_000)] = 200
    body_bytes: Bytes = 262_144
    head_bytes: Bytes = 32_768
    empty_lines: Annotated[int, Meta(ge=0, le=10_000)] = 16
    small_bytes: Bytes = 16_384
    head_seconds: IntakeSeconds = 20.0
    body_seconds: IntakeSeconds = 20.0
    body_bytes_per_second: Annotated[float, Meta(ge=0, le=1e9)] = 1024.0
    memory_wait_seconds: IntakeSeconds = 5.0
    response_seconds: IntakeSeconds = 30.0
