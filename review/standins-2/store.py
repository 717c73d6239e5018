"""Stand-in of the platform's store: keys, ranges, watches, transactions and leases."""

import asyncio
import base64
import json
import time

from aiohttp import web

PAGE_ITEMS = 500


class Store:
    """Store in memory, served over HTTP."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 10
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.address = ""
        self.runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on a loopback address."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.add_routes(
            [
                web.get("/api/kv-key", self.handle_key),
                web.get("/api/kv-range", self.handle_range),
                web.get("/api/kv-watch", self.handle_watch),
                web.post("/api/kv-txn", self.handle_txn),
                web.post("/api/kv-lease", self.handle_lease),
                web.post("/api/kv-keep/{id}", self.handle_keep),
                web.delete("/api/kv-lease-end/{id}", self.handle_lease_end),
            ]
        )
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, host, port).start()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def put(self, key: str, value: dict, lease: int = 0) -> None:
        """Write a JSON value, as an operator or a server does."""
        self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def write(self, key: str, value: str, lease: int = 0) -> None:
        """Write an encoded value."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    def _record(self, change: dict) -> None:
        self.history.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self) -> None:
        moment = time.monotonic()
        for lease in [lease for lease, (end, _) in self.leases.items() if end < moment]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)
        return True

    async def handle_key(self, request: web.Request) -> web.Response:
        """Return one item."""
        self._expire()
        item = self.items.get(request.query["key"])
        return web.json_response(item or {}, status=200 if item else 404)

    async def handle_range(self, request: web.Request) -> web.Response:
        """Return a page of items."""
        self._expire()
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        items = [self.items[key] for key in keys[:PAGE_ITEMS]]
        body = {"items": items, "hasMore": len(keys) > PAGE_ITEMS, "at": self.revision}
        return web.json_response(body)

    async def handle_watch(self, request: web.Request) -> web.Response:
        """Return the changes after a revision as soon as there are any."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            self._expire()
            at = self.revision
            events = [
                change
                for change in self.history
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "at": at})
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.25))
            except TimeoutError:
                continue

    async def handle_txn(self, request: web.Request) -> web.Response:
        """Change several keys at once, if the precondition holds."""
        self._expire()
        body = await request.json()
        rows = body.get("precondition", [])
        current = [self.items.get(row["key"], {"revision": 0}) for row in rows]
        if any(
            item["revision"] != row["revision"] for item, row in zip(current, rows, strict=True)
        ):
            return web.json_response({"items": current}, status=412)
        for item in body.get("setKeys", []):
            if item.get("lease", 0) not in (0, *self.leases):
                return web.json_response({}, status=404)
        for item in body.get("setKeys", []):
            self.write(item["key"], item["value"], item.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return web.json_response({"revision": self.revision})

    async def handle_lease(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        ttl_ms = (await request.json())["ttlMs"]
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms / 1000)
        return web.json_response({"lease": self.last_lease, "ttlMs": ttl_ms})

    async def handle_keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        self._expire()
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"ttlMs": int(seconds * 1000)})

    async def handle_lease_end(self, request: web.Request) -> web.Response:
        """End a lease."""
        ended = self._end_lease(int(request.match_info["id"]))
        return web.json_response({}, status=200 if ended else 404)
