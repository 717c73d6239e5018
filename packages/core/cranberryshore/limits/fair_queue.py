"""Fair queue over teams with an urgent and an ordinary priority class."""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

ORDINARY_TURN_INTERVAL = 8


@attrs.define
class _TeamQueue(Generic[T]):
    entries: deque[T] = attrs.field(factory=deque)
    virtual_time: float = 0.0


@attrs.define
class _PriorityClass(Generic[T]):
    team_queues: dict[str, _TeamQueue[T]] = attrs.field(factory=dict)
    virtual_time: float = 0.0


@attrs.define
class FairQueue(Generic[T]):
    """Divides service equally between the teams with waiting entries.

    Implements start-time fair queueing [1]_: the virtual time of a team grows by the cost of
    the service it received, and the team with the smallest virtual time is served next. Urgent
    entries are served first, except that every ``ORDINARY_TURN_INTERVAL``-th turn prefers the
    ordinary class to prevent starvation.

    Parameters
    ----------
    is_live : callable
        Returns whether an entry still waits; other entries are removed when they reach the
        head of their queue.
    classes : tuple
        The ordinary and the urgent class, indexed by ``is_urgent``.
    turn_count : int
        Number of charged turns.
    length : int
        Number of queued entries, including those that no longer wait.

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
    classes: tuple[_PriorityClass[T], _PriorityClass[T]] = attrs.field(
        factory=lambda: (_PriorityClass(), _PriorityClass())
    )
    turn_count: int = 0
    length: int = 0

    def push(self, team: str, is_urgent: bool, entry: T, at_front: bool = False) -> None:
        """Add an entry to the queue of its team."""
        group = self.classes[is_urgent]
        team_queue = group.team_queues.get(team)
        if team_queue is None:
            team_queue = group.team_queues[team] = _TeamQueue()
        if not team_queue.entries:
            # A team accumulates no credit while it has no entries.
            team_queue.virtual_time = max(team_queue.virtual_time, group.virtual_time)
        if at_front:
            team_queue.entries.appendleft(entry)
        else:
            team_queue.entries.append(entry)
        self.length += 1

    def peek(self, skip: frozenset[tuple[str, bool]] = frozenset()) -> tuple[str, bool, T] | None:
        """Return the next entry with its team and class, except those of queues in ``skip``."""
        ordinary_first = self.turn_count % ORDINARY_TURN_INTERVAL == ORDINARY_TURN_INTERVAL - 1
        for is_urgent in (False, True) if ordinary_first else (True, False):
            team = self._next_team(is_urgent, skip)
            if team is not None:
                return team, is_urgent, self.classes[is_urgent].team_queues[team].entries[0]
        return None

    def charge(self, team: str, is_urgent: bool, cost: float) -> None:
        """Charge a team for received service."""
        group = self.classes[is_urgent]
        team_queue = group.team_queues[team]
        group.virtual_time = max(group.virtual_time, team_queue.virtual_time)
        team_queue.virtual_time += cost
        self.turn_count += 1

    def pop(self, team: str, is_urgent: bool) -> T:
        """Remove and return the first entry of a team's queue."""
        self.length -= 1
        return self.classes[is_urgent].team_queues[team].entries.popleft()

    def entries(self) -> Iterator[T]:
        """Iterate over all queued entries."""
        for group in self.classes:
            for team_queue in group.team_queues.values():
                yield from team_queue.entries

    def _next_team(self, is_urgent: bool, skip: frozenset[tuple[str, bool]]) -> str | None:
        best, best_time = None, 0.0
        for team, team_queue in self.classes[is_urgent].team_queues.items():
            if (team, is_urgent) in skip:
                continue
            while team_queue.entries and not self.is_live(team_queue.entries[0]):
                team_queue.entries.popleft()
                self.length -= 1
            if not team_queue.entries:
                continue
            if best is None or team_queue.virtual_time < best_time:
                best, best_time = team, team_queue.virtual_time
        return best
