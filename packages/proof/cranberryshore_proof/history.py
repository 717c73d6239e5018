"""Records of what callers, operators, workers and upstreams observed, for the checks."""

from typing import Any

import attrs


@attrs.frozen
class ObservedAnswer:
    """One answer to a submission, query or cancellation.

    In a refusal or a failure, ``claim`` tells whether the job may have run and ``type`` the kind
    of error. ``is_final`` is false if the caller has to ask again for the outcome.
    """

    at: float
    state: str
    outputs: tuple[str, ...] | None
    claim: str | None
    type: str | None
    is_final: bool
    id: str = ""


@attrs.define
class JobHistory:
    """What one caller sent and received about one job.

    ``id`` is empty if the job was submitted with the idempotency key ``key`` instead.
    """

    id: str
    caller: str
    payloads: tuple[str, ...]
    key: str = ""
    sent: list[float] = attrs.field(factory=list)
    answers: list[ObservedAnswer] = attrs.field(factory=list)
    unanswered: int = 0


@attrs.define
class RequestHistory:
    """One request to an upstream, as its caller observed it.

    ``claim`` tells whether a refused request may have run.
    """

    nonce: str
    is_idempotent: bool
    entry: str
    sent: float
    answered: float | None = None
    body: str | None = None
    claim: str | None = None


@attrs.frozen
class ChangeHistory:
    """One operator's attempt at a configuration change, and its answer.

    ``outcome`` is ``"accepted"``, ``"refused"`` or, if the operator cannot tell, ``"unknown"``.
    """

    at: float
    operator: str
    change_id: str
    value: int
    expected_generation: int
    outcome: str
    revision: int
    generation: int


@attrs.frozen
class ConfigSample:
    """Configuration applied in one run of an entry instance at one moment.

    ``resources`` holds keys and generations; ``is_running`` is false while frozen.
    """

    at: float
    entry: str
    run: int
    revision: int
    resources: tuple[tuple[str, int], ...]
    is_running: bool


@attrs.frozen
class ObservedTaskStart:
    """One task start, as recorded by the worker."""

    at: float
    worker: str
    owner: str
    job: str
    index: int


@attrs.frozen
class UpstreamDeparture:
    """Time at which an upstream was published as leaving in the instance list."""

    upstream: str
    at: float


@attrs.frozen
class InstanceDrain:
    """Graceful shutdown of one run of an entry instance."""

    entry: str
    run: int
    at: float
    ended_at: float | None


@attrs.define
class History:
    """All observations of one simulation.

    Parameters
    ----------
    runs : list of tuple
        Time, upstream and nonce of each request run.
    disruptions : list of tuple
        Begin, end and instance of each fault that excuses violations; an empty name stands for
        all instances.
    list_outages : list of tuple
        Begin, end and zone of each cut between a zone and the instance list.
    faults_in_flight : int
        Faults injected while a task or request was in progress.
    """

    jobs: list[JobHistory] = attrs.field(factory=list)
    requests: list[RequestHistory] = attrs.field(factory=list)
    changes: list[ChangeHistory] = attrs.field(factory=list)
    samples: list[ConfigSample] = attrs.field(factory=list)
    starts: list[ObservedTaskStart] = attrs.field(factory=list)
    runs: list[tuple[float, str, str]] = attrs.field(factory=list)
    departures: list[UpstreamDeparture] = attrs.field(factory=list)
    drains: list[InstanceDrain] = attrs.field(factory=list)
    disruptions: list[tuple[float, float, str]] = attrs.field(factory=list)
    list_outages: list[tuple[float, float, str]] = attrs.field(factory=list)
    service_in_store: dict[str, Any] = attrs.field(factory=dict)
    service_revision_in_store: int = 0
    faults_in_flight: int = 0
    faults: int = 0
