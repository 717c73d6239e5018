import asyncio
import logging
from unittest import TestCase, mock

import structlog

from cranberryshore.pool import Outcome
from cranberryshore.pool.group import MEMBER_EXPIRY_SECONDS
from cranberryshore_proof.pool_deployment import PlayedJob, PoolDeployment
from cranberryshore_proof.pool_play import play_pool
from cranberryshore_proof.pool_workers import ModelCalls
from cranberryshore_proof.virtual_loop import run_virtual
from cranberryshored.pool import StartReply

SHORTEST_AIM_SECONDS = 0.156
"""The users' shortest jobs: 1.6 times 60 ms, and 60 ms more."""

quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)


def setUpModule():  # noqa: N802
    structlog.configure(wrapper_class=quiet)


class DrawnFaultsTest(TestCase):
    def assert_held(self, seed: int) -> None:
        result = play_pool(seed)
        self.assertEqual(result.faults, ())
        self.assertEqual(result.calm_completed, result.calm_jobs, result.events)

    def test_drawn_faults(self):
        for seed in range(41, 49):
            with self.subTest(seed=seed):
                self.assert_held(seed)

    def test_worker_that_comes_back_unnoticed(self):
        # Cause: the account of runs of a worker's new life was dropped with the old ones.
        self.assert_held(3)

    def test_work_that_a_cut_held_up(self):
        # Cause: a job that was handed to a second scheduler during the cut reached the first one
        # when it healed, and its task ran twice.
        self.assert_held(64)

    def test_schedulers_that_do_not_know_of_each_other(self):
        # Cause: two instances that started without the store claimed together; those that heard
        # both did not tell them, and work of a scheduler that was left arrived after the news.
        self.assert_held(230)
        self.assert_held(232)

    def test_peer_whose_outgoing_connection_is_silent(self):
        # Cause: messages stuck behind those for a run that had died.
        self.assert_held(33)


