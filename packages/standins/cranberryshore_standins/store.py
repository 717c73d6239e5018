"""Stand-in for the platform's key-value store."""

import asyncio
from collections import Counter
from uuid import uuid4

import attrs
from aiohttp.web import (
    Application,
    HTTPServiceUnavailable,
    Request,
    Response,
    json_response,
)

from cranberryshore.messages import decode_json
from cranberryshore.settings import Address
from cranberryshore_standins.serving import load_settings, run
from cranberryshore_standins.store_model import StoreModel

GONE = 410
NOT_FOUND = 404
PRECONDITION_FAILED = 412
LEASE_EXPIRY_INTERVAL_SECONDS = 0.2


@attrs.frozen
class StoreSettings:
    """Settings of the stand-in."""

    listen: Address


@attrs.define
class StoreFaults:
    """Faults that a test can inject.

    ``down`` answers every call with status 503, ``slow_ms`` delays it. The next ``lose_replies``
    writes take effect, but their connection is aborted before the answer. ``expire_leases`` ends
    all leases at once.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    expire_leases: bool = False


@attrs.define(eq=False)
class StoreServer:
    """Serves one store model over HTTP.

    ``changed`` is set at the next change of the store or faults, then replaced by a new event.
    """

    model: StoreModel = attrs.field(factory=StoreModel)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    counts: Counter = attrs.field(factory=Counter)
    waiting: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def app(self) -> Application:
        """Return the web application."""
        app = Application(client_max_size=2_000_000)
        app.router.add_get("/v1/keys/{key:.+}", self.get)
        app.router.add_put("/v1/keys/{key:.+}", self.put)
        app.router.add_delete("/v1/keys/{key:.+}", self.delete)
        app.router.add_get("/v1/range", self.range)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_post("/v1/leases", self.grant_lease)
        app.router.add_get("/counts", self.get_counts)
        app.router.add_post("/switches", self.set_faults)
        app.cleanup_ctx.append(self._lease_expiry_context)
        return app

    async def get(self, request: Request) -> Response:
        """Return the value and the revision of a key."""
        await self._begin_call("get")
        key = request.match_info["key"]
        stored = self.model.keys.get(key)
        if stored is None:
            return json_response({}, status=NOT_FOUND)
        return json_response({"key": key, "revision": stored.revision, "value": stored.value})

    async def put(self, request: Request) -> Response:
        """Write a key."""
        await self._begin_call("put")
        key = request.match_info["key"]
        value = (await request.read()).decode()
        lease = request.query.get("lease", "")
        revision = self.model.put(key, value, _expected_revision(request), lease)
        return await self._write_response(request, key, revision)

    async def delete(self, request: Request) -> Response:
        """Delete a key."""
        await self._begin_call("delete")
        key = request.match_info["key"]
        return await self._write_response(
            request, key, self.model.delete(key, _expected_revision(request))
        )

    async def range(self, request: Request) -> Response:
        """Return all keys under a prefix."""
        await self._begin_call("list")
        prefix = request.query["prefix"]
        entries = [
            {"key": key, "revision": stored.revision, "value": stored.value}
            for key, stored in sorted(self.model.keys.items())
            if key.startswith(prefix)
        ]
        return json_response({"revision": self.model.revision, "entries": entries})

    async def watch(self, request: Request) -> Response:
        """Return the changes after a revision; wait up to ``wait_ms`` for the first."""
        await self._begin_call("watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["wait_ms"]) / 1000
        self.waiting += 1
        try:
            while (left := deadline - loop.time()) > 0:
                changes = self.model.changes(prefix, after)
                if changes is None or changes or self.faults.down:
                    break
                changed = self.changed
                waiter = asyncio.create_task(changed.wait())
                await asyncio.wait([waiter], timeout=left)
                waiter.cancel()
        finally:
            self.waiting -= 1
        # Applies faults set while the watch waited, without counting a second call.
        await self._begin_call("")
        changes = self.model.changes(prefix, after)
        if changes is None:
            return json_response({}, status=GONE)
        change_entries = [attrs.asdict(change) for change in changes]
        return json_response({"revision": self.model.revision, "changes": change_entries})

    async def grant_lease(self, request: Request) -> Response:
        """Grant a lease."""
        await self._begin_call("lease")
        lease = uuid4().hex
        ttl = float(request.query["ttl_seconds"])
        self.model.leases[lease] = asyncio.get_running_loop().time() + ttl
        return json_response({"lease": lease})

    async def get_counts(self, request: Request) -> Response:
        """Return the calls by kind and the number of waiting watches."""
        return json_response({"calls": dict(self.counts), "waiting": self.waiting})

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults and notify the watches."""
        self.faults = decode_json(await request.read(), StoreFaults)
        if self.faults.expire_leases:
            self.model.expire(float("inf"))
        self._notify_watches()
        return json_response({})

    async def _begin_call(self, kind: str) -> None:
        if kind:
            self.counts[kind] += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            raise HTTPServiceUnavailable()

    async def _write_response(self, request: Request, key: str, revision: int | None) -> Response:
        if revision is None:
            body = {"revision": self.model.current(key)}
            return json_response(body, status=PRECONDITION_FAILED)
        self._notify_watches()
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            request.transport.abort()
        return json_response({"revision": revision})

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _lease_expiry_context(self, app: Application):
        async def expire() -> None:
            while True:
                await asyncio.sleep(LEASE_EXPIRY_INTERVAL_SECONDS)
                if self.model.expire(asyncio.get_running_loop().time()):
                    self._notify_watches()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def _expected_revision(request: Request) -> int | None:
    text = request.query.get("expected")
    return None if text is None else int(text)


def main(path: str) -> None:
    """Run the stand-in with the settings at ``path``."""
    settings = load_settings(path, StoreSettings)
    run(StoreServer().app(), settings.listen)
