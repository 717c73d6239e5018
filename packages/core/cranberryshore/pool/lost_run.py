"""Runs that were on a worker when it was lost, and what is known of the loss."""

from enum import Enum

import attrs

from cranberryshore.keyword_arguments import optional_by_name


class LossState(Enum):
    """What is known of a loss; a later member replaces an earlier one.

    A process that has answered after a loss may end later, which does not prove this loss.
    """

    SUSPECTED = "suspected"
    PROVEN = "proven"
    REFUTED = "refuted"


LossKey = tuple[str, int, int, int]
"""Name and start of a worker, attempt of a task, and number of the loss among those of the run."""

STATE_ORDER = tuple(LossState)


@attrs.frozen(field_transformer=optional_by_name)
class LostRun:
    """Run that was on a worker when the worker was lost.

    Parameters
    ----------
    born : int
        Identifier of the start of the worker process.
    beside : tuple of str
        Other tasks that may have been on the worker.
    was_running : bool
        Whether the run was provably on the worker when connections were first refused.
    was_store_answering : bool
        Whether the platform's store had just answered then.
    was_registered : bool
        Whether the worker was registered as not leaving after that.
    has_common_cause : bool
        Whether several workers were lost at the same time.
    number : int
        Number of earlier losses of the run that were refuted.
    age_seconds : float
        Time since the loss when the record was sent to another instance or to the store.
    has_lapsed : bool
        Whether the lease of the run was over before anything showed that the process has ended.
    is_exposed : bool
        Whether a suspect was running on the worker.
    """

    task: str
    attempt: int
    worker: str
    born: int
    beside: tuple[str, ...] = ()
    state: LossState = LossState.SUSPECTED
    was_running: bool = False
    was_store_answering: bool = False
    was_registered: bool = False
    has_common_cause: bool = False
    number: int = 0
    age_seconds: float = 0.0
    has_lapsed: bool = False
    is_exposed: bool = False

    @property
    def key(self) -> LossKey:
        """Return what distinguishes it from the other losses of the task.

        Attempts are numbered anew by the next scheduler.
        """
        return (self.worker, self.born, self.attempt, self.number)

    def is_crash(self) -> bool:
        """Return whether the worker has provably crashed while the task was running.

        Of several workers that were lost together, none counts.
        """
        is_proven = self.state is LossState.PROVEN and self.was_running and self.was_registered
        return is_proven and not self.has_common_cause

    def merge(self, other: "LostRun") -> "LostRun":
        """Return the record with what another one of the same loss knows besides."""
        return attrs.evolve(
            self,
            beside=tuple(sorted({*self.beside, *other.beside})),
            state=max(self.state, other.state, key=STATE_ORDER.index),
            was_running=self.was_running or other.was_running,
            was_store_answering=self.was_store_answering or other.was_store_answering,
            was_registered=self.was_registered or other.was_registered,
            has_common_cause=self.has_common_cause or other.has_common_cause,
            has_lapsed=self.has_lapsed and other.has_lapsed,
            is_exposed=self.is_exposed or other.is_exposed,
        )
