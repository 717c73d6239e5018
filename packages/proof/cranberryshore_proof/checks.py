"""Checks of a history against the promised invariants, sharing no code with the product."""

from collections import Counter
from collections.abc import Callable

import attrs

from cranberryshore_proof.history import ChangeHistory, History, ObservedAnswer, UpstreamDeparture

DEPARTURE_GRACE_SECONDS = 3.0
PROPAGATION_SECONDS = 10.0
"""Time within which all instances have to apply an accepted change.

For this time after the start of a drain, a disruption also excuses an unanswered request.
"""


@attrs.frozen
class Verdict:
    """Result of one check: violations and the number of examined events."""

    violations: tuple[str, ...]
    events: int


def _starts_by_job(history: History) -> dict[str, list[float]]:
    starts: dict[str, list[float]] = {}
    for start in history.starts:
        starts.setdefault(start.job, []).append(start.at)
    return starts


def check_task_starts(history: History) -> Verdict:
    """Check that no task starts twice, on whichever worker and by whichever owner.

    A submission with an idempotency key starts tasks under one submission id only.
    """
    counts = Counter((start.job, start.index) for start in history.starts)
    violations = [
        f"task {index} of {job} started {count} times"
        for (job, index), count in counts.items()
        if count > 1
    ]
    for job in history.jobs:
        if job.key:
            ids = {answer.id for answer in job.answers if answer.id}
            started = [id for id in ids if any(start.job == id for start in history.starts)]
            if len(started) > 1:
                violations.append(f"key {job.key} ran under {sorted(started)}")
    return Verdict(tuple(violations), len(history.starts))


def check_answer_completeness(history: History) -> Verdict:
    """Check that answers are complete or failed, never partial, and stay so once final."""
    violations, events = [], 0
    for job in history.jobs:
        states = set()
        for answer in job.answers:
            events += 1
            if answer.state == "complete":
                states.add("complete")
                if answer.outputs is None or len(answer.outputs) != len(job.payloads):
                    violations.append(f"{job.id} is complete with only some of its outputs")
            elif answer.outputs is not None:
                violations.append(f"{job.id} is {answer.state} but has outputs")
            elif answer.is_final and answer.claim != "may_have_run":
                states.add("failed")
        if len(states) > 1:
            violations.append(f"{job.id} was both complete and failed")
    return Verdict(tuple(violations), events)


def check_answer_ownership(history: History) -> Verdict:
    """Check that each caller gets the whole answer to its own job or request."""
    violations, events = [], 0
    for job in history.jobs:
        for answer in job.answers:
            if answer.state != "complete":
                continue
            events += 1
            expected = tuple(
                f"{answer.id}/{index}/{payload}" for index, payload in enumerate(job.payloads)
            )
            if answer.outputs != expected:
                violations.append(f"{job.id} got wrong outputs")
    for request in history.requests:
        if request.body is not None:
            events += 1
            if request.body != request.nonce:
                violations.append(f"request {request.nonce} got {request.body}")
    return Verdict(tuple(violations), events)


def check_not_run_claims(history: History) -> Verdict:
    """Check that nothing has run, or runs later, of work that was answered as *not run*."""
    starts = _starts_by_job(history)
    violations, events = [], 0
    for job in history.jobs:
        for answer in job.answers:
            if answer.claim != "not_run" or not _is_about_job(answer):
                continue
            events += 1
            if starts.get(answer.id or job.id):
                violations.append(
                    f"{job.id} was answered as not run ({answer.type}) but tasks started"
                )
    run_counts = Counter(nonce for _, _, nonce in history.runs)
    for request in history.requests:
        if request.claim == "not_run":
            events += 1
            if run_counts[request.nonce]:
                violations.append(f"request {request.nonce} was answered as not run but ran")
    return Verdict(tuple(violations), events)


def _is_about_job(answer: ObservedAnswer) -> bool:
    # "Not found" holds only at the time of the query: a job may be submitted under the id later.
    return answer.type != "not_found"


def check_at_most_once(history: History) -> Verdict:
    """Check that a request marked as non-idempotent runs at most once."""
    run_counts = Counter(nonce for _, _, nonce in history.runs)
    non_idempotent = [request for request in history.requests if not request.is_idempotent]
    violations = [
        f"request {request.nonce} ran {run_counts[request.nonce]} times"
        for request in non_idempotent
        if run_counts[request.nonce] > 1
    ]
    return Verdict(tuple(violations), len(non_idempotent))


def check_leaving_upstreams(history: History) -> Verdict:
    """Check that a leaving upstream receives nothing new after the grace period.

    If its zone is cut off from the instance list before the period is over, the period starts
    anew at the end of the cut (seeds 110006 and 130031).
    """
    violations = [
        f"{departure.upstream} received {nonce} {at - departure.at:.2f} s after it began to leave"
        for departure in history.departures
        for at, upstream, nonce in history.runs
        if upstream == departure.upstream and at > _departure_grace_end(history, departure)
    ]
    return Verdict(tuple(violations), len(history.departures))


