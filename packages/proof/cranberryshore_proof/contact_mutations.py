"""Mutations of a pool that concern what is known from the last contact with another process.

Each one is a name, and the owner, the attribute and the substitute of :class:`PoolMutation`.
"""

import asyncio
from collections.abc import Callable

from result import Result

from cranberryshore.placement import rejections
from cranberryshore.placement.rejections import RejectionPauses
from cranberryshore.pool import (
    CrashHistory,
    Group,
    HeldWorker,
    LossState,
    Member,
    MemberAddress,
    Scheduler,
    WorkerRegistration,
    lost_run,
)
from cranberryshore.pool.earlier_runs import EarlierRuns
from cranberryshore.pool.isolation import Isolation
from cranberryshore.pool.run import BootState, Run, RunState
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.takeover import Takeover
from cranberryshore.pool.worker_status import RunKey
from cranberryshored.platform.store import KeyPage, StoreFailure
from cranberryshored.pool import loss_keeper, store_follower, worker_channel
from cranberryshored.pool.clock import TOKEN_INSTANCE_BITS, TokenSource, now
from cranberryshored.pool.loss_keeper import LossKeeper
from cranberryshored.pool.registry import StoreRegistry
from cranberryshored.pool.store_follower import StoreFollower, call_in_time

CONTACT_TEST_MODULES = (
    "cranberryshore.pool.tests.test_earlier_submissions",
    "cranberryshore.pool.tests.test_event_orders",
    "cranberryshore.pool.tests.test_group",
    "cranberryshore.pool.tests.test_late_evidence",
    "cranberryshore.pool.tests.test_late_replies",
    "cranberryshore.pool.tests.test_merged_records",
    "cranberryshore.pool.tests.test_rejected_starts",
    "cranberryshore.pool.tests.test_replaced_workers",
    "cranberryshore.pool.tests.test_silent_workers",
    "cranberryshore.pool.tests.test_takeover_after_losses",
    "cranberryshore.pool.tests.test_withdrawn_starts",
    "cranberryshored.pool.tests.test_loss_keeper",
    "cranberryshored.pool.tests.test_start_replies",
    "cranberryshored.pool.tests.test_takeover_tokens",
    "cranberryshored.pool.tests.test_worker_channel",
    "cranberryshore_proof.tests.test_changed_workers",
)

RECORD_POLL_FAILURE = Scheduler.record_poll_failure
NEXT_TOKEN = TokenSource.next
BEGIN_BOOT, RELIST = HeldWorker._begin_boot, HeldWorker.relist
SAVE_LOSSES, LOAD_LOSSES = StoreRegistry.save_losses, StoreRegistry.load_losses


def _trust_first_answer(self: HeldWorker, born: int, poll_sent_at: float) -> None:
    """Take an inherited registration for one of whichever start answers first."""
    if not self.born:
        self.registered_born = born
    BEGIN_BOOT(self, born, poll_sent_at)


def _relist_without_start(self: HeldWorker, entry: WorkerRegistration) -> None:
    former = self.registered_born
    RELIST(self, entry)
    self.registered_born = former


def _constant(value: object) -> Callable:
    return lambda *arguments: value


def _only_own(self: EarlierRuns, job_id: str) -> bool:
    return job_id in self.registry.attempts


def _only_foreign(self: EarlierRuns, job_id: str) -> bool:
    return bool(self.foreign.workers_of(job_id))


def _accept_any(self: RejectionPauses, name: str, start: object) -> None:
    self.forget(name)


def _withdraw_all(self: RunRegistry, key: RunKey) -> None:
    self.tasks_by_run[key][0].has_started = False


def _any_later(self: Group, sender: MemberAddress, now: float) -> bool:
    return any(
        member.at.address == sender.address and member.at.started_at_ms() > sender.started_at_ms()
        for member in self.members.values()
    )


async def _claim_saved(self: StoreRegistry, *arguments: object) -> bool:
    await SAVE_LOSSES(self, *arguments)
    return True


async def _claim_none(self: StoreRegistry) -> tuple:
    return await LOAD_LOSSES(self) or ()


async def _save_for_good(self: LossKeeper) -> None:
    while not await self.registry.save_losses(self.publisher, self.crashes.records(now())):
        await asyncio.sleep(loss_keeper.SAVE_SECONDS)


async def _load_for_good(self: LossKeeper) -> None:
    while await self.registry.load_losses() is None:
        await asyncio.sleep(loss_keeper.SAVE_SECONDS)


def _advance_all(self: TokenSource, token: int, seconds: float) -> int:
    self.last += int(seconds * 1000) << TOKEN_INSTANCE_BITS
    return self.next()


def _next_by_clock(self: TokenSource, former: int = 0) -> int:
    return NEXT_TOKEN(self)


def _note_second(self: Scheduler, name: str, failures: int, now: float) -> None:
    if failures > 1:
        RECORD_POLL_FAILURE(self, name, failures, now)


