"""HTTP client that sends one request to one upstream."""

from typing import Protocol

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout, TCPConnector
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from cranberryshored.platform.session import single_try_session

CONNECTIONS_PER_UPSTREAM = 60
CONNECT_TIMEOUT_SECONDS = 0.5
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "authorization",
    }
)


@attrs.frozen
class IncomingRequest:
    """A caller's request in the form in which it is forwarded.

    Parameters
    ----------
    path : str
        Path with query, relative to the service.
    headers : CIMultiDict
        Headers without those in ``NOT_FORWARDED_HEADERS``.
    is_idempotent : bool
        Whether the request may safely run twice.
    """

    method: str
    path: str
    headers: CIMultiDict
    body: bytes
    is_idempotent: bool


@attrs.frozen
class UpstreamResponse:
    """The complete response of an upstream."""

    status: int
    headers: CIMultiDict
    body: bytes


@attrs.frozen
class ForwardFailure:
    """Failure to obtain a complete response.

    ``was_sent`` is false only if no connection was made, so that the request cannot have run; a
    connection attempt that times out counts as sent.
    """

    was_sent: bool
    is_timeout: bool
    detail: str


def forwardable_headers(headers: CIMultiDict) -> CIMultiDict:
    """Return the headers without those in ``NOT_FORWARDED_HEADERS``.

    These are hop-by-hop headers, those that the HTTP client sets itself, and the caller's token.

    Examples
    --------
    >>> dict(forwardable_headers(CIMultiDict({"Host": "a", "Accept": "b"})))
    {'Accept': 'b'}
    """
    kept = CIMultiDict(headers)
    for name in NOT_FORWARDED_HEADERS:
        if name in kept:
            kept.popall(name)
    return kept


class Forwarder(Protocol):
    """Interface through which the daemon sends requests to upstreams."""

    async def start(self) -> None:
        """Open the connection pool."""
        ...

    async def close(self) -> None:
        """Close the connection pool."""
        ...

    async def forward(
        self, address: str, request: IncomingRequest, seconds: float
    ) -> Result[UpstreamResponse, ForwardFailure]:
        """Send a request once and return the complete response."""
        ...


@attrs.define
class HttpForwarder:
    """Forwards requests over a connection pool to the upstreams of the availability zone."""

    session: ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        connector = TCPConnector(limit=0, limit_per_host=CONNECTIONS_PER_UPSTREAM)
        self.session = single_try_session(connector)

    async def close(self) -> None:
        """Close the connection pool."""
        if self.session is not None:
            await self.session.close()

    async def forward(
        self, address: str, request: IncomingRequest, seconds: float
    ) -> Result[UpstreamResponse, ForwardFailure]:
        """See :class:`Forwarder`."""
        client_timeout = ClientTimeout(total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
        # Keep the caller's percent-encoding of the path unchanged.
        url = URL(f"http://{address}{request.path}", encoded=True)
        try:
            async with self.session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body or None,
                timeout=client_timeout,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
            ) as response:
                body = await response.read()
                return Ok(
                    UpstreamResponse(response.status, forwardable_headers(response.headers), body)
                )
        except ClientConnectorError as error:
            return Err(ForwardFailure(False, False, str(error)))
        except TimeoutError:
            return Err(ForwardFailure(True, True, f"No answer within {seconds:.3f} s."))
        except (ClientError, OSError) as error:
            return Err(ForwardFailure(True, False, type(error).__name__))
