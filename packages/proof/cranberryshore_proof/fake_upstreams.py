"""Fake forwarder of the daemon and its upstreams, over the simulated network."""

import asyncio

import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from cranberryshore_proof.network import Network
from cranberryshored.requests import ForwardFailure, IncomingRequest, UpstreamResponse

CONNECT_TIMEOUT_SECONDS = 0.5


@attrs.define(eq=False)
class UpstreamNode:
    """One simulated upstream, which runs and records every request that it receives.

    A request's body holds its nonce and its run time in ms; the answer is the nonce. Connections
    break before the next ``answers_to_drop`` answers.
    """

    name: str
    network: Network
    runs: list[tuple[float, str]] = attrs.field(factory=list)
    answers_to_drop: int = 0

    async def run(self, request: IncomingRequest) -> bytes | None:
        """Return the answer to a request, ``None`` if the connection breaks before it."""
        nonce, ms = request.body.decode().split()
        self.runs.append((asyncio.get_running_loop().time(), nonce))
        await asyncio.sleep(float(ms) / 1000)
        if self.answers_to_drop > 0:
            self.answers_to_drop -= 1
            return None
        return nonce.encode()


@attrs.define(eq=False)
class FakeForwarder:
    """Replaces one daemon's connections to the upstreams."""

    node: str
    network: Network
    upstreams: dict[str, UpstreamNode]

    async def start(self) -> None:
        """Do nothing."""

    async def close(self) -> None:
        """Do nothing."""

    async def forward(
        self, address: str, request: IncomingRequest, seconds: float
    ) -> Result[UpstreamResponse, ForwardFailure]:
        """Send a request once."""
        upstream = self.upstreams[address]
        if address in self.network.dead:
            return Err(ForwardFailure(False, False, "refused"))
        loop = asyncio.get_running_loop()
        connected, answered = loop.create_future(), loop.create_future()

        async def serve() -> None:
            body = await upstream.run(request)
            self.network.send(address, self.node, lambda: _resolve(answered, body))

        def arrive() -> None:
            self.network.spawn(address, serve())

        def accept() -> None:
            self.network.send(address, self.node, lambda: _resolve(connected, b""))

        self.network.send(self.node, address, accept)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, seconds)):
                await connected
        except TimeoutError:
            return Err(ForwardFailure(False, False, "no connection"))
        self.network.send(self.node, address, arrive)
        try:
            async with asyncio.timeout(seconds):
                body = await answered
        except TimeoutError:
            return Err(ForwardFailure(True, True, "no answer"))
        if body is None:
            return Err(ForwardFailure(True, False, "broken"))
        return Ok(UpstreamResponse(200, CIMultiDict(), body))


def _resolve(future: asyncio.Future, value: bytes | None) -> None:
    if not future.done():
        future.set_result(value)
