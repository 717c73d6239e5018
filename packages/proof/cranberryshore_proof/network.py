"""Simulated network in virtual time, with delays, cut links, and frozen and killed nodes."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar
from random import Random

import attrs

from cranberryshore_proof.virtual_loop import CURRENT_NODE, VirtualLoop

DEFAULT_DELAY_RANGE_SECONDS = (0.0002, 0.001)
MAX_BLOCKED_MESSAGES = 2000


@attrs.define(eq=False)
class Network:
    """Delivers the messages between two nodes in order, each after a random delay.

    Messages over a cut link or to a frozen node wait until it is healed or unfrozen, as in the
    buffers of a TCP connection; further ones are dropped while ``MAX_BLOCKED_MESSAGES`` wait from
    one node to another. Each restart of a node begins a new run; messages from and to a killed
    run are dropped. Connections to the addresses in ``resetting`` are refused. The keys of
    ``waiting``, of ``in_transit`` and of ``last_arrival_at``, which keeps messages in order, are
    source and target.
    """

    random: Random
    delay_range_seconds: tuple[float, float] = DEFAULT_DELAY_RANGE_SECONDS
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    resetting: set[str] = attrs.field(factory=set)
    runs: dict[str, int] = attrs.field(factory=dict)
    dead: set[str] = attrs.field(factory=set)
    waiting: dict[tuple[str, str], list[Callable[[], None]]] = attrs.field(factory=dict)
    last_arrival_at: dict[tuple[str, str], float] = attrs.field(factory=dict)
    in_transit: dict[tuple[str, str], deque[Callable[[], None]]] = attrs.field(factory=dict)
    tasks: dict[str, dict[asyncio.Task, None]] = attrs.field(factory=dict)

    def is_blocked(self, source: str, target: str) -> bool:
        """Return whether messages from ``source`` to ``target`` wait."""
        if target in self.frozen:
            return True
        return frozenset((source, target)) in self.cuts

    def send(
        self, source: str, target: str, deliver: Callable[[], None], transfer_seconds: float = 0.0
    ) -> None:
        """Send a message; ``deliver`` is called when it arrives.

        ``transfer_seconds`` is the time that the links need for it, in addition to the delay.
        """
        if source in self.dead or target in self.dead:
            return
        source_run = self.runs.get(source, 0)
        if CURRENT_NODE.get() == source and _CURRENT_RUN.get() not in (None, source_run):
            return
        loop = asyncio.get_running_loop()
        key = (source, target)
        at = loop.time() + self.random.uniform(*self.delay_range_seconds) + transfer_seconds
        at = max(at, self.last_arrival_at.get(key, 0.0))
        self.last_arrival_at[key] = at
        target_run = self.runs.get(target, 0)

        def arrive() -> None:
            if target in self.dead or self.runs.get(target, 0) != target_run:
                return
            if self.is_blocked(source, target) or self.waiting.get(key):
                held = self.waiting.setdefault(key, [])
                if len(held) < MAX_BLOCKED_MESSAGES:
                    held.append(arrive)
                return
            deliver()

        # Timers of the same time may be called in another order than that of the messages.
        in_transit = self.in_transit.setdefault(key, deque())
        in_transit.append(arrive)
        # An empty context, so that a sent message arrives even while its sender is frozen.
        loop.call_at(at, lambda: in_transit.popleft()(), context=Context())

    def cut(self, first: str, second: str) -> None:
        """Cut the link between two nodes."""
        self.cuts.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Restore the link between two nodes and deliver the waiting messages."""
        self.cuts.discard(frozenset((first, second)))
        self.deliver_unblocked()

    def freeze(self, node: str) -> None:
        """Suspend a node: its callbacks are deferred and messages to it wait."""
        self.frozen.add(node)
        self._loop().freeze(node)

    def unfreeze(self, node: str) -> None:
        """Resume a node and deliver the waiting messages."""
        self.frozen.discard(node)
        self._loop().unfreeze(node)
        self.deliver_unblocked()

    def begin_run(self, node: str) -> int:
        """Begin a new run of a node and return its number."""
        self.dead.discard(node)
        self.runs[node] = self.runs.get(node, 0) + 1
        return self.runs[node]

    def kill_run(self, node: str) -> None:
        """Kill the present run of a node: its tasks are cancelled and it sends nothing more."""
        self.dead.add(node)
        self.frozen.discard(node)
        self._loop().unfreeze(node)
        for key in [key for key in self.waiting if key[1] == node]:
            # Messages in the receive buffers of a killed process are lost.
            del self.waiting[key]
        for task in list(self.tasks.pop(node, ())):
            task.cancel()

    def spawn(self, node: str, coroutine) -> asyncio.Task:
        """Start a coroutine in the present run of a node."""
        node_token = CURRENT_NODE.set(node)
        run_token = _CURRENT_RUN.set(self.runs.get(node, 0))
        try:
            return asyncio.get_running_loop().create_task(coroutine)
        finally:
            CURRENT_NODE.reset(node_token)
            _CURRENT_RUN.reset(run_token)

    def run_on(self, node: str, callback: Callable[[], None]) -> None:
        """Run a callback of the present run of a node, in turn with its other callbacks."""
        token = CURRENT_NODE.set(node)
        try:
            asyncio.get_running_loop().call_soon(callback)
        finally:
            CURRENT_NODE.reset(token)

    def task_factory(self, loop: asyncio.AbstractEventLoop, coroutine, **options) -> asyncio.Task:
        """Create a task that is cancelled when its node's run is killed."""
        task = asyncio.Task(coroutine, loop=loop, **options)
        node = CURRENT_NODE.get()
        if node:
            held = self.tasks.setdefault(node, {})
            held[task] = None
            task.add_done_callback(lambda task: held.pop(task, None))
        return task

    def _loop(self) -> VirtualLoop:
        return asyncio.get_running_loop()

    def deliver_unblocked(self) -> None:
        """Deliver the waiting messages that are no longer blocked."""
        for key in sorted(self.waiting):
            if self.is_blocked(*key):
                continue
            for arrive in self.waiting.pop(key):
                arrive()


_CURRENT_RUN: ContextVar[int | None] = ContextVar("run", default=None)
"""Run in which the code was started; ``None`` outside of all nodes."""
