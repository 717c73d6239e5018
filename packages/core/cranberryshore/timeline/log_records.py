"""Explanation of the outcome of a job from the log records of the processes alone."""

import re
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs
import msgspec

from cranberryshore.bounds import DECODING_ERRORS

LOOKBACK_SECONDS = 2.0
"""State changes at most this long before a job's arrival may have caused its outcome."""

FAULTY_WORKER_JOB_LIMIT = 2
"""A worker that failed runs of more jobs than this in the period is considered faulty."""

_JSON_OBJECT = re.compile(r"\{.*\}")
_STATE_CHANGES = (
    "group: Scheduler followed.",
    "group: This process stood still.",
    "group: Entry instance lost.",
    "group: Peer does not hear this instance.",
    "scheduler: Scheduling begins.",
    "scheduler: Worker was lost with its runs.",
    "scheduler: Scheduling ends.",
    "daemon: Configuration in force.",
    "daemon: Draining.",
    "evacuations: Evacuations in force.",
    "store: Store does not answer.",
)
_HIDDEN_FIELDS = ("job", "queue", "entry", "runs", "possible_runs", "lapsed_runs", "config")


@attrs.frozen
class LogRecord:
    """One log record: Unix time, instance, message and the other fields."""

    at: float
    instance: str
    message: str
    fields: dict[str, Any]


def parse_log_records(lines: Iterable[str]) -> list[LogRecord]:
    """Parse log lines; return their records in the order of their times.

    Text around a JSON object is ignored, and so are lines that contain no record.

    Examples
    --------
    >>> line = '{"event": "entry: Caller left.", "instance": "e1", "job": "j", '
    >>> line += '"timestamp": "2026-01-01T00:00:01Z", "level": "info"}'
    >>> parse_log_records(["no record", line])[0].fields
    {'job': 'j'}
    """
    records = []
    for line in lines:
        match = _JSON_OBJECT.search(line)
        if match is None:
            continue
        try:
            fields = msgspec.json.decode(match[0])
            at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
            record = LogRecord(at, fields.pop("instance"), fields.pop("event"), fields)
        except (*DECODING_ERRORS, KeyError, TypeError):
            continue
        fields.pop("level", None)
        records.append(record)
    return sorted(records, key=lambda record: record.at)


def explain_job(records: list[LogRecord], job: str) -> list[str]:
    """Return the records that explain the outcome of a job, one line each, and then its cause.

    Parameters
    ----------
    records : list of LogRecord
        Records of all processes, in the order of their times.
    job : str
        Id of the job.
    """
    own = [record for record in records if record.fields.get("job") == job]
    if not own:
        return ["Nothing is recorded about this job; log records of its time may be missing."]
    arrived_at = min(record.at - _total_seconds(record) for record in own)
    shown = [
        record
        for record in records
        if record in own
        or (record.message in _STATE_CHANGES and _is_relevant(record, own, arrived_at))
    ]
    return [*(_format_record(record) for record in shown), _find_cause(records, own, arrived_at)]


def _total_seconds(record: LogRecord) -> float:
    """Return the time since the job's arrival, if the record states it, or else 0."""
    return record.fields.get("total_ms", record.fields.get("ms", 0)) / 1000


def _is_relevant(record: LogRecord, own: list[LogRecord], arrived_at: float) -> bool:
    """Return whether a state change may have affected the job.

    It must be in the job's period and concern an instance with records of the job or a scheduler.
    """
    instances = {item.instance for item in own}
    is_in_period = arrived_at - LOOKBACK_SECONDS <= record.at <= own[-1].at
    return is_in_period and (record.instance in instances or record.message.startswith("sched"))


def _format_record(record: LogRecord) -> str:
    time = datetime.fromtimestamp(record.at).strftime("%H:%M:%S.%f")[:-3]
    fields = ", ".join(
        f"{name} {value}"
        for name, value in record.fields.items()
        if name not in _HIDDEN_FIELDS and value not in ("", None)
    )
    return f"{time} {record.instance}: {record.message} {fields}".rstrip()


def _find_cause(records: list[LogRecord], own: list[LogRecord], arrived_at: float) -> str:
    answers = [record for record in own if record.message == "entry: Caller answered."]
    ends = [record for record in own if record.message == "scheduler: Job ended."]
    if any(record.message == "entry: Caller left." for record in own):
        return "Cause: the caller left before the answer."
    last = (answers or ends or own)[-1]
    outcome = last.fields.get("outcome", "")
    if outcome == "completed":
        return f"The job completed after {_total_seconds(last) * 1000:.0f} ms."
    if outcome == "cancelled":
        return _find_cancel(own)
    if outcome == "failed":
        return _find_failure_cause(records, own, arrived_at)
    if last.fields.get("resumed"):
        return _find_handover_cause(records, own, arrived_at)
    if ends:
        waiting = ends[-1].fields.get("waiting_jobs", 0)
        waited = ends[-1].fields.get("waited_ms", 0)
        return (
            f"Cause: overload; it waited {waited} ms for capacity along with {waiting} other jobs."
        )
    return f"Cause: {last.fields.get('reason') or 'not recorded'}"


def _find_cancel(own: list[LogRecord]) -> str:
    for record in own:
        if record.message == "cancelling: Cancel requested.":
            caller = record.fields["caller"]
            return f"Cause: {caller} has cancelled the job at {record.instance}."
    return "Cause: the job was cancelled; at which instance is not recorded."


def _find_failure_cause(records: list[LogRecord], own: list[LogRecord], arrived_at: float) -> str:
    """Blame the workers if each that had an unsuccessful run of the job is faulty, else the job."""
    for record in own:
        if record.fields.get("failure") == "workers_crashed":
            task, lost = record.fields["task"], record.fields["lost_workers"]
            return f"Cause: {lost} workers crashed while they ran task {task} of the job."
    lost = [record for record in own if record.message == "scheduler: Run did not end well."]
    workers = sorted({record.fields["worker"] for record in lost})
    faulty = [
        worker
        for worker in workers
        if len(_jobs_failed_on(records, worker, arrived_at, own[-1].at)) > FAULTY_WORKER_JOB_LIMIT
    ]
    if workers and faulty == workers:
        return f"Cause: {', '.join(faulty)} failed runs of other jobs too, not only of this one."
    return f"Cause: the job's own task failed on {', '.join(workers)}, which ran other jobs well."


def _jobs_failed_on(
    records: list[LogRecord], worker: str, arrived_at: float, until: float
) -> set[str]:
    return {
        record.fields["job"]
        for record in records
        if record.message == "scheduler: Run did not end well."
        and record.fields["worker"] == worker
        and record.fields["kind"] == "failed"
        and arrived_at - LOOKBACK_SECONDS <= record.at <= until
    }


def _find_handover_cause(records: list[LogRecord], own: list[LogRecord], arrived_at: float) -> str:
    """Explain a job that its entry instance has submitted more than once."""
    entry = own[-1].instance
    for record in records:
        is_scheduler_loss = (
            record.message == "group: Scheduler followed." and record.fields["before"]
        )
        if is_scheduler_loss and record.instance == entry and arrived_at <= record.at <= own[-1].at:
            scheduler = record.fields["before"]
            return (
                f"Cause: {entry} lost the scheduler {scheduler} while the job was submitted to it."
            )
    return "Cause: the job moved to another scheduler; the loss of the first is not recorded."
