"""Jobs of the callers of a simulated pool."""

from random import Random

import attrs

from cranberryshore.pool import Outcome, RunKey
from cranberryshore_proof.pool_workers import COMMON_LABEL, ModelWorker


@attrs.define
class SimulatedJob:
    """One job of a caller, with its answers."""

    id: str
    submitted_at: float
    answers: list[Outcome] = attrs.field(factory=list)
    ended_at: float | None = None


@attrs.define
class LabelledJobs:
    """Jobs whose tasks require the common label.

    Parameters
    ----------
    random : Random
        Chooses them, so that the other choices of a seed do not depend on them.
    share : float
        Share of these jobs.
    """

    random: Random
    share: float = 0.0
    ids: set[str] = attrs.field(factory=set)

    def draw(self, job: str) -> None:
        """Decide whether a new job requires the label."""
        if self.random.random() < self.share:
            self.ids.add(job)

    def label_of(self, job: str) -> str:
        """Return the label that the tasks of a job require; empty if none."""
        return COMMON_LABEL if job in self.ids else ""

    def check_start(self, worker: ModelWorker, key: RunKey, now: float) -> list[str]:
        """Return the violation if a worker lacks the label that a run requires."""
        if self.label_of(key[0].partition(".")[0]) in ("", worker.label):
            return []
        return [f"{now:.3f} {key[0]} starts on {worker.name}, which lacks its label"]


@attrs.frozen
class JobMix:
    """Numbers of tasks, and millicores and run times of each task, to choose from for a job."""

    millicores: tuple[int, ...] = (900, 1400, 2000)
    seconds: tuple[float, ...] = (0.06, 0.2, 0.9)
    counts: tuple[int, ...] = (1, 2, 4)
