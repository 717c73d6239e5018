from collections import Counter
from unittest import TestCase

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from cranberryshore.dispatch import (
    Assigned,
    Cancel,
    Dispatcher,
    DispatchSettings,
    JobSettled,
    LoanGranted,
    LoansRecalled,
    LoanWanted,
    OwnershipConfirmed,
    OwnershipDoubted,
    StartTasks,
    Submit,
    TasksFinished,
    TasksRejected,
    Tick,
    WorkerAdded,
    WorkerLost,
    WorkerOpened,
)
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.placement import Assignment, Grant
from cranberryshore.work import Capacity, JobRequest, TaskResult, TaskSpec

OWNER = Incarnation("a", "e1", "0" * 16)
TOTAL = Capacity(4000, 8000, 0)
WORKERS = ("w1", "w2", "w3")


class DispatcherMachine(RuleBasedStateMachine):
    """Drives a dispatcher with random events from workers, callers and peers."""

    def __init__(self):
        super().__init__()
        self.dispatcher = Dispatcher(DispatchSettings(queued_tasks=200), str(OWNER))
        self.now = 0.0
        self.sequence = 0
        self.running: dict[str, set[tuple[str, int]]] = {name: set() for name in WORKERS}
        self.starts: Counter = Counter()
        self.settled: Counter = Counter()
        self.runs = dict.fromkeys(WORKERS, 1)
        for name in WORKERS:
            self.handle(WorkerAdded(name, "run-1", TOTAL))
            self.handle(WorkerOpened(name, "run-1", ()))
        self.handle(Assigned(Assignment("me", {"w1": "me", "w2": "me"})))

    def handle(self, input):
        self.now += 0.01
        for effect in self.dispatcher.handle(input, self.now):
            if isinstance(effect, StartTasks):
                assert self.dispatcher.doubted_at is None
                for task in effect.batch.tasks:
                    key = (effect.batch.job, task.index)
                    self.starts[key] += 1
                    self.running[effect.worker].add(key)
            elif isinstance(effect, JobSettled):
                self.settled[str(effect.id)] += 1

    @rule(count=st.integers(1, 12), size=st.sampled_from((500, 1000, 4000)), urgent=st.booleans())
    def submit(self, count, size, urgent):
        tasks = tuple(TaskSpec(Capacity(size, 100, 0), 100) for _ in range(count))
        id = SubmissionId(OWNER, self.sequence)
        self.sequence += 1
        self.handle(Submit(id, "desk", JobRequest(tasks, urgent=urgent)))

    @rule(worker=st.sampled_from(WORKERS), is_ok=st.booleans(), data=st.data())
    def finish(self, worker, is_ok, data):
        if self.running[worker]:
            key = data.draw(st.sampled_from(sorted(self.running[worker])))
            self.running[worker].discard(key)
            result = TaskResult(key[1], is_ok, "out", 90)
            self.handle(TasksFinished(worker, ((key[0], result),)))

    @rule(worker=st.sampled_from(WORKERS))
    def reject(self, worker):
        keys = tuple(sorted(self.running[worker]))
        if keys:
            self.running[worker].clear()
            for key in keys:
                self.starts[key] -= 1
            self.handle(TasksRejected(worker, keys))

    @rule(worker=st.sampled_from(WORKERS))
    def replace_worker(self, worker):
        self.handle(WorkerLost(worker, f"run-{self.runs[worker]}"))
        self.runs[worker] += 1
        self.running[worker].clear()
        self.handle(WorkerAdded(worker, f"run-{self.runs[worker]}", TOTAL))
        self.handle(WorkerOpened(worker, f"run-{self.runs[worker]}", ()))

    @rule(data=st.data())
    def cancel(self, data):
        if self.sequence:
            number = data.draw(st.integers(0, self.sequence - 1))
            self.handle(Cancel(SubmissionId(OWNER, number)))

    @rule()
    def pause(self):
        self.handle(OwnershipDoubted())

    @rule(age=st.sampled_from((0.0, 0.5)))
    def confirm(self, age):
        self.handle(OwnershipConfirmed(str(OWNER), self.now - age))

    @rule(names=st.sets(st.sampled_from(WORKERS)))
    def assign(self, names):
        self.handle(Assigned(Assignment("me", dict.fromkeys(names, "me"))))

    @rule(count=st.integers(0, 6))
    def want(self, count):
        self.handle(LoanWanted("peer", Capacity(1000, 100, 0), count))

    @rule(worker=st.sampled_from(WORKERS), count=st.integers(1, 3))
    def borrow(self, worker, count):
        self.handle(LoanGranted("peer", (Grant(worker, Capacity(1000, 100, 0) * count),)))

    @rule()
    def recall_and_tick(self):
        self.now += 0.3
        self.handle(LoansRecalled("peer", frozenset(WORKERS)))
        self.handle(Tick())

    @invariant()
    def no_task_is_started_twice(self):
        assert all(count <= 1 for count in self.starts.values())

    @invariant()
    def no_job_settles_twice(self):
        assert all(count <= 1 for count in self.settled.values())

    @invariant()
    def settled_jobs_have_all_outputs_or_none(self):
        for job in self.dispatcher.jobs.values():
            if job.is_complete:
                assert len(job.outputs) == len(job.states) and None not in job.outputs
            if job.is_settled and not job.is_complete:
                assert not job.outputs

    @invariant()
    def waiting_count_matches_the_jobs(self):
        waiting = sum(len(job.waiting) for job in self.dispatcher.jobs.values())
        assert waiting == self.dispatcher.placer.waiting_tasks

    @invariant()
    def used_capacity_matches_the_started_tasks(self):
        for name, member in self.dispatcher.workers.pool.members.items():
            held = sum(
                job.request.tasks[index].demand.millicores
                for job in self.dispatcher.jobs.values()
                for index, worker in job.workers.items()
                if worker == name
            )
            assert member.used.millicores == held, (name, member.used, held)


class DispatcherStatefulTest(TestCase):
    def test_random_event_sequences(self):
        run_state_machine_as_test(
            DispatcherMachine,
            settings=settings(
                max_examples=60,
                stateful_step_count=40,
                derandomize=True,
                deadline=None,
                suppress_health_check=list(HealthCheck),
            ),
        )
