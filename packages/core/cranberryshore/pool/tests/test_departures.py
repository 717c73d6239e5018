from unittest import TestCase

import attrs

from cranberryshore.pool import Departure, WorkerListing, WorkerRegistration
from cranberryshore.pool.departures import (
    HIDDEN_CHANGE_SECONDS,
    MAX_ANSWER_GAP_SECONDS,
    NOTICE_SECONDS,
    DepartureCheck,
)
from cranberryshore.work import Capacity

WORKER = WorkerRegistration("w", "w:1", "z", "s", Capacity(1000), born=7)
LOST_AT = 10.0


class DepartureCheckTest(TestCase):
    """Registrations before and after the loss of a worker."""

    def setUp(self):
        self.check = DepartureCheck()

    def read(self, *answers: float, missing=(), confirmed_at=None, **changes) -> None:
        entry = attrs.evolve(WORKER, **changes)
        for at in answers:
            confirmed = at if confirmed_at is None else confirmed_at
            self.check.record(WorkerListing((entry,), frozenset(missing), confirmed, at))

    def judge(self) -> Departure:
        return self.check.judge("w", 7, LOST_AT)

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

    def test_nothing_is_known_before_the_first_answer(self):
        self.assertIs(self.judge(), Departure.UNDECIDED)
