"""Identity of a single process run of an entry instance."""

import re
from random import Random

import attrs

NONCE_DIGITS = 16
TIME_DIGITS = 8
_NONCE = re.compile(rf"[0-9a-f]{{{NONCE_DIGITS}}}")
_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?")


def is_valid_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of a zone, an instance or a resource.

    Examples
    --------
    >>> is_valid_name("zone-a"), is_valid_name("zone.a"), is_valid_name("")
    (True, False, False)
    """
    return _NAME.fullmatch(text) is not None


@attrs.frozen(order=True)
class Incarnation:
    """One process run of an entry instance; every restart creates a new incarnation.

    Parameters
    ----------
    zone : str
        Availability zone of the instance.
    instance : str
        Name of the instance, from its settings.
    nonce : str
        Sixteen hexadecimal digits: eight for the start time in Unix seconds, eight random.
    """

    zone: str
    instance: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.zone}.{self.instance}.{self.nonce}"

    @property
    def started_at(self) -> int:
        """Return the start time in Unix seconds, by the clock of the instance."""
        return int(self.nonce[:TIME_DIGITS], 16)


def new_incarnation(zone: str, instance: str, unix_time: float, random: Random) -> Incarnation:
    """Create an incarnation with a random nonce.

    Examples
    --------
    >>> incarnation = new_incarnation("zone-a", "entry-1", 1_750_000_000.0, Random(1))
    >>> incarnation.started_at, len(incarnation.nonce)
    (1750000000, 16)
    """
    random_digits = NONCE_DIGITS - TIME_DIGITS
    suffix = f"{random.getrandbits(4 * random_digits):0{random_digits}x}"
    return Incarnation(zone, instance, f"{int(unix_time):0{TIME_DIGITS}x}{suffix}")


def parse_incarnation(text: str) -> Incarnation | None:
    """Parse the text form ``zone.instance.nonce``; ``None`` if it is malformed."""
    parts = text.split(".")
    if len(parts) != 3 or not (is_valid_name(parts[0]) and is_valid_name(parts[1])):
        return None
    if _NONCE.fullmatch(parts[2]) is None:
        return None
    return Incarnation(*parts)
