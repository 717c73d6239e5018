"""External dependencies of a daemon, collected so that tests can replace them."""

from collections.abc import Awaitable, Callable
from random import Random, SystemRandom
from time import time
from typing import Protocol

import attrs
from aiohttp import ClientSession
from aiohttp.web import RouteTableDef

from cranberryshore.messages import PeerMessage
from cranberryshore.settings import DaemonSettings
from cranberryshore.timeline import EventRecorder
from cranberryshored.intake import make_guard
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.peers import PeerTransport, Transport
from cranberryshored.platform import HttpInstanceList, HttpStore, InstanceList, Store
from cranberryshored.requests import Forwarder, HttpForwarder
from cranberryshored.web import HttpServer, WebServer

DEFAULT_MEMORY_MB = 512
"""Memory for the limits on clients unless it is set; seven bodies of 9 MB are read at a time."""


class TransportFactory(Protocol):
    """Creates the transport between daemons."""

    def __call__(
        self,
        own: Callable[[], str],
        deliver: Callable[[str, PeerMessage], None],
        recorder: EventRecorder,
    ) -> Transport:
        """Return a transport that passes received messages to ``deliver``.

        ``own`` returns the current incarnation of this instance.
        """
        ...


async def open_worker_http_session() -> ClientSession:
    """Open the HTTP connection pool through which the worker sessions connect."""
    return ClientSession()


@attrs.frozen
class Dependencies:
    """External systems, clock and random source of a daemon.

    Parameters
    ----------
    store, instance_list, forwarder : Store, InstanceList, Forwarder
        Clients of the platform and of the upstreams.
    transport : TransportFactory
        Creates the transport between daemons.
    web : callable
        Creates the web server from its route tables.
    worker_http_session : callable
        Opens the HTTP connection pool through which the worker sessions connect.
    unix_time, random : callable, Random
        Wall clock and random source.
    """

    store: Store
    instance_list: InstanceList
    forwarder: Forwarder
    transport: TransportFactory
    web: Callable[[list[RouteTableDef]], HttpServer]
    worker_http_session: Callable[[], Awaitable[ClientSession]] = open_worker_http_session
    unix_time: Callable[[], float] = time
    random: Random = attrs.field(factory=SystemRandom)


def network_dependencies(settings: DaemonSettings, metrics: Metrics) -> Dependencies:
    """Return the dependencies that the settings name, reached over the network."""
    platform = settings.platform
    timeout = platform.call_timeout_seconds

    def transport(
        own: Callable[[], str],
        deliver: Callable[[str, PeerMessage], None],
        recorder: EventRecorder,
    ) -> Transport:
        listen = str(settings.peer_listen)
        return PeerTransport(listen, own, deliver, recorder, metrics, make_logger("peers"))

    def web(tables: list[RouteTableDef]) -> HttpServer:
        intake = attrs.evolve(
            settings.intake,
            body_bytes=settings.limits.body_bytes,
            memory_mb=settings.intake.memory_mb or DEFAULT_MEMORY_MB,
        )
        guard = make_guard(intake, metrics, make_logger("intake"))
        return WebServer(settings.listen, guard, tables, make_logger("web"))

    return Dependencies(
        HttpStore(platform.store_url, timeout, metrics),
        HttpInstanceList(platform.instance_list_url, timeout),
        HttpForwarder(),
        transport,
        web,
    )
