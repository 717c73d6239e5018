"""Batches of tasks that are sent to a worker."""

import attrs

from cranberryshore.work.task import TaskSpec


@attrs.frozen
class TaskStart:
    """One task to start."""

    index: int
    spec: TaskSpec


@attrs.frozen
class TaskBatch:
    """Tasks of one job to start on one worker.

    ``task_count`` counts the tasks of the whole job. If the issuer dies, the peer that closes its
    ownership has only the workers' records; from ``task_count`` and ``caller`` it determines
    whether every task was started and who may receive the answer.
    """

    job: str
    caller: str
    task_count: int
    tasks: tuple[TaskStart, ...]
