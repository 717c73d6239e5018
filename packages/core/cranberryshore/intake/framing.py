"""Splitting of a client's bytes into complete requests before they are parsed.

The heads are only examined for the end of the request; everything else is left to the parser.
"""

import re
from functools import lru_cache

import attrs

from cranberryshore.intake.cause import IntakeCause
from cranberryshore.intake.chunks import ChunkDecoder, ChunkState

LONGEST_HEAD_END = 3
EMPTY_LINES = re.compile(rb"(?:\r?\n)*")
METHOD_START = range(ord("A"), ord("Z") + 1)
FRAMING_HEADER = re.compile(
    rb"\n(content-length|transfer-encoding|content-encoding|expect)[ \t]*:[ \t]*([^\r\n]*)", re.I
)
CACHED_FRAMINGS = 512
"""Framings kept, since the requests of a client differ little; parsing one takes 3 µs."""

LENGTH = re.compile(rb"[0-9]{1,16}")


MAX_CACHED_HEAD = 1024
"""Size of a head up to which its framing is cached, so that the cache takes at most 0.5 MB."""


@attrs.frozen
class FrameLimits:
    """Limits of one request: bytes of head and body, and empty lines before the head."""

    head_bytes: int
    body_bytes: int
    empty_lines: int


@attrs.frozen
class Framing:
    """What the head tells about the body.

    Parameters
    ----------
    length : int
        Size of a body that is not chunked.
    is_encoded : bool
        Whether the body is compressed, so that it can grow up to the limit when it is decoded.
    expects_continue : bool
        Whether the client waits for an interim response before it sends the body.
    """

    length: int = 0
    is_chunked: bool = False
    is_encoded: bool = False
    expects_continue: bool = False


NO_BODY = Framing()


def parse_framing(head: bytes) -> Framing | IntakeCause:
    r"""Return the framing of a request, or a refusal if it is not unambiguous.

    Examples
    --------
    >>> parse_framing(b"POST / HTTP/1.1\r\nContent-Length: 7\r\n\r\n").length
    7
    """
    if b"\n " in head or b"\n\t" in head:
        # The line continues the one before.
        return IntakeCause.MALFORMED
    found = FRAMING_HEADER.findall(head)
    if not found:
        return NO_BODY
    return (_cached_framing if len(head) <= MAX_CACHED_HEAD else _framing_of)(tuple(found))


def _framing_of(found: tuple[tuple[bytes, bytes], ...]) -> Framing | IntakeCause:
    headers: dict[bytes, bytes] = {}
    for name, value in found:
        key = name.lower()
        if key in headers:
            return IntakeCause.MALFORMED
        headers[key] = value.rstrip(b" \t")
    length = headers.get(b"content-length")
    transfer = headers.get(b"transfer-encoding")
    is_length_valid = length is None or LENGTH.fullmatch(length) is not None
    if not is_length_valid or (transfer is not None and length is not None):
        return IntakeCause.MALFORMED
    if transfer is not None and transfer.lower() != b"chunked":
        return IntakeCause.MALFORMED
    return Framing(
        int(length or 0),
        transfer is not None,
        headers.get(b"content-encoding", b"identity").lower() != b"identity",
        headers.get(b"expect", b"").lower() == b"100-continue",
    )


_cached_framing = lru_cache(maxsize=CACHED_FRAMINGS)(_framing_of)


def _find_head_end(buffer: bytes | bytearray, start: int) -> int:
    """Return the end of the head, or a position after the buffer if it is incomplete."""
    with_return = buffer.find(b"\n\r\n", start)
    without = buffer.find(b"\n\n", start, None if with_return < 0 else with_return + 1)
    if without >= 0:
        return without + 2
    return with_return + 3 if with_return >= 0 else len(buffer) + 1