def _excuse_always(self: Run, heard_at: float, now: float) -> None:
    self.unheard_seconds += now - max(heard_at, self.started_at)


def _confirm_any_boot(self: HeldWorker, key: RunKey, now: float) -> None:
    run = self.runs.get(key)
    if run is not None:
        run.start_confirmed_at = min(run.start_confirmed_at, now)
        run.state = RunState.RUNNING if run.state is RunState.REQUESTED else run.state
        self.lease_until = max(self.lease_until, run.lease_until)


def _list_without_boot(self: Run, born: int, percent: float) -> None:
    self.born, self.percent = born, percent


def _refute_by_any_answer(
    self: CrashHistory, worker: str, born: int, polled_at: float, now: float
) -> None:
    self.heard[worker, born] = polled_at
    self.resolve(worker, born, now)


def _any_successor(self: Group, now: float) -> list[Member]:
    return self.possible_successors(now)


async def _read_within_one_limit(self: StoreFollower, after: str) -> Result[KeyPage, StoreFailure]:
    pages = self.store.list(self.prefix)
    listing = await call_in_time(pages, self.timeout.seconds)
    return listing.map(lambda whole: KeyPage(whole.revision, whole.entries, ""))


CONTACT_MUTATIONS = (
    ("registrations: inherited ones count", HeldWorker, "_begin_boot", _trust_first_answer),
    ("registrations: one is of the start before", HeldWorker, "relist", _relist_without_start),
    ("earlier: own starts are forgotten", EarlierRuns, "may_have_started", _only_foreign),
    ("earlier: others' starts are unknown", EarlierRuns, "may_have_started", _only_own),
    ("earlier: all jobs have run", EarlierRuns, "may_have_started", _constant(True)),
    ("rejected: no pause", RejectionPauses, "is_paused", _constant(False)),
    ("rejected: pauses do not grow", rejections, "MAX_PAUSE_SECONDS", 0.05),
    ("rejected: starts are sent at once", RejectionPauses, "sent", _constant(None)),
    ("rejected: pauses never end early", RejectionPauses, "accepted", _constant(None)),
    ("rejected: ends make no room", RejectionPauses, "run_ended", _constant(None)),
    ("rejected: boots share pauses", RejectionPauses, "forget", _constant(None)),
    ("rejected: any acceptance counts", RejectionPauses, "accepted", _accept_any),
    ("rejected: full workers are asked", worker_channel, "PAUSING_REPLIES", ()),
    ("rejected: such starts count as run", RunRegistry, "withdraw_start", _constant(None)),
    ("rejected: one voids all starts", RunRegistry, "withdraw_start", _withdraw_all),
    ("start: what is known at a closing stays", BootState, "without", lambda self, *_: self),
    ("start: a reply counts for any boot", HeldWorker, "confirm_start", _confirm_any_boot),
    ("start: leases outlive a boot", Run, "record_listing", _list_without_boot),
    ("start: refused ones confine queues", Isolation, "start_withdrawn", _constant(None)),
    ("start: replies are forgotten", RunRegistry, "confirm_start", _constant(None)),
    ("foreign runs: they outlive leases", Takeover, "discard_lapsed_strangers", _constant(None)),
    ("foreign runs: they outlive processes", Takeover, "discard_strangers", _constant(None)),
    (
        "record: a proof replaces a refutation",
        lost_run,
        "STATE_ORDER",
        (LossState.SUSPECTED, LossState.REFUTED, LossState.PROVEN),
    ),
    ("record: late ones are new", CrashHistory, "_merge_received", CrashHistory._merge),
    ("record: any answer refutes", CrashHistory, "worker_answered", _refute_by_any_answer),
    ("record: refused starts stay beside", CrashHistory, "_has_never_begun", _constant(False)),
    ("record: refuted losses confine queues", Isolation, "worker_answered", _constant(None)),
    ("peer: late heartbeats replace live ones", Group, "is_replaced", _constant(False)),
    ("peer: earlier starts are ignored for good", Group, "is_replaced", _any_later),
    ("keeper: failed writes count", StoreRegistry, "save_losses", _claim_saved),
    ("keeper: unread records are none", StoreRegistry, "load_losses", _claim_none),
    ("keeper: writes are repeated for good", LossKeeper, "_save", _save_for_good),
    ("keeper: reads are repeated for good", LossKeeper, "_load", _load_for_good),
    ("token: advances of a worker count for all", TokenSource, "advance", _advance_all),
    ("token: former ones do not matter", TokenSource, "next", _next_by_clock),
    ("store: failed readers are tried again", Group, "_untried_successors", _any_successor),
    ("store: first answers come soon", store_follower, "MAX_TIMEOUT_SECONDS", 1.0),
    ("store: a listing is one answer", StoreFollower, "_read_page", _read_within_one_limit),
    ("silence: it is run time", RunStatistics, "record_answer", _constant(None)),
    ("silence: one failed poll is none", Scheduler, "record_poll_failure", _note_second),
    ("silence: it never ends", Run, "record_answer", _excuse_always),
)