def _departure_grace_end(history: History, departure: UpstreamDeparture) -> float:
    known = departure.at + DEPARTURE_GRACE_SECONDS
    for begin, end, zone in sorted(history.list_outages):
        # The name of an upstream contains that of its zone.
        if zone in departure.upstream and begin <= known and end >= departure.at:
            known = max(known, end + DEPARTURE_GRACE_SECONDS)
    return known


def check_graceful_shutdown(history: History) -> Verdict:
    """Check that a graceful shutdown cuts off no request in progress.

    Requests that another fault may have cut off are not counted.
    """
    violations, events = [], 0
    for drain in history.drains:
        for request in history.requests:
            ended = request.answered if request.answered is not None else float("inf")
            if request.entry != drain.entry or not request.sent <= drain.at <= ended:
                continue
            if _is_disrupted(history, drain.entry, request.sent, drain.at + PROPAGATION_SECONDS):
                continue
            events += 1
            if request.answered is None:
                violations.append(f"request {request.nonce} was cut off by a graceful shutdown")
    return Verdict(tuple(violations), events)


def _is_disrupted(history: History, entry: str, since: float, until: float) -> bool:
    return any(
        node in (entry, "") and begin <= until and end >= since
        for begin, end, node in history.disruptions
    )


def check_configuration(history: History) -> Verdict:
    """Check that each accepted change is applied on every instance in time and never reverts."""
    violations: list[str] = []
    latest: dict[tuple[str, int], tuple[int, dict[str, int]]] = {}
    for sample in history.samples:
        key = (sample.entry, sample.run)
        revision, previous_resources = latest.get(key, (0, {}))
        resources = dict(sample.resources)
        if sample.revision < revision:
            violations.append(f"{sample.entry} reverted from revision {revision}")
        reverted = [
            name
            for name in previous_resources
            if name in resources and resources[name] < previous_resources[name]
        ]
        if reverted:
            violations.append(f"{sample.entry} reverted the generation of {reverted}")
        latest[key] = (sample.revision, resources)
    violations += _find_late_changes(history)
    violations += _find_conflicting_changes(history)
    return Verdict(tuple(violations), len(history.changes))


def _find_late_changes(history: History) -> list[str]:
    """Find accepted changes that a running instance did not apply in time.

    For a run that began after the change was accepted, the time counts from its first sample:
    with seed 520018 a run was sampled as it started, 0.1 s before it had loaded everything.
    """
    violations = []
    first_sampled_at: dict[tuple[str, int], float] = {}
    for sample in history.samples:
        first_sampled_at.setdefault((sample.entry, sample.run), sample.at)
    for change in history.changes:
        if change.outcome != "accepted":
            continue
        deadline = change.at + PROPAGATION_SECONDS
        for sample in history.samples:
            # Of each run, the samples in the 0.2 s after the deadline suffice (one each 0.1 s).
            if not deadline <= sample.at <= deadline + 0.2 or sample.revision >= change.revision:
                continue
            if sample.at < first_sampled_at[(sample.entry, sample.run)] + PROPAGATION_SECONDS:
                continue
            if sample.is_running and not _is_disrupted(history, sample.entry, change.at, deadline):
                violations.append(
                    f"{sample.entry} still had revision {sample.revision} "
                    f"{sample.at - change.at:.1f} s after revision {change.revision} was accepted"
                )
    return violations


def _find_conflicting_changes(history: History) -> list[str]:
    """Find conflicting changes that were both accepted, and lost changes."""
    accepted: dict[int, ChangeHistory] = {}
    violations = []
    for change in history.changes:
        if change.outcome != "accepted":
            continue
        other = accepted.get(change.generation)
        if other is not None and other.change_id != change.change_id:
            violations.append(
                f"generation {change.generation} was accepted for {other.operator} "
                f"and for {change.operator}"
            )
        accepted[change.generation] = change
    latest_accepted = max(accepted, default=0)
    if latest_accepted > history.service_in_store.get("generation", 0):
        violations.append(f"accepted generation {latest_accepted} is not in the store")
    return violations


INVARIANTS: dict[str, Callable[[History], Verdict]] = {
    "task-starts-once": check_task_starts,
    "answer-complete-or-failed": check_answer_completeness,
    "whole-answer-to-its-own-caller": check_answer_ownership,
    "not-run-is-true": check_not_run_claims,
    "non-idempotent-at-most-once": check_at_most_once,
    "leaving-upstream-gets-nothing": check_leaving_upstreams,
    "graceful-shutdown-cuts-nothing": check_graceful_shutdown,
    "configuration-never-reverts": check_configuration,
}
