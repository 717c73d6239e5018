"""An event loop whose time passes only when nothing else is left to do."""

import asyncio
import selectors
from collections.abc import Mapping
from typing import Any


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
    """A loop in virtual time; the same program takes the same turns every time."""

    def __init__(self) -> None:
        selector = _InstantSelector()
        super().__init__(selector)
        selector.loop = self
        self.now = 0.0

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.now
