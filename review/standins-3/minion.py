"""Stand-in of a minion, served over HTTP on a loopback address."""

import asyncio
import json
import time
from contextlib import suppress
from typing import Any

from aiohttp import web
from record import Record
from store import Store

HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 1000
STOP_SECONDS = 0.03
DEFAULT_RUN_MS = 50
MAX_LISTED_ENDS = 500


def run_seconds(task: str, spec: str) -> float:
    """Return how long a task works: its spec names the milliseconds by step, or for all steps."""
    step = task.split(".")[2]
    try:
        times = json.loads(spec)
        return times.get(step, times.get("all", DEFAULT_RUN_MS)) / 1000
    except (ValueError, AttributeError):
        return DEFAULT_RUN_MS / 1000


class Minion:
    """One minion: runs tasks under a lease, and obeys the highest fencing token."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        capacity: dict[str, int],
        labels: list[str],
    ) -> None:
        self.name, self.store, self.record = name, store, record
        self.service, self.zone, self.capacity, self.labels = service, zone, capacity, labels
        self.state, self.seq = "ready", 0
        self.address = ""
        self.runner: web.AppRunner | None = None
        self.tasks: list[asyncio.Task] = []
        self._boot()

    def _boot(self) -> None:
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs: dict[tuple[str, int], asyncio.TimerHandle] = {}
        self.stopping: set[tuple[str, int]] = set()
        self.ended: list[list[Any]] = []
        self.last_end = 0
        self.highest: dict[str, int] = {}
        self.ended_event = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address and report to the store."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/api/run-start", self._start_run),
                web.post("/api/run-stop", self._stop_run),
                web.post("/api/hold", self._hold),
                web.get("/healthz", self._health),
            ]
        )
        self.address = f"{host}:{port}"
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.tasks = [asyncio.create_task(self._report()), asyncio.create_task(self._lapse())]

    async def close(self) -> None:
        """End: everything that runs ends with it."""
        for task in self.tasks:
            task.cancel()
        for key in list(self.runs):
            self._finish(key, "lost")
        if self.runner is not None:
            await self.runner.cleanup()

    async def crash(self) -> None:
        """End without a word; the entry in the store stays until it expires."""
        self.record.add("crash", minion=self.name)
        await self.close()

    async def boot(self, labels: list[str]) -> None:
        """Start again under the same id and at the same address, as another kind."""
        self.labels = labels
        self._boot()
        self.record.add("boot", minion=self.name, labels=labels)
        host, port = self.address.split(":")
        await self.start(host, int(port))

    def shrink(self, cpu: int) -> None:
        """Have less room from now on, and say so at once."""
        self.capacity = self.capacity | {"cpu": cpu}
        self.record.add("shrink", minion=self.name, cpu=cpu)
        self.report()

    def clock_ms(self) -> int:
        """Return the steady clock of this boot."""
        return 1000 + int((time.monotonic() - self.origin) * 1000)

    async def _report(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def report(self) -> None:
        """Write the entry in the store."""
        self.seq += 1
        entry = {"service": self.service, "addr": self.address, "zone": self.zone}
        entry |= {"version": "v1", "slots": 8, "state": self.state, "warmupLeftMs": 0}
        entry |= {"capacity": self.capacity, "labels": self.labels, "clockMs": self.clock_ms()}
        self.store.put(f"servers/{self.name}", entry | {"seq": self.seq, "born": self.born})

    async def _lapse(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            if self.clock_ms() >= self.lease_ms:
                for key in list(self.runs):
                    self._finish(key, "lapsed")

    def _finish(self, key: tuple[str, int], how: str) -> None:
        handle = self.runs.pop(key, None)
        if handle is None:
            return
        handle.cancel()
        self.stopping.discard(key)
        self.last_end += 1
        self.ended.append([self.last_end, *key, how, ""])
        self.record.add("end", minion=self.name, task=key[0], attempt=key[1], how=how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def _check(self, request: web.Request, body: dict) -> web.Response | None:
        if request.headers.get("X-Expected-Instance") not in (None, self.name):
            return web.json_response({"clockMs": self.clock_ms()}, status=421)
        token = body.get("fencingToken", 0)
        if token < self.token:
            return self._conflict("fence")
        self.token = token
        return None

    def _conflict(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms(), "reason": reason}, status=409)

    def _extend(self, deadline_ms: int) -> None:
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    async def _start_run(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        key = (body["task"], body["attempt"])
        if body["deadlineMs"] <= self.clock_ms():
            return self._conflict("late")
        self._extend(body["deadlineMs"])
        if key in self.runs:
            return web.json_response({"clockMs": self.clock_ms()})
        if key[1] <= self.highest.get(key[0], 0):
            return self._conflict("old")
        self.record.add("start", minion=self.name, task=key[0], attempt=key[1], labels=self.labels)
        seconds = run_seconds(key[0], body["spec"])
        loop = asyncio.get_running_loop()
        self.runs[key] = loop.call_later(seconds, self._finish, key, "done")
        self.highest[key[0]] = key[1]
        return web.json_response({"clockMs": self.clock_ms()})

    async def _stop_run(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        key = (body["task"], body["attempt"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.runs and key not in self.stopping:
            self.stopping.add(key)
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_SECONDS, self._finish, key, "stopped")
        return web.json_response({"clockMs": self.clock_ms()})

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        if body.get("deadlineMs"):
            self._extend(body["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        if body.get("waitMs") and not self.ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.ended_event.wait(), body["waitMs"] / 1000)
        running = [[*key, "", 50, 0] for key in self.runs]
        ended = [row for row in self.ended if row[0] > body["lastSeen"]][:MAX_LISTED_ENDS]
        answer = {"clockMs": self.clock_ms(), "born": self.born}
        return web.json_response(answer | {"running": running, "finished": ended})

    async def _health(self, _request: web.Request) -> web.Response:
        return web.Response(status=200 if self.state == "ready" else 503)
