"""A local deployment: entry daemons and stand-ins as separate processes of one machine."""

import asyncio
import os
import subprocess
import sys
import time
from hashlib import sha256
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from typing import Any

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout

from cranberryshore.messages import encode_json
from cranberryshore.work import Capacity
from cranberryshore_standins.ports import HOST, free_ports
from cranberryshored.platform import InstanceKind, ListedInstance

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0
NANOSECONDS_PER_SECOND = 1e9
OPERATOR_TOKEN = "operator-token"
TEAMS = tuple(f"team-{number}" for number in range(8))


def caller_token(number: int) -> str:
    """Return the token of a caller."""
    return f"caller-{number}-token"


def tokens(callers: int = 8) -> list[dict[str, Any]]:
    """Return the token settings of an operator and the callers."""
    token_settings = [_token_settings("operator", OPERATOR_TOKEN, "operator", TEAMS)]
    for number in range(callers):
        teams = ("default", *TEAMS)
        token_settings.append(
            _token_settings(f"caller-{number}", caller_token(number), "caller", teams)
        )
    return token_settings


def processor_seconds(pid: int) -> float:
    """Return the processor time of all threads of a process."""
    threads = Path(f"/proc/{pid}/task").glob("*/schedstat")
    texts = [thread.read_text(encoding="ascii") for thread in threads]
    return sum(int(text.split()[0]) for text in texts) / NANOSECONDS_PER_SECOND


def _token_settings(name: str, token: str, role: str, teams: tuple[str, ...]) -> dict[str, Any]:
    digest = sha256(token.encode()).hexdigest()
    return {"name": name, "sha256": digest, "role": role, "teams": list(teams)}


@attrs.frozen
class ClusterShape:
    """The number of processes of each kind, per zone, and their settings.

    ``slots`` is per upstream; the instance list shows changes after ``list_lag_seconds``.
    ``timing`` and ``dispatch`` are sections of the entry daemons' settings.
    """

    zones: tuple[str, ...] = ("zone-a",)
    entries: int = 3
    workers: int = 3
    upstreams: int = 2
    slots: int = 8
    worker_capacity: Capacity = Capacity(8000, 16384, 0)
    service: str = "booking"
    list_lag_seconds: float = 0.3
    records_trace: bool = False
    timing: dict[str, float] = attrs.field(factory=dict)
    dispatch: dict[str, float] = attrs.field(factory=dict)


@attrs.define
class Node:
    """One process of the deployment.

    ``module_arguments`` follow ``python -m``; ``listed`` is the record in the instance list,
    ``None`` for the stand-ins of the platform's services.
    """

    name: str
    zone: str
    module_arguments: tuple[str, ...]
    settings: dict[str, Any]
    port: int
    process: subprocess.Popen | None = None
    listed: ListedInstance | None = None

    @property
    def url(self) -> str:
        """Return the base URL of the process."""
        return f"http://{HOST}:{self.port}"


