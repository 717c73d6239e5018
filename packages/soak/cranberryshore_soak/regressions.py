"""Soak plans that have failed before; docs/PROOF.md describes the failures."""

from cranberryshore_soak.cluster import SoakPlan

WORKER_LOSS_FAULTS = (
    "workers_crash_in_series",
    "workers_crash_cut_off",
    "workers_leave_unseen",
    "workers_end_at_starts",
)


def _small_plan(seed: int) -> SoakPlan:
    """Return a plan of the size that the command line uses by default."""
    return SoakPlan(seed, 4, 6, 10, 8.0)


def _worker_loss_plan(seed: int) -> SoakPlan:
    """Return a small plan of workers that end out of sight of the instances."""
    return SoakPlan(seed, 4, 6, 10, 8.0, fault_names=WORKER_LOSS_FAULTS)


def _foreign_entry_plan(seed: int) -> SoakPlan:
    """Return a small plan in which all workers are replaced beside foreign entries."""
    return SoakPlan(seed, 4, 6, 10, 8.0, fault_names=("foreign_entries", "workers_leave_unseen"))


def _large_plan(seed: int) -> SoakPlan:
    """Return a plan of 16 instances, which needs a machine without much other load."""
    return SoakPlan(seed, 16, 24, 40, 16.0)


REGRESSIONS: dict[str, SoakPlan] = {
    "SIGHUP during imports; requests sent late in a graceful shutdown": SoakPlan(1),
    "responses of all workers slow for seconds": SoakPlan(2),
    "nng frees state at exit before its threads end; start over 30 s (open)": _small_plan(1000),
    "leases of two runs expired on a busy machine (open)": _small_plan(1001),
    "silent connection from a scheduler to a peer whose messages arrive": _small_plan(1015),
    "silent connection from a scheduler to a peer whose messages arrive, again": _small_plan(1017),
    "port taken by an outgoing connection; instance received nothing (open)": _small_plan(1031),
    "job failed for workers that had left unseen, or had no run of it": _worker_loss_plan(723),
    "job failed for workers on which its runs had lapsed": _worker_loss_plan(725),
    "job failed for two workers that had left unseen": _worker_loss_plan(726),
    "job failed for a worker that a start had not reached": _worker_loss_plan(730),
    "SIGHUP or SIGUSR1 before the process handled it": _large_plan(4002),
    "listings of the workers took over 1 s, so a smaller room was not read": _large_plan(4003),
    "instances were not ready on a busy machine (open)": _large_plan(4004),
    "request unanswered and configuration late on a busy machine (open)": _large_plan(4005),
    "a nested entry ended the scheduler's watch of the workers": _foreign_entry_plan(744),
}
"""Plans by the cause of the failure; ``(open)`` marks an unresolved failure."""
