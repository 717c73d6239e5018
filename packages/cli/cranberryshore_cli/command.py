"""What all commands that talk to an instance share."""

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
from cranberryshore_cli.exits import BAD_INPUT, OK, status_of

DEFAULT_URL = "http://127.0.0.1:8080"


class RemoteCommand(Command):
    """A command that asks one entry instance.

    The instance's address and the token come from ``--url`` and ``--token``, or from the
    environment variables ``CRANBERRYSHORE_URL`` and ``CRANBERRYSHORE_TOKEN``.
    """

    options: ClassVar = [
        option("url", None, "Address of an entry instance or the balancer.", flag=False),
        option("token", None, "Token of the caller or operator.", flag=False),
        option("json", None, "Print JSON for scripts."),
    ]

    def ask(self, action: Callable[[Client], Awaitable[Result[Any, Failure]]]) -> int:
        """Run ``action`` with a client and print its result; return the exit status."""
        token = self.option("token") or os.environ.get("CRANBERRYSHORE_TOKEN", "")
        if not token:
            return self.fault("A token is needed: --token or CRANBERRYSHORE_TOKEN.")
        url = self.option("url") or os.environ.get("CRANBERRYSHORE_URL", DEFAULT_URL)
        result = asyncio.run(self._ask(Client(url, token), action))
        if isinstance(result, Err):
            self._print_failure(result.err_value)
            return status_of(result.err_value)
        value = result.ok_value
        if self.option("json"):
            self.line(encode_json(value).decode())
            return OK
        self.show(value)
        return self.status_of_value(value)

    def read_file(self) -> Result[Any, str]:
        """Return the parsed document in the argument ``file``, or what is wrong with it."""
        path = Path(self.argument("file"))
        if not path.is_file():
            return Err(f"There is no file {path}.")
        document = parse_document(path.read_text(encoding="utf-8"))
        return document.map_err(lambda faults: str(faults[0]))

    def show(self, value: Any) -> None:
        """Print a result for people."""
        self.line(json.dumps(json.loads(encode_json(value)), indent=2))

    def status_of_value(self, value: Any) -> int:
        """Return the exit status that a result deserves."""
        return OK

    def fault(self, sentence: str) -> int:
        """Print what is wrong with the input; return the exit status for it."""
        self.line_error(f"<error>{sentence}</error>")
        return BAD_INPUT

    def table_of(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table."""
        self.render_table(headers, [[str(cell) for cell in row] for row in rows])

    async def _ask(
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
                self.line_error(f"come back in {failure.retry_after_ms} ms")
