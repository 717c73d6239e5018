"""A network in virtual time: delays, cuts, processes that stand still, processes that die."""

import asyncio
from collections.abc import Callable
from contextvars import Context, ContextVar
from random import Random

import attrs

from cranberryshore_proof.virtual_loop import CURRENT_NODE, VirtualLoop

DEFAULT_DELAY_SECONDS = (0.0002, 0.001)
PENDING_MESSAGES = 2000


@attrs.define(eq=False)
class Network:
    """Carries messages between named nodes in order, each after a drawn delay.

    Messages over a cut, and to a node that stands still, wait until it ends, as they do in the
    buffers of a TCP connection. Messages of a dead run of a node are dropped.
    """

    random: Random
    delay_seconds: tuple[float, float] = DEFAULT_DELAY_SECONDS
    cuts: set[frozenset[str]] = attrs.field(factory=set)
    frozen: set[str] = attrs.field(factory=set)
    runs: dict[str, int] = attrs.field(factory=dict)
    dead: set[str] = attrs.field(factory=set)
    waiting: dict[tuple[str, str], list[Callable[[], None]]] = attrs.field(factory=dict)
    arrival: dict[tuple[str, str], float] = attrs.field(factory=dict)
    tasks: dict[str, dict[asyncio.Task, None]] = attrs.field(factory=dict)

    def is_blocked(self, source: str, target: str) -> bool:
        """Tell whether messages wait."""
        if target in self.frozen:
            return True
        return frozenset((source, target)) in self.cuts

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Carry one message; ``deliver`` runs at the target."""
        if source in self.dead or target in self.dead:
            return
        source_run = self.runs.get(source, 0)
        if CURRENT_NODE.get() == source and _RUN.get() not in (None, source_run):
            return
        loop = asyncio.get_running_loop()
        key = (source, target)
        at = loop.time() + self.random.uniform(*self.delay_seconds)
        at = max(at, self.arrival.get(key, 0.0))
        self.arrival[key] = at
        target_run = self.runs.get(target, 0)

        def arrive() -> None:
            if target in self.dead or self.runs.get(target, 0) != target_run:
                return
            if self.is_blocked(source, target) or self.waiting.get(key):
                held = self.waiting.setdefault(key, [])
                if len(held) < PENDING_MESSAGES:
                    held.append(arrive)
                return
            deliver()

        # The network goes on while the sender stands still.
        loop.call_at(at, arrive, context=Context())

    def cut(self, one: str, other: str) -> None:
        """Let messages between two nodes wait."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Let messages between two nodes pass again."""
        self.cuts.discard(frozenset((one, other)))
        self._release()

    def freeze(self, node: str) -> None:
        """Let a node stand still."""
        self.frozen.add(node)
        self._loop().freeze(node)

    def wake(self, node: str) -> None:
        """Let a node go on."""
        self.frozen.discard(node)
        self._loop().wake(node)
        self._release()

    def begin_run(self, node: str) -> int:
        """Start a run of a node and return its number."""
        self.dead.discard(node)
        self.runs[node] = self.runs.get(node, 0) + 1
        return self.runs[node]

    def end_run(self, node: str) -> None:
        """Kill a run of a node: its tasks end and nothing of it is heard any more."""
        self.dead.add(node)
        self.frozen.discard(node)
        self._loop().wake(node)
        for key in [key for key in self.waiting if key[1] == node]:
            # What waited for a process that stood still is lost with it.
            del self.waiting[key]
        for task in list(self.tasks.pop(node, ())):
            task.cancel()

    def spawn(self, node: str, coroutine) -> asyncio.Task:
        """Run a coroutine as part of the present run of a node."""
        context_node = CURRENT_NODE.set(node)
        context_run = _RUN.set(self.runs.get(node, 0))
        try:
            return asyncio.get_running_loop().create_task(coroutine)
        finally:
            CURRENT_NODE.reset(context_node)
            _RUN.reset(context_run)

    def task_factory(self, loop: asyncio.AbstractEventLoop, coroutine, **options) -> asyncio.Task:
        """Make a task that dies with the run of the node that made it."""
        task = asyncio.Task(coroutine, loop=loop, **options)
        node = CURRENT_NODE.get()
        if node:
            held = self.tasks.setdefault(node, {})
            held[task] = None
            task.add_done_callback(lambda task: held.pop(task, None))
        return task

    def _loop(self) -> VirtualLoop:
        return asyncio.get_running_loop()

    def _release(self) -> None:
        for key in sorted(self.waiting):
            if self.is_blocked(*key):
                continue
            for arrive in self.waiting.pop(key):
                arrive()


_RUN: ContextVar[int | None] = ContextVar("run", default=None)
