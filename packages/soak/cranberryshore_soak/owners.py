"""Which process a loopback connection belongs to, as the kernel lists it."""

import os
from pathlib import Path

import attrs

TCP_TABLE = Path("/proc/net/tcp")
LOCAL_FIELD, INODE_FIELD = 1, 9


def _inode_of(port: int) -> str:
    """Return the inode of the socket that is connected from a local port."""
    for line in TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if int(fields[LOCAL_FIELD].partition(":")[2], 16) == port:
            return fields[INODE_FIELD]
    return ""


def _holds(process_id: int, inode: str) -> bool:
    folder = f"/proc/{process_id}/fd"
    for name in os.listdir(folder):
        try:
            if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                return True
        except OSError:
            # The descriptor was closed while the list was read.
            continue
    return False


@attrs.define(eq=False)
class Owners:
    """Names of processes that connect.

    Parameters
    ----------
    processes : dict
        Process ids by name.
    """

    processes: dict[str, int] = attrs.field(factory=dict)

    def owner_of(self, port: int) -> str:
        """Return the name of the process that connects from a local port; empty if unknown."""
        inode = _inode_of(port)
        for name, process_id in self.processes.items():
            try:
                if inode and _holds(process_id, inode):
                    return name
            except OSError:
                # The process has ended.
                continue
        return ""
