"""Commands for jobs: submit, status, cancel, timeline, explain, report."""

from datetime import datetime
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument, option
from result import Err, Result

from cranberryshore.messages import JobAnswer
from cranberryshore.settings import check_document
from cranberryshore.timeline import Event, explain_events, explain_job, parse_log_records
from cranberryshore.work import JobRequest, JobState, check_job_request
from cranberryshore_cli.client import Client, Failure
from cranberryshore_cli.command import RemoteCommand
from cranberryshore_cli.exits import OK, UNSUCCESSFUL, failure_exit_status

DEFAULT_WAIT_MS = "10000"


class JobCommand(RemoteCommand):
    """Base class of commands whose result is a job."""

    def print_result(self, value: JobAnswer) -> None:
        """Print the job's state."""
        self.line(f"{value.id}: {value.state.value}")
        if value.failure is not None:
            self.line(f"{value.failure.detail} (claim: {value.failure.claim.value})")
        for index, output in enumerate(value.outputs or ()):
            self.line(f"{index}: {output}")

    def result_exit_status(self, value: JobAnswer) -> int:
        """Return 0 unless the job has failed."""
        if value.state is not JobState.FAILED:
            return OK
        return UNSUCCESSFUL if value.failure is None else failure_exit_status(value.failure)


class SubmitCommand(JobCommand):
    """Submits the job in a file."""

    name = "submit"
    description = "Submit the job in a file."
    help = """Example file (JSON with comments):

  {"tasks": [{"demand": {"millicores": 1000, "memory_mb": 256}, "expected_ms": 200}]}

The command first obtains a submission id and prints it. If the response is lost, submit the job
again with <info>--id</info>; it never runs twice. With <info>--key</info>, the key is bound to a
submission id in the store."""
    arguments: ClassVar = [argument("file", "File with the job.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option("id", None, "Submission id obtained earlier.", flag=False),
        option("key", None, "Idempotency key chosen by the caller.", flag=False),
        option(
            "wait-ms",
            None,
            "Time to wait for the end of the job.",
            flag=False,
            default=DEFAULT_WAIT_MS,
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        document = self.read_file()
        if isinstance(document, Err):
            return self.fault(document.err_value)
        checked = check_document(document.ok_value, JobRequest)
        if isinstance(checked, Err):
            return self.fault("; ".join(str(fault) for fault in checked.err_value))
        validated = check_job_request(checked.ok_value)
        if isinstance(validated, Err):
            return self.fault(validated.err_value.detail)
        return self.run_with_client(lambda client: self._submit(client, validated.ok_value))

    async def _submit(self, client: Client, request: JobRequest) -> Result[Any, Failure]:
        wait_ms = int(self.option("wait-ms"))
        if self.option("key"):
            return await client.submit_by_key(self.option("key"), request, wait_ms)
        id = self.option("id")
        if not id:
            obtained = await client.obtain_ids(1)
            if isinstance(obtained, Err):
                return obtained
            id = obtained.ok_value[0]
            self.line_error(f"id {id}")
        return await client.submit(id, request, wait_ms)


class StatusCommand(JobCommand):
    """Shows a job, or the instance and its peers."""

    name = "status"
    description = "Show a job, or the instance and its peers if no id is given."
    arguments: ClassVar = [argument("id", "Submission id.", optional=True)]
    options: ClassVar = [
        *RemoteCommand.options,
        option("wait-ms", None, "Time to wait for the end of the job.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Run the command."""
        id = self.argument("id")
        if id is None:
            return self.run_with_client(lambda client: client.get_json("/v1/status"))
        return self.run_with_client(lambda client: client.query(id, int(self.option("wait-ms"))))

    def print_result(self, value: JobAnswer | dict[str, Any]) -> None:
        """Print a job or an instance."""
        if isinstance(value, JobAnswer):
            super().print_result(value)
            return
        rows = [[name, value[name]] for name in value if name != "peers"]
        self.print_table(["instance", ""], rows)
        peers = [[peer["incarnation"], peer["state"], peer["revision"]] for peer in value["peers"]]
        self.print_table(["peer", "state", "revision"], peers)

    def result_exit_status(self, value: JobAnswer | dict[str, Any]) -> int:
        """Return 0 unless a job has failed."""
        return super().result_exit_status(value) if isinstance(value, JobAnswer) else OK


class CancelCommand(JobCommand):
    """Cancels a job."""

    name = "cancel"
    description = "Cancel a job."
    arguments: ClassVar = [argument("id", "Submission id.")]

    def handle(self) -> int:
        """Run the command."""
        return self.run_with_client(lambda client: client.cancel(self.argument("id")))

    def result_exit_status(self, value: JobAnswer) -> int:
        """Return 0, also if the job had already ended before the request."""
        return OK


class TimelineCommand(RemoteCommand):
    """Shows events from all processes of the availability zone."""

    name = "timeline"
    description = "Show the events of a subject from all processes of the availability zone."
    options: ClassVar = [
        *RemoteCommand.options,
        option(
            "job",
            None,
            "Submission id, request id, resource key, worker name or incarnation.",
            flag=False,
            default="",
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        return self.run_with_client(
            lambda client: client.get_json(f"/v1/timeline?subject={self.option('job')}")
        )

    def print_result(self, value: dict[str, Any]) -> None:
        """Print a table."""
        rows = [
            [
                f"{event['stamp']['wall_ms']}.{event['stamp']['count']}",
                event["process"],
                event["kind"],
                event["subject"],
                event["detail"],
                event["count"] or "",
            ]
            for event in value["events"]
        ]
        self.print_table(["time", "process", "event", "subject", "detail", "tasks"], rows)
        if value["dropped"]:
            self.line(f"Incomplete: {value['dropped']} older events were dropped.")
        for name in value["unreached"]:
            self.line(f"Incomplete: {name} did not answer.")


class ExplainCommand(RemoteCommand):
    """Explains the outcome of a job, request or resource change."""

    name = "explain"
    description = "Explain the outcome of a job, request or resource change."
    help = """With --log, which can be repeated, the cause is determined from the log files of the
processes alone, without a request to an instance."""
    arguments: ClassVar = [argument("subject", "Submission id, request id or resource key.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option("log", None, "Log file of a process.", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("log"):
            return self._explain_logs([Path(name) for name in self.option("log")])
        path = f"/v1/timeline?subject={self.argument('subject')}"
        return self.run_with_client(lambda client: client.get_json(path))

    def _explain_logs(self, paths: list[Path]) -> int:
        lines: list[str] = []
        for path in paths:
            try:
                lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
            except OSError as error:
                return self.fault(str(error))
        for sentence in explain_job(parse_log_records(lines), self.argument("subject")):
            self.line(sentence)
        return OK

    def print_result(self, value: dict[str, Any]) -> None:
        """Print the explanation."""
        events = msgspec.convert(value["events"], list[Event])
        for sentence in explain_events(events):
            self.line(sentence)
        for name in value["unreached"]:
            self.line(f"{name} did not answer; the explanation may be incomplete.")


class ReportCommand(RemoteCommand):
    """Shows the promises made to callers and whether they were kept."""

    name = "report"
    description = "Show the promises made in a period and whether they were kept."
    help = """Times are given in Unix seconds or ISO 8601, such as 2026-12-03T20:00. Instances write
evidence every 30 s; evidence that was lost in a crash is shown as a gap. The exit status is 1 if a
promise was broken or evidence is missing."""
    options: ClassVar = [
        *RemoteCommand.options,
        option("from", None, "Start of the period.", flag=False),
        option("to", None, "End of the period; now by default.", flag=False),
        option("team", None, "Only this team.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        since, until = _parse_time(self.option("from")), _parse_time(self.option("to"))
        if since is None:
            return self.fault("--from must be a time in Unix seconds or ISO 8601.")
        path = f"/v1/report?from={since}" + (f"&to={until}" if until is not None else "")
        if self.option("team"):
            path += f"&team={self.option('team')}"
        return self.run_with_client(lambda client: client.get_json(path))

    def print_result(self, value: dict[str, Any]) -> None:
        """Print tables."""
        columns = ["kind", "team", "service", "promised", "kept", "broken", "unknown"]
        columns += ["p50_seconds", "p99_seconds"]
        self.print_table(columns, [[row[name] for name in columns] for row in value["rows"]])
        for entry in value["exceptions"]:
            self.line(
                f"{entry['at']:.3f} {entry['kind']} {entry['subject']} of {entry['team']}: "
                f"{entry['outcome']}. {entry['detail']}"
            )
        if value["exceptions_dropped"]:
            self.line(
                f"{value['exceptions_dropped']} more exceptions are included in the counts only."
            )
        for gap in value["gaps"]:
            until = "unknown" if gap["until"] is None else f"{gap['until']:.3f}"
            self.line(f"gap of {gap['writer']} from {gap['since']:.3f} to {until}: {gap['reason']}")

    def result_exit_status(self, value: dict[str, Any]) -> int:
        """Return 0 only if nothing was broken and no evidence is missing."""
        is_broken = any(row["broken"] for row in value["rows"])
        return UNSUCCESSFUL if is_broken or value["gaps"] else OK


def _parse_time(text: str | None) -> int | None:
    """Return a time in Unix seconds; ``None`` if it is not given or not valid."""
    if text is None or text.isdigit():
        return None if text is None else int(text)
    try:
        return int(datetime.fromisoformat(text).timestamp())
    except ValueError:
        return None
