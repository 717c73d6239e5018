"""Limits of a process, derived from the memory and the descriptors of its instance."""

import attrs

from cranberryshore.intake.framing import FrameLimits
from cranberryshore.settings.intake import DEFAULT_MEMORY_MB, IntakeSettings

MIB = 1_048_576

INPUT_SHARE = 0.2
"""Share of the memory for input. A byte of a request costs up to two while it is parsed and read,
and an idle process needs 50 MB of the 160 MB of the smallest instance."""

LARGE_SHARE = 2 / 3
"""Share of the input that requests over ``small_bytes`` may use; the rest is for small ones."""

CONNECTION_SHARE = 0.125
CONNECTION_BYTES = 12_288
"""Share of the memory for connections, and memory of one; measured were 9 to 11 KB."""

OUTGOING_SHARE = 0.125
"""Share of the descriptors for connections to peers, workers and the store."""

READY_SHARE, METRICS_SHARE = 1 / 16, 1 / 32
MIN_RESERVED_CONNECTIONS = 8
"""Connections of the load balancer's checks and of the metrics collector, which open one each."""

RECEIVE_BUFFER_BYTES = 32_768
"""Receive buffer of a connection in the kernel, which doubles it. It limits what a client can send
while the connection is not read; at a round trip of 5 ms it permits 6 MB/s."""


@attrs.frozen
class ConnectionLimits:
    """Maximum numbers of connections of callers, of the load balancer and for metrics."""

    callers: int
    ready: int
    metrics: int

    @property
    def total(self) -> int:
        """Return the limit of a process that serves all of them at one address."""
        return self.callers + self.ready + self.metrics


@attrs.frozen
class IntakeLimits:
    """Limits of a process.

    Parameters
    ----------
    small_total, large_total : int
        Bytes of all requests up to ``small_bytes``, and of all larger ones.
    """

    settings: IntakeSettings
    frame: FrameLimits
    connections: ConnectionLimits
    small_total: int
    large_total: int


def derive_limits(settings: IntakeSettings, process_descriptors: int) -> IntakeLimits:
    """Return the limits for the settings and the descriptors that the process may open.

    Examples
    --------
    >>> limits = derive_limits(IntakeSettings(max_descriptors=1638), 20_000)
    >>> limits.connections, limits.large_total
    (ConnectionLimits(callers=1141, ready=78, metrics=39), 22369621)
    """
    descriptors = min(settings.max_descriptors or process_descriptors, process_descriptors)
    free = max(0, descriptors - settings.reserved_descriptors) * (1 - OUTGOING_SHARE)
    memory = (settings.memory_mb or DEFAULT_MEMORY_MB) * MIB
    total = int(min(free, memory * CONNECTION_SHARE / CONNECTION_BYTES))
    ready = max(MIN_RESERVED_CONNECTIONS, int(total * READY_SHARE))
    metrics = max(MIN_RESERVED_CONNECTIONS, int(total * METRICS_SHARE))
    callers = max(MIN_RESERVED_CONNECTIONS, total - ready - metrics)
    large_total = int(memory * INPUT_SHARE * LARGE_SHARE)
    return IntakeLimits(
        settings,
        FrameLimits(settings.head_bytes, settings.body_bytes, settings.empty_lines),
        ConnectionLimits(callers, ready, metrics),
        int(memory * INPUT_SHARE) - large_total,
        large_total,
    )
