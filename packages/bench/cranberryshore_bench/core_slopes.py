"""Cost of the core's decisions against the size of the system, measured without I/O."""

import tracemalloc
from time import process_time

from cranberryshore.config import Change, ConfigState, Resource, ResourceKind, check_resource
from cranberryshore.dispatch import (
    Assigned,
    Dispatcher,
    DispatchSettings,
    StartTasks,
    Submit,
    TasksFinished,
    UsageReported,
    WorkerAdded,
    WorkerOpened,
)
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.limits import FairQueue
from cranberryshore.messages import Demands, decode_json, encode_json
from cranberryshore.messages.codec import encode_message
from cranberryshore.placement import Assignment
from cranberryshore.work import Capacity, JobRequest, TaskResult, TaskSpec
from cranberryshore_bench.linear_fit import LinearFit, fit_line

OWNER = Incarnation("a", "e1", "0" * 16)
TASK = TaskSpec(Capacity(1000, 64, 0), 100, "x" * 64)
MICROSECONDS_PER_SECOND = 1e6
JOB_COUNT = 60
REPEATS = 5


def _make_dispatcher(workers: int) -> Dispatcher:
    dispatcher = Dispatcher(DispatchSettings(retained_jobs=1_000_000), str(OWNER))
    names = [f"w{number}" for number in range(workers)]
    for name in names:
        dispatcher.handle(WorkerAdded(name, "run-1", Capacity(64_000, 262_144, 0)), 0.0)
        dispatcher.handle(WorkerOpened(name, "run-1", ()), 0.0)
    dispatcher.handle(Assigned(Assignment("me", dict.fromkeys(names, "me"))), 0.0)
    return dispatcher


def _task_output(index: int) -> str:
    """Return an output of 64 characters, a new string for each task."""
    return f"{index:64}"


def _run_jobs(dispatcher: Dispatcher, count: int, tasks: int) -> None:
    encoded_request = encode_json(JobRequest((TASK,) * tasks))
    for number in range(count):
        id = SubmissionId(OWNER, number)
        effects = dispatcher.handle(Submit(id, "c", decode_json(encoded_request, JobRequest)), 0.0)
        for effect in effects:
            if isinstance(effect, StartTasks):
                results = tuple(
                    (effect.batch.job, TaskResult(task.index, True, _task_output(task.index), 100))
                    for task in effect.batch.tasks
                )
                dispatcher.handle(TasksFinished(effect.worker, results), 0.0)


def _min_processor_seconds(action) -> float:
    """Return the least processor time of ``REPEATS`` runs of an action."""
    times = []
    for _ in range(REPEATS):
        start_time = process_time()
        action()
        times.append(process_time() - start_time)
    return min(times)


def reference_seconds() -> float:
    """Return the processor time of a fixed loop, to compare machines."""

    def loop() -> None:
        total = 0
        for number in range(2_000_000):
            total += number

    return _min_processor_seconds(loop)


def job_placement() -> LinearFit:
    """Fit the processor time of decoding and placing a job of 100 tasks, by workers."""
    points = []
    for workers in (8, 32, 128, 512):
        seconds = _min_processor_seconds(
            lambda workers=workers: _run_jobs(_make_dispatcher(workers), JOB_COUNT, 100)
        )
        setup_seconds = _min_processor_seconds(lambda workers=workers: _make_dispatcher(workers))
        points.append((workers, (seconds - setup_seconds) / JOB_COUNT * MICROSECONDS_PER_SECOND))
    return fit_line("decoding and decisions for a job of 100 tasks, by workers known", "µs", points)


def usage_reports() -> LinearFit:
    """Fit the processor time of a usage report, by workers."""
    points = []
    for workers in (8, 32, 128, 512):
        dispatcher = _make_dispatcher(workers)

        def report(dispatcher: Dispatcher = dispatcher) -> None:
            for _ in range(2000):
                dispatcher.handle(UsageReported("w1", {}), 0.0)

        points.append((workers, _min_processor_seconds(report) / 2000 * MICROSECONDS_PER_SECOND))
    return fit_line("decisions for a usage report, by workers known", "µs", points)


