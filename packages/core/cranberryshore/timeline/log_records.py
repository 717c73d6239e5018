"""Why a job ended as it did, from the log records of the processes alone."""

import re
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs
import msgspec

BEFORE_SECONDS = 2.0
"""Changes of belief this long before a job's arrival may have decided its end."""

FAILING_WORKER_JOBS = 2
"""A worker that failed runs of more jobs than this at the time fails whatever it runs."""

_RECORD = re.compile(r"\{.*\}")
_BELIEFS = (
    "group: Scheduler followed.",
    "group: This process stood still.",
    "group: Entry instance lost.",
    "group: Peer does not hear this instance.",
    "scheduler: Scheduling begins.",
    "scheduler: Scheduling ends.",
    "daemon: Configuration in force.",
    "daemon: Draining.",
    "store: Store does not answer.",
)
_HIDDEN = ("job", "queue", "entry", "runs", "config")


@attrs.frozen
class LogRecord:
    """One record: when, by which instance, its sentence and its fields."""

    at: float
    instance: str
    sentence: str
    fields: dict[str, Any]


def parse_log_records(lines: Iterable[str]) -> list[LogRecord]:
    """Return the records in lines of logs, in the order of their times.

    Text around a record is ignored, and so are lines without one.

    Examples
    --------
    >>> line = '{"event": "entry: Caller left.", "instance": "e1", "job": "j", '
    >>> line += '"timestamp": "2026-01-01T00:00:01Z", "level": "info"}'
    >>> parse_log_records(["no record", line])[0].fields
    {'job': 'j'}
    """
    records = []
    for line in lines:
        found = _RECORD.search(line)
        if found is None:
            continue
        try:
            fields = msgspec.json.decode(found[0])
            at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
            record = LogRecord(at, fields.pop("instance"), fields.pop("event"), fields)
        except (msgspec.DecodeError, KeyError, ValueError):
            continue
        fields.pop("level", None)
        records.append(record)
    return sorted(records, key=lambda record: record.at)


def explain_job(records: list[LogRecord], job: str) -> list[str]:
    """Return sentences that lead from a job to its cause; the last one names it.

    Parameters
    ----------
    records : list of LogRecord
        Records of all processes, in order.
    job : str
        Id of the job.
    """
    own = [record for record in records if record.fields.get("job") == job]
    if not own:
        return ["Nothing is recorded about this job; records of the time may have been left out."]
    began = min(record.at - _total_seconds(record) for record in own)
    shown = [
        record
        for record in records
        if record in own or (record.sentence in _BELIEFS and _is_near(record, own, began))
    ]
    return [*(_sentence(record) for record in shown), _cause(records, own, began)]


def _total_seconds(record: LogRecord) -> float:
    return record.fields.get("total_ms", record.fields.get("ms", 0)) / 1000


def _is_near(record: LogRecord, own: list[LogRecord], began: float) -> bool:
    instances = {item.instance for item in own}
    is_in_time = began - BEFORE_SECONDS <= record.at <= own[-1].at
    return is_in_time and (record.instance in instances or record.sentence.startswith("sched"))


def _sentence(record: LogRecord) -> str:
    time = datetime.fromtimestamp(record.at).strftime("%H:%M:%S.%f")[:-3]
    fields = ", ".join(
        f"{name} {value}"
        for name, value in record.fields.items()
        if name not in _HIDDEN and value not in ("", None)
    )
    return f"{time} {record.instance}: {record.sentence} {fields}".rstrip()


def _cause(records: list[LogRecord], own: list[LogRecord], began: float) -> str:
    answers = [record for record in own if record.sentence == "entry: Caller answered."]
    ends = [record for record in own if record.sentence == "scheduler: Job ended."]
    if any(record.sentence == "entry: Caller left." for record in own):
        return "Cause: the caller left before the answer."
    last = (answers or ends or own)[-1]
    outcome = last.fields.get("outcome", "")
    if outcome == "completed":
        return f"The job completed after {_total_seconds(last) * 1000:.0f} ms."
    if outcome == "failed":
        return _failure_cause(records, own, began)
    if last.fields.get("resumed"):
        return _hand_over_cause(records, own, began)
    if ends:
        waiting = ends[-1].fields.get("waiting_jobs", 0)
        waited = ends[-1].fields.get("waited_ms", 0)
        return f"Cause: overload; it waited {waited} ms without room beside {waiting} other jobs."
    return f"Cause: {last.fields.get('reason') or 'not recorded'}"


def _failure_cause(records: list[LogRecord], own: list[LogRecord], began: float) -> str:
    lost = [record for record in own if record.sentence == "scheduler: Run did not end well."]
    workers = sorted({record.fields["worker"] for record in lost})
    failing = [
        worker
        for worker in workers
        if len(_failed_jobs(records, worker, began, own[-1].at)) > FAILING_WORKER_JOBS
    ]
    if workers and failing == workers:
        return f"Cause: {', '.join(failing)} failed runs of other jobs too, whatever it ran."
    return f"Cause: the job's own task failed on {', '.join(workers)}, which ran others well."


def _failed_jobs(records: list[LogRecord], worker: str, began: float, until: float) -> set[str]:
    return {
        record.fields["job"]
        for record in records
        if record.sentence == "scheduler: Run did not end well."
        and record.fields["worker"] == worker
        and record.fields["kind"] == "failed"
        and began - BEFORE_SECONDS <= record.at <= until
    }


def _hand_over_cause(records: list[LogRecord], own: list[LogRecord], began: float) -> str:
    entry = own[-1].instance
    for record in records:
        is_loss = record.sentence == "group: Scheduler followed." and record.fields["before"]
        if is_loss and record.instance == entry and began <= record.at <= own[-1].at:
            scheduler = record.fields["before"]
            return f"Cause: {entry} lost the scheduler {scheduler} while the job was there."
    return "Cause: the job was handed to another scheduler; the loss of the first is not recorded."
