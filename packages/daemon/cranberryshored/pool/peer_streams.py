"""Numbered messages to and from the peers of an instance."""

from collections.abc import Callable
from typing import Any

import attrs

from cranberryshore.messages import Beat, CancelWork, SubmitWork
from cranberryshore.pool import Group, Member, ReceiveStream, SendStream
from cranberryshore.pool.stream import StreamPosition
from cranberryshored.pool.clock import now, unix_ms
from cranberryshored.pool.protocols import NumberedMessage


@attrs.define(eq=False)
class PeerStreams:
    """Streams of messages to and from the members of a group.

    Parameters
    ----------
    send_message : callable
        Sends a message to an address, for one incarnation.
    """

    group: Group
    send_message: Callable[[str, str, Any], None]
    outgoing: dict[str, SendStream] = attrs.field(factory=dict)
    incoming: dict[str, ReceiveStream] = attrs.field(factory=dict)

    def send(
        self, incarnation: str, make: Callable[[StreamPosition, float], NumberedMessage]
    ) -> None:
        """See :meth:`PeerExchange.send`."""
        member = self.group.members.get(incarnation)
        if member is None:
            return
        stream = self.outgoing.get(incarnation)
        if stream is None:
            stream = self.outgoing[incarnation] = SendStream(unix_ms())
        moment = now()
        message = make(stream.next_position(), member.clock(moment))
        stream.record_sent(message, moment)
        self.send_message(member.at.address, incarnation, message)

    def take(self, sender: str, message: NumberedMessage) -> list[NumberedMessage]:
        """Accept a message and return the messages that can now be delivered in order."""
        return self.incoming.setdefault(sender, ReceiveStream()).take(message)

    def incoming_from(self, incarnation: str) -> ReceiveStream:
        """Return the stream from a peer."""
        return self.incoming.get(incarnation, ReceiveStream())

    def acknowledge(self, beat: Beat) -> None:
        """Discard the messages that a peer has received."""
        if beat.sender.incarnation in self.outgoing:
            self.outgoing[beat.sender.incarnation].acknowledge(beat.stream, beat.received)

    def withdraw_jobs(self, scheduler: str) -> None:
        """Replace unacknowledged submissions to a former scheduler with cancellations."""
        stream = self.outgoing.get(scheduler)
        if stream is not None:
            stream.replace(
                lambda item: (
                    CancelWork(item.place, item.request.id)
                    if isinstance(item, SubmitWork)
                    else item
                )
            )

    def resend_due(self, moment: float) -> None:
        """Send the messages again that have not been acknowledged in time."""
        for incarnation, stream in self.outgoing.items():
            member = self.group.members.get(incarnation)
            if member is not None:
                self._resend_due(member, stream, moment)

    def _resend_due(self, member: Member, stream: SendStream, moment: float) -> None:
        for message in stream.due_for_resend(moment):
            if isinstance(message, SubmitWork):
                message = attrs.evolve(message, echo=member.clock(moment))
            self.send_message(member.at.address, member.at.incarnation, message)

    def discard_outdated(self) -> None:
        """Drop the streams of incarnations that are no longer members."""
        for streams in (self.outgoing, self.incoming):
            for incarnation in [name for name in streams if name not in self.group.members]:
                del streams[incarnation]
