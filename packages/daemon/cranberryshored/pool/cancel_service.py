"""Cancelling of jobs at any instance, whichever instance has them."""

import asyncio
from collections.abc import Callable

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import (
    CancelConfirmed,
    CancelMessage,
    CancelNews,
    CancelNewsNoted,
    CancelRequest,
    PeerMessage,
)
from cranberryshore.pool import CancelledJobs, CancelSpread, OwedReply
from cranberryshore.pool.cancelling import (
    MAX_JOBS_PER_BATCH,
    REPLY_SECONDS,
    RESEND_SECONDS,
    CancelBatch,
)
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task

TICK_SECONDS = 0.05
"""Interval of the checks for messages to send again, and for instances that have returned."""

TELLER_COUNT = 8
"""Number of instances that tell a new scheduler of the cancels, besides its predecessor."""

JOINING_SECONDS = 2.0
"""Time within which the scheduler tells a new instance of the cancelled jobs."""

MAX_WAIT_SECONDS = 3.8
"""Time for which a caller waits until its cancel holds.

The registration of an instance that has ended expires within 3 s, and is missed 0.6 s later."""

STOPPING_WAIT_SECONDS = 0.2
"""The same at the end of a drain, within the time for open responses."""


@attrs.define(eq=False)
class CancelAsk:
    """A cancel by a caller of this instance, until it is known to hold.

    Parameters
    ----------
    held : asyncio.Future
        Set to true when no task of the job can start any more, to false when this instance stops.
    sent_to : tuple
        Scheduler and term of its claim that were asked last.
    """

    job: str
    asked_at: float
    held: asyncio.Future
    sent_to: tuple[str, int] = ("", 0)
    sent_at: float = float("-inf")


