from cranberryshore.pool import ReportedRun, StartRun, WorkerStatus
from cranberryshore.pool.common_cause import SIMULTANEOUS_SECONDS
from cranberryshore.pool.isolation import CONFINING_SHARE, RECOVERY_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase
from cranberryshore.pool.tests.test_scheduler import request

WORKER_COUNT = 2 * CONFINING_SHARE


class ConfinedQueueTestCase(LostWorkerTestCase):
    """A service of so many workers that a queue may be confined."""

    def setUp(self):
        super().setUp()
        for number in range(3, WORKER_COUNT + 1):
            self.add_worker(f"w{number}")
            self.poll(f"w{number}")
        self.starts()

    def lose_workers(self, count: int, pause: float) -> None:
        self.poll_idle()
        for start in self.submit("deadly", count, millicores=2000):
            self.fail_polls(start.worker)
            self.scheduler.worker_refuses(start.worker, self.now)
            self.now += pause


class ConfinedQueueTest(ConfinedQueueTestCase):
    """A queue whose tasks crash workers one after another."""

    def used_workers(self) -> set[str]:
        self.poll_idle()
        starts = self.submit("sound", 4 * WORKER_COUNT, millicores=1000)
        return {start.worker for start in starts}

    def test_queue_uses_up_the_workers_of_a_service(self):
        self.lose_workers(2, 2 * SIMULTANEOUS_SECONDS)
        self.assertLess(len(self.used_workers()), 0.75 * (WORKER_COUNT - 2))

    def test_other_queues_use_all_workers(self):
        self.lose_workers(2, 2 * SIMULTANEOUS_SECONDS)
        isolation, workers = self.scheduler.placer.isolation, self.scheduler.workers.values()
        self.assertIsNone(isolation.confined_workers("o", "s", workers, self.now))
        self.assertIsNotNone(isolation.confined_workers("q", "s", workers, self.now))

    def test_queue_is_free_again_when_the_workers_are_back(self):
        self.lose_workers(2, 2 * SIMULTANEOUS_SECONDS)
        self.now += RECOVERY_SECONDS
        self.assertEqual(len(self.used_workers()), WORKER_COUNT - 2)

    def test_lost_rack_confines_no_queue(self):
        self.lose_workers(4, 0.0)
        self.assertEqual(len(self.used_workers()), WORKER_COUNT - 4)


class RefusedStartIsolationTest(ConfinedQueueTestCase):
    """Workers that are lost with starts on their way, which are refused then."""

    def send(self, count: int) -> list[StartRun]:
        """Submit tasks that fill a worker each, and return their starts, which are not answered."""
        self.poll_idle()
        self.scheduler.submit(request("sent", count, millicores=2000), "e", self.now)
        return self.effects(StartRun)

    def lose(self, name: str) -> None:
        self.fail_polls(name)
        self.scheduler.worker_refuses(name, self.now)

    def reject(self, start: StartRun) -> None:
        self.scheduler.start_rejected(start.worker, start.key, False, self.now)

    def confined_workers(self) -> frozenset[str] | None:
        isolation, workers = self.scheduler.placer.isolation, self.scheduler.workers.values()
        return isolation.confined_workers("q", "s", workers, self.now)

    def test_queue_is_confined_for_starts_that_were_refused(self):
        for start in self.send(2):
            self.lose(start.worker)
            self.now += 2 * SIMULTANEOUS_SECONDS
            self.reject(start)
        self.assertIsNone(self.confined_workers())

    def test_queue_is_confined_for_starts_that_may_have_begun(self):
        for start in self.send(2):
            self.lose(start.worker)
            self.now += 2 * SIMULTANEOUS_SECONDS
        self.assertIsNotNone(self.confined_workers())

    def test_queue_that_ran_on_a_lost_worker_is_free_since_a_start_was_refused(self):
        for number in range(2):
            (running,) = self.submit(f"run{number}")
            self.scheduler.submit(request(f"sent{number}"), "e", self.now)
            (start,) = self.effects(StartRun)
            self.assertEqual(start.worker, running.worker)
            self.lose(start.worker)
            self.now += 2 * SIMULTANEOUS_SECONDS
            self.reject(start)
            self.scheduler.cancel(f"sent{number}", "e", self.now)
        self.assertIsNotNone(self.confined_workers())

    def test_suspects_wait_for_a_worker_on_which_the_start_of_one_was_refused(self):
        isolation, workers = self.scheduler.placer.isolation, self.scheduler.workers
        for start in self.send(2):
            workers[start.worker].isolated_runs.add(start.key)
            self.lose(start.worker)
            self.assertFalse(isolation.may_start(list(workers.values())[:8], "s", self.now))
            self.reject(start)
            self.assertTrue(isolation.may_start(list(workers.values())[:8], "s", self.now))


class RefutedLossIsolationTest(ConfinedQueueTestCase):
    """Workers that refuse connections behind a partition, and answer again soon."""

    def answer(self, name: str, born: int) -> None:
        self.now += 0.01
        worker = self.scheduler.workers[name]
        listed = tuple(ReportedRun(*key) for key in worker.runs)
        status = WorkerStatus(born, 0, listed if born == worker.born else (), ())
        self.scheduler.record_status(name, status, worker.token, self.now, self.now)

    def lose_and_answer(self, born: int) -> frozenset[str] | None:
        """Lose two workers, let them answer, and return the workers that the queue keeps."""
        self.lose_workers(2, 2 * SIMULTANEOUS_SECONDS)
        for name in sorted(loss.worker for loss in self.scheduler.placer.isolation.losses):
            self.answer(name, born)
        isolation, workers = self.scheduler.placer.isolation, self.scheduler.workers.values()
        return isolation.confined_workers("q", "s", workers, self.now)

    def test_queue_is_confined_for_workers_that_were_not_lost(self):
        self.assertIsNone(self.lose_and_answer(born=1))

    def test_queue_is_not_confined_for_workers_that_have_restarted(self):
        self.assertIsNotNone(self.lose_and_answer(born=2))

    def test_suspects_wait_for_a_worker_that_was_not_lost(self):
        (start,) = self.submit()
        worker = self.scheduler.workers[start.worker]
        worker.isolated_runs.add(start.key)
        self.scheduler.worker_refuses(worker.name, self.now)
        self.answer(worker.name, 1)
        worker.isolated_runs.clear()
        isolation = self.scheduler.placer.isolation
        self.assertTrue(isolation.may_start([worker], "s", self.now))
