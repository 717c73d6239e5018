"""Cancelled jobs: who has to know of them before a cancel can be acknowledged.

A job may be started by every scheduler that gets it, from every entry instance that a caller sends
it to. A cancel therefore holds when every instance that may be alive refuses the job. Each instance
remembers cancelled jobs; a scheduler passes them on to the others, counts their confirmations, and
tells the instance that was asked when none is missing. A silent instance is awaited as long as it
is registered with the platform: it may be cut off, with the job and a scheduler on its side.
"""

import attrs

from cranberryshore.pool.claims import Member, MemberAddress
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS, Group

RETENTION_SECONDS = 60.0
"""Time for which a cancelled job is remembered, longer than callers repeat their requests."""

MAX_CANCELLED_JOBS = 20_000
"""Number of cancelled jobs that are remembered; further ones are not accepted."""

MAX_JOBS_PER_BATCH = 1000

RESEND_SECONDS = 0.2
"""Time after which an unconfirmed message is sent again."""

REPLY_SECONDS = 10.0
"""Time after which a scheduler gives up to confirm a cancel; the asking instance asks again."""


@attrs.frozen
class CancelEntry:
    """Number of a cancelled job in the order of the cancels, and time of the latest cancel."""

    number: int
    at: float


@attrs.define(eq=False)
class CancelledJobs:
    """Jobs that this instance refuses because they were cancelled.

    Examples
    --------
    >>> cancelled = CancelledJobs()
    >>> cancelled.note("a", 0.0), cancelled.note("b", 0.0), cancelled.note("a", 1.0)
    (1, 2, 1)
    >>> cancelled.renew("a", 2.0), "a" in cancelled, "c" in cancelled
    (3, True, False)
    >>> cancelled.after(1, 10)
    (3, ('b', 'a'))
    """

    last_number: int = 0
    entries: dict[str, CancelEntry] = attrs.field(factory=dict)

    def __contains__(self, job: str) -> bool:
        return job in self.entries

    def note(self, job: str, now: float) -> int | None:
        """Remember a job that a peer has passed on, and return its number.

        A known job keeps its number, so that two schedulers do not pass it on to each other for
        ever. Returns ``None`` if too many jobs are remembered.
        """
        known = self.entries.get(job)
        if known is None:
            return self.renew(job, now)
        self.entries[job] = CancelEntry(known.number, now)
        return known.number

    def renew(self, job: str, now: float) -> int | None:
        """Remember a job that a caller has cancelled, under a new number.

        Returns ``None`` if too many jobs are remembered.
        """
        self.entries.pop(job, None)
        self._forget_old(now)
        if len(self.entries) >= MAX_CANCELLED_JOBS:
            return None
        self.last_number += 1
        self.entries[job] = CancelEntry(self.last_number, now)
        return self.last_number

    def after(self, number: int, count: int) -> tuple[int, tuple[str, ...]]:
        """Return the first jobs after a number, and the number up to which they reach."""
        jobs: list[str] = []
        for job, entry in reversed(self.entries.items()):
            if entry.number <= number:
                break
            jobs.append(job)
        chosen = tuple(reversed(jobs))[:count]
        return (self.entries[chosen[-1]].number if chosen else self.last_number), chosen

    def before(self, moment: float) -> tuple[str, ...]:
        """Return the jobs whose latest cancel was before a time."""
        return tuple(job for job, entry in self.entries.items() if entry.at < moment)

    def _forget_old(self, now: float) -> None:
        for job, entry in list(self.entries.items()):
            if entry.at > now - RETENTION_SECONDS:
                break
            del self.entries[job]


