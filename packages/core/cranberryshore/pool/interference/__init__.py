"""Slowdown of tasks by others on the same worker, learned from ended runs, and its use."""

from cranberryshore.pool.interference.estimation import PairEstimator
from cranberryshore.pool.interference.separation import Separation
from cranberryshore.pool.interference.wiring import use_interference

__all__ = ["PairEstimator", "Separation", "use_interference"]
