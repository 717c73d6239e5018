"""Unused ports for the processes of tests and demonstrations."""

import socket
from itertools import cycle
from random import SystemRandom

HOST = "127.0.0.1"

PORT_RANGE = (12_000, 32_000)
"""Below 32768, the first port that Linux assigns to outgoing connections."""

_ports = cycle(SystemRandom().sample(range(*PORT_RANGE), PORT_RANGE[1] - PORT_RANGE[0]))


def _is_unused(port: int) -> bool:
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        # Another socket listens on the port, or a recently closed connection used it.
        return False
    return True


def free_ports(count: int) -> list[int]:
    """Return unused ports of the loopback address.

    A port is usually bound later, by another process. Therefore a port is not returned again until
    all others have been, and none is in the kernel's range for outgoing connections, since such a
    connection could take it in the meantime.

    Examples
    --------
    >>> len(set(free_ports(2) + free_ports(2)))
    4
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_ports)
        if _is_unused(port):
            ports.append(port)
    return ports
