"""Submission of the jobs of an entry instance to the scheduler that it follows."""

from collections.abc import Callable

import attrs

from cranberryshore.messages import CancelWork, SubmitWork
from cranberryshore.pool import PoolConfig, WorkRequest
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.roster_keeper import RosterKeeper
from cranberryshored.pool.scheduling import SchedulingService


@attrs.define(eq=False)
class SchedulerLink:
    """Implements :class:`SchedulerClient` for a scheduler at this or another instance.

    Parameters
    ----------
    config : callable
        Returns the configuration in force.
    on_submission : callable
        Called with the entry instance, the job, its age in seconds and its acceptance for each job
        that this instance submits to itself.
    """

    exchange: PeerExchange
    scheduling: SchedulingService
    rosters: RosterKeeper
    config: Callable[[], PoolConfig]
    on_submission: Callable[[str, WorkRequest, float, bool], None] = lambda *arguments: None

    def scheduler(self) -> str:
        """See :class:`SchedulerClient`."""
        return self.exchange.follows

    def claim_term(self) -> int:
        """See :class:`SchedulerClient`."""
        return self.exchange.claim_term()

    def claim_zone(self) -> str:
        """See :class:`SchedulerClient`."""
        return self.exchange.claim_zone()

    def epoch(self) -> int:
        """See :class:`SchedulerClient`."""
        return self.exchange.epoch

    def has_released(self, scheduler: str) -> bool:
        """See :class:`SchedulerClient`."""
        return self.exchange.has_released(scheduler)

    def rosters_since(self, moment: float) -> tuple[int, ...]:
        """See :class:`SchedulerClient`."""
        return self.rosters.versions_since(moment)

    def submit(self, request: WorkRequest) -> None:
        """See :class:`SchedulerClient`."""
        if self.exchange.follows == self.exchange.own.incarnation:
            self.on_submission(self.exchange.follows, request, 0.0, True)
            self.scheduling.submit(request, self.exchange.follows)
        else:
            epoch, term = self.exchange.epoch, self.exchange.claim_term()
            scheduler = self.exchange.group.members.get(self.exchange.follows)
            version = scheduler.config_version if scheduler is not None else 0
            known_queue = self.config().queue_after(version, request.queue)
            sent = attrs.evolve(request, known_queue=known_queue) if known_queue else request
            self.exchange.send(
                self.exchange.follows,
                lambda place, echo: SubmitWork(place, sent, epoch, echo, term),
            )

    def cancel(self, job: str) -> None:
        """See :class:`SchedulerClient`."""
        if self.exchange.follows == self.exchange.own.incarnation:
            self.scheduling.cancel(job, self.exchange.follows)
        elif self.exchange.follows:
            self.exchange.send(self.exchange.follows, lambda place, echo: CancelWork(place, job))
