"""Clients that send chunked bodies in small chunks of mixed sizes, and stop just short of the end.

Usage: ``python3 chunk_clients.py CLIENTS SECONDS HOST PREFIX ADDRESS...``
"""

import json
import random
import selectors
import socket
import sys
import time

MAX_CHUNK_BYTES, PIECE_BYTES = 3, 262_144
STEPS = 1000


def chunked_body() -> bytes:
    """Return a job of legal size in chunks of one to three bytes, without the last chunk."""
    step = {"count": 1, "cpu": 1, "requiredLabel": "b" * 200}
    job = {"spec": "x" * 4000, "steps": [step] * STEPS, "bestEffort": True}
    body = json.dumps(job, separators=(",", ":")).encode()
    draw, parts, position = random.Random(1), [], 0
    while position < len(body):
        data = body[position : position + draw.randint(1, MAX_CHUNK_BYTES)]
        position += len(data)
        parts.append(b"%x\r\n%s\r\n" % (len(data), data))
    print(f"bodies of {len(body)} bytes in {len(parts)} chunks", flush=True)
    return b"".join(parts)


def main() -> None:
    """Open all connections, send everything as fast as it is read, and stay connected."""
    clients, seconds, host, prefix = int(sys.argv[1]), float(sys.argv[2]), *sys.argv[3:5]
    addresses = sys.argv[5:]
    body, selector = chunked_body(), selectors.DefaultSelector()
    until, open_sockets = time.monotonic() + seconds, []
    for number in range(clients):
        ip, port = addresses[number % len(addresses)].split(":")
        client = socket.create_connection((ip, int(port)))
        client.setblocking(False)
        head = f"POST {prefix}ff{number:014x} HTTP/1.1\r\nHost: {host}\r\nX-Deadline-Ms: 1500\r\n"
        head += "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        selector.register(client, selectors.EVENT_WRITE, [head.encode() + body, 0])
        open_sockets.append(client)
    while time.monotonic() < until:
        for key, _ in selector.select(0.2):
            data, position = key.data
            try:
                key.data[1] += key.fileobj.send(data[position : position + PIECE_BYTES])
            except BlockingIOError:
                continue
            except OSError:
                # The daemon has closed the connection, which it may.
                key.data[1] = len(data)
            if key.data[1] >= len(data):
                selector.unregister(key.fileobj)
        time.sleep(0 if selector.get_map() else 0.05)


if __name__ == "__main__":
    main()
