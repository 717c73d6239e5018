import asyncio
import logging
from unittest import TestCase

import attrs
import structlog
from result import Result

from cranberryshore.errors import ErrorType, ExecutionStatus, Refusal
from cranberryshore.identity import SubmissionId
from cranberryshore.messages import JobAnswer
from cranberryshore.timeline import EventKind
from cranberryshore.work import Capacity, JobRequest, JobState, TaskSpec
from cranberryshore_proof.deployment import DeploymentShape, EntryNode, SimulatedDeployment
from cranberryshore_proof.fake_platform import INSTANCE_LIST
from cranberryshore_proof.virtual_loop import run_virtual

SHAPE = DeploymentShape(zones=("zone-a",), entries=2, workers=2)
REQUEST = JobRequest(tuple(TaskSpec(Capacity(1000, 100, 0), 50) for _ in range(2)))
CALLER = "desk"
WAIT_MS = 1000
RETRY_SECONDS = 0.2


def claim_of(result: Result[JobAnswer, Refusal]) -> ExecutionStatus | None:
    """Return what an answer says about the job; ``None`` if the job has not failed."""
    if result.is_err():
        return result.err_value.claim
    failure = result.ok_value.failure
    return None if failure is None else failure.claim


@attrs.define(eq=False)
class ClosedIssuer:
    """An issuer that is cut off from its peer or frozen while the peer closes its ownership."""

    deployment: SimulatedDeployment = attrs.field(factory=lambda: SimulatedDeployment(1, SHAPE))

    @property
    def issuer(self) -> EntryNode:
        return self.deployment.entries[0]

    @property
    def peer(self) -> EntryNode:
        return self.deployment.entries[1]

    async def start(self) -> SubmissionId:
        """Start the deployment; return an id of the issuer."""
        await self.deployment.start()
        await asyncio.sleep(5.0)
        now = asyncio.get_running_loop().time()
        return self.issuer.daemon.ownership.ledger.issue(CALLER, 1, now)[0]

    async def report_as_not_run(self, id: SubmissionId) -> None:
        """Submit at the peer until it reports that the job has not run."""
        while True:
            result = await self.submit(self.peer, id)
            if claim_of(result) is ExecutionStatus.NOT_RUN:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def submit(
        self,
        entry: EntryNode,
        id: SubmissionId,
        wait_ms: int = WAIT_MS,
        request: JobRequest = REQUEST,
    ) -> Result[JobAnswer, Refusal]:
        """Submit the job and wait for its outcome, as the HTTP route does."""
        router = entry.daemon.router

        async def run() -> Result[JobAnswer, Refusal]:
            answer = await router.submit(id, CALLER, request)
            if answer.is_err() or answer.ok_value.state is JobState.FAILED:
                return answer
            return await router.query(id, CALLER, wait_ms)

        return await self.deployment.network.spawn(entry.name, run())

    async def heal_worker(self, name: str, seconds: float) -> None:
        """Restore the issuer's link to a worker after a time."""
        await asyncio.sleep(seconds)
        self.deployment.network.heal(self.issuer.name, name)

    def sent_starts(self, id: SubmissionId) -> int:
        """Return how often the issuer has sent tasks of a job to a worker."""
        events = self.issuer.daemon.recorder.events_for(str(id))
        return sum(event.kind is EventKind.TASKS_STARTED for event in events)

    def task_starts(self) -> int:
        """Return the number of tasks that workers have started."""
        models = [model for worker in self.deployment.workers.values() for model in worker.models]
        return sum(len(model.starts) for model in models)


