"""Clients that send arbitrary data to the daemons during the fault phase."""

import asyncio
import socket
from random import Random

import attrs

from cranberryshore_soak.cluster import SoakCluster
from cranberryshore_soak.processes import DaemonProcess
from cranberryshore_standins.uncontrolled import Attack, ProcessLoad, attacks

CROWD_INTERVAL_SECONDS = (0.5, 2.5)
"""Range of the time between two crowds; each stays for up to 2 s."""

CROWD_SECONDS = (0.2, 2.0)
CROWD_SIZE = 12
"""Connections of a crowd; their data is sent by the event loop that serves the workers."""

MAX_SENT_BYTES = 300_000
"""Data of one connection, as much as the largest body and its head."""

SEND_ROUNDS = 4
MAX_MEMORY_MB = 160.0
"""Bound of the memory of a daemon: that of the smallest instance, the default in the settings."""

BODY_BYTES = 262_144
CROWD_ATTACKS = tuple(attacks("POST", f"/q/{1:016x}", BODY_BYTES))


@attrs.define(eq=False)
class UncontrolledClients:
    """Sends crowds to random daemons at random addresses, independently of the other faults."""

    cluster: SoakCluster
    random: Random

    async def run(self) -> None:
        """Send crowds until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*CROWD_INTERVAL_SECONDS))
            daemon = self.cluster.daemons[self.random.choice(sorted(self.cluster.daemons))]
            attack = self.random.choice(CROWD_ATTACKS)
            key = self.random.choice(("listen", "ready_listen", "metrics_listen"))
            seconds = self.random.uniform(*CROWD_SECONDS)
            if daemon.is_running():
                self.cluster.history.record_event(f"  {attack.name} at {daemon.name}, {key}")
                await self._send(daemon, key, attack, seconds)

    async def _send(self, daemon: DaemonProcess, key: str, attack: Attack, seconds: float) -> None:
        host, port = daemon.settings[key].split(":")
        data = memoryview(attack.prefix + attack.block * attack.repeats + attack.suffix)
        data = data[:MAX_SENT_BYTES]
        sockets = [socket.socket() for _ in range(CROWD_SIZE)]
        try:
            for sock in sockets:
                sock.setblocking(False)
                sock.connect_ex((host, int(port)))
            sent = [0] * CROWD_SIZE
            for _ in range(SEND_ROUNDS):
                await asyncio.sleep(seconds / SEND_ROUNDS)
                for number, sock in enumerate(sockets):
                    sent[number] += _send_some(sock, data[sent[number] :])
            self._check_memory(daemon)
        finally:
            for sock in sockets:
                sock.close()

    def _check_memory(self, daemon: DaemonProcess) -> None:
        if not daemon.is_running():
            return
        load = ProcessLoad(daemon.process_id)
        try:
            load.sample()
        except (OSError, IndexError):
            # The process has just ended; its watcher reports that if it is a fault.
            return
        if load.memory_mb > MAX_MEMORY_MB:
            self.cluster.history.report(f"{daemon.name} uses {load.memory_mb:.0f} MB")


def _send_some(sock: socket.socket, data: memoryview) -> int:
    try:
        return sock.send(data) if data else 0
    except OSError:
        # The daemon does not read, has closed the connection, or does not listen.
        return 0
