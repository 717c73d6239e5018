"""What callers, operators and observers saw, recorded for the checks."""

from typing import Any

import attrs


@attrs.frozen
class SeenAnswer:
    """One answer to a submission, query or cancellation.

    ``claim`` is ``None`` unless the answer is a refusal or a failure; ``is_final`` is false for
    answers that ask to come back for the outcome.
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
    """Everything one caller did and saw about one job."""

    id: str
    caller: str
    payloads: tuple[str, ...]
    key: str = ""
    sent: list[float] = attrs.field(factory=list)
    answers: list[SeenAnswer] = attrs.field(factory=list)
    unanswered: int = 0


@attrs.define
class RequestHistory:
    """One request as its caller saw it."""

    nonce: str
    is_idempotent: bool
    entry: str
    sent: float
    answered: float | None = None
    body: str | None = None
    claim: str | None = None


@attrs.frozen
class ChangeHistory:
    """One operator's change and what it was told."""

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
    """The configuration in force in one run of one entry instance at one moment."""

    at: float
    entry: str
    run: int
    revision: int
    resources: tuple[tuple[str, int], ...]
    is_reachable: bool


@attrs.frozen
class TaskStartSeen:
    """One task start as a worker saw it."""

    at: float
    worker: str
    owner: str
    job: str
    index: int


@attrs.frozen
class LeavingSeen:
    """When an upstream was listed as leaving."""

    upstream: str
    at: float


@attrs.frozen
class DrainSeen:
    """When an entry instance was told to leave, and whether anything else hurt it."""

    entry: str
    run: int
    at: float
    ended_at: float | None


@attrs.define
class History:
    """All that was seen in one run."""

    jobs: list[JobHistory] = attrs.field(factory=list)
    requests: list[RequestHistory] = attrs.field(factory=list)
    changes: list[ChangeHistory] = attrs.field(factory=list)
    samples: list[ConfigSample] = attrs.field(factory=list)
    starts: list[TaskStartSeen] = attrs.field(factory=list)
    runs: list[tuple[float, str, str]] = attrs.field(factory=list)
    leavings: list[LeavingSeen] = attrs.field(factory=list)
    drains: list[DrainSeen] = attrs.field(factory=list)
    hurt: list[tuple[float, float, str]] = attrs.field(factory=list)
    list_cuts: list[tuple[float, float, str]] = attrs.field(factory=list)
    stored: dict[str, Any] = attrs.field(factory=dict)
    stored_revision: int = 0
    faults_in_flight: int = 0
    faults: int = 0
