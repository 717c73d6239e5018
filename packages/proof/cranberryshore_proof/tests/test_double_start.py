import asyncio
import logging
from collections.abc import Callable
from unittest import TestCase, mock

import attrs
import structlog

from cranberryshore.messages import Beat, SubmitWork
from cranberryshore.pool import (
    Claim,
    EndKind,
    Group,
    HeldWorker,
    HoldState,
    MemberAddress,
    Outcome,
    PoolConfig,
    QueueSpec,
    ReportedEnd,
    ReportedRun,
    Scheduler,
    StartRun,
    StepSpec,
    WorkerStatus,
    WorkRequest,
)
from cranberryshore.pool.stream import StreamPosition
from cranberryshore.pool.tests.unlimited_rights import UnlimitedRights
from cranberryshore.work import Capacity
from cranberryshore_proof.pool_deployment import RETRY_DELAY_SECONDS, PoolDeployment
from cranberryshore_proof.pool_transport import FakePoolTransport
from cranberryshore_proof.pool_workers import FakeWorkerCalls, ModelWorker
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.log import make_logger
from cranberryshored.metrics import Metrics
from cranberryshored.pool import PollRequest, StartReply
from cranberryshored.pool.clock import CLOCKS, Clocks, TokenSource
from cranberryshored.pool.exchange import BEAT_SECONDS, PeerExchange
from cranberryshored.pool.protocols import ExchangeListener

BUDGET_MS = 20_000
SLOW_CLOCK_RATE = 0.98

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=quiet)


@attrs.define(eq=False)
class DelayingTransport:
    """Transport that delays or drops messages, in order as in a TCP connection.

    Parameters
    ----------
    delay : callable
        Returns the delay in seconds of a message to an address; ``None`` if it is lost.
    """

    transport: FakePoolTransport
    delay: Callable[[str], float | None]
    last_at: dict[str, float] = attrs.field(factory=dict)

    def send(self, address: str, target: str, message) -> None:
        seconds = self.delay(address)
        if seconds is None:
            return
        loop = asyncio.get_running_loop()
        # An event loop runs timers of equal times in any order.
        at = max(loop.time() + seconds, self.last_at.get(address, 0.0) + 1e-6)
        self.last_at[address] = at
        loop.call_at(at, self.transport.send, address, target, message)

    def disconnect(self, address: str) -> None:
        self.transport.disconnect(address)


@attrs.define(eq=False)
class Impairment:
    """One-way impairments of the links between a scheduler and its peers.

    Parameters
    ----------
    mute_from : float
        Time from which no message of the scheduler reaches a peer.
    inbound_seconds : callable
        Returns the delay of a message to the scheduler that is sent at the given time.
    """

    deployment: PoolDeployment
    scheduler: int
    inbound_seconds: Callable[[float], float] = lambda now: 0.0
    mute_from: float = float("inf")

    def install(self) -> None:
        for number in range(len(self.deployment.zones)):
            exchange = self.deployment.daemons[self.deployment.address(number)].exchange
            exchange.transport = DelayingTransport(exchange.transport, self._rule(number))

    def _rule(self, number: int) -> Callable[[str], float | None]:
        def delay(address: str) -> float | None:
            now = self.deployment.now()
            if number == self.scheduler:
                return None if now >= self.mute_from else 0.0
            if address == self.deployment.address(self.scheduler):
                return self.inbound_seconds(now)
            return 0.0

        return delay


class DoubleStartTest(TestCase):
    def simulate(self, scenario, worker_count: int) -> PoolDeployment:
        async def run() -> PoolDeployment:
            deployment = PoolDeployment(7, worker_count=worker_count)
            await deployment.start()
            await scenario(deployment)
            return deployment

        return run_virtual(run())

    def submit(
        self,
        deployment: PoolDeployment,
        number: int,
        job: str,
        millicores: int,
        seconds: float,
        steps: int = 1,
    ) -> asyncio.Task:
        """Submit a job of successive steps of one task through an instance, with ample time."""
        deployment.demands[job], deployment.seconds[job] = millicores, seconds
        first = StepSpec(1, Capacity(millicores), int(seconds * 1000))
        later = [attrs.evolve(first, after=(number - 1,)) for number in range(1, steps)]
        request = WorkRequest(job, "q", "", (first, *later), BUDGET_MS)
        address = deployment.address(number)
        daemon = deployment.daemons[address]
        queue = daemon.pool_config.get_queue("q")
        return deployment.network.spawn(address, daemon.entry_service.submit(request, queue))

    def cut_busy_worker(self, deployment: PoolDeployment, scheduler: int) -> None:
        """Cut the worker that runs the job off from all instances but the scheduler."""
        (worker,) = (model for model in deployment.workers.values() if model.runs)
        for number in range(len(deployment.zones)):
            if number != scheduler:
                deployment.network.cut(deployment.address(number), worker.name)

    async def sleep_until(self, deployment: PoolDeployment, at: float) -> None:
        await asyncio.sleep(max(at - deployment.now(), 0.0))

    async def other_claim(self, deployment: PoolDeployment, scheduler: int) -> float:
        """Wait until another instance claims the workers and return the time."""
        while True:
            for address, daemon in deployment.daemons.items():
                if address != deployment.address(scheduler) and daemon.group.claim is not None:
                    return deployment.now()
            await asyncio.sleep(0.001)


