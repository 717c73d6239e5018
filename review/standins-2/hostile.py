"""Clients that the users do not control: python3 hostile.py KIND COUNT SECONDS ADDRESS...

Each of COUNT connections goes to one of the addresses in turn. KIND is

- ``chains``: whole bodies of legal size, one after the other, each a job of many steps in a row;
- ``wide``: one whole body of legal size each, a job of many equal steps;
- ``chunks``: one chunked body each, in chunks of one and two bytes, which stops short of its end;
- ``pieces``: one body of legal size each, first without its last piece, then that piece, all of
  them at the same moment; a job of some steps with long names of racks.

A line is printed for each request that was sent and each answer.
"""

import asyncio
import json
import random
import sys
import time

from deployment import PREFIX, ROUTE_HOST, exchange, job_request, status_of

MAX_BODY_BYTES = 262_144
BUDGET_MS = 30_000
CHAIN_STEPS = 9300
WIDE_STEPS = 9900
RACK_STEPS, RACK_CHARACTERS = 64, 4000
LAST_PIECE_BYTES = 10
PIECES_S = 2.0
"""Time from the first pieces of the last body to the last pieces of all."""


def encode_job(steps: list[dict]) -> bytes:
    """Return the body of a job whose tasks take long."""
    job = {"spec": "20000", "steps": steps, "bestEffort": True}
    body = json.dumps(job, separators=(",", ":")).encode()
    assert len(body) <= MAX_BODY_BYTES
    return body


def chain_body() -> bytes:
    """Return a job of which each step waits for the one before it."""
    steps = [{"count": 1, "cpu": 1000, "estimateMs": 20000}]
    return encode_job(steps + [{"count": 1, "after": [n]} for n in range(CHAIN_STEPS - 1)])


def wide_body() -> bytes:
    """Return a job of many equal steps, each as large as a server."""
    steps = [{"count": 1, "cpu": 32000}] * WIDE_STEPS
    return encode_job([steps[0] | {"estimateMs": 20000}, *steps[1:]])


def rack_body() -> bytes:
    """Return a job of some steps whose data is in racks with long names."""
    step = {"count": 1, "cpu": 1000, "estimateMs": 20000, "affinity": "r" * RACK_CHARACTERS}
    return encode_job([step] * RACK_STEPS)


def job_id() -> str:
    """Return a new identifier of a job."""
    return f"{random.getrandbits(64):016x}"


def say(event: str, address: str, **fields: object) -> None:
    """Print a line for the record."""
    words = " ".join(f"{name}={value}" for name, value in fields.items())
    print(f"hostile {event} at={address} {words}", flush=True)


async def send_whole(address: str, body: bytes, end: float, is_repeated: bool) -> None:
    """Send a whole body, and others after its answer if that is wanted."""
    while time.monotonic() < end:
        job = job_id()
        say("sent", address, job=job, bytes=len(body))
        data = job_request(job, body, BUDGET_MS)
        status = status_of(await exchange(address, data, max(0.1, end - time.monotonic())))
        say("answered", address, job=job, status=status)
        if not is_repeated:
            return
        await asyncio.sleep(0.05)


async def send_chunks(address: str, end: float) -> None:
    """Send a chunked body in very small chunks, except its end, and stay."""
    pair = b"1\r\n1\r\n2\r\n11\r\n"
    count = (MAX_BODY_BYTES - 4096) // 3
    head = (
        f"POST {PREFIX}{job_id()} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n"
        "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(end - time.monotonic()):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode())
            for _ in range(count // 1000):
                writer.write(pair * 1000)
                await writer.drain()
            say("sent", address, bytes=len(head) + count // 1000 * 1000 * len(pair))
            say("answered", address, status=status_of(await reader.read()))
    except (OSError, TimeoutError) as error:
        say("ended", address, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


async def send_pieces(chosen: list[str], body: bytes, end: float) -> None:
    """Send bodies without their last pieces, then these at the same moment; leave at the end."""
    connections = []
    for address in chosen:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = job_request(job_id(), body, BUDGET_MS)
        writer.write(data[:-LAST_PIECE_BYTES])
        await writer.drain()
        connections.append((address, reader, writer, data[-LAST_PIECE_BYTES:]))
    await asyncio.sleep(PIECES_S)
    for _, _, writer, last in connections:
        writer.write(last)
    for address, _, _, _ in connections:
        say("sent", address, bytes=len(body))

    async def wait(address: str, reader: asyncio.StreamReader) -> None:
        try:
            async with asyncio.timeout(end - time.monotonic()):
                say("answered", address, status=status_of(await reader.read()))
        except (OSError, TimeoutError) as error:
            say("left", address, error=type(error).__name__)

    await asyncio.gather(*(wait(item[0], item[1]) for item in connections))
    for _, _, writer, _ in connections:
        writer.close()


async def main(kind: str, count: int, seconds: float, addresses: list[str]) -> None:
    """Run all clients of one kind."""
    end = time.monotonic() + seconds
    bodies = {"chains": chain_body, "wide": wide_body}
    body = bodies[kind]() if kind in bodies else b""
    chosen = [addresses[number % len(addresses)] for number in range(count)]
    if kind == "pieces":
        await send_pieces(sorted(chosen), rack_body(), end)
    elif kind == "chunks":
        await asyncio.gather(*(send_chunks(address, end) for address in chosen))
    else:
        is_repeated = kind == "chains"
        await asyncio.gather(*(send_whole(item, body, end, is_repeated) for item in chosen))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4:]))
