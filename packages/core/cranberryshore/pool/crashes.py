"""Tasks under which workers have crashed, and which of them is to blame.

A task can crash every worker that starts it. Started again and again, it takes the workers of a
service away one after another, and with each of them the other runs there. The load that these
rules are for is a kind of jobs of which some crash their workers, among sound jobs on the same
workers.

A worker that refuses connections has crashed or is behind a partition that resets them, so a
refusal makes the tasks on it *suspects*. They are started again, apart from each other. The loss is
*proven* if another process answers at the address of the worker, or if the worker has a later
start, and *refuted* if the same process answers again, if the worker has left, or for a task whose
start turns out to have been rejected.

That a process has ended says neither what it ran by then nor why it ended. A loss counts as a crash
under a task only if the task was provably running: its start was confirmed, no end of it is known,
and its lease still held when connections were refused. The worker must have been registered as not
leaving after that. A task is the culprit if two workers have provably crashed under it and nothing
else was on one of them, apart from tasks that have ended well elsewhere.

Workers that are lost at the same moment may have a common cause, which is none of their tasks, so
such losses blame nobody (`common_cause`).

A worker whose host ends with it closes and refuses no connection. Only its return as a later start
shows that it has ended, when the leases of its runs are long over. Such a loss blames no task, but
a task must not end one host after another without a bound: it is a suspect from the second such
loss on, and waits as after others from the fourth on.

Every instance has a copy of the records, so that the next scheduler does not begin anew.
"""

from collections.abc import Iterable, Mapping

import attrs

from cranberryshore.pool.common_cause import NoticedLoss, RecentLosses
from cranberryshore.pool.lost_run import LossKey, LossState, LostRun
from cranberryshore.pool.worker_registration import WorkerRegistration
from cranberryshore.pool.worker_status import RunKey

MAX_LOST_WORKERS = 2
"""Number of workers that crash under a task before it is given up."""

MAX_UNCLEAR_LOSSES = 4
"""Number of lost workers from which a task waits even if their processes have ended, since some of
them may have crashed under it."""

PROOF_SECONDS = 5.0
"""Time for which a task with several losses waits for a proof. A worker is back after some 3 s. The
time doubles with each further loss."""

RETENTION_SECONDS = 120.0
"""Time for which a loss is remembered. Callers submit a job again within seconds."""

RESEND_SECONDS = 5.0
"""Time for which a new scheduler sends a loss again: messages of the former one may be lost."""

DISCARD_SECONDS = 1.0
"""Interval at which old records are discarded."""

MAX_RECORDS = 1000
MAX_CLEARED_TASKS = 1000


@attrs.define
class Entry:
    """Record of a loss at this instance.

    Parameters
    ----------
    lost_at : float
        Time of the loss, in seconds.
    is_judged : bool
        Whether it is decided here if the worker has left.
    """

    lost: LostRun
    lost_at: float
    is_judged: bool = False