class TwoHoldersTest(DoubleStartTest):
    """The scheduler is alive but its messages no longer reach its peers, one of which replaces it.

    Messages to it take some time, so it learns late that its entry instances have left it.
    """

    entry = 2

    def replace_scheduler(
        self, scenario, worker_millicores: tuple[int, ...], slow_seconds: float
    ) -> PoolDeployment:
        """Simulate twice: the first run tells when the scheduler is replaced.

        Messages to the scheduler take 0.25 s, and ``slow_seconds`` once it is no longer heard.
        """
        replaced_at: list[float] = []

        async def run(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            impairment = Impairment(deployment, scheduler)
            impairment.inbound_seconds = lambda now: (
                slow_seconds if now >= impairment.mute_from else 0.25
            )
            impairment.install()
            models = deployment.workers.values()
            for worker, millicores in zip(models, worker_millicores, strict=True):
                worker.millicores = millicores
            await asyncio.sleep(0.9)
            impairment.mute_from = deployment.now() + 0.6
            if not replaced_at:
                replaced_at.append(await self.other_claim(deployment, scheduler))
            else:
                await scenario(deployment, scheduler, replaced_at[0])

        self.simulate(run, len(worker_millicores))
        return self.simulate(run, len(worker_millicores))

    async def lose_start(
        self, deployment: PoolDeployment, scheduler: int, at: float, millicores: int
    ) -> asyncio.Task:
        """Submit a job of the scheduler's own caller whose start request is lost."""
        await self.sleep_until(deployment, at)
        calls = deployment.daemons[deployment.address(scheduler)].calls
        lost: list[StartRun] = []

        async def start_run(own, worker, order, timeout):
            if own is not calls or not order.key[0].startswith("k."):
                return await answered(own, worker, order, timeout)
            lost.append(order)
            await asyncio.sleep(timeout)
            return StartReply.UNANSWERED

        answered = FakeWorkerCalls.start_run
        with mock.patch.object(FakeWorkerCalls, "start_run", start_run):
            caller = self.submit(deployment, scheduler, "k", millicores, 0.9)
            await asyncio.sleep(0.02)
        self.assertEqual(len(lost), 1)
        return caller

    async def wait_until_taken_back(
        self, deployment: PoolDeployment, scheduler: int, name: str
    ) -> None:
        """Wait until the replaced scheduler has taken a worker from the next one."""
        (following,) = (
            daemon
            for address, daemon in deployment.daemons.items()
            if address != deployment.address(scheduler) and daemon.group.claim is not None
        )
        replaced = deployment.daemons[deployment.address(scheduler)]
        old, new = (item.scheduling.scheduler.workers[name] for item in (replaced, following))
        async with asyncio.timeout(0.2):
            while new.state is not HoldState.HELD:
                await asyncio.sleep(0.001)
            while not deployment.workers[name].token == old.token > new.token:
                await asyncio.sleep(0.001)

    def test_unanswered_start_takes_a_worker_from_the_next_scheduler(self):
        # The replaced scheduler raised its token above that of the next one and started a job that
        # had been handed over.
        async def scenario(deployment: PoolDeployment, scheduler: int, replaced_at: float) -> None:
            replaced = deployment.daemons[deployment.address(scheduler)]
            await self.sleep_until(deployment, replaced_at - 0.2)
            self.submit(deployment, self.entry, "j", 1000, 0.9)
            await self.lose_start(deployment, scheduler, replaced_at - 0.03, 2600)
            await self.sleep_until(deployment, replaced_at + 0.001)
            await self.wait_until_taken_back(deployment, scheduler, "w0")
            self.assertTrue(any(key[0] == "j.0.0.0" for key in deployment.workers["w1"].runs))
            async with asyncio.timeout(0.1):
                while "j" not in replaced.scheduling.scheduler.jobs:
                    await asyncio.sleep(0.001)
            await asyncio.sleep(1.0)

        deployment = self.replace_scheduler(scenario, (4000, 2000), 0.25)
        self.assertEqual(deployment.faults, [])

    def test_run_on_a_lost_worker_outlives_the_lease_of_its_adopter(self):
        # The next scheduler adopted a run and lost its worker again. It counted the run as lapsed
        # 1.1 s after its own last extension of the lease, which the replaced one had extended.
        async def scenario(deployment: PoolDeployment, scheduler: int, replaced_at: float) -> None:
            replaced = deployment.daemons[deployment.address(scheduler)]
            await self.sleep_until(deployment, replaced_at - 1.22)
            # With all clocks known, the tasks are placed by the size of the workers.
            for channel in replaced.scheduling.channels.values():
                channel.poll_now()
            await self.sleep_until(deployment, replaced_at - 1.2)
            self.submit(deployment, self.entry, "j", 2100, 5.0, steps=2)
            self.submit(deployment, self.entry + 1, "a", 1950, 5.0)
            caller = await self.lose_start(deployment, scheduler, replaced_at - 0.055, 1800)
            # Otherwise its next start would show that another worker obeys the next scheduler.
            caller.cancel()
            await self.sleep_until(deployment, replaced_at + 0.001)
            await self.wait_until_taken_back(deployment, scheduler, "w0")
            self.assertIn(("j.0.0.0", 1), deployment.workers["w0"].runs)
            await self.sleep_until(deployment, replaced_at + 0.4)
            self.assertIsNotNone(replaced.group.claim)
            # Shows the replaced scheduler that most workers obey another one, so its claim ends.
            self.submit(deployment, scheduler, "m", 3000, 0.9)
            await asyncio.sleep(3.0)
            self.assertIsNone(replaced.group.claim)

        deployment = self.replace_scheduler(scenario, (4000, 2000, 4000), 0.6)
        self.assertEqual(deployment.faults, [])


@attrs.define(eq=False)
class DriftingWorker(ModelWorker):
    """Worker whose clock is 2% slow and starts at 0 with its process.

    Parameters
    ----------
    booted_at : float
        Start of the process.
    """

    booted_at: float = 0.0

    def start(self, order: StartRun, demand: int, now: float) -> StartReply:
        lease_end_ms = self._true_ms(order.lease_end_ms)
        return super().start(attrs.evolve(order, lease_end_ms=lease_end_ms), demand, now)

    def poll(self, poll: PollRequest, now: float) -> bool:
        if poll.lease_end_ms is not None:
            poll = attrs.evolve(poll, lease_end_ms=self._true_ms(poll.lease_end_ms))
        return super().poll(poll, now)

    def answer(self, now: float) -> WorkerStatus:
        clock_ms = int((now - self.booted_at) * 1000 * SLOW_CLOCK_RATE)
        return attrs.evolve(super().answer(now), clock_ms=clock_ms)

    def _true_ms(self, clock_ms: int) -> float:
        return clock_ms / SLOW_CLOCK_RATE + self.booted_at * 1000


class LateStartTest(DoubleStartTest):
    """A start request that is not answered is executed late, while its worker is unreachable."""

    def replace_worker(self, deployment: PoolDeployment, name: str) -> DriftingWorker:
        model = deployment.workers[name]
        drifting = DriftingWorker(
            name, model.zone, model.millicores, model.run_seconds, model.on_start, born=2
        )
        deployment.workers[name] = drifting
        return drifting

    async def start_late(
        self, deployment: PoolDeployment, scheduler: int, seconds: float, is_killed: bool = False
    ) -> None:
        """Submit a job whose first start is executed late, at a worker cut off since then."""
        calls = deployment.daemons[deployment.address(scheduler)].calls
        entry = (scheduler + 2) % len(deployment.zones)
        orders = []

        async def start_run(own, worker, order, timeout):
            if own is not calls or orders:
                return await answered(own, worker, order, timeout)
            orders.append(order)
            model = deployment.workers[worker.name]
            for number in range(len(deployment.zones)):
                deployment.network.cut(deployment.address(number), worker.name)
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, lambda: model.start(order, 1000, loop.time()))
            await asyncio.sleep(timeout)
            return StartReply.UNANSWERED

        answered = FakeWorkerCalls.start_run
        with mock.patch.object(FakeWorkerCalls, "start_run", start_run):
            self.submit(deployment, entry, "j", 1000, 3.0)
            await asyncio.sleep(0.03)
            if is_killed:
                deployment.kill(scheduler)
            await asyncio.sleep(seconds + 2.0)

    async def restart_instances(self, deployment: PoolDeployment, idle_seconds: float) -> None:
        """Restart all instances after the replacement of a worker, and wait."""
        for number in range(len(deployment.zones)):
            deployment.kill(number)
        for number in range(len(deployment.zones)):
            await deployment.start_instance(number)
        await asyncio.sleep(idle_seconds)

    def test_late_start_on_a_worker_with_a_slow_clock(self):
        # An idle worker is not polled, and its clock falls 1.2 s behind the estimate in a minute.
        async def scenario(deployment: PoolDeployment) -> None:
            self.replace_worker(deployment, "w0")
            await self.restart_instances(deployment, 62.0)
            await self.start_late(deployment, deployment.scheduler_number(), 1.5)

        self.assertEqual(self.simulate(scenario, 2).faults, [])

    def test_late_start_on_a_worker_that_has_restarted_while_idle(self):
        # The clock of a worker starts anew with its process, so the lease end lies far ahead.
        async def scenario(deployment: PoolDeployment) -> None:
            worker = self.replace_worker(deployment, "w0")
            await self.restart_instances(deployment, 5.0)
            worker.crash()
            worker.booted_at = deployment.now()
            await self.start_late(deployment, deployment.scheduler_number(), 1.5)

        self.assertEqual(self.simulate(scenario, 2).faults, [])

    def test_late_start_of_a_killed_scheduler(self):
        # The next scheduler cannot reach the worker and waits 1.4 s before it starts the job.
        async def scenario(deployment: PoolDeployment) -> None:
            worker = self.replace_worker(deployment, "w0")
            await self.restart_instances(deployment, 5.0)
            worker.crash()
            worker.booted_at = deployment.now()
            await self.start_late(deployment, deployment.scheduler_number(), 2.5, is_killed=True)

        self.assertEqual(self.simulate(scenario, 2).faults, [])


