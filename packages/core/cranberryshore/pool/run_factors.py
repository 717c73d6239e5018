"""Run times on single workers, relative to a worker of mean speed."""

from typing import Protocol

import attrs

from cranberryshore.pool.run import Run


class RunTimeFactors(Protocol):
    """Expected run times on workers as multiples of those on a worker of mean speed."""

    def factor(self, worker: str) -> float:
        """Return the factor of a worker; 1 if its speed is unknown or that of the mean."""
        ...

    def may_continue(self, worker: str, run: Run, ratio: float, now: float) -> bool:
        """Return whether a run that takes too long may continue, as its task is probably long.

        ``ratio`` is the time that it has taken over that expected on its worker.
        """
        ...

    def is_sound(self, worker: str, run: Run) -> bool:
        """Return whether a worker with a straggler is known to run other tasks normally."""
        ...

    def forget(self, worker: str) -> None:
        """Discard what is known of a worker, since another process has its place."""
        ...


@attrs.frozen
class EqualFactors:
    """Factors of workers that are taken to be equally fast."""

    def factor(self, worker: str) -> float:
        """See :class:`RunTimeFactors`.

        Examples
        --------
        >>> EqualFactors().factor("w")
        1.0
        """
        return 1.0

    def may_continue(self, worker: str, run: Run, ratio: float, now: float) -> bool:
        """See :class:`RunTimeFactors`."""
        return False

    def is_sound(self, worker: str, run: Run) -> bool:
        """See :class:`RunTimeFactors`."""
        return False

    def forget(self, worker: str) -> None:
        """See :class:`RunTimeFactors`."""
