"""State of a worker as tracked by its holder: active runs, fencing token and lease.

A worker obeys the highest fencing token it has seen, so only the holder of that token can start
runs on it. No task is placed on a worker before it has responded to a status poll with the token of
this holder. Runs that this holder did not start are adopted or stopped before a lease is extended.
"""

from collections.abc import Container

import attrs

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool.hold_state import HoldState
from cranberryshore.pool.run import BootState, Run, RunEnd, RunState
from cranberryshore.pool.worker_registration import WorkerRegistration
from cranberryshore.pool.worker_status import EndKind, ReportedEnd, RunKey, WorkerStatus
from cranberryshore.work.capacity import Capacity

LEASE_SECONDS = 1.0
"""Maximum lease; workers shorten longer ones."""

LEASE_EXPIRY_SECONDS = 1.1
"""Time from the last call that could extend a lease to its certain expiry.

Allows for 2 % clock error and 80 ms of delay.
"""

LEASE_MARGIN_SECONDS = 0.2
"""Time before the calculated end of a lease from which it may be over: the clock is read late."""

CLOSING_SECONDS = 0.3
"""Time after a closed connection within which the next call is refused if the process has ended:
one is sent at once, others each 0.15 s."""

MAX_CLOCK_DRIFT = 0.02
"""Share by which the steady clock of a worker may be slow."""

MAX_CLOCK_AGE_SECONDS = 0.5
"""Age of the reading of a worker's clock up to which a start may rely on it: longer than a long
poll on a lagging event loop, and shorter than a restart of the worker, after which its clock starts
anew."""

CLOCK_REQUEST_SECONDS = 0.1
"""Time after which a poll that should read the clock of an idle worker counts as lost."""

MAX_REMEMBERED_ENDS = 200
"""Maximum number of stored ends of foreign runs, which a busy worker reaches within seconds."""