class SlowLinkTest(DoubleStartTest):
    def test_delayed_heartbeats_keep_jobs_that_were_handed_over(self):
        # The scheduler is no longer heard, and messages to it take longer and longer. Old
        # heartbeats let it extend the lease of a worker that only it can reach.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            impairment = Impairment(deployment, scheduler)
            impairment.install()
            self.submit(deployment, scheduler + 2, "j", 1000, 5.0)
            await asyncio.sleep(0.5)
            self.cut_busy_worker(deployment, scheduler)
            slow_from = deployment.now()
            impairment.inbound_seconds = lambda now: 1.5 * max(now - slow_from, 0.0)
            impairment.mute_from = slow_from + 0.8
            await asyncio.sleep(4.0)

        self.assertEqual(self.simulate(scenario, 2).faults, [])

    def test_delayed_beat_of_an_earlier_incarnation_drops_the_jobs_of_the_present_one(self):
        # The beat displaces the entry instance from the members of the scheduler, which drops its
        # jobs and cannot tell it. The caller waits until its time is over.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = scheduler + 2
            earlier = deployment.daemons[deployment.address(entry)].group.own
            deployment.kill(entry)
            await deployment.start_instance(entry)
            await asyncio.sleep(1.0)
            Impairment(deployment, scheduler, lambda now: 0.16).install()
            caller = self.submit(deployment, entry, "j", 1000, 0.9)
            await asyncio.sleep(0.4)
            exchange = deployment.daemons[deployment.address(scheduler)].exchange
            exchange.deliver(earlier.incarnation, Beat(earlier, 1, 0, 0, 0, 0.5))
            async with asyncio.timeout(3.0):
                end = await caller
            self.assertEqual(end.outcome, Outcome.COMPLETED)

        self.simulate(scenario, 2)


