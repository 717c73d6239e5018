"""Entry point of ``cranberryshore``."""

import sys
from importlib.metadata import version

from cleo.application import Application

from cranberryshore_cli.evacuation_commands import EvacuationsCommand
from cranberryshore_cli.job_commands import (
    CancelCommand,
    ExplainCommand,
    ReportCommand,
    StatusCommand,
    SubmitCommand,
    TimelineCommand,
)
from cranberryshore_cli.local_commands import CheckSettingsCommand, VersionCommand
from cranberryshore_cli.resource_commands import (
    ApplyCommand,
    DeleteCommand,
    GetCommand,
    RolloutCommand,
    WatchCommand,
)

COMMANDS = (
    ApplyCommand,
    GetCommand,
    DeleteCommand,
    WatchCommand,
    RolloutCommand,
    SubmitCommand,
    StatusCommand,
    CancelCommand,
    TimelineCommand,
    ExplainCommand,
    ReportCommand,
    EvacuationsCommand,
    CheckSettingsCommand,
    VersionCommand,
)


def create_application() -> Application:
    """Return a console application with all commands."""
    app = Application("cranberryshore", version("cranberryshore-cli"))
    for command in COMMANDS:
        app.add(command())
    return app


def main() -> None:
    """Run the command line."""
    sys.exit(create_application().run())


if __name__ == "__main__":
    main()
