"""Commands for jobs: submit, status, cancel, timeline, explain."""

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
from cranberryshore_cli.exits import OK, REFUSED, status_of

DEFAULT_WAIT_MS = "10000"


class JobCommand(RemoteCommand):
    """A command whose result is a job."""

    def show(self, value: JobAnswer) -> None:
        """Print the job's state."""
        self.line(f"{value.id}: {value.state.value}")
        if value.failure is not None:
            self.line(f"{value.failure.detail} (claim: {value.failure.claim.value})")
        for index, output in enumerate(value.outputs or ()):
            self.line(f"{index}: {output}")

    def status_of_value(self, value: JobAnswer) -> int:
        """Return 0 unless the job has failed."""
        if value.state is not JobState.FAILED:
            return OK
        return REFUSED if value.failure is None else status_of(value.failure)


class SubmitCommand(JobCommand):
    """Submits the job in a file."""

    name = "submit"
    description = "Submit the job in a file."
    help = """Example file (JSON with comments):

  {"tasks": [{"demand": {"millicores": 1000, "memory_mb": 256}, "expected_ms": 200}]}

An id is obtained first and printed, so that the job can be submitted again under it with
<info>--id</info> if the answer is lost; it never runs twice. With <info>--key</info> the key is
bound to an id through the store."""
    arguments: ClassVar = [argument("file", "File with the job.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option("id", None, "Submission id obtained earlier.", flag=False),
        option("key", None, "Idempotency key of your own.", flag=False),
        option("wait-ms", None, "How long to wait.", flag=False, default=DEFAULT_WAIT_MS),
    ]

    def handle(self) -> int:
        """Run the command."""
        document = self.read_file()
        if isinstance(document, Err):
            return self.fault(document.err_value)
        checked = check_document(document.ok_value, JobRequest)
        if isinstance(checked, Err):
            return self.fault("; ".join(str(fault) for fault in checked.err_value))
        bounded = check_job_request(checked.ok_value)
        if isinstance(bounded, Err):
            return self.fault(bounded.err_value.detail)
        return self.ask(lambda client: self._submit(client, bounded.ok_value))

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
    description = "Show a job, or without an id the instance and its peers."
    arguments: ClassVar = [argument("id", "Submission id.", optional=True)]
    options: ClassVar = [
        *RemoteCommand.options,
        option("wait-ms", None, "How long to wait.", flag=False, default="0"),
    ]

    def handle(self) -> int:
        """Run the command."""
        id = self.argument("id")
        if id is None:
            return self.ask(lambda client: client.show("/v1/status"))
        return self.ask(lambda client: client.query(id, int(self.option("wait-ms"))))

    def show(self, value: JobAnswer | dict[str, Any]) -> None:
        """Print a job or an instance."""
        if isinstance(value, JobAnswer):
            super().show(value)
            return
        rows = [[name, value[name]] for name in value if name != "peers"]
        self.table_of(["instance", ""], rows)
        peers = [[peer["incarnation"], peer["state"], peer["revision"]] for peer in value["peers"]]
        self.table_of(["peer", "state", "revision"], peers)

    def status_of_value(self, value: JobAnswer | dict[str, Any]) -> int:
        """Return 0 unless a job has failed."""
        return super().status_of_value(value) if isinstance(value, JobAnswer) else OK


class CancelCommand(JobCommand):
    """Withdraws a job."""

    name = "cancel"
    description = "Withdraw a job."
    arguments: ClassVar = [argument("id", "Submission id.")]

    def handle(self) -> int:
        """Run the command."""
        return self.ask(lambda client: client.cancel(self.argument("id")))

    def status_of_value(self, value: JobAnswer) -> int:
        """Return 0: the job is settled, as cancelled or as it was before."""
        return OK


class TimelineCommand(RemoteCommand):
    """Shows events over all processes of the zone."""

    name = "timeline"
    description = "Show the events about a subject over all processes of the zone."
    options: ClassVar = [
        *RemoteCommand.options,
        option("job", None, "Submission id, request id or member.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Run the command."""
        return self.ask(lambda client: client.show(f"/v1/timeline?subject={self.option('job')}"))

    def show(self, value: dict[str, Any]) -> None:
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
        self.table_of(["time", "process", "event", "subject", "detail", "tasks"], rows)
        if value["dropped"]:
            self.line(f"Not whole: {value['dropped']} older events were dropped.")
        for name in value["unreached"]:
            self.line(f"Not whole: {name} did not answer.")


class ExplainCommand(RemoteCommand):
    """Tells in sentences why a subject ended as it did."""

    name = "explain"
    description = "Tell in sentences why a job, request or resource ended as it did."
    help = """With --log, which may be given several times, the cause is found in the log files of
the processes alone; no instance is asked."""
    arguments: ClassVar = [argument("subject", "Submission id, request id or resource key.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option("log", None, "File with log records of processes.", flag=False, multiple=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("log"):
            return self._explain_logs([Path(name) for name in self.option("log")])
        path = f"/v1/timeline?subject={self.argument('subject')}"
        return self.ask(lambda client: client.show(path))

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

    def show(self, value: dict[str, Any]) -> None:
        """Print the sentences."""
        events = msgspec.convert(value["events"], list[Event])
        for sentence in explain_events(events):
            self.line(sentence)
        for name in value["unreached"]:
            self.line(f"{name} did not answer, so this may not be all.")


class ReportCommand(RemoteCommand):
    """Shows what was promised and whether it was kept."""

    name = "report"
    description = "Show what was promised in a time, and whether it was kept."
    help = """Times are Unix seconds or ISO 8601, such as 2026-12-03T20:00. Evidence is written
every half minute; what a crash took before its write is shown as a gap. Exit status 1 if any
promise was broken or any evidence is missing."""
    options: ClassVar = [
        *RemoteCommand.options,
        option("from", None, "Begin of the time.", flag=False),
        option("to", None, "End of the time; now if not given.", flag=False),
        option("team", None, "Only this team.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        since, until = _unix_time(self.option("from")), _unix_time(self.option("to"))
        if since is None:
            return self.fault("--from must be a time.")
        path = f"/v1/report?from={since}" + (f"&to={until}" if until is not None else "")
        if self.option("team"):
            path += f"&team={self.option('team')}"
        return self.ask(lambda client: client.show(path))

    def show(self, value: dict[str, Any]) -> None:
        """Print tables."""
        names = ["kind", "team", "service", "promised", "kept", "broken", "unknown"]
        names += ["p50_seconds", "p99_seconds"]
        self.table_of(names, [[row[name] for name in names] for row in value["rows"]])
        for noted in value["exceptions"]:
            self.line(
                f"{noted['at']:.3f} {noted['kind']} {noted['subject']} of {noted['team']}: "
                f"{noted['outcome']}. {noted['detail']}"
            )
        if value["exceptions_dropped"]:
            self.line(f"{value['exceptions_dropped']} more are in the counts only.")
        for gap in value["gaps"]:
            until = "unknown" if gap["until"] is None else f"{gap['until']:.3f}"
            self.line(f"gap of {gap['writer']} from {gap['since']:.3f} to {until}: {gap['reason']}")

    def status_of_value(self, value: dict[str, Any]) -> int:
        """Return 0 only if nothing was broken and no evidence is missing."""
        is_broken = any(row["broken"] for row in value["rows"])
        return REFUSED if is_broken or value["gaps"] else OK


def _unix_time(text: str | None) -> int | None:
    if text is None or text.isdigit():
        return None if text is None else int(text)
    try:
        return int(datetime.fromisoformat(text).timestamp())
    except ValueError:
        return None
