"""WebSocket session with one worker."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientWSTimeout, WSMsgType
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import (
    Ack,
    CloseOwner,
    Open,
    Opened,
    OpenRefused,
    OwnerReport,
    Rejected,
    RejectReason,
    Results,
    Usage,
    decode_frames,
    encode_frames,
)
from cranberryshore.ownership import OwnedWorker
from cranberryshored.metrics import Metrics
from cranberryshored.tasks import cancel_tasks

RECONNECT_DELAY_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_FRAME_BYTES = 16_000_000
CLOSE_TIMEOUT = ClientWSTimeout(ws_close=0.2)


class WorkerEvents(Protocol):
    """Callbacks for the frames and the state of a worker session."""

    def worker_opened(self, worker: OwnedWorker, frame: Opened) -> None:
        """Handle an opened session."""
        ...

    def worker_lost(self, worker: OwnedWorker) -> None:
        """Handle the loss of a worker: no message for too long, or a new incarnation."""
        ...

    def worker_results(self, worker: OwnedWorker, frame: Results) -> None:
        """Handle the results of ended tasks."""
        ...

    def worker_rejected(self, worker: OwnedWorker, frame: Rejected) -> None:
        """Handle tasks that the worker did not start."""
        ...

    def worker_usage(self, worker: OwnedWorker, frame: Usage) -> None:
        """Handle the usage of the worker by owner."""
        ...

    def worker_report(self, worker: OwnedWorker, frame: OwnerReport) -> None:
        """Handle the task records of a closed owner."""
        ...

    def owner_refused(self, owner: str) -> None:
        """Handle a worker's refusal of an owner that a peer has closed."""
        ...


@attrs.define(eq=False)
class WorkerLink:
    """Keeps a session with one worker incarnation open, and reconnects after a failure.

    Frames queued in one iteration of the event loop are sent as one message.

    Parameters
    ----------
    worker : OwnedWorker
        The worker and its incarnation.
    address : str
        IP address and port.
    owner : str
        Incarnation that owns the started tasks.
    silence_timeout_seconds : float
        Time without a received message after which the worker counts as lost.
    next_session : callable
        Returns a new session number.
    """

    worker: OwnedWorker
    address: str
    owner: str
    silence_timeout_seconds: float
    events: WorkerEvents
    session: ClientSession
    metrics: Metrics
    log: FilteringBoundLogger
    next_session: Callable[[], int]
    is_open: bool = False
    socket: Any = None
    outbox: list[Any] = attrs.field(factory=list)
    last_received_at: float = 0.0
    is_reported_lost: bool = False
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to connect in the background."""
        self.last_received_at = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._keep_connected())

    async def close(self) -> None:
        """End the session."""
        await cancel_tasks([self.task])

    def send(self, frame: Any) -> bool:
        """Queue a frame for the open session; return whether a session is open."""
        if not self.is_open:
            return False
        if not self.outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self.outbox.append(frame)
        return True

    def request_owner_report(self, owner: str) -> bool:
        """Request the worker to refuse ``owner`` from now on and to report its tasks."""
        return self.send(CloseOwner(0, owner))

    def check_silence(self, now: float) -> None:
        """Report the worker as lost and reconnect, after the timeout without a message."""
        if now - self.last_received_at > self.silence_timeout_seconds and not self.is_reported_lost:
            self.is_reported_lost = True
            self.is_open = False
            self.events.worker_lost(self.worker)
            self.task.cancel()
            self.task = asyncio.create_task(self._keep_connected())

    def _flush(self) -> None:
        frames, self.outbox = self.outbox, []
        if self.is_open and frames:
            self.metrics.messages.labels("worker_out").inc()
            asyncio.create_task(self._write(encode_frames(frames)))

    async def _write(self, text: str) -> None:
        try:
            await self.socket.send_str(text)
        except (ClientError, ConnectionError, RuntimeError) as error:
            self.log.debug(
                "Could not send to the worker.", worker=self.worker.name, error=str(error)
            )

    async def _keep_connected(self) -> None:
        while True:
            try:
                await self._run_session()
            except (TimeoutError, ClientError, OSError) as error:
                self.log.debug(
                    "Worker session failed; reconnecting.",
                    worker=self.worker.name,
                    error=str(error),
                )
            self.is_open = False
            self.outbox.clear()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _run_session(self) -> None:
        url = f"http://{self.address}/v1/session"
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            self.socket = await self.session.ws_connect(
                url, max_msg_size=MAX_FRAME_BYTES, compress=0, timeout=CLOSE_TIMEOUT
            )
        async with self.socket:
            open_frame = Open(self.owner, self.next_session(), self.worker.incarnation)
            await self.socket.send_str(encode_frames([open_frame]))
            async for message in self.socket:
                if message.type is not WSMsgType.TEXT:
                    return
                self.last_received_at = asyncio.get_running_loop().time()
                self.metrics.messages.labels("worker_in").inc()
                if not self._receive(message.data):
                    return

    def _receive(self, text: str) -> bool:
        """Handle the frames of a message; return whether the session stays open."""
        try:
            frames = decode_frames(text)
        except msgspec.DecodeError as error:
            self.log.warning(
                "Malformed frame from the worker; closing the session.",
                worker=self.worker.name,
                error=str(error),
            )
            return False
        return all(self._on_frame(frame) for frame in frames)

    def _on_frame(self, frame: Any) -> bool:
        if isinstance(frame, Opened):
            self.is_open, self.is_reported_lost = True, False
            self.events.worker_opened(self.worker, frame)
        elif isinstance(frame, OpenRefused):
            return self._on_open_refused(frame)
        elif isinstance(frame, Results):
            self.events.worker_results(self.worker, frame)
            self.send(Ack(frame.sequence))
        elif isinstance(frame, Rejected):
            if frame.reason is RejectReason.OWNER_CLOSED:
                self.events.owner_refused(self.owner)
            self.events.worker_rejected(self.worker, frame)
        elif isinstance(frame, Usage):
            self.events.worker_usage(self.worker, frame)
        elif isinstance(frame, OwnerReport):
            self.events.worker_report(self.worker, frame)
        return True

    def _on_open_refused(self, frame: OpenRefused) -> bool:
        if frame.reason is RejectReason.OWNER_CLOSED:
            self.events.owner_refused(self.owner)
        elif frame.reason is RejectReason.WRONG_INCARNATION and not self.is_reported_lost:
            self.is_reported_lost = True
            self.events.worker_lost(self.worker)
        return False
