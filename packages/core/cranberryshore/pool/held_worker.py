"""One worker as its holder knows it: what runs there, under which token, until when.

A worker obeys the highest fencing token that it has seen, so the holder of that token alone knows
what can start there. Until the worker has answered a look under this holder's token, nothing is
placed. Runs that the holder did not start are adopted or stopped before any lease is extended.
"""

from enum import Enum

import attrs

from cranberryshore.work.capacity import Capacity

RunKey = tuple[str, int]
"""Name of a task and number of its attempt."""

LEASE_SECONDS = 1.0
"""Longest lease that workers grant; a longer one is shortened to it."""

LEASE_OVER_SECONDS = 1.1
"""A lease has run out so long after the last call that could extend it: 2 % clock error, 80 ms."""

TAKEOVER_BACKOFF_SECONDS = 3.0
"""A worker that obeys another holder is left to it for so long."""


REMEMBERED_ENDS = 200
"""Ends of other holders' runs that are kept for jobs handed over: seconds of a busy worker."""


class HoldState(Enum):
    """How far the holder's knowledge of a worker goes."""

    ACQUIRING = "taking"
    HELD = "held"
    SILENT = "silent"
    LOST = "lost"


class RunState(Enum):
    """State of one run on a worker."""

    ASKED = "asked"
    RUNNING = "running"
    STOPPING = "stopping"


