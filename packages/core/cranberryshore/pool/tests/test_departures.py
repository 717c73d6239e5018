from unittest import TestCase

import attrs

from cranberryshore.pool import Departure, LostRun, WorkerListing, WorkerRegistration
from cranberryshore.pool.crashes import Entry
from cranberryshore.pool.departures import (
    HIDDEN_CHANGE_SECONDS,
    MAX_ANSWER_GAP_SECONDS,
    NOTICE_SECONDS,
    DepartureCheck,
)
from cranberryshore.work import Capacity

WORKER = WorkerRegistration("w", "w:1", "z", "s", Capacity(1000), born=7)
LOST_AT = 10.0
LOST = LostRun("j.0.0.0", 1, "w", 7)


class DepartureCheckTest(TestCase):
    """Registrations before and after the loss of a worker."""

    def setUp(self):
        self.check = DepartureCheck()

    def read(self, *answers: float, missing=(), confirmed_at=None, **changes) -> None:
        entry = attrs.evolve(WORKER, **changes)
        for at in answers:
            confirmed = at if confirmed_at is None else confirmed_at
            self.check.record(WorkerListing((entry,), frozenset(missing), confirmed, at))

    def judge(self, **changes) -> Departure:
        return self.check.judge(Entry(attrs.evolve(LOST, **changes), LOST_AT))

    def test_worker_that_is_registered_all_the_while_has_not_left(self):
        self.read(9.0, 10.0, 10.9)
        self.assertIs(self.judge(), Departure.UNDECIDED)
        self.read(LOST_AT + HIDDEN_CHANGE_SECONDS)
        self.assertIs(self.judge(), Departure.EXCLUDED)

    def test_answer_with_older_registrations_decides_nothing(self):
        self.read(9.0, 10.0, 11.1, confirmed_at=10.9)
        self.assertIs(self.judge(), Departure.UNDECIDED)

    def test_announcement_is_not_read_while_the_store_is_silent(self):
        self.read(8.0, 8.0 + MAX_ANSWER_GAP_SECONDS + 0.5, 10.5, 11.5)
        self.assertIs(self.judge(), Departure.UNKNOWN)

    def test_announcement_just_before_the_first_answer_is_not_known(self):
        self.read(LOST_AT - 0.9 * NOTICE_SECONDS, 10.5, 11.5)
        self.assertIs(self.judge(), Departure.UNKNOWN)

    def test_announcement_that_is_read_after_the_loss_is_a_departure(self):
        self.read(9.0, 10.0, 10.2, is_draining=True)
        self.assertIs(self.judge(), Departure.ANNOUNCED)

    def test_missing_registration_tells_nothing(self):
        self.read(9.0, 10.0, 11.1, missing=("w",))
        self.assertIs(self.judge(), Departure.UNKNOWN)

    def test_registration_of_a_later_start_tells_nothing(self):
        self.read(9.0, 10.0, 11.1, born=8)
        self.assertIs(self.judge(), Departure.UNKNOWN)

    def test_loss_that_an_earlier_scheduler_has_noticed_is_judged_by_its_store(self):
        self.read(LOST_AT + 0.2, LOST_AT + HIDDEN_CHANGE_SECONDS)
        self.assertIs(self.judge(), Departure.UNKNOWN)
        self.assertIs(self.judge(was_store_answering=True), Departure.EXCLUDED)

    def test_store_that_has_answered_the_earlier_scheduler_only_hides_an_announcement(self):
        self.read(8.0, 8.0 + MAX_ANSWER_GAP_SECONDS + 0.5, 10.5, 11.5)
        self.assertIs(self.judge(was_store_answering=True), Departure.UNKNOWN)

    def test_store_answers_when_a_worker_is_lost(self):
        self.assertFalse(self.check.is_answering(LOST_AT))
        self.read(9.0, 9.8)
        self.assertTrue(self.check.is_answering(LOST_AT))
        self.assertFalse(self.check.is_answering(9.8 + NOTICE_SECONDS + 0.1))

    def test_nothing_is_known_before_the_first_answer(self):
        self.assertIs(self.judge(), Departure.UNDECIDED)
