"""Mutation tests of a pool: each defect has to fail a test that holds without it.

The defects concern who may start a job, by which configuration instances act, which task is to
blame for crashed workers, and what has to be known before a cancel is confirmed.
"""

import io
import logging
import sys
import unittest
from argparse import ArgumentParser
from collections.abc import Callable
from contextlib import ExitStack
from unittest.mock import patch

import attrs
import structlog
from result import Result

from cranberryshore.bounds import Rejection
from cranberryshore.messages import Beat, codec
from cranberryshore.pool import (
    AcknowledgedRights,
    Claim,
    ConfigConfirmation,
    Group,
    HeldWorker,
    PoolConfig,
    QueueSpec,
    RosterHistory,
    VersionedQueue,
    confirmation,
    run_statistics,
    store_access,
    takeover,
)
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.straggling import is_straggler
from cranberryshore.pool.submitting import JobIntake
from cranberryshore.pool.verifying import ResumedJobs
from cranberryshore.pool.work import PoolJob
from cranberryshore_proof.cancel_mutations import CANCEL_MUTATIONS
from cranberryshore_proof.contact_mutations import CONTACT_MUTATIONS, CONTACT_TEST_MODULES
from cranberryshore_proof.evacuation_mutations import (
    EVACUATION_MUTATIONS,
    EVACUATION_TEST_MODULES,
)
from cranberryshore_proof.loss_mutations import LOSS_MUTATIONS
from cranberryshore_proof.overload_mutations import OVERLOAD_MUTATIONS, OVERLOAD_TEST_MODULES
from cranberryshored.pool import (
    PoolDaemon,
    registry,
    rejections,
    store_follower,
    submissions,
)
from cranberryshored.pool.clock import now
from cranberryshored.pool.documents import DocumentExchange
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.rejections import EntryReader, RejectionLog
from cranberryshored.pool.roster_keeper import RosterKeeper
from cranberryshored.pool.store_follower import CallTimeout, StoreFollower

TEST_MODULES = (
    "cranberryshore.messages.tests.test_odd_values",
    "cranberryshore.pool.tests.test_cancelling",
    "cranberryshore.pool.tests.test_certain_runs",
    "cranberryshore.pool.tests.test_confirmation",
    "cranberryshore.pool.tests.test_copies_of_jobs",
    "cranberryshore.pool.tests.test_crashes",
    "cranberryshore.pool.tests.test_departures",
    "cranberryshore.pool.tests.test_former_boots",
    "cranberryshore.pool.tests.test_held_worker",
    "cranberryshore.pool.tests.test_isolation",
    "cranberryshore.pool.tests.test_lapsed_losses",
    "cranberryshore.pool.tests.test_lost_workers",
    "cranberryshore.pool.tests.test_queue_versions",
    "cranberryshore.pool.tests.test_records_of_losses",
    "cranberryshore.pool.tests.test_refused_starts",
    "cranberryshore.pool.tests.test_review_of_losses",
    "cranberryshore.pool.tests.test_start_rights",
    "cranberryshore.pool.tests.test_stragglers",
    "cranberryshore.pool.tests.test_scheduler",
    "cranberryshore.pool.tests.test_takeover",
    "cranberryshore.pool.tests.test_unproven_losses",
    "cranberryshore.pool.tests.test_worker_selection",
    "cranberryshored.pool.tests.test_cancel_service",
    "cranberryshored.pool.tests.test_exchange",
    "cranberryshored.pool.tests.test_outcomes",
    "cranberryshored.pool.tests.test_scheduling",
    "cranberryshored.pool.tests.test_store_access",
    "cranberryshored.pool.tests.test_roster_keeper",
    "cranberryshored.pool.tests.test_entry_service",
    "cranberryshored.pool.tests.test_submissions",
    "cranberryshored.pool.tests.test_routing",
    "cranberryshore_proof.tests.test_cancelled_jobs",
    "cranberryshore_proof.tests.test_configurations",
    "cranberryshore_proof.tests.test_crashing_tasks",
    "cranberryshore_proof.tests.test_double_start",
    "cranberryshore_proof.tests.test_store_follower",
    "cranberryshore_proof.tests.test_unseen_crashes",
    *CONTACT_TEST_MODULES,
    *EVACUATION_TEST_MODULES,
    *OVERLOAD_TEST_MODULES,
)


