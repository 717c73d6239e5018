"""Commands that run without an instance: check-settings and version."""

from importlib.metadata import version
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err

from cranberryshore.settings import load_daemon_settings
from cranberryshore_cli.exits import BAD_INPUT, OK


class CheckSettingsCommand(Command):
    """Checks a daemon's settings file."""

    name = "check-settings"
    description = "Check a daemon's settings file and print every error with its path."
    arguments: ClassVar = [argument("file", "Settings file.")]

    def handle(self) -> int:
        """Run the command."""
        path = Path(self.argument("file"))
        if not path.is_file():
            self.line_error(f"<error>File {path} does not exist.</error>")
            return BAD_INPUT
        loaded = load_daemon_settings(path.read_text(encoding="utf-8"))
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                self.line_error(f"<error>{fault}</error>")
            return BAD_INPUT
        self.line(f"{path}: ok")
        return OK


class VersionCommand(Command):
    """Prints the version."""

    name = "version"
    description = "Print the version."

    def handle(self) -> int:
        """Run the command."""
        self.line(version("cranberryshore-cli"))
        return OK
