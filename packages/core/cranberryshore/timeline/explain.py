"""Sentences that tell why a job, a request or a revision ended as it did."""

from collections.abc import Sequence

from cranberryshore.timeline.event import Event, EventKind

_SENTENCES = {
    EventKind.JOB_SUBMITTED: "{process} received the submission of {count} tasks from {detail}.",
    EventKind.JOB_ACCEPTED: "{process} accepted the job.",
    EventKind.JOB_REFUSED: "{process} refused the job: {detail}. Nothing was run.",
    EventKind.JOB_ANSWERED: "{process} settled the job as {detail}.",
    EventKind.JOB_TRUTH: "{process} asked the workers of the dead issuer: {detail}.",
    EventKind.TASKS_STARTED: "{process} started {count} tasks on {detail}.",
    EventKind.TASKS_STOPPED: "{process} stopped the job's tasks on {detail}.",
    EventKind.REQUEST_ANSWERED: "{process} passed on the answer of {detail}.",
    EventKind.REQUEST_REFUSED: "{process} refused the request: {detail}.",
    EventKind.CONFIGURATION_ACCEPTED: "{process} accepted a change as {detail}.",
    EventKind.CONFIGURATION_APPLIED: "{process} put revision {detail} in force.",
    EventKind.OWNER_CLOSED: "{process} closed the ownership of this incarnation.",
    EventKind.OWNER_RETIRED: "{process} learnt that its ownership was closed.",
    EventKind.MEMBER_JOINED: "{process} heard this member.",
    EventKind.MEMBER_SUSPECTED: "{process} stopped hearing this member.",
    EventKind.MEMBER_LEFT: "{process} counts this member as gone.",
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
    return [_sentence(event) for event in events]


def _sentence(event: Event) -> str:
    pattern = _SENTENCES.get(event.kind)
    if pattern is None:
        name = event.kind.value.replace("_", " ")
        return f"{event.process}: {name} {event.detail}".strip() + "."
    return pattern.format(process=event.process, detail=event.detail, count=event.count)
