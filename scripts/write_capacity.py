"""Fills docs/CAPACITY.md in from docs/CAPACITY.in.md and docs/slopes.json.

With ``--check`` it writes nothing and fails if the page does not agree.
"""

import json
import sys
from math import ceil
from pathlib import Path

DOCS = Path(__file__).resolve().parent.parent / "docs"
ZONES = 11
WORKERS = 3000
STARTS = 230_000
TEAMS = 200
CHANGES_A_DAY = 9300
FAILURES_A_DAY = 59
REPLACEMENTS_A_DAY = 860
SECONDS_A_DAY = 86_400
MEAN_TASKS = 100
SMALL_TASKS = 10
ENTRIES = 4
RESOURCES = 400
RETAINED_TASKS = 200_000
RUN_SECONDS = 0.2
KEY_BUDGET = 20
EVIDENCE_SECONDS = 30
RACK = 8
PROCESSOR_LIMIT = 3.0
TRAFFIC_LIMIT = 4.0
MEMORY_LIMIT = 128.0
MICRO = 1e-6


def load() -> tuple[list[float], dict[str, dict]]:
    """Return the reference loop's times and the slopes by name."""
    run = json.loads((DOCS / "slopes.json").read_text(encoding="utf-8"))
    return run["reference_seconds"], {slope["name"]: slope for slope in run["slopes"]}


def at(slope: dict, size: float) -> float:
    """Return the fitted value at a size."""
    return slope["base"] + slope["slope"] * size


def zone_cores(slopes: dict[str, dict], tasks: int) -> float:
    """Return the cores that a zone's work takes, in jobs of ``tasks`` tasks."""
    job = slopes["daemon's processor time of one job, by tasks"]
    placing = slopes["decoding and decisions for a job of 100 tasks, by workers known"]
    jobs = STARTS / ZONES / tasks
    micros = at(job, tasks) + placing["slope"] * WORKERS / ZONES
    return jobs * micros * MICRO


def table(slopes: dict[str, dict]) -> str:
    """Return the rows of the table of slopes."""
    rows = []
    for slope in slopes.values():
        sizes = ", ".join(f"{size:.0f}" for size in slope["sizes"])
        rows.append(
            f"| {slope['name']} | {slope['base']:.4g} | {slope['slope']:.4g} | {slope['unit']} "
            f"| {slope['residual']:.0%} | {sizes} |"
        )
    return "\n".join(rows)


def verdict(value: float, limit: float) -> str:
    """Return whether a limit is kept."""
    return "kept" if value <= limit else "missed"


def control_values(slopes: dict[str, dict]) -> dict[str, object]:
    """Return what control costs a daemon."""
    peers = ENTRIES - 1
    workers_zone = WORKERS / ZONES
    by_peers = slopes["idle processor share, by peers of the zone"]
    by_workers = slopes["idle processor share, by worker sessions"]
    traffic = slopes["idle peer traffic, by peers of the zone"]
    memory = slopes["idle memory, by worker sessions"]
    retained = slopes["memory of settled jobs of 20 tasks, by jobs retained"]
    others = by_peers["slope"] * peers
    demands = at(slopes["message with all demands, by teams"], TEAMS) * peers / 10 / 1000
    idle = at(by_workers, workers_zone) + others
    sent = at(traffic, peers) + demands
    held = at(memory, workers_zone) + retained["slope"] * RETAINED_TASKS / 20
    return {
        "idle_verdict": verdict(idle, PROCESSOR_LIMIT),
        "traffic_verdict": verdict(sent, TRAFFIC_LIMIT),
        "memory_verdict": verdict(held, MEMORY_LIMIT),
        "sessions_assigned": workers_zone / ENTRIES,
        "peers": peers,
        "workers_zone": workers_zone,
        "idle_percent": idle,
        "most_workers": (PROCESSOR_LIMIT - by_workers["base"] - others) / by_workers["slope"],
        "traffic_kb": at(traffic, peers),
        "most_peers": (TRAFFIC_LIMIT - traffic["base"]) / traffic["slope"],
        "demand_kb": demands,
        "memory_mb": held,
        "overload": at(slopes["one result under overload, by teams waiting"], TEAMS),
        "change_ms": at(slopes["one change put in force, by resources"], RESOURCES) / 1000,
    }


