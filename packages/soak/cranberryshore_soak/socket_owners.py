"""Which process a loopback connection belongs to, as the kernel lists it."""

import os
import re
from pathlib import Path

import attrs

TCP_TABLE = Path("/proc/net/tcp")
ROW = rb"\n *\d+: [0-9A-F]{8}:%04X [0-9A-F]{8}:[0-9A-F]{4} 01 +(?:\S+ +){5}(\d+)"
"""A row of the table with a local port, of an open connection; the group is its socket's inode.
Closed connections keep rows for a minute, and their ports are used again."""


def inode_of(table: bytes, port: int) -> str:
    """Return the inode of the socket that is connected from a local port; empty if there is none.

    Examples
    --------
    >>> row = b"  0: 0100007F:01BB 0100007F:0050 01 0:0 00:0 0  0 0 77 1"
    >>> inode_of(b"head" + bytes([10]) + row, 443)
    '77'
    """
    found = re.search(ROW % port, table)
    return found.group(1).decode() if found is not None else ""


def _sockets_of(process_id: int) -> set[str]:
    """Return the inodes of a process's sockets; none if it has ended."""
    inodes = set()
    folder = f"/proc/{process_id}/fd"
    try:
        for name in os.listdir(folder):
            target = os.readlink(f"{folder}/{name}")
            if target.startswith("socket:["):
                inodes.add(target[len("socket:[") : -1])
    except OSError:
        # The process has ended, or has closed a descriptor since they were listed.
        return inodes
    return inodes


@attrs.define(eq=False)
class Owners:
    """Names of processes that connect.

    Parameters
    ----------
    processes : dict
        Process ids by name.
    known : dict
        Names by inode. One listing of all descriptors serves all connections of a burst.
    """

    processes: dict[str, int] = attrs.field(factory=dict)
    known: dict[str, str] = attrs.field(factory=dict)

    def owner_of(self, port: int) -> str:
        """Return the name of the process that connects from a local port; empty if unknown."""
        inode = inode_of(TCP_TABLE.read_bytes(), port)
        if inode and inode not in self.known:
            self.known = {
                item: name
                for name, process_id in self.processes.items()
                for item in _sockets_of(process_id)
            }
        return self.known.get(inode, "")
