"""Use of the learned interference by the parts of a scheduler."""

from cranberryshore.pool.effects import PoolEffect
from cranberryshore.pool.interference.separation import Separation
from cranberryshore.pool.job_ending import JobEnder
from cranberryshore.pool.placing import Placer
from cranberryshore.pool.run_statistics import RunStatistics


def use_interference(
    statistics: RunStatistics, placer: Placer, ender: JobEnder, effects: list[PoolEffect]
) -> Separation:
    """Let a scheduler learn which queues slow each other down and place tasks by it."""
    separation = Separation(statistics, effects)
    placer.index.preference.preferences.append(separation)
    placer.start_observers.append(separation)
    ender.observers.append(separation)
    return separation
