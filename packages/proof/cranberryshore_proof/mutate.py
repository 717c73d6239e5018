"""Deliberate breaks of the product, one for each invariant, to show that its check can fail."""

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
from cranberryshore_proof.play import play
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


def _answer_in_parts(self: JobService, job: Job) -> JobAnswer:
    outputs = tuple(output for output in job.outputs if output is not None) or None
    return JobAnswer(str(job.id), job.state, len(job.states), outputs, job.failure)


def _cross_replies(self: PeerCalls, reply: PeerReply) -> None:
    future = self.waiting.get(reply.number)
    if reply.kind == JobAnswer.__name__:
        waiting = [other for other in self.waiting.values() if not other.done()]
        future = waiting[0] if waiting else None
    if future is not None and not future.done():
        future.set_result(decode_message(reply.kind, reply.body))


def _forget_past_workers(
    self: OwnerRecord, workers: frozenset[OwnedWorker], next_sequence: int
) -> OwnerRecord:
    return attrs.evolve(self, workers=tuple(sorted(workers)))


def _retry_everything(self: RequestService, *arguments: object) -> bool:
    return self.budget.try_acquire()


def _keep_leaving(item: ListedInstance, zone_name: str) -> bool:
    return item.kind is InstanceKind.UPSTREAM and item.zone == zone_name


async def _stop_at_once(self: Daemon) -> None:
    return


def _any_other_peer(self: ConfigFollower) -> Peer | None:
    for peer in self.membership.table.reachable():
        if self.peer_revisions.get(peer.incarnation, 0) not in (0, self.state.revision):
            return peer
    return None


async def _answer_snapshot(self: ConfigFollower, query: ConfigQuery) -> ConfigAnswer:
    return ConfigAnswer(self.state.revision, snapshot=self.state.snapshot())


def _load_anything(self: ConfigState, snapshot: Snapshot) -> bool:
    self.resources = dict(snapshot.resources)
    self.revision = snapshot.revision
    return True


@attrs.frozen
class Mutation:
    """One break: what is replaced by what, and which invariant must notice."""

    invariant: str
    name: str
    replaced: tuple[tuple[object, str, Callable], ...]


MUTATIONS = (
    Mutation(
        "task-starts-once",
        "tasks of a lost worker are started again",
        ((Dispatcher, "_fail_lost_tasks", _restart_lost_tasks),),
    ),
    Mutation(
        "answer-complete-or-failed",
        "an answer holds whatever outputs there are",
        ((JobService, "answer", _answer_in_parts),),
    ),
    Mutation(
        "whole-answer-to-its-own-caller",
        "a reply goes to whoever waits longest",
        ((PeerCalls, "on_reply", _cross_replies),),
    ),
    Mutation(
        "not-run-is-true",
        "the owner's record forgets past workers",
        ((OwnerRecord, "with_workers", _forget_past_workers),),
    ),
    Mutation(
        "non-idempotent-at-most-once",
        "every broken request is tried again",
        ((RequestService, "_may_retry", _retry_everything),),
    ),
    Mutation(
        "leaving-upstream-gets-nothing",
        "leaving upstreams count as open",
        ((zone, "_is_available_upstream", _keep_leaving),),
    ),
    Mutation(
        "graceful-shutdown-cuts-nothing",
        "a leaving instance stops at once",
        ((Daemon, "drain", _stop_at_once),),
    ),
    Mutation(
        "configuration-never-reverts",
        "a peer's snapshot takes effect whatever its revision",
        (
            (ConfigState, "load", _load_anything),
            (ConfigFollower, "_peer_ahead", _any_other_peer),
            (ConfigFollower, "_on_query", _answer_snapshot),
        ),
    ),
)


def histories_until_caught(mutation: Mutation, seed: int, rounds: int) -> int | None:
    """Return after how many histories the invariant's check fails; ``None`` if it never does."""
    with ExitStack() as stack:
        for target, name, function in mutation.replaced:
            stack.enter_context(patch.object(target, name, function))
        for number in range(rounds):
            outcome = play(seed * 10_000 + number)
            if outcome.verdicts[mutation.invariant].violations:
                return number + 1
    return None


def main() -> None:
    """Run all mutations; exit with 1 if any goes unnoticed."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--only", default="", help="invariant whose mutation to run")
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    missed = 0
    for mutation in MUTATIONS:
        if arguments.only not in ("", mutation.invariant):
            continue
        count = histories_until_caught(mutation, arguments.seed, arguments.rounds)
        missed += count is None
        told = f"caught after {count} histories" if count else "NOT caught"
        print(f"mutation «{mutation.name}»: {told} by {mutation.invariant}", flush=True)
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