@attrs.define(eq=False, field_transformer=optional_by_name)
class HeldWorker:
    """State of a worker that this instance holds.

    Parameters
    ----------
    room : Capacity
        Free capacity; negative after the total has become smaller than what is in use.
    largest : Capacity
        Largest total so far, which the worker may have again.
    born : int
        Identifier of the current start of the worker process; 0 before its first answer.
    registered_born : int
        Start that wrote the registration with service, labels and capacity.
    last_seen : int
        Number of the last processed end since that start.
    acknowledged_end : int
        Highest end number acknowledged in an answered poll.
    polled_at : float
        Send time of the last answered poll, in seconds.
    isolated_runs : set of RunKey
        Runs beside which nothing else is started, because they may crash the worker.
    closed_boot : BootState or None
        What was known of the worker when its host has closed a connection before the reply, as when
        the process ends; ``None`` if the worker has answered since.
    closed_at : float
        Time of that, in seconds.
    lapsed_runs : set of RunKey
        Runs of the present start whose leases have expired since its latest answer.
    is_loss_recorded : bool
        Whether the worker has been recorded as lost since its last answer.
    is_unheard : bool
        Whether a poll has failed since the latest answer.
    is_evacuated : bool
        Whether nothing may start because the zone is evacuated; active runs continue.
    strangers : set of RunKey
        Foreign runs: active, but not started or adopted by this holder.
    foreign_ends : dict
        Latest end of a foreign run of each task, for jobs that are handed over later.
    is_listed : bool
        Whether the worker is in the current roster. Others are held until their runs have ended,
        or to verify that no runs of resumed jobs are active on them.
    unlisted_at : float
        Time since which the worker is not in the roster.
    clock_offset_ms : float or None
        Worker clock minus the clock of this instance; ``None`` if unknown.
    clock_read_at, clock_requested_at : float
        Times at which the clock of the worker was read, and at which a poll was requested for it.
    lease_extended_at : float
        Time of the last request, of any holder, that could extend the lease, in seconds.
    lease_until : float
        End of the longest lease that the worker has confirmed, in seconds.
    born_polled_at : float
        Send time of the poll whose answer has first shown the present start, in seconds.
    reported_ms : int
        Time of the latest status report, on the clock of the worker.
    """

    name: str
    address: str
    zone: str
    service: str
    total: Capacity
    labels: frozenset[str]
    token: int
    registered_born: int = attrs.field(kw_only=True)
    rack: str = ""
    is_draining: bool = False
    is_evacuated: bool = False
    is_listed: bool = True
    unlisted_at: float = float("inf")
    state: HoldState = HoldState.ACQUIRING
    born: int = 0
    last_seen: int = 0
    acknowledged_end: int = 0
    runs: dict[RunKey, Run] = attrs.field(factory=dict)
    isolated_runs: set[RunKey] = attrs.field(factory=set)
    closed_boot: BootState | None = None
    closed_at: float = float("-inf")
    lapsed_runs: set[RunKey] = attrs.field(factory=set)
    is_loss_recorded: bool = False
    is_unheard: bool = False
    strangers: set[RunKey] = attrs.field(factory=set)
    strangers_since: float = float("inf")
    foreign_ends: dict[str, ReportedEnd] = attrs.field(factory=dict)
    clock_offset_ms: float | None = None
    clock_read_at: float = float("-inf")
    clock_requested_at: float = float("-inf")
    lease_extended_at: float = float("-inf")
    lease_until: float = float("-inf")
    born_polled_at: float = float("-inf")
    reported_ms: int = 0
    polled_at: float = float("-inf")
    lost_at: float = float("-inf")
    room: Capacity = attrs.field(init=False)
    largest: Capacity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.room = self.largest = self.total

    def is_available(self) -> bool:
        """Return whether tasks may be placed on the worker."""
        return (
            self.state is HoldState.HELD
            and self.is_listed
            and not self.strangers
            and not (self.is_draining or self.is_evacuated)
            and not self.isolated_runs
            and self.is_registration_current()
        )

    def is_registration_current(self) -> bool:
        """Return whether the present start of the worker has written its registration."""
        return self.registered_born == self.born

    def is_clock_known(self, now: float) -> bool:
        """Return whether the clock was read recently enough to set the end of a new lease."""
        return now <= self.clock_read_at + MAX_CLOCK_AGE_SECONDS

    def is_clock_being_read(self, now: float) -> bool:
        """Return whether a poll that reads the clock is expected to be answered."""
        is_requested = now < self.clock_requested_at + CLOCK_REQUEST_SECONDS
        return is_requested and not self.is_clock_known(now)

    def unlist(self, now: float) -> None:
        """Record that the worker is not in the roster."""
        if self.is_listed:
            self.is_listed, self.unlisted_at = False, now

    def relist(self, entry: WorkerRegistration) -> None:
        """Record that the worker is in the roster, with its present registration."""
        self.is_listed, self.unlisted_at = True, float("inf")
        self.labels, self.registered_born = frozenset(entry.labels), entry.born
        self.is_draining = entry.is_draining
        self.resize(entry.capacity)

    def resize(self, total: Capacity) -> None:
        """Change the total capacity; active runs continue."""
        self.largest = self.largest.largest(total)
        if total != self.total:
            self.room = self.room + total - self.total
            self.total = total

    def lease_end_ms(self, now: float, limit_at: float = float("inf")) -> int | None:
        """Return the new lease end on the clock of the worker; ``None`` to keep the old one.

        The lease is not extended before the clock of the worker is known, while foreign runs are
        active, or while the worker does not respond. It must end by ``limit_at``, a time in seconds
        on the clock of this instance.
        """
        if self.clock_offset_ms is None or self.strangers or self.state is not HoldState.HELD:
            return None
        end = min(now + LEASE_SECONDS, limit_at)
        if end <= now:
            return None
        drift_ms = MAX_CLOCK_DRIFT * max(now - self.clock_read_at, 0.0) * 1000
        return int(end * 1000 + self.clock_offset_ms - drift_ms)

    def lease_end_at(self, lease_end_ms: int) -> float:
        """Return the time on the clock of this instance for a lease end on that of the worker."""
        return (lease_end_ms - self.clock_offset_ms) / 1000

    def add_run(
        self, key: RunKey, demand: Capacity, now: float, lease_end_ms: int | None = None
    ) -> None:
        """Add a run whose start is being requested."""
        run = self.runs[key] = Run(demand, RunState.REQUESTED, self.token, now, born=self.born)
        if lease_end_ms is not None:
            run.lease_until = self.lease_end_at(lease_end_ms)
        self.room = self.room - demand
        self.lease_extended_at = now

    def confirm_start(self, key: RunKey, now: float) -> None:
        """Record that the worker, or a former start of it, has confirmed the start of a run."""
        run = self.runs.get(key)
        if run is None:
            return
        run.start_confirmed_at = min(run.start_confirmed_at, now)
        if run.born != self.born:
            return
        self.lease_until = max(self.lease_until, run.lease_until)
        if run.state is RunState.REQUESTED:
            run.state = RunState.RUNNING

    def remove_run(self, key: RunKey) -> Run | None:
        """Remove a run that has ended or never started, and free its capacity."""
        self.isolated_runs.discard(key)
        run = self.runs.pop(key, None)
        if run is not None:
            self.room = self.room + run.demand
        return run

    def raise_token(self, token: int) -> None:
        """Switch to a higher token, which invalidates all requests in transit."""
        self.token = max(token, self.token + 1)

    def possible_runs(self, now: float) -> dict[RunKey, bool]:
        """Return the runs that may be active now, and whether each one is, if the process lives.

        A run that another holder started is active for certain only after a poll has extended its
        lease; one that is being stopped may have ended already.
        """
        if now >= self.lease_extended_at + LEASE_EXPIRY_SECONDS:
            return {}
        is_held = now <= self.lease_until - LEASE_MARGIN_SECONDS
        certain = {key: is_held and run.was_running_when_heard() for key, run in self.runs.items()}
        return dict.fromkeys(self.strangers, False) | certain

    def boot_state(self, now: float) -> BootState:
        """Return what is known of the present start of the worker process."""
        lapsed = frozenset(self.lapsed_runs)
        isolated = frozenset(self.isolated_runs)
        return BootState(self.born, self.possible_runs(now), isolated, lapsed)

    def record_closing(self, now: float) -> None:
        """Record that the host of the worker has closed a connection before the reply."""
        if self.closed_boot is None:
            self.closed_boot, self.closed_at = self.boot_state(now), now

    def has_just_closed(self, now: float) -> bool:
        """Return whether a connection was closed just now, and no answer has come since."""
        return self.closed_boot is not None and now <= self.closed_at + CLOSING_SECONDS

    def refused_boot(self, now: float) -> BootState:
        """Return what is known of the worker when connections are refused.

        Only a connection that was closed just before tells when the process has ended: a partition
        may reset connections and refuse new ones long before.
        """
        if self.has_just_closed(now):
            return self.closed_boot
        boot = self.boot_state(now)
        return attrs.evolve(boot, runs=dict.fromkeys(boot.runs, False))

    def is_outdated(self, status: WorkerStatus, poll_sent_at: float) -> bool:
        """Return whether a report was made before the latest one, which has overtaken it."""
        if status.born == self.born:
            return status.clock_ms < self.reported_ms
        return self.born != 0 and poll_sent_at < self.born_polled_at

    def remove_ended_runs(self) -> list[RunEnd]:
        """Remove and return all runs of a process that has ended."""
        return [RunEnd(key, EndKind.VANISHED, self.remove_run(key)) for key in list(self.runs)]

    def mark_silent(self) -> None:
        """Record that the worker does not respond; its lease is no longer extended."""
        if self.state is HoldState.HELD:
            self.state = HoldState.SILENT

    def mark_lost(self, now: float) -> None:
        """Record that the worker obeys another holder."""
        self.state, self.lost_at = HoldState.LOST, now

    def remove_expired_runs(self, now: float) -> list[RunEnd]:
        """Remove and return the runs of a worker that is not held and whose lease has expired."""
        if self.state is HoldState.HELD or now < self.lease_extended_at + LEASE_EXPIRY_SECONDS:
            return []
        self.lapsed_runs.update(self.runs)
        return [RunEnd(key, EndKind.LAPSED, self.remove_run(key)) for key in list(self.runs)]

    def record_status(
        self,
        status: WorkerStatus,
        token: int,
        poll_sent_at: float,
        now: float,
        lease_until: float = float("-inf"),
    ) -> list[RunEnd]:
        """Update the state from the response to a poll; return the ended runs of this holder.

        ``token`` and ``lease_until`` are the token and the end of the lease that were sent with the
        poll.
        """
        if self.is_outdated(status, poll_sent_at):
            return []
        if status.born != self.born:
            self._begin_boot(status.born, poll_sent_at)
        self.reported_ms, self.closed_boot = status.clock_ms, None
        self.lapsed_runs.clear()
        self.lease_until = max(self.lease_until, lease_until)
        self.clock_offset_ms, self.clock_read_at = status.clock_ms - now * 1000, now
        if self.state is HoldState.ACQUIRING:
            # The previous holder may have extended the lease until this worker was acquired.
            self.lease_extended_at = max(self.lease_extended_at, now)
        listed = {(run.task, run.attempt): run for run in status.running}
        ends = self._take_reported_ends(status)
        ends += self._remove_missing_runs(listed, token, poll_sent_at)
        for key, item in listed.items():
            if key in self.runs:
                self.runs[key].record_listing(self.born, item.percent)
                self.confirm_start(key, now)
        self.strangers = {key for key in listed if key not in self.runs}
        self.strangers_since = min(self.strangers_since, now) if self.strangers else float("inf")
        # The response to a later poll may have arrived before.
        self.polled_at = max(self.polled_at, poll_sent_at)
        if self.state is not HoldState.LOST and token == self.token:
            # A start must not carry a token that the worker has not seen: another holder could
            # acquire the worker with a lower one before the start arrives.
            self.state = HoldState.HELD
        return ends

    def _begin_boot(self, born: int, poll_sent_at: float) -> None:
        """Record that the worker has restarted; its report has the runs started since then."""
        self.born, self.born_polled_at = born, poll_sent_at
        self.lease_until = float("-inf")
        self.last_seen = self.acknowledged_end = 0

    def _take_reported_ends(self, status: WorkerStatus) -> list[RunEnd]:
        """Remove and return the runs of this holder that are newly reported as ended."""
        ends = []
        for end in sorted(status.ended, key=lambda item: item.number):
            if end.number <= self.last_seen:
                continue
            self.last_seen = end.number
            run = self.remove_run((end.task, end.attempt))
            if run is not None:
                ends.append(RunEnd((end.task, end.attempt), end.kind, run))
            else:
                self._save_foreign_end(end)
        return ends

    def adopt_run(self, key: RunKey, demand: Capacity, now: float) -> None:
        """Take over a run of another holder."""
        self.strangers.discard(key)
        run = Run(demand, RunState.RUNNING, self.token, now, is_adopted=True, born=self.born)
        run.start_confirmed_at, run.is_unheard, self.runs[key] = now, self.is_unheard, run
        self.room = self.room - demand

    def _save_foreign_end(self, end: ReportedEnd) -> None:
        self.foreign_ends[end.task] = end
        while len(self.foreign_ends) > MAX_REMEMBERED_ENDS:
            del self.foreign_ends[next(iter(self.foreign_ends))]

    def _remove_missing_runs(
        self, listed: Container[RunKey], token: int, poll_sent_at: float
    ) -> list[RunEnd]:
        """Remove and return the runs that should be in the status report but are not.

        A start request and a poll may arrive in either order. A run is certainly missing only if
        its start was confirmed before the poll was sent, or if the poll had a higher token.
        """
        ends = []
        for key, run in list(self.runs.items()):
            is_certain = run.token < token or run.start_confirmed_at < poll_sent_at
            if key not in listed and is_certain:
                has_begun = run.start_confirmed_at < float("inf")
                kind = EndKind.VANISHED if has_begun else EndKind.NEVER_BEGAN
                ends.append(RunEnd(key, kind, self.remove_run(key)))
        return ends
