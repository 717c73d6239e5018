"""Queue configuration, declared by the operators as one versioned document."""

from functools import cached_property

import attrs

MAX_LATENESS_FACTOR = 3.0
"""An answer is late up to this multiple of the target response time, and useless after it."""


@attrs.frozen
class QueueSpec:
    """Configuration of a queue.

    Parameters
    ----------
    host, prefix : str
        Requests for this host whose path starts with the prefix are routed to the queue.
    service : str
        Service whose workers run the tasks of the queue.
    priority : int
        Lower values go first.
    max_attempts : int
        Number of failed attempts of a task after which its job fails.
    slack_factor : float
        Factor of the run time in the target response time.
    aim_ms : int
        Constant part of the target response time.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    aim_ms: int = 0

    def response_target_ms(self, work_ms: float) -> float:
        """Return the target response time of a job with the given run time."""
        return self.slack_factor * work_ms + self.aim_ms


@attrs.frozen
class VersionedQueue:
    """Configuration of a queue as of a version."""

    version: int
    queue: QueueSpec


@attrs.frozen
class PoolConfig:
    """Set of the queues currently in force.

    Parameters
    ----------
    version : int
        Increases with each change; 0 if no configuration is known yet.
    """

    version: int = 0
    queues: tuple[QueueSpec, ...] = ()

    def match_queue(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue with the longest prefix that matches the path, or ``None``.

        Examples
        --------
        >>> config = PoolConfig(1, (QueueSpec("q", "h", "/a/", "s"),))
        >>> config.match_queue("h", "/a/1").name, config.match_queue("h", "/b/1")
        ('q', None)
        """
        matching = (
            queue for queue in self._queues_by_host.get(host, ()) if path.startswith(queue.prefix)
        )
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name: str) -> QueueSpec | None:
        """Return the queue with the given name, or ``None``."""
        return self._queues_by_name.get(name)

    def queue_after(self, version: int, name: str) -> VersionedQueue | None:
        """Return the queue with the given name if this configuration is newer than a version.

        Examples
        --------
        >>> config = PoolConfig(3, (QueueSpec("q", "h", "/q/", "s"),))
        >>> config.queue_after(2, "q").version, config.queue_after(3, "q")
        (3, None)
        """
        queue = self.get_queue(name)
        return VersionedQueue(self.version, queue) if queue and version < self.version else None

    def newest_queue(self, name: str, known: VersionedQueue | None) -> QueueSpec | None:
        """Return the queue with the given name, as of this configuration or a newer ``known`` one.

        Examples
        --------
        >>> config = PoolConfig(3, (QueueSpec("q", "h", "/q/", "s"),))
        >>> known = VersionedQueue(4, QueueSpec("q", "h", "/q/", "t"))
        >>> config.newest_queue("q", None).service, config.newest_queue("q", known).service
        ('s', 't')
        >>> config.newest_queue("q", VersionedQueue(2, known.queue)).service
        's'
        """
        if known is not None and known.version > self.version:
            return known.queue
        return self.get_queue(name)

    # Private, because public attributes are encoded in messages.
    @cached_property
    def _queues_by_name(self) -> dict[str, QueueSpec]:
        # The first of several queues with one name is in force.
        return {queue.name: queue for queue in reversed(self.queues)}

    @cached_property
    def _queues_by_host(self) -> dict[str, list[QueueSpec]]:
        queues: dict[str, list[QueueSpec]] = {}
        for queue in self.queues:
            queues.setdefault(queue.host, []).append(queue)
        return queues
