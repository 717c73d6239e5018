import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

from cranberryshore.dispatch import (
    Assigned,
    Dispatcher,
    DispatchSettings,
    Submit,
    WorkerAdded,
    WorkerLost,
    WorkerOpened,
)
from cranberryshore.errors import ExecutionStatus
from cranberryshore.identity import Incarnation, SubmissionId
from cranberryshore.messages import Start
from cranberryshore.placement import Assignment
from cranberryshore.timeline import EventKind
from cranberryshore.work import Capacity, JobRequest, TaskSpec
from cranberryshored.jobs import JobService
from cranberryshored.metrics import Metrics

OWNER = Incarnation("a", "e1", "0" * 16)
ID = SubmissionId(OWNER, 0)


class Links:
    """Sessions, some of which are not open."""

    def __init__(self, *names: str) -> None:
        self.links = {name: Mock() for name in names}

    def open_link(self, worker):
        return self.links.get(worker.name)

    def started(self, name: str) -> list[int]:
        """Return the indexes of the tasks that were sent to a worker."""
        frames = [call.args[0] for call in self.links[name].send.call_args_list]
        starts = [frame for frame in frames if isinstance(frame, Start)]
        return [task.index for start in starts for batch in start.batches for task in batch.tasks]


class UnsentStartTest(IsolatedAsyncioTestCase):
    """Tasks that are placed on a worker whose session has broken off."""

    def setUp(self):
        dispatcher = Dispatcher(DispatchSettings(queued_tasks=100), str(OWNER))
        self.recorder = Mock()
        self.service = JobService(
            dispatcher, Mock(), self.recorder, Metrics(), Mock(), 0.01, Mock(), closures=Mock()
        )
        self.service.links = self.links = Links("w2")

    def open_workers(self, *names: str) -> None:
        for name in names:
            self.service.handle(WorkerAdded(name, "run-1", Capacity(2000, 8000, 0)))
            self.service.handle(WorkerOpened(name, "run-1", ()))
        self.service.handle(Assigned(Assignment("me", dict.fromkeys(names, "me"))))

    def submit(self, count: int) -> None:
        tasks = tuple(TaskSpec(Capacity(1000, 100, 0), 100) for _ in range(count))
        self.service.handle(Submit(ID, "desk", JobRequest(tasks)))

    @property
    def job(self):
        return self.service.dispatcher.jobs[str(ID)]

    async def test_tasks_that_were_never_sent_are_lost_with_their_worker(self):
        self.open_workers("w1", "w2")
        self.submit(2)
        self.assertEqual(sorted(self.links.started("w2")), [0, 1])
        self.service.handle(WorkerLost("w1", "run-1"))
        self.assertFalse(self.job.is_settled)

    async def test_tasks_that_were_never_sent_count_as_started(self):
        self.open_workers("w1")
        self.submit(1)
        kinds = [call.args[1] for call in self.recorder.record.call_args_list]
        self.assertNotIn(EventKind.TASKS_STARTED, kinds)
        self.assertFalse(self.job.has_started)
        self.service.handle(WorkerLost("w1", "run-1"))
        self.assertFalse(self.job.is_settled)

    async def test_tasks_that_were_sent_are_lost_with_their_worker(self):
        self.open_workers("w2")
        self.submit(1)
        self.service.handle(WorkerLost("w2", "run-1"))
        self.assertIs(self.job.failure.claim, ExecutionStatus.MAY_HAVE_RUN)

    async def test_worker_without_a_session_is_tried_without_end(self):
        self.open_workers("w1")
        self.submit(4)
        await asyncio.sleep(0)
        self.assertLessEqual(self.service.dispatcher.rejected_starts, 2)
        self.assertEqual(len(self.job.waiting), 4)
