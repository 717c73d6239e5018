"""Messages to one peer that must arrive, once and in order, over a transport that loses some.

A connection between two instances can break or fall silent for good while a new one works. Messages
are numbered, the receiver tells in its beats how far it has received, and what stays unconfirmed
is sent again. Either side may forget the other after a long silence that the other one, frozen
meanwhile, does not notice; so every message says which stream it belongs to, and which number is
the oldest that matters.
"""

from collections.abc import Callable
from typing import Any

import attrs

RESEND_SECONDS = 0.35
"""Longer than two beats of 0.15 s, so that a confirmation that is under way is not overtaken."""


@attrs.frozen
class StreamPosition:
    """Where a message stands among those to one peer.

    Parameters
    ----------
    stream : int
        Unix time in milliseconds at which the sender began the stream.
    number : int
        Rises by one with each message of the stream, from 1.
    oldest : int
        All messages with a lower number were confirmed when this one was made.
    """

    stream: int
    number: int
    oldest: int


@attrs.define
class SendStream:
    """Numbered messages to one incarnation of a peer.

    Parameters
    ----------
    id : int
        Unix time in milliseconds at which the stream begins.
    """

    id: int
    last: int = 0
    unconfirmed: dict[int, tuple[Any, float]] = attrs.field(factory=dict)

    def next_position(self) -> StreamPosition:
        """Return the place of the next message."""
        self.last += 1
        return StreamPosition(self.id, self.last, min(self.unconfirmed, default=self.last))

    def record_sent(self, message: Any, now: float) -> None:
        """Remember a message until it is confirmed."""
        self.unconfirmed[message.place.number] = (message, now)

    def acknowledge(self, stream: int, received: int) -> None:
        """Forget all messages up to a number, if the peer speaks of this stream."""
        if stream != self.id:
            return
        for number in [number for number in self.unconfirmed if number <= received]:
            del self.unconfirmed[number]

    def replace(self, renew: Callable[[Any], Any]) -> None:
        """Put what a function returns in the place of each unconfirmed message."""
        for number, (message, sent_at) in self.unconfirmed.items():
            self.unconfirmed[number] = (renew(message), sent_at)

    def due_for_resend(self, now: float) -> list[Any]:
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
class ReceiveStream:
    """Numbered messages from one incarnation of a peer.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> stream = ReceiveStream()
    >>> first, second = (SimpleNamespace(place=StreamPosition(7, number, 1)) for number in (1, 2))
    >>> stream.take(second)
    []
    >>> stream.take(first) == [first, second]
    True
    """

    id: int = 0
    received: int = 0
    ahead: dict[int, Any] = attrs.field(factory=dict)

    def take(self, message: Any) -> list[Any]:
        """Return the messages that are in order now; none for one that came before."""
        place = message.place
        if place.stream > self.id:
            self.id, self.received = place.stream, 0
            self.ahead.clear()
        if place.stream < self.id or place.number <= self.received:
            return []
        self.ahead[place.number] = message
        return self._in_order(place.oldest)

    def _in_order(self, oldest: int) -> list[Any]:
        """Return what is in order, also beyond numbers that the peer does not send again."""
        ready = []
        while self.received + 1 in self.ahead or self.received + 1 < oldest:
            self.received += 1
            if self.received in self.ahead:
                ready.append(self.ahead.pop(self.received))
        return ready