def retained_jobs() -> LinearFit:
    """Fit the memory of settled jobs of 20 tasks, by retained jobs."""
    points = []
    for jobs in (250, 500, 1000, 2000):
        tracemalloc.start()
        dispatcher = _make_dispatcher(16)
        before = tracemalloc.get_traced_memory()[0]
        _run_jobs(dispatcher, jobs, 20)
        points.append((jobs, (tracemalloc.get_traced_memory()[0] - before) / 1e6))
        tracemalloc.stop()
    return fit_line("memory of settled jobs of 20 tasks, by jobs retained", "MB", points)


def teams() -> LinearFit:
    """Fit the processor time of taking a task from the fair queue, by waiting teams.

    Each task is queued again at once, so that the queue keeps its length.
    """
    points = []
    for count in (25, 50, 100, 200):
        queue: FairQueue[int] = FairQueue(is_live=lambda entry: True)
        for team in range(count):
            for entry in range(20):
                queue.push(f"team-{team}", False, entry)

        def place_next(queue: FairQueue[int] = queue) -> None:
            for _ in range(300):
                team, urgent, entry = queue.peek()
                queue.charge(team, urgent, 1.0)
                queue.pop(team, urgent)
                queue.push(team, urgent, entry)

        points.append((count, _min_processor_seconds(place_next) / 300 * MICROSECONDS_PER_SECOND))
    return fit_line("hand-out to a team, by teams waiting", "µs", points)


def demand_bytes() -> LinearFit:
    """Fit the size of a message with the demand of every team, by teams."""
    points = []
    for count in (25, 50, 100, 200):
        demands = {f"team-{number:03}": 1000 * number for number in range(count)}
        points.append((count, len(encode_message(Demands("zone:a", demands, True)).body)))
    return fit_line("message with all demands, by teams", "bytes", points)


def resources() -> LinearFit:
    """Fit the processor time of applying one configuration change, by resources.

    Each change validates all resources again, as the daemon's ``ConfigApplier`` does.
    """
    points = []
    for count in (50, 100, 200, 400):
        state = ConfigState()
        spec = {"quota_millicores": 1000}
        encoded_resources = []
        for number in range(count):
            resource = Resource(ResourceKind.CALLER_POLICY, f"team-{number}", spec, 1)
            encoded_resources.append(encode_json(resource))
            state.apply(Change(number + 1, f"config/caller-policy/team-{number}", resource))

        def apply_change(
            state: ConfigState = state, encoded_resources: list[bytes] = encoded_resources
        ) -> None:
            for _ in range(20):
                resource = decode_json(encoded_resources[0], Resource)
                state.apply(Change(state.revision + 1, "config/caller-policy/team-0", resource))
                for held in state.resources.values():
                    check_resource(held.kind, held.name, held.spec)

        points.append((count, _min_processor_seconds(apply_change) / 20 * MICROSECONDS_PER_SECOND))
    return fit_line("one change put in force, by resources", "µs", points)


def overloaded_results() -> LinearFit:
    """Fit the processor time of one result while all teams wait, by teams."""
    points = []
    for count in (25, 50, 100, 200):
        dispatcher = _make_dispatcher(16)
        running: list[tuple[str, str, int]] = []
        for number in range(count * 12):
            id = SubmissionId(OWNER, number)
            request = JobRequest((TASK,) * 5, team=f"team-{number % count}")
            running += _started_tasks(dispatcher.handle(Submit(id, "c", request), 0.0))

        def finish_tasks(dispatcher: Dispatcher = dispatcher, running: list = running) -> None:
            for _ in range(40):
                worker, job, index = running.pop(0)
                result = TasksFinished(worker, ((job, TaskResult(index, True, "", 100)),))
                running.extend(_started_tasks(dispatcher.handle(result, 0.1)))

        points.append((count, _min_processor_seconds(finish_tasks) / 40 * MICROSECONDS_PER_SECOND))
    return fit_line("one result under overload, by teams waiting", "µs", points)


def _started_tasks(effects: list) -> list[tuple[str, str, int]]:
    return [
        (effect.worker, effect.batch.job, task.index)
        for effect in effects
        if isinstance(effect, StartTasks)
        for task in effect.batch.tasks
    ]


def core_slopes() -> list[LinearFit]:
    """Measure and fit all costs of the core's decisions."""
    return [
        job_placement(),
        usage_reports(),
        retained_jobs(),
        teams(),
        overloaded_results(),
        demand_bytes(),
        resources(),
    ]
