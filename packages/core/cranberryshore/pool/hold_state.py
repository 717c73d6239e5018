"""State of the hold that a scheduler has on a worker."""

from enum import Enum


class HoldState(Enum):
    """State of the hold on a worker.

    A worker is being acquired until its first response to a poll, silent while it does not respond,
    and lost once it obeys another holder or has left.
    """

    ACQUIRING = "taking"
    HELD = "held"
    SILENT = "silent"
    LOST = "lost"