def store_values(instances: int) -> dict[str, object]:
    """Return what the store is asked."""
    replaced = FAILURES_A_DAY + REPLACEMENTS_A_DAY
    writes_day = replaced * 2 * ENTRIES
    changes = CHANGES_A_DAY / SECONDS_A_DAY
    return {
        "record_writes": writes_day / SECONDS_A_DAY,
        "record_writes_day": writes_day,
        "config_writes": changes,
        "config_reads": changes * (1 + 2 * ZONES),
        "watches": 2 * ZONES,
        "key_writes": instances * KEY_BUDGET,
        "evidence_writes": instances / EVIDENCE_SECONDS,
    }


def failure_values(instances: int, jobs_zone: float) -> dict[str, object]:
    """Return what a day of failures costs."""
    machines = instances + WORKERS
    worker_failures = FAILURES_A_DAY * WORKERS / machines
    running = STARTS * RUN_SECONDS / WORKERS
    return {
        "entry_failures": FAILURES_A_DAY * instances / machines,
        "worker_failures": worker_failures,
        "jobs_hit": jobs_zone / ENTRIES * RUN_SECONDS,
        "tasks_running": running,
        "jobs_lost": worker_failures * running,
        "jobs_day": STARTS / MEAN_TASKS * SECONDS_A_DAY,
        "rack": RACK,
    }


def values(slopes: dict[str, dict]) -> dict[str, object]:
    """Return everything that the page needs."""
    instances = ENTRIES * ZONES
    cores, small = zone_cores(slopes, MEAN_TASKS), zone_cores(slopes, SMALL_TASKS)
    degraded = cores / (ENTRIES - 1)
    jobs_zone = STARTS / ZONES / MEAN_TASKS
    control = control_values(slopes)
    frames = jobs_zone * ceil(MEAN_TASKS / 32) / (WORKERS / ZONES)
    return {
        "slopes_table": table(slopes),
        "mean_tasks": MEAN_TASKS,
        "small_tasks": SMALL_TASKS,
        "entries": ENTRIES,
        "resources": RESOURCES,
        "retained": RETAINED_TASKS,
        "instances": instances,
        "starts_zone": STARTS / ZONES,
        "jobs_zone": jobs_zone,
        "cores_zone": cores,
        "cores_entry": cores / ENTRIES,
        "cores_degraded": degraded,
        "cores_small": small,
        "cores_small_entry": small / ENTRIES,
        "fits": "it is enough" if degraded < 0.5 else "it is not enough",
        "change_share": control["change_ms"] * CHANGES_A_DAY / SECONDS_A_DAY / 10,
        "worker_starts": STARTS / WORKERS,
        "worker_frames": frames,
        "one_core_starts": STARTS / ZONES / cores,
        "job_base": slopes["daemon's processor time of one job, by tasks"]["base"],
        "placing": slopes["decoding and decisions for a job of 100 tasks, by workers known"][
            "slope"
        ],
        **control,
        **store_values(instances),
        **failure_values(instances, jobs_zone),
    }


def main() -> int:
    """Write or check the page."""
    template = (DOCS / "CAPACITY.in.md").read_text(encoding="utf-8")
    reference, slopes = load()
    page = template.format(reference=max(reference), **values(slopes))
    target = DOCS / "CAPACITY.md"
    if "--check" in sys.argv:
        agrees = target.exists() and target.read_text(encoding="utf-8") == page
        print("docs/CAPACITY.md agrees" if agrees else "docs/CAPACITY.md does not agree")
        return 0 if agrees else 1
    target.write_text(page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
