"""Stand-in of a server (minion) that runs tasks as PROTOCOL.md says.

The first word of a task's ``spec`` that is a number tells how many milliseconds it takes.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from aiohttp import web

MAX_HOLD_MS = 1000
MAX_LISTED_ENDS = 500


class Worker:
    """One server; it starts whatever it is instructed to start (``enforcesCapacity`` false)."""

    def __init__(self, name: str, record: Callable[..., None]) -> None:
        self.name, self.record = name, record
        self.born = int(time.time() * 1000)
        self.began = time.monotonic() - 5.0
        self.fence = 0
        self.lease_end_ms = 0
        self.runs: dict[tuple[str, int], float] = {}
        self.ended: list[list] = []
        self.last_number = 0
        self.highest: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.address = ""
        self.runner: web.AppRunner | None = None
        self.task: asyncio.Task | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on a loopback address."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/api/run-start", self.handle_start),
                web.post("/api/run-stop", self.handle_stop),
                web.post("/api/hold", self.handle_hold),
            ]
        )
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.address = f"{host}:{port}"
        self.task = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stop listening."""
        if self.task is not None:
            self.task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def registration(self, service: str, zone: str, cpu: int) -> dict:
        """Return the entry of this server in the store."""
        return {
            "service": service,
            "addr": self.address,
            "zone": zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
            "born": self.born,
            "capacity": {"cpu": cpu, "memMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"],
        }

    def clock_ms(self) -> int:
        """Return the steady clock of this server."""
        return int((time.monotonic() - self.began) * 1000)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            self._settle()

    def _settle(self) -> None:
        if self.runs and self.clock_ms() >= self.lease_end_ms:
            for key in list(self.runs):
                self._end(key, "lapsed")
        moment = time.monotonic()
        for key in [key for key, end in self.runs.items() if end <= moment]:
            self._end(key, "done")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.runs[key]
        self.last_number += 1
        self.ended.append([self.last_number, *key, how, ""])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.record("run ended", server=self.name, task=key[0], run=key[1], how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def _answer(self, body: dict, status: int = 200) -> web.Response:
        return web.json_response(body | {"clockMs": self.clock_ms()}, status=status)

    def _refusal(self, request: web.Request, body: dict) -> web.Response | None:
        if request.headers.get("X-Expected-Instance", self.name) != self.name:
            return self._answer({}, 421)
        if body.get("fencingToken", 0) < self.fence:
            return self._answer({"reason": "fence"}, 409)
        self.fence = body.get("fencingToken", 0)
        return None

    def _extend(self, deadline_ms: int) -> None:
        end = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_end_ms = max(self.lease_end_ms, end)

    async def handle_start(self, request: web.Request) -> web.Response:
        """Start a run, or refuse it."""
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        self._settle()
        key = (body["task"], body["attempt"])
        if key in self.runs:
            return self._answer({})
        if body["deadlineMs"] <= self.clock_ms():
            return self._answer({"reason": "late"}, 409)
        self._extend(body["deadlineMs"])
        if body["attempt"] <= self.highest.get(body["task"], 0):
            return self._answer({"reason": "old"}, 409)
        word = body["spec"].split(" ")[0]
        self.runs[key] = time.monotonic() + int(word) / 1000
        self.record("run started", server=self.name, task=key[0], run=key[1])
        return self._answer({})

    async def handle_stop(self, request: web.Request) -> web.Response:
        """Stop a run."""
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        key = (body["task"], body["attempt"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.runs:
            self._end(key, "stopped")
        return self._answer({})

    async def handle_hold(self, request: web.Request) -> web.Response:
        """Extend the lease, and list the runs and the ends."""
        body = await request.json()
        refusal = self._refusal(request, body)
        if refusal is not None:
            return refusal
        self._settle()
        if body.get("deadlineMs"):
            self._extend(body["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
        if body.get("waitMs") and not self.ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), body["waitMs"] / 1000)
        running = [[*key, "", 50, 0] for key in self.runs]
        finished = self.ended[:MAX_LISTED_ENDS]
        return self._answer({"born": self.born, "running": running, "finished": finished})