@attrs.define(eq=False)
class Recipient:
    """Instance that a scheduler passes cancelled jobs on to.

    Parameters
    ----------
    heard_at, listed_at : float
        Time at which it was last heard, and listed by a scheduler or by the platform.
    known : int
        Number up to which it has confirmed the cancelled jobs.
    sent : int
        Number that the message under way reaches; not above ``known`` if there is none.
    """

    at: MemberAddress
    is_scheduler: bool = False
    heard_at: float = float("-inf")
    listed_at: float = float("-inf")
    known: int = 0
    sent: int = 0
    sent_at: float = float("-inf")

    def is_silent(self, now: float) -> bool:
        """Return whether nothing was heard of it within the peer timeout."""
        return now - self.heard_at >= PEER_TIMEOUT_SECONDS


@attrs.frozen
class CancelBatch:
    """Cancelled jobs to send to an instance.

    Parameters
    ----------
    number : int
        Number of the last one at this scheduler, which the receiver confirms.
    is_for_zone : bool
        Whether the receiver, a scheduler, confirms for all instances of its availability zone.
    """

    receiver: str
    number: int
    jobs: tuple[str, ...]
    is_for_zone: bool


@attrs.frozen
class OwedReply:
    """Confirmation that a scheduler owes to an instance.

    Parameters
    ----------
    receiver : str
        Incarnation of the instance; that of the scheduler itself for its own callers.
    jobs : tuple of str
        Jobs that a caller of the receiver has cancelled; empty if the receiver is the scheduler of
        another zone, which has sent a batch.
    batch : int
        Number of this batch at the receiver.
    number : int
        Number of the last of the jobs at this instance.
    """

    receiver: str
    jobs: tuple[str, ...]
    batch: int
    number: int
    since: float

    @property
    def is_for_zone(self) -> bool:
        """Return whether only the instances of the own zone have to know of the jobs."""
        return not self.jobs


