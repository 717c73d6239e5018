"""Fake worker sessions for the daemon, over the simulated network."""

import asyncio
from collections.abc import Callable
from contextvars import Context, copy_context
from typing import Any

import attrs
from aiohttp import ClientConnectionError, WSMsgType

from cranberryshore.messages import (
    Ack,
    CloseOwner,
    Open,
    Opened,
    Start,
    Stop,
    decode_frames,
    encode_frames,
)
from cranberryshore_proof.network import Network
from cranberryshore_standins.worker_model import WorkerModel

USAGE_INTERVAL_SECONDS = 0.5
CLOCK_RESOLUTION_SECONDS = 1e-6  # an event loop may run a timer this early


@attrs.frozen
class SocketMessage:
    """WebSocket message with the attributes that the daemon reads."""

    type: WSMsgType
    data: str = ""


@attrs.define(eq=False)
class FakeSocket:
    """The daemon's end of a worker session.

    A cut link does not end it: its messages arrive after the link is healed, even if the daemon
    has opened a newer session by then.
    """

    node: str
    worker: "WorkerNode"
    network: Network
    run: int
    inbox: asyncio.Queue = attrs.field(factory=asyncio.Queue)
    opened: Open | None = None
    is_closed: bool = False

    async def send_str(self, text: str) -> None:
        """Send one message to the worker."""
        if self.is_closed:
            raise ClientConnectionError("closed")
        self.network.send(self.node, self.worker.name, lambda: self.worker.receive(self, text))

    def reply(self, frames: list[Any]) -> None:
        """Send frames from the worker to the daemon."""
        text = encode_frames(frames)
        message = SocketMessage(WSMsgType.TEXT, text)
        self.network.send(self.worker.name, self.node, lambda: self.inbox.put_nowait(message))

    def disconnect(self) -> None:
        """End the connection, as observed by the daemon."""
        if self.node not in self.network.dead:
            self.inbox.put_nowait(SocketMessage(WSMsgType.CLOSED))

    async def __aenter__(self) -> "FakeSocket":
        return self

    async def __aexit__(self, *error: object) -> None:
        self.is_closed = True

    def __aiter__(self) -> "FakeSocket":
        return self

    async def __anext__(self) -> SocketMessage:
        message = await self.inbox.get()
        if message.type is WSMsgType.CLOSED:
            raise StopAsyncIteration
        return message


@attrs.define(eq=False)
class WorkerNode:
    """One simulated worker; the models of all its runs are kept for the checks.

    ``sockets`` holds the latest session of each owner. The timers that end tasks run in
    ``context``, that of the present run, so a freeze defers them.
    """

    name: str
    network: Network
    model_factory: Callable[[int], WorkerModel]
    models: list[WorkerModel] = attrs.field(factory=list)
    sockets: dict[str, FakeSocket] = attrs.field(factory=dict)
    context: Context = attrs.field(factory=Context)

    @property
    def model(self) -> WorkerModel:
        """Return the model of the present run."""
        return self.models[-1]

    def launch(self) -> None:
        """Start a new run of the worker."""
        run = self.network.begin_run(self.name)
        self.models.append(self.model_factory(run))
        self.network.spawn(self.name, self._run())

    def kill(self) -> None:
        """Kill the present run; its sessions end."""
        self.network.kill_run(self.name)
        for socket in self.sockets.values():
            socket.disconnect()
        self.sockets.clear()

    def receive(self, socket: FakeSocket, text: str) -> None:
        """Process a message received in a session."""
        now = asyncio.get_running_loop().time()
        for frame in decode_frames(text):
            self._on_frame(socket, frame, now)

    def _on_frame(self, socket: FakeSocket, frame: Any, now: float) -> None:
        if isinstance(frame, Open):
            answer = self.model.open(frame)
            if isinstance(answer, Opened):
                socket.opened = frame
                self.sockets[frame.owner] = socket
                unacknowledged_results = self.model.unacknowledged_results(frame.owner)
                socket.reply([answer, *unacknowledged_results, self.model.usage()])
            else:
                socket.reply([answer])
            return
        if socket.opened is None:
            return
        owner, session = socket.opened.owner, socket.opened.session
        if isinstance(frame, Start):
            before = len(self.model.starts)
            for batch in frame.batches:
                refused = self.model.start(owner, session, batch, now)
                if refused:
                    socket.reply(refused)
            self._schedule_ends(before)
        elif isinstance(frame, Stop):
            for job in frame.jobs:
                self.model.stop(owner, job)
            self._end_tasks(self.model)
        elif isinstance(frame, Ack):
            self.model.acknowledge(owner, frame.through)
        elif isinstance(frame, CloseOwner):
            socket.reply([self.model.close_owner(frame.number, frame.owner)])

    async def _run(self) -> None:
        self.context = copy_context()
        while True:
            for socket in self.sockets.values():
                socket.reply([self.model.usage()])
            await asyncio.sleep(USAGE_INTERVAL_SECONDS)

    def _schedule_ends(self, before: int) -> None:
        """Schedule a check for results at the end of each task but the first ``before`` ones."""
        loop = asyncio.get_running_loop()
        model = self.model
        for ending in model.end_times_since(before):
            loop.call_at(ending, self._end_tasks, model, context=self.context)

    def _end_tasks(self, model: WorkerModel) -> None:
        if model is not self.model or self.name in self.network.dead:
            return
        model.end_tasks(asyncio.get_running_loop().time() + CLOCK_RESOLUTION_SECONDS)
        for owner, frame in model.take_results().items():
            if owner in self.sockets:
                self.sockets[owner].reply([frame])


@attrs.define(eq=False)
class FakeClientSession:
    """Replaces one daemon's HTTP client session to the workers."""

    node: str
    network: Network
    workers: dict[str, WorkerNode]

    async def ws_connect(self, url: str, **options: object) -> FakeSocket:
        """Connect to the worker named in the URL; waits while the link to it is cut."""
        name = url.removeprefix("http://").split("/")[0]
        worker = self.workers[name]
        if name in self.network.dead:
            await asyncio.sleep(0.001)
            raise ClientConnectionError("refused")
        future = asyncio.get_running_loop().create_future()

        def connect_at_worker() -> None:
            self.network.send(name, self.node, lambda: _resolve(future))

        self.network.send(self.node, name, connect_at_worker)
        await future
        return FakeSocket(self.node, worker, self.network, self.network.runs[name])

    async def close(self) -> None:
        """Do nothing."""


def _resolve(future: asyncio.Future) -> None:
    if not future.done():
        future.set_result(None)
