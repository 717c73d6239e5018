from unittest import TestCase

from cranberryshore.pool import CrashHistory, LossState, StartRun
from cranberryshore.pool.common_cause import SIMULTANEOUS_SECONDS
from cranberryshore.pool.held_worker import CLOSING_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request

TASK = "j.0.0.0"


class WaveTestCase(LostWorkerTestCase):
    """Workers that crash at the same moment."""

    def setUp(self):
        super().setUp()
        for name in ("w3", "w4"):
            self.add_worker(name)
            self.poll(name)
        self.scheduler.take_effects()

    def close(self, name: str) -> None:
        self.scheduler.worker_closed(name, self.now)
        self.scheduler.record_poll_failure(name, 1, self.now)

    def refuse(self, name: str) -> None:
        self.scheduler.record_poll_failure(name, 2, self.now)
        self.scheduler.worker_refuses(name, self.now)

    def has_common_cause(self, task: str) -> bool:
        records = [lost for lost in self.scheduler.crashes.records(self.now) if lost.task == task]
        return all(lost.has_common_cause for lost in records) and bool(records)


class UnevenWaveTest(WaveTestCase):
    def test_job_failed_for_waves_that_took_idle_workers(self):
        (start,) = self.submit()
        names = [name for name in sorted(self.scheduler.workers) if name != start.worker]
        for name in [start.worker, *names[:2]]:
            self.close(name)
            self.refuse(name)
        self.assertTrue(self.has_common_cause(start.key[0]))

    def test_job_failed_for_waves_whose_refusals_came_apart(self):
        starts = self.submit(count=3, millicores=2000)
        for start in starts:
            self.close(start.worker)
        for start in starts[:2]:
            self.refuse(start.worker)
        self.now += (SIMULTANEOUS_SECONDS + CLOSING_SECONDS) / 2
        self.refuse(starts[2].worker)
        self.assertTrue(self.has_common_cause(starts[2].key[0]))

    def test_wave_is_not_noticed_for_a_suspect_that_never_began(self):
        starts = self.submit(count=2, millicores=2000)
        used = {start.worker for start in starts}
        third = next(name for name in sorted(self.scheduler.workers) if name not in used)
        for name in self.scheduler.workers.keys() - used - {third}:
            self.scheduler.workers[name].is_draining = True
        self.scheduler.crashes.record("v", 1, {("s.0.0.0", 1): True}, LossState.PROVEN, -9.0)
        self.poll(third)
        self.scheduler.submit(request("s"), "e", self.now)
        (sent,) = self.effects(StartRun)
        self.assertEqual(sent.worker, third)
        for name in (*used, third):
            self.close(name)
            self.refuse(name)
        self.scheduler.start_rejected(third, sent.key, False, self.now)
        self.assertTrue(self.has_common_cause(starts[0].key[0]))


class SeveralHistoriesTest(TestCase):
    def setUp(self):
        self.history, self.other = CrashHistory(), CrashHistory()

    def crash(self, history: CrashHistory, worker: str, task: str, now: float, **options) -> None:
        history.record(worker, int(now), {(task, 1): True}, LossState.PROVEN, now, **options)
        history.confirm_registered(worker, int(now), now)

    def exchange(self, now: float) -> None:
        self.other.merge(self.history.take_changes(now), now)
        self.history.merge(self.other.take_changes(now), now)

    def test_job_failed_for_a_crash_and_a_wave_of_three_that_found_it_apart(self):
        self.crash(self.history, "w1", TASK, 1.0)
        self.crash(self.history, "w2", TASK, 5.0, is_exposed=True)
        self.crash(self.history, "w3", "k.0.0.0", 5.01)
        self.crash(self.history, "w4", "l.0.0.0", 5.02)
        self.assertFalse(self.history.is_culprit(TASK))

    def test_job_failed_for_waves_of_which_each_scheduler_saw_two_workers(self):
        for now in (1.0, 5.0):
            self.crash(self.history, "w1", TASK, now)
            self.crash(self.history, "w2", f"k{now}.0.0.0", now)
            self.crash(self.other, "w3", f"l{now}.0.0.0", now)
            self.crash(self.other, "w4", f"m{now}.0.0.0", now)
            self.exchange(now + 0.01)
        self.assertFalse(self.history.is_culprit(TASK))
