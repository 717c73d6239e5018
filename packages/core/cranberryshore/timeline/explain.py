"""Explanation of the outcome of a job, a request or a revision from its events."""

from collections.abc import Sequence

from cranberryshore.timeline.event import Event, EventKind

_TEMPLATES = {
    EventKind.JOB_SUBMITTED: "{process} received the submission of {count} tasks from {detail}.",
    EventKind.JOB_ACCEPTED: "{process} accepted the job.",
    EventKind.JOB_REFUSED: "{process} refused the job: {detail}. Nothing was run.",
    EventKind.JOB_ANSWERED: "{process} settled the job as {detail}.",
    EventKind.JOB_TRUTH: "{process} queried the workers of the failed issuer: {detail}.",
    EventKind.TASKS_STARTED: "{process} started {count} tasks on {detail}.",
    EventKind.TASKS_STOPPED: "{process} stopped the job's tasks on {detail}.",
    EventKind.REQUEST_ANSWERED: "{process} forwarded the response of {detail}.",
    EventKind.REQUEST_REFUSED: "{process} refused the request: {detail}.",
    EventKind.CONFIGURATION_ACCEPTED: "{process} accepted a change as {detail}.",
    EventKind.CONFIGURATION_APPLIED: "{process} applied revision {detail}.",
    EventKind.OWNER_CLOSED: "{process} closed the ownership of this incarnation.",
    EventKind.OWNER_RETIRED: "{process} found that its ownership was closed.",
    EventKind.MEMBER_JOINED: "{process} received a heartbeat from this member.",
    EventKind.MEMBER_SUSPECTED: "{process} stopped receiving heartbeats from this member.",
    EventKind.MEMBER_LEFT: "{process} considers this member gone.",
    EventKind.WORKER_LOST: "{process} lost this worker, incarnation {detail}.",
}


def explain_events(events: Sequence[Event]) -> list[str]:
    """Return one sentence for each event, in the order given.

    Examples
    --------
    >>> from cranberryshore.timeline.clock import HybridTimestamp
    >>> event = Event(HybridTimestamp(1, 0), "a.e1.0", EventKind.TASKS_STARTED, "j", "worker-1", 3)
    >>> explain_events([event])
    ['a.e1.0 started 3 tasks on worker-1.']
    >>> explain_events([])
    ['Nothing is recorded about this.']
    """
    if not events:
        return ["Nothing is recorded about this."]
    return [_format_event(event) for event in events]


def _format_event(event: Event) -> str:
    template = _TEMPLATES.get(event.kind)
    if template is None:
        name = event.kind.value.replace("_", " ")
        return f"{event.process}: {name} {event.detail}".strip() + "."
    return template.format(process=event.process, detail=event.detail, count=event.count)
