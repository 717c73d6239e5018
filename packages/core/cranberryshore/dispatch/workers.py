"""State of the zone's workers in one dispatcher."""

import attrs

from cranberryshore.placement.assignment import Assignment
from cranberryshore.placement.health import PoolHealth
from cranberryshore.placement.shared_pool import Grant, SharedPool
from cranberryshore.work.capacity import Capacity


@attrs.define
class WorkerState:
    """One worker incarnation that this owner may use."""

    incarnation: str
    is_connected: bool = False
    is_leaving: bool = False
    blocked_until: float = 0.0


@attrs.define
class WorkerSet:
    """Sessions, capacity and health of the workers, updated together."""

    pool: SharedPool = attrs.field(factory=SharedPool)
    health: PoolHealth = attrs.field(factory=PoolHealth)
    states: dict[str, WorkerState] = attrs.field(factory=dict)
    assignment: Assignment = Assignment()

    def add(self, name: str, incarnation: str, total: Capacity) -> bool:
        """Add a worker; return whether it replaces another incarnation with the same name."""
        state = self.states.get(name)
        is_replaced = state is not None and state.incarnation != incarnation
        if state is None or is_replaced:
            self.pool.remove(name)
            self.states[name] = WorkerState(incarnation)
            self.health.workers.pop(name, None)
        self.states[name].is_leaving = False
        self.pool.add(name, total)
        self._update_open(name)
        self.pool.assign(self.assignment)
        return is_replaced

    def open(self, name: str, incarnation: str) -> bool:
        """Mark a session as open; return whether the incarnation is the current one."""
        state = self.states.get(name)
        if state is None or state.incarnation != incarnation:
            return False
        state.is_connected = True
        self._update_open(name)
        return True

    def close(self, name: str, incarnation: str, is_leaving: bool) -> bool:
        """Exclude a worker from placement; return whether the incarnation is the current one."""
        state = self.states.get(name)
        if state is None or state.incarnation != incarnation:
            return False
        if is_leaving:
            state.is_leaving = True
        else:
            state.is_connected = False
        self._update_open(name)
        return True

    def assign(self, assignment: Assignment) -> list[Grant]:
        """Apply an assignment; return the capacity in use that new assignees must be told."""
        self.assignment = assignment
        return self.pool.assign(assignment)

    def block(self, name: str, until: float) -> None:
        """Place no tasks on a worker until ``until``, after it refused to start tasks."""
        state = self.states.get(name)
        if state is not None:
            state.blocked_until = until

    def place(
        self, demand: Capacity, count: int, now: float, kept: str = ""
    ) -> list[tuple[str, int]]:
        """Allocate capacity for up to ``count`` tasks, not on the reserved worker ``kept``."""

        def allowance(name: str) -> int:
            if name == kept or self.states[name].blocked_until > now:
                return 0
            return self.health.allowance(name, now)

        placed = self.pool.place(demand, count, self.health.placement_rank, allowance)
        for name, _ in placed:
            record = self.health.record_for(name)
            # A worker whose isolation has ended receives only a probe task.
            record.probe_running = bool(record.isolation_seconds)
        return placed

    def most_free_worker(self, demand: Capacity) -> str | None:
        """Return the worker with most free millicores whose total capacity holds ``demand``.

        Only assigned open workers are considered.
        """
        best, best_free = None, float("-inf")
        for name, member in self.pool.members.items():
            if not (member.is_assigned and member.is_open and member.total.holds(demand)):
                continue
            free = self.pool.free(name).millicores
            if free > best_free:
                best, best_free = name, free
        return best

    def _update_open(self, name: str) -> None:
        state = self.states[name]
        self.pool.members[name].is_open = state.is_connected and not state.is_leaving
