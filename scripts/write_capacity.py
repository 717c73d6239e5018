"""Writes docs/CAPACITY.md from its template docs/CAPACITY.in.md and docs/slopes.json.

The keys of the value dicts are the template's placeholders. With ``--check``, nothing is written
and the exit status is 1 if the page is out of date.
"""

import json
import sys
from math import ceil
from pathlib import Path

DOCS = Path(__file__).resolve().parent.parent / "docs"
# Size and load of the system on the page.
ZONE_COUNT = 11
WORKER_COUNT = 3000
TASK_STARTS_PER_SECOND = 230_000
TEAM_COUNT = 200
CONFIG_CHANGES_PER_DAY = 9300
MACHINE_FAILURES_PER_DAY = 59
REPLACEMENTS_PER_DAY = 860
SECONDS_PER_DAY = 86_400
MEAN_TASKS_PER_JOB = 100
TASKS_PER_SMALL_JOB = 10
ENTRIES_PER_ZONE = 4
RESOURCE_COUNT = 400
RETAINED_TASKS = 200_000  # default of dispatch.retained_tasks
TASK_RUN_SECONDS = 0.2
KEY_BINDINGS_PER_SECOND = 20  # default of limits.key_bindings_per_second
EVIDENCE_INTERVAL_SECONDS = 30  # default of timing.evidence_seconds
RACK_SIZE = 8
# Limits of the control plane at one daemon.
MAX_IDLE_PROCESSOR_PERCENT = 3.0
MAX_PEER_KB_PER_SECOND = 4.0
MAX_MEMORY_MB = 128.0
SECONDS_PER_MICROSECOND = 1e-6


def load_slopes() -> tuple[list[float], dict[str, dict]]:
    """Return the reference loop's seconds and the linear fits by name."""
    run = json.loads((DOCS / "slopes.json").read_text(encoding="utf-8"))
    return run["reference_seconds"], {slope["name"]: slope for slope in run["slopes"]}


def at(slope: dict, size: float) -> float:
    """Return the value of a linear fit at a size."""
    return slope["base"] + slope["slope"] * size


def zone_cores(slopes: dict[str, dict], tasks: int) -> float:
    """Return a zone's cores for jobs of ``tasks`` tasks."""
    job = slopes["daemon's processor time of one job, by tasks"]
    placing = slopes["decoding and decisions for a job of 100 tasks, by workers known"]
    jobs = TASK_STARTS_PER_SECOND / ZONE_COUNT / tasks
    microseconds_per_job = at(job, tasks) + placing["slope"] * WORKER_COUNT / ZONE_COUNT
    return jobs * microseconds_per_job * SECONDS_PER_MICROSECOND


def format_slopes(slopes: dict[str, dict]) -> str:
    """Return the rows of the table of linear fits."""
    rows = []
    for slope in slopes.values():
        sizes = ", ".join(f"{size:.0f}" for size in slope["sizes"])
        rows.append(
            f"| {slope['name']} | {slope['base']:.4g} | {slope['slope']:.4g} | {slope['unit']} "
            f"| {slope['residual']:.0%} | {sizes} |"
        )
    return "\n".join(rows)


def compare_with_limit(value: float, limit: float) -> str:
    """Return the page's word for whether a value is within its limit."""
    return "kept" if value <= limit else "missed"


def control_plane_values(slopes: dict[str, dict]) -> dict[str, object]:
    """Return the control plane's cost at one daemon against its limits."""
    peers = ENTRIES_PER_ZONE - 1
    workers_zone = WORKER_COUNT / ZONE_COUNT
    processor_by_peers = slopes["idle processor share, by peers of the zone"]
    processor_by_workers = slopes["idle processor share, by worker sessions"]
    traffic = slopes["idle peer traffic, by peers of the zone"]
    memory = slopes["idle memory, by worker sessions"]
    retained = slopes["memory of settled jobs of 20 tasks, by jobs retained"]
    peers_percent = processor_by_peers["slope"] * peers
    # All demands are sent every 10 s.
    demands = at(slopes["message with all demands, by teams"], TEAM_COUNT) * peers / 10 / 1000
    idle = at(processor_by_workers, workers_zone) + peers_percent
    sent_kb_per_second = at(traffic, peers) + demands
    # The slope is that of jobs of 20 tasks.
    held = at(memory, workers_zone) + retained["slope"] * RETAINED_TASKS / 20
    return {
        "idle_verdict": compare_with_limit(idle, MAX_IDLE_PROCESSOR_PERCENT),
        "traffic_verdict": compare_with_limit(sent_kb_per_second, MAX_PEER_KB_PER_SECOND),
        "memory_verdict": compare_with_limit(held, MAX_MEMORY_MB),
        "sessions_assigned": workers_zone / ENTRIES_PER_ZONE,
        "peers": peers,
        "workers_zone": workers_zone,
        "idle_percent": idle,
        "most_workers": (MAX_IDLE_PROCESSOR_PERCENT - processor_by_workers["base"] - peers_percent)
        / processor_by_workers["slope"],
        "traffic_kb": at(traffic, peers),
        "most_peers": (MAX_PEER_KB_PER_SECOND - traffic["base"]) / traffic["slope"],
        "demand_kb": demands,
        "memory_mb": held,
        "overload": at(slopes["one result under overload, by teams waiting"], TEAM_COUNT),
        "change_ms": at(slopes["one change put in force, by resources"], RESOURCE_COUNT) / 1000,
    }


