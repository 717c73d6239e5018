from unittest import TestCase, mock

import attrs

from cranberryshore.placement.rejections import (
    INITIAL_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    RejectionPauses,
)
from cranberryshore.pool import EndKind, JobEnded, Outcome, StartRun, WorkerStatus
from cranberryshore.pool.tests.load_replay import (
    LoadReplay,
    earned_share,
    generate_load,
    make_replay,
)
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_scheduler import SchedulerTestCase, request

LOAD_SECONDS, DRAIN_SECONDS = 10.0, 6.0


class RejectedStartTestCase(SchedulerTestCase):
    """Workers that reject starts although their capacity suffices as far as is known."""

    def setUp(self):
        self.ended = []
        super().setUp()
        self.begun_at = self.now

    def send(self, job_id: str, **options) -> list[StartRun]:
        """Submit a job and return its starts, which are not answered."""
        self.scheduler.submit(request(job_id, **options), "e", self.now)
        return self.effects(StartRun)

    def reject(self, start: StartRun) -> list[StartRun]:
        """Reject a start, and return those that follow at once."""
        self.scheduler.start_rejected(start.worker, start.key, False, self.now, True)
        return self.effects(StartRun)

    def wait(self, seconds: float) -> list[StartRun]:
        """Return the starts after a time, in which all workers answer."""
        self.now += seconds
        for name in ("w1", "w2"):
            self.poll(name, list(self.scheduler.workers[name].runs))
        self.scheduler.tick(self.now)
        return self.effects(StartRun)


class RejectedStartTest(RejectedStartTestCase):
    def test_task_starts_on_another_worker_at_once(self):
        (start,) = self.send("j")
        (again,) = self.reject(start)
        self.assertNotEqual(again.worker, start.worker)
        self.assertEqual(self.reject(again), [])

    def test_rejected_start_is_repeated_without_end(self):
        self.scheduler.workers["w2"].is_draining = True
        (start,) = self.send("j", estimate_ms=4000, budget_ms=30_000)
        times = []
        while self.now < self.begun_at + 4.0:
            if start is not None:
                times.append(self.now)
                self.assertEqual(self.reject(start), [])
            (start,) = self.wait(0.01) or (None,)
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(gaps[0], INITIAL_PAUSE_SECONDS)
        self.assertGreaterEqual(gaps[-1], MAX_PAUSE_SECONDS)
        self.assertLess(gaps[-1], MAX_PAUSE_SECONDS + 0.1)
        self.assertLessEqual(len(times), 9)

    def test_starts_are_sent_one_by_one_until_one_is_accepted(self):
        self.scheduler.workers["w2"].is_draining = True
        first, second = self.send("j", count=2)
        self.assertEqual(self.reject(first), [])
        self.assertEqual(self.reject(second), [])
        (probe,) = self.wait(INITIAL_PAUSE_SECONDS)
        self.assertEqual(self.effects(StartRun), [])
        self.scheduler.start_confirmed("w1", probe.key, self.now)
        self.assertEqual(len(self.wait(0.0)), 1)

    def test_start_from_before_the_pause_ends_it(self):
        self.scheduler.workers["w2"].is_draining = True
        first, second = self.send("j", count=2)
        self.assertEqual(self.reject(first), [])
        self.scheduler.start_confirmed("w1", second.key, self.now)
        self.assertEqual(self.wait(0.0), [])

    def test_pause_outlives_the_process_that_rejected(self):
        self.scheduler.workers["w2"].is_draining = True
        (start,) = self.send("j")
        self.assertEqual(self.reject(start), [])
        worker, status = self.scheduler.workers["w1"], WorkerStatus(2, 0, (), ())
        self.scheduler.record_status("w1", status, worker.token, self.now, self.now)
        relist(self.scheduler, "w1")
        self.assertEqual(len(self.effects(StartRun)), 1)

    def test_room_of_an_ended_run_is_not_used_before_the_pause_is_over(self):
        self.scheduler.workers["w2"].is_draining = True
        (running,) = self.submit("long")
        (start,) = self.send("j")
        self.assertEqual(self.reject(start), [])
        self.end(running, EndKind.DONE)
        self.assertEqual(len(self.effects(StartRun)), 1)


