"""Entry instances of a pool, and their claims to its workers."""

import attrs

from cranberryshore.bounds import Amount, Name, Text
from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool.overload.load_report import LoadReport


@attrs.frozen
class MemberAddress:
    """Incarnation of an instance and the address on which it listens for its peers.

    Parameters
    ----------
    incarnation : str
        Identifier of the current start of the instance: its name and the hexadecimal Unix time of
        the start in milliseconds.
    address : str
        IP address and port.
    millicores : int
        CPU capacity, in thousandths of a core.
    """

    incarnation: Name
    address: Text
    zone: Text
    millicores: Amount = 1000

    def started_at_ms(self) -> int:
        """Return the Unix time of the start, by the clock of the instance; 0 if it is not known.

        Examples
        --------
        >>> MemberAddress("a.1f", "1", "z").started_at_ms()
        31
        """
        try:
            return int(self.incarnation.rpartition(".")[2], 16)
        except ValueError:
            return 0

    def rank(self) -> tuple[int, str]:
        """Return the sort key for claims: most CPU first, since it limits the throughput.

        Examples
        --------
        >>> MemberAddress("a", "1", "z", 500).rank() > MemberAddress("b", "2", "z", 2000).rank()
        True
        """
        return (-self.millicores, self.address)


@attrs.frozen(field_transformer=optional_by_name)
class Claim:
    """Claim of a scheduler to the workers of a pool or of one zone.

    Parameters
    ----------
    term : int
        Fencing token at the time of the claim; later claims have higher ones.
    zone : str
        Availability zone whose workers are claimed; empty for all zones.
    held : int
        Number of workers currently held.
    is_divided : bool
        Whether each availability zone has a scheduler of its own.
    is_uneven : bool
        Whether that cannot be, because some zone has too few workers.
    is_overloaded : bool
        Whether the pool is divided because one scheduler of all zones was overloaded.
    """

    term: int
    zone: str = ""
    held: int = 0
    is_divided: bool = False
    is_uneven: bool = False
    is_overloaded: bool = False

    def precedence(self, is_divided: bool = False) -> tuple[bool, int, int]:
        """Return the sort key for conflicting claims; the highest one wins."""
        return (bool(self.zone) is is_divided, self.held, self.term)


@attrs.define(field_transformer=optional_by_name)
class Member:
    """State of a peer according to its last heartbeat.

    Parameters
    ----------
    acknowledged_at : float
        Time of the last heartbeat that confirmed contact with this instance, or of first contact.
    follows : str
        Incarnation of its scheduler; empty if there is none.
    roster_version : int
        Version of its worker list.
    epoch : int
        Number of times that it has changed its scheduler.
    known_epoch : int or None
        Latest epoch of this instance that it has taken note of; ``None`` if it does not tell.
    heartbeat_sent_at : float
        Time on the monotonic clock of the peer.
    store_answered_at : float
        Time at which the platform's store has last answered the peer.
    handed_over_at : float
        Time at which it has named another instance to schedule, while this one followed it.
    load : LoadReport or None
        Limit of this instance's jobs if it schedules and is overloaded.
    """

    at: MemberAddress
    heard_at: float = float("-inf")
    acknowledged_at: float = float("-inf")
    listed_at: float = float("-inf")
    is_draining: bool = False
    claim: Claim | None = None
    follows: str = ""
    config_version: int = 0
    roster_version: int = 0
    epoch: int = 0
    known_epoch: int | None = 0
    heartbeat_sent_at: float = float("-inf")
    store_answered_at: float = float("-inf")
    handed_over_at: float = float("-inf")
    load: LoadReport | None = None

    def clock(self, now: float) -> float:
        """Return the monotonic clock of the peer, late by the transit time of its heartbeat."""
        return self.heartbeat_sent_at + now - self.heard_at
