"""Transport between simulated instances, on hosts with processors and links of finite speed."""

import asyncio
from collections.abc import Callable

import attrs

from cranberryshore.messages import decode_envelope, decode_message, encode_envelope
from cranberryshore.pool import MemberAddress
from cranberryshore.timeline.clock import HybridTimestamp
from cranberryshore_proof.network import Network

MESSAGE_SECONDS = 1e-4
"""Processor time to send or to receive a message between instances."""

BYTE_SECONDS = 1e-8
"""Processor time to encode or to decode a byte of it."""


@attrs.frozen
class Host:
    """Host of an instance.

    Parameters
    ----------
    speed : float
        Speed of its processor, relative to one that the ``*_SECONDS`` constants refer to.
    link_bytes_per_second : float
        Rate of its network link in each direction.
    """

    speed: float
    link_bytes_per_second: float

    @property
    def millicores(self) -> int:
        """Return the capacity of the processor in thousandths of a core."""
        return int(1000 * self.speed)


@attrs.define(eq=False)
class FakePoolTransport:
    """Transport between instances over the simulated network.

    ``link_free_at`` holds the time at which the link of each host has sent all earlier messages.
    """

    own: MemberAddress
    deliver: Callable
    network: Network
    transports: dict[str, "FakePoolTransport"]
    hosts: dict[str, Host]
    link_free_at: dict[str, float]
    recorder: object = None

    async def start(self) -> None:
        """Start to receive messages."""
        self.transports[self.own.address] = self

    async def close(self) -> None:
        """Do nothing: a killed instance is removed by the deployment."""

    def disconnect(self, address: str) -> None:
        """Do nothing: the simulated network has no connections."""

    def send(self, address: str, target: str, message) -> None:
        """Send a message, encoded as on the wire."""
        data = encode_envelope(self.own.incarnation, target, HybridTimestamp(0, 0), [message])
        own = self.own.address
        loop = asyncio.get_running_loop()
        loop.spend(own, MESSAGE_SECONDS + BYTE_SECONDS * len(data))
        seconds = self._transfer_seconds(own, len(data)) + self._transfer_seconds(
            address, len(data)
        )
        self.network.send(own, address, lambda: self._arrive(address, data), seconds)

    def _transfer_seconds(self, address: str, size: int) -> float:
        """Return the time until a host's link has transferred a message after earlier ones."""
        host = self.hosts.get(address)
        if host is None:
            return 0.0
        now = asyncio.get_running_loop().time()
        start = max(now, self.link_free_at.get(address, 0.0))
        self.link_free_at[address] = start + size / host.link_bytes_per_second
        return self.link_free_at[address] - now

    def _arrive(self, address: str, data: bytes) -> None:
        receiver = self.transports.get(address)
        if receiver is None:
            return
        if address in self.hosts:
            self.network.run_on(address, lambda: receiver.handle_envelope(data))
        else:
            receiver.handle_envelope(data)

    def handle_envelope(self, data: bytes) -> None:
        """Deliver the messages of an envelope."""
        loop = asyncio.get_running_loop()
        loop.spend(self.own.address, MESSAGE_SECONDS + BYTE_SECONDS * len(data))
        envelope = decode_envelope(data)
        if envelope.target not in ("", self.own.incarnation):
            return
        for part in envelope.parts:
            self.deliver(envelope.sender, decode_message(part.kind, part.body))
