import json
from unittest import TestCase

from cranberryshore.timeline import explain_job, parse_log_records

ENTRY, SCHEDULER = "e1", "e2"


def line(second: float, instance: str, message: str, **fields) -> str:
    record = {"event": message, "instance": instance, "level": "info", **fields}
    record["timestamp"] = f"2026-12-03T20:00:{second:06.3f}Z"
    return f"stdout {json.dumps(record)}"


def answered(second: float, outcome: str, **fields) -> str:
    values = {"job": "j", "outcome": outcome, "resumed": False, "ms": 900} | fields
    return line(second, ENTRY, "entry: Caller answered.", **values)


def failed_run(second: float, worker: str, job: str = "j") -> str:
    message = "scheduler: Run did not end well."
    return line(second, SCHEDULER, message, job=job, worker=worker, kind="failed", attempt=1)


class ExplainRecordsTest(TestCase):
    def cause(self, *lines: str) -> str:
        return explain_job(parse_log_records(lines), "j")[-1]

    def test_overload(self):
        ended = {"job": "j", "outcome": "refused", "waited_ms": 445, "waiting_jobs": 37}
        cause = self.cause(
            line(10.0, SCHEDULER, "scheduler: Job ended.", total_ms=445, **ended),
            answered(10.01, "refused", ms=448),
        )
        self.assertEqual(
            cause, "Cause: overload; it waited 445 ms for capacity along with 37 other jobs."
        )

    def test_scheduler_lost(self):
        lines = (
            line(9.5, ENTRY, "group: Scheduler followed.", before="e3", scheduler=""),
            line(9.6, SCHEDULER, "scheduler: Scheduling begins.", term=5, zone="all"),
            line(9.7, ENTRY, "group: Scheduler followed.", before="", scheduler="e2"),
            answered(10.0, "given_up", resumed=True),
        )
        sentences = explain_job(parse_log_records(reversed(lines)), "j")
        self.assertEqual(
            sentences[-1], "Cause: e1 lost the scheduler e3 while the job was submitted to it."
        )
        self.assertEqual(len(sentences), 5)
        self.assertIn("Scheduling begins. term 5, zone all", sentences[1])

    def test_faulty_job(self):
        cause = self.cause(failed_run(9.2, "w1"), failed_run(9.4, "w2"), answered(10.0, "failed"))
        self.assertIn("the job's own task failed on w1, w2", cause)

    def test_faulty_worker(self):
        others = [failed_run(9.0 + number / 10, "w1", f"x{number}") for number in range(3)]
        cause = self.cause(*others, failed_run(9.5, "w1"), answered(10.0, "failed"))
        self.assertIn("w1 failed runs of other jobs too", cause)

    def test_job_that_crashes_workers(self):
        lost = {"worker": "w1", "crash": "proven", "runs": ["j.0.0.0/1"]}
        failure = {"failure": "workers_crashed", "task": "j.0.0.0", "lost_workers": 2}
        lines = (
            line(9.2, SCHEDULER, "scheduler: Worker was lost with its runs.", **lost),
            failed_run(9.4, "w1"),
            line(9.9, SCHEDULER, "scheduler: Job ended.", job="j", outcome="failed", **failure),
            answered(10.0, "failed"),
        )
        sentences = explain_job(parse_log_records(lines), "j")
        self.assertEqual(
            sentences[-1], "Cause: 2 workers crashed while they ran task j.0.0.0 of the job."
        )
        self.assertIn("Worker was lost with its runs. worker w1", sentences[0])

    def test_job_that_was_cancelled(self):
        message = "cancelling: Cancel requested."
        requested = line(9.5, "e3", message, job="j", caller="10.0.0.7")
        ended = {"job": "j", "outcome": "cancelled", "waited_ms": 0, "waiting_jobs": 3}
        stopped = line(9.6, SCHEDULER, "scheduler: Job ended.", total_ms=445, **ended)
        cause = self.cause(requested, stopped, answered(9.6, "cancelled"))
        self.assertEqual(cause, "Cause: 10.0.0.7 has cancelled the job at e3.")
        self.assertIn("not recorded", self.cause(answered(9.6, "cancelled")))

    def test_caller_disconnected(self):
        self.assertIn("left", self.cause(line(9.0, ENTRY, "entry: Caller left.", job="j")))

    def test_nothing_recorded(self):
        self.assertIn("Nothing is recorded", self.cause("{broken", "no record"))
