"""Why a job has failed, for its caller."""

from enum import Enum

import attrs


class FailureCause(Enum):
    """Cause of the failure of a job, none of which another submission removes."""

    TASK_FAILED = "task_failed"
    WORKERS_CRASHED = "workers_crashed"


@attrs.frozen
class JobFailure:
    """Failure of a job.

    Parameters
    ----------
    task : str
        Task that made the job fail.
    attempts : int
        Number of the last attempt of this task.
    lost_workers : int
        Workers that have crashed under it.
    """

    cause: FailureCause
    task: str
    attempts: int
    lost_workers: int = 0

    def describe(self) -> str:
        """Return one sentence for logs and callers.

        Examples
        --------
        >>> JobFailure(FailureCause.WORKERS_CRASHED, "j.0.0.0", 2, 2).describe()
        'Task j.0.0.0 was given up, because 2 workers crashed while it ran.'
        """
        if self.cause is FailureCause.TASK_FAILED:
            return f"Task {self.task} failed too often."
        return (
            f"Task {self.task} was given up, because {self.lost_workers} workers crashed while "
            "it ran."
        )
