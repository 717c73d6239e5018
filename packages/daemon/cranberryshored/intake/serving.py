"""Servers whose clients are limited by a guard."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from cranberryshore.intake.limits import RECEIVE_BUFFER_BYTES
from cranberryshored.intake.guard import ListenerGuard
from cranberryshored.intake.handler import GuardedHandler

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def make_server(handle: Handler, body_bytes: int, handler_cancellation: bool = False) -> web.Server:
    """Return a low-level server whose handlers read bodies of up to ``body_bytes``, decompressed.

    Parameters
    ----------
    handle : callable
        Returns the response of a request.
    body_bytes : int
        Maximum size of a body.
    handler_cancellation : bool
        Whether a handler is cancelled when its client disconnects.
    """

    def make_request(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: "asyncio.Task[None]",
    ) -> web.BaseRequest:
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=body_bytes
        )

    return web.Server(
        handle,
        request_factory=make_request,
        handler_cancellation=handler_cancellation,
        access_log=None,
    )


@attrs.frozen
class GuardedFactory:
    """Creates the protocol of each connection of an aiohttp server."""

    server: web.Server
    listener: ListenerGuard

    def __call__(self) -> GuardedHandler:
        """Return the protocol of a new connection."""
        return GuardedHandler(
            self.listener, self.server, loop=asyncio.get_running_loop(), access_log=None
        )


class GuardedServerRunner(web.ServerRunner):
    """Runner of a low-level server behind a guard."""

    def __init__(self, server: web.Server, listener: ListenerGuard, **options: object) -> None:
        super().__init__(server, **options)
        self.factory = GuardedFactory(server, listener)

    @property
    def server(self) -> Callable[[], GuardedHandler]:
        """Return the factory of the protocols, which a site passes to the event loop."""
        return self.factory


class GuardedAppRunner(web.AppRunner):
    """Runner of an application behind a guard."""

    def __init__(self, app: web.Application, listener: ListenerGuard, **options: object) -> None:
        super().__init__(app, **options)
        self.listener = listener

    @property
    def server(self) -> Callable[[], GuardedHandler] | None:
        """Return the factory of the protocols, which a site passes to the event loop."""
        server = super().server
        return None if server is None else GuardedFactory(server, self.listener)


async def listen(runner: web.BaseRunner, host: str, port: int, backlog: int) -> None:
    """Serve an address with small receive buffers in the kernel.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    sock = socket.create_server((host, port), backlog=backlog)
    # Accepted connections inherit the size.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        await web.SockSite(runner, sock, backlog=backlog).start()
    except OSError:
        sock.close()
        raise
