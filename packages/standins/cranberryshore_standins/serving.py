"""Settings and HTTP serving, shared by all stand-in processes."""

import asyncio
import sys
from pathlib import Path
from signal import SIGINT, SIGTERM
from typing import TypeVar

import uvloop
from aiohttp.web import Application, AppRunner, TCPSite
from result import Err

from cranberryshore.settings import Address, check_document, parse_document

T = TypeVar("T")

MAX_BODY_BYTES = 16_000_000


def load_settings(path: str, type_: type[T]) -> T:
    """Read and validate a settings file; exit with the error messages if it is invalid."""
    document = parse_document(Path(path).read_text(encoding="utf-8"))
    checked = document.and_then(lambda value: check_document(value, type_))
    if isinstance(checked, Err):
        sys.exit("\n".join(str(fault) for fault in checked.err_value))
    return checked.ok_value


async def listen(app: Application, address: Address) -> AppRunner:
    """Start to serve ``app`` at ``address``."""
    runner = AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await TCPSite(runner, address.host, address.port, backlog=1024).start()
    return runner


async def _serve_until_signal(app: Application, address: Address) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stop.set)
    runner = await listen(app, address)
    await stop.wait()
    await runner.cleanup()


def run(app: Application, address: Address) -> None:
    """Serve ``app`` until SIGTERM or SIGINT arrives."""
    uvloop.run(_serve_until_signal(app, address))