class ClosedIssuerTest(TestCase):
    def setUp(self):
        quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
        structlog.configure(wrapper_class=quiet)

    def test_reports_are_requested_again_in_new_sessions(self):
        # Regression: an issuer learned from a rejected start that it was closed, and lost the
        # requests for reports with its old sessions, so its caller was told *may have run*.
        async def run() -> tuple[ExecutionStatus | None, float, int]:
            play = ClosedIssuer()
            id = await play.start()
            play.deployment.network.cut(play.issuer.name, play.peer.name)
            await play.report_as_not_run(id)
            started_at = asyncio.get_running_loop().time()
            result = await play.submit(play.issuer, id)
            seconds = asyncio.get_running_loop().time() - started_at
            return claim_of(result), seconds, play.task_starts()

        claim, seconds, task_starts = run_virtual(run())
        self.assertIs(claim, ExecutionStatus.NOT_RUN)
        self.assertLess(seconds, 0.1)
        self.assertEqual(task_starts, 0)

    def test_outcome_from_workers_is_awaited_as_long_as_the_caller_waits(self):
        # Regression: a caller that waited for 1 s was told *may have run* 0.3 s after its job had
        # been left to the workers' reports, although the last report came within its time.
        async def run(worker_number: int) -> tuple[ExecutionStatus | None, int]:
            play = ClosedIssuer()
            id = await play.start()
            network = play.deployment.network
            network.cut(play.issuer.name, play.peer.name)
            await play.report_as_not_run(id)
            worker = list(play.deployment.workers)[worker_number]
            network.cut(play.issuer.name, worker)
            healing = asyncio.create_task(play.heal_worker(worker, 0.5))
            result = await play.submit(play.issuer, id)
            await healing
            return claim_of(result), play.task_starts()

        for worker_number in range(SHAPE.workers):
            with self.subTest(worker_number=worker_number):
                self.assertEqual(run_virtual(run(worker_number)), (ExecutionStatus.NOT_RUN, 0))

    def test_resumed_issuer_sends_no_starts_before_it_has_confirmed_its_ownership(self):
        # Regression: an issuer that was resumed after a peer had closed it sent a start before it
        # learned of that, and answered from the workers' reports.
        async def run(delay: float) -> tuple[ExecutionStatus | None, int]:
            play = ClosedIssuer()
            id = await play.start()
            play.deployment.network.freeze(play.issuer.name)
            await play.report_as_not_run(id)
            play.deployment.network.unfreeze(play.issuer.name)
            if delay:
                await asyncio.sleep(delay)
            result = await play.submit(play.issuer, id)
            return claim_of(result), play.sent_starts(id)

        for delay in (0.0, 0.0003, 0.001, 0.003, 0.01, 0.1):
            with self.subTest(delay=delay):
                self.assertEqual(run_virtual(run(delay)), (ExecutionStatus.NOT_RUN, 0))

    def test_paused_issuer_that_was_not_closed_starts_its_jobs(self):
        async def run(is_store_down: bool) -> tuple[JobState, int]:
            play = ClosedIssuer()
            id = await play.start()
            play.deployment.network.freeze(play.issuer.name)
            await asyncio.sleep(2.0)
            play.deployment.store.is_down = is_store_down
            play.deployment.network.unfreeze(play.issuer.name)
            result = await play.submit(play.issuer, id, wait_ms=2000)
            return result.unwrap().state, play.task_starts()

        for is_store_down in (False, True):
            with self.subTest(is_store_down=is_store_down):
                state, task_starts = run_virtual(run(is_store_down))
                self.assertIs(state, JobState.COMPLETE)
                self.assertEqual(task_starts, len(REQUEST.tasks))

    def test_paused_issuer_keeps_its_workers(self):
        # Regression: an instance counted its own pause as silence of its workers, and failed the
        # jobs that ran on them as lost.
        async def run() -> JobAnswer:
            play = ClosedIssuer()
            id = await play.start()
            request = JobRequest((TaskSpec(Capacity(1000, 100, 0), 6000),))
            answer = asyncio.create_task(play.submit(play.issuer, id, 9000, request))
            await asyncio.sleep(1.0)
            play.deployment.network.freeze(play.issuer.name)
            await asyncio.sleep(4.0)
            # The first tick comes before the messages of the workers are read.
            network = play.deployment.network
            for worker in play.deployment.workers:
                network.cut(play.issuer.name, worker)
            network.unfreeze(play.issuer.name)
            await asyncio.sleep(0.1)
            for worker in play.deployment.workers:
                network.heal(play.issuer.name, worker)
            return (await answer).unwrap()

        answer = run_virtual(run())
        self.assertIs(answer.state, JobState.COMPLETE, answer.failure)

    def test_job_whose_records_were_evicted_is_not_reported_as_not_run(self):
        # Regression: workers evict the records of ended tasks after a while, and a peer reported
        # a job that had run as not run when its issuer had died after that.
        async def run() -> tuple[ExecutionStatus | None, ExecutionStatus | None]:
            play = ClosedIssuer()
            id = await play.start()
            (await play.submit(play.issuer, id)).unwrap()
            now = asyncio.get_running_loop().time()
            newer = play.issuer.daemon.ownership.ledger.issue(CALLER, 1, now)[0]
            play.issuer.kill()
            await asyncio.sleep(4.0)
            for worker in play.deployment.workers.values():
                worker.model.evict_ended_tasks(asyncio.get_running_loop().time())
            answers = [await play.submit(play.peer, one) for one in (id, newer)]
            return claim_of(answers[0]), claim_of(answers[1])

        claims = run_virtual(run())
        self.assertEqual(claims, (ExecutionStatus.MAY_HAVE_RUN, ExecutionStatus.NOT_RUN))

    def test_task_whose_result_was_not_received_is_not_started_again(self):
        # Regression: a worker evicted the record of an ended task before its result had arrived,
        # and the issuer started the task again in the next session.
        async def run() -> tuple[JobState, int]:
            play = ClosedIssuer()
            id = await play.start()
            network, workers = play.deployment.network, play.deployment.workers
            answer = asyncio.create_task(play.submit(play.issuer, id, 3000))
            await asyncio.sleep(0.02)
            for worker in workers.values():
                network.cut(play.issuer.name, worker.name)
            await asyncio.sleep(0.5)
            for worker in workers.values():
                worker.model.evict_ended_tasks(asyncio.get_running_loop().time())
                for socket in worker.sockets.values():
                    socket.disconnect()
                network.heal(play.issuer.name, worker.name)
            state = (await answer).unwrap().state
            await asyncio.sleep(0.5)
            return state, play.task_starts()

        self.assertEqual(run_virtual(run()), (JobState.COMPLETE, len(REQUEST.tasks)))

    def test_replaced_worker_receives_no_tasks_of_ids_that_its_record_excludes(self):
        # Regression: an issuer went on using a worker whose replacement was listed, while a write
        # without a reply had already recorded that it does not, and a peer reported *not run*.
        async def run() -> tuple[ExecutionStatus | None, int]:
            play = ClosedIssuer(SimulatedDeployment(1, attrs.evolve(SHAPE, workers=1)))
            deployment = play.deployment
            await play.start()
            (worker,) = deployment.workers.values()
            deployment.store.replies_to_lose = 2
            deployment.instances[worker.name] = attrs.evolve(
                deployment.instances[worker.name], incarnation="run-2"
            )
            now = asyncio.get_running_loop().time()
            deployment.instance_list.publish(now, deployment.instances)
            while deployment.store.replies_to_lose:
                await asyncio.sleep(0.001)
            deployment.store.is_down = True
            now = asyncio.get_running_loop().time()
            id = play.issuer.daemon.ownership.ledger.issue(CALLER, 1, now)[0]
            await play.submit(play.issuer, id)
            task_starts = play.task_starts()
            play.issuer.kill()
            worker.kill()
            worker.launch()
            deployment.store.is_down = False
            await asyncio.sleep(6.0)
            return claim_of(await play.submit(play.peer, id)), task_starts

        self.assertEqual(run_virtual(run()), (ExecutionStatus.NOT_RUN, 0))

    def test_worker_missing_from_an_outdated_list_is_not_counted_as_lost(self):
        # Regression: a peer that could not read the instance list counted a worker that it did not
        # know yet as lost, and answered *may have run* for good.
        async def run() -> tuple[ErrorType, ExecutionStatus | None]:
            play = ClosedIssuer(SimulatedDeployment(1, attrs.evolve(SHAPE, workers=1)))
            deployment = play.deployment
            await play.start()
            (worker,) = deployment.workers.values()
            deployment.network.cut(play.peer.name, INSTANCE_LIST)
            worker.kill()
            worker.launch()
            deployment.publish_worker(worker)
            await asyncio.sleep(4.0)
            now = asyncio.get_running_loop().time()
            id = play.issuer.daemon.ownership.ledger.issue(CALLER, 1, now)[0]
            play.issuer.kill()
            await asyncio.sleep(4.0)
            refused = await play.submit(play.peer, id)
            deployment.network.heal(play.peer.name, INSTANCE_LIST)
            await asyncio.sleep(4.0)
            answered = await play.submit(play.peer, id)
            return refused.unwrap_err().type, claim_of(answered)

        result = run_virtual(run())
        self.assertEqual(result, (ErrorType.TRUTH_PENDING, ExecutionStatus.NOT_RUN))
