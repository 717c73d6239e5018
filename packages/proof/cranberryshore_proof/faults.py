"""Drawn faults, as data, so that a history can be shrunk by leaving some out."""

from enum import Enum
from random import Random

import attrs


class FaultKind(Enum):
    """What can fail."""

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


_OFTEN = (FaultKind.DRAIN_ENTRY, FaultKind.LEAVE_UPSTREAM, FaultKind.KILL_ENTRY)
WEIGHTS = [2 if kind in _OFTEN else 1 for kind in FaultKind]


@attrs.frozen
class Fault:
    """One fault: what, when, for how long, and on which nodes (by number)."""

    kind: FaultKind
    at: float
    seconds: float
    one: int
    other: int


def draw_faults(random: Random, seconds: float, most: int = 8) -> list[Fault]:
    """Draw up to ``most`` faults, some of them at the same moment."""
    faults: list[Fault] = []
    for _ in range(random.randint(1, most)):
        at = random.uniform(1.0, seconds)
        if faults and random.random() < 0.3:
            at = faults[-1].at + random.uniform(0.0, 0.2)
        kind = random.choices(list(FaultKind), WEIGHTS)[0]
        length = random.choice((0.3, 1.0, 2.0, 4.0, 7.0))
        faults.append(Fault(kind, at, length, random.randrange(100), random.randrange(100)))
    return sorted(faults, key=lambda fault: fault.at)
