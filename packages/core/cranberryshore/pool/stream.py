"""Reliable, ordered, exactly-once delivery of messages to a peer over a lossy transport.

A connection between two instances can break or go silent permanently while a new one works.
Messages are numbered, heartbeats of the receiver acknowledge them cumulatively, and unacknowledged
messages are sent again. After a long silence, either side may discard its state of the stream. If
the process on the other side was frozen meanwhile, it continues with its own state. Each message
therefore carries the identifier of its stream and the oldest number that is still needed.
"""

from collections.abc import Callable
from typing import Any

import attrs

RESEND_TIMEOUT_SECONDS = 0.35
"""Longer than two heartbeats of 0.15 s, so that an acknowledgement in transit can arrive."""


@attrs.frozen
class StreamPosition:
    """Position of a message in a stream.

    Parameters
    ----------
    stream : int
        Identifier of the stream: its start in milliseconds of Unix time.
    number : int
        Sequence number in the stream, starting at 1.
    oldest : int
        Lowest number that was not acknowledged when the message was created.
    """

    stream: int
    number: int
    oldest: int


@attrs.define
class SendStream:
    """Sending side of a stream to one incarnation of a peer."""

    id: int
    last_number: int = 0
    unacknowledged: dict[int, tuple[Any, float]] = attrs.field(factory=dict)

    def next_position(self) -> StreamPosition:
        """Return the position of the next message."""
        self.last_number += 1
        return StreamPosition(
            self.id, self.last_number, min(self.unacknowledged, default=self.last_number)
        )

    def record_sent(self, message: Any, now: float) -> None:
        """Store a message until it is acknowledged."""
        self.unacknowledged[message.place.number] = (message, now)

    def acknowledge(self, stream: int, received: int) -> None:
        """Discard all messages up to a number, if the acknowledgement is for this stream."""
        if stream != self.id:
            return
        for number in [number for number in self.unacknowledged if number <= received]:
            del self.unacknowledged[number]

    def replace(self, renew: Callable[[Any], Any]) -> None:
        """Replace each unacknowledged message by the result of ``renew`` for it."""
        for number, (message, sent_at) in self.unacknowledged.items():
            self.unacknowledged[number] = (renew(message), sent_at)

    def due_for_resend(self, now: float) -> list[Any]:
        """Return the messages to send again now, in order."""
        late = [
            number
            for number, (_, sent_at) in self.unacknowledged.items()
            if now - sent_at >= RESEND_TIMEOUT_SECONDS
        ]
        messages = []
        for number in sorted(late):
            message, _ = self.unacknowledged[number]
            self.unacknowledged[number] = (message, now)
            messages.append(message)
        return messages


@attrs.define
class ReceiveStream:
    """Receiving side of a stream from one incarnation of a peer.

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
    out_of_order: dict[int, Any] = attrs.field(factory=dict)

    def take(self, message: Any) -> list[Any]:
        """Accept a message and return the messages that can now be delivered in order.

        Duplicates and messages of older streams are ignored.
        """
        place = message.place
        if place.stream > self.id:
            self.id, self.received = place.stream, 0
            self.out_of_order.clear()
        if place.stream < self.id or place.number <= self.received:
            return []
        self.out_of_order[place.number] = message
        return self._pop_in_order(place.oldest)

    def _pop_in_order(self, oldest: int) -> list[Any]:
        """Return the messages that are next in order, skipping numbers below ``oldest``."""
        ready = []
        while self.received + 1 in self.out_of_order or self.received + 1 < oldest:
            self.received += 1
            if self.received in self.out_of_order:
                ready.append(self.out_of_order.pop(self.received))
        return ready
