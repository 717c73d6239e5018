import attrs

from cranberryshore.pool import (
    EndKind,
    HoldState,
    JobEnded,
    Outcome,
    ReportedRun,
    StartRun,
    WorkerStatus,
)
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS, LEASE_SECONDS
from cranberryshore.pool.isolation import EXPOSED_SHARE, LONG_RUN_SECONDS
from cranberryshore.pool.tests.test_review_of_losses import LossReviewTestCase
from cranberryshore.pool.tests.test_scheduler import QUEUE, request

BUDGET_MS = 30_000

WORKER_COUNT = 3 * EXPOSED_SHARE
"""Number of workers of which three may run suspects at a time."""

SHORT_MS = int(1000 * LONG_RUN_SECONDS) - 50
"""Run time beside which a suspect may start."""

RESTART_SECONDS = 1.2
"""Time from the crash of a worker to the answer of the next process at its address."""


class RefusedStartTestCase(LossReviewTestCase):
    """A job was given up for two workers that had refused the starts of its task (issue 41)."""

    def setUp(self):
        self.ended = []
        super().setUp()
        # No answer is useless, so jobs wait until it is known what has become of the workers.
        queue = attrs.evolve(QUEUE, aim_ms=BUDGET_MS)
        self.scheduler.config = attrs.evolve(self.scheduler.config, queues=(queue,))

    def effects(self, kind: type) -> list:
        taken = self.scheduler.take_effects()
        self.ended += [item for item in taken if isinstance(item, JobEnded)]
        return [item for item in taken if isinstance(item, kind)]

    def extend_leases(self) -> None:
        """Let the workers that are not lost answer a poll that extends their leases."""
        for worker in self.scheduler.workers.values():
            if worker.state is not HoldState.HELD:
                continue
            sent_at, self.now = self.now, self.now + 0.01
            worker.lease_extended_at, lease_until = sent_at, sent_at + LEASE_SECONDS
            listed = tuple(ReportedRun(*key) for key in worker.runs)
            status = WorkerStatus(worker.born, 0, listed, ())
            self.scheduler.record_status(
                worker.name, status, worker.token, sent_at, self.now, lease_until
            )

    def send(self, job_id: str = "j", **options) -> list[StartRun]:
        """Submit a job and return its starts, which are on their way."""
        work = request(job_id, millicores=500, budget_ms=BUDGET_MS, **options)
        self.scheduler.submit(work, "e", self.now)
        return self.effects(StartRun)

    def refuse_start(self, start: StartRun) -> list[StartRun]:
        """Refuse the connection of a start, and return the starts that follow."""
        self.now += 0.001
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)
        self.scheduler.worker_refuses(start.worker, self.now)
        return self.effects(StartRun)

    def refuse_poll(self, name: str) -> list[StartRun]:
        """Refuse the connection of a poll, and return the starts that follow."""
        self.now += 0.001
        self.scheduler.record_poll_failure(name, 1, self.now)
        self.scheduler.worker_refuses(name, self.now)
        return self.effects(StartRun)

    def close_poll(self, name: str) -> None:
        """Close the connection of a long poll."""
        self.now += 0.001
        self.scheduler.worker_closed(name, self.now)
        self.scheduler.record_poll_failure(name, 1, self.now)

    def replace_workers(self) -> None:
        """Let other processes answer at the addresses of the workers that are lost."""
        self.pass_time(RESTART_SECONDS)
        for name in ("w1", "w2"):
            self.now += 0.1
            self.scheduler.worker_replaced(name, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)

    def finish_runs(self, spared: str = "") -> None:
        """Let all workers that answer complete their runs, but those of one task."""
        for _ in range(10):
            self.list_workers(born=1)
            for name, worker in self.scheduler.workers.items():
                if worker.state is HoldState.HELD:
                    ended = [(key, EndKind.DONE) for key in worker.runs if key[0] != spared]
                    self.poll(name, [key for key in worker.runs if key[0] == spared], ended)
                    self.starts()

    def assert_completed(self, task: str) -> None:
        """Check that the job of a task is completed; its other tasks are done on other workers."""
        for number in range(3, WORKER_COUNT + 1):
            self.add_worker(f"w{number}")
            self.poll(f"w{number}")
        self.finish_runs(task)
        self.replace_workers()
        # By then, runs that were on these workers have been started again.
        self.finish_runs(task)
        self.finish_runs()
        outcomes = {end.job: end.outcome for end in self.ended}
        self.assertEqual(outcomes["j"], Outcome.COMPLETED)


