"""Randomly chosen faults, kept as data so that a failing history can be minimized."""

from enum import Enum
from random import Random

import attrs


class FaultKind(Enum):
    """Kind of an injected fault."""

    KILL_ENTRY = "kill_entry"
    FREEZE_ENTRY = "freeze_entry"
    DRAIN_ENTRY = "drain_entry"
    CUT_PEERS = "cut_peers"
    CUT_ENTRY_WORKER = "cut_entry_worker"
    CUT_ENTRY_STORE = "cut_entry_store"
    CUT_ZONE = "cut_zone"
    STORE_DOWN = "store_down"
    LOSE_REPLIES = "lose_replies"
    KILL_WORKER = "kill_worker"
    FREEZE_WORKER = "freeze_worker"
    FAIL_WORKER = "fail_worker"
    BREAK_UPSTREAM = "break_upstream"
    LEAVE_UPSTREAM = "leave_upstream"


_FREQUENT_KINDS = (FaultKind.DRAIN_ENTRY, FaultKind.LEAVE_UPSTREAM, FaultKind.KILL_ENTRY)
WEIGHTS = [2 if kind in _FREQUENT_KINDS else 1 for kind in FaultKind]


@attrs.frozen
class Fault:
    """One fault.

    The two numbers select nodes modulo the number of candidates, or for some kinds another
    detail, such as how many replies of the store are lost.
    """

    kind: FaultKind
    at: float
    seconds: float
    first_number: int
    second_number: int


def draw_faults(random: Random, seconds: float, max_faults: int = 8) -> list[Fault]:
    """Return 1 to ``max_faults`` random faults, some of them within 0.2 s of each other."""
    faults: list[Fault] = []
    for _ in range(random.randint(1, max_faults)):
        at = random.uniform(1.0, seconds)
        if faults and random.random() < 0.3:
            at = faults[-1].at + random.uniform(0.0, 0.2)
        kind = random.choices(list(FaultKind), WEIGHTS)[0]
        duration = random.choice((0.3, 1.0, 2.0, 4.0, 7.0))
        faults.append(Fault(kind, at, duration, random.randrange(100), random.randrange(100)))
    return sorted(faults, key=lambda fault: fault.at)
