"""Message transport between entry daemons: one pull socket, one push socket per peer."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs
from pynng import Canceled, Closed, NNGException, Pull0, Push0, TryAgain
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import PeerMessage, decode_envelope, decode_message, encode_envelope
from cranberryshore.timeline import EventRecorder
from cranberryshored.metrics import Metrics
from cranberryshored.tasks import end_tasks, start_task

SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
RECONNECT_MS = 100
MAX_MESSAGE_BYTES = 16_000_000


class Transport(Protocol):
    """What the daemon needs to exchange messages with peers."""

    recorder: EventRecorder

    async def start(self) -> None:
        """Listen."""
        ...

    async def close(self) -> None:
        """Send what is due and stop."""
        ...

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Queue a message for the process at ``address``."""
        ...


@attrs.define(eq=False)
class PeerTransport:
    """Sends typed messages to peers and hands received ones to ``deliver``.

    Messages to one peer that become due in one turn of the event loop travel in one envelope.
    A message to a peer that does not read is dropped: every exchange has a timeout of its own.

    Parameters
    ----------
    listen : str
        IP number and port to listen on.
    own : callable
        Returns the text form of this process's incarnation.
    deliver : callable
        Receives the sender's incarnation and one message.
    """

    listen: str
    own: Callable[[], str]
    deliver: Callable[[str, PeerMessage], None]
    recorder: EventRecorder
    metrics: Metrics
    log: FilteringBoundLogger
    pull: Pull0 | None = None
    pushes: dict[str, Push0] = attrs.field(factory=dict)
    outbox: dict[tuple[str, str], list[Any]] = attrs.field(factory=dict)
    is_closing: bool = False
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen."""
        self.pull = Pull0(
            listen=f"tcp://{self.listen}",
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self.task = start_task(self._receive(), self.log)

    async def close(self) -> None:
        """Send what is due and close all sockets."""
        self._flush()
        # pynng swallows a cancellation that meets an arriving message, so a flag ends the loop.
        self.is_closing = True
        await end_tasks([self.task])
        for push in self.pushes.values():
            push.close()
        if self.pull is not None:
            self.pull.close()

    def send(self, address: str, target: str, message: PeerMessage) -> None:
        """Queue a message for the process at ``address``.

        ``target`` is the incarnation it is for; empty for whoever listens there.
        """
        if not self.outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self.outbox.setdefault((address, target), []).append(message)

    def forget(self, address: str) -> None:
        """Close the socket to an address that is not used any more."""
        push = self.pushes.pop(address, None)
        if push is not None:
            push.close()

    def _flush(self) -> None:
        outbox, self.outbox = self.outbox, {}
        for (address, target), messages in outbox.items():
            data = encode_envelope(self.own(), target, self.recorder.clock.latest, messages)
            self._write(address, data)

    def _write(self, address: str, data: bytes) -> None:
        push = self.pushes.get(address)
        try:
            if push is None:
                push = self.pushes[address] = Push0(
                    send_buffer_size=SEND_BUFFER_MESSAGES,
                    reconnect_time_min=RECONNECT_MS,
                    reconnect_time_max=RECONNECT_MS,
                )
                push.dial(f"tcp://{address}", block=False)
            push.send(data, block=False)
            self.metrics.messages.labels("peer_out").inc()
            self.metrics.peer_bytes.inc(len(data))
        except TryAgain:
            self.metrics.wasted.labels("peer_dropped").inc()
        except NNGException as error:
            self.log.warning("Send failed.", address=address, error=str(error))

    async def _receive(self) -> None:
        while not self.is_closing:
            try:
                data = await self.pull.arecv()
            except (Closed, Canceled):
                return
            self.metrics.messages.labels("peer_in").inc()
            self._open(data)

    def _open(self, data: bytes) -> None:
        envelope = decode_envelope(data)
        if envelope is None:
            self.log.warning("Malformed envelope.", size=len(data))
            return
        if envelope.target not in ("", self.own()):
            self.metrics.wasted.labels("wrong_incarnation").inc()
            return
        self.recorder.clock.update(envelope.stamp)
        for part in envelope.parts:
            message = decode_message(part.kind, part.body)
            if message is None:
                self.log.warning("Malformed message.", kind=part.kind)
            else:
                self.deliver(envelope.sender, message)
