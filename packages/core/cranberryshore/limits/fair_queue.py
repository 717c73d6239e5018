"""Fair queue over teams with an urgent and an ordinary class."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

ORDINARY_TURN = 8


@attrs.define
class _Line(Generic[T]):
    entries: deque[T] = attrs.field(factory=deque)
    virtual_time: float = 0.0


@attrs.define
class _Class(Generic[T]):
    lines: dict[str, _Line[T]] = attrs.field(factory=dict)
    virtual_time: float = 0.0


@attrs.define
class FairQueue(Generic[T]):
    """Gives each team with waiting work an equal part of what is handed out.

    Start-time fair queueing [1]_: each team's virtual time grows by the cost of what it has been
    given, and the team with the smallest virtual time is next. Urgent entries go first, but
    every ``ORDINARY_TURN``-th turn belongs to the ordinary class, so that it never starves.

    Parameters
    ----------
    is_live : callable
        Tells whether an entry still waits; others are dropped when they come to the front.

    References
    ----------
    .. [1] P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing", SIGCOMM 1996.

    Examples
    --------
    >>> queue = FairQueue(is_live=lambda entry: True)
    >>> for name in ("a1", "a2", "b1"):
    ...     queue.push(name[0], False, name)
    >>> order = []
    >>> while (head := queue.peek()) is not None:
    ...     order.append(head[2])
    ...     queue.charge(head[0], head[1], cost=1.0)
    ...     _ = queue.pop(head[0], head[1])
    >>> order
    ['a1', 'b1', 'a2']
    """

    is_live: Callable[[T], bool]
    classes: tuple[_Class[T], _Class[T]] = attrs.field(factory=lambda: (_Class(), _Class()))
    turns: int = 0
    length: int = 0

    def push(self, team: str, is_urgent: bool, entry: T, at_front: bool = False) -> None:
        """Add an entry to its team's line."""
        group = self.classes[is_urgent]
        line = group.lines.get(team)
        if line is None:
            line = group.lines[team] = _Line()
        if not line.entries:
            line.virtual_time = max(line.virtual_time, group.virtual_time)
        if at_front:
            line.entries.appendleft(entry)
        else:
            line.entries.append(entry)
        self.length += 1

    def peek(self, skip: frozenset[tuple[str, bool]] = frozenset()) -> tuple[str, bool, T] | None:
        """Return the next entry with its team and class, passing over the lines in ``skip``."""
        ordinary_first = self.turns % ORDINARY_TURN == ORDINARY_TURN - 1
        for is_urgent in (False, True) if ordinary_first else (True, False):
            team = self._next_team(is_urgent, skip)
            if team is not None:
                return team, is_urgent, self.classes[is_urgent].lines[team].entries[0]
        return None

    def charge(self, team: str, is_urgent: bool, cost: float) -> None:
        """Count what a team has been given."""
        group = self.classes[is_urgent]
        line = group.lines[team]
        group.virtual_time = max(group.virtual_time, line.virtual_time)
        line.virtual_time += cost
        self.turns += 1

    def pop(self, team: str, is_urgent: bool) -> T:
        """Remove and return the first entry of a team's line."""
        self.length -= 1
        return self.classes[is_urgent].lines[team].entries.popleft()

    def entries(self) -> Iterator[T]:
        """Iterate over all waiting entries."""
        for group in self.classes:
            for line in group.lines.values():
                yield from line.entries

    def _next_team(self, is_urgent: bool, skip: frozenset[tuple[str, bool]]) -> str | None:
        best, best_time = None, 0.0
        for team, line in self.classes[is_urgent].lines.items():
            if (team, is_urgent) in skip:
                continue
            while line.entries and not self.is_live(line.entries[0]):
                line.entries.popleft()
                self.length -= 1
            if not line.entries:
                continue
            if best is None or line.virtual_time < best_time:
                best, best_time = team, line.virtual_time
        return best
