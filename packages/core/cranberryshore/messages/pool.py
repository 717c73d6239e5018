"""Messages between the entry instances of a pool: heartbeats, jobs and their outcomes."""

import attrs

from cranberryshore.keyword_arguments import optional_by_name
from cranberryshore.pool.claims import Claim, MemberAddress
from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.evacuation import ZoneEvacuations
from cranberryshore.pool.job_failure import JobFailure
from cranberryshore.pool.lost_run import LostRun
from cranberryshore.pool.overload.load_report import LoadReport
from cranberryshore.pool.stream import StreamPosition
from cranberryshore.pool.work import Outcome, WorkRequest
from cranberryshore.pool.worker_registration import WorkerRegistration


@attrs.frozen(field_transformer=optional_by_name)
class Beat:
    """Periodic heartbeat: followers send it to the scheduler, the scheduler to all instances.

    An instance that follows no scheduler sends it to those that may become one.

    Parameters
    ----------
    epoch : int
        Number of times the sender has switched to another scheduler.
    stream, received : int
        Cumulative acknowledgement of the receiver's stream ``stream``, up to number ``received``.
    sent_at : float
        Sender's monotonic clock, in seconds.
    claim : Claim or None
        Workers that the sender claims if it is a scheduler.
    follows : str
        Incarnation of the sender's scheduler; empty if none.
    successor : str
        Incarnation that takes over scheduling; set by a scheduler that shuts down.
    hears_receiver : bool
        Whether the sender has recently received a message from the receiver.
    echo : float or None
        Time on the receiver's monotonic clock at which it has sent the latest heartbeat that the
        sender has received from it; ``None`` in heartbeats of earlier versions.
    known_epoch : int or None
        Latest epoch of the receiver that the sender has taken note of. A scheduler has by then
        dropped the jobs that the receiver submitted in earlier epochs.
    config_age : float or None
        Seconds since the sender's configuration was last known to be the newest one; ``None`` if it
        knows of a newer one, and in heartbeats of earlier versions.
    store_age : float or None
        Seconds since the platform's store has last answered the sender; ``None`` if it has not, and
        in heartbeats of earlier versions.
    listing_age : float or None
        Seconds since the registrations were read from the store by which the sender schedules;
        ``None`` if it does not schedule, and in heartbeats of earlier versions.
    evacuations : ZoneEvacuations or None
        Evacuations in force that the sender knows; ``None`` as long as it has never known of any,
        and in heartbeats of earlier versions.
    load : LoadReport or None
        Limit of the receiver's jobs, from an overloaded scheduler; ``None`` if the sender keeps up
        or does not schedule, and in heartbeats of earlier versions.
    members : tuple of MemberAddress
        Live instances known to the sender. Schedulers include them in some heartbeats only. An
        instance that receives heartbeats of two schedulers sends the address of the one that it
        follows to the other, since the two may not know of each other.
    """

    sender: MemberAddress
    config_version: int
    epoch: int
    stream: int
    received: int
    sent_at: float
    is_draining: bool = False
    claim: Claim | None = None
    follows: str = ""
    roster_version: int = 0
    successor: str = ""
    hears_receiver: bool = False
    members: tuple[MemberAddress, ...] = ()
    echo: float | None = None
    known_epoch: int | None = None
    config_age: float | None = None
    store_age: float | None = None
    listing_age: float | None = None
    evacuations: ZoneEvacuations | None = None
    load: LoadReport | None = None


@attrs.frozen
class SubmitWork:
    """Submission of a job by an entry instance to the scheduler that it follows.

    Parameters
    ----------
    place : StreamPosition
        Position in the sender's stream of messages to this scheduler.
    epoch : int
        Sender's epoch at submission; the scheduler drops jobs of the sender's earlier epochs.
    echo : float
        Sender's estimate of the scheduler's monotonic clock at submission, from its last heartbeat.
        It lets the scheduler reject a message that a network partition has delayed, because the
        sender may have resubmitted the job to another scheduler meanwhile.
    term : int or None
        Term of the claim that it is meant for: only within a claim does a scheduler know which
        tasks it has started. ``None`` in messages of earlier versions.
    """

    place: StreamPosition
    request: WorkRequest
    epoch: int
    echo: float
    term: int | None = None


@attrs.frozen
class CancelWork:
    """Cancels a job: the caller has disconnected, or the sender stops or changes scheduler.

    At a change of scheduler, it replaces an unacknowledged ``SubmitWork`` in the stream to the
    former scheduler and has the same ``place``.
    """

    place: StreamPosition
    job: str


@attrs.frozen(field_transformer=optional_by_name)
class WorkEnded:
    """Reports the outcome of a job to the entry instance that submitted it.

    Parameters
    ----------
    is_cancelled : bool
        Whether a caller has cancelled the job. Its outcome is then ``GIVEN_UP``, the closest one
        that earlier versions know.
    is_late : bool
        Whether a job was dropped only because its submission was read too late: this scheduler has
        never started it. Earlier versions submit it again.
    """

    place: StreamPosition
    job: str
    outcome: Outcome
    detail: str = ""
    retry_after_ms: int = 0
    failure: JobFailure | None = None
    is_cancelled: bool = False
    is_late: bool = False


@attrs.frozen
class CancelRequest:
    """Asks the scheduler to cancel jobs, and to confirm it when all instances refuse them."""

    jobs: tuple[str, ...]


@attrs.frozen
class CancelConfirmed:
    """Confirms a ``CancelRequest``: no task of the jobs is started any more."""

    jobs: tuple[str, ...]


@attrs.frozen
class CancelNews:
    """Cancelled jobs, which the receiver has to end and to refuse from now on.

    Parameters
    ----------
    number : int
        Number of the last job at the sender, which the receiver confirms.
    is_for_zone : bool
        Whether the receiver confirms them as a scheduler, when its availability zone knows of them.
    """

    number: int
    jobs: tuple[str, ...]
    is_for_zone: bool = False


@attrs.frozen
class CancelNewsNoted:
    """Confirms the ``CancelNews`` of the receiver up to a number."""

    number: int


CancelMessage = CancelRequest | CancelConfirmed | CancelNews | CancelNewsNoted


@attrs.frozen
class LossNews:
    """Runs that were lost with their workers, as the scheduler has recorded them."""

    lost_runs: tuple[LostRun, ...]


@attrs.frozen
class ConfigRequest:
    """Requests the receiver's configuration, of which the sender knows the version only."""

    version: int


@attrs.frozen
class ConfigNews:
    """The sender's active configuration, which is newer than the receiver's."""

    config: PoolConfig


@attrs.frozen
class RosterNews:
    """The list of workers as the sender last read it from the platform."""

    version: int
    workers: tuple[WorkerRegistration, ...]


@attrs.frozen
class RosterChanges:
    """The changes of the list of workers since a version that the receiver has.

    Parameters
    ----------
    base : int
        Version of the list that the changes refer to.
    changed : tuple of WorkerRegistration
        Workers that were added or whose registrations differ.
    removed : tuple of str
        Names of the workers that are not in the list any more.
    """

    base: int
    version: int
    changed: tuple[WorkerRegistration, ...] = ()
    removed: tuple[str, ...] = ()
