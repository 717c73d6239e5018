"""Settings of ``cranberryshored``, the entry daemon."""

from enum import Enum
from typing import Annotated

import attrs
from msgspec import Meta
from result import Err, Ok, Result

from cranberryshore.errors import SettingsError
from cranberryshore.settings.check import check_document, parse_document
from cranberryshore.settings.dispatch import DispatchSettings
from cranberryshore.settings.intake import IntakeSettings

Name = Annotated[str, Meta(pattern=r"^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Host = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$")]
Url = Annotated[str, Meta(pattern=r"^http://[0-9.]+:[0-9]+$")]
Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]


class Role(Enum):
    """Permissions of the bearer of a token."""

    CALLER = "caller"
    OPERATOR = "operator"


@attrs.frozen
class Address:
    """An IPv4 address and a port."""

    host: Host
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class TokenSettings:
    """SHA-256 digest of a token, and the role and teams of its bearer."""

    name: Name
    sha256: Digest
    role: Role = Role.CALLER
    teams: tuple[Name, ...] = ("default",)


@attrs.frozen
class PlatformSettings:
    """Access to the platform's services."""

    store_url: Url
    instance_list_url: Url
    instance_list_poll_seconds: Seconds = 1.0
    call_timeout_seconds: Seconds = 1.0


@attrs.frozen
class TimingSettings:
    """Periods and timeouts of the daemon.

    Parameters
    ----------
    heartbeat_seconds : float
        Period of the heartbeats to the peers of the availability zone.
    tick_seconds : float
        Period of the checks for expired deadlines.
    worker_lost_seconds : float
        Time without a message from a worker after which its tasks count as lost.
    drain_seconds : float
        Maximum time that a draining instance continues its accepted work.
    closure_seconds : float
        Time without a message from an issuer after which a peer may close its ownership; more than
        two heartbeat periods, so that one lost heartbeat does not make an issuer silent.
    readiness_grace_seconds : float
        Minimum time for which a draining instance, reported as not ready, still listens.
    evidence_seconds : float
        Period of the writes of evidence to the store.
    """

    heartbeat_seconds: Seconds = 0.3
    tick_seconds: Seconds = 0.05
    worker_lost_seconds: Seconds = 3.0
    drain_seconds: Seconds = 20.0
    closure_seconds: Seconds = 3.0
    readiness_grace_seconds: Seconds = 1.0
    evidence_seconds: Seconds = 30.0


@attrs.frozen
class LimitSettings:
    """Limits on what callers may send.

    Parameters
    ----------
    wait_ms : int
        Maximum time that a query may wait for the end of a job or for a change.
    issued_ids : int
        Maximum number of submission ids per request.
    key_bindings_per_second : float
        Rate per instance of jobs with idempotency keys, each of which costs a write to the store.
    """

    body_bytes: Count = 9_000_000
    wait_ms: Count = 30_000
    issued_ids: Count = 1000
    key_bindings_per_second: Annotated[float, Meta(gt=0, le=500)] = 20.0


@attrs.frozen
class LogSettings:
    """Format and level of the log."""

    is_json: bool = False
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


@attrs.frozen
class DaemonSettings:
    """All settings of an entry daemon.

    Parameters
    ----------
    listen : Address
        Address for callers and operators.
    peer_listen : Address
        Address for peers.
    seeds : tuple of Address
        Peer addresses to contact at start, in addition to those of the instance list.
    records_trace : bool
        Whether to record the inputs of the dispatcher for ``/v1/trace``.
    intake : IntakeSettings
        Limits on the input of HTTP clients.
    """

    instance: Name
    zone: Name
    listen: Address
    peer_listen: Address
    platform: PlatformSettings
    tokens: tuple[TokenSettings, ...]
    seeds: tuple[Address, ...] = ()
    timing: TimingSettings = TimingSettings()
    limits: LimitSettings = LimitSettings()
    dispatch: DispatchSettings = DispatchSettings()
    log: LogSettings = LogSettings()
    records_trace: bool = False
    intake: IntakeSettings = IntakeSettings()


def load_daemon_settings(text: str) -> Result[DaemonSettings, list[SettingsError]]:
    """Parse and check the text of a daemon's settings file.

    Examples
    --------
    >>> str(load_daemon_settings("{").unwrap_err()[0].path)
    '$'
    """
    document = parse_document(text)
    if isinstance(document, Err):
        return document
    return check_document(document.ok_value, DaemonSettings).and_then(_check_consistency)


def _check_consistency(settings: DaemonSettings) -> Result[DaemonSettings, list[SettingsError]]:
    names = [token.name for token in settings.tokens]
    faults = []
    for index, name in enumerate(names):
        if name in names[:index]:
            path = f"$.tokens[{index}].name"
            faults.append(SettingsError(path, repr(name), "a unique token name"))
    if settings.listen == settings.peer_listen:
        value = str(settings.peer_listen)
        faults.append(SettingsError("$.peer_listen", value, "an address other than listen"))
    timing = settings.timing
    if timing.closure_seconds <= 2 * timing.heartbeat_seconds:
        value = str(timing.closure_seconds)
        expected = "more than twice heartbeat_seconds"
        faults.append(SettingsError("$.timing.closure_seconds", value, expected))
    return Err(faults) if faults else Ok(settings)
