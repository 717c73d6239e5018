"""Messages between the instances of a pool: beats, work and its ends."""

import attrs

from cranberryshore.pool.config import PoolConfig
from cranberryshore.pool.group import Claim, MemberAddress
from cranberryshore.pool.stream import StreamPosition
from cranberryshore.pool.work import Outcome, WorkRequest
from cranberryshore.pool.worker_registration import WorkerRegistration


@attrs.frozen
class Beat:
    """Sent periodically, to the scheduler by the others and to everyone by the scheduler.

    Parameters
    ----------
    sender : MemberAddress
        Who sends it.
    config_version : int
        Version of the configuration in force there.
    epoch : int
        How often the sender has changed the scheduler that it follows.
    stream, received : int
        All messages of this stream of the receiver up to this number have arrived.
    sent_at : float
        Sender's steady clock, in seconds.
    is_draining : bool
        Whether the sender is leaving.
    claim : Claim or None
        What the sender schedules, if it is a scheduler.
    follows : str
        Incarnation of the scheduler that the sender hands its work to.
    roster_version : int
        Version of the list of workers that the sender knows.
    successor : str
        Incarnation that is to schedule from now on, told by a scheduler that leaves.
    hears_receiver : bool
        Whether the sender has heard the receiver lately.
    members : tuple of MemberAddress
        Whom the sender hears; told by schedulers, now and then. An instance that hears two
        schedulers tells the other one of the one that it follows.
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


@attrs.frozen
class SubmitWork:
    """An entry instance hands a job to the scheduler that it follows.

    Parameters
    ----------
    place : Place
        Place among the sender's messages to this scheduler.
    request : WorkRequest
        The job.
    epoch : int
        How often the sender had changed its scheduler; work of an earlier epoch is void.
    echo : float
        The scheduler's steady clock when this was sent, as its last beat told it. A message that
        a cut has held up is known by it: its sender may have handed the job to another one.
    """

    place: StreamPosition
    request: WorkRequest
    epoch: int
    echo: float


@attrs.frozen
class CancelWork:
    """The caller of a job has left."""

    place: StreamPosition
    job: str


@attrs.frozen
class WorkEnded:
    """A job has ended."""

    place: StreamPosition
    job: str
    outcome: Outcome
    detail: str = ""
    retry_after_ms: int = 0


@attrs.frozen
class ConfigNews:
    """The configuration in force at the sender, which is newer than the receiver's."""

    config: PoolConfig


@attrs.frozen
class RosterNews:
    """The list of workers as the sender has last read it from the platform."""

    version: int
    workers: tuple[WorkerRegistration, ...]
