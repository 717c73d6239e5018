"""Mutations of a pool that concern which task is to blame for crashed workers.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

from collections.abc import Callable

from cranberryshore.placement.health import PoolHealth
from cranberryshore.pool import (
    CrashHistory,
    HeldWorker,
    HoldState,
    LossState,
    LostRun,
    WorkerRegistration,
    crashes,
    departures,
    held_worker,
)
from cranberryshore.pool.departures import DepartureCheck
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.run import BootState, Run, RunState
from cranberryshore.pool.work import PoolJob
from cranberryshored.pool import (
    PoolDaemon,
)
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.loss_keeper import LossKeeper


def _constant(value: object) -> Callable:
    return lambda *arguments: value


def _blame_all(self: CrashHistory, task: str) -> bool:
    return self.crashed_workers(task) >= crashes.MAX_LOST_WORKERS


def _prove_refusal(self: LossTracker, worker: HeldWorker, now: float) -> None:
    if not worker.is_loss_recorded:
        self._record(worker, worker.boot_state(now), LossState.PROVEN, now)


def _record_leaving(
    self: LossTracker, worker: HeldWorker, boot: BootState, state: LossState, now: float
) -> None:
    worker.is_loss_recorded = True
    self.crashes.record(worker.name, boot.born, boot.runs, state, now)


def _possible_runs(self: HeldWorker, is_certain: Callable[[HeldWorker, Run], bool]) -> dict:
    certain = {key: is_certain(self, run) for key, run in self.runs.items()}
    return dict.fromkeys(self.strangers, False) | certain


def _is_lease_held(worker: HeldWorker, now: float) -> bool:
    return now <= worker.lease_until - held_worker.LEASE_MARGIN_SECONDS


def _ignore_leases(self: HeldWorker, now: float) -> dict:
    return _possible_runs(self, lambda _, run: run.start_confirmed_at <= now)


def _ignore_confirmations(self: HeldWorker, now: float) -> dict:
    return _possible_runs(self, lambda worker, _: _is_lease_held(worker, now))


def _ignore_stops(self: HeldWorker, now: float) -> dict:
    return _possible_runs(
        self, lambda worker, run: _is_lease_held(worker, now) and run.start_confirmed_at <= now
    )


def _blame_strangers(self: HeldWorker, now: float) -> dict:
    return _ignore_stops(self, now) | dict.fromkeys(self.strangers, True)


def _trust_reset(self: HeldWorker, now: float) -> BootState:
    return self.closed_boot or self.boot_state(now)


def _count_without_registration(self: LostRun) -> bool:
    return self.state is LossState.PROVEN and self.was_running


def _count_common_cause(self: LostRun) -> bool:
    return self.state is LossState.PROVEN and self.was_running and self.was_registered


def _is_available(self: HeldWorker) -> bool:
    is_held = self.state is HoldState.HELD and self.is_listed
    return is_held and not self.strangers and not self.is_draining


def _ignore_silence(self: Run) -> bool:
    return self.state is RunState.RUNNING


def _fail_ended_tasks(self: LossTracker, job: PoolJob) -> JobFailure | None:
    for task in job.tasks:
        name = job.name_of(task)
        if self.crashes.is_culprit(name):
            crashed = self.crashes.crashed_workers(name)
            return JobFailure(FailureCause.WORKERS_CRASHED, name, task.attempt, crashed)
    return None


def _take_cleared(self: CrashHistory, lost: LostRun, lost_at: float) -> None:
    cleared, self.cleared = self.cleared, {}
    _MERGE(self, lost, lost_at)
    self.cleared = cleared


_MERGE = CrashHistory._merge

LOSS_MUTATIONS = (
    ("loss: a closed connection counts for ever", held_worker, "CLOSING_SECONDS", 1e9),
    (
        "loss: unheard runs count",
        Run,
        "was_running_when_heard",
        _ignore_silence,
    ),
    ("loss: refuted losses count again", CrashHistory, "_refuted_count", _constant(0)),
    ("loss: ended tasks fail their jobs", LossTracker, "find_failure", _fail_ended_tasks),
    ("loss: cleared tasks come back", CrashHistory, "_merge", _take_cleared),
    ("loss: no task is the culprit", CrashHistory, "is_culprit", _constant(False)),
    ("loss: all tasks on a worker are to blame", CrashHistory, "is_culprit", _blame_all),
    ("loss: one crash is enough", crashes, "MAX_LOST_WORKERS", 1),
    ("loss: a refusal is a proof", LossTracker, "worker_refuses", _prove_refusal),
    ("loss: a leaving worker has crashed", LossTracker, "_record", _record_leaving),
    ("loss: leases do not matter", HeldWorker, "possible_runs", _ignore_leases),
    ("loss: the end of a lease is exact", held_worker, "LEASE_MARGIN_SECONDS", 0.0),
    ("loss: starts count without an answer", HeldWorker, "possible_runs", _ignore_confirmations),
    ("loss: stopped runs count", HeldWorker, "possible_runs", _ignore_stops),
    ("loss: foreign runs count", HeldWorker, "possible_runs", _blame_strangers),
    ("loss: departures count", LostRun, "is_crash", _count_without_registration),
    ("loss: announcements are ignored", CrashHistory, "dismiss", _constant(None)),
    ("loss: a silent store hides nothing", departures, "MAX_ANSWER_GAP_SECONDS", 100.0),
    ("loss: registrations are never late", departures, "HIDDEN_CHANGE_SECONDS", 0.0),
    ("loss: notices are not awaited", departures, "NOTICE_SECONDS", 0.0),
    ("loss: any start's registration counts", WorkerRegistration, "is_of_start", _constant(True)),
    ("loss: unclear losses have no limit", crashes, "MAX_UNCLEAR_LOSSES", 1000),
    ("loss: lapsed runs ended no worker", CrashHistory, "record_lapsed", _constant(None)),
    ("loss: a reset tells when a process ends", HeldWorker, "refused_boot", _trust_reset),
    (
        "loss: other schedulers' stores have answered",
        DepartureCheck,
        "_would_have_read_announcement",
        _constant(True),
    ),
    ("boots: late answers count", HeldWorker, "is_outdated", _constant(False)),
    ("boots: health outlives a start", PoolHealth, "forget", _constant(None)),
    ("loss: a lost rack is to blame", LostRun, "is_crash", _count_common_cause),
    ("loss: a replaced worker is no proof", CrashHistory, "resolve", _constant(None)),
    ("loss: proof is not awaited", CrashHistory, "awaits_proof", _constant(False)),
    ("loss: a lost rack makes suspects", crashes, "MIN_SIMULTANEOUS_WORKERS", 1000),
    ("loss: no task is a suspect", CrashHistory, "is_suspect", _constant(False)),
    ("loss: tasks run beside suspects", HeldWorker, "is_available", _is_available),
    ("loss: suspects run beside long work", Isolation, "is_suitable", _constant(True)),
    ("loss: suspects run anywhere", Isolation, "may_start", _constant(True)),
    ("loss: a queue uses up all workers", Isolation, "confined_workers", _constant(None)),
    ("loss: records are not sent", PeerExchange, "push_losses", _constant(None)),
    ("loss: records are not saved", LossKeeper, "save_soon", _constant(None)),
    ("loss: records are not loaded", LossKeeper, "load_soon", _constant(None)),
    ("loss: records are ignored", PoolDaemon, "handle_losses", _constant(None)),
)