@attrs.frozen
class PoolMutation:
    """Defect, as the owner, the attribute and the substitute that it consists of."""

    name: str
    owner: object
    attribute: str
    substitute: object


def _release_all(self: ResumedJobs, workers: object, has_strangers: bool, now: float) -> list:
    released = [job for group in self.groups.values() for job in group]
    for job in released:
        self.remove(job)
    return released


def _acknowledge_any(self: AcknowledgedRights, entry: str, heartbeat_at: float) -> None:
    self.heartbeats[entry] = max(heartbeat_at, self.heartbeats.get(entry, heartbeat_at))


def _apply_any_config(self: PoolDaemon, config: PoolConfig) -> None:
    self.pool_config = config
    self.scheduling.set_config(config)


def _confirm_arrival(self: DocumentExchange, beat: Beat) -> None:
    newest_at = float("-inf") if beat.config_age is None else now() - beat.config_age
    self.listener.config_confirmation().record(beat.config_version, newest_at)


def _confirm_any_version(self: ConfigConfirmation, version: int, newest_at: float) -> None:
    self.version, self.confirmed_at = version, max(self.confirmed_at, newest_at)


def _own_queue(self: PoolConfig, name: str, known: VersionedQueue | None) -> QueueSpec | None:
    return self.get_queue(name)


def _any_queue(self: PoolConfig, name: str, known: VersionedQueue | None) -> QueueSpec | None:
    return self.get_queue(name) if known is None else known.queue


def _decode_unchecked(decode: Callable, *arguments: str) -> Result:
    return decode(*arguments)


def _report_unguarded(self: StoreFollower, entries: dict[str, str], confirmed_at: float) -> None:
    self.report(entries, confirmed_at)


def _log_again(self: RejectionLog, key: str, rejection: Rejection) -> None:
    self.log.warning(self.sentence, key=key, reason=rejection.reason)


def _claim_anew(self: Group, claim: Claim, now: float) -> None:
    self.claim, self.page_read_at, self.listing_read_at = claim, now, now


def _take_earlier_copy(
    self: JobIntake, job: PoolJob, request: object, entry: str, exposed: object, now: float
) -> None:
    job.entry = entry


def _same_limit(ran_seconds: float, expected_seconds: float, earlier_stragglers: int) -> bool:
    return is_straggler(ran_seconds, expected_seconds)


_read_entries = EntryReader.read


def _decode_again(self: EntryReader, entries: dict[str, str]) -> dict:
    self.known.clear()
    self.rejections.reasons.clear()
    return _read_entries(self, entries)


def _constant(value: object) -> Callable:
    return lambda *arguments: value


