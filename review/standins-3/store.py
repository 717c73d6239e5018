"""Stand-in of the platform's key-value store, served over HTTP on a loopback address."""

import asyncio
import json
import time
from base64 import b64decode, b64encode
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
ANSWER_SECONDS = 0.004
"""Time of an answer, as the users' sheet gives it; a watch answers when there is a change."""


@web.middleware
async def answer_in_time(request: web.Request, handler) -> web.StreamResponse:
    """Answer each call but a watch after the usual time."""
    if request.path != "/api/kv-watch":
        await asyncio.sleep(ANSWER_SECONDS)
    return await handler(request)


class Store:
    """Keys with revisions, leases and watches, as the users' page on the protocol describes."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 100
        self.dropped = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.rejected: set[str] = set()
        self.runner: web.AppRunner | None = None
        self.expiry: asyncio.Task | None = None

    async def start(self, hosts: list[str], port: int) -> None:
        """Listen on an address for each entry machine."""
        middlewares = [answer_in_time, self._reject]
        app = web.Application(client_max_size=4_000_000, middlewares=middlewares)
        app.add_routes(
            [
                web.get("/api/kv-key", self._key),
                web.get("/api/kv-range", self._range),
                web.get("/api/kv-watch", self._watch),
                web.post("/api/kv-txn", self._transaction),
                web.post("/api/kv-lease", self._lease),
                web.post("/api/kv-keep/{id}", self._keep),
                web.delete("/api/kv-lease-end/{id}", self._end_lease),
            ]
        )
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        for host in hosts:
            await web.TCPSite(self.runner, host, port).start()
        self.expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop listening."""
        if self.expiry is not None:
            self.expiry.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def _reject(self, request: web.Request, handler) -> web.StreamResponse:
        """Answer 503 to the machines that the store turns away, at the end of a watch as well."""
        if request.transport is None:
            # The caller has gone.
            return web.json_response({}, status=503)
        host = request.transport.get_extra_info("sockname")[0]
        if host in self.rejected:
            return web.json_response({}, status=503)
        answer = await handler(request)
        return web.json_response({}, status=503) if host in self.rejected else answer

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a value as JSON, as the operator or a minion does."""
        text = json.dumps(value, separators=(",", ":"))
        return self._write(key, b64encode(text.encode()).decode(), lease)

    def read(self, key: str) -> Any:
        """Return the value of a key, ``None`` if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(b64decode(item["value"]))

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self._notify()

    def _write(self, key: str, value: str, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = self.revision if known is None else known["created"]
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        self.items[key] = item | {"lease": lease}
        self.history.append(self.items[key])
        self._notify()
        return self.revision

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [name for name, (until, _) in self.leases.items() if until < now]:
                self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _key(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self.revision}, status=404)
        return web.json_response(item | {"at": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return web.json_response({"items": page, "hasMore": has_more, "at": self.revision})

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.dropped:
                return web.json_response({}, status=410)
            events = []
            for item in reversed(self.history):
                if item["revision"] <= after:
                    break
                if item["key"].startswith(prefix):
                    events.append(item)
            left = until - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events[::-1], "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def _transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["precondition"]:
            known = self.items.get(row["key"])
            if (known["revision"] if known else 0) != row["revision"]:
                return web.json_response({"items": [known] if known else []}, status=412)
        if any(item.get("lease", 0) not in (0, *self.leases) for item in body["setKeys"]):
            return web.json_response({}, status=404)
        for item in body["setKeys"]:
            self._write(item["key"], item["value"], item.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _lease(self, request: web.Request) -> web.Response:
        seconds = (await request.json())["ttlMs"] / 1000
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"lease": self.last_lease, "ttlMs": int(seconds * 1000)})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"ttlMs": int(seconds * 1000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        self._drop_lease(lease)
        return web.json_response({})
