from cranberryshore.pool import EndKind, JobEnded, Outcome
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request


class EarlierSubmissionTest(LostWorkerTestCase):
    """A job whose caller asks at another instance after tasks have been started."""

    def fill(self) -> None:
        for number in range(4):
            self.submit(f"full{number}", estimate_ms=4000)

    def refuse(self, entry: str) -> Outcome:
        """Let a submission of the job wait until it is too late to run, and return its outcome."""
        self.fill()
        self.scheduler.submit(request(), entry, self.now)
        self.now += 4.0
        for name in ("w1", "w2"):
            self.poll(name, list(self.scheduler.workers[name].runs))
        self.scheduler.tick(self.now)
        (end,) = [
            item for item in self.effects(JobEnded) if item.job == "j" and item.entry == entry
        ]
        return end.outcome

    def test_job_that_was_started_for_a_lost_instance_is_refused_as_not_run(self):
        (start,) = self.submit()
        self.scheduler.entry_lost("e", self.now)
        self.end(start, EndKind.STOPPED)
        self.assertIsNot(self.refuse("f"), Outcome.REFUSED)

    def test_job_that_was_started_before_its_caller_left_is_refused_as_not_run(self):
        (start,) = self.submit()
        self.scheduler.cancel("j", "e", self.now)
        self.end(start, EndKind.STOPPED)
        self.assertIsNot(self.refuse("f"), Outcome.REFUSED)

    def test_job_that_another_scheduler_has_started_is_refused_as_not_run(self):
        self.poll("w1", ended=[(("j.0.0.0", 1), EndKind.STOPPED)])
        self.assertIsNot(self.refuse("f"), Outcome.REFUSED)
