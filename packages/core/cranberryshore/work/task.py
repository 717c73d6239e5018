"""Job requests and task specifications, and their validation."""

import attrs
from result import Err, Ok, Result

from cranberryshore.errors import Refusal, malformed
from cranberryshore.work.capacity import Capacity

MAX_TASKS_PER_JOB = 490
MAX_PAYLOAD_CHARACTERS = 16_384
MAX_EXPECTED_MS = 600_000
MAX_MILLICORES = 1_024_000
MAX_MEMORY_MB = 16_777_216
MAX_ACCELERATORS = 1024


@attrs.frozen
class TaskSpec:
    """Resource demand, expected run time and payload of a task, as declared by the caller."""

    demand: Capacity
    expected_ms: int
    payload: str = ""


@attrs.frozen
class JobRequest:
    """A job as submitted by a caller.

    Parameters
    ----------
    tasks : tuple of TaskSpec
        One to ``MAX_TASKS_PER_JOB`` tasks.
    team : str
        Team whose quota the job uses.
    urgent : bool
        Whether the job has priority over ordinary jobs.
    deadline_ms : int or None
        Deadline of the answer, in milliseconds from acceptance.
    """

    tasks: tuple[TaskSpec, ...]
    team: str = "default"
    urgent: bool = False
    deadline_ms: int | None = None


def check_job_request(request: JobRequest) -> Result[JobRequest, Refusal]:
    """Validate the bounds of a request.

    Examples
    --------
    >>> check_job_request(JobRequest(())).unwrap_err().detail
    'tasks: got 0, expected 1 to 490 tasks.'
    """
    count = len(request.tasks)
    if not 1 <= count <= MAX_TASKS_PER_JOB:
        return Err(malformed("tasks", count, f"1 to {MAX_TASKS_PER_JOB} tasks"))
    if not 1 <= len(request.team) <= 64:
        return Err(malformed("team", request.team, "1 to 64 characters"))
    if request.deadline_ms is not None and request.deadline_ms < 1:
        return Err(malformed("deadline_ms", request.deadline_ms, "a positive number"))
    for index, task in enumerate(request.tasks):
        fault = _task_refusal(index, task)
        if fault is not None:
            return Err(fault)
    return Ok(request)


def _task_refusal(index: int, task: TaskSpec) -> Refusal | None:
    demand = task.demand
    bounds = (
        ("demand.millicores", demand.millicores, 1, MAX_MILLICORES),
        ("demand.memory_mb", demand.memory_mb, 0, MAX_MEMORY_MB),
        ("demand.accelerators", demand.accelerators, 0, MAX_ACCELERATORS),
        ("expected_ms", task.expected_ms, 1, MAX_EXPECTED_MS),
    )
    for name, value, low, high in bounds:
        if not low <= value <= high:
            return malformed(f"tasks[{index}].{name}", value, f"{low} to {high}")
    if len(task.payload) > MAX_PAYLOAD_CHARACTERS:
        expected = f"at most {MAX_PAYLOAD_CHARACTERS} characters"
        return malformed(f"tasks[{index}].payload", f"{len(task.payload)} characters", expected)
    return None
