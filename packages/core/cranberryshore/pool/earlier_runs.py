"""Jobs of which tasks may have been started before they were submitted to this scheduler.

A caller asks at another instance when it has lost its first one, and its job may then be submitted
as if it were new. Only a scheduler that knows of the earlier runs can tell that it is not.
"""

import attrs

from cranberryshore.pool.foreign_runs import ForeignRuns
from cranberryshore.pool.run_registry import RunRegistry
from cranberryshore.pool.work import Outcome


@attrs.frozen(eq=False)
class EarlierRuns:
    """Knows the jobs that this scheduler has started, and those whose runs workers have reported.

    Both kinds of knowledge are limited in size; what is forgotten counts as not started.
    """

    registry: RunRegistry
    foreign: ForeignRuns

    def may_have_started(self, job_id: str) -> bool:
        """Return whether tasks of a job may have been started for an earlier submission."""
        return job_id in self.registry.attempts or bool(self.foreign.workers_of(job_id))

    def refusal_outcome(self, job_id: str) -> Outcome:
        """Return the outcome of a job of which this submission starts nothing.

        ``REFUSED`` tells the caller that the job has not run.
        """
        return Outcome.GIVEN_UP if self.may_have_started(job_id) else Outcome.REFUSED
