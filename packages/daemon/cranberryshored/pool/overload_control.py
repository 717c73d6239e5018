"""Overload of the control path: reports of a scheduler, and decisions of an entry instance."""

from itertools import islice

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import (
    HoldState,
    JobEnded,
    Member,
    Outcome,
    QueueSpec,
    Scheduler,
    WorkRequest,
)
from cranberryshore.pool.group import PEER_TIMEOUT_SECONDS
from cranberryshore.pool.overload import (
    EntryGate,
    LoadEstimator,
    LoadReport,
    StartedJobs,
    UnsettledJobs,
    can_wait_for_scheduler,
    may_contain,
    may_refuse_late_job,
    spread_retry_ms,
)
from cranberryshore.pool.refusing import RESUMED_JOB_WAIT_SECONDS, RETRY_AFTER_MS
from cranberryshore.settings.pool import OverloadSettings
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import now
from cranberryshored.pool.exchange import PeerExchange
from cranberryshored.pool.scheduler_link import SchedulerLink
from cranberryshored.pool.scheduling import SchedulingService
from cranberryshored.pool.submissions import SubmissionHandler

MAX_STARTED_JOBS = 500
"""Ended jobs that are added to the started ones in each update, of which the last 0.15 s matter:
those of a scheduler of 3,000 jobs a second."""

OVERLOADED_DETAIL = "The scheduler is overloaded."
LATE_DETAIL = "The scheduler has read the job too late."
NO_SCHEDULER_DETAIL = "No instance schedules the pool now."


@attrs.define(eq=False)
class SchedulerLoad:
    """Load of this instance while it schedules.

    Parameters
    ----------
    settings : OverloadSettings
        Settings in force.
    term : int
        Term of the claim that the estimate is for; another claim begins with a new estimate.
    started : StartedJobs
        Jobs that may have been started lately, also by the former scheduler.
    started_filter : bytes
        Filter of these jobs as of the latest update.
    begun_at : float
        Time of the first update under the present claim.
    is_informed : bool
        Whether the workers have told which jobs a former scheduler has started on them.
    """

    exchange: PeerExchange
    scheduling: SchedulingService
    metrics: Metrics
    log: FilteringBoundLogger
    settings: OverloadSettings = OverloadSettings()
    estimator: LoadEstimator = attrs.field(factory=LoadEstimator)
    term: int = 0
    started: StartedJobs = attrs.field(factory=StartedJobs)
    started_filter: bytes = b""
    begun_at: float = 0.0
    is_informed: bool = False

    def connect(self, submissions: SubmissionHandler, link: SchedulerLink) -> None:
        """Have the parts of a scheduler report to this one, and its heartbeats tell the load."""
        submissions.on_submission = link.on_submission = self.record_submission
        submissions.retry_after_ms = self.retry_after_ms
        submissions.may_have_started = self.may_have_started
        self.scheduling.on_lag = self.record_lag
        self.exchange.heartbeats.load_report = self.report_for_member

    def record_submission(
        self, entry: str, request: WorkRequest, age_seconds: float, is_accepted: bool
    ) -> None:
        """Record a submission as it is read.

        A resumed job may have been started by a former scheduler, also if this one never starts it.
        """
        if request.is_resumed:
            self.started.add([request.id], now())
        if self.settings.is_enabled:
            self.estimator.record_submission(entry, age_seconds, is_accepted)

    def may_have_started(self, job: str) -> bool:
        """Return whether tasks of a job may have been started, here or by a former scheduler."""
        moment = now()
        self._follow_claim(moment)
        if not self._is_informed(moment):
            return True
        return job in self.started or self.scheduling.may_have_started(job)

    def record_lag(self, seconds: float) -> None:
        """Record how late the event loop ran a timer."""
        if self.settings.is_enabled:
            self.estimator.record_lag(seconds)

    def report_for(self, entry: str) -> LoadReport | None:
        """Return the report for an entry instance; ``None`` unless this scheduler is overloaded."""
        if self.exchange.group.claim is None or not self.settings.is_enabled:
            return None
        moment = now()
        self._follow_claim(moment)
        if self.estimator.is_due(moment):
            self._update(moment)
        if not self.is_informed:
            return None
        report = self.estimator.report_for(entry)
        return report and attrs.evolve(report, started=self.started_filter)

    def report_for_member(self, member: Member) -> LoadReport | None:
        """Return the report for the next heartbeat to a member."""
        return self.report_for(member.at.incarnation)

    def retry_after_ms(self) -> int:
        """Return the time that the backlog needs, in milliseconds; 0 if it is not measured."""
        return self.estimator.retry_after_ms() if self.settings.is_enabled else 0

    def _follow_claim(self, moment: float) -> None:
        claim = self.exchange.group.claim
        if claim is not None and claim.term != self.term:
            self.term, self.estimator = claim.term, LoadEstimator()
            self.begun_at, self.is_informed = moment, False

    def _is_informed(self, moment: float) -> bool:
        """Return whether each worker has answered a poll, or no earlier run can be active.

        Until then, nothing may be refused as not run that a former scheduler may have started.
        """
        if not self.is_informed:
            workers = self.scheduling.scheduler.workers.values()
            is_acquired = all(worker.state is not HoldState.ACQUIRING for worker in workers)
            is_over = moment - self.begun_at >= RESUMED_JOB_WAIT_SECONDS
            self.is_informed = is_over or (bool(workers) and is_acquired)
        return self.is_informed

    def _update(self, moment: float) -> None:
        self._is_informed(moment)
        own = self.exchange.own.incarnation
        followers = [
            member.at.incarnation
            for member in self.exchange.group.live(moment)
            if member.follows == own
        ]
        jobs = self.scheduling.scheduler.jobs.values()
        waiting = sum(not job.has_started for job in jobs)
        before = self.estimator.total_credit
        self.estimator.update(len(jobs), waiting, [own, *followers], moment)
        credit = self.estimator.total_credit
        self.started.add(_started_jobs(self.scheduling.scheduler), moment)
        self.started_filter = b"" if credit is None else self.started.to_filter()
        self.metrics.overload_credit.set(-1 if credit is None else credit)
        if (before is None) == (credit is None):
            return
        sentence = "Overload ends." if credit is None else "Overload begins; jobs are limited."
        self.log.warning(
            sentence,
            delay_ms=int(self.estimator.delay_seconds * 1000),
            jobs=len(jobs),
            waiting_jobs=waiting,
            credit=None if credit is None else int(credit),
            entries=len(followers) + 1,
        )