@attrs.define(eq=False)
class CrashHistory:
    """Records of lost runs by task.

    Parameters
    ----------
    entries : dict
        Entries of each task.
    unresolved : set of str
        Workers with losses that are neither proven nor refuted.
    cleared : dict
        Suspects that have ended well.
    changes : list of Entry
        New and changed records that other instances lack.
    recent : RecentLosses
        Latest losses that this instance has noticed.
    heard : dict
        Send time of the latest poll that each start of a worker has answered here.
    discarded_at : float
        Time at which old records were last discarded.
    """

    entries: dict[str, dict[LossKey, Entry]] = attrs.field(factory=dict)
    unresolved: set[str] = attrs.field(factory=set)
    cleared: dict[str, None] = attrs.field(factory=dict)
    changes: list[Entry] = attrs.field(factory=list)
    recent: RecentLosses = attrs.field(factory=RecentLosses)
    heard: dict[tuple[str, int], float] = attrs.field(factory=dict)
    discarded_at: float = float("-inf")

    def record(
        self,
        worker: str,
        born: int,
        runs: Mapping[RunKey, bool],
        state: LossState,
        now: float,
        is_store_answering: bool = False,
        is_exposed: bool = False,
        ended_at: float | None = None,
    ) -> None:
        """Record the runs that may have been on a worker when it was lost.

        The values of ``runs`` tell whether a run was provably there, and ``is_exposed`` whether one
        of them was a suspect. ``ended_at`` is the time at which a connection was closed before.
        """
        tasks = {task for task, _ in runs}
        lost_runs = [
            LostRun(
                task,
                attempt,
                worker,
                born,
                beside=tuple(sorted(tasks - {task})),
                state=state,
                was_running=was_running,
                was_store_answering=is_store_answering,
                number=self._refuted_count(task, worker, born, attempt),
                is_exposed=is_exposed,
            )
            for (task, attempt), was_running in runs.items()
        ]
        self._add(lost_runs, now)
        records = tuple((lost.task, lost.key) for lost in lost_runs)
        moment = now if ended_at is None else ended_at
        self._notice(NoticedLoss(worker, moment, is_exposed, records), now)

    def record_idle(self, worker: str, now: float) -> None:
        """Record that a worker without runs was lost."""
        self._notice(NoticedLoss(worker, now), now)

    def record_lapsed(self, worker: str, born: int, runs: Iterable[RunKey], now: float) -> None:
        """Record the runs that had lapsed on a worker before it was known to have ended."""
        lost_runs = [
            LostRun(task, attempt, worker, born, state=LossState.PROVEN, has_lapsed=True)
            for task, attempt in runs
        ]
        self._add(lost_runs, now)

    def _add(self, lost_runs: Iterable[LostRun], now: float) -> None:
        for lost in lost_runs:
            self._merge(lost, now)

    def _notice(self, noticed: NoticedLoss, now: float) -> None:
        """Add the loss of a worker, which may have a common cause with recent ones."""
        for loss in self.recent.add(noticed, now):
            for task, key in loss.records:
                entry = self.entries.get(task, {}).get(key)
                if entry is not None:
                    self._merge(attrs.evolve(entry.lost, has_common_cause=True), now)

    def _refuted_count(self, task: str, worker: str, born: int, attempt: int) -> int:
        return sum(
            entry.lost.state is LossState.REFUTED and entry.lost.key[:3] == (worker, born, attempt)
            for entry in self.entries.get(task, {}).values()
        )

    def merge(self, records: Iterable[LostRun], now: float) -> None:
        """Add the records of another instance.

        A suspicion is refuted if the worker has answered since.
        """
        for lost in records:
            received, lost_at = attrs.evolve(lost, age_seconds=0.0), now - lost.age_seconds
            is_known = received.key in self.entries.get(received.task, ())
            self._merge_received(received, lost_at)
            if not (is_known or received.has_lapsed):
                record = (received.task, received.key)
                noticed = NoticedLoss(received.worker, lost_at, received.is_exposed, (record,))
                self._notice(noticed, now)

    def _merge_received(self, lost: LostRun, lost_at: float) -> None:
        heard_at = self.heard.get((lost.worker, lost.born), float("-inf"))
        if lost.state is not LossState.SUSPECTED or heard_at <= lost_at:
            self._merge(lost, lost_at)
        elif lost.key not in self.entries.get(lost.task, ()):
            # A record that is known here is of a later loss.
            self._merge(attrs.evolve(lost, state=LossState.REFUTED), lost_at)

    def _merge(self, lost: LostRun, lost_at: float) -> None:
        if lost.task in self.cleared:
            return
        found = self.entries.setdefault(lost.task, {})
        known = found.get(lost.key)
        if known is None:
            known = found[lost.key] = Entry(lost, lost_at)
        else:
            known.lost_at = min(known.lost_at, lost_at)
            merged = known.lost.merge(lost)
            if merged == known.lost:
                return
            known.lost = merged
        self.changes.append(known)
        if known.lost.state is LossState.SUSPECTED:
            self.unresolved.add(lost.worker)

    def worker_answered(self, worker: str, born: int, polled_at: float, now: float) -> None:
        """Record that a start of a worker has answered a poll that was sent at a time."""
        self.heard[worker, born] = max(polled_at, self.heard.get((worker, born), polled_at))
        self.resolve(worker, born, now, polled_at)

    def resolve(
        self, worker: str, born: int | None, now: float, polled_at: float = float("inf")
    ) -> None:
        """Prove or refute the losses of a worker that has answered.

        ``born`` is the start of the process that has; ``None`` stands for another worker. An answer
        to a poll from before the loss, sent at ``polled_at``, may be as old and does not refute it.
        """
        if worker not in self.unresolved:
            return
        self.unresolved.discard(worker)
        for entry in self._suspected(worker):
            is_same = born == entry.lost.born
            if is_same and polled_at < entry.lost_at:
                self.unresolved.add(worker)
                continue
            state = LossState.REFUTED if is_same else LossState.PROVEN
            self._merge(attrs.evolve(entry.lost, state=state), now)

    def confirm_registered(self, worker: str, born: int, now: float) -> None:
        """Record that a lost worker was still registered as not leaving, so it has not left."""
        for entry in self._entries():
            is_refuted = entry.lost.state is LossState.REFUTED
            if not is_refuted and (entry.lost.worker, entry.lost.born) == (worker, born):
                self._merge(attrs.evolve(entry.lost, was_registered=True), now)

    def unregistered(self) -> list[Entry]:
        """Return the losses of which it is not decided whether the worker has left."""
        return [
            entry
            for entry in self._entries()
            if not (entry.is_judged or entry.lost.was_registered or entry.lost.has_lapsed)
            and entry.lost.state is not LossState.REFUTED
        ]

    def dismiss(self, registrations: Iterable[WorkerRegistration], now: float) -> None:
        """Record that workers have left that are registered as leaving, so they have not crashed.

        The announcement may be read after another process has answered.
        """
        if not self.entries:
            return
        leaving = {worker.name: worker for worker in registrations if worker.is_draining}
        for entry in self._entries():
            worker = leaving.get(entry.lost.worker)
            if worker is not None and worker.is_of_start(entry.lost.born):
                self._merge(attrs.evolve(entry.lost, state=LossState.REFUTED), now)

    def withdraw(self, worker: str, born: int, run: RunKey) -> None:
        """Record that a run has never begun on a start of a worker, nor on later ones.

        Records of former starts may be of another run, since the next scheduler numbers the
        attempts anew.
        """
        task, attempt = run
        for entry in self._losses(task):
            lost = entry.lost
            is_same = (lost.worker, lost.attempt) == (worker, attempt) and lost.born >= born
            if is_same and not lost.was_running:
                self._merge(attrs.evolve(lost, state=LossState.REFUTED), entry.lost_at)

    def _suspected(self, worker: str) -> list[Entry]:
        return [
            entry
            for entry in self._entries()
            if entry.lost.worker == worker and entry.lost.state is LossState.SUSPECTED
        ]

    def clear(self, task: str) -> None:
        """Record that a task has ended well, so that it is to blame for no loss."""
        if self.entries.pop(task, None) is not None:
            self.cleared[task] = None
            while len(self.cleared) > MAX_CLEARED_TASKS:
                del self.cleared[next(iter(self.cleared))]

    def records(self, now: float) -> tuple[LostRun, ...]:
        """Return all records with their ages."""
        return tuple(_with_age(entry, now) for entry in self._entries())

    def recent_records(self, now: float) -> tuple[LostRun, ...]:
        """Return the records that other instances may lack, since a scheduler has just failed."""
        return tuple(
            _with_age(entry, now)
            for entry in self._entries()
            if now <= entry.lost_at + RESEND_SECONDS
        )

    def take_changes(self, now: float) -> tuple[LostRun, ...]:
        """Pop the records that other instances lack."""
        changes = tuple(_with_age(entry, now) for entry in self.changes)
        self.changes.clear()
        return changes

    def _entries(self) -> list[Entry]:
        return [entry for found in self.entries.values() for entry in found.values()]

    def is_suspect(self, task: str) -> bool:
        """Return whether a worker was lost under a task, perhaps because of it."""
        losses = [entry.lost for entry in self._losses(task)]
        return len(losses) > 1 or any(
            not (lost.has_common_cause or lost.has_lapsed) for lost in losses
        )

    def must_run_alone(self, task: str) -> bool:
        """Return whether a task must not be started beside others."""
        return len(self._lost_workers(task)) >= MAX_LOST_WORKERS

    def awaits_proof(self, task: str, now: float) -> bool:
        """Return whether a task must not be started before its losses are proven or refuted."""
        count = len(self._lost_workers(task))
        excess = count - MAX_LOST_WORKERS
        open_since = [
            entry.lost_at
            for entry in self._losses(task)
            if entry.lost.state is LossState.SUSPECTED or count >= MAX_UNCLEAR_LOSSES
        ]
        return excess >= 0 and any(now < at + PROOF_SECONDS * 2**excess for at in open_since)

    def crashed_workers(self, task: str) -> int:
        """Return the number of workers that have provably crashed under a task."""
        return len({(lost.worker, lost.born) for lost in self._proven(task)})

    def is_culprit(self, task: str) -> bool:
        """Return whether a task crashes the workers that start it."""
        if self.crashed_workers(task) < MAX_LOST_WORKERS:
            return False
        return any(self._was_alone(lost) for lost in self._proven(task))

    def _was_alone(self, lost: LostRun) -> bool:
        """Return whether nothing else was on the worker but tasks that are not to blame."""
        return all(
            task in self.cleared or self._has_never_begun(task, lost.worker, lost.born)
            for task in lost.beside
        )

    def _has_never_begun(self, task: str, worker: str, born: int) -> bool:
        """Return whether each start of a task on a lost worker was withdrawn."""
        found = [entry.lost for entry in self.entries.get(task, {}).values()]
        states = [lost.state for lost in found if (lost.worker, lost.born) == (worker, born)]
        return bool(states) and all(state is LossState.REFUTED for state in states)

    def discard_outdated(self, now: float) -> None:
        """Forget old losses, and the oldest ones if there are too many."""
        if now < self.discarded_at + DISCARD_SECONDS:
            return
        self.discarded_at = now
        self.heard = {boot: at for boot, at in self.heard.items() if now <= at + RETENTION_SECONDS}
        if not self.entries:
            return
        entries = self._entries()
        entries.sort(key=lambda entry: entry.lost_at, reverse=True)
        for number, entry in enumerate(entries):
            if number >= MAX_RECORDS or now > entry.lost_at + RETENTION_SECONDS:
                found = self.entries[entry.lost.task]
                del found[entry.lost.key]
                if not found:
                    del self.entries[entry.lost.task]
        records = (entry.lost for entry in self._entries())
        self.unresolved = {lost.worker for lost in records if lost.state is LossState.SUSPECTED}

    def _losses(self, task: str) -> list[Entry]:
        found = self.entries.get(task)
        if found is None:
            return []
        return [entry for entry in found.values() if entry.lost.state is not LossState.REFUTED]

    def _lost_workers(self, task: str) -> set[tuple[str, int]]:
        return {(entry.lost.worker, entry.lost.born) for entry in self._losses(task)}

    def _proven(self, task: str) -> list[LostRun]:
        return [entry.lost for entry in self._losses(task) if entry.lost.is_crash()]


def _with_age(entry: Entry, now: float) -> LostRun:
    return attrs.evolve(entry.lost, age_seconds=max(now - entry.lost_at, 0.0))
