"""Pauses after rejected starts.

A worker that has rejected a start has less room than its holder assumes, or is unhealthy. The next
start would most likely be rejected as well, so none is sent for a short time, which grows with each
further rejection. After a pause, starts are sent one by one until one is accepted.
"""

from collections.abc import Hashable

import attrs

INITIAL_PAUSE_SECONDS = 0.05
MAX_PAUSE_SECONDS = 1.0


@attrs.define
class RejectionPause:
    """Pause of one worker.

    Parameters
    ----------
    seconds : float
        Length of the latest pause.
    until : float
        Time before which no start is sent.
    probe : hashable or None
        Identifier of the start that was sent after the pause; ``None`` if there is none.
    """

    seconds: float
    until: float
    probe: Hashable = None


@attrs.define
class RejectionPauses:
    """Pauses of the workers that have rejected starts and accepted none since then.

    Examples
    --------
    >>> pauses = RejectionPauses()
    >>> pauses.rejected("w", "a", 1.0)
    >>> pauses.is_paused("w", 1.04), pauses.is_paused("w", 1.06), pauses.is_paused("v", 1.04)
    (True, False, False)
    >>> pauses.sent("w", "b", 1.06)
    >>> pauses.rejected("w", "b", 1.06)
    >>> pauses.is_paused("w", 1.15), pauses.is_paused("w", 1.17)
    (True, False)
    """

    workers: dict[str, RejectionPause] = attrs.field(factory=dict)

    def is_paused(self, name: str, now: float) -> bool:
        """Return whether no start may be sent to a worker."""
        pause = self.workers.get(name)
        return pause is not None and now < pause.until

    def sent(self, name: str, start: Hashable, now: float) -> None:
        """Record a start that is sent to a worker; the next one waits for its result.

        The wait is limited, since the response may be lost.
        """
        pause = self.workers.get(name)
        if pause is not None:
            pause.probe, pause.until = start, now + pause.seconds

    def rejected(self, name: str, start: Hashable, now: float) -> None:
        """Record that a worker has rejected a start.

        Starts that were sent before the pause do not lengthen it.
        """
        pause = self.workers.get(name)
        if pause is None:
            seconds = INITIAL_PAUSE_SECONDS
        elif pause.probe == start:
            seconds = min(2 * pause.seconds, MAX_PAUSE_SECONDS)
        else:
            return
        self.workers[name] = RejectionPause(seconds, now + seconds)

    def accepted(self, name: str, start: Hashable) -> None:
        """Record that a worker has accepted a start, which ends its pause.

        Starts that were sent before the pause do not end it.
        """
        pause = self.workers.get(name)
        if pause is not None and pause.probe == start:
            del self.workers[name]

    def run_ended(self, name: str, now: float) -> None:
        """Record that a run has ended on a worker, whose room the next start may use."""
        pause = self.workers.get(name)
        if pause is not None and pause.probe is None:
            pause.until = now

    def forget(self, name: str) -> None:
        """Forget the pause of a worker, since another process has its place."""
        self.workers.pop(name, None)
