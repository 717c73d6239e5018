from collections.abc import Callable
from itertools import permutations

from cranberryshore.pool import LossState, LostRun, StartRun
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.tests.test_withdrawn_starts import RefusedStartTestCase


class EventOrderTest(RefusedStartTestCase):
    """What may follow a start, in each order, while its reply never comes or comes late."""

    def in_each_order(self, count: int, check: Callable[[StartRun], None], **events) -> None:
        """Let some events follow a start in each order, and check the state after each one."""
        for order in permutations(events, count):
            with self.subTest(order=order):
                self.setUp()
                # Its lease holds, and it ran.
                self.submit("k", estimate_ms=4000, budget_ms=30_000)
                start = self.send(estimate_ms=4000, budget_ms=30_000)
                for name in order:
                    self.now += 0.01
                    events[name](start)
                    check(start)

    def close(self, start: StartRun) -> None:
        self.scheduler.worker_closed(start.worker, self.now)
        worker = self.scheduler.workers[start.worker]
        self.scheduler.start_unanswered(start.worker, worker.token + 1, self.now)

    def miss_reply(self, start: StartRun) -> None:
        worker = self.scheduler.workers[start.worker]
        self.scheduler.start_unanswered(start.worker, worker.token + 1, self.now)

    def refuse_poll(self, start: StartRun) -> None:
        self.list_workers()
        self.scheduler.record_poll_failure(start.worker, 1, self.now)
        self.scheduler.worker_refuses(start.worker, self.now)

    def answer_421(self, start: StartRun) -> None:
        self.scheduler.worker_replaced(start.worker, self.now)

    def answer_later_boot(self, start: StartRun) -> None:
        self.answer(start.worker, self.scheduler.workers[start.worker].born + 1)

    def answer_same_boot(self, start: StartRun) -> None:
        self.answer(start.worker, self.scheduler.workers[start.worker].born)

    def expire_lease(self, start: StartRun) -> None:
        self.now += LEASE_EXPIRY_SECONDS
        self.scheduler.tick(self.now)

    def confirm_late(self, start: StartRun) -> None:
        self.scheduler.start_confirmed(start.worker, start.key, self.now)

    def records(self, start: StartRun) -> list[LostRun]:
        """Return the records of the first start of the task."""
        records = self.scheduler.crashes.records(self.now)
        return [lost for lost in records if (lost.task, lost.attempt) == start.key]

    def assert_consistent(self, start: StartRun) -> None:
        """Check that runs and room agree, and that a task without a run waits."""
        worker = self.scheduler.workers[start.worker]
        used = sum(run.demand.millicores for run in worker.runs.values())
        self.assertEqual(worker.room.millicores, worker.total.millicores - used)
        runs = [key for item in self.scheduler.workers.values() for key in item.runs]
        self.assertEqual(set(self.scheduler.registry.tasks_by_run), set(runs))
        own = [key for key in runs if key[0] == start.key[0]]
        self.assertEqual(self.scheduler.jobs["j"].waiting_tasks, 1 - len(own))

    def assert_no_crash(self, start: StartRun) -> None:
        self.assert_consistent(start)
        self.assertEqual([lost for lost in self.records(start) if lost.was_running], [])
        self.assertEqual(self.crashed_workers(start), 0)

    def assert_not_lost(self, start: StartRun) -> None:
        """Check that a refused start is not lost, whatever was recorded before."""
        self.assert_consistent(start)
        if start.key in self.scheduler.registry.open_starts:
            return
        states = {lost.state for lost in self.records(start)}
        self.assertLessEqual(states, {LossState.REFUTED})
        self.assertFalse(self.scheduler.jobs["j"].has_started)

    def test_start_without_a_reply_is_a_crash(self):
        self.in_each_order(
            4,
            self.assert_no_crash,
            close=self.close,
            miss_reply=self.miss_reply,
            refuse_poll=self.refuse_poll,
            answer_421=self.answer_421,
            answer_later_boot=self.answer_later_boot,
            answer_same_boot=self.answer_same_boot,
            expire_lease=self.expire_lease,
        )

    def test_start_that_is_confirmed_after_the_end_of_its_process_is_a_crash(self):
        def lose_and_confirm(start: StartRun) -> None:
            self.answer_later_boot(start)
            self.confirm_late(start)

        self.in_each_order(
            3,
            self.assert_no_crash,
            lose_and_confirm=lose_and_confirm,
            close=self.close,
            refuse_poll=self.refuse_poll,
            answer_421=self.answer_421,
            expire_lease=self.expire_lease,
        )

    def test_start_that_is_refused_stays_lost(self):
        self.in_each_order(
            4,
            self.assert_not_lost,
            reject=self.reject,
            close_other=lambda start: self.scheduler.worker_closed(start.worker, self.now),
            refuse_poll=self.refuse_poll,
            answer_421=self.answer_421,
            answer_later_boot=self.answer_later_boot,
            expire_lease=self.expire_lease,
        )
