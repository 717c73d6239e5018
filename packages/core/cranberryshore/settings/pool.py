"""Settings of an entry instance of a pool, which ``cranberryshore_platform`` runs."""

from typing import Annotated

import attrs
from msgspec import Meta
from result import Err, Result

from cranberryshore.errors import SettingsError
from cranberryshore.settings.check import check_document, parse_document
from cranberryshore.settings.intake import IntakeSettings
from cranberryshore.settings.interference import InterferenceSettings
from cranberryshore.settings.relief import ReliefSettings
from cranberryshore.settings.schema import LogSettings, Seconds
from cranberryshore.settings.speeds import SpeedSettings

SocketAddress = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
OptionalSocketAddress = Annotated[str, Meta(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5})?$")]
InstanceOrZoneName = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,100}$")]

MAX_EVACUATION_LIMIT_MS = 3_600_000
"""Upper limit of ``evacuation_limit_ms``, above that of any platform: one hour."""


@attrs.frozen
class OverloadSettings:
    """Settings for overloads of the control path.

    Parameters
    ----------
    is_enabled : bool
        Whether an overloaded scheduler limits the jobs of entry instances, and these refuse jobs
        that are not worth a submission.
    """

    is_enabled: bool = False


@attrs.frozen
class PoolSettings:
    """All settings of an entry instance of a pool.

    Parameters
    ----------
    listen, ready_listen, peer_listen, metrics_listen : str
        IPv4 address and port for callers, load balancer checks, peers and the metrics collector.
    store : str
        IPv4 address and port of the platform's store.
    peer_advertise : str
        IPv4 address and port that peers connect to, if different from ``peer_listen``.
    seeds : tuple of str
        Peer addresses of some instances, which may be out of date.
    processor_share, processor_speed : float
        Share of a core that this instance has, and the core's speed relative to a standard core.
    drain_seconds : float
        Maximum time for which a draining instance waits for unfinished jobs; must be shorter than
        the platform's termination grace period.
    relief : ReliefSettings
        Whether an overloaded scheduler is relieved.
    evacuation_limit_ms : int
        Time within which an evacuation of an availability zone must be in force, in milliseconds;
        0 if the platform has no evacuations.
    intake : IntakeSettings
        Limits on the input of HTTP clients.
    overload : OverloadSettings
        Behaviour while the scheduler falls behind.
    speeds : SpeedSettings
        Use of workers of different speeds.
    interference : InterferenceSettings
        Separation of tasks that slow each other down.
    """

    instance: InstanceOrZoneName
    zone: InstanceOrZoneName
    listen: SocketAddress
    ready_listen: SocketAddress
    peer_listen: SocketAddress
    metrics_listen: SocketAddress
    store: SocketAddress
    peer_advertise: OptionalSocketAddress = ""
    seeds: tuple[SocketAddress, ...] = ()
    processor_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    processor_speed: Annotated[float, Meta(gt=0, le=1024)] = 1.0
    drain_seconds: Seconds = 5.0
    log: LogSettings = LogSettings(is_json=True)
    relief: ReliefSettings = ReliefSettings()
    evacuation_limit_ms: Annotated[int, Meta(ge=0, le=MAX_EVACUATION_LIMIT_MS)] = 0
    intake: IntakeSettings = IntakeSettings()
    overload: OverloadSettings = OverloadSettings()
    speeds: SpeedSettings = SpeedSettings()
    interference: InterferenceSettings = InterferenceSettings()

    @property
    def peer_address(self) -> str:
        """Return the address at which peers reach this instance."""
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
