"""Speeds of workers, learned from ended runs, and the placement of tasks by them."""

from cranberryshore.pool.speeds.estimation import SpeedEstimator
from cranberryshore.pool.speeds.wiring import use_speeds
from cranberryshore.pool.speeds.worker_speeds import WorkerSpeeds

__all__ = ["SpeedEstimator", "WorkerSpeeds", "use_speeds"]
