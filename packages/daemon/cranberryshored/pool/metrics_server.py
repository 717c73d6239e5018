"""HTTP server for the metrics, on a separate address."""

import attrs
from aiohttp import web
from prometheus_client import generate_latest

from cranberryshore.settings.intake import IntakeSettings
from cranberryshored.intake import (
    GuardedServerRunner,
    IntakeGuard,
    listen,
    make_guard,
    make_server,
    platform_body,
)
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics

BACKLOG = 128
"""Connections that wait to be accepted; a collector opens one."""


@attrs.define(eq=False)
class MetricsServer:
    """Serves the metrics in the Prometheus text format at every path of an address and port.

    Parameters
    ----------
    guard : IntakeGuard or None
        Limits of the clients; by default, a guard for this server alone.
    """

    address: str
    metrics: Metrics
    guard: IntakeGuard | None = None
    runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        if self.guard is None:
            self.guard = make_guard(IntakeSettings(), self.metrics, make_logger("intake"))
        limit = self.guard.limits.connections.metrics
        listener = self.guard.listener("metrics", limit, platform_body)
        server = make_server(self._handle, self.guard.limits.frame.body_bytes)
        self.runner = GuardedServerRunner(server, listener)
        await self.runner.setup()
        host, port = self.address.split(":")
        await listen(self.runner, host, int(port), BACKLOG)

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        text = generate_latest(self.metrics.registry)
        return web.Response(body=text, content_type="text/plain", charset="utf-8")
