from cranberryshore.pool import EndKind, JobEnded, Outcome, PoolConfig
from cranberryshore.pool.refusing import RETRY_AFTER_MS, VERIFICATION_SECONDS
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request
from cranberryshore.work import Capacity


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

    def start_and_lose(self) -> None:
        """Start the job for an instance that is lost then."""
        (start,) = self.submit()
        self.scheduler.entry_lost("e", self.now)
        self.end(start, EndKind.STOPPED)
        self.effects(JobEnded)

    def submit_again(self, **options) -> JobEnded:
        """Submit the job at another instance, which gets an answer at once."""
        self.scheduler.submit(request(**options), "f", self.now)
        (end,) = self.effects(JobEnded)
        return end

    def test_started_job_whose_queue_was_removed_is_refused_as_not_run(self):
        self.start_and_lose()
        self.scheduler.config = PoolConfig(2)
        self.assertIs(self.submit_again().outcome, Outcome.GIVEN_UP)

    def test_started_job_that_fits_no_worker_any_more_is_refused_as_not_run(self):
        self.start_and_lose()
        for name in ("w1", "w2"):
            relist(self.scheduler, name, capacity=Capacity(500, 10))
        self.assertIs(self.submit_again().outcome, Outcome.GIVEN_UP)

    def test_started_job_that_waits_behind_others_is_refused_as_not_run(self):
        self.start_and_lose()
        self.fill()
        self.now += VERIFICATION_SECONDS
        for number in range(20):
            self.scheduler.submit(request(f"ahead{number}", estimate_ms=4000), "e", self.now)
        self.scheduler.submit(request(estimate_ms=4000, budget_ms=30_000), "f", self.now)
        self.scheduler.tick(self.now)
        ends = {end.job: end for end in self.effects(JobEnded)}
        self.assertIs(ends["j"].outcome, Outcome.GIVEN_UP)
        self.assertIs(ends["ahead19"].outcome, Outcome.REFUSED)

    def test_job_that_was_never_started_is_refused_each_time(self):
        self.fill()
        for entry in ("f", "g"):
            self.scheduler.submit(request(), entry, self.now)
            self.now += 4.0
            for name in ("w1", "w2"):
                self.poll(name, list(self.scheduler.workers[name].runs))
            self.scheduler.tick(self.now)
            (end,) = [item for item in self.effects(JobEnded) if item.job == "j"]
            self.assertIs(end.outcome, Outcome.REFUSED)
            self.assertEqual(end.retry_after_ms, RETRY_AFTER_MS)
