import asyncio
import logging
from unittest import IsolatedAsyncioTestCase

import structlog

from cranberryshore.pool import JobEnded, Outcome, QueueSpec, StepSpec, WorkRequest
from cranberryshore.work import Capacity
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool.clock import CLOCKS, Clocks
from cranberryshored.pool.entry_service import EntryService

QUEUE = QueueSpec("q", "h", "/q/", "s", slack_factor=2.0, aim_ms=5000)


class RecordingClient:
    """Client of one scheduler after the other; records the submissions."""

    def __init__(self):
        self.current, self.changes, self.released = "first", 1, set()
        self.claim = 1
        self.submitted, self.cancelled = [], []

    def scheduler(self):
        return self.current

    def claim_term(self):
        return self.claim

    def claim_zone(self):
        return ""

    def epoch(self):
        return self.changes

    def has_released(self, scheduler):
        return scheduler in self.released

    def rosters_since(self, moment):
        return (1, 2)

    def submit(self, request):
        self.submitted.append((self.current, request.is_resumed, request.rosters))

    def cancel(self, job):
        self.cancelled.append(job)

    def change(self, scheduler):
        self.current = scheduler
        self.changes += 1


class HandOverTest(IsolatedAsyncioTestCase):
    async def asyncSetUp(self):  # noqa: N802
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        self.client = RecordingClient()
        self.service = EntryService(self.client, Metrics(), make_logger("entry"))
        request = WorkRequest("j", "q", "", (StepSpec(1, Capacity(1000, 10), 100),), 5000)
        self.caller = asyncio.ensure_future(self.service.submit(request, QUEUE))
        await asyncio.sleep(0)
        self.client.submitted.clear()

    async def asyncTearDown(self):  # noqa: N802
        self.caller.cancel()
        await asyncio.gather(self.caller, return_exceptions=True)

    async def test_job_waits_until_its_former_scheduler_has_released_it(self):
        # Regression: a job was handed over while its former scheduler could still start it.
        self.client.change("second")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [])
        self.client.released.add("first")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [("second", True, (1, 2))])

    async def test_waiting_job_is_submitted_without_a_further_event(self):
        await self.service.start()
        self.client.change("second")
        self.service.scheduler_changed()
        self.client.released.add("first")
        await asyncio.sleep(0.2)
        self.assertEqual(len(self.client.submitted), 1)
        await self.service.close()

    async def test_stall_does_not_hand_over_a_job_early(self):
        self.client.change("second")
        self.service.resubmit_all()
        self.assertEqual(self.client.submitted, [])

    async def test_stalled_instance_submits_again_to_the_same_scheduler(self):
        self.service.resubmit_all()
        self.assertEqual(self.client.submitted, [("first", False, (1, 2))])

    async def test_scheduler_that_schedules_again_gets_the_job_again(self):
        # Regression: an entry instance that had left a scheduler and followed it again did not
        # submit its jobs again, which the scheduler had dropped.
        self.client.change("")
        self.service.scheduler_changed()
        self.client.change("first")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [("first", False, (1, 2))])

    async def test_job_is_resumed_under_another_claim_of_its_scheduler(self):
        # A scheduler that ends its claim forgets which tasks it has started.
        self.client.change("")
        self.client.claim = 2
        self.client.change("first")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [("first", True, (1, 2))])

    async def test_job_dropped_by_its_scheduler_is_submitted_again(self):
        # Regression: a job that its scheduler had rejected as delayed in transit, without having
        # started it, had to wait until all workers were verified.
        self.service.job_ended(JobEnded("", "j", Outcome.DROPPED), "first")
        self.assertEqual(self.client.submitted, [("first", False, (1, 2))])

    async def test_job_dropped_by_a_former_scheduler_waits_until_it_has_released_it(self):
        # The scheduler dropped the job of an earlier epoch, and then received it again.
        self.client.change("")
        self.service.scheduler_changed()
        self.client.change("first")
        self.service.scheduler_changed()
        self.client.change("second")
        self.service.scheduler_changed()
        self.client.submitted.clear()
        self.service.job_ended(JobEnded("", "j", Outcome.DROPPED), "first")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [])
        self.client.released.add("first")
        self.service.scheduler_changed()
        self.assertEqual(self.client.submitted, [("second", True, (1, 2))])

    async def test_refusal_of_a_job_that_was_dropped_does_not_say_that_it_has_not_run(self):
        # Regression (soak test_seeds): a job that its scheduler had started and dropped was refused
        # as not run after it had been submitted again within the claim.
        self.service.job_ended(JobEnded("", "j", Outcome.DROPPED), "first")
        self.service.job_ended(JobEnded("", "j", Outcome.REFUSED), "first")
        self.assertIs((await self.caller).outcome, Outcome.GIVEN_UP)

    async def test_caller_waits_for_a_cancelled_job(self):
        # Review case 2: the caller of a cancelled job got its result as if nothing had happened.
        self.service.cancel("other")
        self.assertEqual(self.client.cancelled, [])
        self.service.cancel("j")
        self.assertIs((await asyncio.wait_for(self.caller, 1.0)).outcome, Outcome.CANCELLED)
        self.assertEqual((self.client.cancelled, self.service.pending), (["j"], {}))

    async def test_cancel_by_the_scheduler_is_answered_as_given_up(self):
        self.service.job_ended(JobEnded("", "j", Outcome.CANCELLED), "first")
        self.assertIs((await self.caller).outcome, Outcome.CANCELLED)

    async def test_cancelled_job_that_arrives_again_is_run(self):
        # DELETE has overtaken POST, or the answer to POST was lost.
        self.service.cancelled.renew("k", 0.0)
        request = WorkRequest("k", "q", "", (StepSpec(1, Capacity(1000, 10), 100),), 5000)
        end = await asyncio.wait_for(self.service.submit(request, QUEUE), 1.0)
        self.assertEqual((end.outcome, self.client.submitted), (Outcome.CANCELLED, []))

    async def test_cancelled_job_is_answered_as_not_run_by_an_instance_that_leaves(self):
        self.service.cancelled.renew("k", 0.0)
        self.service.give_up_all("This instance leaves.")
        request = WorkRequest("k", "q", "", (StepSpec(1, Capacity(1000, 10), 100),), 5000)
        self.assertIs((await self.service.submit(request, QUEUE)).outcome, Outcome.CANCELLED)


class UnexpectedErrorTest(IsolatedAsyncioTestCase):
    async def test_error_in_one_job_ends_the_checks_of_all(self):
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
        CLOCKS.steady, CLOCKS.unix = Clocks().steady, Clocks().unix
        client = RecordingClient()
        cancelled = []

        def cancel(job):
            cancelled.append(job)
            if len(cancelled) == 1:
                raise KeyError(job)

        client.cancel = cancel
        service = EntryService(client, Metrics(), make_logger("entry"))
        await service.start()
        self.addAsyncCleanup(service.close)
        step = StepSpec(1, Capacity(1000, 10), 100)
        requests = [WorkRequest(name, "q", "", (step,), 50) for name in ("one", "two")]
        ends = await asyncio.wait_for(
            asyncio.gather(*(service.submit(request, QUEUE) for request in requests)), 3
        )
        self.assertEqual([end.outcome for end in ends], [Outcome.GIVEN_UP] * 2)
