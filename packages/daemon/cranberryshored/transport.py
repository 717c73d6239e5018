"""Message transport between entry instances: a pull socket, and a push socket for each peer."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from pynng import Canceled, Closed, NNGException, Pull0, Push0, TryAgain
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import (
    PeerMessage,
    decode_envelope,
    decode_message,
    encode_envelope,
    encoding_error,
)
from cranberryshore.messages.codec import ENCODING_ERRORS, without_unencodable
from cranberryshore.timeline import EventRecorder
from cranberryshored.metrics import Metrics
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
RECEIVE_BATCH = 200
"""Maximum number of envelopes handled at once, so that the event loop also does other work."""

RECONNECT_MS = 100
MAX_MESSAGE_BYTES = 16_000_000


class CannotListenError(OSError):
    """The address for peers is in use, or not one of this machine."""


class Transport(Protocol):
    """Interface for sending messages to peers."""

    recorder: EventRecorder

    async def start(self) -> None:
        """Start listening."""
        ...

    async def close(self) -> None:
        """Send the queued messages and stop."""
        ...

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Queue a message for the process at ``address``."""
        ...


@attrs.define(eq=False)
class PeerTransport:
    """Sends typed messages to peers and hands received ones to ``deliver``.

    Messages to one peer that are queued in the same iteration of the event loop are sent in one
    envelope. A message to a peer that does not read is dropped, so senders need their own timeouts.

    Parameters
    ----------
    listen : str
        IP address and port to listen on.
    own : callable
        Returns the text form of this process's incarnation.
    deliver : callable
        Called with the sender's incarnation and one message.
    """

    listen: str
    own: Callable[[], str]
    deliver: Callable[[str, PeerMessage], None]
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    pull_socket: Pull0 | None = None
    push_sockets: dict[str, Push0] = attrs.field(factory=dict)
    outbox: dict[tuple[str, str], list[Any]] = attrs.field(factory=dict)
    is_closing: bool = False
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening.

        Raises
        ------
        CannotListenError
            If the address cannot be used.
        """
        try:
            self.pull_socket = Pull0(
                listen=f"tcp://{self.listen}",
                recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
                recv_max_size=MAX_MESSAGE_BYTES,
            )
        except NNGException as error:
            raise CannotListenError(f"{self.listen}: {error}") from error
        self.task = start_task(self._receive(), self.log)

    async def close(self) -> None:
        """Send the queued messages and close all sockets."""
        self._flush()
        # pynng loses a cancellation that coincides with an arriving message, so a flag ends the
        # receive loop.
        self.is_closing = True
        await cancel_tasks([self.task])
        for push_socket in self.push_sockets.values():
            push_socket.close()
        if self.pull_socket is not None:
            self.pull_socket.close()

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Queue a message for the process at ``address``.

        ``target`` is the incarnation of the receiver; if empty, any incarnation accepts it.
        """
        if not self.outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self.outbox.setdefault((address, target), []).append(message)

    def disconnect(self, address: str) -> None:
        """Close the socket to an address; the next message opens a new one."""
        push_socket = self.push_sockets.pop(address, None)
        if push_socket is not None:
            push_socket.close()

    def _flush(self) -> None:
        outbox, self.outbox = self.outbox, {}
        for (address, target), messages in outbox.items():
            with failures_logged(self.log, "send", address=address):
                data = self._encode(target, messages)
                if data is not None:
                    self._send_envelope(address, data)

    def _encode(self, target: str, messages: list[PeerMessage]) -> bytes | None:
        """Encode messages for a peer, without what cannot be encoded."""
        stamp = self.recorder.clock.latest
        try:
            return encode_envelope(self.own(), target, stamp, messages)
        except ENCODING_ERRORS:
            encodable = [item for message in messages for item in self._encodable(message)]
        return encode_envelope(self.own(), target, stamp, encodable) if encodable else None

    def _encodable(self, message: PeerMessage) -> list[PeerMessage]:
        """Return the part of a message that can be encoded, if there is one."""
        kind = type(message).__name__
        reduced, names = without_unencodable(message)
        error = encoding_error(reduced)
        if error:
            self.log.error("Dropped a message to a peer.", kind=kind, error=error)
            return []
        if names:
            self.log.error("Left items out of a message to a peer.", kind=kind, items=names)
        return [reduced]

    def _send_envelope(self, address: str, data: bytes) -> None:
        push_socket = self.push_sockets.get(address)
        try:
            if push_socket is None:
                push_socket = self.push_sockets[address] = Push0(
                    send_buffer_size=SEND_BUFFER_MESSAGES,
                    reconnect_time_min=RECONNECT_MS,
                    reconnect_time_max=RECONNECT_MS,
                )
                push_socket.dial(f"tcp://{address}", block=False)
            push_socket.send(data, block=False)
            self.metrics.messages.labels("peer_out").inc()
            self.metrics.peer_bytes.inc(len(data))
        except TryAgain:
            self.metrics.wasted_messages.labels("peer_dropped").inc()
        except NNGException as error:
            self.log.warning("Sending to a peer failed.", address=address, error=str(error))

    async def _receive(self) -> None:
        while not self.is_closing:
            try:
                data = await self.pull_socket.arecv()
            except (Closed, Canceled) as error:
                if not self.is_closing:
                    self.log.error("Receiving from peers ended.", error=repr(error))
                return
            self._handle_envelope(data)
            self._handle_queued()

    def _handle_queued(self) -> None:
        """Handle the envelopes that have arrived meanwhile.

        Receiving one takes several iterations of the event loop, in each of which a busy scheduler
        handles hundreds of responses of workers.
        """
        for _ in range(RECEIVE_BATCH):
            try:
                data = self.pull_socket.recv(block=False)
            except TryAgain:
                return
            except NNGException as error:
                self.log.warning("Receiving from a peer failed.", error=str(error))
                return
            self._handle_envelope(data)

    def _handle_envelope(self, data: bytes) -> None:
        self.metrics.messages.labels("peer_in").inc()
        envelope = decode_envelope(data)
        if envelope is None:
            self.log.warning("Ignored a malformed envelope.", size=len(data))
            return
        if envelope.target not in ("", self.own()):
            self.metrics.wasted_messages.labels("wrong_incarnation").inc()
            return
        self.recorder.clock.update(envelope.stamp)
        for part in envelope.parts:
            message = decode_message(part.kind, part.body)
            if message is None:
                self.log.warning("Ignored a malformed message.", kind=part.kind)
            else:
                with failures_logged(self.log, "deliver", kind=part.kind, sender=envelope.sender):
                    self.deliver(envelope.sender, message)