MUTATIONS = (
    PoolMutation("a right never ends", AcknowledgedRights, "may_start", _constant(True)),
    PoolMutation(
        "leases are not limited by rights",
        AcknowledgedRights,
        "lease_limit",
        _constant(float("inf")),
    ),
    PoolMutation(
        "leases of started runs are not limited", Placer, "lease_limit", _constant(float("inf"))
    ),
    PoolMutation(
        "a heartbeat of an earlier claim counts",
        AcknowledgedRights,
        "acknowledge",
        _acknowledge_any,
    ),
    PoolMutation(
        "workers unknown to the entry instance are used",
        AcknowledgedRights,
        "usable_workers",
        _constant(None),
    ),
    PoolMutation("a release is not awaited", PeerExchange, "has_released", _constant(True)),
    PoolMutation("resumed jobs are not verified", ResumedJobs, "release", _release_all),
    PoolMutation("a resumed job waits for no lease", takeover, "RESUMED_JOB_WAIT_SECONDS", 0.0),
    PoolMutation(
        "jobs are exposed to no workers", RosterHistory, "names_in_any", _constant(frozenset())
    ),
    PoolMutation(
        "jobs are exposed to the present workers only",
        RosterKeeper,
        "versions_since",
        lambda self, moment: (self.version,),
    ),
    PoolMutation(
        "the clock of a worker is always known", HeldWorker, "is_clock_known", _constant(True)
    ),
    PoolMutation(
        "delayed submissions are accepted", submissions, "MAX_SUBMIT_AGE_SECONDS", float("inf")
    ),
    PoolMutation(
        "an older configuration is applied", PoolDaemon, "handle_config", _apply_any_config
    ),
    PoolMutation("no configuration is ever followed", StoreFollower, "_apply", _constant(None)),
    PoolMutation("a watch waits for long", registry, "CONFIG_WATCH_MS", 4000),
    PoolMutation("a call waits for long", store_follower, "MIN_TIMEOUT_SECONDS", 2.0),
    PoolMutation("timeouts do not grow", CallTimeout, "expired", _constant(None)),
    PoolMutation(
        "a denial needs no confirmation", ConfigConfirmation, "is_newest", _constant(True)
    ),
    PoolMutation("no denial is ever confirmed", ConfigConfirmation, "is_newest", _constant(False)),
    PoolMutation("an old confirmation counts", confirmation, "MAX_CONFIRMATION_AGE_SECONDS", 3.0),
    PoolMutation("every version is confirmed", ConfigConfirmation, "record", _confirm_any_version),
    PoolMutation(
        "a peer's confirmation counts from its arrival",
        DocumentExchange,
        "record_confirmation",
        _confirm_arrival,
    ),
    PoolMutation("the entry instance's queue is ignored", PoolConfig, "newest_queue", _own_queue),
    PoolMutation("the entry instance's queue is preferred", PoolConfig, "newest_queue", _any_queue),
    PoolMutation(
        "labels of a former start are used",
        HeldWorker,
        "is_registration_current",
        _constant(True),
    ),
    PoolMutation("jobs: late copies win", JobIntake, "_refuse_earlier_copy", _take_earlier_copy),
    PoolMutation("stragglers: one limit", run_statistics, "is_straggler", _same_limit),
    PoolMutation("store: old registrations are kept", Group, "reader", _constant(None)),
    PoolMutation("store: any peer reads", store_access, "MAX_ANSWER_AGE_SECONDS", 1e9),
    PoolMutation("store: inherited registrations are new", Group, "record_claim", _claim_anew),
    PoolMutation("store: early hand-over", store_access, "MAX_LISTING_AGE_SECONDS", 1.0),
    PoolMutation("foreign: entries are not checked", rejections, "decode_entry", _decode_unchecked),
    PoolMutation(
        "foreign: an error ends the follower", StoreFollower, "_report", _report_unguarded
    ),
    PoolMutation("foreign: rejections are logged again", RejectionLog, "rejected", _log_again),
    PoolMutation("foreign: an entry is decoded again", EntryReader, "read", _decode_again),
    PoolMutation("foreign: one item costs a message", codec, "_INDEPENDENT_ITEMS", {}),
    PoolMutation("foreign: deep nesting is raised", codec, "DECODING_ERRORS", (ValueError,)),
    *(PoolMutation(*item) for item in CONTACT_MUTATIONS),
    *(PoolMutation(*item) for item in LOSS_MUTATIONS),
    *(PoolMutation(*item) for item in CANCEL_MUTATIONS),
    *(PoolMutation(*item) for item in EVACUATION_MUTATIONS),
    *(PoolMutation(*item) for item in OVERLOAD_MUTATIONS),
)


def find_failing_tests(mutation: PoolMutation | None = None) -> set[str]:
    """Return the ids of the tests that fail, with a mutation or without any."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(TEST_MODULES)
    with ExitStack() as stack:
        if mutation is not None:
            patched = patch.object(mutation.owner, mutation.attribute, mutation.substitute)
            stack.enter_context(patched)
        result = unittest.TextTestRunner(stream=io.StringIO()).run(suite)
    return {test.id() for test, _ in result.failures + result.errors}


def main() -> None:
    """Run the mutations; exit with status 1 if any fails no test."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of the name of the mutation to run")
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    # Tests that fail leave tasks behind, which asyncio reports.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
    undetected = 0
    failing = find_failing_tests()
    for name in sorted(failing):
        print(f"fails without a mutation, and counts for none: {name}", flush=True)
    for mutation in MUTATIONS:
        if arguments.only not in mutation.name:
            continue
        count = len(find_failing_tests(mutation) - failing)
        undetected += not count
        verdict = f"fails {count} tests" if count else "NOT caught"
        print(f"mutation «{mutation.name}»: {verdict}", flush=True)
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
