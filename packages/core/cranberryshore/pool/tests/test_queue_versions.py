from unittest import TestCase

import attrs

from cranberryshore.pool import (
    HeldWorker,
    HoldState,
    PoolConfig,
    QueueSpec,
    Scheduler,
    StartRun,
    StepSpec,
    VersionedQueue,
    WorkRequest,
)
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity

QUEUE = QueueSpec("q", "h", "/q/", "own")
OTHER_QUEUE = attrs.evolve(QUEUE, service="other")


class QueueVersionsTest(TestCase):
    """An entry instance and its scheduler, whose configurations differ, run a job."""

    def started_on(self, scheduler_version: int, entry_version: int, is_known: bool = True) -> str:
        queues = (QUEUE,) if is_known else ()
        scheduler = Scheduler(PoolConfig(scheduler_version, queues), UnlimitedRights())
        for service in ("own", "other"):
            worker = HeldWorker(
                service, "", "z", service, Capacity(4000, 64), frozenset(), 1, registered_born=1
            )
            worker.state, worker.clock_offset_ms, worker.clock_read_at = HoldState.HELD, 0.0, 100.0
            worker.born = 1
            scheduler.add_worker(worker, 100.0)
        request = WorkRequest(
            "j",
            "q",
            "",
            (StepSpec(1, Capacity(1000, 64), 100),),
            5000,
            known_queue=VersionedQueue(entry_version, OTHER_QUEUE),
        )
        scheduler.submit(request, "entry", 100.0)
        scheduler.tick(100.0)
        starts = [effect for effect in scheduler.take_effects() if isinstance(effect, StartRun)]
        return starts[0].worker if starts else ""

    def test_newer_configuration_of_the_entry_instance(self):
        self.assertEqual(self.started_on(3, 4), "other")

    def test_queue_added_by_a_configuration_that_only_the_entry_instance_has(self):
        self.assertEqual(self.started_on(3, 4, is_known=False), "other")

    def test_newer_configuration_of_the_scheduler(self):
        self.assertEqual(self.started_on(4, 3), "own")

    def test_queue_removed_by_the_newer_configuration_of_the_scheduler(self):
        self.assertEqual(self.started_on(4, 3, is_known=False), "")
