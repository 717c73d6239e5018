"""Jobs that entry instances submit to this instance while it schedules."""

import asyncio
from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import SubmitWork
from cranberryshore.pool import JobEnded, Member, Outcome, PoolConfig, WorkRequest
from cranberryshored.pool.clock import now
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.scheduling import SchedulingService

MAX_SUBMIT_AGE_SECONDS = 0.4
"""A job that was in transit for longer is rejected, since it may have been submitted to another
scheduler. That happens 0.5 s after the last beat at the earliest."""

MAX_EARLY_SECONDS = 0.2
"""Time for which a job waits for the configuration of its entry instance, which this instance reads
from the store in milliseconds or else requests from a peer."""


@attrs.define(eq=False)
class SubmissionHandler:
    """Schedules submitted jobs unless they are delayed, or meant for another claim.

    Parameters
    ----------
    config : callable
        Returns the configuration in force.
    on_ended : callable
        Called with the outcome of a rejected job.
    on_submission : callable
        Called with the sender, the job, the age in seconds and the acceptance of each submission.
    may_have_started : callable
        Returns whether tasks of a job may have been started for another submission.
    retry_after_ms : callable
        Returns the time that the backlog of this scheduler needs, 0 if it is not known.
    early_jobs : list
        Jobs that wait for the configuration of their entry instance, with that instance.
    """

    exchange: PeerExchange
    scheduling: SchedulingService
    config: Callable[[], PoolConfig]
    on_ended: Callable[[JobEnded], None]
    log: FilteringBoundLogger
    early_jobs: list[tuple[str, SubmitWork]] = attrs.field(factory=list)
    on_submission: Callable[[str, WorkRequest, float, bool], None] = lambda *arguments: None
    may_have_started: Callable[[str], bool] = attrs.field(
        default=attrs.Factory(lambda self: self.scheduling.may_have_started, takes_self=True)
    )
    retry_after_ms: Callable[[], int] = lambda: 0

    def handle(self, sender: str, message: SubmitWork) -> None:
        """Schedule a job, or let it wait for a newer configuration.

        Requires a claim. The message tells the sender's estimate of this instance's clock at
        submission. A lower epoch means that the sender has changed its scheduler since then.
        """
        age = now() - message.echo
        group = self.exchange.group
        member = group.members.get(sender)
        if self._is_early(member, age):
            if not self.early_jobs:
                asyncio.get_running_loop().call_later(MAX_EARLY_SECONDS, self.retry)
            self.early_jobs.append((sender, message))
            return
        is_current = member is not None and message.epoch >= member.epoch
        is_for_claim = message.term in (None, group.claim.term)
        is_accepted = is_current and is_for_claim and age <= MAX_SUBMIT_AGE_SECONDS
        may_have_started = not is_accepted and self.may_have_started(message.request.id)
        self.on_submission(sender, message.request, age, is_accepted)
        if is_accepted:
            self.exchange.record_epoch(member, message.epoch)
            self.scheduling.submit(message.request, sender)
            return
        job = message.request.id
        self.log.warning("Rejected a job delayed in transit.", job=job, sender=sender, seconds=age)
        if member is not None and not is_for_claim:
            # The sender does not know the present claim yet.
            self.exchange.inform(member)
        is_meant = is_current and message.term == group.claim.term
        is_late = is_meant and not may_have_started
        detail, retry_ms = "It was held up on its way.", self.retry_after_ms() if is_late else 0
        end = JobEnded(sender, job, Outcome.DROPPED, detail, retry_ms, is_late=is_late)
        self.on_ended(end)

    def cancel(self, job: str) -> None:
        """Drop a waiting job whose caller has disconnected."""
        self.early_jobs = [item for item in self.early_jobs if item[1].request.id != job]

    def retry(self) -> None:
        """Handle the waiting jobs again, since the configuration or their age has changed."""
        early_jobs, self.early_jobs = self.early_jobs, []
        for sender, message in early_jobs:
            if self.scheduling.claim is not None:
                self.handle(sender, message)

    def _is_early(self, member: Member | None, age: float) -> bool:
        """Return whether a job waits for the configuration that its entry instance has.

        It waits for a part of the time for which it may be in transit.
        """
        if member is None or member.config_version <= self.config().version:
            return False
        return age < MAX_EARLY_SECONDS
