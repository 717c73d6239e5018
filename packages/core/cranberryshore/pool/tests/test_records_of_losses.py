from cranberryshore.pool import EndKind, JobEnded, LostRun, PollWorker
from cranberryshore.pool.crashes import RETENTION_SECONDS, CrashHistory
from cranberryshore.pool.departures import HIDDEN_CHANGE_SECONDS
from cranberryshore.pool.held_worker import LEASE_EXPIRY_SECONDS
from cranberryshore.pool.lost_run import LossState
from cranberryshore.pool.tests.registrations import relist
from cranberryshore.pool.tests.test_former_boots import RestartTestCase

TASK = "j.0.0.0"
SUSPECTED, PROVEN = LossState.SUSPECTED, LossState.PROVEN


def crash(worker: str, attempt: int, state: LossState = PROVEN) -> LostRun:
    """Return the record of a worker that has crashed under the task, if that is proven."""
    return LostRun(
        TASK, attempt, worker, 1, beside=(), state=state, was_running=True, was_registered=True
    )


class RecordsOfLossesTest(RestartTestCase):
    """Records of lost runs that come from other instances or from the store."""

    def merge(self, *lost: LostRun) -> None:
        self.scheduler.crashes.merge(lost, self.now)
        self.scheduler.losses_changed(self.now)

    def test_job_fails_for_a_task_that_has_ended_well(self):
        starts = self.submit(count=2)
        (first,) = [start for start in starts if start.key[0] == TASK]
        self.end(first, EndKind.DONE)
        self.merge(crash("w8", 1), crash("w9", 2))
        self.assertEqual(self.effects(JobEnded), [])

    def test_job_fails_for_a_task_that_has_ended_well_under_another_scheduler(self):
        self.add_worker("w9")
        self.poll("w1", ended=[((TASK, 3), EndKind.DONE)])
        self.submit(count=2, is_resumed=True)
        self.merge(crash("w8", 1), crash("w9", 2, SUSPECTED))
        self.assertEqual(self.effects(JobEnded), [])
        self.answer("w9", 2)
        self.assertEqual(self.effects(JobEnded), [])

    def test_idle_worker_is_not_asked_about_a_loss_that_another_instance_reports(self):
        self.merge(LostRun(TASK, 1, "w1", 1), LostRun(TASK, 2, "w2", 1))
        self.scheduler.tick(self.now)
        polled = {effect.worker for effect in self.effects(PollWorker)}
        self.assertEqual(polled, {"w1", "w2"})

    def test_records_that_instances_exchange_are_never_forgotten(self):
        one, other = CrashHistory(), CrashHistory()
        one.record("w1", 1, {(TASK, 1): True}, PROVEN, 0.0)
        for number in range(1, 4):
            now = number * 0.9 * RETENTION_SECONDS
            one.discard_outdated(now)
            other.discard_outdated(now)
            # A peer that is discovered gets all records of a scheduler.
            other.merge(one.records(now), now)
            one, other = other, one
        self.assertEqual(one.records(now), ())

    def test_tasks_of_a_lost_rack_are_suspects_at_another_instance(self):
        history, other = CrashHistory(), CrashHistory()
        for number in range(3):
            history.record(f"w{number}", 1, {(f"t{number}", 1): True}, SUSPECTED, 1.0)
        other.merge(history.take_changes(1.0), 1.1)
        self.assertFalse(history.is_suspect("t0"))
        self.assertFalse(other.is_suspect("t0"))

    def test_workers_of_a_lost_rack_that_return_in_turn_are_no_suspects(self):
        for number in range(3, 6):
            self.add_worker(f"w{number}")
            self.poll(f"w{number}")
        starts = self.submit(count=3, millicores=2000)
        for start in starts:
            self.fail_polls(start.worker)
        self.now += LEASE_EXPIRY_SECONDS + 0.01
        self.scheduler.tick(self.now)
        for start in starts:
            self.now += 0.3
            self.answer(start.worker, 2)
        crashes = self.scheduler.crashes
        suspects = [start.key for start in starts if crashes.is_suspect(start.key[0])]
        self.assertEqual(suspects, [])

    def test_departure_of_a_worker_proves_a_loss_that_was_suspected_before(self):
        # Its process has lived on: it has written that it is draining.
        self.merge(LostRun(TASK, 1, "w1", 1))
        relist(self.scheduler, "w1", is_draining=True)
        self.scheduler.worker_replaced("w1", self.now)
        self.assertEqual(self.scheduler.crashes.crashed_workers(TASK), 0)

    def test_loss_that_a_restart_proves_confines_no_queue(self):
        (start,) = self.submit()
        self.answer(start.worker, 2)
        self.list_workers(born=1)
        self.list_workers(self.now + HIDDEN_CHANGE_SECONDS, born=1)
        self.assertEqual(self.crashed_workers(start), 1)
        self.assertEqual([item[0] for item in self.scheduler.placer.isolation.queue_losses], ["q"])

    def test_suspect_lost_by_a_restart_leaves_its_place_to_another_one(self):
        (start,) = self.submit()
        self.crash(start.worker)
        (again,) = self.starts_after_polls(start.worker)
        self.answer(again.worker, 2)
        self.assertFalse(self.scheduler.placer.isolation.may_start([], "s", self.now))
