"""Slopes of the decisions, measured in one process without input or output."""

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
from cranberryshore_bench.fit import Slope, fit

OWNER = Incarnation("a", "e1", "0" * 16)
TASK = TaskSpec(Capacity(1000, 64, 0), 100, "x" * 64)
MICROSECONDS = 1e6
JOBS = 60
REPEATS = 5


def _dispatcher(workers: int) -> Dispatcher:
    dispatcher = Dispatcher(DispatchSettings(retained_jobs=1_000_000), str(OWNER))
    names = [f"w{number}" for number in range(workers)]
    for name in names:
        dispatcher.handle(WorkerAdded(name, "run-1", Capacity(64_000, 262_144, 0)), 0.0)
        dispatcher.handle(WorkerOpened(name, "run-1", ()), 0.0)
    dispatcher.handle(Assigned(Assignment("me", dict.fromkeys(names, "me"))), 0.0)
    return dispatcher


def _output(index: int) -> str:
    return f"{index:64}"


def _play_jobs(dispatcher: Dispatcher, count: int, tasks: int) -> None:
    text = encode_json(JobRequest((TASK,) * tasks))
    for number in range(count):
        id = SubmissionId(OWNER, number)
        effects = dispatcher.handle(Submit(id, "c", decode_json(text, JobRequest)), 0.0)
        for effect in effects:
            if isinstance(effect, StartTasks):
                results = tuple(
                    (effect.batch.job, TaskResult(task.index, True, _output(task.index), 100))
                    for task in effect.batch.tasks
                )
                dispatcher.handle(TasksFinished(effect.worker, results), 0.0)


def _best(action) -> float:
    """Return the shortest processor time of several runs of an action."""
    times = []
    for _ in range(REPEATS):
        began = process_time()
        action()
        times.append(process_time() - began)
    return min(times)


def reference_seconds() -> float:
    """Return the processor time of a fixed loop, by which machines can be compared."""

    def loop() -> None:
        total = 0
        for number in range(2_000_000):
            total += number

    return _best(loop)


def workers_known() -> Slope:
    """Return the processor time of placing one job of 100 tasks, by workers known."""
    points = []
    for workers in (8, 32, 128, 512):
        seconds = _best(lambda workers=workers: _play_jobs(_dispatcher(workers), JOBS, 100))
        base = _best(lambda workers=workers: _dispatcher(workers))
        points.append((workers, (seconds - base) / JOBS * MICROSECONDS))
    return fit("decoding and decisions for a job of 100 tasks, by workers known", "µs", points)


def usage_reports() -> Slope:
    """Return the processor time of one report of a worker's usage, by workers known."""
    points = []
    for workers in (8, 32, 128, 512):
        dispatcher = _dispatcher(workers)

        def report(dispatcher: Dispatcher = dispatcher) -> None:
            for _ in range(2000):
                dispatcher.handle(UsageReported("w1", {}), 0.0)

        points.append((workers, _best(report) / 2000 * MICROSECONDS))
    return fit("decisions for a usage report, by workers known", "µs", points)


def retained_jobs() -> Slope:
    """Return the memory of settled jobs of 20 tasks, by jobs retained."""
    points = []
    for jobs in (250, 500, 1000, 2000):
        tracemalloc.start()
        dispatcher = _dispatcher(16)
        before = tracemalloc.get_traced_memory()[0]
        _play_jobs(dispatcher, jobs, 20)
        points.append((jobs, (tracemalloc.get_traced_memory()[0] - before) / 1e6))
        tracemalloc.stop()
    return fit("memory of settled jobs of 20 tasks, by jobs retained", "MB", points)


def teams() -> Slope:
    """Return the processor time of one hand-out, by teams that wait."""
    points = []
    for count in (25, 50, 100, 200):
        queue: FairQueue[int] = FairQueue(is_live=lambda entry: True)
        for team in range(count):
            for entry in range(20):
                queue.push(f"team-{team}", False, entry)

        def hand_out(queue: FairQueue[int] = queue) -> None:
            for _ in range(300):
                team, urgent, entry = queue.peek()
                queue.charge(team, urgent, 1.0)
                queue.pop(team, urgent)
                queue.push(team, urgent, entry)

        points.append((count, _best(hand_out) / 300 * MICROSECONDS))
    return fit("hand-out to a team, by teams waiting", "µs", points)


def demand_bytes() -> Slope:
    """Return the size of a message with all teams' demands, by teams."""
    points = []
    for count in (25, 50, 100, 200):
        demands = {f"team-{number:03}": 1000 * number for number in range(count)}
        points.append((count, len(encode_message(Demands("zone:a", demands, True)).body)))
    return fit("message with all demands, by teams", "bytes", points)


def resources() -> Slope:
    """Return the processor time of one change in force, by resources declared."""
    points = []
    for count in (50, 100, 200, 400):
        state = ConfigState()
        spec = {"quota_millicores": 1000}
        texts = []
        for number in range(count):
            resource = Resource(ResourceKind.CALLER_POLICY, f"team-{number}", spec, 1)
            texts.append(encode_json(resource))
            state.apply(Change(number + 1, f"config/caller-policy/team-{number}", resource))

        def change(state: ConfigState = state, texts: list[bytes] = texts) -> None:
            for _ in range(20):
                resource = decode_json(texts[0], Resource)
                state.apply(Change(state.revision + 1, "config/caller-policy/team-0", resource))
                for held in state.resources.values():
                    check_resource(held.kind, held.name, held.spec)

        points.append((count, _best(change) / 20 * MICROSECONDS))
    return fit("one change put in force, by resources", "µs", points)


def overloaded_results() -> Slope:
    """Return the processor time of one result while all teams wait, by teams."""
    points = []
    for count in (25, 50, 100, 200):
        dispatcher = _dispatcher(16)
        running: list[tuple[str, str, int]] = []
        for number in range(count * 12):
            id = SubmissionId(OWNER, number)
            request = JobRequest((TASK,) * 5, team=f"team-{number % count}")
            running += _started(dispatcher.handle(Submit(id, "c", request), 0.0))

        def finish(dispatcher: Dispatcher = dispatcher, running: list = running) -> None:
            for _ in range(40):
                worker, job, index = running.pop(0)
                result = TasksFinished(worker, ((job, TaskResult(index, True, "", 100)),))
                running.extend(_started(dispatcher.handle(result, 0.1)))

        points.append((count, _best(finish) / 40 * MICROSECONDS))
    return fit("one result under overload, by teams waiting", "µs", points)


def _started(effects: list) -> list[tuple[str, str, int]]:
    return [
        (effect.worker, effect.batch.job, task.index)
        for effect in effects
        if isinstance(effect, StartTasks)
        for task in effect.batch.tasks
    ]


def core_slopes() -> list[Slope]:
    """Measure all slopes of the decisions."""
    return [
        workers_known(),
        usage_reports(),
        retained_jobs(),
        teams(),
        overloaded_results(),
        demand_bytes(),
        resources(),
    ]
