"""The HTTP server of the daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
from aiohttp.web import (
    Application,
    AppRunner,
    HTTPException,
    Request,
    Response,
    RouteTableDef,
    StreamResponse,
    TCPSite,
    middleware,
)
from structlog.typing import FilteringBoundLogger

from cranberryshore.errors import ErrorType, Refusal, RunClaim
from cranberryshore.settings import Address
from cranberryshored.web.answers import RefusalError, refusal_answer

Handler = Callable[[Request], Awaitable[StreamResponse]]
SHUTDOWN_SECONDS = 1.0
CLIENT_ERRORS = {
    404: (ErrorType.NOT_FOUND, "There is no such path."),
    405: (ErrorType.NOT_FOUND, "The path has no such method."),
    413: (ErrorType.TOO_LARGE, "The body is too large."),
}


class HttpServer(Protocol):
    """What the daemon needs of its web server."""

    in_flight: int

    async def start(self) -> None:
        """Begin to listen."""
        ...

    async def close(self) -> None:
        """Stop listening."""
        ...


@attrs.define(eq=False)
class WebServer:
    """Listens for callers and operators."""

    address: Address
    body_bytes: int
    tables: list[RouteTableDef]
    log: FilteringBoundLogger
    runner: AppRunner | None = None
    in_flight: int = 0

    async def start(self) -> None:
        """Begin to listen."""
        app = Application(client_max_size=self.body_bytes, middlewares=[self._middleware()])
        for table in self.tables:
            app.add_routes(table)
        self.runner = AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS)
        await self.runner.setup()
        site = TCPSite(self.runner, self.address.host, self.address.port, backlog=1024)
        await site.start()

    async def close(self) -> None:
        """Stop listening and end what is left after ``SHUTDOWN_SECONDS``."""
        if self.runner is not None:
            await self.runner.cleanup()

    def _middleware(self):
        @middleware
        async def answer_errors(request: Request, handler: Handler) -> StreamResponse:
            self.in_flight += 1
            try:
                return await handler(request)
            except RefusalError as error:
                return refusal_answer(error.refusal)
            except HTTPException as error:
                return self._client_error(error)
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.log.error("Handler failed.", path=request.path, exc_info=error)
                return _internal_answer()
            finally:
                self.in_flight -= 1

        return answer_errors

    def _client_error(self, error: HTTPException) -> Response:
        type_, detail = CLIENT_ERRORS.get(
            error.status, (ErrorType.MALFORMED, "The request is malformed.")
        )
        return refusal_answer(Refusal(type_, RunClaim.NOT_RUN, detail))


def _internal_answer() -> Response:
    detail = "The daemon has a fault; its log says more."
    return refusal_answer(Refusal(ErrorType.INTERNAL, RunClaim.MAY_HAVE_RUN, detail))
