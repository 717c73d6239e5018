"""Mutations of a pool that concern which task is to blame for crashed workers.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

from collections.abc import Callable, Container

import attrs

from cranberryshore.placement.health import PoolHealth
from cranberryshore.pool import (
    CrashHistory,
    EndKind,
    HeldWorker,
    HoldState,
    LossState,
    LostRun,
    WorkerRegistration,
    common_cause,
    crashes,
    departures,
    held_worker,
)
from cranberryshore.pool.departures import DepartureCheck
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.job_failure import FailureCause, JobFailure
from cranberryshore.pool.loss_tracking import LossTracker
from cranberryshore.pool.run import BootState, Run, RunEnd, RunState
from cranberryshore.pool.work import PoolJob
from cranberryshore.pool.worker_status import RunKey
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


def _count_all_refused(self: HeldWorker, now: float) -> BootState:
    boot = self.closed_boot or self.boot_state(now)
    return attrs.evolve(boot, runs=dict.fromkeys([*boot.runs, *self.runs], True))


def _trust_refusal(self: HeldWorker, now: float) -> BootState:
    return self.closed_boot if self.has_just_closed(now) else self.boot_state(now)


def _trust_latest_closing(self: HeldWorker, now: float) -> None:
    self.closed_boot, self.closed_at = self.boot_state(now), now


def _keep_closing(self: HeldWorker, *arguments: object) -> list[RunEnd]:
    closed_boot = self.closed_boot
    ends = _RECORD_STATUS(self, *arguments)
    self.closed_boot = closed_boot
    return ends


def _ignore_closing(self: LossTracker, worker: HeldWorker, now: float) -> None:
    if not worker.is_loss_recorded:
        self._record(worker, worker.boot_state(now), LossState.PROVEN, now)
    self.crashes.resolve(worker.name, None, now)


def _count_present_runs(
    self: LossTracker, worker: HeldWorker, former: BootState, now: float
) -> None:
    if former.born and not worker.is_loss_recorded:
        self._record(worker, former, LossState.PROVEN, now)


def _ignore_leases(self: HeldWorker, now: float) -> dict[RunKey, bool]:
    certain = {key: run.was_running_when_heard() for key, run in self.runs.items()}
    return _POSSIBLE_RUNS(self, now) and dict.fromkeys(self.strangers, False) | certain


def _ignore_expiry(self: HeldWorker, now: float) -> dict[RunKey, bool]:
    return dict.fromkeys([*self.strangers, *self.runs], False) | _POSSIBLE_RUNS(self, now)


def _blame_strangers(self: HeldWorker, now: float) -> dict[RunKey, bool]:
    return _POSSIBLE_RUNS(self, now) | dict.fromkeys(self.strangers, True)


def _count_unanswered(self: Run) -> bool:
    return self.state is not RunState.STOPPING and not self.is_unheard


def _count_stopped(self: Run) -> bool:
    return self.state is not RunState.REQUESTED and not self.is_unheard


def _count_unheard(self: Run) -> bool:
    return self.state is RunState.RUNNING


def _remove_missing_if(is_certain: Callable[[Run, int, float], bool]) -> Callable:
    def remove(
        self: HeldWorker, listed: Container[RunKey], token: int, poll_sent_at: float
    ) -> list[RunEnd]:
        missing = [key for key in self.runs if key not in listed]
        removed = [key for key in missing if is_certain(self.runs[key], token, poll_sent_at)]
        return [RunEnd(key, _missing_kind(self.runs[key]), self.remove_run(key)) for key in removed]

    return remove


def _missing_kind(run: Run) -> EndKind:
    return EndKind.VANISHED if run.start_confirmed_at < float("inf") else EndKind.NEVER_BEGAN


def _count_without_registration(self: LostRun) -> bool:
    return self.state is LossState.PROVEN and self.was_running


def _count_common_cause(self: LostRun) -> bool:
    return self.state is LossState.PROVEN and self.was_running and self.was_registered


def _is_available(self: HeldWorker) -> bool:
    is_held = self.state is HoldState.HELD and self.is_listed
    return is_held and not self.strangers and not self.is_draining


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
_POSSIBLE_RUNS, _RECORD_STATUS = HeldWorker.possible_runs, HeldWorker.record_status

LOSS_MUTATIONS = (
    ("loss: a closed connection counts for ever", held_worker, "CLOSING_SECONDS", 1e9),
    ("loss: a closed connection tells nothing", HeldWorker, "has_just_closed", _constant(False)),
    (
        "loss: the latest closed connection counts",
        HeldWorker,
        "record_closing",
        _trust_latest_closing,
    ),
    ("loss: a closed connection outlives answers", HeldWorker, "record_status", _keep_closing),
    (
        "loss: a successor hides a closed connection",
        LossTracker,
        "worker_replaced",
        _ignore_closing,
    ),
    ("loss: a restart ends later runs", LossTracker, "worker_restarted", _count_present_runs),
    ("loss: a refusal tells when a process ends", HeldWorker, "refused_boot", _trust_refusal),
    ("loss: starts that were refused count", HeldWorker, "refused_boot", _count_all_refused),
    ("loss: unheard runs count", Run, "was_running_when_heard", _count_unheard),
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
    ("loss: runs outlast their leases", HeldWorker, "possible_runs", _ignore_expiry),
    ("loss: starts count without an answer", Run, "was_running_when_heard", _count_unanswered),
    ("loss: stopped runs count", Run, "was_running_when_heard", _count_stopped),
    ("loss: foreign runs count", HeldWorker, "possible_runs", _blame_strangers),
    ("loss: departures count", LostRun, "is_crash", _count_without_registration),
    ("loss: announcements are ignored", CrashHistory, "dismiss", _constant(None)),
    ("loss: a silent store hides nothing", departures, "MAX_ANSWER_GAP_SECONDS", 100.0),
    ("loss: registrations are never late", departures, "HIDDEN_CHANGE_SECONDS", 0.0),
    ("loss: notices are not awaited", departures, "NOTICE_SECONDS", 0.0),
    ("loss: any start's registration counts", WorkerRegistration, "is_of_start", _constant(True)),
    ("loss: unclear losses have no limit", crashes, "MAX_UNCLEAR_LOSSES", 1000),
    ("loss: lapsed runs ended no worker", CrashHistory, "record_lapsed", _constant(None)),
    (
        "loss: starts on their way are missing",
        HeldWorker,
        "_remove_missing_runs",
        _remove_missing_if(_constant(True)),
    ),
    (
        "loss: unanswered starts are never missing",
        HeldWorker,
        "_remove_missing_runs",
        _remove_missing_if(lambda run, _, poll_sent_at: run.start_confirmed_at < poll_sent_at),
    ),
    (
        "loss: confirmed runs are never missing",
        HeldWorker,
        "_remove_missing_runs",
        _remove_missing_if(lambda run, token, _: run.token < token),
    ),
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
    ("loss: a lost rack makes suspects", common_cause, "MIN_SIMULTANEOUS_WORKERS", 1000),
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
