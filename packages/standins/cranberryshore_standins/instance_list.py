"""Stand-in for the platform's instance list, which shows changes only after a delay."""

import asyncio

import attrs
from aiohttp.web import Application, Request, Response, json_response

from cranberryshore.messages import decode_json, encode_json
from cranberryshore.settings import Address
from cranberryshore_standins.serving import load_settings, run
from cranberryshored.platform import ListedInstance, Listing

NOT_MODIFIED = 304
SERVICE_UNAVAILABLE = 503


@attrs.frozen
class InstanceListSettings:
    """Settings of the stand-in; ``instances`` are those listed at the start."""

    listen: Address
    lag_seconds: float = 0.5
    instances: tuple[ListedInstance, ...] = ()


@attrs.define
class InstanceListFaults:
    """Faults that a test can inject."""

    down: bool = False


@attrs.define(eq=False)
class InstanceListServer:
    """Serves the instance list; changes become visible after ``lag_seconds``."""

    lag_seconds: float
    instances: dict[str, ListedInstance] = attrs.field(factory=dict)
    version: int = 1
    faults: InstanceListFaults = attrs.field(factory=InstanceListFaults)

    def app(self) -> Application:
        """Return the web application."""
        app = Application(client_max_size=2_000_000)
        app.router.add_get("/v1/instances", self.list)
        app.router.add_put("/instances", self.put)
        app.router.add_delete("/instances/{name}", self.delete)
        app.router.add_post("/switches", self.set_faults)
        return app

    async def list(self, request: Request) -> Response:
        """Return the list, or status 304 if the caller has its latest version."""
        if self.faults.down:
            return json_response({}, status=SERVICE_UNAVAILABLE)
        if request.query.get("since") == str(self.version):
            return Response(status=NOT_MODIFIED)
        listing = Listing(self.version, tuple(self.instances.values()))
        return Response(body=encode_json(listing), content_type="application/json")

    async def put(self, request: Request) -> Response:
        """Add or replace an instance after the lag."""
        instance = decode_json(await request.read(), ListedInstance)
        self._apply_after_lag(lambda: self.instances.__setitem__(instance.name, instance))
        return json_response({})

    async def delete(self, request: Request) -> Response:
        """Remove an instance after the lag."""
        name = request.match_info["name"]
        self._apply_after_lag(lambda: self.instances.pop(name, None))
        return json_response({})

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults."""
        self.faults = decode_json(await request.read(), InstanceListFaults)
        return json_response({})

    def _apply_after_lag(self, change) -> None:
        def apply() -> None:
            change()
            self.version += 1

        asyncio.get_running_loop().call_later(self.lag_seconds, apply)


def main(path: str) -> None:
    """Run the stand-in with the settings at ``path``."""
    settings = load_settings(path, InstanceListSettings)
    server = InstanceListServer(settings.lag_seconds)
    server.instances = {instance.name: instance for instance in settings.instances}
    run(server.app(), settings.listen)
