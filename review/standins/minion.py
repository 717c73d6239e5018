"""Stand-in of a minion that starts whatever it is told to and doesn't guard its capacity."""

import asyncio
import time
from collections.abc import Callable
from random import Random

import attrs
from aiohttp import web

from standins.record import Record
from standins.store import HOST, Store, encode_value

HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 1000
STOP_SECONDS = 0.03
LATE_SECONDS = (2.0, 12.0)
UNANSWERED_SECONDS = 60.0


@attrs.define(eq=False)
class Run:
    """One run of a task; the times are those of the script."""

    task: str
    attempt: int
    spec: str
    minion: "Minion"
    started_at: float
    ended_at: float = float("inf")
    how: str = ""
    timer: asyncio.TimerHandle | None = None


@attrs.define(eq=False)
class Minion:
    """One minion, across restarts under its id.

    ``seconds_of`` returns how long a task with a spec works, ``on_start`` is called with each new
    run.
    ``cpu`` and ``labels`` are what the minion has now; the store shows what it said last. With
    ``is_cut``, calls get no answer and aren't carried out; a share ``late_share`` of them gets none
    and is carried out seconds later. ``clock_rate`` is the rate of its steady clock.
    """

    id: str
    service: str
    zone: str
    store: Store
    record: Record
    seconds_of: Callable[[str, str], float]
    on_start: Callable[[Run], None]
    cpu: int = 32_000
    labels: list[str] = attrs.field(factory=lambda: ["a", "r1-1"])
    clock_rate: float = 1.0
    is_cut: bool = False
    is_down: bool = True
    late_share: float = 0.0
    random: Random = attrs.field(factory=lambda: Random(1))
    port: int = 0
    born: int = 0
    seq: int = 0
    booted_at: float = 0.0
    token: int = 0
    deadline_ms: int = 0
    runs: dict[str, Run] = attrs.field(factory=dict)
    ended: list[list] = attrs.field(factory=list)
    highest: dict[str, int] = attrs.field(factory=dict)
    ends: int = 0
    lease_timer: asyncio.TimerHandle | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    calls: set[asyncio.Task] = attrs.field(factory=set)
    runner: web.AppRunner | None = None
    beats: asyncio.Task | None = None

    async def start(self, first_beat_seconds: float = 0.0) -> None:
        """Boot: listen, and write the first status report after some seconds."""
        self.born, self.booted_at = int(time.time() * 1000), time.monotonic()
        self.seq = self.token = self.deadline_ms = self.ends = 0
        self.runs, self.ended, self.highest = {}, [], {}
        app = web.Application()
        app.add_routes(
            [web.get("/healthz", self._health), web.post("/api/{call}", self._handle_call)]
        )
        self.is_down = False
        self.runner = web.AppRunner(app, shutdown_timeout=0.0, access_log=None)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, self.port, reuse_address=True).start()
        self.port = self.runner.addresses[0][1]
        self.beats = asyncio.create_task(self._report(first_beat_seconds))
        self.record.add(self.id, f"boots, born {self.born}, cpu {self.cpu}, labels {self.labels}")

    async def crash(self) -> None:
        """End with all runs, and send nothing more."""
        self.is_down = True
        self.beats.cancel()
        for run in list(self.runs.values()):
            self._finish(run, "crashed")
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.record.add(self.id, "ends")
        for call in list(self.calls):
            call.cancel()
        await self.runner.cleanup()

    async def close(self) -> None:
        """Stop."""
        await self.crash()

    def report(self) -> None:
        """Write a status report to the store."""
        self.seq += 1
        self.store.set(
            f"servers/{self.id}",
            encode_value(
                {
                    "service": self.service,
                    "addr": f"{HOST}:{self.port}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "warmupLeftMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
                    "labels": self.labels,
                    "clockMs": self._clock_ms(),
                    "born": self.born,
                    "seq": self.seq,
                }
            ),
        )

    async def _report(self, first_beat_seconds: float) -> None:
        await asyncio.sleep(first_beat_seconds)
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self.booted_at) * 1000 * self.clock_rate)

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.id})

    async def _handle_call(self, request: web.Request) -> web.Response:
        calls = {"run-start": self._start_run, "run-stop": self._stop_run, "hold": self._hold}
        body = await request.json()
        if self.is_down:
            request.transport.abort()
            raise asyncio.CancelledError
        if request.headers.get("X-Expected-Instance", self.id) != self.id:
            return web.json_response({"clockMs": self._clock_ms()}, status=421)
        task = asyncio.current_task()
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        born, call = self.born, calls[request.match_info["call"]]
        if self.is_cut:
            await asyncio.sleep(UNANSWERED_SECONDS)
        if self.random.random() < self.late_share:
            await asyncio.sleep(self.random.uniform(*LATE_SECONDS))
            if self.born == born:
                await call(body)
            await asyncio.sleep(UNANSWERED_SECONDS)
        return await call(body)

    def _check(self, body: dict) -> web.Response | None:
        if body.get("fencingToken", 0) < self.token:
            return self._reject("fence")
        self.token = body.get("fencingToken", 0)
        return None

    def _reject(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self._clock_ms(), "reason": reason}, status=409)

    def _extend_lease(self, deadline_ms: int) -> None:
        end = min(deadline_ms, self._clock_ms() + MAX_HOLD_MS)
        if end <= self.deadline_ms:
            return
        self.deadline_ms = end
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        seconds = max(end - self._clock_ms(), 0) / 1000 / self.clock_rate
        self.lease_timer = asyncio.get_running_loop().call_later(seconds, self._lapse)

    def _lapse(self) -> None:
        for run in list(self.runs.values()):
            self._finish(run, "lapsed")

    async def _start_run(self, body: dict) -> web.Response:
        refused = self._check(body)
        if refused is not None:
            return refused
        task, attempt = body["task"], body["attempt"]
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return web.json_response({"clockMs": self._clock_ms(), "born": self.born})
        if attempt <= self.highest.get(task, 0):
            self._extend_lease(body["deadlineMs"])
            return self._reject("old")
        if body["deadlineMs"] <= self._clock_ms():
            return self._reject("late")
        self._extend_lease(body["deadlineMs"])
        run = Run(task, attempt, body["spec"], self, self.record.now())
        self.runs[task] = run
        self.record.add(self.id, f"starts {task} attempt {attempt}, token {body['fencingToken']}")
        seconds = self.seconds_of(task, body["spec"])
        run.timer = asyncio.get_running_loop().call_later(seconds, self._finish, run, "done")
        self.on_start(run)
        return web.json_response({"clockMs": self._clock_ms(), "born": self.born})

    async def _stop_run(self, body: dict) -> web.Response:
        refused = self._check(body)
        if refused is not None:
            return refused
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            asyncio.get_running_loop().call_later(STOP_SECONDS, self._finish, run, "stopped")
        return web.json_response({"clockMs": self._clock_ms(), "born": self.born})

    def _finish(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        run.timer.cancel()
        run.ended_at, run.how = self.record.now(), how
        self.record.add(self.id, f"ends {run.task} attempt {run.attempt}: {how}")
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.ends += 1
        self.ended.append([self.ends, run.task, run.attempt, how, ""])
        self.changed.set()
        self.changed = asyncio.Event()

    async def _hold(self, body: dict) -> web.Response:
        refused = self._check(body)
        if refused is not None:
            return refused
        last_seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > last_seen]
        if body.get("deadlineMs"):
            self._extend_lease(body["deadlineMs"])
        if body.get("waitMs") and not self.ended:
            waiter = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait([waiter], timeout=body["waitMs"] / 1000)
            waiter.cancel()
        running = [[run.task, run.attempt, "", 0, 0] for run in self.runs.values()]
        return web.json_response(
            {
                "clockMs": self._clock_ms(),
                "born": self.born,
                "running": running,
                "finished": self.ended[:500],
            }
        )
