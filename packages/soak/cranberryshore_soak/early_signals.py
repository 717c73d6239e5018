"""Handles the signals of a soak before the daemon is imported, and reports that on standard output.

SIGUSR1 ends a process without a handler as SIGHUP does, so neither is sent before the report.
"""

import cranberryshore_platform.early_reload  # isort: skip  # noqa: F401

import signal

from cranberryshore_soak.environment import HANDLERS_REPORT

jumps: list[int] = []
"""The SIGUSR1 that have arrived."""


def _record_jump(number: int, _frame: object) -> None:
    jumps.append(number)


signal.signal(signal.SIGUSR1, _record_jump)
print(HANDLERS_REPORT, flush=True)