@attrs.define(eq=False)
class EntryOverload:
    """Decides at an entry instance which jobs are not worth a submission.

    Parameters
    ----------
    load : SchedulerLoad
        Load of the scheduler, for the case that this instance schedules.
    settings : OverloadSettings
        Settings in force.
    """

    exchange: PeerExchange
    load: SchedulerLoad
    settings: OverloadSettings = OverloadSettings()
    gate: EntryGate = attrs.field(factory=EntryGate)
    unsettled: UnsettledJobs = attrs.field(factory=UnsettledJobs)

    def apply(self, settings: OverloadSettings) -> None:
        """Apply settings, which may have changed."""
        self.settings = self.load.settings = settings

    def check_new(
        self, request: WorkRequest, queue: QueueSpec, in_flight: int, expires_at: float
    ) -> JobEnded | None:
        """Return the refusal of a new job, or ``None`` if it is submitted.

        A job that this instance has submitted before may have run, so it is never refused here.
        """
        moment = now()
        if not self.settings.is_enabled or self.unsettled.contains(request.id, moment):
            return None
        if not self._has_scheduler(moment):
            if self.can_wait(request, expires_at):
                return None
            return _refusal(request.id, NO_SCHEDULER_DETAIL, RETRY_AFTER_MS)
        report = self._report()
        if self.gate.admits(request, queue, report, in_flight):
            return None
        if may_contain(report.started, request.id):
            # Its caller may have sent it to another entry instance before.
            return None
        return _refusal(request.id, OVERLOADED_DETAIL, report.retry_after_ms)

    def check_dropped(self, end: JobEnded, may_have_run: bool, is_resumed: bool) -> JobEnded | None:
        """Return the refusal of a job that its scheduler has dropped, ``None`` to submit it again.

        The scheduler has rejected the only submission of the job, so it has not run.
        """
        if not self.settings.is_enabled:
            return None
        if not may_refuse_late_job(end.is_late, may_have_run, is_resumed):
            return None
        return _refusal(end.job, LATE_DETAIL, end.retry_after_ms or RETRY_AFTER_MS)

    def can_wait(self, request: WorkRequest, expires_at: float) -> bool:
        """Return whether a job can still be answered in time if a scheduler appears soon."""
        if not self.settings.is_enabled:
            return True
        return can_wait_for_scheduler(expires_at, request.steps[0].estimate_ms, now())

    def _has_scheduler(self, moment: float) -> bool:
        scheduler = self.exchange.follows
        if scheduler == self.exchange.own.incarnation:
            return True
        member = self.exchange.group.members.get(scheduler)
        return member is not None and moment - member.heard_at < PEER_TIMEOUT_SECONDS

    def _report(self) -> LoadReport | None:
        scheduler = self.exchange.follows
        if scheduler == self.exchange.own.incarnation:
            return self.load.report_for(scheduler)
        return self.exchange.group.members[scheduler].load


def _started_jobs(scheduler: Scheduler) -> list[str]:
    """Return the jobs that may have been started lately, here or by a former scheduler."""
    ended = islice(reversed(scheduler.registry.attempts), MAX_STARTED_JOBS)
    active = (name for name, job in scheduler.jobs.items() if job.has_started)
    return [*active, *ended, *scheduler.foreign.workers_by_job]


def _refusal(job: str, detail: str, over_ms: int) -> JobEnded:
    return JobEnded("", job, Outcome.REFUSED, detail, spread_retry_ms(job, over_ms))
