"""The queues that the operators declare, as one document with a version."""

import attrs

MAX_LATENESS_FACTOR = 3.0
"""A job that ends within this many times its aim is late, and later it is of no use."""


@attrs.frozen
class QueueSpec:
    """One queue.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Requests for this host whose path begins with the prefix belong to the queue.
    service : str
        Workers of this service run the queue's tasks.
    priority : int
        Lower goes first.
    max_attempts : int
        How often a task may end as failed before its job fails.
    slack_factor : float
        The aim of a job is this many times its work.
    aim_ms : int
        Added to the aim.
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
        """Return the time in which a job with so much work should be answered, in ms."""
        return self.slack_factor * work_ms + self.aim_ms


@attrs.frozen
class PoolConfig:
    """All queues in force.

    Parameters
    ----------
    version : int
        Grows with each change; 0 if no configuration is known yet.
    queues : tuple of QueueSpec
        The queues.
    """

    version: int = 0
    queues: tuple[QueueSpec, ...] = ()

    def match_queue(self, host: str, path: str) -> QueueSpec | None:
        """Return the queue with the longest prefix that the path begins with.

        Examples
        --------
        >>> config = PoolConfig(1, (QueueSpec("q", "h", "/a/", "s"),))
        >>> config.match_queue("h", "/a/1").name, config.match_queue("h", "/b/1")
        ('q', None)
        """
        fitting = [
            queue for queue in self.queues if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(fitting, key=lambda queue: len(queue.prefix), default=None)

    def get_queue(self, name: str) -> QueueSpec | None:
        """Return the queue of a name."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None
