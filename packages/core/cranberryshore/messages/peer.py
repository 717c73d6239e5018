"""Messages between entry daemons."""

import attrs

from cranberryshore.config.state import Change, Snapshot
from cranberryshore.errors import Refusal
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.timeline.event import Event
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import JobState
from cranberryshore.work.task import JobRequest

JOBS_SCOPE = "jobs"


@attrs.frozen
class KnownPeer:
    """A peer that the sender has heard."""

    incarnation: str
    address: str


@attrs.frozen
class Heartbeat:
    """Sent periodically to every peer of the zone; ``known`` is there now and then only."""

    address: str
    is_draining: bool
    config_revision: int
    follows_store: bool = False
    known: tuple[KnownPeer, ...] = ()


@attrs.frozen
class Demands:
    """Demand of one source by team, in millicores running and waiting.

    Parameters
    ----------
    source : str
        Incarnation of an instance, or ``zone:`` and the name of an availability zone.
    changed : dict
        Demand of the teams for which it has changed; zero removes a team.
    is_whole : bool
        Whether ``changed`` holds all teams with a demand, so that others are zero.
    relayed_by : str
        Instance that passes on what came from another zone; empty at the origin.
    """

    source: str
    changed: dict[str, int]
    is_whole: bool
    relayed_by: str = ""


@attrs.frozen
class Leave:
    """The sender stops now."""


@attrs.frozen
class LoanAsk:
    """The sender has a backlog of ``count`` copies of ``demand``; zero withdraws."""

    scope: str
    demand: Capacity
    count: int


@attrs.frozen
class LoanGrants:
    """The sender lends."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanReturns:
    """The sender returns what it had borrowed."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoansHeld:
    """The sender holds this on resources that have just been assigned to the receiver."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanRecall:
    """The sender needs what it has lent of these resources."""

    scope: str
    resources: tuple[str, ...]


@attrs.frozen
class IsolatedWorker:
    """The sender has isolated a worker incarnation on which everything fails."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class SubmitCall:
    """Forwarded submission."""

    id: str
    caller: str
    request: JobRequest


@attrs.frozen
class JobQuery:
    """Forwarded question for a job, answered at its end or after ``wait_ms``."""

    id: str
    caller: str
    wait_ms: int


@attrs.frozen
class CancelCall:
    """Forwarded cancellation."""

    id: str
    caller: str


@attrs.frozen
class TimelineQuery:
    """Question for the events about a subject."""

    subject: str


@attrs.frozen
class ConfigQuery:
    """Question for the configuration after a revision."""

    after: int


@attrs.frozen
class RolloutQuery:
    """Question for the revision in force."""


@attrs.frozen
class RolloutAnswer:
    """The revision in force in one instance."""

    incarnation: str
    revision: int


@attrs.frozen
class JobAnswer:
    """What a caller learns of its job.

    ``outputs`` holds every task's output in order if the job is complete, and is ``None``
    otherwise: there are no partial answers.
    """

    id: str
    state: JobState
    task_count: int
    outputs: tuple[str, ...] | None = None
    failure: Refusal | None = None


@attrs.frozen
class TimelineAnswer:
    """Events about the asked subject; ``dropped`` counts those lost to the bound."""

    events: tuple[Event, ...]
    dropped: int


@attrs.frozen
class ConfigAnswer:
    """Changes after the asked revision, or a snapshot where they are not all remembered."""

    revision: int
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


@attrs.frozen
class PeerCall:
    """A question to a peer; ``kind`` names the type of ``body``."""

    number: int
    reply_to: str
    kind: str
    body: bytes


@attrs.frozen
class PeerReply:
    """The answer to the call of the same number."""

    number: int
    kind: str
    body: bytes