class EndKind(Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    NEVER_BEGAN = "never_began"
    VANISHED = "vanished"


@attrs.frozen
class ReportedRun:
    """A run that a worker lists as running."""

    task: str
    attempt: int
    percent: float = 0.0


@attrs.frozen
class ReportedEnd:
    """An end that a worker lists; ``number`` rises by one with each end of a worker's life."""

    number: int
    task: str
    attempt: int
    kind: EndKind


@attrs.frozen
class WorkerStatus:
    """A worker's answer to a look: its life, its clock and both lists."""

    born: int
    clock_ms: int
    running: tuple[ReportedRun, ...]
    ended: tuple[ReportedEnd, ...]


@attrs.define
class Run:
    """One run that occupies room on a worker.

    Parameters
    ----------
    is_adopted : bool
        Whether another holder has started it, so that ``started_at`` is only when it was seen.
    """

    demand: Capacity
    state: RunState
    token: int
    started_at: float
    is_adopted: bool = False
    confirmed_at: float = float("inf")
    stop_asked_at: float = float("-inf")
    percent: float = 0.0


@attrs.frozen
class RunEnd:
    """A run of this holder that is over."""

    key: RunKey
    kind: EndKind
    run: Run


@attrs.define(eq=False)
class HeldWorker:
    """Exact account of one worker.

    Parameters
    ----------
    name, address, zone, service : str
        As the worker registers itself.
    total : Capacity
        Its whole room.
    labels : frozenset of str
        Its kind and its rack.
    token : int
        Fencing token of the next order.
    room : Capacity
        What nothing occupies.
    strangers : set of RunKey
        Running, and not started by this holder.
    strange_ends : dict
        Latest end of each task that this holder did not start, for jobs that are handed over.
    """

    name: str
    address: str
    zone: str
    service: str
    total: Capacity
    labels: frozenset[str]
    token: int
    rack: str = ""
    is_draining: bool = False
    state: HoldState = HoldState.ACQUIRING
    born: int = 0
    last_seen: int = 0
    acknowledged_end: int = 0
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    strangers: set[RunKey] = attrs.field(factory=set)
    strangers_since: float = float("inf")
    strange_ends: dict[str, ReportedEnd] = attrs.field(factory=dict)
    clock_offset_ms: float | None = None
    lease_extended_at: float = float("-inf")
    looked_at: float = float("-inf")
    lost_at: float = float("-inf")
    room: Capacity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.room = self.total

    def is_usable(self) -> bool:
        """Tell whether tasks may be placed."""
        return self.state is HoldState.HELD and not self.strangers and not self.is_draining

    def resize(self, total: Capacity) -> None:
        """Take another whole room; what runs goes on."""
        if total != self.total:
            self.room = self.room + total - self.total
            self.total = total

    def lease_end_ms(self, now: float) -> int | None:
        """Return the lease's end on the worker's clock; ``None`` if that must not be extended.

        Nothing is extended before the worker's clock is known, while runs of somebody else are
        there, and while the worker does not answer.
        """
        if self.clock_offset_ms is None or self.strangers or self.state is not HoldState.HELD:
            return None
        return int(now * 1000 + self.clock_offset_ms + LEASE_SECONDS * 1000)

    def begin(self, key: RunKey, demand: Capacity, now: float) -> None:
        """Account for a run that the worker is now asked to start."""
        self.runs[key] = Run(demand, RunState.ASKED, self.token, now)
        self.room = self.room - demand
        self.lease_extended_at = now

    def confirm(self, key: RunKey, now: float) -> None:
        """Record that the worker has said that it started a run."""
        run = self.runs.get(key)
        if run is None:
            return
        run.confirmed_at = min(run.confirmed_at, now)
        if run.state is RunState.ASKED:
            run.state = RunState.RUNNING

    def drop(self, key: RunKey) -> Run | None:
        """Forget a run that is over or never began, and free its room."""
        run = self.runs.pop(key, None)
        if run is not None:
            self.room = self.room + run.demand
        return run

    def raise_token(self, token: int) -> None:
        """Use a higher token from now on, which voids all orders that are still under way."""
        self.token = max(token, self.token + 1)

    def fall_silent(self) -> None:
        """Record that the worker has not answered: its lease is left to run out."""
        if self.state is HoldState.HELD:
            self.state = HoldState.SILENT

    def lose(self, now: float) -> None:
        """Record that the worker obeys another holder."""
        self.state = HoldState.LOST
        self.lost_at = now

    def overdue(self, now: float) -> list[RunEnd]:
        """Return the runs of a silent worker whose lease has surely run out, and forget them."""
        if self.state is HoldState.HELD or now < self.lease_extended_at + LEASE_OVER_SECONDS:
            return []
        return [RunEnd(key, EndKind.LAPSED, self.drop(key)) for key in list(self.runs)]

    def record_status(
        self, answer: WorkerStatus, token: int, asked_at: float, now: float
    ) -> list[RunEnd]:
        """Bring the account in line with a look.

        Parameters
        ----------
        answer : LookAnswer
            What the worker said.
        token : int
            Token of the look.
        asked_at, now : float
            When the look was sent and answered, in seconds.

        Returns
        -------
        list of RunEnd
            This holder's runs that are over.
        """
        ends: list[RunEnd] = []
        if self.born != answer.born:
            # Runs of the earlier life are missing from the lists; later ones may be there.
            self.born, self.last_seen = answer.born, 0
        self.clock_offset_ms = answer.clock_ms - now * 1000
        listed = {(run.task, run.attempt): run for run in answer.running}
        for end in sorted(answer.ended, key=lambda item: item.number):
            if end.number <= self.last_seen:
                continue
            self.last_seen = end.number
            run = self.drop((end.task, end.attempt))
            if run is not None:
                ends.append(RunEnd((end.task, end.attempt), end.kind, run))
            else:
                self._remember_end(end)
        ends += self._missing(listed, token, asked_at)
        for key, item in listed.items():
            if key in self.runs:
                self.runs[key].percent = item.percent
                self.confirm(key, now)
        self.strangers = {key for key in listed if key not in self.runs}
        self.strangers_since = min(self.strangers_since, now) if self.strangers else float("inf")
        self.looked_at = asked_at
        if self.state is not HoldState.LOST:
            self.state = HoldState.HELD
        return ends

    def adopt(self, key: RunKey, demand: Capacity, now: float) -> None:
        """Account for a run of another holder as for one of this holder's own."""
        self.strangers.discard(key)
        self.runs[key] = Run(
            demand, RunState.RUNNING, self.token, now, is_adopted=True, confirmed_at=now
        )
        self.room = self.room - demand

    def _remember_end(self, end: ReportedEnd) -> None:
        self.strange_ends[end.task] = end
        while len(self.strange_ends) > REMEMBERED_ENDS:
            del self.strange_ends[next(iter(self.strange_ends))]

    def _missing(
        self, listed: dict[RunKey, ReportedRun], token: int, asked_at: float
    ) -> list[RunEnd]:
        """Return the runs that the worker ought to list and does not.

        A start may overtake a look or be overtaken by it. It is missing for certain if its
        answer had come before the look was sent, or if the look carried a higher token.
        """
        ends = []
        for key, run in list(self.runs.items()):
            is_certain = run.token < token or run.confirmed_at < asked_at
            if key in listed or not is_certain:
                continue
            has_begun = run.confirmed_at < float("inf")
            kind = EndKind.VANISHED if has_begun else EndKind.NEVER_BEGAN
            ends.append(RunEnd(key, kind, self.drop(key)))
        return ends
