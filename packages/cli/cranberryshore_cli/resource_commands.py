"""Commands for resources: apply, get, delete, watch, rollout."""

import asyncio
from typing import Any, ClassVar
from uuid import uuid4

from cleo.helpers import argument, option
from result import Err, Ok, Result

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.messages import encode_json
from cranberryshore_cli.client import Client, Failure
from cranberryshore_cli.command import RemoteCommand
from cranberryshore_cli.exits import OK

MAX_CHANGE_ATTEMPTS = 5
CHANGE_RETRY_DELAY_SECONDS = 1.0
ROLLOUT_POLL_INTERVAL_SECONDS = 0.2
WATCH_WAIT_MS = 20_000


class ApplyCommand(RemoteCommand):
    """Creates or changes the resource in a file."""

    name = "apply"
    description = "Create or change the resource in a file."
    help = """Example file (JSON with comments):

  {"kind": "service", "name": "booking", "spec": {"timeout_ms": 5000}}

With <info>--generation</info>, the change is accepted only if the resource has this generation.
Without it, the change applies to any generation, but is refused if another change is made at the
same time. The exit status is 1 if the change was refused and 4 if its outcome is unknown."""
    arguments: ClassVar = [argument("file", "File with the resource.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option("generation", None, "Expected generation of the resource.", flag=False),
        option("change-id", None, "Identifier of the change, to repeat it safely.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        document = self.read_file()
        if isinstance(document, Err):
            return self.fault(document.err_value)
        resource = document.ok_value
        if not isinstance(resource, dict) or not {"kind", "name", "spec"} <= resource.keys():
            return self.fault("The file must contain an object with kind, name and spec.")
        return self.run_with_client(lambda client: self._apply(client, resource))

    def print_result(self, value: dict[str, Any]) -> None:
        """Print the accepted generation and revision."""
        resource = value["resource"]
        self.line(
            f"{resource['kind']} {resource['name']}: generation {resource['generation']} "
            f"accepted as revision {value['revision']}"
        )

    async def _apply(self, client: Client, resource: dict[str, Any]) -> Result[Any, Failure]:
        body: dict[str, Any] = {"spec": resource["spec"]}
        if self.option("generation") is not None:
            body["expected_generation"] = int(self.option("generation"))
        change_id = self.option("change-id") or uuid4().hex
        path = f"/v1/resources/{resource['kind']}/{resource['name']}"
        for _ in range(MAX_CHANGE_ATTEMPTS):
            answer = await client.call(
                "PUT", path, dict, encode_json(body), {"Change-Id": change_id}
            )
            if not _is_uncertain(answer):
                return answer
            await asyncio.sleep(CHANGE_RETRY_DELAY_SECONDS)
        return answer


class GetCommand(RemoteCommand):
    """Shows the current resources."""

    name = "get"
    description = "Show the current resources."
    arguments: ClassVar = [
        argument("kind", "Only this kind.", optional=True),
        argument("resource", "Only this name.", optional=True),
    ]

    def handle(self) -> int:
        """Run the command."""
        return self.run_with_client(self._get)

    def print_result(self, value: dict[str, Any]) -> None:
        """Print a table."""
        rows = [
            [item["kind"], item["name"], item["generation"], item["changed_by"], item["spec"]]
            for item in value["resources"]
        ]
        self.print_table(["kind", "name", "generation", "changed by", "spec"], rows)
        self.line(f"revision {value['revision']}")

    async def _get(self, client: Client) -> Result[Any, Failure]:
        answer = await client.get_json("/v1/resources")
        return answer.map(self._filter_resources)

    def _filter_resources(self, value: dict[str, Any]) -> dict[str, Any]:
        kind, name = self.argument("kind"), self.argument("resource")
        chosen = [
            item
            for item in value["resources"]
            if kind in (None, item["kind"]) and name in (None, item["name"])
        ]
        return {**value, "resources": chosen}


class DeleteCommand(RemoteCommand):
    """Deletes a resource."""

    name = "delete"
    description = "Delete a resource."
    arguments: ClassVar = [
        argument("kind", "Kind of the resource."),
        argument("resource", "Name of the resource."),
    ]

    def handle(self) -> int:
        """Run the command."""
        path = f"/v1/resources/{self.argument('kind')}/{self.argument('resource')}"
        return self.run_with_client(lambda client: client.call("DELETE", path, dict))

    def print_result(self, value: dict[str, Any]) -> None:
        """Print the revision of the deletion."""
        self.line(f"deleted as revision {value['revision']}")


class WatchCommand(RemoteCommand):
    """Prints changes of resources as they occur."""

    name = "watch"
    description = "Print changes of resources as they occur, one per line."
    help = """Without <info>--after</info>, the output begins with all current resources. If the
changes after a revision are no longer retained, the command reports a gap and lists all resources
again."""
    options: ClassVar = [
        *RemoteCommand.options,
        option("after", None, "Revision after which to start.", flag=False),
        option("once", None, "Print the changes that are available and exit."),
    ]

    def handle(self) -> int:
        """Run the command."""
        return self.run_with_client(self._watch)

    def print_result(self, value: dict[str, Any]) -> None:
        """Print the revision from which to continue."""
        self.line(f"revision {value['revision']}")

    async def _watch(self, client: Client) -> Result[Any, Failure]:
        wait_ms = 0 if self.option("once") else WATCH_WAIT_MS
        after = self.option("after")
        while True:
            if after is None:
                answer = await self._list(client)
            else:
                answer = await client.get_json(f"/v1/watch?after={after}&wait_ms={wait_ms}")
            if _is_watch_gap(answer):
                self.line_error(f"Gap: {answer.err_value.detail}")
                after = None
                continue
            if isinstance(answer, Err):
                return answer
            for change in answer.ok_value["changes"]:
                self.line(_format_change(change))
            after = answer.ok_value["revision"]
            if self.option("once"):
                return answer

    async def _list(self, client: Client) -> Result[Any, Failure]:
        """Return all current resources in the form of changes."""
        listed = await client.get_json("/v1/resources")
        return listed.map(
            lambda value: {
                "revision": value["revision"],
                "changes": [
                    {
                        "revision": value["revision"],
                        "key": f"config/{item['kind']}/{item['name']}",
                        "resource": item,
                    }
                    for item in value["resources"]
                ],
            }
        )


class RolloutCommand(RemoteCommand):
    """Shows which instances have applied a revision."""

    name = "rollout"
    description = "Show which instances have applied a revision."
    arguments: ClassVar = [argument("revision", "Revision printed by the command apply.")]
    options: ClassVar = [
        *RemoteCommand.options,
        option(
            "wait",
            None,
            "Wait up to this many seconds until all reachable instances have applied it.",
            flag=False,
            default="0",
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        if not self.argument("revision").isdigit():
            return self.fault("The revision must be a number.")
        return self.run_with_client(self._rollout)

    def print_result(self, value: dict[str, Any]) -> None:
        """Print a table."""
        revision = int(self.argument("revision"))
        rows = [
            [item["incarnation"], item["revision"], item["revision"] >= revision]
            for item in value["instances"]
        ]
        rows += [[address, "?", "unreachable"] for address in value["unreached"]]
        self.print_table(["instance", "revision", "applied"], rows)

    def result_exit_status(self, value: dict[str, Any]) -> int:
        """Return 0 only if all instances have applied the revision and none is unreachable."""
        return OK if self._is_applied(value) and not value["unreached"] else 1

    def _is_applied(self, value: dict[str, Any]) -> bool:
        revision = int(self.argument("revision"))
        return all(item["revision"] >= revision for item in value["instances"])

    async def _rollout(self, client: Client) -> Result[Any, Failure]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + float(self.option("wait"))
        while True:
            answer = await client.get_json("/v1/rollout")
            is_applied = isinstance(answer, Ok) and self._is_applied(answer.ok_value)
            if is_applied or loop.time() >= deadline:
                return answer
            await asyncio.sleep(ROLLOUT_POLL_INTERVAL_SECONDS)


def _is_uncertain(answer: Result[Any, Failure]) -> bool:
    if not isinstance(answer, Err) or not isinstance(answer.err_value, Refusal):
        return False
    refusal = answer.err_value
    is_store_error = refusal.type in (ErrorType.CHANGE_UNCERTAIN, ErrorType.STORE_UNAVAILABLE)
    return is_store_error and refusal.claim is ExecutionStatus.MAY_HAVE_RUN


def _is_watch_gap(answer: Result[Any, Failure]) -> bool:
    if not isinstance(answer, Err) or not isinstance(answer.err_value, Refusal):
        return False
    return answer.err_value.type is ErrorType.WATCH_GAP


def _format_change(change: dict[str, Any]) -> str:
    resource = change["resource"]
    if resource is None:
        return f"{change['revision']} {change['key']} deleted"
    return (
        f"{change['revision']} {change['key']} generation {resource['generation']} "
        f"by {resource['changed_by']}"
    )
