from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryshore.placement import Assignment, PoolHealth, SharedPool, assign_balanced
from cranberryshore.work import Capacity

ONE_CORE = Capacity(1000, 0, 0)


class AssignmentTest(TestCase):
    @settings(max_examples=50, derandomize=True)
    @given(st.integers(1, 40), st.integers(1, 9))
    def test_assignment_is_even_and_independent_of_order(self, resources, instances):
        names = [f"w{number}" for number in range(resources)]
        owners = [f"e{number}" for number in range(instances)]
        assignment = assign_balanced(names, owners)
        counts = [list(assignment.values()).count(owner) for owner in owners]
        self.assertEqual(sum(counts), resources)
        self.assertLessEqual(max(counts), -(-resources // instances))
        self.assertEqual(assignment, assign_balanced(names[::-1], owners[::-1]))


class SharedPoolTest(TestCase):
    @settings(max_examples=100, derandomize=True)
    @given(st.lists(st.tuples(st.sampled_from("plbrg"), st.integers(0, 3)), max_size=40))
    def test_usage_of_lender_and_borrower_never_exceeds_the_total(self, steps):
        # Steps: p and b place work of the lender and of the borrower, l lends, r releases work of
        # both, g gives idle capacity back.
        lender, borrower = SharedPool(), SharedPool()
        for pool in (lender, borrower):
            pool.add("w", Capacity(4000))
        lender.assign(Assignment("e1", {"w": "e1"}))
        borrower.assign(Assignment("e2", {"w": "e1"}))
        for step, count in steps:
            if step == "p":
                lender.place(ONE_CORE, count)
            elif step == "l":
                borrower.borrow(lender.lend("b", ONE_CORE, count))
            elif step == "b":
                borrower.place(ONE_CORE, count)
            elif step == "r":
                for pool in (lender, borrower):
                    if pool.members["w"].used.millicores:
                        pool.release("w", ONE_CORE)
            else:
                lender.record_returns("b", borrower.give_back())
            used = lender.members["w"].used + borrower.members["w"].used
            self.assertLessEqual(used.millicores, 4000)
            for pool in (lender, borrower):
                self.assertEqual(pool.free("w"), pool.members["w"].free(pool.live))
            self.assertGreaterEqual(lender.free("w").millicores, 0)


class HealthTest(TestCase):
    def test_worker_failing_every_job_is_isolated_and_probed(self):
        health = PoolHealth()
        for _ in range(20):
            health.on_success("good", 100, 100)
        health.on_failure("bad", "job-1", 1.0)
        self.assertEqual(health.allowance("bad", 1.0), 1_000_000)
        self.assertTrue(health.on_failure("bad", "job-2", 2.0))
        self.assertEqual(health.allowance("bad", 3.0), 0)
        self.assertEqual(health.allowance("bad", 7.5), 1)
        health.on_success("bad", 100, 100)
        self.assertEqual(health.placement_rank("bad"), 0.0)

    def test_job_failing_on_every_worker_isolates_no_worker(self):
        health = PoolHealth()
        for worker in ("w1", "w2", "w3"):
            self.assertFalse(health.on_failure(worker, "poisoned", 1.0))
