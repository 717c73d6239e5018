"""Listings of a key-value store that answers page by page."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Err, Ok, Result

from cranberryshored.platform.store import Entry, KeyListing, KeyPage, Store, StoreFailure

PageReader = Callable[[str], Awaitable[Result[KeyPage, StoreFailure]]]


class PagedStore(Store, Protocol):
    """A store whose listings can be read page by page."""

    async def list_page(self, prefix: str, after: str) -> Result[KeyPage, StoreFailure]:
        """Return the entries with a prefix whose keys come after another one, up to a limit."""
        ...


async def join_pages(read_page: PageReader) -> Result[KeyListing, StoreFailure]:
    """Read all pages of a listing.

    Parameters
    ----------
    read_page : callable
        Returns the page after a key; the first one after the empty string.

    Returns
    -------
    Result
        All entries with the revision of the first page, so that a watch from it repeats the changes
        made while later pages were read.
    """
    entries: list[Entry] = []
    revision, after = None, ""
    while True:
        read = await read_page(after)
        if isinstance(read, Err):
            return read
        page = read.ok_value
        revision = page.revision if revision is None else revision
        entries += page.entries
        if not page.last_key:
            return Ok(KeyListing(revision, tuple(entries)))
        after = page.last_key
