"""Client sessions that never repeat a request on their own."""

from aiohttp import BaseConnector, ClientSession, DummyCookieJar


def single_try_session(connector: BaseConnector | None = None) -> ClientSession:
    """Return a session that sends each request at most once.

    aiohttp repeats GET, PUT and DELETE requests once when a kept-alive connection breaks. A
    request marked as non-idempotent would run twice, and the reply to a write that had taken
    effect would be replaced by a conflict. The library has no public switch for this.

    Cookies are neither kept nor sent, since one caller's must not reach another.
    """
    session = ClientSession(connector=connector, auto_decompress=False, cookie_jar=DummyCookieJar())
    session._retry_connection = False
    return session
