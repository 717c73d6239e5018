from cranberryshore.pool.common_cause import SIMULTANEOUS_SECONDS
from cranberryshore.pool.isolation import CONFINING_SHARE, RECOVERY_SECONDS
from cranberryshore.pool.tests.test_lost_workers import LostWorkerTestCase

WORKER_COUNT = 2 * CONFINING_SHARE


class ConfinedQueueTest(LostWorkerTestCase):
    """A queue whose tasks crash workers one after another."""

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
