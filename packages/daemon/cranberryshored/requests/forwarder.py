"""Sending one request to one upstream."""

from typing import Protocol

import attrs
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout, TCPConnector
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from cranberryshored.platform.session import single_try_session

CONNECTIONS_PER_UPSTREAM = 60
CONNECT_SECONDS = 0.5
NO_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")
HOP_BY_HOP = frozenset(
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
    """A caller's request as it goes to an upstream.

    Parameters
    ----------
    method, path : str
        HTTP method and path with query below the service.
    headers : CIMultiDict
        Headers without those that concern one connection only.
    body : bytes
        Whole body.
    is_idempotent : bool
        Whether running it twice does no harm.
    """

    method: str
    path: str
    headers: CIMultiDict
    body: bytes
    is_idempotent: bool


@attrs.frozen
class UpstreamResponse:
    """The upstream's whole answer."""

    status: int
    headers: CIMultiDict
    body: bytes


@attrs.frozen
class ForwardFailure:
    """No whole answer.

    ``was_sent`` is false only if no connection was made, so that nothing can have run.
    """

    was_sent: bool
    is_timeout: bool
    detail: str


def end_to_end(headers: CIMultiDict) -> CIMultiDict:
    """Return the headers that concern more than one connection.

    Examples
    --------
    >>> dict(end_to_end(CIMultiDict({"Host": "a", "Accept": "b"})))
    {'Accept': 'b'}
    """
    kept = CIMultiDict(headers)
    for name in HOP_BY_HOP:
        if name in kept:
            kept.popall(name)
    return kept


class Forwarder(Protocol):
    """What the daemon needs to reach upstreams."""

    async def start(self) -> None:
        """Open connections."""
        ...

    async def close(self) -> None:
        """Close connections."""
        ...

    async def forward(
        self, address: str, request: IncomingRequest, seconds: float
    ) -> Result[UpstreamResponse, ForwardFailure]:
        """Send a request once and return the whole answer."""
        ...


@attrs.define
class HttpForwarder:
    """Connections to the zone's upstreams."""

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
        limit = ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
        # The path goes on exactly as the caller has sent it.
        url = URL(f"http://{address}{request.path}", encoded=True)
        try:
            async with self.session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body or None,
                timeout=limit,
                allow_redirects=False,
                skip_auto_headers=NO_AUTO_HEADERS,
            ) as response:
                body = await response.read()
                return Ok(UpstreamResponse(response.status, end_to_end(response.headers), body))
        except ClientConnectorError as error:
            return Err(ForwardFailure(False, False, str(error)))
        except TimeoutError:
            return Err(ForwardFailure(True, True, f"No answer within {seconds:.3f} s."))
        except (ClientError, OSError) as error:
            return Err(ForwardFailure(True, False, type(error).__name__))
