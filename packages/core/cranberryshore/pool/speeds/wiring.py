"""Use of the speeds of workers by the parts of a scheduler."""

from cranberryshore.pool.effects import PoolEffect
from cranberryshore.pool.job_ending import JobEnder
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.run_statistics import RunStatistics
from cranberryshore.pool.speeds.worker_speeds import WorkerSpeeds


def use_speeds(
    statistics: RunStatistics, placer: Placer, ender: JobEnder, effects: list[PoolEffect]
) -> WorkerSpeeds:
    """Let a scheduler learn the speeds of its workers and place tasks by them."""
    speeds = WorkerSpeeds(statistics, effects)
    statistics.run_factors = speeds
    placer.index.preference.preferences.append(speeds)
    ender.observers.append(speeds)
    return speeds
