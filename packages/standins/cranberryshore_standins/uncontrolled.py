"""Clients that send arbitrary data to an HTTP server, and measurements of the server's process."""

import selectors
import socket
import time
from collections.abc import Callable
from pathlib import Path

import attrs

SEND_BYTES = 262_144
"""Bytes offered to the kernel at once; one turn of a connection must not starve the others."""

STALL_SECONDS = 0.8
"""Time without any progress after which a crowd has sent what the server accepts."""

MAX_CROWD_SECONDS = 6.0
"""Time limit of a crowd, so that a test with one crowd takes less than 10 s."""

SAMPLE_SECONDS = 0.05
"""Period of the measurements while a crowd sends."""

KIB = 1024


@attrs.frozen
class Attack:
    """What each connection of a crowd sends before it falls silent.

    Parameters
    ----------
    connections : int
        Number of connections.
    prefix, block, suffix : bytes
        Data sent once, ``repeats`` times and once.
    """

    name: str
    connections: int
    prefix: bytes = b""
    block: bytes = b""
    repeats: int = 0
    suffix: bytes = b""

    def payload(self) -> bytes:
        """Return all data of one connection."""
        return self.prefix + self.block * self.repeats + self.suffix


@attrs.define
class ProcessLoad:
    """Resident memory in MiB and open descriptors of a process, highest values seen."""

    pid: int
    memory_mb: float = 0.0
    descriptors: int = 0

    def sample(self) -> None:
        """Measure once."""
        status = Path(f"/proc/{self.pid}/status").read_text(encoding="ascii")
        resident = status.partition("VmRSS:")[2].split()[0]
        self.memory_mb = max(self.memory_mb, int(resident) / KIB)
        count = len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        self.descriptors = max(self.descriptors, count)


@attrs.define(eq=False)
class Crowd:
    """Connections of one attack, which stay open until :meth:`close`."""

    address: tuple[str, int]
    attack: Attack
    sockets: list[socket.socket] = attrs.field(factory=list)
    ended: int = 0

    def send(self, sample: Callable[[], None]) -> None:
        """Send until everything is sent, the server accepts nothing more, or time is over.

        Parameters
        ----------
        sample : callable
            Called periodically.
        """
        selector = selectors.DefaultSelector()
        payload = memoryview(self.attack.payload())
        for _ in range(self.attack.connections):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.sockets.append(sock)
            selector.register(sock, selectors.EVENT_WRITE, [0])
        now = started = progressed = sampled = time.monotonic()
        while now - started < MAX_CROWD_SECONDS and now - progressed < STALL_SECONDS:
            for key, _ in selector.select(SAMPLE_SECONDS):
                if self._send_some(selector, key, payload):
                    progressed = now
            now = time.monotonic()
            if now - sampled >= SAMPLE_SECONDS:
                sample()
                sampled = now
        sample()
        selector.close()

    def _send_some(
        self, selector: selectors.BaseSelector, key: selectors.SelectorKey, payload: memoryview
    ) -> bool:
        sent = key.data[0]
        try:
            key.data[0] += key.fileobj.send(payload[sent : sent + SEND_BYTES])
        except BlockingIOError:
            return False
        except OSError:
            # The server has closed the connection.
            self.ended += 1
            key.data[0] = len(payload)
        if key.data[0] >= len(payload):
            selector.unregister(key.fileobj)
        return True

    def close(self) -> None:
        """Close all connections."""
        for sock in self.sockets:
            sock.close()


def head(method: str, path: str, *lines: str) -> bytes:
    r"""Return the head of a request.

    Examples
    --------
    >>> head("GET", "/", "A: b")
    b'GET / HTTP/1.1\r\nHost: h.example\r\nA: b\r\n\r\n'
    """
    text = "\r\n".join((f"{method} {path} HTTP/1.1", "Host: h.example", *lines))
    return text.encode() + b"\r\n\r\n"


def attacks(method: str, path: str, body_bytes: int, *lines: str) -> list[Attack]:
    """Return one attack of each kind, with bodies of at most ``body_bytes``."""
    whole = head(method, path, f"Content-Length: {body_bytes}", *lines)
    chunked = head(method, path, "Transfer-Encoding: chunked", *lines)
    start = head(method, path, *lines)[:-2]
    large = b"2000\r\n" + b"x" * 8192 + b"\r\n"
    line = b"X-Line: " + b"y" * 7000 + b"\r\n"
    return [
        Attack("heads over the limit", 150, start, line, 200, b"\r\n"),
        Attack("heads without end", 150, start, b"X-Line: 0123456789\r\n", 50_000),
        Attack("line without end", 150, start + b"X: ", b"z" * 1000, 1000),
        Attack("empty lines", 50, b"", b"\r\n", 500_000),
        Attack("bodies stopping short", 300, whole, b"x", body_bytes - 144),
        Attack("whole bodies", 300, whole, b"x", body_bytes),
        Attack("large chunks", 300, chunked, large, body_bytes // 8192, b"2000\r\nx"),
        Attack("one-byte chunks", 150, chunked, b"1\r\nx\r\n", 50_000, b"1\r\n"),
        Attack("endless chunk size", 150, chunked, b"0", 1_000_000),
        Attack("endless trailers", 150, chunked + b"0\r\n", b"X-Line: 0123456789\r\n", 50_000),
        Attack("pipelined requests", 100, b"", start + b"\r\n", 5000),
        Attack("silent connections", 600),
    ]
