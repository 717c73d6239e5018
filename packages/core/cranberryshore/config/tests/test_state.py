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
    def test_stale_reads_and_delayed_events_revert_nothing(self, events):
        all_changes = [change(revision, f"key-{revision % 3}") for revision in range(1, 13)]
        state = ConfigState()
        for revision, is_snapshot in events:
            before = state.snapshot()
            if is_snapshot:
                snapshot_resources = {entry.key: entry.resource for entry in all_changes[:revision]}
                state.load(Snapshot(revision, snapshot_resources))
            elif revision == state.revision + 1 or revision <= state.revision:
                state.apply(all_changes[revision - 1])
            expected = {entry.key: entry.resource for entry in all_changes[: state.revision]}
            self.assertEqual(state.resources, expected)
            self.assertGreaterEqual(state.revision, before.revision)

    def test_watch_resumes_without_omissions_or_reports_a_gap(self):
        state = ConfigState()
        state.load(Snapshot(5, {}))
        state.apply(change(6, "a"))
        state.apply(change(8, "b"))
        self.assertEqual([entry.revision for entry in state.changes_after(6).unwrap()], [8])
        self.assertEqual(state.changes_after(4).unwrap_err().oldest, 5)

    def test_errors_name_the_field(self):
        faults = check_resource(ResourceKind.SERVICE, "booking", {"timeout_ms": 0, "x": 1})
        paths = {fault.path for fault in faults.unwrap_err()}
        self.assertEqual(paths, {"$.timeout_ms", "$.x"})
