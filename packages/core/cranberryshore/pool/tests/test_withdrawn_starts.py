from cranberryshore.pool import EndKind, JobEnded, LossState, Outcome, StartRun
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.run_registry import MAX_OPEN_STARTS
from cranberryshore.pool.tests.test_former_boots import RestartTestCase
from cranberryshore.pool.tests.test_scheduler import request


class RefusedStartTestCase(RestartTestCase):
    """Starts that are refused, so that they have never begun, while their worker is lost."""

    def setUp(self):
        super().setUp()
        self.scheduler.workers["w2"].is_draining = True

    def send(self, job_id: str = "j", **options) -> StartRun:
        """Submit a job and return its start on the only worker, which is not answered."""
        self.scheduler.submit(request(job_id, **options), "e", self.now)
        (start,) = self.effects(StartRun)
        return start

    def reject(self, start: StartRun) -> None:
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)

    def lost_tasks(self) -> list[str]:
        return sorted(lost.task for lost in self.scheduler.crashes.records(self.now))


class RefusedAfterClosingTest(RefusedStartTestCase):
    """The host closes a connection, then the start is refused, then a poll."""

    def test_refused_start_is_lost_with_the_runs_at_the_closing(self):
        (running,) = self.submit("k")
        start = self.send()
        self.scheduler.worker_closed(start.worker, self.now)
        self.reject(start)
        self.scheduler.worker_refuses(start.worker, self.now)
        self.assertEqual(self.lost_tasks(), [running.key[0]])

    def test_refused_start_is_lost_with_the_runs_at_the_closing_when_the_address_is_reused(self):
        (running,) = self.submit("k")
        start = self.send()
        self.scheduler.worker_closed(start.worker, self.now)
        self.reject(start)
        self.scheduler.worker_replaced(start.worker, self.now)
        self.assertEqual(self.lost_tasks(), [running.key[0]])

    def test_refused_start_of_a_suspect_exposes_a_worker(self):
        self.submit("k")
        start = self.send()
        worker = self.scheduler.workers[start.worker]
        worker.isolated_runs.add(start.key)
        self.scheduler.worker_closed(worker.name, self.now)
        self.reject(start)
        self.assertFalse(worker.refused_boot(self.now).is_exposed)

    def test_start_that_was_refused_after_its_lease_has_ended_a_host(self):
        start = self.send()
        self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.reject(start)
        self.answer(start.worker, 2)
        self.assertEqual(self.lost_tasks(), [])

    def test_start_without_a_reply_may_have_ended_its_host(self):
        start = self.send()
        self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.answer(start.worker, 2)
        (lost,) = self.scheduler.crashes.records(self.now)
        self.assertEqual((lost.state, lost.has_lapsed), (LossState.PROVEN, True))


class LateRefusalTest(RefusedStartTestCase):
    """Refusals of starts whose runs were removed before, since their worker had ended."""

    def end_worker(self, start: StartRun) -> None:
        """Let another process answer a poll before the start is refused."""
        self.scheduler.worker_replaced(start.worker, self.now)
        self.scheduler.take_effects()

    def refuse_late(self, entry: str = "e") -> Outcome:
        """Let the time of the job pass, and return what its caller is told."""
        self.now += 4.0
        self.scheduler.tick(self.now)
        (end,) = [item for item in self.effects(JobEnded) if item.entry == entry]
        return end.outcome

    def test_start_that_was_refused_after_its_worker_had_ended_counts_as_run(self):
        start = self.send()
        self.end_worker(start)
        self.reject(start)
        self.assertIs(self.refuse_late(), Outcome.REFUSED)

    def test_start_that_was_refused_after_its_lease_had_ended_counts_as_run(self):
        start = self.send()
        self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        self.reject(start)
        self.assertIs(self.refuse_late(), Outcome.REFUSED)

    def test_start_that_was_refused_after_its_caller_had_left_counts_as_run(self):
        start = self.send()
        self.scheduler.cancel("j", "e", self.now)
        self.end_worker(start)
        self.reject(start)
        self.scheduler.submit(request(), "f", self.now)
        self.assertIs(self.refuse_late("f"), Outcome.REFUSED)

    def test_start_that_was_never_refused_counts_as_not_run(self):
        start = self.send()
        self.end_worker(start)
        self.assertIs(self.refuse_late_started(), Outcome.GIVEN_UP)

    def test_start_beside_one_that_was_refused_counts_as_not_run(self):
        self.scheduler.submit(request(count=2), "e", self.now)
        first, second = self.effects(StartRun)
        self.end_worker(first)
        self.reject(first)
        self.reject(first)
        self.assertIs(self.refuse_late_started(), Outcome.GIVEN_UP)
        self.reject(second)

    def test_earlier_start_of_a_job_that_came_again_counts_as_not_run(self):
        start = self.send()
        self.scheduler.start_confirmed(start.worker, start.key, self.now)
        self.scheduler.cancel("j", "e", self.now)
        self.end(start, EndKind.STOPPED)
        again = self.send()
        self.scheduler.cancel("j", "e", self.now)
        self.end_worker(again)
        self.reject(again)
        self.scheduler.submit(request(), "f", self.now)
        self.assertIs(self.refuse_late("f"), Outcome.GIVEN_UP)

    def refuse_late_started(self) -> Outcome:
        """Let the whole time of the caller pass, for which a job that was started is kept."""
        self.now += 2.0
        return self.refuse_late()

    def test_starts_without_a_reply_are_kept_without_end(self):
        registry = self.scheduler.registry
        for number in range(MAX_OPEN_STARTS + 1):
            start = self.send(f"j{number}")
            self.scheduler.cancel(f"j{number}", "e", self.now)
            self.end(start, EndKind.STOPPED)
            self.scheduler.take_effects()
        self.assertEqual(len(registry.open_starts), MAX_OPEN_STARTS)
        self.reject(start)
        self.assertNotIn(start.key, registry.open_starts)

    def test_confirmed_start_is_kept_as_one_without_a_reply(self):
        start = self.send()
        self.assertEqual(set(self.scheduler.registry.open_starts), {start.key})
        self.scheduler.start_confirmed(start.worker, start.key, self.now)
        self.assertEqual(self.scheduler.registry.open_starts, {})
