"""Mutation tests of the limits on HTTP clients: without a limit, one of its tests has to fail."""

import io
import logging
import sys
import unittest
from argparse import ArgumentParser
from collections.abc import Callable
from unittest.mock import patch

import attrs
import structlog

from cranberryshore.intake import (
    ConnectionTable,
    InputBudget,
    Phase,
    Progress,
    RequestFramer,
    chunks,
    framing,
    limits,
)
from cranberryshored.intake import handler
from cranberryshored.intake.guard import IntakeGuard, ListenerGuard
from cranberryshored.intake.handler import GuardedHandler

FRAMES = "cranberryshore.intake.tests.test_framing.LimitTest"
DECISIONS = "cranberryshore.intake.tests.test_decisions"
SERVER = "cranberryshored.intake.tests.test_handler"


@attrs.frozen
class IntakeMutation:
    """Defect, and the tests of which at least one has to fail."""

    name: str
    owner: object
    attribute: str
    substitute: object
    tests: str


def _constant(value: object) -> Callable:
    return lambda *arguments: value


FIND_HEAD = RequestFramer._find_head
PARSE_FRAMING = framing.parse_framing
CHOOSE = ConnectionTable.choose


def _find_head_without_limit(self: RequestFramer) -> object:
    limited = self.limits
    self.limits = attrs.evolve(limited, head_bytes=10**9)
    refusal = FIND_HEAD(self)
    self.limits = limited
    return refusal


def _parse_any_framing(head: bytes) -> object:
    parsed = PARSE_FRAMING(head)
    return parsed if isinstance(parsed, framing.Framing) else framing.Framing()


def _find_head_with_any_body(self: RequestFramer) -> object:
    limited = self.limits
    self.limits = attrs.evolve(limited, body_bytes=10**9)
    refusal = FIND_HEAD(self)
    self.limits = limited
    return refusal


def _grant_at_once(self: InputBudget, key: object, amount: int, now: float) -> bool:
    if key not in self.reserved:
        self._grant(key, amount, now)
    return True


def _choose_any(self: ConnectionTable, now: float) -> object:
    chosen = CHOOSE(self, now)
    return next(iter(self.phases)) if chosen is None else chosen


def _choose_oldest(self: ConnectionTable, now: float) -> object:
    return next(iter(self.phases))


def _refuse_with_reset(self: GuardedHandler, cause: object) -> None:
    self.is_refused = True
    self._forget()
    self.listener.guard.report(cause, self.listener)
    self.transport.abort()


MUTATIONS = (
    IntakeMutation(
        "heads: no limit", RequestFramer, "_find_head", _find_head_without_limit, FRAMES
    ),
    IntakeMutation(
        "empty lines: no limit", RequestFramer, "_skip_empty_lines", _constant(None), FRAMES
    ),
    IntakeMutation(
        "bodies: no limit", RequestFramer, "_find_head", _find_head_with_any_body, FRAMES
    ),
    IntakeMutation("framing: any is taken", framing, "parse_framing", _parse_any_framing, FRAMES),
    IntakeMutation("chunks: any size line", chunks, "SIZE_LINE_BYTES", 10**9, FRAMES),
    IntakeMutation(
        "chunked: reserves nothing", RequestFramer, "reservation_bytes", _constant(0), FRAMES
    ),
    IntakeMutation(
        "memory: large ones never wait", InputBudget, "reserve", _grant_at_once, DECISIONS
    ),
    IntakeMutation("memory: no limit", InputBudget, "_has_room", _constant(True), DECISIONS),
    IntakeMutation("memory: small ones", InputBudget, "is_exceeded", _constant(False), DECISIONS),
    IntakeMutation("memory: nobody yields", InputBudget, "stalled", _constant([]), DECISIONS),
    IntakeMutation(
        "memory: pending ones yield", InputBudget, "mark_pending", _constant(None), DECISIONS
    ),
    IntakeMutation("memory: no wait limit", InputBudget, "overdue", _constant([]), DECISIONS),
    IntakeMutation("time: no limit", Progress, "check", _constant(None), DECISIONS),
    IntakeMutation(
        "connections: no limit", ConnectionTable, "is_full", _constant(False), DECISIONS
    ),
    IntakeMutation(
        "connections: pending ones close", ConnectionTable, "choose", _choose_any, DECISIONS
    ),
    IntakeMutation(
        "connections: oldest first", ConnectionTable, "choose", _choose_oldest, DECISIONS
    ),
    IntakeMutation("connections: no outgoing share", limits, "OUTGOING_SHARE", -1.0, DECISIONS),
    IntakeMutation("connections: memory is ignored", limits, "CONNECTION_SHARE", 100.0, DECISIONS),
    IntakeMutation(
        "server: no connection is refused",
        ListenerGuard,
        "admit",
        lambda self, key, now: self.table.set_phase(key, Phase.SILENT, now) or True,
        f"{SERVER}.ConnectionLimitTest",
    ),
    IntakeMutation(
        "server: time limits are not checked",
        IntakeGuard,
        "schedule_sweep",
        _constant(None),
        f"{SERVER}.RefusalTest.test_replies",
    ),
    IntakeMutation(
        "server: waiting clients are read",
        GuardedHandler,
        "_update_reading",
        _constant(None),
        f"{SERVER}.MemoryTest.test_waiting_clients_are_held_by_flow_control",
    ),
    IntakeMutation(
        "server: clients that send ahead keep their places",
        GuardedHandler,
        "_mark_ahead",
        _constant(None),
        f"{SERVER}.PipelineLimitTest",
    ),
    IntakeMutation(
        "server: requests sent ahead are kept",
        GuardedHandler,
        "_keep_pipelined",
        GuardedHandler._mark_ahead,
        f"{SERVER}.MemoryTest.test_requests_in_advance_are_dropped_if_memory_is_short",
    ),
    IntakeMutation(
        "server: refusals are reset",
        GuardedHandler,
        "refuse",
        _refuse_with_reset,
        f"{SERVER}.RefusalTest.test_request_after_a_refused_one_is_not_handed_over",
    ),
    IntakeMutation(
        "server: no input is discarded",
        handler,
        "MAX_LINGERING",
        0,
        f"{SERVER}.RefusalTest.test_replies",
    ),
    IntakeMutation(
        "server: unread responses stay",
        GuardedHandler,
        "pause_writing",
        lambda self: super(GuardedHandler, self).pause_writing(),
        f"{SERVER}.UnreadResponseTest",
    ),
)


def count_failures(mutation: IntakeMutation | None, tests: str) -> int:
    """Return how many of the tests fail, with a mutation or without any."""
    suite = unittest.defaultTestLoader.loadTestsFromName(tests)
    runner = unittest.TextTestRunner(stream=io.StringIO())
    if mutation is None:
        result = runner.run(suite)
    else:
        with patch.object(mutation.owner, mutation.attribute, mutation.substitute):
            result = runner.run(suite)
    return len(result.failures) + len(result.errors)


def main() -> None:
    """Run the mutations; exit with status 1 if a test fails without one or one fails no test."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of the name of the mutation to run")
    arguments = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
    chosen = [mutation for mutation in MUTATIONS if arguments.only in mutation.name]
    faults = 0
    for tests in sorted({mutation.tests for mutation in chosen}):
        if count_failures(None, tests):
            faults += 1
            print(f"fails without a mutation: {tests}", flush=True)
    for mutation in chosen:
        count = count_failures(mutation, mutation.tests)
        faults += not count
        print(
            f"mutation «{mutation.name}»: {f'fails {count} tests' if count else 'NOT caught'}",
            flush=True,
        )
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
