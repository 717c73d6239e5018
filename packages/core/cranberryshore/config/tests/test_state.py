from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from cranberryshore.config import (
    Change,
    ConfigState,
    Resource,
    ResourceKind,
    Snapshot,
    check_resource,
)


def change(revision: int, key: str) -> Change:
    resource = Resource(ResourceKind.SERVICE, key, {}, generation=revision)
    return Change(revision, key, resource)


class ConfigStateTest(TestCase):
    @settings(max_examples=80, derandomize=True)
    @given(st.lists(st.tuples(st.integers(1, 12), st.booleans()), max_size=30))
    def test_old_readers_and_late_events_undo_nothing(self, events):
        truth = [change(revision, f"key-{revision % 3}") for revision in range(1, 13)]
        state = ConfigState()
        for revision, is_snapshot in events:
            before = state.snapshot()
            if is_snapshot:
                upto = {entry.key: entry.resource for entry in truth[:revision]}
                state.load(Snapshot(revision, upto))
            elif revision == state.revision + 1 or revision <= state.revision:
                state.apply(truth[revision - 1])
            expected = {entry.key: entry.resource for entry in truth[: state.revision]}
            self.assertEqual(state.resources, expected)
            self.assertGreaterEqual(state.revision, before.revision)

    def test_watch_resumes_without_gaps_or_says_so(self):
        state = ConfigState()
        state.load(Snapshot(5, {}))
        state.apply(change(6, "a"))
        state.apply(change(8, "b"))
        self.assertEqual([entry.revision for entry in state.changes_after(6).unwrap()], [8])
        self.assertEqual(state.changes_after(4).unwrap_err().oldest, 5)

    def test_faults_name_the_field(self):
        faults = check_resource(ResourceKind.SERVICE, "booking", {"timeout_ms": 0, "x": 1})
        paths = {fault.path for fault in faults.unwrap_err()}
        self.assertEqual(paths, {"$.timeout_ms", "$.x"})
