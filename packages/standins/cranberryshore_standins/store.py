"""Stand-in for the platform's key-value service."""

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
EXPIRE_SECONDS = 0.2


@attrs.frozen
class StoreSettings:
    """Settings of the stand-in."""

    listen: Address


@attrs.define
class StoreSwitches:
    """Faults that a test can turn on.

    ``lose_replies`` counts the next writes that take effect but are never answered;
    ``expire_leases`` ends all leases at once.
    """

    down: bool = False
    slow_ms: int = 0
    lose_replies: int = 0
    expire_leases: bool = False


@attrs.define(eq=False)
class StoreServer:
    """Serves one store model over HTTP and counts every call."""

    model: StoreModel = attrs.field(factory=StoreModel)
    switches: StoreSwitches = attrs.field(factory=StoreSwitches)
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
        app.router.add_post("/v1/leases", self.grant)
        app.router.add_get("/counts", self.show_counts)
        app.router.add_post("/switches", self.set_switches)
        app.cleanup_ctx.append(self._expiry)
        return app

    async def get(self, request: Request) -> Response:
        """Return one key."""
        await self._enter("get")
        key = request.match_info["key"]
        stored = self.model.keys.get(key)
        if stored is None:
            return json_response({}, status=NOT_FOUND)
        return json_response({"key": key, "revision": stored.revision, "value": stored.value})

    async def put(self, request: Request) -> Response:
        """Write one key."""
        await self._enter("put")
        key = request.match_info["key"]
        value = (await request.read()).decode()
        lease = request.query.get("lease", "")
        revision = self.model.put(key, value, _expected(request), lease)
        return await self._written(request, key, revision)

    async def delete(self, request: Request) -> Response:
        """Delete one key."""
        await self._enter("delete")
        key = request.match_info["key"]
        return await self._written(request, key, self.model.delete(key, _expected(request)))

    async def range(self, request: Request) -> Response:
        """Return all keys under a prefix."""
        await self._enter("list")
        prefix = request.query["prefix"]
        entries = [
            {"key": key, "revision": stored.revision, "value": stored.value}
            for key, stored in sorted(self.model.keys.items())
            if key.startswith(prefix)
        ]
        return json_response({"revision": self.model.revision, "entries": entries})

    async def watch(self, request: Request) -> Response:
        """Return the changes after a revision, waiting for the first."""
        await self._enter("watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["wait_ms"]) / 1000
        self.waiting += 1
        try:
            while (left := deadline - loop.time()) > 0:
                changes = self.model.changes(prefix, after)
                if changes is None or changes or self.switches.down:
                    break
                changed = self.changed
                waiter = asyncio.create_task(changed.wait())
                await asyncio.wait([waiter], timeout=left)
                waiter.cancel()
        finally:
            self.waiting -= 1
        await self._enter("")
        changes = self.model.changes(prefix, after)
        if changes is None:
            return json_response({}, status=GONE)
        shown = [attrs.asdict(change) for change in changes]
        return json_response({"revision": self.model.revision, "changes": shown})

    async def grant(self, request: Request) -> Response:
        """Grant a lease."""
        await self._enter("lease")
        lease = uuid4().hex
        ttl = float(request.query["ttl_seconds"])
        self.model.leases[lease] = asyncio.get_running_loop().time() + ttl
        return json_response({"lease": lease})

    async def show_counts(self, request: Request) -> Response:
        """Return the calls by kind and the waiting watches."""
        return json_response({"calls": dict(self.counts), "waiting": self.waiting})

    async def set_switches(self, request: Request) -> Response:
        """Set the faults."""
        self.switches = decode_json(await request.read(), StoreSwitches)
        if self.switches.expire_leases:
            self.model.expire(float("inf"))
        self._wake()
        return json_response({})

    async def _enter(self, kind: str) -> None:
        if kind:
            self.counts[kind] += 1
        if self.switches.slow_ms:
            await asyncio.sleep(self.switches.slow_ms / 1000)
        if self.switches.down:
            raise HTTPServiceUnavailable()

    async def _written(self, request: Request, key: str, revision: int | None) -> Response:
        if revision is None:
            body = {"revision": self.model.current(key)}
            return json_response(body, status=PRECONDITION_FAILED)
        self._wake()
        if self.switches.lose_replies > 0:
            self.switches.lose_replies -= 1
            request.transport.abort()
        return json_response({"revision": revision})

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expiry(self, app: Application):
        async def expire() -> None:
            while True:
                await asyncio.sleep(EXPIRE_SECONDS)
                if self.model.expire(asyncio.get_running_loop().time()):
                    self._wake()

        task = asyncio.create_task(expire())
        yield
        task.cancel()


def _expected(request: Request) -> int | None:
    text = request.query.get("expected")
    return None if text is None else int(text)


def main(path: str) -> None:
    """Run the stand-in with the settings at ``path``."""
    settings = load_settings(path, StoreSettings)
    run(StoreServer().app(), settings.listen)
