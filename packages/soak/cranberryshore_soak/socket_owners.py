"""Lookup of the process that owns a loopback connection, from the kernel's socket table."""

import os
import re
from pathlib import Path

import attrs

TCP_TABLE_PATH = Path("/proc/net/tcp")
ESTABLISHED_ROW = rb"\n *\d+: [0-9A-F]{8}:%04X [0-9A-F]{8}:[0-9A-F]{4} 01 +(?:\S+ +){5}(\d+)"
"""Matches the row of an established connection with a given local port; the group is the socket's
inode. Rows of closed connections, which remain for a minute while their ports are reused, are
excluded by the state 01."""


def find_socket_inode(table: bytes, port: int) -> str:
    """Return the inode of the socket connected from a local port, or "" if there is none.

    Examples
    --------
    >>> row = b"  0: 0100007F:01BB 0100007F:0050 01 0:0 00:0 0  0 0 77 1"
    >>> find_socket_inode(b"head" + bytes([10]) + row, 443)
    '77'
    """
    found = re.search(ESTABLISHED_ROW % port, table)
    return found.group(1).decode() if found is not None else ""


def _socket_inodes(process_id: int) -> set[str]:
    """Return the inodes of a process's sockets; those found so far if it exits meanwhile."""
    inodes = set()
    folder = f"/proc/{process_id}/fd"
    try:
        for name in os.listdir(folder):
            target = os.readlink(f"{folder}/{name}")
            if target.startswith("socket:["):
                inodes.add(target[len("socket:[") : -1])
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
    """

    processes: dict[str, int] = attrs.field(factory=dict)
    known: dict[str, str] = attrs.field(factory=dict)

    def find_owner(self, port: int) -> str:
        """Return the name of the endpoint connected from a local port, or "" if unknown."""
        inode = find_socket_inode(TCP_TABLE_PATH.read_bytes(), port)
        if inode and inode not in self.known:
            self.known = {
                item: name
                for name, process_id in self.processes.items()
                for item in _socket_inodes(process_id)
            }
        return self.known.get(inode, "")
