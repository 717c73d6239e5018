"""An event loop whose time passes only when nothing else is left to do."""

import asyncio
import selectors
from collections.abc import Callable, Coroutine, Mapping
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")

CURRENT_NODE: ContextVar[str] = ContextVar("current_node", default="")


class DeadlockError(RuntimeError):
    """Nothing is due and nothing can become due."""


class _InstantSelector(selectors.BaseSelector):
    """Never sleeps: a wait of some seconds moves the loop's clock on by as much."""

    def __init__(self) -> None:
        self.inner = selectors.DefaultSelector()
        self.loop: VirtualLoop | None = None

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file object."""
        return self.inner.register(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a file object."""
        return self.inner.unregister(fileobj)

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the registered file objects."""
        return self.inner.get_map()

    def close(self) -> None:
        """Close the selector."""
        self.inner.close()

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; pass the time otherwise."""
        ready = self.inner.select(0)
        if ready:
            return ready
        if timeout is None:
            raise DeadlockError("nothing is due")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time; the same program takes the same turns every time.

    A callback that belongs to a frozen node, by the context that it was scheduled in, waits
    until the node is woken, as all code of a stopped process does.
    """

    def __init__(self) -> None:
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self
        self.now = 0.0
        self.frozen: dict[str, list[Callable[[], None]]] = {}

    def freeze(self, node: str) -> None:
        """Stop all callbacks of a node."""
        self.frozen.setdefault(node, [])

    def wake(self, node: str) -> None:
        """Go on with the callbacks of a node, in their order."""
        for resume in self.frozen.pop(node, ()):
            resume()

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback for the next turn."""
        context = context or copy_context()
        return super().call_soon(self._gated(callback, args, context), context=context)

    def call_at(
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback for a time."""
        context = context or copy_context()
        return super().call_at(when, self._gated(callback, args, context), context=context)

    def _gated(
        self, callback: Callable[..., Any], args: tuple[Any, ...], context: Context
    ) -> Callable[[], None]:
        node = context.get(CURRENT_NODE, "")
        if not node:
            return lambda: callback(*args)

        def run() -> None:
            held = self.frozen.get(node)
            if held is None:
                callback(*args)
            else:
                held.append(lambda: self.call_soon(callback, *args, context=context))

        return run

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a virtual loop of its own and end all that it leaves running."""
    loop = VirtualLoop()
    try:
        result = loop.run_until_complete(coroutine)
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
    finally:
        loop.close()
    return result
