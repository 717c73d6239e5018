"""Jobs, tasks and resource capacities."""

from cranberryshore.work.batch import TaskBatch, TaskStart
from cranberryshore.work.capacity import MILLICORES_PER_PROCESSOR, ZERO_CAPACITY, Capacity
from cranberryshore.work.job import Job, JobState, TaskResult, TaskState
from cranberryshore.work.task import JobRequest, TaskSpec, check_job_request

__all__ = [
    "MILLICORES_PER_PROCESSOR",
    "ZERO_CAPACITY",
    "Capacity",
    "Job",
    "JobRequest",
    "JobState",
    "TaskBatch",
    "TaskResult",
    "TaskSpec",
    "TaskStart",
    "TaskState",
    "check_job_request",
]