class RefusedStartTest(RefusedStartTestCase):
    """Starts of one job that several workers refuse in a wave of crashes."""

    def refuse_in_turn(self, starts: list[StartRun]) -> list[StartRun]:
        """Refuse a start, a poll and the other starts, and return the starts that follow."""
        again = self.refuse_start(starts[0])
        again += self.refuse_poll(starts[0].worker)
        return again + [later for start in starts[1:] for later in self.refuse_start(start)]

    def refuse_on_both(self) -> str:
        """Let both workers refuse all starts of a job; return a task that was sent to both."""
        starts = self.send(count=6)
        self.assertEqual([start.worker for start in starts], 4 * ["w1"] + 2 * ["w2"])
        again = self.refuse_in_turn(starts[:4])
        self.assertEqual([start.worker for start in again], ["w2", "w2"])
        self.assertEqual(self.refuse_in_turn(starts[4:] + again), [])
        return again[1].key[0]

    def test_job_failed_for_starts_that_two_idle_workers_refused(self):
        self.assert_completed(self.refuse_on_both())

    def test_job_failed_for_starts_that_two_workers_refused_whose_leases_held(self):
        self.extend_leases()
        self.assert_completed(self.refuse_on_both())

    def test_job_failed_for_polls_that_were_refused_before_its_starts(self):
        self.extend_leases()
        (start,) = self.send()
        for _ in range(2):
            self.assertEqual(self.refuse_poll(start.worker), [])
            (start,) = self.refuse_start(start) or (start,)
        self.assert_completed(start.key[0])


class ClosedPollTest(RefusedStartTestCase):
    """Starts on their way to workers that crash under other runs, whose polls are closed."""

    def setUp(self):
        super().setUp()
        self.others = self.submit(
            "k", count=2, millicores=1500, estimate_ms=SHORT_MS, budget_ms=BUDGET_MS
        )
        self.assertEqual([start.worker for start in self.others], ["w1", "w2"])

    def close_start(self, start: StartRun) -> None:
        """Close the connections of a poll and of a start, and refuse the next poll."""
        self.close_poll(start.worker)
        self.scheduler.worker_closed(start.worker, self.now)
        token = self.scheduler.workers[start.worker].token + 1
        self.scheduler.start_unanswered(start.worker, token, self.now)
        self.refuse_poll(start.worker)

    def test_crash_is_not_counted_since_another_process_answered_the_next_call(self):
        self.extend_leases()
        self.list_workers()
        self.close_poll("w1")
        self.scheduler.worker_replaced("w1", self.now)
        self.assertEqual([self.crashed_workers(start) for start in self.others], [1, 0])

    def test_job_failed_for_starts_that_were_refused_after_a_poll_was_closed(self):
        self.extend_leases()
        (start,) = self.send()
        self.close_poll(start.worker)
        (again,) = self.refuse_start(start)
        self.refuse_poll(start.worker)
        self.close_poll(again.worker)
        self.refuse_start(again)
        self.refuse_poll(again.worker)
        self.assert_completed(start.key[0])

    def test_job_failed_for_starts_that_were_closed_with_a_poll(self):
        self.extend_leases()
        (start,) = self.send()
        self.close_start(start)
        self.pass_time(LEASE_EXPIRY_SECONDS - 0.1)
        self.extend_leases()
        self.now += 0.1
        self.scheduler.tick(self.now)
        (again,) = self.effects(StartRun)
        self.close_start(again)
        self.assert_completed(start.key[0])


class UnclosedConnectionTest(RefusedStartTestCase):
    """Workers whose processes end some time after their latest answer; no connection is closed."""

    def restart(self, name: str) -> None:
        """Let a worker answer as a later start, and the registrations be read."""
        self.pass_time(RESTART_SECONDS)
        self.answer(name, 2)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)

    def test_run_counts_beside_a_start_that_a_partition_refuses(self):
        # Its process ends later, behind the partition.
        (running,) = self.submit(estimate_ms=900)
        self.extend_leases()
        (start,) = self.send("k")
        self.assertEqual(start.worker, running.worker)
        self.refuse_start(start)
        self.assertTrue(self.scheduler.crashes.is_suspect(running.key[0]))
        self.restart(running.worker)
        self.assertEqual(self.crashed_workers(running), 0)

    def test_start_on_its_way_counts_when_another_process_answers(self):
        self.extend_leases()
        (start,) = self.send()
        self.list_workers()
        self.scheduler.worker_replaced(start.worker, self.now)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.assertEqual(self.crashed_workers(start), 0)

    def test_start_without_an_answer_counts_when_a_later_start_answers(self):
        self.extend_leases()
        (start,) = self.send()
        token = self.scheduler.workers[start.worker].token + 1
        self.scheduler.start_unanswered(start.worker, token, self.now)
        self.answer(start.worker, 2)
        self.pass_time(2 * HIDDEN_CHANGE_SECONDS)
        self.assertEqual(self.crashed_workers(start), 0)
