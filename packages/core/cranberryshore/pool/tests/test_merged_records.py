from unittest import TestCase

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryshore.pool.crashes import CrashHistory
from cranberryshore.pool.lost_run import LossState, LostRun

TASK, NOW = "j.0.0.0", 100.0
SUSPECTED, REFUTED, PROVEN = LossState.SUSPECTED, LossState.REFUTED, LossState.PROVEN

EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)

flags = st.booleans()
records = st.builds(
    LostRun,
    st.sampled_from((TASK, "k.0.0.0")),
    st.integers(1, 2),
    st.sampled_from(("w1", "w2")),
    st.integers(1, 2),
    beside=st.lists(st.sampled_from(("a", "b", "c")), unique=True).map(
        lambda names: tuple(sorted(names))
    ),
    state=st.sampled_from(LossState),
    was_running=flags,
    was_store_answering=flags,
    was_registered=flags,
    has_common_cause=flags,
    number=st.integers(0, 1),
    age_seconds=st.sampled_from((0.0, 1.0, 5.0)),
    has_lapsed=flags,
)


def merged(*parts: list[LostRun]) -> set[LostRun]:
    """Return the records of an instance that has merged some lists of records in turn."""
    history = CrashHistory()
    for part in parts:
        history.merge(part, NOW)
    return set(history.records(NOW))


class MergedRecordsTest(TestCase):
    """Records of the same losses from several instances."""

    def test_records_depend_on_the_order_in_which_they_arrive(self):
        @EXAMPLES
        @given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
        def check(lost_runs, random):
            shuffled = lost_runs.copy()
            random.shuffle(shuffled)
            self.assertEqual(merged(lost_runs), merged(shuffled))

        check()

    def test_records_depend_on_the_instance_that_has_passed_them_on(self):
        @EXAMPLES
        @given(st.lists(records, max_size=6), st.lists(records, max_size=6))
        def check(one, other):
            passed_on = list(merged(one))
            self.assertEqual(merged(other, passed_on), merged(one + other))
            self.assertEqual(merged(one, passed_on, passed_on), merged(one))

        check()

    def test_crash_is_made_of_records_of_which_one_is_refuted(self):
        @EXAMPLES
        @given(st.lists(records, max_size=8))
        def check(lost_runs):
            for lost in filter(LostRun.is_crash, merged(lost_runs)):
                same = [
                    item for item in lost_runs if (item.task, item.key) == (lost.task, lost.key)
                ]
                self.assertTrue(all(item.state is not REFUTED for item in same))
                self.assertTrue(any(item.state is PROVEN for item in same))
                self.assertTrue(any(item.was_running for item in same))
                self.assertTrue(any(item.was_registered for item in same))

        check()

    def test_loss_that_one_scheduler_refutes_is_proven_by_a_former_one(self):
        # The former one stood still while the same process answered and later ended.
        loss = LostRun(
            TASK, 1, "w1", 1, beside=(), state=SUSPECTED, was_running=True, was_registered=True
        )
        refuted, proven = attrs.evolve(loss, state=REFUTED), attrs.evolve(loss, state=PROVEN)
        for order in ([refuted, proven], [proven, refuted]):
            history = CrashHistory()
            history.merge(order, NOW)
            self.assertEqual(history.crashed_workers(TASK), 0)

    def test_task_is_the_culprit_although_another_instance_knows_of_a_task_beside_it(self):
        crash = LostRun(
            TASK, 1, "w1", 1, beside=(), state=PROVEN, was_running=True, was_registered=True
        )
        history = CrashHistory()
        for worker in ("w1", "w2"):
            alone = attrs.evolve(crash, worker=worker)
            history.merge([alone, attrs.evolve(alone, beside=("a",))], NOW)
        self.assertFalse(history.is_culprit(TASK))


class WithdrawnStartTest(TestCase):
    """Records of a start that turns out to be refused, at several instances."""

    def setUp(self):
        self.history, self.other = CrashHistory(), CrashHistory()

    def exchange(self, now: float) -> None:
        self.other.merge(self.history.take_changes(now), now)

    def crash(self, worker: str, attempt: int, beside: str, now: float) -> None:
        runs = {(TASK, attempt): True, (beside, 1): False}
        self.history.record(worker, 1, runs, PROVEN, now)
        self.history.confirm_registered(worker, 1, now)

    def test_loss_under_a_start_that_was_refused_stays_at_other_instances_after_a_proof(self):
        self.history.record("w1", 1, {(TASK, 1): False}, PROVEN, 0.0)
        self.exchange(0.0)
        self.history.withdraw("w1", 1, (TASK, 1))
        self.exchange(0.1)
        self.assertFalse(self.other.is_suspect(TASK))

    def test_refused_start_stays_beside_the_culprit_at_other_instances(self):
        self.crash("w1", 1, "a", 0.0)
        self.crash("w2", 2, "b", 5.0)
        self.exchange(5.0)
        self.assertFalse(self.other.is_culprit(TASK))
        self.history.withdraw("w2", 1, ("b", 1))
        self.exchange(5.1)
        self.assertTrue(self.history.is_culprit(TASK))
        self.assertTrue(self.other.is_culprit(TASK))

    def test_refused_start_comes_back_beside_the_culprit_by_an_older_record(self):
        self.crash("w1", 1, "a", 0.0)
        self.crash("w2", 2, "b", 5.0)
        older = self.history.records(5.0)
        self.history.withdraw("w2", 1, ("b", 1))
        self.history.merge(older, 5.1)
        self.assertTrue(self.history.is_culprit(TASK))

    def test_task_that_ran_beside_the_culprit_in_another_attempt_is_left_out(self):
        self.crash("w1", 1, "a", 0.0)
        self.crash("w2", 2, "b", 5.0)
        self.history.record("w2", 1, {("b", 2): False}, PROVEN, 5.0)
        self.history.withdraw("w2", 1, ("b", 1))
        self.assertFalse(self.history.is_culprit(TASK))