@attrs.define(eq=False)
class CancelService:
    """Cancels jobs for the callers of this instance, and as the scheduler for those of the others.

    Parameters
    ----------
    on_cancelled : callable
        Called with cancelled jobs, to end those that wait or are scheduled at this instance.
    spread : CancelSpread or None
        Knowledge of the peers while this instance schedules.
    met_at : dict
        Time at which each member became known to this instance.
    informed : set of str
        Members that this instance has told of the cancels from before they started.
    followed : tuple
        Scheduler and term of its claim that this instance has told of all cancels.
    is_stopping : bool
        Whether this instance has ended its drain, and closes its connections soon.
    """

    exchange: PeerExchange
    cancelled: CancelledJobs
    on_cancelled: Callable[[tuple[str, ...]], None]
    metrics: Metrics
    log: FilteringBoundLogger
    asks: dict[str, CancelAsk] = attrs.field(factory=dict)
    spread: CancelSpread | None = None
    met_at: dict[str, float] = attrs.field(factory=dict)
    informed: set[str] = attrs.field(factory=set)
    followed: tuple[str, int] = ("", 0)
    is_stopping: bool = False
    task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the checks."""
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop the checks."""
        await cancel_tasks([self.task])

    async def cancel(self, job: str, seconds: float, source: str) -> bool:
        """Cancel a job, and return whether that holds.

        It holds when no task of the job starts any more, at whichever instance the job is or
        arrives. If that is not known in time, the job is cancelled wherever it can be.

        Parameters
        ----------
        job : str
            Identifier of the job, which need not have arrived yet.
        seconds : float
            Time that the caller waits.
        source : str
            Address of the caller.
        """
        moment = now()
        if self.cancelled.renew(job, moment) is None:
            self.log.warning("Too many cancelled jobs; one is not cancelled.", job=job)
            self.metrics.cancels.labels("rejected").inc()
            return False
        self.log.info("Cancel requested.", job=job, caller=source)
        self.on_cancelled((job,))
        ask = self.asks.get(job)
        if ask is None:
            held = asyncio.get_running_loop().create_future()
            ask = self.asks[job] = CancelAsk(job, moment, held)
        # The job has a new number, so a scheduler must confirm it again.
        ask.asked_at, ask.sent_to = moment, ("", 0)
        self._progress()
        limit = STOPPING_WAIT_SECONDS if self.is_stopping else MAX_WAIT_SECONDS
        await asyncio.wait([ask.held], timeout=min(seconds, limit))
        is_held = ask.held.done() and ask.held.result()
        outcome = "held" if is_held else "unconfirmed"
        self.metrics.cancels.labels(outcome).inc()
        self.log.info(
            "Cancel answered.",
            job=job,
            caller=source,
            outcome=outcome,
            scheduler=self.exchange.follows,
            ms=int((now() - moment) * 1000),
        )
        return is_held

    def give_up_all(self) -> None:
        """Answer the callers that wait, since this instance stops; later ones wait briefly."""
        self.is_stopping = True
        for ask in self.asks.values():
            ask.held.set_result(False)
        self.asks.clear()

    def awaits_silent(self) -> bool:
        """Return whether a cancel waits for an instance that may have ended."""
        return self.spread is not None and self.spread.awaits_silent(now())

    def handle(self, sender: str, message: CancelMessage) -> None:
        """Handle a message of a peer."""
        if isinstance(message, CancelNewsNoted):
            self._handle_noted(sender, message.number)
            return
        if isinstance(message, CancelConfirmed):
            self._confirmed(message.jobs)
        elif isinstance(message, CancelNews):
            self._handle_news(sender, message)
        else:
            self._handle_request(sender, message.jobs)
        self._progress()

    def _handle_noted(self, sender: str, number: int) -> None:
        """Handle a confirmation, of which a scheduler gets one from each instance."""
        if self.spread is None:
            return
        self.spread.confirm(sender, number)
        if self.spread.settled():
            self._progress()
            return
        batch = self.spread.next_batch(sender, now())
        if batch is not None:
            self._send_batch(batch)

    def _handle_request(self, sender: str, jobs: tuple[str, ...]) -> None:
        """Cancel jobs for a follower, which asks another scheduler if this one has no claim."""
        self._update_claim()
        if self.spread is not None and self.spread.is_owed(sender, jobs):
            return
        numbers = [self.cancelled.renew(job, now()) for job in jobs]
        self.on_cancelled(jobs)
        if self.spread is not None and None not in numbers:
            self.spread.owe(OwedReply(sender, jobs, 0, max(numbers, default=0), now()))

    def _handle_news(self, sender: str, news: CancelNews) -> None:
        self._update_claim()
        unknown = tuple(job for job in news.jobs if job not in self.cancelled)
        numbers = [self.cancelled.note(job, now()) for job in news.jobs]
        self.on_cancelled(unknown)
        if None in numbers:
            self.log.warning("Too many cancelled jobs; those of a peer are not confirmed.")
        elif not news.is_for_zone:
            self._send(sender, CancelNewsNoted(news.number))
        elif self.spread is not None and not self.spread.is_owed(sender, (), news.number):
            number = max(numbers, default=0)
            self.spread.owe(OwedReply(sender, (), news.number, number, now()))

    def _confirmed(self, jobs: tuple[str, ...]) -> None:
        for job in jobs:
            ask = self.asks.pop(job, None)
            if ask is not None:
                ask.held.set_result(True)

    def _update_claim(self) -> None:
        """Forget what the peers know when the claim ends, since others may be members by then."""
        claim = self.exchange.group.claim
        if claim is None:
            self.spread = None
        elif self.spread is None or self.spread.term != claim.term:
            self.spread = CancelSpread(self.cancelled, self.exchange.group, claim.term)

    def _progress(self) -> None:
        """Send what is due."""
        moment = now()
        self._update_claim()
        for ask in list(self.asks.values()):
            self._ask_scheduler(ask, moment)
        if self.spread is None:
            return
        self.spread.observe(moment)
        for batch in self.spread.due(moment):
            self._send_batch(batch)
        for reply in self.spread.settle():
            if reply.is_for_zone:
                self._send(reply.receiver, CancelNewsNoted(reply.batch))
            elif reply.receiver == self.exchange.own.incarnation:
                self._confirmed(reply.jobs)
            else:
                self._send(reply.receiver, CancelConfirmed(reply.jobs))

    def _ask_scheduler(self, ask: CancelAsk, moment: float) -> None:
        own = self.exchange.own.incarnation
        if self.spread is not None:
            if ask.sent_to != (own, self.spread.term):
                ask.sent_to = (own, self.spread.term)
                number = self.cancelled.note(ask.job, moment)
                if number is not None:
                    self.spread.owe(OwedReply(own, (ask.job,), 0, number, moment))
            return
        scheduler = (self.exchange.follows, self.exchange.claim_term())
        if ask.sent_to != scheduler or moment - ask.sent_at >= RESEND_SECONDS:
            ask.sent_to, ask.sent_at = scheduler, moment
            self._send(scheduler[0], CancelRequest((ask.job,)))

    def inform_new_members(self) -> None:
        """Tell members of the cancels that they may not know.

        A new scheduler may have started after them, or may have been cut off. It tells the others.
        Without a scheduler, a member that has just started may become it.
        """
        members, moment = self.exchange.group.members, now()
        self.met_at = {name: self.met_at.get(name, moment) for name in members}
        scheduler = self.exchange.follows
        if not scheduler:
            for name in self.met_at.keys() - self.informed:
                self.informed.add(name)
                self._inform(name, self.cancelled.before(self.met_at[name] + JOINING_SECONDS))
        elif scheduler in members and (scheduler, self.exchange.claim_term()) != self.followed:
            self.followed = (scheduler, self.exchange.claim_term())
            if self._is_teller():
                self._inform(scheduler, tuple(self.cancelled.entries))
        self.informed &= members.keys()

    def _is_teller(self) -> bool:
        """Return whether to tell a new scheduler: in a large pool, a few instances are enough."""
        own = self.exchange.own.incarnation
        was_scheduler = self.spread is not None
        before = sum(name < own for name in self.exchange.group.members)
        return was_scheduler or before < TELLER_COUNT

    def _inform(self, name: str, jobs: tuple[str, ...]) -> None:
        for start in range(0, len(jobs), MAX_JOBS_PER_BATCH):
            self._send(name, CancelNews(0, jobs[start : start + MAX_JOBS_PER_BATCH]))

    def _send_batch(self, batch: CancelBatch) -> None:
        self._send(batch.receiver, CancelNews(batch.number, batch.jobs, batch.is_for_zone))

    def _send(self, receiver: str, message: PeerMessage) -> None:
        member = self.exchange.group.members.get(receiver)
        if member is not None:
            self.exchange.send_unnumbered(member, message)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            with failures_logged(self.log, "cancelling"):
                self._give_up(now())
                self.inform_new_members()
                self._progress()

    def _give_up(self, moment: float) -> None:
        for ask in [ask for ask in self.asks.values() if moment - ask.asked_at > REPLY_SECONDS]:
            del self.asks[ask.job]
        if self.spread is None:
            return
        for reply in self.spread.expire(moment):
            self.log.warning(
                "Cancelled jobs are not confirmed by all instances; their callers must ask again.",
                jobs=reply.jobs,
                missing=self.spread.missing(reply.number),
            )
