"""Checks of the users' rules on the record of a case."""

from typing import Any

from record import Record


def runs_of(record: Record) -> list[dict[str, Any]]:
    """Return all runs with their begin and end; one that has not ended has none."""
    open_runs: dict[tuple[str, str, int], dict[str, Any]] = {}
    runs = []
    for event in record.events:
        if event["kind"] not in ("start", "end"):
            continue
        key = (event["minion"], event["task"], event["attempt"])
        if event["kind"] == "start":
            run = {"minion": key[0], "task": key[1], "attempt": key[2], "began": event["at"]}
            open_runs[key] = run | {"ended": float("inf"), "how": ""}
            runs.append(open_runs[key])
        elif key in open_runs:
            open_runs.pop(key).update(ended=event["at"], how=event["how"])
    return runs


def simultaneous_runs(record: Record) -> list[str]:
    """Return where two runs of one task were active at the same time."""
    by_task: dict[str, list[dict[str, Any]]] = {}
    found = []
    for run in runs_of(record):
        for other in by_task.setdefault(run["task"], []):
            if other["ended"] > run["began"]:
                found.append(
                    f"task {run['task']}: attempt {other['attempt']} on {other['minion']} from"
                    f" {other['began']} to {other['ended']}, attempt {run['attempt']} on"
                    f" {run['minion']} from {run['began']} to {run['ended']}"
                )
        by_task[run["task"]].append(run)
    return found
