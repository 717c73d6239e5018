"""Run the daemon with a skewed wall clock; each SIGUSR1 adds a further jump."""

from cranberryshore_soak import early_signals  # isort: skip

import os
from time import time

from cranberryshore_platform.__main__ import main
from cranberryshore_soak.environment import JUMP_VARIABLE, OFFSET_VARIABLE
from cranberryshored.pool.clock import CLOCKS


def skew_clock(offset: float, jump: float) -> None:
    """Skew the wall clock by ``offset`` seconds, and by another ``jump`` on each SIGUSR1."""
    CLOCKS.unix = lambda: time() + offset + jump * len(early_signals.jumps)


if __name__ == "__main__":
    skew_clock(float(os.environ[OFFSET_VARIABLE]), float(os.environ[JUMP_VARIABLE]))
    main()