class FreshJobTest(DoubleStartTest):
    def test_job_submitted_again_after_its_entry_instance_and_scheduler_died(self):
        # A job that is not resumed is started at once, although a run of it is being stopped.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            entry = scheduler + 2
            self.submit(deployment, entry, "j", 1000, 5.0)
            # The scheduler has just heard the entry instance, and counts it as alive for 0.5 s.
            rounds = int(deployment.now() / BEAT_SECONDS) + 4
            await self.sleep_until(deployment, rounds * BEAT_SECONDS + 0.005)
            died_at = deployment.now()
            deployment.kill(entry)
            await self.sleep_until(deployment, died_at + 0.58)
            deployment.kill(scheduler)
            await self.sleep_until(deployment, died_at + RETRY_DELAY_SECONDS)
            self.submit(deployment, entry + 1, "j", 1000, 5.0)
            await asyncio.sleep(1.0)

        self.assertEqual(self.simulate(scenario, 2).faults, [])

    def test_caller_asks_again_at_the_same_instance_while_the_scheduler_is_replaced(self):
        # The second request replaces the first, which had been sent to the previous scheduler.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            self.submit(deployment, scheduler + 2, "j", 1000, 5.0)
            await asyncio.sleep(0.5)
            self.cut_busy_worker(deployment, scheduler)
            deployment.kill(scheduler)
            entry = deployment.daemons[deployment.address(scheduler + 2)]
            while entry.exchange.follows:
                await asyncio.sleep(0.01)
            self.submit(deployment, scheduler + 2, "j", 1000, 5.0)
            await asyncio.sleep(1.0)

        self.assertEqual(self.simulate(scenario, 2).faults, [])


