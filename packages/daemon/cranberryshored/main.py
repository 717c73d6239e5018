"""Entry point of ``cranberryshored``."""

import asyncio
import sys
from argparse import ArgumentParser
from pathlib import Path
from signal import SIGINT, SIGTERM

from aiomisc import entrypoint
from result import Err

from cranberryshore.settings import DaemonSettings, load_daemon_settings
from cranberryshored.app import Daemon
from cranberryshored.dependencies import network_dependencies
from cranberryshored.log import configure_log
from cranberryshored.loop_lag import LoopLag
from cranberryshored.metrics import Metrics

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
THREAD_POOL_SIZE = 1


async def _run(settings: DaemonSettings) -> int:
    metrics = Metrics()
    daemon = Daemon(settings, metrics, network_dependencies(settings, metrics))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal, stop.set)
    lag = LoopLag(metrics.loop_lag.observe)
    await lag.start()
    status = 0
    try:
        await daemon.start()
    except OSError as error:
        daemon.log.error("Cannot listen; the process ends.", error=str(error))
        status = EXIT_CANNOT_LISTEN
    else:
        await stop.wait()
        await daemon.close()
    await lag.close()
    return status


def main() -> None:
    """Load the settings and run the daemon until SIGTERM or SIGINT."""
    parser = ArgumentParser(prog="cranberryshored", description="Entry daemon of cranberryshore.")
    parser.add_argument("--settings", required=True, type=Path, help="settings file")
    arguments = parser.parse_args()
    try:
        text = arguments.settings.read_text(encoding="utf-8")
    except OSError as error:
        sys.exit(f"cranberryshored: {error}")
    loaded = load_daemon_settings(text)
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"{arguments.settings}: {fault}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    settings = loaded.ok_value
    configure_log(settings.log, f"{settings.zone}.{settings.instance}")
    with entrypoint(log_config=False, pool_size=THREAD_POOL_SIZE) as loop:
        status = loop.run_until_complete(_run(settings))
    sys.exit(status)


if __name__ == "__main__":
    main()
