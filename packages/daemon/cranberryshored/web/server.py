"""HTTP server of the daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from aiohttp.web import (
    Application,
    HTTPException,
    Request,
    Response,
    RouteTableDef,
    StreamResponse,
    middleware,
)
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.settings import Address
from cranberryshored.intake import GuardedAppRunner, IntakeGuard, api_body, listen
from cranberryshored.web.responses import RefusalError, refusal_response

Handler = Callable[[Request], Awaitable[StreamResponse]]
SHUTDOWN_TIMEOUT_SECONDS = 1.0
BACKLOG = 1024
CLIENT_ERRORS = {
    404: (ErrorType.NOT_FOUND, "There is no such path."),
    405: (ErrorType.NOT_FOUND, "The path has no such method."),
    413: (ErrorType.TOO_LARGE, "The body is too large."),
}


class HttpServer(Protocol):
    """Interface of the daemon's HTTP server."""

    in_flight: int

    async def start(self) -> None:
        """Start to listen."""
        ...

    async def close(self) -> None:
        """Stop listening."""
        ...


@attrs.define(eq=False)
class WebServer:
    """Serves the routes for callers and operators, and converts errors to refusals."""

    address: Address
    guard: IntakeGuard
    route_tables: list[RouteTableDef]
    log: FilteringBoundLogger
    runner: GuardedAppRunner | None = None
    in_flight: int = 0

    async def start(self) -> None:
        """Start to listen."""
        limits = self.guard.limits
        body_bytes = limits.frame.body_bytes
        app = Application(client_max_size=body_bytes, middlewares=[self._middleware()])
        for table in self.route_tables:
            app.add_routes(table)
        # Callers, operators and the checks of the load balancer share one address.
        listener = self.guard.listener("api", limits.connections.total, api_body)
        self.runner = GuardedAppRunner(app, listener, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS)
        await self.runner.setup()
        await listen(self.runner, self.address.host, self.address.port, BACKLOG)

    async def close(self) -> None:
        """Stop listening; cancel requests still running after the shutdown timeout."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.guard.close()

    def _middleware(self):
        @middleware
        async def convert_errors(request: Request, handler: Handler) -> StreamResponse:
            self.in_flight += 1
            try:
                return await handler(request)
            except RefusalError as error:
                return refusal_response(error.refusal)
            except HTTPException as error:
                return self._client_error_response(error)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.log.error(
                    "Unhandled exception in a request handler.", path=request.path, exc_info=error
                )
                return _internal_error_response()
            finally:
                self.in_flight -= 1

        return convert_errors

    def _client_error_response(self, error: HTTPException) -> Response:
        type_, detail = CLIENT_ERRORS.get(
            error.status, (ErrorType.MALFORMED, "The request is malformed.")
        )
        return refusal_response(Refusal(type_, ExecutionStatus.NOT_RUN, detail))


def _internal_error_response() -> Response:
    detail = "The daemon has a fault; its log says more."
    return refusal_response(Refusal(ErrorType.INTERNAL, ExecutionStatus.MAY_HAVE_RUN, detail))