@attrs.define
class RequestFramer:
    """Buffer of one connection, which releases one complete request after the other.

    Parameters
    ----------
    limits : FrameLimits
        Limits of one request.
    buffer : bytes or bytearray
        Received data that is neither released nor decoded.
    """

    limits: FrameLimits
    buffer: bytes | bytearray = b""
    scanned: int = 0
    empty_lines: int = 0
    head_bytes: int = 0
    framing: Framing | None = None
    head: bytes = b""
    chunks: ChunkDecoder | None = None
    received: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of all data held."""
        decoded = len(self.chunks.body) if self.chunks is not None else 0
        return len(self.buffer) + len(self.head) + decoded

    def reservation_bytes(self, small_bytes: int) -> int:
        """Return the memory that the current request may need if that is a large one, else 0.

        A chunked request is large once more than ``small_bytes`` of it have arrived.
        """
        framing = self.framing
        if framing is None or framing is NO_BODY:
            return 0
        is_small_so_far = framing.is_chunked and self.received <= small_bytes
        if is_small_so_far and not framing.is_encoded:
            return 0
        length = self.limits.body_bytes if framing.is_chunked else framing.length
        decoded = self.limits.body_bytes if framing.is_encoded else 0
        needed = self.head_bytes + length + decoded
        return needed if needed > small_bytes else 0

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self.received += len(data)
        if not self.buffer:
            self.buffer = data
            return
        if isinstance(self.buffer, bytes):
            self.buffer = bytearray(self.buffer)
        self.buffer += data

    def advance(self) -> bytes | IntakeCause | None:
        r"""Return the next complete request, a refusal, or ``None`` if more data is needed.

        A chunked body is returned as one chunk, without extensions and trailers.

        Examples
        --------
        >>> framer = RequestFramer(FrameLimits(100, 10, 1))
        >>> framer.feed(b"GET / HTTP/1.1\r\n")
        >>> framer.advance()
        >>> framer.feed(b"\r\n")
        >>> framer.advance()
        b'GET / HTTP/1.1\r\n\r\n'
        """
        refusal = self.examine()
        if refusal is not None or self.framing is None:
            return refusal
        if self.chunks is not None:
            return self._advance_chunks(self.chunks)
        return self._release(self.head_bytes + self.framing.length)

    def examine(self) -> IntakeCause | None:
        """Examine the head if it is complete; return a refusal or ``None``."""
        return self._find_head() if self.framing is None else None

    def is_whole_request(self, data: bytes) -> bool:
        """Return whether ``data`` is one plain request, received at once; it is not buffered.

        For such data, :meth:`advance` would return ``data`` itself. Most requests are like that,
        and skipping the buffer halves the cost.
        """
        if self.received or self.empty_lines or data[0] not in METHOD_START:
            return False
        end = data.find(b"\n\r\n") + LONGEST_HEAD_END
        if not LONGEST_HEAD_END <= end <= self.limits.head_bytes or b"\n\n" in data[:end]:
            return False
        framing = parse_framing(data[:end])
        return (
            framing.__class__ is Framing
            and not framing.is_chunked
            and not framing.is_encoded
            and framing.length <= self.limits.body_bytes
            and end + framing.length == len(data)
        )

    def clear(self) -> None:
        """Drop everything."""
        self.buffer, self.scanned = b"", 0
        self._reset()

    def _reset(self) -> None:
        self.empty_lines = self.head_bytes = self.scanned = 0
        self.framing, self.head, self.chunks = None, b"", None
        self.received = len(self.buffer)

    def _find_head(self) -> IntakeCause | None:
        if not self.scanned:
            refusal = self._skip_empty_lines()
            if refusal is not None or self.buffer in (b"", b"\r"):
                return refusal
        limit = self.limits.head_bytes
        start = max(0, self.scanned - LONGEST_HEAD_END)
        end = _find_head_end(self.buffer, start)
        if end > limit and len(self.buffer) >= limit:
            return IntakeCause.HEAD_TOO_LARGE
        if end > len(self.buffer):
            self.scanned = len(self.buffer)
            return None
        framing = parse_framing(bytes(self.buffer[:end]))
        if isinstance(framing, IntakeCause):
            return framing
        if framing.length > self.limits.body_bytes:
            return IntakeCause.BODY_TOO_LARGE
        self.framing, self.head_bytes = framing, end
        if framing.is_chunked:
            self.head = bytes(self.buffer[:end])
            self.buffer = self.buffer[end:]
            self.chunks = ChunkDecoder(self.limits.body_bytes, limit)
        return None

    def _skip_empty_lines(self) -> IntakeCause | None:
        if not self.buffer or self.buffer[0] in METHOD_START:
            return None
        end = EMPTY_LINES.match(self.buffer).end()
        self.empty_lines += self.buffer.count(b"\n", 0, end)
        self.buffer = self.buffer[end:]
        # Empty lines alone are no incomplete request; some clients send one after a body.
        self.received = len(self.buffer)
        if self.empty_lines > self.limits.empty_lines:
            return IntakeCause.EMPTY_LINES
        if self.buffer and self.buffer[0] not in METHOD_START and self.buffer != b"\r":
            return IntakeCause.MALFORMED
        return None

    def _advance_chunks(self, chunks: ChunkDecoder) -> bytes | IntakeCause | None:
        position = chunks.decode(self.buffer, 0)
        if isinstance(position, IntakeCause):
            return position
        self.buffer = self.buffer[position:]
        if chunks.state is not ChunkState.DONE:
            return None
        size = b"%x\r\n" % len(chunks.body)
        parts = (size, chunks.body, b"\r\n0\r\n\r\n") if chunks.body else (b"0\r\n\r\n",)
        request = b"".join((self.head, *parts))
        self._reset()
        return request

    def _release(self, end: int) -> bytes | None:
        if len(self.buffer) < end:
            return None
        if len(self.buffer) == end:
            request, self.buffer = bytes(self.buffer), b""
        else:
            request = bytes(self.buffer[:end])
            self.buffer = self.buffer[end:]
        self._reset()
        return request
