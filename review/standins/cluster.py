"""Processes of the system under test, with a store and minions, and a client."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout

from standins.minion import Minion, Run
from standins.proxy import Proxy
from standins.record import Record
from standins.store import HOST, Store, encode_value

ROOT = Path(__file__).resolve().parents[2]
ROUTE_HOST = "nony24.example"
SERVICE = "huvo11a"
ZONES = ("rajkot-lots", "junagadh-lots", "dwarka-lots")
READY_SECONDS = 30.0
START_ATTEMPTS = 3
LOWEST_PORT, HIGHEST_PORT = 12_000, 30_000


def free_ports(count: int) -> list[int]:
    """Return unused ports below those that outgoing connections get."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(LOWEST_PORT, HIGHEST_PORT)
        try:
            socket.create_server((HOST, port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


def route(name: str, prefix: str, **fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": ROUTE_HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 4,
        "slackFactor": 1.6,
    } | fields


@attrs.define(eq=False)
class Answer:
    """Answer to a client; status 0 means that there was none."""

    status: int
    body: dict
    sent_at: float
    answered_at: float


@attrs.define(eq=False)
class Daemon:
    """One process of the role of the deploy file."""

    name: str
    settings: dict
    path: Path
    process: asyncio.subprocess.Process | None = None
    log: object = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CRANBERRYSHORE_SETTINGS"] = str(self.path)
        self.log = self.path.with_suffix(".log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "cranberryshore_platform",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()
            self.log.close()


@attrs.define(eq=False)
class Cluster:
    """Everything that a script starts."""

    record: Record
    daemon_count: int = 3
    routes: list[dict] = attrs.field(factory=lambda: [route("r-3hwrr6x", "/lohu930/")])
    version: int = 3
    store: Store = attrs.field(factory=Store)
    daemons: list[Daemon] = attrs.field(factory=list)
    minions: list[Minion] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    on_run: list = attrs.field(factory=list)
    seconds_of: Callable[[str, str], float] = lambda _task, spec: json.loads(spec)["ms"] / 1000
    has_proxies: bool = False
    proxies: dict[str, Proxy] = attrs.field(factory=dict)
    session: ClientSession | None = None
    folder: tempfile.TemporaryDirectory = attrs.field(factory=tempfile.TemporaryDirectory)

    async def start(self, minions: list[dict]) -> None:
        """Start the store, minions with these fields, and the daemons."""
        await self.store.start()
        self.session = ClientSession(timeout=ClientTimeout(total=30))
        self.set_config()
        for number, fields in enumerate(minions):
            minion = Minion(
                f"i-{number:08x}",
                SERVICE,
                ZONES[number % len(ZONES)],
                self.store,
                self.record,
                self.seconds_of,
                self._run_started,
                **fields,
            )
            self.minions.append(minion)
            await minion.start()
        for _ in range(START_ATTEMPTS):
            if await self._start_daemons():
                self.record.add("script", "all daemons are ready")
                return
        raise RuntimeError("the daemons cannot listen")

    async def _start_daemons(self) -> bool:
        """Start the daemons; return whether none of their ports was taken meanwhile."""
        self.daemons = []
        ports = iter(free_ports(4 * self.daemon_count))
        addresses = [[f"{HOST}:{next(ports)}" for _ in range(4)] for _ in range(self.daemon_count)]
        seeds = [address[2] for address in addresses][:3]
        for number, (listen, ready, control, metrics) in enumerate(addresses):
            zone = ZONES[number % len(ZONES)]
            name = f"frontend-{zone}-{number}"
            settings = {
                "instance": name,
                "zone": zone,
                "listen": listen,
                "ready_listen": ready,
                "peer_listen": control,
                "metrics_listen": metrics,
                "store": await self.store.open_address(name),
                "seeds": seeds,
                "processor_share": 0.537,
                "processor_speed": 2,
            }
            if self.has_proxies:
                proxy = self.proxies[name] = Proxy(control)
                await proxy.start()
                settings["peer_advertise"] = proxy.address
                settings["seeds"] = [item.address for item in self.proxies.values()][:3]
            path = Path(self.folder.name) / f"{name}.json"
            self.daemons.append(Daemon(name, settings, path))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))
        ready = await asyncio.gather(*(self.wait_ready(daemon) for daemon in self.daemons))
        if not all(ready):
            self.record.add("script", "a port was taken meanwhile; starting again")
            for daemon in self.daemons:
                await daemon.kill()
        return all(ready)

    def _run_started(self, run: Run) -> None:
        self.runs.append(run)
        for call in self.on_run:
            call(run)

    async def wait_ready(self, daemon: Daemon) -> bool:
        """Wait until a daemon reports that it is ready; return whether it does."""
        end = asyncio.get_running_loop().time() + READY_SECONDS
        while asyncio.get_running_loop().time() < end:
            if daemon.process.returncode is not None:
                return False
            try:
                url = f"http://{daemon.settings['ready_listen']}/api/readyz"
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return True
            except ClientError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{daemon.name} is not ready")

    def set_config(self) -> None:
        """Write a new version of the configuration."""
        self.version += 4
        services = [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1"}]
        services[0] |= {"tls": False, "enforcesCapacity": False, "standby": False}
        config = {"version": self.version, "routes": self.routes, "services": services}
        config["limits"] = {"maxBodyBytes": 262_144}
        self.store.set("op/config", encode_value(config))
        self.record.add("operator", f"configuration {self.version} is acknowledged")

    async def call(
        self,
        daemon: Daemon,
        method: str,
        path: str,
        body: dict | None = None,
        deadline_ms: int = 1500,
    ) -> Answer:
        """Send a request as a client and return the answer."""
        sent_at = self.record.now()
        self.record.add("client", f"{method} {path} to {daemon.name}: {json.dumps(body)}")
        headers = {"Host": ROUTE_HOST, "X-Deadline-Ms": str(deadline_ms)}
        try:
            async with self.session.request(
                method, f"http://{daemon.settings['listen']}{path}", json=body, headers=headers
            ) as response:
                text = await response.text()
                answer = Answer(response.status, json.loads(text or "{}"), sent_at, 0.0)
        except (ClientError, TimeoutError, OSError) as error:
            answer = Answer(0, {"error": type(error).__name__}, sent_at, 0.0)
        answer.answered_at = self.record.now()
        self.record.add("client", f"{method} {path} gets {answer.status} {json.dumps(answer.body)}")
        return answer

    def scheduler(self) -> Daemon | None:
        """Return the daemon that gives orders, by the logs: the last one that began to."""
        latest, found = "", None
        for daemon in self.daemons:
            begun_at = ""
            for line in daemon.path.with_suffix(".log").read_text(encoding="utf-8").splitlines():
                if "Scheduling begins." in line:
                    begun_at = json.loads(line)["timestamp"]
                elif "Scheduling ends." in line:
                    begun_at = ""
            if begun_at > latest:
                latest, found = begun_at, daemon
        return found

    async def close(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.kill()
        for proxy in self.proxies.values():
            await proxy.close()
        for minion in self.minions:
            await minion.close()
        await self.store.close()
        if self.session is not None:
            await self.session.close()
        self.folder.cleanup()


def main(script: object) -> None:
    """Run ``script(record, has_trouble)``, an async function that returns a list of violations.

    The argument ``calm`` leaves the disruption out. Exits with 1 if there are any, with 0 if there
    are none, and with 2 if the script cannot run. A SIGTERM ends all processes, too.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    has_trouble = sys.argv[1:] != ["calm"]
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        violations = asyncio.run(script(record, has_trouble))
    except (Exception, KeyboardInterrupt) as error:
        record.add("script", f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for text in violations:
        record.add("broken", text)
        print(text)
    record.add("script", f"{len(violations)} violations")
    record.close()
    sys.exit(1 if violations else 0)
