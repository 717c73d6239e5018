"""HTTP server for the metrics, on a separate address."""

import attrs
from aiohttp import web
from prometheus_client import generate_latest

from cranberryshored.metrics import Metrics


@attrs.define(eq=False)
class MetricsServer:
    """Serves the metrics in the Prometheus text format at every path of an address and port."""

    address: str
    metrics: Metrics
    runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        self.runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self.runner.setup()
        host, port = self.address.split(":")
        await web.TCPSite(self.runner, host, int(port)).start()

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        text = generate_latest(self.metrics.registry)
        return web.Response(body=text, content_type="text/plain", charset="utf-8")
