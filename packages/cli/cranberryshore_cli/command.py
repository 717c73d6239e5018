"""Base class of the commands that send requests to an instance."""

import asyncio
import json
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Result

from cranberryshore.messages import encode_json
from cranberryshore.settings import parse_document
from cranberryshore_cli.client import Client, Failure
from cranberryshore_cli.exits import BAD_INPUT, OK, failure_exit_status

DEFAULT_URL = "http://127.0.0.1:8080"


class RemoteCommand(Command):
    """Base class of commands that send requests to an entry instance.

    The instance's address and the token come from ``--url`` and ``--token``, or from the
    environment variables ``CRANBERRYSHORE_URL`` and ``CRANBERRYSHORE_TOKEN``.
    """

    options: ClassVar = [
        option("url", None, "URL of an entry instance or of the load balancer.", flag=False),
        option("token", None, "Bearer token of the caller or operator.", flag=False),
        option("json", None, "Print the result as JSON."),
    ]

    def run_with_client(self, action: Callable[[Client], Awaitable[Result[Any, Failure]]]) -> int:
        """Run ``action`` with a client and print its result; return the exit status."""
        token = self.option("token") or os.environ.get("CRANBERRYSHORE_TOKEN", "")
        if not token:
            return self.fault("No token given; use --token or CRANBERRYSHORE_TOKEN.")
        url = self.option("url") or os.environ.get("CRANBERRYSHORE_URL", DEFAULT_URL)
        result = asyncio.run(self._run_action(Client(url, token), action))
        if isinstance(result, Err):
            self._print_failure(result.err_value)
            return failure_exit_status(result.err_value)
        value = result.ok_value
        if self.option("json"):
            self.line(encode_json(value).decode())
            return OK
        self.print_result(value)
        return self.result_exit_status(value)

    def read_file(self) -> Result[Any, str]:
        """Parse the file that the argument ``file`` names; return the document or an error."""
        path = Path(self.argument("file"))
        if not path.is_file():
            return Err(f"File {path} does not exist.")
        document = parse_document(path.read_text(encoding="utf-8"))
        return document.map_err(lambda faults: str(faults[0]))

    def print_result(self, value: Any) -> None:
        """Print a result in human-readable form."""
        self.line(json.dumps(json.loads(encode_json(value)), indent=2))

    def result_exit_status(self, value: Any) -> int:
        """Return the exit status for a response that is not a failure."""
        return OK

    def fault(self, message: str) -> int:
        """Print an error message about invalid input; return the exit status for it."""
        self.line_error(f"<error>{message}</error>")
        return BAD_INPUT

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table."""
        self.render_table(headers, [[str(cell) for cell in row] for row in rows])

    async def _run_action(
        self, client: Client, action: Callable[[Client], Awaitable[Result[Any, Failure]]]
    ) -> Result[Any, Failure]:
        await client.start()
        try:
            return await action(client)
        finally:
            await client.close()

    def _print_failure(self, failure: Failure) -> None:
        if self.option("json"):
            self.line(encode_json({"error": failure}).decode())
            return
        self.line_error(f"<error>{failure.detail}</error>")
        claim = getattr(failure, "claim", None)
        if claim is not None:
            self.line_error(f"type: {failure.type.value}, claim: {claim.value}")
            if failure.retry_after_ms is not None:
                self.line_error(f"retry after {failure.retry_after_ms} ms")
