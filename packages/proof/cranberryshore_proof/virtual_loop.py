"""Event loop in virtual time: its clock advances only when no callback is ready."""

import asyncio
import selectors
from collections import deque
from collections.abc import Callable, Coroutine, Mapping
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

import attrs

T = TypeVar("T")

CURRENT_NODE: ContextVar[str] = ContextVar("current_node", default="")
"""Name of the node that the running code belongs to; empty outside of all nodes."""


class DeadlockError(RuntimeError):
    """No callback is ready and no timer is scheduled."""


class _VirtualTimeSelector(selectors.BaseSelector):
    """Selector that advances the loop's clock by the timeout instead of blocking."""

    def __init__(self) -> None:
        self.real_selector = selectors.DefaultSelector()
        self.loop: VirtualLoop | None = None

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        return self.real_selector.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.real_selector.unregister(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self.real_selector.get_map()

    def close(self) -> None:
        self.real_selector.close()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = self.real_selector.select(0)
        if ready:
            return ready
        if timeout is None:
            raise DeadlockError("no callback is ready and no timer is scheduled")
        if timeout > 0:
            self.loop.now += timeout
        return []


CALLBACK_SECONDS = 5e-6
"""Processor time of a callback, without the work that is charged separately."""


@attrs.define(eq=False)
class Processor:
    """Processor of a simulated node.

    Parameters
    ----------
    speed : float
        Share of a processor of speed 1.
    busy_until : float
        Virtual time at which the work so far is done.
    queue : deque
        Callbacks that wait for the processor.
    """

    speed: float
    busy_until: float = 0.0
    queue: deque[Callable[[], None]] = attrs.field(factory=deque)

    def is_busy(self, now: float) -> bool:
        """Return whether work or callbacks are pending."""
        return bool(self.queue) or self.busy_until > now

    def spend(self, seconds: float, now: float) -> None:
        """Add work of some seconds at speed 1."""
        self.busy_until = max(self.busy_until, now) + seconds / self.speed


@attrs.define(eq=False)
class DeferredCallback:
    """Callback of a node, which waits while the node is frozen or its processor is busy.

    Parameters
    ----------
    handle : asyncio.Handle or None
        Its handle, which may be cancelled while the callback waits.
    """

    loop: "VirtualLoop"
    node: str
    callback: Callable[..., Any]
    args: tuple[Any, ...]
    context: Context
    handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        """Run the callback, now or when the node can run it."""
        if not self.node:
            self.callback(*self.args)
            return
        held = self.loop.deferred_by_node.get(self.node)
        processor = self.loop.processors.get(self.node)
        if held is not None:
            held.append(self._reschedule)
        elif processor is not None and processor.is_busy(self.loop.now):
            self.loop.run_later(processor, self._run_unless_cancelled)
        else:
            self.loop.spend(self.node, CALLBACK_SECONDS)
            self.callback(*self.args)

    def _reschedule(self) -> None:
        self.loop.call_soon(self._call_unless_cancelled, context=self.context)

    def _run_unless_cancelled(self) -> None:
        self.context.run(self._call_unless_cancelled)

    def _call_unless_cancelled(self) -> None:
        if not self.handle.cancelled():
            self.callback(*self.args)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; the same program runs its callbacks in the same order each time.

    A callback belongs to the node that ``CURRENT_NODE`` names in its context. While that node is
    frozen, the callback is deferred, as in a process stopped by ``SIGSTOP``; ``deferred_by_node``
    has a key for each frozen node.

    A node with a processor in ``processors`` runs one callback after the other, each after the
    processor time of those before it.
    """

    def __init__(self) -> None:
        selector = _VirtualTimeSelector()
        super().__init__(selector)
        selector.loop = self
        self.now = 0.0
        self.deferred_by_node: dict[str, list[Callable[[], None]]] = {}
        self.processors: dict[str, Processor] = {}

    def freeze(self, node: str) -> None:
        """Defer all callbacks of a node until it is unfrozen."""
        self.deferred_by_node.setdefault(node, [])

    def unfreeze(self, node: str) -> None:
        """Reschedule the deferred callbacks of a node in their original order."""
        for resume in self.deferred_by_node.pop(node, ()):
            resume()

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next iteration of the loop."""
        context = context or copy_context()
        deferred = self._defer_while_frozen(callback, args, context)
        deferred.handle = super().call_soon(deferred, context=context)
        return deferred.handle

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for the virtual time ``when``."""
        context = context or copy_context()
        deferred = self._defer_while_frozen(callback, args, context)
        deferred.handle = super().call_at(when, deferred, context=context)
        return deferred.handle

    def _defer_while_frozen(
        self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context
    ) -> "DeferredCallback":
        node = context.get(CURRENT_NODE, "")
        return DeferredCallback(self, node, callback, args, context)

    def run_later(self, processor: "Processor", callback: Callable[[], None]) -> None:
        """Run a callback when the processor has finished its present work."""
        processor.queue.append(callback)
        if len(processor.queue) == 1:
            super().call_at(processor.busy_until, self._run_queued, processor, context=Context())

    def _run_queued(self, processor: "Processor") -> None:
        while processor.queue and processor.busy_until <= self.now:
            processor.spend(CALLBACK_SECONDS, self.now)
            processor.queue.popleft()()
        if processor.queue:
            super().call_at(processor.busy_until, self._run_queued, processor, context=Context())

    def spend(self, node: str, seconds: float) -> None:
        """Charge a node with processor time, in seconds of a processor of speed 1."""
        processor = self.processors.get(node)
        if processor is not None:
            processor.spend(seconds, self.now)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a new virtual loop, then cancel the tasks that are still running."""
    loop = VirtualLoop()
    try:
        result = loop.run_until_complete(coroutine)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    finally:
        loop.close()
    return result
