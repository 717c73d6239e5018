"""A small deployment on loopback addresses: entry processes, the store, minions and callers."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from minion import Minion
from record import Record
from store import Store

ROOT = Path(__file__).resolve().parents[2]
SERVICE, HOST, QUEUE, PREFIX = "huvo11a", "nony24.example", "r-3hwrr6x", "/lohu930/"
FRONT_PORT, CONTROL_PORT, READY_PORT = 8161, 8166, 8167
STORE_PORT, MINION_PORT, METRICS_PORT = 8169, 8080, 9100
CAPACITY = {"cpu": 32000, "memMb": 131072, "gpu": 0}
MEMORY_MB, MAX_FDS = 300, 4100
ZONES = ("zone-a", "zone-b", "zone-c")


def _lookup(fields: Any, path: str) -> Any:
    for part in path.split("."):
        fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the sections and values of a settings template that this repository uses."""

    def section(match: re.Match) -> str:
        value = _lookup(fields, match[1])
        return match[2].replace("{{.}}", str(value)) if value else ""

    def value(match: re.Match) -> str:
        found = _lookup(fields, match[1])
        return json.dumps(found) if match[2] else "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def free_network() -> str:
    """Return the first two numbers of loopback addresses on which none of the ports is in use."""
    first = os.getpid() % 200
    for number in range(first, first + 40):
        network = f"127.{20 + number % 220}"
        try:
            for port in (STORE_PORT, FRONT_PORT, CONTROL_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{network}.0.9" if port == STORE_PORT else f"{network}.1.1", port))
        except OSError:
            continue
        return network
    raise OSError("no free loopback addresses")


class Entry:
    """One entry machine: its addresses, and its process while it runs."""

    def __init__(self, name: str, ip: str, zone: str, directory: Path) -> None:
        self.name, self.ip, self.zone, self.directory = name, ip, zone, directory
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.ip}:{FRONT_PORT}"

    @property
    def log_path(self) -> Path:
        """Return the file with the output of the process."""
        return self.directory / f"{self.name}.log"

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            return int(re.search(r"VmRSS:\s+(\d+)", status)[1]) / 1024
        except (OSError, TypeError):
            return 0.0


