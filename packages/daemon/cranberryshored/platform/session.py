"""HTTP client sessions without automatic retries."""

from aiohttp import BaseConnector, ClientSession, DummyCookieJar


def single_try_session(connector: BaseConnector | None = None) -> ClientSession:
    """Return a session that sends each request at most once.

    aiohttp retries GET, PUT and DELETE requests once when a kept-alive connection breaks. A
    request marked as non-idempotent could run twice, and a write that had taken effect would be
    reported as a conflict. aiohttp has no public option to disable the retry, so a private
    attribute is set.

    Bodies are not decompressed, so that a forwarded body still matches its ``Content-Encoding``.
    Cookies are neither stored nor sent, so that one caller's cookies do not reach another.
    """
    session = ClientSession(connector=connector, auto_decompress=False, cookie_jar=DummyCookieJar())
    session._retry_connection = False
    return session
