"""Evacuated availability zones as of a revision of the platform's store."""

from collections.abc import Iterable
from re import compile as compile_pattern
from typing import Annotated

import attrs
from msgspec import Meta

from cranberryshore.bounds import Revision

MAX_EVACUATED_ZONES = 64
"""Number of zones that a heartbeat lists: a pool has three to five, so more are no zones of it."""

ZONE_NAME = compile_pattern(r"[!-~]{1,100}")
"""Names of zones, as short as those that the settings of an instance allow."""

ZoneName = Annotated[str, Meta(pattern=f"^{ZONE_NAME.pattern}$")]


@attrs.frozen
class ZoneEvacuations:
    """Evacuations that are in force.

    Parameters
    ----------
    revision : int
        Revision of the store as of which these zones are evacuated.
    zones : tuple of str
        Evacuated availability zones, sorted.
    """

    revision: Revision
    zones: Annotated[tuple[ZoneName, ...], Meta(max_length=MAX_EVACUATED_ZONES)] = ()


def evacuated_zones(keys: Iterable[str], prefix: str) -> tuple[str, ...]:
    """Return the zones that keys of the store declare as evacuated, sorted.

    Keys that cannot name a zone are left out, and those beyond ``MAX_EVACUATED_ZONES``.

    Examples
    --------
    >>> evacuated_zones(["op/evacuate/b", "op/config", "op/evacuate/", "op/evacuate/a"],
    ...                 "op/evacuate/")
    ('a', 'b')
    """
    names = (key.removeprefix(prefix) for key in keys if key.startswith(prefix))
    zones = sorted(name for name in names if ZONE_NAME.fullmatch(name))
    return tuple(zones[:MAX_EVACUATED_ZONES])
