"""Run the daemon with a skewed wall clock; each SIGUSR1 adds a further jump."""

import os
import signal
from time import time

from cranberryshore_platform.__main__ import main
from cranberryshored.pool.clock import CLOCKS

OFFSET_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_OFFSET"
JUMP_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_JUMP"


def skew_clock(offset: float, jump: float) -> None:
    """Skew the wall clock by ``offset`` seconds, and by another ``jump`` on each SIGUSR1."""
    seconds = offset

    def add_jump(_signal: int, _frame: object) -> None:
        nonlocal seconds
        seconds += jump

    CLOCKS.unix = lambda: time() + seconds
    signal.signal(signal.SIGUSR1, add_jump)


if __name__ == "__main__":
    skew_clock(float(os.environ[OFFSET_VARIABLE]), float(os.environ[JUMP_VARIABLE]))
    main()
