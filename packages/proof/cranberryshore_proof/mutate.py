"""Mutation tests: one deliberate defect per invariant, which its check has to detect."""

import logging
import sys
from argparse import ArgumentParser
from collections.abc import Callable
from contextlib import ExitStack
from unittest.mock import patch

import attrs
import structlog

from cranberryshore.config import ConfigState, Snapshot
from cranberryshore.dispatch import Dispatcher, Effect
from cranberryshore.membership import Peer
from cranberryshore.messages import ConfigAnswer, ConfigQuery, JobAnswer, PeerReply
from cranberryshore.messages.codec import decode_message
from cranberryshore.ownership import OwnedWorker, OwnerRecord
from cranberryshore.work import Job
from cranberryshore_proof.simulation import run_history
from cranberryshored import zone
from cranberryshored.app import Daemon
from cranberryshored.config import ConfigFollower
from cranberryshored.jobs import JobService
from cranberryshored.peers import PeerCalls
from cranberryshored.platform import InstanceKind, ListedInstance
from cranberryshored.requests import RequestService


def _restart_lost_tasks(self: Dispatcher, worker: str, now: float) -> list[Effect]:
    for job in list(self.jobs.values()):
        for index, name in list(job.workers.items()):
            if name == worker:
                self._requeue(job, index, worker)
    return []


def _answer_partially(self: JobService, job: Job) -> JobAnswer:
    outputs = tuple(output for output in job.outputs if output is not None) or None
    return JobAnswer(str(job.id), job.state, len(job.states), outputs, job.failure)


def _misroute_replies(self: PeerCalls, reply: PeerReply) -> None:
    future = self.waiting.get(reply.number)
    if reply.kind == JobAnswer.__name__:
        waiting = [other for other in self.waiting.values() if not other.done()]
        future = waiting[0] if waiting else None
    if future is not None and not future.done():
        future.set_result(decode_message(reply.kind, reply.body))


def _drop_past_workers(
    self: OwnerRecord, workers: frozenset[OwnedWorker], next_sequence: int
) -> OwnerRecord:
    return attrs.evolve(self, workers=tuple(sorted(workers)))


def _always_retry(self: RequestService, *arguments: object) -> bool:
    return self.budget.try_acquire()


def _include_leaving_upstreams(item: ListedInstance, zone_name: str) -> bool:
    return item.kind is InstanceKind.UPSTREAM and item.zone == zone_name


async def _skip_drain(self: Daemon) -> None:
    return


def _find_any_peer(self: ConfigFollower) -> Peer | None:
    for peer in self.membership.table.reachable():
        if self.peer_revisions.get(peer.incarnation, 0) not in (0, self.state.revision):
            return peer
    return None


async def _always_answer_snapshot(self: ConfigFollower, query: ConfigQuery) -> ConfigAnswer:
    return ConfigAnswer(self.state.revision, snapshot=self.state.snapshot())


def _load_any_revision(self: ConfigState, snapshot: Snapshot) -> bool:
    self.resources = dict(snapshot.resources)
    self.revision = snapshot.revision
    return True


@attrs.frozen
class Mutation:
    """One mutation, which the check of ``invariant`` has to detect.

    ``replacements`` holds the owner, attribute and substitute of each replaced function.
    """

    invariant: str
    name: str
    replacements: tuple[tuple[object, str, Callable], ...]


MUTATIONS = (
    Mutation(
        "task-starts-once",
        "tasks of a lost worker are started again",
        ((Dispatcher, "_fail_lost_tasks", _restart_lost_tasks),),
    ),
    Mutation(
        "answer-complete-or-failed",
        "an answer holds the outputs available so far",
        ((JobService, "answer", _answer_partially),),
    ),
    Mutation(
        "whole-answer-to-its-own-caller",
        "a reply goes to the caller that has waited longest",
        ((PeerCalls, "on_reply", _misroute_replies),),
    ),
    Mutation(
        "not-run-is-true",
        "the owner's record drops past workers",
        ((OwnerRecord, "with_workers", _drop_past_workers),),
    ),
    Mutation(
        "non-idempotent-at-most-once",
        "every failed request is retried",
        ((RequestService, "_may_retry", _always_retry),),
    ),
    Mutation(
        "leaving-upstream-gets-nothing",
        "leaving upstreams count as available",
        ((zone, "_is_available_upstream", _include_leaving_upstreams),),
    ),
    Mutation(
        "graceful-shutdown-cuts-nothing",
        "an instance shuts down without draining",
        ((Daemon, "drain", _skip_drain),),
    ),
    Mutation(
        "configuration-never-reverts",
        "a peer's snapshot is applied whatever its revision",
        (
            (ConfigState, "load", _load_any_revision),
            (ConfigFollower, "_peer_ahead", _find_any_peer),
            (ConfigFollower, "_on_query", _always_answer_snapshot),
        ),
    ),
)


def count_histories_until_detected(mutation: Mutation, seed: int, rounds: int) -> int | None:
    """Return the number of histories until the check fails, ``None`` if it never does."""
    with ExitStack() as stack:
        for target, name, function in mutation.replacements:
            stack.enter_context(patch.object(target, name, function))
        for number in range(rounds):
            outcome = run_history(seed * 10_000 + number)
            if outcome.verdicts[mutation.invariant].violations:
                return number + 1
    return None


def main() -> None:
    """Run the mutations; exit with status 1 if any is not detected."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--only", default="", help="invariant whose mutation to run")
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    undetected = 0
    for mutation in MUTATIONS:
        if arguments.only not in ("", mutation.invariant):
            continue
        count = count_histories_until_detected(mutation, arguments.seed, arguments.rounds)
        undetected += count is None
        verdict = f"caught after {count} histories" if count else "NOT caught"
        print(f"mutation «{mutation.name}»: {verdict} by {mutation.invariant}", flush=True)
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
