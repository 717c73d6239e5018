"""Messages to one peer that must arrive, once and in order, over a transport that loses some.

A channel between two instances can break or fall silent for good while a new one works. Messages
are numbered, the receiver tells in its beats how far it has received, and what stays unconfirmed
is sent again.
"""

from collections.abc import Callable
from typing import Any

import attrs

RESEND_SECONDS = 0.35
"""Longer than two beats of 0.15 s, so that a confirmation that is under way is not overtaken."""


@attrs.define
class OutStream:
    """Numbered messages to one incarnation of a peer."""

    last: int = 0
    unconfirmed: dict[int, tuple[Any, float]] = attrs.field(factory=dict)

    def next_number(self) -> int:
        """Return the number of the next message."""
        self.last += 1
        return self.last

    def sent(self, message: Any, now: float) -> None:
        """Remember a message until it is confirmed."""
        self.unconfirmed[message.number] = (message, now)

    def confirm(self, received: int) -> None:
        """Forget all messages up to a number."""
        for number in [number for number in self.unconfirmed if number <= received]:
            del self.unconfirmed[number]

    def replace(self, renew: Callable[[Any], Any]) -> None:
        """Put what a function returns in the place of each unconfirmed message."""
        for number, (message, sent_at) in self.unconfirmed.items():
            self.unconfirmed[number] = (renew(message), sent_at)

    def due(self, now: float) -> list[Any]:
        """Return the messages that are to be sent again now."""
        late = [
            number
            for number, (_, sent_at) in self.unconfirmed.items()
            if now - sent_at >= RESEND_SECONDS
        ]
        messages = []
        for number in sorted(late):
            message, _ = self.unconfirmed[number]
            self.unconfirmed[number] = (message, now)
            messages.append(message)
        return messages


@attrs.define
class InStream:
    """Numbered messages from one incarnation of a peer.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> stream = InStream()
    >>> [m.number for m in stream.take(SimpleNamespace(number=2))]
    []
    >>> [m.number for m in stream.take(SimpleNamespace(number=1))]
    [1, 2]
    """

    received: int = 0
    ahead: dict[int, Any] = attrs.field(factory=dict)

    def take(self, message: Any) -> list[Any]:
        """Return the messages that are in order now; none for one that came before."""
        if message.number <= self.received:
            return []
        self.ahead[message.number] = message
        ready = []
        while self.received + 1 in self.ahead:
            self.received += 1
            ready.append(self.ahead.pop(self.received))
        return ready
