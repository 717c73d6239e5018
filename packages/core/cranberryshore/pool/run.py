"""Runs of tasks on a held worker."""

from enum import Enum

import attrs

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool.worker_status import EndKind, RunKey
from cranberryshore.work.capacity import Capacity


class RunState(Enum):
    """State of one run on a worker.

    It is ``REQUESTED`` until its start is confirmed or a status report lists it.
    """

    REQUESTED = "asked"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(field_transformer=optional_by_name)
class Run:
    """Run that occupies capacity on a worker.

    Parameters
    ----------
    started_at : float
        Time of the start request or of the adoption, in seconds.
    is_adopted : bool
        Whether another holder started the run.
    start_confirmed_at : float
        Time at which the start was confirmed, or a status report has first listed the run.
    lease_until : float
        End of the lease that the start request carried, in seconds on the clock of this instance.
    is_unheard : bool
        Whether a poll of the worker has failed since its latest answer.
    born : int
        Identifier of the start of the worker process that the request was sent to, or that has
        listed the run since.
    unheard_seconds : float
        Time without answers of the worker, in which the run may have stood still.
    """

    demand: Capacity
    state: RunState
    token: int
    started_at: float
    is_adopted: bool = False
    start_confirmed_at: float = float("inf")
    stop_requested_at: float = float("-inf")
    lease_until: float = float("-inf")
    percent: float = 0.0
    is_unheard: bool = False
    born: int = 0
    unheard_seconds: float = 0.0

    def was_running_when_heard(self) -> bool:
        """Return whether the run is active for all that its worker has answered.

        It may have ended if a poll has failed since, or if it is being stopped.
        """
        return self.state is RunState.RUNNING and not self.is_unheard

    def record_answer(self, heard_at: float, now: float) -> None:
        """Record an answer of the worker after failed polls, and the time of the one before."""
        self.unheard_seconds += now - max(heard_at, self.started_at)
        self.is_unheard = False

    def record_listing(self, born: int, percent: float) -> None:
        """Record that a start of the worker process has listed the run."""
        self.percent = percent
        if born != self.born:
            # The lease that the request carried is a time on the clock of the former start.
            self.born, self.lease_until = born, float("-inf")


@attrs.frozen
class RunEnd:
    """End of a run of this holder."""

    key: RunKey
    kind: EndKind
    run: Run


@attrs.frozen
class BootState:
    """What is known of the present start of a worker process before something else is learned.

    Parameters
    ----------
    runs : dict
        Runs that may be active, and whether each one certainly is.
    isolated_runs : frozenset of RunKey
        Those of them that may crash the worker.
    lapsed_runs : frozenset of RunKey
        Runs that were on the worker at its latest answer, and whose leases have expired since.
    """

    born: int
    runs: dict[RunKey, bool]
    isolated_runs: frozenset[RunKey] = frozenset()
    lapsed_runs: frozenset[RunKey] = frozenset()

    @property
    def is_exposed(self) -> bool:
        """Return whether a suspect may have been on the worker."""
        return bool(self.isolated_runs)

    @property
    def was_running_suspect(self) -> bool:
        """Return whether a suspect was certainly on the worker."""
        return any(self.runs.get(key, False) for key in self.isolated_runs)

    def without(self, key: RunKey) -> "BootState":
        """Return the state without a run that has never begun."""
        runs = {run: is_certain for run, is_certain in self.runs.items() if run != key}
        return attrs.evolve(self, runs=runs, isolated_runs=self.isolated_runs - {key})
