"""Messages between entry daemons; the entry instances of a pool use other messages."""

import attrs

from cranberryshore.config.state import Change, Snapshot
from cranberryshore.errors import Refusal
from cranberryshore.placement.shared_pool import Grant
from cranberryshore.timeline.event import Event
from cranberryshore.work.capacity import Capacity
from cranberryshore.work.job import JobState
from cranberryshore.work.task import JobRequest

JOBS_SCOPE = "jobs"
"""Scope of loans of worker capacity; loans of upstream slots have the scope of their service."""


@attrs.frozen
class KnownPeer:
    """A peer from which the sender has received messages."""

    incarnation: str
    address: str


@attrs.frozen
class Heartbeat:
    """Sent periodically to every peer of the availability zone.

    Parameters
    ----------
    address : str
        Address at which the sender accepts messages.
    follows_store : bool
        Whether the sender reads configuration changes from the store, not only from peers.
    known : tuple of KnownPeer
        Peers known to the sender; included in some heartbeats only.
    """

    address: str
    is_draining: bool
    config_revision: int
    follows_store: bool = False
    known: tuple[KnownPeer, ...] = ()


@attrs.frozen
class Demands:
    """Demand of each team at one source: millicores of its running and waiting tasks.

    Parameters
    ----------
    source : str
        Incarnation of an instance, or ``zone:`` and the name of an availability zone.
    changed : dict
        New demand by team; zero removes a team.
    is_whole : bool
        Whether the demand of teams absent from ``changed`` is zero.
    relayed_by : str
        Instance that relays the demand of another availability zone; empty if not relayed.
    """

    source: str
    changed: dict[str, int]
    is_whole: bool
    relayed_by: str = ""


@attrs.frozen
class Leave:
    """Announces that the sender is stopping."""


@attrs.frozen
class LoanAsk:
    """Requests to borrow ``count`` times ``demand``; zero withdraws the request."""

    scope: str
    demand: Capacity
    count: int


@attrs.frozen
class LoanGrants:
    """Capacity that the sender lends to the receiver."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanReturns:
    """Capacity that the sender had borrowed and returns."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoansHeld:
    """Capacity that the sender uses on workers or upstreams just assigned to the receiver."""

    scope: str
    grants: tuple[Grant, ...]


@attrs.frozen
class LoanRecall:
    """Asks the receiver to return what it has borrowed of these workers or upstreams."""

    scope: str
    resources: tuple[str, ...]


@attrs.frozen
class IsolatedWorker:
    """Announces the isolation, for ``seconds``, of a worker incarnation whose tasks all fail."""

    worker: str
    incarnation: str
    seconds: float


@attrs.frozen
class SubmitCall:
    """Forwarded submission of a job."""

    id: str
    caller: str
    request: JobRequest


@attrs.frozen
class JobQuery:
    """Forwarded query for a job, answered when the job ends or after ``wait_ms``."""

    id: str
    caller: str
    wait_ms: int


@attrs.frozen
class CancelCall:
    """Forwarded cancellation of a job."""

    id: str
    caller: str


@attrs.frozen
class TimelineQuery:
    """Query for the events about a subject."""

    subject: str


@attrs.frozen
class ConfigQuery:
    """Query for the changes after a revision, or for a snapshot if it is negative."""

    after: int


@attrs.frozen
class RolloutQuery:
    """Query for the active configuration revision."""


@attrs.frozen
class RolloutAnswer:
    """The active configuration revision of one instance."""

    incarnation: str
    revision: int


@attrs.frozen
class JobAnswer:
    """State and result of a job as the caller sees them.

    ``outputs`` holds the outputs of all tasks in order if the job is complete, else ``None``:
    there are no partial results.
    """

    id: str
    state: JobState
    task_count: int
    outputs: tuple[str, ...] | None = None
    failure: Refusal | None = None


@attrs.frozen
class TimelineAnswer:
    """Events about a subject; ``dropped`` counts those evicted from the bounded record."""

    events: tuple[Event, ...]
    dropped: int


@attrs.frozen
class ConfigAnswer:
    """Changes after the requested revision, or a snapshot if some are no longer retained."""

    revision: int
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


@attrs.frozen
class PeerCall:
    """A request to a peer, which sends the ``PeerReply`` to the address ``reply_to``."""

    number: int
    reply_to: str
    kind: str
    body: bytes


@attrs.frozen
class PeerReply:
    """The response to the ``PeerCall`` of the same number."""

    number: int
    kind: str
    body: bytes
