"""One session with one worker."""

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
from cranberryshored.tasks import end_tasks

RECONNECT_SECONDS = 0.2
CONNECT_TIMEOUT_SECONDS = 1.0
MAX_FRAME_BYTES = 16_000_000
CLOSE_TIMEOUT = ClientWSTimeout(ws_close=0.2)


class WorkerEvents(Protocol):
    """Who learns what a link hears."""

    def worker_opened(self, worker: OwnedWorker, frame: Opened) -> None:
        """A session is open."""
        ...

    def worker_silent(self, worker: OwnedWorker) -> None:
        """The worker is gone or silent for too long."""
        ...

    def worker_results(self, worker: OwnedWorker, frame: Results) -> None:
        """Tasks have ended."""
        ...

    def worker_rejected(self, worker: OwnedWorker, frame: Rejected) -> None:
        """Tasks were not started."""
        ...

    def worker_usage(self, worker: OwnedWorker, frame: Usage) -> None:
        """Owners' holdings on the worker."""
        ...

    def worker_report(self, worker: OwnedWorker, frame: OwnerReport) -> None:
        """Records of a closed owner."""
        ...

    def owner_refused(self, owner: str) -> None:
        """A worker refuses an owner, because a peer has closed it."""
        ...


@attrs.define(eq=False)
class WorkerLink:
    """Keeps a session with one worker incarnation open.

    Frames that become due in one turn of the event loop travel in one message.

    Parameters
    ----------
    worker : OwnedWorker
        The worker and its incarnation.
    address : str
        IP number and port.
    owner : str
        Incarnation in whose name tasks are started.
    lost_seconds : float
        Silence after which the worker counts as lost.
    """

    worker: OwnedWorker
    address: str
    owner: str
    lost_seconds: float
    events: WorkerEvents
    session: ClientSession
    metrics: Metrics
    log: FilteringBoundLogger
    next_session: Callable[[], int]
    is_open: bool = False
    socket: Any = None
    outbox: list[Any] = attrs.field(factory=list)
    heard_at: float = 0.0
    is_reported_silent: bool = False
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Begin to connect."""
        self.heard_at = asyncio.get_running_loop().time()
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """End the session."""
        await end_tasks([self.task])

    def send(self, frame: Any) -> bool:
        """Queue a frame for the present session; return whether there is one."""
        if not self.is_open:
            return False
        if not self.outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self.outbox.append(frame)
        return True

    def request_owner_report(self, owner: str) -> bool:
        """Ask the worker to refuse ``owner`` and to report its tasks."""
        return self.send(CloseOwner(0, owner))

    def check_silence(self, now: float) -> None:
        """Report the worker as lost once it has been silent for too long."""
        if now - self.heard_at > self.lost_seconds and not self.is_reported_silent:
            self.is_reported_silent = True
            self.is_open = False
            self.events.worker_silent(self.worker)
            self.task.cancel()
            self.task = asyncio.create_task(self._run())

    def _flush(self) -> None:
        frames, self.outbox = self.outbox, []
        if self.is_open and frames:
            self.metrics.messages.labels("worker_out").inc()
            asyncio.create_task(self._write(encode_frames(frames)))

    async def _write(self, text: str) -> None:
        try:
            await self.socket.send_str(text)
        except (ClientError, ConnectionError, RuntimeError) as error:
            self.log.debug("Write failed.", worker=self.worker.name, error=str(error))

    async def _run(self) -> None:
        while True:
            try:
                await self._connect()
            except (TimeoutError, ClientError, OSError) as error:
                self.log.debug("Connect failed.", worker=self.worker.name, error=str(error))
            self.is_open = False
            self.outbox.clear()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _connect(self) -> None:
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
                self.heard_at = asyncio.get_running_loop().time()
                self.metrics.messages.labels("worker_in").inc()
                if not self._receive(message.data):
                    return

    def _receive(self, text: str) -> bool:
        try:
            frames = decode_frames(text)
        except (msgspec.DecodeError, KeyError) as error:
            self.log.warning("Malformed frame.", worker=self.worker.name, error=str(error))
            return False
        return all(self._on_frame(frame) for frame in frames)

    def _on_frame(self, frame: Any) -> bool:
        if isinstance(frame, Opened):
            self.is_open, self.is_reported_silent = True, False
            self.events.worker_opened(self.worker, frame)
        elif isinstance(frame, OpenRefused):
            return self._on_refused(frame)
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

    def _on_refused(self, frame: OpenRefused) -> bool:
        if frame.reason is RejectReason.OWNER_CLOSED:
            self.events.owner_refused(self.owner)
        elif frame.reason is RejectReason.WRONG_INCARNATION and not self.is_reported_silent:
            self.is_reported_silent = True
            self.events.worker_silent(self.worker)
        return False
