"""Stand-in of the platform's store: keys, leases, watches and transactions."""

import asyncio
import json
import time
from base64 import b64encode

from aiohttp import web

HOST = "127.0.0.1"
PAGE_ITEMS = 500
ANSWER_SECONDS = 0.004


def encode_value(value: object) -> str:
    """Return a value as JSON in base64."""
    return b64encode(json.dumps(value).encode()).decode()


class Store:
    """Store with one address for each instance, so that single instances can be turned away.

    ``refused`` holds the names of the instances whose calls get status 503.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.leases: dict[int, float] = {}
        self.ttls: dict[int, float] = {}
        self.changed = asyncio.Event()
        self.refused: set[str] = set()
        self.runners: list[web.AppRunner] = []
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start to expire leases."""
        self.task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop all servers."""
        if self.task is not None:
            self.task.cancel()
        for runner in self.runners:
            await runner.cleanup()

    async def open_address(self, name: str) -> str:
        """Return a new address of the store for one instance."""

        @web.middleware
        async def refuse(request: web.Request, handler) -> web.StreamResponse:
            if name in self.refused:
                return web.json_response({}, status=503)
            await asyncio.sleep(ANSWER_SECONDS)
            return await handler(request)

        app = web.Application(middlewares=[refuse])
        app.add_routes(
            [
                web.get("/api/kv-key", self._get),
                web.get("/api/kv-range", self._range),
                web.get("/api/kv-watch", self._watch),
                web.post("/api/kv-txn", self._commit),
                web.post("/api/kv-lease", self._grant),
                web.post("/api/kv-keep/{id}", self._keep),
                web.delete("/api/kv-lease-end/{id}", self._end_lease),
            ]
        )
        runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self.runners.append(runner)
        host, port = runner.addresses[0]
        return f"{host}:{port}"

    def set(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        created = self.items.get(key, {"created": self.revision})["created"]
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        item["lease"] = lease
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for number in [n for n, end in self.leases.items() if end < time.monotonic()]:
                self._drop_lease(number)

    def _drop_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    async def _get(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        return web.json_response(item or {}, status=200 if item else 404)

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        body = {"items": page, "hasMore": len(keys) > PAGE_ITEMS, "at": self.revision}
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "at": self.revision})
            waiter = asyncio.ensure_future(self.changed.wait())
            await asyncio.wait([waiter], timeout=left)
            waiter.cancel()

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        rows = body.get("precondition", [])
        if any(
            self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]
            for row in rows
        ):
            items = [self.items[row["key"]] for row in rows if row["key"] in self.items]
            return web.json_response({"items": items}, status=412)
        if any(
            item.get("lease", 0) and item["lease"] not in self.leases
            for item in body.get("setKeys", [])
        ):
            return web.json_response({}, status=404)
        for item in body.get("setKeys", []):
            self.set(item["key"], item["value"], item.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        number = len(self.ttls) + 1
        ttl_ms = max((await request.json())["ttlMs"], 1000)
        self.ttls[number] = ttl_ms / 1000
        self.leases[number] = time.monotonic() + ttl_ms / 1000
        return web.json_response({"lease": number, "ttlMs": ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        number = int(request.match_info["id"])
        if number not in self.leases:
            return web.json_response({}, status=404)
        self.leases[number] = time.monotonic() + self.ttls[number]
        return web.json_response({"ttlMs": int(self.ttls[number] * 1000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["id"]))
        return web.json_response({})
