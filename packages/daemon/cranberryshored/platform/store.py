"""Interface of a key-value store, and client of a store with the daemon's own HTTP API."""

from typing import Protocol

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from cranberryshore.messages import decode_json
from cranberryshored.metrics import Metrics
from cranberryshored.platform.session import single_try_session

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0


class StoreFailure:
    """Base class of store failures."""


@attrs.frozen
class StoreConflict(StoreFailure):
    """The key's revision differs from the expected one; nothing was written.

    ``current`` is the revision of the key; 0 if it is absent or the store does not report it.
    """

    current: int


@attrs.frozen
class StoreUnavailable(StoreFailure):
    """No usable reply: the store is down or slow, or its reply was lost or malformed.

    The instance list reports its failures in the same way.

    A write that fails in this way may have taken effect; only a later read can tell.
    """

    detail: str


@attrs.frozen
class WatchCompacted(StoreFailure):
    """The store no longer has the changes after the requested revision."""


@attrs.frozen
class Entry:
    """Key, revision and value; in a watch, ``value`` is ``None`` for a deletion."""

    key: str
    revision: int
    value: str | None


@attrs.frozen
class KeyListing:
    """All keys with a prefix at one revision."""

    revision: int
    entries: tuple[Entry, ...]


@attrs.frozen
class KeyPage:
    """Part of a listing, in the order of the keys; pages are not a snapshot.

    Parameters
    ----------
    last_key : str
        Key after which the next page begins, empty if there is none.
    """

    revision: int
    entries: tuple[Entry, ...]
    last_key: str


@attrs.frozen
class WatchResult:
    """Changes of keys with a prefix up to a revision, in order."""

    revision: int
    changes: tuple[Entry, ...]


class Store(Protocol):
    """Interface of a key-value store with revisions, watches and leases."""

    async def start(self) -> None:
        """Open the connection pool."""
        ...

    async def close(self) -> None:
        """Close the connection pool."""
        ...

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """Return a key's entry, or ``None`` if it does not exist."""
        ...

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """Write a key and return the new revision.

        If ``expected`` is given, the key must have that revision (0: absent). If ``lease`` is
        given, the key is deleted when the lease expires.
        """
        ...

    async def delete(self, key: str, expected: int | None = None) -> Result[int, StoreFailure]:
        """Delete a key and return the store's revision.

        If ``expected`` is given, the key must have that revision.
        """
        ...

    async def list(self, prefix: str) -> Result[KeyListing, StoreFailure]:
        """Return all entries with a prefix."""
        ...

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[WatchResult, StoreFailure]:
        """Return the changes after a revision, waiting up to ``wait_ms`` for the first."""
        ...

    async def grant_lease(self, ttl_seconds: int) -> Result[str, StoreFailure]:
        """Return a new lease; its keys are deleted when it expires."""
        ...


@attrs.frozen
class _WriteReply:
    revision: int


@attrs.frozen
class _Lease:
    lease: str


@attrs.define
class HttpStore:
    """Client of a store with the HTTP interface described in docs/API.md.

    Parameters
    ----------
    url : str
        Base URL.
    timeout_seconds : float
        Timeout of one call other than a watch.
    metrics : Metrics
        Counts calls by kind.
    """

    url: str
    timeout_seconds: float
    metrics: Metrics
    session: ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self.session = single_try_session()

    async def close(self) -> None:
        """Close the connection pool."""
        if self.session is not None:
            await self.session.close()

    async def get(self, key: str) -> Result[Entry | None, StoreFailure]:
        """See :class:`Store`."""
        answer = await self._call("get", "GET", f"/v1/keys/{key}")
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_NOT_FOUND:
            return Ok(None)
        return self._decode(status, body, Entry)

    async def put(
        self, key: str, value: str, expected: int | None = None, lease: str = ""
    ) -> Result[int, StoreFailure]:
        """See :class:`Store`."""
        query = {} if expected is None else {"expected": str(expected)}
        if lease:
            query["lease"] = lease
        answer = await self._call("put", "PUT", f"/v1/keys/{key}", query, value.encode())
        return self._decode_write(answer)

    async def delete(self, key: str, expected: int | None = None) -> Result[int, StoreFailure]:
        """See :class:`Store`."""
        query = {} if expected is None else {"expected": str(expected)}
        answer = await self._call("delete", "DELETE", f"/v1/keys/{key}", query)
        return self._decode_write(answer)

    async def list(self, prefix: str) -> Result[KeyListing, StoreFailure]:
        """See :class:`Store`."""
        answer = await self._call("list", "GET", "/v1/range", {"prefix": prefix})
        if isinstance(answer, Err):
            return answer
        return self._decode(*answer.ok_value, KeyListing)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> Result[WatchResult, StoreFailure]:
        """See :class:`Store`."""
        query = {"prefix": prefix, "after": str(after), "wait_ms": str(wait_ms)}
        watch_timeout = wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_SECONDS
        answer = await self._call("watch", "GET", "/v1/watch", query, timeout=watch_timeout)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_GONE:
            return Err(WatchCompacted())
        return self._decode(status, body, WatchResult)

    async def grant_lease(self, ttl_seconds: int) -> Result[str, StoreFailure]:
        """See :class:`Store`."""
        query = {"ttl_seconds": str(ttl_seconds)}
        answer = await self._call("lease", "POST", "/v1/leases", query)
        if isinstance(answer, Err):
            return answer
        return self._decode(*answer.ok_value, _Lease).map(lambda lease: lease.lease)

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout: float | None = None,
    ) -> Result[tuple[int, bytes], StoreFailure]:
        self.metrics.store_calls.labels(kind).inc()
        client_timeout = ClientTimeout(total=timeout or self.timeout_seconds)
        try:
            async with self.session.request(
                method, self.url + path, params=query, data=body, timeout=client_timeout
            ) as response:
                return Ok((response.status, await response.read()))
        except (TimeoutError, ClientError, OSError) as error:
            return Err(StoreUnavailable(type(error).__name__))

    def _decode_write(
        self, answer: Result[tuple[int, bytes], StoreFailure]
    ) -> Result[int, StoreFailure]:
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_PRECONDITION_FAILED:
            # The body holds the key's current revision; HTTP_OK makes ``_decode`` read it.
            return self._decode(HTTP_OK, body, _WriteReply).and_then(
                lambda written: Err(StoreConflict(written.revision))
            )
        return self._decode(status, body, _WriteReply).map(lambda written: written.revision)

    def _decode(self, status: int, body: bytes, type_: type) -> Result:
        if status != HTTP_OK:
            return Err(StoreUnavailable(f"HTTP status {status}"))
        try:
            return Ok(decode_json(body, type_))
        except (msgspec.DecodeError, ValueError) as error:
            return Err(StoreUnavailable(str(error)))
