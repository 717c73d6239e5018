"""Relief of a scheduler: to whom a claim may move, and when a pool may be divided.

Guards against metastable overload of the control path: a weak instance that keeps the claim, or one
scheduler that keeps all zones, although its event loop lags all the time.
"""

import unittest

from cranberryshore.pool import Member, MemberAddress, WorkerRegistration
from cranberryshore.pool.relief import LagMeter, can_divide, find_stronger_instance
from cranberryshore.pool.relief.rules import MIN_ZONE_WORKERS
from cranberryshore.work import Capacity

NOW = 100.0


def instance(name: str, zone: str, millicores: int) -> MemberAddress:
    return MemberAddress(f"{name}.1", f"127.0.0.1:{ord(name[0])}", zone, millicores)


def workers(counts: dict[str, int], service: str = "s") -> list[WorkerRegistration]:
    return [
        WorkerRegistration(f"{service}-{zone}{number}", "", zone, service, Capacity(1000), born=1)
        for zone, count in counts.items()
        for number in range(count)
    ]


class StrongerInstanceTest(unittest.TestCase):
    own = instance("a", "z", 500)

    def test_strongest_instance_that_the_store_answers_takes_over(self):
        peers = [
            Member(instance("b", "z", 1000), store_answered_at=NOW),
            Member(instance("c", "z", 2000), store_answered_at=NOW),
            Member(instance("d", "z", 3000), store_answered_at=NOW - 5.0),
        ]
        self.assertIs(find_stronger_instance(self.own, peers, NOW), peers[1])

    def test_instance_of_equal_strength_is_no_relief(self):
        peers = [Member(instance("b", "z", 600), store_answered_at=NOW)]
        self.assertIsNone(find_stronger_instance(self.own, peers, NOW))


class DivisionTest(unittest.TestCase):
    own = instance("a", "x", 2000)
    peers = [instance("b", "y", 1500), instance("c", "x", 500)]

    def test_pool_with_workers_and_processors_in_each_zone_is_divided(self):
        listed = workers({"x": MIN_ZONE_WORKERS, "y": MIN_ZONE_WORKERS})
        self.assertTrue(can_divide(self.own, self.peers, listed))

    def test_small_zone_keeps_one_scheduler(self):
        listed = workers({"x": MIN_ZONE_WORKERS, "y": MIN_ZONE_WORKERS - 1})
        self.assertFalse(can_divide(self.own, self.peers, listed))

    def test_zone_without_workers_of_a_service_keeps_one_scheduler(self):
        listed = workers({"x": MIN_ZONE_WORKERS, "y": MIN_ZONE_WORKERS})
        listed += workers({"x": MIN_ZONE_WORKERS}, "other")
        self.assertFalse(can_divide(self.own, self.peers, listed))

    def test_zone_of_weak_instances_keeps_one_scheduler(self):
        listed = workers({"x": MIN_ZONE_WORKERS, "y": MIN_ZONE_WORKERS})
        self.assertFalse(can_divide(self.own, [instance("b", "y", 900)], listed))

    def test_single_zone_is_not_divided(self):
        listed = workers({"x": MIN_ZONE_WORKERS})
        self.assertFalse(can_divide(self.own, [instance("b", "x", 2000)], listed))


class LagMeterTest(unittest.TestCase):
    def test_late_submissions_are_an_overload_although_timers_are_punctual(self):
        meter = LagMeter()
        for number in range(12):
            meter.record_submission(0.4)
            meter.record(0.002, 0.15 * number)
        self.assertTrue(meter.is_overloaded(1.65))

    def test_submissions_over_slow_links_are_no_overload(self):
        meter = LagMeter()
        for number in range(12):
            meter.record_submission(0.05)
            meter.record(0.002, 0.15 * number)
        self.assertFalse(meter.is_overloaded(1.65))

    def test_single_stall_is_no_overload(self):
        meter = LagMeter()
        meter.record(0.4, 0.0)
        for number in range(1, 10):
            meter.record(0.001, 0.15 * number)
            self.assertFalse(meter.is_overloaded(0.15 * number))


if __name__ == "__main__":
    unittest.main()
