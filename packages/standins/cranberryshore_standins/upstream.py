"""Stand-in for one upstream of a service."""

import asyncio

import attrs
from aiohttp.web import Application, Request, Response, json_response

from cranberryshore.messages import decode_json
from cranberryshore.settings import Address
from cranberryshore_standins.serving import load_settings, run


@attrs.frozen
class UpstreamSettings:
    """Settings of the stand-in."""

    listen: Address
    name: str
    slots: int = 8


@attrs.define
class UpstreamFaults:
    """Faults that a test can inject.

    ``slow_factor`` multiplies run times. The next ``break_after`` requests run, then their
    connection is aborted instead of answered.
    """

    slow_factor: float = 1.0
    break_after: int = 0


@attrs.define(eq=False)
class UpstreamServer:
    """Runs at most one request per slot at a time; further requests wait.

    ``runs`` holds each request's start time and nonce, ``waited`` counts requests that found all
    slots taken.
    """

    name: str
    slots: asyncio.Semaphore
    faults: UpstreamFaults = attrs.field(factory=UpstreamFaults)
    runs: list[tuple[float, str]] = attrs.field(factory=list)
    waited: int = 0

    def app(self) -> Application:
        """Return the web application."""
        app = Application(client_max_size=2_000_000)
        app.router.add_get("/log", self.get_log)
        app.router.add_post("/switches", self.set_faults)
        app.router.add_route("*", "/{path:.*}", self.serve)
        return app

    async def serve(self, request: Request) -> Response:
        """Run a request for ``ms`` milliseconds and answer with its ``nonce``."""
        nonce = request.query.get("nonce", "")
        body = await request.text()
        self.waited += self.slots.locked()
        async with self.slots:
            self.runs.append((asyncio.get_running_loop().time(), nonce))
            seconds = float(request.query.get("ms", "5")) / 1000
            await asyncio.sleep(seconds * self.faults.slow_factor)
        if self.faults.break_after > 0:
            self.faults.break_after -= 1
            request.transport.abort()
        answer = {"nonce": nonce, "upstream": self.name, "path": request.path, "body": body}
        return json_response(answer)

    async def get_log(self, request: Request) -> Response:
        """Return all runs, for the checks of tests."""
        return json_response({"runs": self.runs, "waited": self.waited})

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.faults = decode_json(await request.read(), UpstreamFaults)
        return json_response({})


def main(path: str) -> None:
    """Run the stand-in with the settings at ``path``."""
    settings = load_settings(path, UpstreamSettings)
    server = UpstreamServer(settings.name, asyncio.Semaphore(settings.slots))
    run(server.app(), settings.listen)
