"""Stand-in for a worker: serves a worker model to owners over WebSockets."""

import asyncio
from typing import Any

import attrs
from aiohttp.web import Application, Request, Response, WebSocketResponse, json_response

from cranberryshore.messages import (
    Ack,
    CloseOwner,
    Open,
    Opened,
    Start,
    Stop,
    decode_frames,
    decode_json,
    encode_frames,
    encode_json,
)
from cranberryshore.settings import Address
from cranberryshore.work import Capacity
from cranberryshore_standins.serving import load_settings, run
from cranberryshore_standins.worker_model import WorkerFaults, WorkerModel

TASK_END_POLL_SECONDS = 0.002
USAGE_INTERVAL_SECONDS = 1.0
TASK_RETENTION_SECONDS = 120.0
MAX_FRAME_BYTES = 16_000_000


@attrs.frozen
class WorkerSettings:
    """Settings of the stand-in."""

    listen: Address
    name: str
    incarnation: str
    capacity: Capacity


@attrs.define(eq=False)
class WorkerServer:
    """Serves one worker model; ``sockets`` holds session number and socket per connected owner."""

    model: WorkerModel
    sockets: dict[str, tuple[int, WebSocketResponse]] = attrs.field(factory=dict)

    def app(self) -> Application:
        """Return the web application."""
        app = Application()
        app.router.add_get("/v1/session", self.session)
        app.router.add_get("/log", self.get_log)
        app.router.add_post("/switches", self.set_faults)
        app.cleanup_ctx.append(self._background_context)
        return app

    async def session(self, request: Request) -> WebSocketResponse:
        """Serve the session of one owner."""
        socket = WebSocketResponse(max_msg_size=MAX_FRAME_BYTES, compress=False)
        await socket.prepare(request)
        open_frame = decode_frames((await socket.receive()).data)[0]
        opened = self.model.open(open_frame)
        if not isinstance(opened, Opened):
            await socket.send_str(encode_frames([opened]))
            return socket
        self.sockets[open_frame.owner] = (open_frame.session, socket)
        frames = [opened, *self.model.unacknowledged_results(open_frame.owner), self.model.usage()]
        await socket.send_str(encode_frames(frames))
        async for message in socket:
            for frame in decode_frames(message.data):
                await self._on_frame(open_frame, socket, frame)
        if self.sockets.get(open_frame.owner) == (open_frame.session, socket):
            del self.sockets[open_frame.owner]
        return socket

    async def get_log(self, request: Request) -> Response:
        """Return all starts (time, owner, job, task index) and the duplicate count, for tests."""
        starts = [attrs.astuple(entry)[:4] for entry in self.model.starts]
        return Response(
            body=encode_json({"starts": starts, "duplicates": self.model.duplicates}),
            content_type="application/json",
        )

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.model.faults = decode_json(await request.read(), WorkerFaults)
        return json_response({})

    async def _on_frame(self, open_frame: Open, socket: WebSocketResponse, frame: Any) -> None:
        owner, now = open_frame.owner, asyncio.get_running_loop().time()
        answers: list[Any] = []
        if isinstance(frame, Start):
            for batch in frame.batches:
                answers += self.model.start(owner, open_frame.session, batch, now)
        elif isinstance(frame, Stop):
            for job in frame.jobs:
                self.model.stop(owner, job)
        elif isinstance(frame, Ack):
            self.model.acknowledge(owner, frame.through)
        elif isinstance(frame, CloseOwner):
            answers.append(self.model.close_owner(frame.number, frame.owner))
        if answers:
            await socket.send_str(encode_frames(answers))

    async def _background_context(self, app: Application):
        task = asyncio.create_task(self._end_and_report_tasks())
        yield
        task.cancel()

    async def _end_and_report_tasks(self) -> None:
        loop = asyncio.get_running_loop()
        next_usage_at = 0.0
        while True:
            await asyncio.sleep(TASK_END_POLL_SECONDS)
            now = loop.time()
            self.model.end_tasks(now)
            for owner, frame in self.model.take_results().items():
                await self._send(owner, [frame])
            if now >= next_usage_at:
                next_usage_at = now + USAGE_INTERVAL_SECONDS
                self.model.evict_ended_tasks(now - TASK_RETENTION_SECONDS)
                for owner in list(self.sockets):
                    await self._send(owner, [self.model.usage()])

    async def _send(self, owner: str, frames: list[Any]) -> None:
        held = self.sockets.get(owner)
        if held is None:
            return
        try:
            await held[1].send_str(encode_frames(frames))
        except (ConnectionError, RuntimeError):
            self.sockets.pop(owner, None)


def main(path: str) -> None:
    """Run the stand-in with the settings at ``path``."""
    settings = load_settings(path, WorkerSettings)
    model = WorkerModel(settings.name, settings.incarnation, settings.capacity)
    run(WorkerServer(model).app(), settings.listen)