def store_values(instances: int) -> dict[str, object]:
    """Return the load on the key-value store."""
    replaced = MACHINE_FAILURES_PER_DAY + REPLACEMENTS_PER_DAY
    writes_day = replaced * 2 * ENTRIES_PER_ZONE
    changes = CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY
    # Two instances of each availability zone watch the store for configuration changes.
    return {
        "record_writes": writes_day / SECONDS_PER_DAY,
        "record_writes_day": writes_day,
        "config_writes": changes,
        "config_reads": changes * (1 + 2 * ZONE_COUNT),
        "watches": 2 * ZONE_COUNT,
        "key_writes": instances * KEY_BINDINGS_PER_SECOND,
        "evidence_writes": instances / EVIDENCE_INTERVAL_SECONDS,
    }


def failure_values(instances: int, jobs_zone: float) -> dict[str, object]:
    """Return a day's machine failures and the jobs and tasks that they affect."""
    machines = instances + WORKER_COUNT
    worker_failures = MACHINE_FAILURES_PER_DAY * WORKER_COUNT / machines
    running = TASK_STARTS_PER_SECOND * TASK_RUN_SECONDS / WORKER_COUNT
    return {
        "entry_failures": MACHINE_FAILURES_PER_DAY * instances / machines,
        "worker_failures": worker_failures,
        "jobs_hit": jobs_zone / ENTRIES_PER_ZONE * TASK_RUN_SECONDS,
        "tasks_running": running,
        "jobs_lost": worker_failures * running,
        "jobs_day": TASK_STARTS_PER_SECOND / MEAN_TASKS_PER_JOB * SECONDS_PER_DAY,
        "rack": RACK_SIZE,
    }


def values(slopes: dict[str, dict]) -> dict[str, object]:
    """Return the values of all placeholders."""
    instances = ENTRIES_PER_ZONE * ZONE_COUNT
    cores, small = zone_cores(slopes, MEAN_TASKS_PER_JOB), zone_cores(slopes, TASKS_PER_SMALL_JOB)
    # Cores per entry instance while one instance of the availability zone is down.
    degraded = cores / (ENTRIES_PER_ZONE - 1)
    jobs_zone = TASK_STARTS_PER_SECOND / ZONE_COUNT / MEAN_TASKS_PER_JOB
    control = control_plane_values(slopes)
    frames = jobs_zone * ceil(MEAN_TASKS_PER_JOB / 32) / (WORKER_COUNT / ZONE_COUNT)
    return {
        "slopes_table": format_slopes(slopes),
        "mean_tasks": MEAN_TASKS_PER_JOB,
        "small_tasks": TASKS_PER_SMALL_JOB,
        "entries": ENTRIES_PER_ZONE,
        "resources": RESOURCE_COUNT,
        "retained": RETAINED_TASKS,
        "instances": instances,
        "starts_zone": TASK_STARTS_PER_SECOND / ZONE_COUNT,
        "jobs_zone": jobs_zone,
        "cores_zone": cores,
        "cores_entry": cores / ENTRIES_PER_ZONE,
        "cores_degraded": degraded,
        "cores_small": small,
        "cores_small_entry": small / ENTRIES_PER_ZONE,
        "fits": "it is enough" if degraded < 0.5 else "it is not enough",
        "change_share": control["change_ms"] * CONFIG_CHANGES_PER_DAY / SECONDS_PER_DAY / 10,
        "worker_starts": TASK_STARTS_PER_SECOND / WORKER_COUNT,
        "worker_frames": frames,
        "one_core_starts": TASK_STARTS_PER_SECOND / ZONE_COUNT / cores,
        "job_base": slopes["daemon's processor time of one job, by tasks"]["base"],
        "placing": slopes["decoding and decisions for a job of 100 tasks, by workers known"][
            "slope"
        ],
        **control,
        **store_values(instances),
        **failure_values(instances, jobs_zone),
    }


def main() -> int:
    """Write the page, or check that it is up to date."""
    template = (DOCS / "CAPACITY.in.md").read_text(encoding="utf-8")
    reference, slopes = load_slopes()
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