class EarlierClaimTest(DoubleStartTest):
    def test_job_submitted_under_an_earlier_claim_is_not_started(self):
        # A scheduler that ends its claim forgets which tasks it has started.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            daemon = deployment.daemons[deployment.address(scheduler)]
            entry = deployment.daemons[deployment.address(scheduler + 2)]
            sender = entry.group.own.incarnation
            request = WorkRequest("j", "q", "", (StepSpec(1, Capacity(1000), 900),), BUDGET_MS)
            term, epoch = daemon.group.claim.term, entry.exchange.epoch
            for claim, expected in ((term - 1, set()), (term, {"j"})):
                place, clock = StreamPosition(1, 1, 1), deployment.now()
                message = SubmitWork(place, request, epoch, clock, claim)
                daemon.handle_message(sender, message)
                self.assertEqual(daemon.scheduling.scheduler.jobs.keys(), expected)

        self.simulate(scenario, 2)


class TwoEntryInstancesTest(DoubleStartTest):
    """A caller asks again elsewhere, and the first entry instance does not see that it has left."""

    def test_job_of_a_caller_that_has_moved_is_handed_over_by_its_first_instance(self):
        # The first instance is partitioned with its zone, whose scheduler cannot reach the run.
        async def scenario(deployment: PoolDeployment) -> None:
            for number in range(6):
                self.submit(deployment, 2, f"f{number}", 4000, 0.3)
            await asyncio.sleep(0.1)
            self.submit(deployment, 2, "j", 1000, 6.0)
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            (worker,) = (model for model in deployment.workers.values() if model.runs)
            self.assertEqual(worker.zone, "a")
            self.submit(deployment, 4, "j", 1000, 6.0)
            await asyncio.sleep(0.3)
            deployment.cut({2, 3}, {"b"})
            await asyncio.sleep(4.0)
            self.assertTrue(worker.runs)

        self.assertEqual(self.simulate(scenario, 6).faults, [])

    def test_second_instance_does_not_know_the_worker_that_runs_the_job(self):
        # The registration of the worker expired before the second instance got the job.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            first, second = 2, 3
            self.submit(deployment, first, "j", 1000, 6.0)
            await asyncio.sleep(0.3)
            (worker,) = (model for model in deployment.workers.values() if model.runs)
            deployment.expire_registrations([worker.name])
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            self.submit(deployment, second, "j", 1000, 6.0)
            await asyncio.sleep(0.1)
            self.cut_busy_worker(deployment, scheduler)
            for number in range(len(deployment.zones)):
                if number != first:
                    deployment.network.cut(deployment.address(first), deployment.address(number))
            address = deployment.address(scheduler)
            deployment.network.spawn(address, deployment.daemons[address].drain())
            await asyncio.sleep(1.0)

        self.assertEqual(self.simulate(scenario, 6).faults, [])