@attrs.define(eq=False)
class Cluster:
    """Starts and stops the processes of a deployment and injects faults into them.

    It signals only processes that it has started itself.
    """

    shape: ClusterShape
    folder: Path
    nodes: dict[str, Node] = attrs.field(factory=dict)
    session: ClientSession | None = None

    def __attrs_post_init__(self) -> None:
        shape = self.shape
        ports_per_zone = 2 * shape.entries + shape.workers + shape.upstreams
        ports = iter(free_ports(2 + ports_per_zone * len(shape.zones)))
        listen = {"host": HOST, "port": next(ports)}
        self._add_node("store", "", ("cranberryshore_standins", "store"), {"listen": listen})
        list_port = next(ports)
        for zone in shape.zones:
            self._add_zone(zone, ports, list_port)
        listed = [node.listed for node in self.nodes.values() if node.listed is not None]
        settings = {
            "listen": {"host": HOST, "port": list_port},
            "lag_seconds": shape.list_lag_seconds,
            "instances": listed,
        }
        self._add_node("list", "", ("cranberryshore_standins", "instance-list"), settings)

    async def start(self) -> None:
        """Start the stand-ins, then the entry daemons, and wait until the daemons are ready."""
        self.session = ClientSession(timeout=ClientTimeout(total=5))
        for node in self.nodes.values():
            if not node.name.startswith("entry"):
                self.launch(node.name)
        for node in self.entries():
            self.launch(node.name)
        await asyncio.gather(*(self.wait_ready(node.name) for node in self.entries()))

    async def close(self) -> None:
        """Stop the entry daemons with SIGTERM, then the stand-ins.

        Suspended processes are resumed first, as they could not handle SIGTERM. Those left after
        ``STOP_TIMEOUT_SECONDS`` are killed.
        """
        await self.session.close()
        running = [node for node in self.nodes.values() if node.process is not None]
        for node in running:
            node.process.send_signal(SIGCONT)
        for is_entry in (True, False):
            group = [node for node in running if node.name.startswith("entry") is is_entry]
            for node in group:
                node.process.send_signal(SIGTERM)
            for node in group:
                await self._wait_exit(node)

    def entries(self, zone: str = "") -> list[Node]:
        """Return the entry daemons of one zone or of all."""
        return [
            node
            for node in self.nodes.values()
            if node.name.startswith("entry") and zone in ("", node.zone)
        ]

    def workers(self) -> list[Node]:
        """Return the worker processes."""
        return [node for node in self.nodes.values() if node.name.startswith("worker")]

    def upstreams(self) -> list[Node]:
        """Return the upstream processes."""
        return [node for node in self.nodes.values() if node.name.startswith("upstream")]

    def launch(self, name: str) -> None:
        """Write the settings of a process and start it."""
        node = self.nodes[name]
        path = self.folder / f"{name}.json"
        path.write_bytes(encode_json(node.settings))
        log = (self.folder / f"{name}.log").open("ab")
        arguments = ["--settings", str(path)] if node.name.startswith("entry") else [str(path)]
        node.process = subprocess.Popen(
            [sys.executable, "-m", *node.module_arguments, *arguments], stdout=log, stderr=log
        )
        log.close()

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._send_signal(name, SIGKILL)
        self.nodes[name].process.wait()
        self.nodes[name].process = None

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP until :meth:`resume`."""
        self._send_signal(name, SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._send_signal(name, SIGCONT)

    def leave(self, name: str) -> None:
        """Ask a process with SIGTERM to drain and exit."""
        self._send_signal(name, SIGTERM)

    async def wait_exit_status(self, name: str) -> int:
        """Wait until a leaving process has exited; return its exit status."""
        node = self.nodes[name]
        process = node.process
        await self._wait_exit(node)
        return process.returncode

    async def wait_ready(self, name: str) -> None:
        """Wait until an entry daemon is ready and connected to its workers and peers."""
        node = self.nodes[name]
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if await self._is_ready(node):
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{name} is not ready; see {self.folder / name}.log")

    async def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the injected faults of a stand-in."""
        async with self.session.post(f"{self.nodes[name].url}/switches", json=faults) as response:
            response.raise_for_status()

    async def fetch(self, name: str, path: str) -> Any:
        """Return the JSON that a process serves at ``path``."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with self.session.get(self.nodes[name].url + path, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    async def apply_resource(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Apply a resource and wait until every entry daemon has applied it."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"{self.entries()[0].url}/v1/resources/{kind}/{name}"
        async with self.session.put(url, json={"spec": spec}, headers=headers) as response:
            body = await response.json()
            response.raise_for_status()
        for node in self.entries():
            while (await self.fetch(node.name, "/v1/status"))["revision"] < body["revision"]:
                await asyncio.sleep(0.02)

    async def list_instance(self, instance: ListedInstance) -> None:
        """Add or replace a record of the instance list."""
        url = f"{self.nodes['list'].url}/instances"
        async with self.session.put(url, data=encode_json(instance)) as response:
            response.raise_for_status()

    def processor_seconds(self, name: str) -> float:
        """Return the processor time of a process."""
        return processor_seconds(self.nodes[name].process.pid)

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of a process in megabytes."""
        pid = self.nodes[name].process.pid
        resident_pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
        return resident_pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000

    def _add_node(
        self, name: str, zone: str, module_arguments: tuple[str, ...], settings: dict
    ) -> Node:
        node = Node(name, zone, module_arguments, settings, settings["listen"]["port"])
        self.nodes[name] = node
        return node

    def _add_zone(self, zone: str, ports: Any, list_port: int) -> None:
        shape = self.shape
        for number in range(shape.entries):
            name = f"entry-{zone}-{number}"
            peer_port = next(ports)
            settings = self._entry_settings(name, zone, next(ports), peer_port, list_port)
            node = self._add_node(name, zone, ("cranberryshored.main",), settings)
            address = f"{HOST}:{peer_port}"
            node.listed = ListedInstance(InstanceKind.ENTRY, name, zone, address)
        for number in range(shape.workers):
            name = f"worker-{zone}-{number}"
            port = next(ports)
            settings = {
                "listen": {"host": HOST, "port": port},
                "name": name,
                "incarnation": "run-1",
                "capacity": shape.worker_capacity,
            }
            node = self._add_node(name, zone, ("cranberryshore_standins", "worker"), settings)
            node.listed = ListedInstance(
                InstanceKind.WORKER,
                name,
                zone,
                f"{HOST}:{port}",
                incarnation="run-1",
                capacity=shape.worker_capacity,
            )
        for number in range(shape.upstreams):
            name = f"upstream-{zone}-{number}"
            port = next(ports)
            listen = {"host": HOST, "port": port}
            settings = {"listen": listen, "name": name, "slots": shape.slots}
            node = self._add_node(name, zone, ("cranberryshore_standins", "upstream"), settings)
            node.listed = ListedInstance(
                InstanceKind.UPSTREAM, name, zone, f"{HOST}:{port}", service=shape.service
            )

    def _entry_settings(
        self, name: str, zone: str, port: int, peer_port: int, list_port: int
    ) -> dict[str, Any]:
        return {
            "instance": name,
            "zone": zone,
            "listen": {"host": HOST, "port": port},
            "peer_listen": {"host": HOST, "port": peer_port},
            "platform": {
                "store_url": self.nodes["store"].url,
                "instance_list_url": f"http://{HOST}:{list_port}",
                "instance_list_poll_seconds": 0.3,
            },
            "tokens": tokens(),
            "timing": self.shape.timing,
            "dispatch": self.shape.dispatch,
            "records_trace": self.shape.records_trace,
        }

    def _send_signal(self, name: str, signal: int) -> None:
        process = self.nodes[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signal)

    async def _wait_exit(self, node: Node) -> None:
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        while node.process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        if node.process.poll() is None:
            node.process.kill()
            node.process.wait()
        node.process = None

    async def _is_ready(self, node: Node) -> bool:
        if node.process is None or node.process.poll() is not None:
            raise RuntimeError(f"{node.name} has ended; see {self.folder / node.name}.log")
        try:
            async with self.session.get(f"{node.url}/readyz") as response:
                if response.status != 200:
                    return False
            status = await self.fetch(node.name, "/v1/status")
        except (TimeoutError, ClientError):
            return False
        peers = sum(peer["state"] == "live" for peer in status["peers"])
        return status["open_workers"] >= self.shape.workers and peers >= self.shape.entries - 1
