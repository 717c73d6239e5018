"""Lookup of the process that owns a loopback connection, by the kernel's socket diagnostics."""

import os
import socket
import struct

import attrs

Address = tuple[str, int]
"""IPv4 address and port."""

SOCK_DIAG_PROTOCOL = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
HEADER = struct.Struct("=IHHII")
"""Length, type, flags, sequence number and port id of a netlink message."""

REQUEST = struct.Struct("=BBBBI")
"""Family, protocol, extensions, padding and states of a request."""

PORTS = struct.Struct("!HH")
INTERFACE_AND_COOKIE = struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
ALL_STATES = 0xFFFFFFFF
ESTABLISHED_STATE = 1
STATE_OFFSET = HEADER.size + 1
INODE_OFFSET = HEADER.size + 68
RESPONSE_BYTES = 8192


def _encode_address(host: str) -> bytes:
    """Return an IPv4 address in the field of 16 bytes that serves both families."""
    return socket.inet_aton(host).ljust(16, b"\0")


def find_socket_inode(diagnostics: socket.socket, local: Address, remote: Address) -> int:
    """Return the inode of the socket of an established connection, or 0 if there is none.

    Unlike a copy of ``/proc/net/tcp``, which takes milliseconds, a query for one connection does
    not grow with the number of sockets.

    Parameters
    ----------
    diagnostics : socket.socket
        A netlink socket for ``SOCK_DIAG_PROTOCOL``.
    local, remote : tuple of str and int
        Both ends of the connection, as seen by the socket.

    Raises
    ------
    OSError
        If the kernel does not answer.

    Notes
    -----
    The messages are those of sock_diag(7).
    """
    request = (
        REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
        + PORTS.pack(local[1], remote[1])
        + _encode_address(local[0])
        + _encode_address(remote[0])
        + INTERFACE_AND_COOKIE
    )
    length = HEADER.size + len(request)
    diagnostics.send(HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + request)
    response = diagnostics.recv(RESPONSE_BYTES)
    if HEADER.unpack_from(response)[1] != SOCK_DIAG_BY_FAMILY:
        # An error message: the kernel knows no such connection.
        return 0
    if response[STATE_OFFSET] != ESTABLISHED_STATE:
        return 0
    return struct.unpack_from("=I", response, INODE_OFFSET)[0]


def _socket_inodes(process_id: int) -> set[int]:
    """Return the inodes of a process's sockets; those found so far if it exits meanwhile."""
    inodes = set()
    folder = f"/proc/{process_id}/fd"
    try:
        for name in os.listdir(folder):
            target = os.readlink(f"{folder}/{name}")
            if target.startswith("socket:["):
                inodes.add(int(target[len("socket:[") : -1]))
    except OSError:
        # The process has exited, or has closed a descriptor since they were listed.
        return inodes
    return inodes


@attrs.define(eq=False)
class SocketOwners:
    """Finds the endpoint whose process opened a connection.

    Parameters
    ----------
    processes : dict
        Process ids by endpoint name.
    known : dict
        Endpoint names by socket inode, cached so that one scan serves a burst of connections.
    diagnostics : socket.socket
        Netlink socket for queries about sockets.
    """

    processes: dict[str, int] = attrs.field(factory=dict)
    known: dict[int, str] = attrs.field(factory=dict)
    diagnostics: socket.socket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.diagnostics = socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, SOCK_DIAG_PROTOCOL)

    def close(self) -> None:
        """Close the socket for queries."""
        self.diagnostics.close()

    def find_owner(self, local: Address, remote: Address) -> str | None:
        """Return the name of the endpoint that opened a connection, or "" if unknown.

        Returns ``None`` if the connection has been closed meanwhile.
        """
        inode = find_socket_inode(self.diagnostics, local, remote)
        if not inode:
            return None
        if inode not in self.known:
            self.known = {
                item: name
                for name, process_id in self.processes.items()
                for item in _socket_inodes(process_id)
            }
        return self.known.get(inode, "")