class RejectedJobTest(RejectedStartTestCase):
    """Answers to the callers of jobs with rejected starts."""

    def outcome_when_late(self, entry: str = "e") -> Outcome:
        """Let the time pass in which the job can be answered, and return its outcome."""
        for name in ("w1", "w2"):
            self.scheduler.workers[name].is_draining = True
        self.wait(1.0)
        self.now += 5.0
        self.scheduler.tick(self.now)
        self.effects(JobEnded)
        (end,) = [item for item in self.ended if item.entry == entry]
        return end.outcome

    def effects(self, kind: type) -> list:
        taken = self.scheduler.take_effects()
        self.ended += [item for item in taken if isinstance(item, JobEnded)]
        return [item for item in taken if isinstance(item, kind)]

    def reject_all(self, starts: list[StartRun]) -> None:
        """Reject starts, and those that follow on the other worker."""
        for _ in range(2):
            starts = [again for start in starts for again in self.reject(start)]
        self.assertEqual(starts, [])

    def test_job_without_an_accepted_start_counts_as_run(self):
        self.reject_all(self.send("j", count=2))
        self.assertIs(self.outcome_when_late(), Outcome.REFUSED)

    def test_job_without_an_accepted_start_counts_as_run_when_it_comes_again(self):
        self.reject_all(self.send("j"))
        self.scheduler.cancel("j", "e", self.now)
        self.scheduler.submit(request("j"), "f", self.now)
        self.assertIs(self.outcome_when_late("f"), Outcome.REFUSED)

    def test_job_with_one_accepted_start_counts_as_not_run(self):
        first, second = self.send("j", count=2)
        self.scheduler.start_confirmed(first.worker, first.key, self.now)
        self.reject_all([second])
        self.end(first, EndKind.STOPPED)
        self.assertIs(self.outcome_when_late(), Outcome.GIVEN_UP)

    def test_job_with_an_unanswered_start_counts_as_not_run(self):
        (start,) = self.send("j")
        worker = self.scheduler.workers[start.worker]
        self.scheduler.start_unanswered(worker.name, worker.token + 1, self.now)
        self.poll(worker.name)
        self.reject_all(self.effects(StartRun))
        self.assertIs(self.outcome_when_late(), Outcome.GIVEN_UP)


@attrs.define(eq=False)
class ShrunkReplay(LoadReplay):
    """Replay in which workers have half of the capacity that the scheduler knows."""

    rejections: int = 0

    def _start(self, effect: StartRun) -> None:
        worker = self.workers[effect.worker]
        if worker.used + self._millicores(effect.key) > worker.held.total.millicores // 2:
            self.rejections += 1
            self.scheduler.start_rejected(effect.worker, effect.key, False, self.clock, True)
        else:
            super()._start(effect)


class ShrunkWorkersTest(TestCase):
    def replay_load(self) -> tuple[int, float]:
        """Return the number of rejected starts, and the earned share."""
        whole = make_replay()
        replay = ShrunkReplay(whole.scheduler, whole.workers)
        outcomes = replay.simulate(generate_load(1, LOAD_SECONDS, 25.0), DRAIN_SECONDS)
        return replay.rejections, earned_share(outcomes)

    def test_starts_on_workers_that_have_shrunk_are_repeated_without_end(self):
        rejections, earned = self.replay_load()
        pauses = (LOAD_SECONDS + DRAIN_SECONDS) / INITIAL_PAUSE_SECONDS
        self.assertLessEqual(rejections, 24 * pauses)
        with mock.patch.object(RejectionPauses, "is_paused", lambda *arguments: False):
            unlimited_rejections, unlimited_earned = self.replay_load()
        self.assertLess(10 * rejections, unlimited_rejections)
        self.assertGreater(earned, unlimited_earned + 0.01)