@attrs.define(eq=False)
class CancelSpread:
    """Knowledge of a scheduler, within one claim, of the cancelled jobs that its peers remember.

    In a divided pool, a scheduler passes them on in its availability zone and to the schedulers of
    the others, which confirm when their zones know of them.

    Parameters
    ----------
    owed : list of OwedReply
        Confirmations that are due when no instance is missing.
    """

    cancelled: CancelledJobs
    group: Group
    term: int
    recipients: dict[str, Recipient] = attrs.field(factory=dict)
    owed: list[OwedReply] = attrs.field(factory=list)

    @property
    def is_divided(self) -> bool:
        """Return whether each availability zone has a scheduler of its own."""
        return self.group.claim is not None and self.group.claim.is_divided

    def owe(self, reply: OwedReply) -> None:
        """Confirm cancelled jobs when no instance is missing."""
        self.owed.append(reply)

    def is_owed(self, receiver: str, jobs: tuple[str, ...], batch: int = 0) -> bool:
        """Return whether a message has been repeated that is still to be confirmed."""
        return any(
            (reply.receiver, reply.jobs, reply.batch) == (receiver, jobs, batch)
            for reply in self.owed
        )

    def observe(self, now: float) -> None:
        """Add the members that have to know of cancelled jobs, and remove those that are gone."""
        for name, member in self.group.members.items():
            if not self._must_know(member):
                self.recipients.pop(name, None)
                continue
            recipient = self.recipients.setdefault(name, Recipient(member.at))
            recipient.heard_at, recipient.listed_at = member.heard_at, member.listed_at
            recipient.is_scheduler = member.claim is not None
        # A member that is silent for long is removed from the group, although it may be cut off.
        for name, recipient in list(self.recipients.items()):
            if self._is_gone(recipient, now):
                del self.recipients[name]

    def _must_know(self, member: Member) -> bool:
        is_near = not self.is_divided or member.at.zone == self.group.own.zone
        return is_near or member.claim is not None

    def _is_gone(self, recipient: Recipient, now: float) -> bool:
        """Return whether an instance has certainly ended, or has lost the platform as well."""
        if not recipient.is_silent(now):
            return False
        at, group = recipient.at, self.group
        if any(
            member.at.address == at.address and member.at.incarnation != at.incarnation
            for member in group.members.values()
        ):
            return True
        is_read_since = group.listed_at > max(recipient.heard_at, recipient.listed_at)
        return group.listed is not None and is_read_since and at.address not in group.listed

    def due(self, now: float) -> list[CancelBatch]:
        """Return the batches to send now."""
        batches = (self.next_batch(name, now) for name in self.recipients)
        return [batch for batch in batches if batch is not None]

    def next_batch(self, name: str, now: float) -> CancelBatch | None:
        """Return the batch to send to an instance now, ``None`` if there is none.

        Only one batch is under way to each instance, so that batches grow with the load.
        """
        recipient = self.recipients.get(name)
        if recipient is None or recipient.known >= self.cancelled.last_number:
            return None
        is_under_way = recipient.sent > recipient.known
        if recipient.is_silent(now) or is_under_way and now - recipient.sent_at < RESEND_SECONDS:
            return None
        number, jobs = self.cancelled.after(recipient.known, MAX_JOBS_PER_BATCH)
        if not jobs:
            return None
        recipient.sent, recipient.sent_at = number, now
        is_for_zone = self.is_divided and recipient.at.zone != self.group.own.zone
        return CancelBatch(name, number, jobs, is_for_zone)

    def confirm(self, name: str, number: int) -> None:
        """Record that an instance remembers all cancelled jobs up to a number."""
        recipient = self.recipients.get(name)
        if recipient is not None:
            recipient.known = max(recipient.known, number)

    def settled(self) -> list[OwedReply]:
        """Return the confirmations for which no instance is missing."""
        if not self.owed:
            return []
        everywhere = self._confirmed_number(is_for_zone=False)
        in_zone = self._confirmed_number(is_for_zone=True)
        return [
            reply
            for reply in self.owed
            if reply.number <= (in_zone if reply.is_for_zone else everywhere)
        ]

    def settle(self) -> list[OwedReply]:
        """Remove and return the confirmations for which no instance is missing."""
        settled = self.settled()
        if settled:
            self.owed = [reply for reply in self.owed if reply not in settled]
        return settled

    def expire(self, now: float) -> list[OwedReply]:
        """Remove and return the confirmations that have become too old."""
        expired = [reply for reply in self.owed if now - reply.since > REPLY_SECONDS]
        if expired:
            self.owed = [reply for reply in self.owed if now - reply.since <= REPLY_SECONDS]
        return expired

    def missing(self, number: int) -> list[str]:
        """Return the instances, and zones without a scheduler, that have not confirmed a number."""
        names = [item.at.incarnation for item in self._near() if item.known < number]
        zones = [zone for zone, known in self._known_by_zone().items() if known < number]
        return sorted(names) + [f"zone {zone}" for zone in sorted(zones)]

    def awaits_silent(self, now: float) -> bool:
        """Return whether a confirmation waits for an instance that may have ended."""
        highest = max((reply.number for reply in self.owed), default=0)
        return any(item.known < highest and item.is_silent(now) for item in self._near())

    def _near(self) -> list[Recipient]:
        """Return the instances whose confirmations this scheduler awaits one by one."""
        if not self.is_divided:
            return list(self.recipients.values())
        own = self.group.own.zone
        return [item for item in self.recipients.values() if item.at.zone == own]

    def _known_by_zone(self) -> dict[str, int]:
        """Return the number up to which the scheduler of each other zone has confirmed."""
        if not self.is_divided:
            return {}
        own = self.group.own.zone
        known = {member.at.zone: 0 for member in self.group.members.values()}
        for item in self.recipients.values():
            if item.is_scheduler:
                known[item.at.zone] = max(known.get(item.at.zone, 0), item.known)
        known.pop(own, None)
        return known

    def _confirmed_number(self, is_for_zone: bool) -> int:
        numbers = [item.known for item in self._near()]
        if not is_for_zone:
            numbers += self._known_by_zone().values()
        return min(numbers, default=self.cancelled.last_number)
