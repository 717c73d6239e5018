"""Small deployment for a script: a store, servers and daemons on loopback addresses."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import traceback
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path

import attrs
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE, ROUTE_HOST, PREFIX = "svc", "jobs.example", "/jobs/"
ZONES = ("zone-a", "zone-b", "zone-c")
START_SECONDS = 20.0
PORTS = range(20_000, 32_000)
PORT_TRIES = 100


class CannotRunError(Exception):
    """The case cannot run; the script exits with 2."""


def free_port() -> int:
    """Return a free loopback port that no outgoing connection is given by the system."""
    for _ in range(PORT_TRIES):
        port = random.choice(PORTS)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise CannotRunError("no port is free")


@attrs.frozen
class Start:
    """Start of a run on a server, on the steady clock."""

    at: float
    task: str
    run: int
    server: str


class Record:
    """Lines of ``record.txt``, with the time since the start; also keeps the starts of runs."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.starts: list[Start] = []
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, event: str, **fields: object) -> None:
        """Write a line."""
        if event == "run started":
            self.starts.append(Start(time.monotonic(), **fields))
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:9.3f} {event} {words}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class Daemon:
    """One process of the deploy file's role."""

    def __init__(self, name: str, zone: str, folder: Path, store: str, memory_mb: int) -> None:
        self.name, self.zone, self.folder = name, zone, folder
        self.ports = {key: free_port() for key in ("front", "ready", "control", "metrics")}
        self.store, self.memory_mb = store, memory_mb
        self.process: subprocess.Popen | None = None

    def address(self, key: str) -> str:
        """Return one of the addresses of the process."""
        return f"{HOST}:{self.ports[key]}"

    def start(self, seeds: list[str]) -> None:
        """Start the process with the command of the deploy file."""
        settings = {
            "instance": self.name,
            "zone": self.zone,
            "listen": self.address("front"),
            "ready_listen": self.address("ready"),
            "peer_listen": self.address("control"),
            "metrics_listen": self.address("metrics"),
            "store": self.store,
            "seeds": seeds,
            "relief": {"is_enabled": True},
            "processor_share": 0.537,
            "processor_speed": 2,
            "intake": {"memory_mb": self.memory_mb, "max_descriptors": 4100},
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CRANBERRYSHORE_SETTINGS": str(path),
        }
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "cranberryshore_platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def is_alive(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def resident_mb(self) -> float:
        """Return the resident memory of the process, in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """Store, servers and daemons; ``record`` receives what the servers do."""

    def __init__(self, record: Record, daemons: int, workers: int, memory_mb: int) -> None:
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.workers = [Worker(f"server{number:02}", record) for number in range(workers)]
        self.daemon_count, self.memory_mb = daemons, memory_mb
        self.daemons: list[Daemon] = []

    async def start(self) -> None:
        """Start everything, and wait until all daemons are ready."""
        await self.store.start(HOST, free_port())
        self.put_config(1)
        for number, worker in enumerate(self.workers):
            await worker.start(HOST, free_port())
            zone = ZONES[number % len(ZONES)]
            value = worker.registration(SERVICE, zone, 32_000)
            self.store.put(f"servers/{worker.name}", value)
        folder = Path(self.folder.name)
        self.daemons = [
            Daemon(
                f"front-{number}",
                ZONES[number % len(ZONES)],
                folder,
                self.store.address,
                self.memory_mb,
            )
            for number in range(self.daemon_count)
        ]
        self.start_daemons()
        await self.wait_until_ready()

    def start_daemons(self) -> None:
        """Start all daemons."""
        seeds = [daemon.address("control") for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.start(seeds)

    async def wait_until_ready(self) -> None:
        """Wait until all daemons are ready."""
        end = time.monotonic() + START_SECONDS
        for daemon in self.daemons:
            while not await is_ready(daemon.address("ready"), 1.0):
                if time.monotonic() > end or not daemon.is_alive():
                    raise CannotRunError(f"{daemon.name} does not become ready")
                await asyncio.sleep(0.1)

    def put_config(self, version: int) -> None:
        """Write the configuration, as the operator does."""
        route = {
            "name": "route-a",
            "host": ROUTE_HOST,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 3,
            "slackFactor": 2.0,
            "targetLatencyMs": 400,
        }
        services = [{"name": SERVICE, "enforcesCapacity": False}]
        value = {"version": version, "routes": [route], "services": services, "limits": {}}
        self.store.put("op/config", value)

    async def close(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            daemon.kill()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(self.folder.name).glob("*.log"):
                (Path(os.environ["KEEP_LOGS"]) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


async def exchange(address: str, data: bytes, seconds: float) -> bytes:
    """Send a request over a new connection; return the response, empty if there is none."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            return await reader.read()
    except (OSError, TimeoutError):
        return b""
    finally:
        if writer is not None:
            writer.close()


def status_of(response: bytes) -> int:
    """Return the status of a response, 0 if there is none."""
    parts = response.split(b" ", 2)
    return int(parts[1]) if len(parts) > 2 and parts[0] == b"HTTP/1.1" else 0


async def is_ready(address: str, seconds: float) -> bool:
    """Check a daemon as the platform does."""
    return await readiness(address, seconds) == 200


async def readiness(address: str, seconds: float) -> int:
    """Return the status of the readiness check of a daemon, 0 without an answer."""
    data = f"GET /api/readyz HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
    return status_of(await exchange(address, data, seconds))


def job_request(job: str, body: bytes, budget_ms: int) -> bytes:
    """Return the request that hands a job in."""
    head = (
        f"POST {PREFIX}{job} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        f"Content-Type: application/json\r\nX-Deadline-Ms: {budget_ms}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def cancel_request(job: str, budget_ms: int) -> bytes:
    """Return the request that cancels a job."""
    head = (
        f"DELETE {PREFIX}{job} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        f"X-Deadline-Ms: {budget_ms}\r\nConnection: close\r\n\r\n"
    )
    return head.encode()


BROKEN, HELD, CANNOT_RUN = 1, 0, 2


def run_script(work: Coroutine[object, object, int]) -> int:
    """Run a case and return its exit status; SIGTERM ends it with all processes it started."""

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await work

    try:
        return asyncio.run(run())
    except CannotRunError as error:
        print(error)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    return CANNOT_RUN
