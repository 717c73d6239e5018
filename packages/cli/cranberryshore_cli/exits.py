"""Exit statuses of the command line.

``UNSUCCESSFUL``: the request was refused, the job failed, or a report shows a broken promise or
missing evidence. ``UNREACHABLE``: there was no valid response. ``UNCERTAIN``: the request or job
failed, but may have run.
"""

from cranberryshore.errors import ExecutionStatus, Refusal
from cranberryshore_cli.client import ClientFailure

OK = 0
UNSUCCESSFUL = 1
BAD_INPUT = 2
UNREACHABLE = 3
UNCERTAIN = 4


def failure_exit_status(failure: Refusal | ClientFailure) -> int:
    """Return the exit status for a failure.

    Examples
    --------
    >>> failure_exit_status(ClientFailure("no route"))
    3
    """
    if isinstance(failure, ClientFailure):
        return UNREACHABLE
    return UNCERTAIN if failure.claim is ExecutionStatus.MAY_HAVE_RUN else UNSUCCESSFUL
