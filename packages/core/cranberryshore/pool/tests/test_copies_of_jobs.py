from cranberryshore.pool import EndKind, JobEnded, Outcome, ResumedJobReleased
from cranberryshore.pool.tests.test_scheduler import WORKERS, SchedulerTestCase, request


class CopiedJobTest(SchedulerTestCase):
    """A caller that has asked instance "e" and, as it was silent, instance "f"."""

    def submit_by(self, entry: str, waited_ms: int, **options) -> None:
        job = request(waited_ms=waited_ms, **options)
        self.scheduler.submit(job, entry, self.now, WORKERS)

    def outcomes(self) -> list[tuple[str, Outcome]]:
        return [(end.entry, end.outcome) for end in self.effects(JobEnded)]

    def test_instance_that_was_paused_takes_the_job_from_the_one_that_was_asked_later(self):
        (start,) = self.submit()
        self.now += 2.0
        self.submit_by("f", waited_ms=0)
        self.now += 0.5
        self.submit_by("e", waited_ms=2500)
        self.end(start, EndKind.DONE)
        given_up = ("e", Outcome.GIVEN_UP)
        self.assertEqual(self.outcomes(), [given_up, given_up, ("f", Outcome.COMPLETED)])

    def test_disconnection_that_a_paused_instance_notices_late_cancels_the_job(self):
        self.submit()
        self.now += 2.0
        self.submit_by("f", waited_ms=0)
        self.now += 0.5
        self.submit_by("e", waited_ms=2500)
        self.scheduler.cancel("j", "e", self.now)
        self.assertIn("j", self.scheduler.jobs)

    def test_job_stays_with_an_instance_that_its_caller_has_left_again(self):
        self.submit()
        self.now += 2.0
        self.submit_by("f", waited_ms=0)
        self.now += 2.0
        self.submit_by("e", waited_ms=0)
        self.assertEqual(self.outcomes(), [("e", Outcome.GIVEN_UP), ("f", Outcome.GIVEN_UP)])
        self.assertEqual(self.scheduler.jobs["j"].entry, "e")

    def test_runs_known_to_the_paused_instance_are_not_verified(self):
        self.submit_by("f", waited_ms=0, is_resumed=True)
        self.poll("w1")
        self.now += 0.01
        self.submit_by("e", waited_ms=2500, is_resumed=True)
        self.poll("w2")
        self.assertEqual(self.effects(ResumedJobReleased), [])
        self.poll("w1")
        self.assertEqual(len(self.starts()), 1)
        self.assertEqual(self.scheduler.jobs["j"].entry, "f")
