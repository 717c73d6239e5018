"""Everything outside the process that a daemon needs, in one place that tests can replace."""

from collections.abc import Awaitable, Callable
from random import Random, SystemRandom
from time import time
from typing import Protocol

import attrs
from aiohttp import ClientSession
from aiohttp.web import RouteTableDef

from cranberryshore.messages import PeerMessage
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import Recorder
from cranberryshored.log import part_log
from cranberryshored.metrics import Metrics
from cranberryshored.peers import PeerTransport, Transport
from cranberryshored.platform import HttpInstanceList, HttpStore, InstanceList, Store
from cranberryshored.requests import Forwarder, HttpForwarder
from cranberryshored.web import HttpServer, WebServer


class TransportFactory(Protocol):
    """Makes the transport between daemons."""

    def __call__(
        self,
        own: Callable[[], str],
        deliver: Callable[[str, PeerMessage], None],
        recorder: Recorder,
    ) -> Transport:
        """Return a transport that hands received messages to ``deliver``."""
        ...


async def open_worker_session() -> ClientSession:
    """Return the connection pool for worker sessions."""
    return ClientSession()


@attrs.frozen
class Surroundings:
    """What a daemon is connected to.

    Parameters
    ----------
    store, instance_list, forwarder : Store, InstanceList, Forwarder
        Adapters to the platform and to upstreams.
    transport : TransportFactory
        Makes the transport between daemons.
    web : callable
        Makes the web server from its route tables.
    worker_session : callable
        Opens the connection pool for worker sessions.
    unix_time, random : callable, Random
        Wall clock and random source.
    """

    store: Store
    instance_list: InstanceList
    forwarder: Forwarder
    transport: TransportFactory
    web: Callable[[list[RouteTableDef]], HttpServer]
    worker_session: Callable[[], Awaitable[ClientSession]] = open_worker_session
    unix_time: Callable[[], float] = time
    random: Random = attrs.field(factory=SystemRandom)


def real_surroundings(settings: DaemonSettings, metrics: Metrics) -> Surroundings:
    """Return the surroundings that the settings name, reached over the network."""
    platform = settings.platform
    timeout = platform.call_timeout_seconds

    def transport(
        own: Callable[[], str],
        deliver: Callable[[str, PeerMessage], None],
        recorder: Recorder,
    ) -> Transport:
        listen = str(settings.peer_listen)
        return PeerTransport(listen, own, deliver, recorder, metrics, part_log("peers"))

    def web(tables: list[RouteTableDef]) -> HttpServer:
        body_bytes = settings.limits.body_bytes
        return WebServer(settings.listen, body_bytes, tables, part_log("web"))

    return Surroundings(
        HttpStore(platform.store_url, timeout, metrics),
        HttpInstanceList(platform.instance_list_url, timeout),
        HttpForwarder(),
        transport,
        web,
    )