class SingleFaultTest(TestCase):
    def play(self, scenario) -> PoolDeployment:
        async def run() -> PoolDeployment:
            deployment = PoolDeployment(7)
            await deployment.start()
            await scenario(deployment)
            return deployment

        deployment = run_virtual(run())
        self.assertEqual(deployment.faults, [])
        return deployment

    def submit(self, deployment: PoolDeployment, number: int, seconds: float = 0.2, count: int = 2):
        job = PlayedJob(f"{len(deployment.jobs):016x}", deployment.now())
        deployment.demands[job.id], deployment.seconds[job.id] = 1000, seconds
        deployment.jobs.append(job)
        return job, asyncio.ensure_future(deployment.call(number, job, count))

    def test_job_survives_the_death_of_the_scheduler(self):
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            other = (scheduler + 1) % len(deployment.zones)
            job, caller = self.submit(deployment, other, seconds=0.9)
            await asyncio.sleep(0.3)
            deployment.kill(scheduler)
            await caller
            self.assertEqual(job.answers[-1], Outcome.COMPLETED)

        self.play(scenario)

    def test_leaving_scheduler_hands_over_at_once(self):
        # Cause: the successor waited for 0.2 s, more than short jobs have to spare.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            address = deployment.address(scheduler)
            job, caller = self.submit(
                deployment, (scheduler + 1) % len(deployment.zones), seconds=0.9
            )
            await asyncio.sleep(0.2)
            draining = deployment.network.spawn(address, deployment.daemons[address].drain())
            await asyncio.sleep(0.03)
            self.assertNotIn(deployment.scheduler_number(), (None, scheduler))
            late, second = self.submit(deployment, (scheduler + 1) % len(deployment.zones))
            await asyncio.gather(caller, second, draining)
            self.assertEqual((job.answers, late.answers), ([Outcome.COMPLETED],) * 2)
            self.assertLess(job.ended_at - job.begun_at, 1.0)
            self.assertLess(late.ended_at - late.begun_at, 0.4)

        self.play(scenario)

    def test_work_flows_within_two_seconds_of_a_restart_of_everything(self):
        async def scenario(deployment: PoolDeployment) -> None:
            for number in range(len(deployment.zones)):
                deployment.kill(number)
            await asyncio.sleep(1.0)
            for number in range(len(deployment.zones)):
                await deployment.start_instance(number)
            back = deployment.now()
            job, caller = self.submit(deployment, 2)
            await caller
            self.assertEqual(job.answers[-1], Outcome.COMPLETED)
            self.assertLess(job.ended_at - back, 2.0)

        self.play(scenario)

    def test_cut_zone_goes_on_with_its_own_workers(self):
        async def scenario(deployment: PoolDeployment) -> None:
            deployment.cut({0, 1}, {"a"})
            await asyncio.sleep(2.0)
            jobs = [self.submit(deployment, number) for number in (0, 1, 2, 3, 4)]
            await asyncio.gather(*(caller for _, caller in jobs))
            self.assertEqual({job.answers[-1] for job, _ in jobs}, {Outcome.COMPLETED})
            deployment.heal()
            await asyncio.sleep(3.0)
            claims = [daemon.group.claim for daemon in deployment.daemons.values()]
            self.assertEqual(sum(claim is not None for claim in claims), 1)

        self.play(scenario)

    def test_frozen_scheduler_wakes_after_its_workers_went_to_another(self):
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            address = deployment.address(scheduler)
            deployment.network.freeze(address)
            await asyncio.sleep(2.0)
            job, caller = self.submit(
                deployment, (scheduler + 1) % len(deployment.zones), seconds=0.9
            )
            await asyncio.sleep(0.2)
            deployment.network.unfreeze(address)
            await caller
            self.assertEqual(job.answers, [Outcome.COMPLETED])

        self.play(scenario)

    def test_instance_frozen_for_longer_than_it_is_remembered(self):
        # Cause: its scheduler forgot how far it had received, and the instance did not know.
        async def scenario(deployment: PoolDeployment) -> None:
            other = (deployment.scheduler_number() + 1) % len(deployment.zones)
            await self.submit(deployment, other)[1]
            deployment.network.freeze(deployment.address(other))
            await asyncio.sleep(MEMBER_EXPIRY_SECONDS + 2.0)
            deployment.network.unfreeze(deployment.address(other))
            await asyncio.sleep(1.0)
            job, caller = self.submit(deployment, other)
            await caller
            self.assertEqual(job.answers, [Outcome.COMPLETED])

        self.play(scenario)

    def test_scheduler_frozen_for_longer_than_it_is_remembered(self):
        # Cause: it knew numbers of a stream that its peers had begun anew.
        async def scenario(deployment: PoolDeployment) -> None:
            scheduler = deployment.scheduler_number()
            other = (scheduler + 1) % len(deployment.zones)
            await self.submit(deployment, other)[1]
            deployment.network.freeze(deployment.address(scheduler))
            await asyncio.sleep(MEMBER_EXPIRY_SECONDS + 2.0)
            deployment.network.unfreeze(deployment.address(scheduler))
            await asyncio.sleep(1.0)
            for number in range(len(deployment.zones)):
                if number != scheduler:
                    deployment.kill(number)
            await asyncio.sleep(4.0)
            await deployment.start_instance(other)
            await asyncio.sleep(2.0)
            job, caller = self.submit(deployment, other)
            await caller
            self.assertEqual(job.answers, [Outcome.COMPLETED])

        self.play(scenario)

    def test_lost_answer_costs_less_than_short_jobs_have_to_spare(self):
        # Cause: Mela mix 1035145064175, a start without an answer was waited for 0.2 s.
        async def scenario(deployment: PoolDeployment) -> None:
            lost = []
            answered = ModelCalls.start_run

            async def start_run(calls, worker, start, seconds):
                if lost:
                    return await answered(calls, worker, start, seconds)
                lost.append(start.key)
                await asyncio.sleep(seconds)
                return StartReply.UNANSWERED

            with mock.patch.object(ModelCalls, "start_run", start_run):
                job, caller = self.submit(deployment, 1, seconds=0.06, count=1)
                await caller
            self.assertEqual((len(lost), job.answers), (1, [Outcome.COMPLETED]))
            self.assertLess(job.ended_at - job.begun_at, SHORTEST_AIM_SECONDS)

        self.play(scenario)

    def test_new_holder_with_a_clock_behind_takes_over_at_once(self):
        # Cause: workers that had seen a higher token were left alone for 3 s.
        async def scenario(deployment: PoolDeployment) -> None:
            for worker in deployment.workers.values():
                worker.token += 1500 << 11
            scheduler = deployment.scheduler_number()
            deployment.kill(scheduler)
            await asyncio.sleep(2.0)
            job, caller = self.submit(deployment, (scheduler + 1) % len(deployment.zones))
            await caller
            self.assertEqual(job.answers, [Outcome.COMPLETED])
            self.assertLess(job.ended_at - job.begun_at, 0.5)

        self.play(scenario)