class ReturnedJobTest(TestCase):
    """An entry instance has left a scheduler and returned without being heard meanwhile."""

    def setUp(self):
        self.now = 100.0
        CLOCKS.steady = lambda: self.now
        self.addCleanup(setattr, CLOCKS, "steady", Clocks().steady)

    def test_returned_job_waits_until_all_workers_are_polled(self):
        queue = QueueSpec("q", "h", "/q/", "s", max_attempts=2, slack_factor=10.0)
        scheduler = Scheduler(PoolConfig(1, (queue,)), UnlimitedRights())
        scheduler.add_worker(
            HeldWorker("w", "w", "z", "s", Capacity(1000), frozenset(), 1, registered_born=1), 0.0
        )
        scheduler.record_status("w", WorkerStatus(1, 0, (), ()), 1, 0.0, 0.0)
        step = StepSpec(1, Capacity(1000), 1000)
        scheduler.submit(WorkRequest("full", "q", "", (step,), BUDGET_MS), "e", 0.0)
        scheduler.submit(WorkRequest("j", "q", "", (step,), BUDGET_MS), "e", 0.0)
        scheduler.take_effects()
        # Meanwhile another scheduler has had the job, and may have started it.
        resumed = WorkRequest("j", "q", "", (step,), BUDGET_MS, waited_ms=600, is_resumed=True)
        scheduler.submit(resumed, "e", 0.6, frozenset({"w"}))
        ended = ReportedEnd(1, "full.0.0.0", 1, EndKind.DONE)
        scheduler.record_status("w", WorkerStatus(1, 0, (), (ended,)), 1, 0.59, 0.61)
        starts = [item for item in scheduler.take_effects() if isinstance(item, StartRun)]
        self.assertEqual(starts, [])

    def test_heartbeat_of_a_later_epoch_ends_the_jobs_of_earlier_ones(self):
        scheduler = MemberAddress("s.1", "127.0.0.1:1", "a", 1000)
        entry = MemberAddress("e.1", "127.0.0.1:2", "b", 1000)
        listener = mock.Mock(spec=ExchangeListener)
        listener.config.return_value, listener.roster.return_value = PoolConfig(1), (0, ())
        group = Group(scheduler, self.now)
        group.claim = Claim(1)
        exchange = PeerExchange(group, (), listener, Metrics(), make_logger("x"))
        exchange.transport = mock.Mock()
        exchange.follow()
        for epoch in (1, 3):
            self.now += BEAT_SECONDS
            beat = Beat(entry, 1, epoch, 0, 0, self.now, follows=scheduler.incarnation)
            exchange.deliver(entry.incarnation, beat)
        listener.entry_lost.assert_called_once_with(entry.incarnation)


class AdoptedRunTest(TestCase):
    def test_run_adopted_just_before_its_worker_is_lost_has_not_lapsed(self):
        # No lease has been extended by this scheduler, but that of the previous one is valid.
        queue = QueueSpec("q", "h", "/q/", "s", max_attempts=2, slack_factor=10.0)
        scheduler = Scheduler(PoolConfig(1, (queue,)), UnlimitedRights())
        for name in ("v", "w"):
            scheduler.add_worker(
                HeldWorker(name, name, "z", "s", Capacity(1000), frozenset(), 1, registered_born=1),
                0.0,
            )
        step = StepSpec(1, Capacity(1000), 1000)
        steps = (step, attrs.evolve(step, after=(0,)))
        request = WorkRequest("j", "q", "", steps, BUDGET_MS, waited_ms=600, is_resumed=True)
        scheduler.submit(request, "e", 0.0, frozenset({"v", "w"}))
        running = (ReportedRun("j.0.0.0", 1),)
        scheduler.record_status("v", WorkerStatus(1, 0, running, ()), 1, 0.001, 0.002)
        scheduler.fenced("v", 0.003)
        scheduler.record_status("w", WorkerStatus(1, 0, (), ()), 1, 0.001, 0.004)
        scheduler.take_effects()
        scheduler.tick(0.025)
        starts = [item for item in scheduler.take_effects() if isinstance(item, StartRun)]
        self.assertEqual(starts, [])


class TokenTest(TestCase):
    def test_instances_with_permuted_addresses_have_distinct_tokens(self):
        # Workers accept orders with the token that they have, so both instances would hold them.
        self.addCleanup(setattr, CLOCKS, "unix", Clocks().unix)
        CLOCKS.unix = lambda: 1_700_000_000.0
        first, second = TokenSource("10.0.0.12:7000"), TokenSource("10.0.0.21:7000")
        self.assertNotEqual(first.next(), second.next())
