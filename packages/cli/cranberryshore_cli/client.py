"""Client of the HTTP API."""

from collections.abc import Sequence
from typing import Any, TypeVar

import attrs
import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout
from result import Err, Ok, Result

from cranberryshore.errors import Refusal
from cranberryshore.messages import JobAnswer, decode_json, encode_json
from cranberryshore.work import JobRequest

T = TypeVar("T")

FIRST_ERROR_STATUS = 400


@attrs.frozen
class ClientFailure:
    """Failure without a valid response: instance unreachable, connection lost or body malformed.

    The outcome of the request is unknown; submitting a job again under the same id is safe.
    """

    detail: str


@attrs.frozen
class _ErrorBody:
    error: Refusal


@attrs.frozen
class _Ids:
    ids: tuple[str, ...]


Failure = Refusal | ClientFailure


@attrs.define(eq=False)
class Client:
    """Client of an entry instance, or of the load balancer in front of several.

    Parameters
    ----------
    url : str
        Base URL.
    token : str
        Token of the caller or operator.
    """

    url: str
    token: str
    timeout_seconds: float = 60.0
    session: ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self.session = ClientSession(timeout=ClientTimeout(total=self.timeout_seconds))
        # aiohttp would repeat GET, PUT and DELETE requests once if a kept-alive connection breaks.
        # A repeated deletion of a resource would be refused although the first had taken effect.
        self.session._retry_connection = False

    async def close(self) -> None:
        """Close the connection pool."""
        if self.session is not None:
            await self.session.close()

    async def obtain_ids(self, count: int) -> Result[tuple[str, ...], Failure]:
        """Obtain submission ids in advance."""
        body = encode_json({"count": count})
        answer = await self.call("POST", "/v1/submission-ids", _Ids, body=body)
        return answer.map(lambda found: found.ids)

    async def submit(
        self, id: str, request: JobRequest, wait_ms: int = 0
    ) -> Result[JobAnswer, Failure]:
        """Submit a job under an id; safe to repeat through any instance."""
        path = f"/v1/jobs/{id}?wait_ms={wait_ms}"
        return await self.call("PUT", path, JobAnswer, body=encode_json(request))

    async def submit_by_key(
        self, key: str, request: JobRequest, wait_ms: int = 0
    ) -> Result[JobAnswer, Failure]:
        """Submit a job under an idempotency key chosen by the caller; safe to repeat."""
        headers = {"Idempotency-Key": key}
        path = f"/v1/jobs?wait_ms={wait_ms}"
        return await self.call("POST", path, JobAnswer, encode_json(request), headers)

    async def query(self, id: str, wait_ms: int = 0) -> Result[JobAnswer, Failure]:
        """Return a job's state, waiting up to ``wait_ms`` for the job to end."""
        return await self.call("GET", f"/v1/jobs/{id}?wait_ms={wait_ms}", JobAnswer)

    async def cancel(self, id: str) -> Result[JobAnswer, Failure]:
        """Cancel a job."""
        return await self.call("DELETE", f"/v1/jobs/{id}", JobAnswer)

    async def call(
        self,
        method: str,
        path: str,
        type_: type[T],
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[T, Failure]:
        """Send a request and decode the response or the refusal."""
        request_headers = {"Authorization": f"Bearer {self.token}", **(headers or {})}
        try:
            async with self.session.request(
                method, self.url + path, data=body, headers=request_headers
            ) as response:
                data = await response.read()
                if response.status >= FIRST_ERROR_STATUS:
                    return Err(decode_json(data, _ErrorBody).error)
                return Ok(decode_json(data, type_))
        except (TimeoutError, ClientError, OSError, msgspec.DecodeError) as error:
            return Err(ClientFailure(f"{type(error).__name__}: {error}"))

    async def get_json(self, path: str) -> Result[Any, Failure]:
        """Return the JSON object at ``path``."""
        return await self.call("GET", path, dict[str, Any])


def first_ok(results: Sequence[Result[T, Failure]]) -> Result[T, Failure]:
    """Return the first success, or else the first failure."""
    return next((result for result in results if isinstance(result, Ok)), results[0])