class Deployment:
    """All parts of a small deployment, in one place."""

    def __init__(self, record: Record, zones: Sequence[str] = ZONES, minions: int = 6) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.zones = sorted(set(zones))
        self.store = Store()
        self.entries = [
            Entry(f"entry-{n}", f"{self.network}.1.{n}", zone, self.directory)
            for n, zone in enumerate(zones, 1)
        ]
        self.minion_count = minions
        self.minions: list[Minion] = []
        self.version = 7
        self.session: ClientSession | None = None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.role = deploy["roles"]["entry"]

    async def start(self) -> None:
        """Start everything, and wait until all entry processes are ready."""
        self.session = ClientSession(
            connector=TCPConnector(limit=0, force_close=True), timeout=ClientTimeout(total=60)
        )
        hosts = [self.store_host(entry) for entry in self.entries]
        await self.store.start(hosts, STORE_PORT)
        self.put_config()
        for number in range(self.minion_count):
            zone, labels = self.zones[number % len(self.zones)], ["a", f"r{number // 8}-0"]
            name, capacity = f"i-{number:08x}", dict(CAPACITY)
            minion = Minion(name, self.store, self.record, SERVICE, zone, capacity, labels)
            self.minions.append(minion)
            await minion.start(f"{self.network}.2.{number + 1}", MINION_PORT)
        for entry in self.entries:
            self.start_entry(entry)
        await self.wait_ready()
        await asyncio.sleep(1.5)

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until all entry processes say that they are ready."""
        until = self.record.now() + seconds
        while self.record.now() < until:
            if all([await self.is_ready(entry, 1.0) for entry in self.entries]):
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the entry processes are not ready")

    async def is_ready(self, entry: Entry, seconds: float) -> bool:
        """Return whether an entry process answers that it is ready, in time."""
        url = f"http://{entry.ip}:{READY_PORT}/api/readyz"
        try:
            async with self.session.get(url, timeout=ClientTimeout(total=seconds)) as answer:
                return answer.status == 200
        except (TimeoutError, ClientError, OSError):
            return False

    def put_config(self, **changes: Any) -> None:
        """Write the next configuration, as the operator does."""
        route = {"name": QUEUE, "host": HOST, "prefix": PREFIX, "kind": "non_idempotent"}
        route |= {"timeoutMs": 1500, "targetLatencyMs": 60, "priority": 0, "service": SERVICE}
        route |= {"maxAttempts": 4, "slackFactor": 1.6} | changes
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        limits |= {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        service = {"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1"}
        service |= {"tls": False, "enforcesCapacity": False, "standby": False}
        self.version += 3
        config = {"version": self.version, "routes": [route], "services": [service]}
        self.store.put("op/config", config | {"limits": limits})

    def store_host(self, entry: Entry) -> str:
        """Return the address of the store for an entry machine, by which it knows its callers."""
        return f"{self.network}.0.{self.entries.index(entry) + 9}"

    def fields(self, entry: Entry) -> dict[str, Any]:
        """Return the values that the platform fills into the settings of an entry process."""
        listen = {"front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT}
        seeds = [f"{other.ip}:{CONTROL_PORT}" for other in self.entries[:3]]
        return {
            "node": entry.name,
            "zone": entry.zone,
            "ip": entry.ip,
            "seeds": seeds,
            "listen": {name: f"{entry.ip}:{port}" for name, port in listen.items()},
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": MEMORY_MB, "maxFds": MAX_FDS},
            "platform": {"addr": f"{self.store_host(entry)}:{STORE_PORT}"},
            "bounds": {},
        }

    def start_entry(self, entry: Entry) -> None:
        """Start the process of an entry machine with the command of the deploy file."""
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        settings = entry.directory / f"{entry.name}.json"
        settings.write_text(render(template, self.fields(entry)), encoding="utf-8")
        command = self.role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        environment |= {"PYTHONPATH": str(ROOT / "target/deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        environment["CRANBERRYSHORE_SETTINGS"] = str(settings)
        with entry.log_path.open("ab") as output:
            entry.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.record.add("process", entry=entry.name, what="started", pid=entry.process.pid)

    def scheduler(self) -> Entry:
        """Return the entry machine that schedules, by the latest log record that says so."""
        latest = max(
            (json.loads(line)["timestamp"], entry.name)
            for entry in self.entries
            for line in entry.log_path.read_text(encoding="utf-8").splitlines()
            if "scheduler: Scheduling begins." in line
        )
        return next(entry for entry in self.entries if entry.name == latest[1])

    def signal_entry(self, entry: Entry, number: signal.Signals) -> None:
        """Send a signal to the process of an entry machine."""
        self.record.add("process", entry=entry.name, what=number.name)
        entry.process.send_signal(number)

    def kill_entry(self, entry: Entry) -> None:
        """Kill the process of an entry machine, and wait for its end."""
        self.signal_entry(entry, signal.SIGKILL)
        entry.process.wait()

    async def call(
        self,
        entry: Entry,
        method: str,
        job: str,
        body: Any = None,
        budget_ms: int = 1500,
        wait_seconds: float | None = None,
    ) -> dict[str, Any]:
        """Send one request of a caller, and return the event with its answer; status 0 is none."""
        sent = self.record.add("send", entry=entry.name, method=method, job=job)
        data = None if body is None else json.dumps(body, separators=(",", ":")).encode()
        headers = {"Host": HOST, "X-Deadline-Ms": str(budget_ms)}
        headers |= {"Content-Type": "application/json"} if data else {}
        limit = ClientTimeout(total=wait_seconds or budget_ms / 1000)
        status, text = 0, ""
        try:
            async with self.session.request(
                method, f"{entry.front}{PREFIX}{job}", data=data, headers=headers, timeout=limit
            ) as answer:
                status, text = answer.status, (await answer.text())[:200]
        except TimeoutError:
            text = "no answer in time"
        except (ClientError, OSError) as error:
            text = type(error).__name__
        return self.record.add(
            "answer",
            entry=entry.name,
            method=method,
            job=job,
            status=status,
            text=text,
            sent_at=sent["at"],
            seconds=round(self.record.now() - sent["at"], 4),
        )

    async def close(self) -> None:
        """End all processes and servers."""
        for entry in self.entries:
            if entry.is_running():
                entry.process.kill()
                entry.process.wait()
        for minion in self.minions:
            await minion.close()
        await self.store.close()
        if self.session is not None:
            await self.session.close()


def simple_job(count: int = 1, run_ms: int = 50, cpu: int = 500) -> dict[str, Any]:
    """Return a job of one step that needs not be kept."""
    step = {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": run_ms}
    return {"spec": json.dumps({"all": run_ms}), "steps": [step], "bestEffort": True}
