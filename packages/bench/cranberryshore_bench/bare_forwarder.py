"""A minimal aiohttp forwarder: the lower bound of the cost of forwarding with this library."""

import asyncio
import sys
from itertools import cycle
from signal import SIGTERM

import uvloop
from aiohttp import ClientSession, TCPConnector
from aiohttp.web import Application, AppRunner, Request, Response, TCPSite

HOST = "127.0.0.1"


async def _serve(port: int, targets: list[str]) -> None:
    session = ClientSession(connector=TCPConnector(limit=0))
    target_cycle = cycle(targets)

    async def forward(request: Request) -> Response:
        body = await request.read()
        url = next(target_cycle) + request.raw_path
        async with session.request(request.method, url, data=body or None) as response:
            return Response(body=await response.read(), status=response.status)

    app = Application()
    app.router.add_route("*", "/{path:.*}", forward)
    runner = AppRunner(app, access_log=None)
    await runner.setup()
    await TCPSite(runner, HOST, port).start()
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(SIGTERM, stop.set)
    await stop.wait()
    await runner.cleanup()
    await session.close()


if __name__ == "__main__":
    uvloop.run(_serve(int(sys.argv[1]), sys.argv[2:]))
