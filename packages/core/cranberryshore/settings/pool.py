"""Settings of an entry instance of a pool."""

from typing import Annotated

import attrs
from msgspec import Meta
from result import Err, Result

from cranberryshore.errors import SettingsError
from cranberryshore.settings.check import check_document, parse_document
from cranberryshore.settings.schema import LogSettings, Seconds

PeerAddress = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
OptionalAddress = Annotated[str, Meta(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5})?$")]
PoolName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,100}$")]


@attrs.frozen
class PoolSettings:
    """Everything that an entry instance of a pool is told.

    Parameters
    ----------
    instance, zone : str
        Names of this instance and of its availability zone.
    listen, ready_listen, peer_listen, metrics_listen : str
        IP number and port where callers, the balancer, peers and the collector of metrics connect.
    store : str
        IP number and port of the platform's store.
    peer_advertise : str
        IP number and port that peers connect to, where it is not ``peer_listen``.
    seeds : tuple of str
        Peer addresses of some instances, which may be stale.
    processor_share, processor_speed : float
        Share of a core that this instance has, and how many times as fast as a usual one it is.
    drain_seconds : float
        Longest time that a leaving instance waits for answers; below the platform's grace.
    """

    instance: PoolName
    zone: PoolName
    listen: PeerAddress
    ready_listen: PeerAddress
    peer_listen: PeerAddress
    metrics_listen: PeerAddress
    store: PeerAddress
    peer_advertise: OptionalAddress = ""
    seeds: tuple[PeerAddress, ...] = ()
    processor_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    processor_speed: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    drain_seconds: Seconds = 5.0
    log: LogSettings = LogSettings(is_json=True)

    @property
    def peer_address(self) -> str:
        """Return where peers reach this instance."""
        return self.peer_advertise or self.peer_listen


def load_pool_settings(text: str) -> Result[PoolSettings, list[SettingsError]]:
    """Parse and check the text of a settings file.

    Examples
    --------
    >>> str(load_pool_settings("{").unwrap_err()[0].path)
    '$'
    """
    document = parse_document(text)
    if isinstance(document, Err):
        return document
    return check_document(document.ok_value, PoolSettings)
