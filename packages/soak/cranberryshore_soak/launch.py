"""Runs the daemon with a time of day that is off, and that jumps at each SIGUSR1."""

import os
import signal
from time import time

from cranberryshore_platform.__main__ import main
from cranberryshored.pool.clock import CLOCKS

OFFSET_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_OFFSET"
JUMP_VARIABLE = "CRANBERRYSHORE_SOAK_CLOCK_JUMP"


def skew_clock(offset: float, jump: float) -> None:
    """Put the time of day off by ``offset`` seconds, and by ``jump`` more at each SIGUSR1."""
    seconds = offset

    def step(_signal: int, _frame: object) -> None:
        nonlocal seconds
        seconds += jump

    CLOCKS.unix = lambda: time() + seconds
    signal.signal(signal.SIGUSR1, step)


if __name__ == "__main__":
    skew_clock(float(os.environ[OFFSET_VARIABLE]), float(os.environ[JUMP_VARIABLE]))
    main()
