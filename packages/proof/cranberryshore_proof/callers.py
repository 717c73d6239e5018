"""Simulated callers and operators, which also send duplicates, conflicts and cancellations."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random
from typing import Any

import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result

from cranberryshore.config import ResourceKind
from cranberryshore.errors import ExecutionStatus, Refusal
from cranberryshore.identity import parse_submission_id
from cranberryshore.messages import JobAnswer
from cranberryshore.work import Capacity, JobRequest, JobState, TaskSpec
from cranberryshore_proof.deployment import SERVICE, EntryNode, SimulatedDeployment
from cranberryshore_proof.history import ChangeHistory, JobHistory, ObservedAnswer, RequestHistory
from cranberryshored.config.editor import Proposal
from cranberryshored.requests import IncomingRequest

CALL_TIMEOUT_SECONDS = 3.0
QUERY_WAIT_MS = 2000
MAX_SUBMISSIONS = 12
CHANGED_SERVICE = SERVICE


@attrs.define(eq=False)
class Caller:
    """One caller, which sends jobs and requests through any instance."""

    name: str
    zone: str
    deployment: SimulatedDeployment
    random: Random
    counter: count = attrs.field(factory=count)

    async def run(self, until: float) -> None:
        """Send jobs and requests at random times until the given time."""
        loop = asyncio.get_running_loop()
        tasks = []
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(8.0))
            action = self._run_job if self.random.random() < 0.5 else self._run_request
            tasks.append(asyncio.create_task(action()))
        await asyncio.gather(*tasks)

    async def query_all_jobs(self) -> None:
        """Query the final state of every job submitted by id."""
        for job in self.deployment.history.jobs:
            if job.caller == self.name and job.id and not job.key:
                await self._query(job, self._choose_entry())

    def _choose_entry(self) -> EntryNode:
        uses_any_zone = self.random.random() < 0.15
        zone_entries = self.deployment.zone_entries(self.zone)
        return self.random.choice(self.deployment.entries if uses_any_zone else zone_entries)

    async def _run_job(self) -> None:
        payloads = tuple(
            f"run_ms={self.random.choice((20, 80, 300, 900))}"
            for _ in range(self.random.randint(1, 6))
        )
        job = JobHistory("", self.name, payloads)
        if self.random.random() < 0.15:
            job.key = f"{self.name}-{next(self.counter)}"
        else:
            id = await self._obtain_id()
            if id is None:
                return
            job.id = id
        self.deployment.history.jobs.append(job)
        if self.random.random() < 0.1:
            # Concurrent duplicates of a submission, usually through different instances.
            await asyncio.gather(self._submit_until_final(job), self._submit_until_final(job))
        else:
            await self._submit_until_final(job)

    async def _obtain_id(self) -> str | None:
        entry = self._choose_entry()

        async def issue() -> str | None:
            daemon = entry.daemon
            if not daemon.ownership.is_registered or daemon.is_draining:
                return None
            now = asyncio.get_running_loop().time()
            return str(daemon.ownership.ledger.issue(self.name, 1, now)[0])

        return await self._call(entry, issue)

    async def _submit_until_final(self, job: JobHistory) -> None:
        for _ in range(MAX_SUBMISSIONS):
            entry = self._choose_entry()
            answer = await self._submit(job, entry)
            if answer is not None and answer.state in ("queued", "running"):
                if self.random.random() < 0.05:
                    await self._cancel(job, answer, self._choose_entry())
                answer = await self._query(job, self._choose_entry())
            if answer is not None and answer.is_final:
                return
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def _submit(self, job: JobHistory, entry: EntryNode) -> ObservedAnswer | None:
        tasks = tuple(TaskSpec(Capacity(1000, 512, 0), 100, payload) for payload in job.payloads)
        request = JobRequest(tasks)
        job.sent.append(asyncio.get_running_loop().time())

        async def submit() -> Result[JobAnswer, Refusal]:
            daemon = entry.daemon
            if not job.key:
                id = parse_submission_id(job.id).unwrap()
                return await daemon.router.submit(id, self.name, request)
            binding = await daemon.bindings.bind(self.name, job.key)
            if isinstance(binding, Err):
                return binding
            return await daemon.router.submit(binding.ok_value, self.name, request)

        return self._record_answer(job, await self._call(entry, submit))

    async def _query(self, job: JobHistory, entry: EntryNode) -> ObservedAnswer | None:
        text = job.id or next((observed.id for observed in job.answers if observed.id), "")
        if not text:
            return None
        id = parse_submission_id(text).unwrap()

        async def query() -> Result[JobAnswer, Refusal]:
            return await entry.daemon.router.query(id, self.name, QUERY_WAIT_MS)

        return self._record_answer(job, await self._call(entry, query), text)

    async def _cancel(self, job: JobHistory, answer: ObservedAnswer, entry: EntryNode) -> None:
        id = parse_submission_id(answer.id).unwrap()

        async def cancel() -> Result[JobAnswer, Refusal]:
            return await entry.daemon.router.cancel(id, self.name)

        self._record_answer(job, await self._call(entry, cancel), answer.id)

    def _record_answer(
        self, job: JobHistory, result: Result[JobAnswer, Refusal] | None, id: str = ""
    ) -> ObservedAnswer | None:
        if result is None:
            job.unanswered += 1
            return None
        observed = _to_observed_answer(asyncio.get_running_loop().time(), result, id or job.id)
        job.answers.append(observed)
        return observed

    async def _run_request(self) -> None:
        entry = self._choose_entry()
        nonce = f"{self.name}-r{next(self.counter)}"
        is_idempotent = self.random.random() < 0.4
        now = asyncio.get_running_loop().time()
        observed = RequestHistory(nonce, is_idempotent, entry.name, now)
        self.deployment.history.requests.append(observed)
        ms = self.random.choice((5, 50, 400, 1500))
        body = f"{nonce} {ms}".encode()
        incoming = IncomingRequest("POST", "/seat", CIMultiDict(), body, is_idempotent)

        async def serve() -> Any:
            daemon = entry.daemon
            service = daemon.services.get(SERVICE)
            if service is None or daemon.request_routes.is_draining:
                # The web server would refuse the request here; recorded as not run below.
                return Err(None)
            return await service.serve(incoming, "default", False, 2500)

        result = await self._call(entry, serve)
        if result is None:
            return
        observed.answered = asyncio.get_running_loop().time()
        if isinstance(result, Ok):
            observed.body = result.ok_value.body.decode()
        elif result.err_value is not None:
            observed.claim = result.err_value.claim.value
        else:
            observed.claim = "not_run"

    async def _call(self, entry: EntryNode, action: Callable[[], Awaitable[Any]]) -> Any | None:
        return await call_entry(self.deployment, self.name, entry, action)


@attrs.define(eq=False)
class Operator:
    """One of several operators who concurrently change the same resource."""

    name: str
    deployment: SimulatedDeployment
    random: Random
    counter: count = attrs.field(factory=count)

    async def run(self, until: float) -> None:
        """Make changes at random times until the given time."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(1.0))
            await self._make_change()

    async def _make_change(self) -> None:
        entry = self.random.choice(self.deployment.entries)
        if entry.daemon is None:
            return
        resource = entry.daemon.state.resources.get(f"config/service/{CHANGED_SERVICE}")
        generation = 0 if resource is None else resource.generation
        value = self.random.randint(1000, 9000)
        change_id = f"{self.name}-{next(self.counter)}"
        proposal = Proposal(
            ResourceKind.SERVICE,
            CHANGED_SERVICE,
            {"timeout_ms": value},
            generation,
            self.name,
            change_id,
        )
        for _ in range(4):
            result = await call_entry(
                self.deployment,
                self.name,
                entry,
                lambda node=entry: node.daemon.editor.change(proposal),
            )
            if self._record_change(proposal, value, result):
                return
            entry = self.random.choice(self.deployment.entries)
            await asyncio.sleep(0.5)

    def _record_change(self, proposal: Proposal, value: int, result: Any) -> bool:
        """Return whether the operator knows the outcome."""
        now = asyncio.get_running_loop().time()
        revision = generation = 0
        outcome = "unknown"
        if isinstance(result, Ok):
            outcome = "accepted"
            revision = result.ok_value.revision
            generation = result.ok_value.resource.generation
        elif isinstance(result, Err) and result.err_value.claim is ExecutionStatus.NOT_RUN:
            outcome = "refused"
        self.deployment.history.changes.append(
            ChangeHistory(
                now,
                self.name,
                proposal.change_id,
                value,
                proposal.expected_generation,
                outcome,
                revision,
                generation,
            )
        )
        return outcome != "unknown"


async def call_entry(
    deployment: SimulatedDeployment,
    caller: str,
    entry: EntryNode,
    action: Callable[[], Awaitable[Any]],
) -> Any | None:
    """Run ``action`` in an entry instance; return its result, ``None`` if none arrives in time."""
    future = asyncio.get_running_loop().create_future()
    network = deployment.network

    async def handle() -> None:
        daemon = entry.daemon
        if daemon is None:
            return
        daemon.web.in_flight += 1
        try:
            result = await action()
        finally:
            daemon.web.in_flight -= 1
        network.send(entry.name, caller, lambda: _resolve(future, result))

    network.send(caller, entry.name, lambda: network.spawn(entry.name, handle()))
    try:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            return await future
    except TimeoutError:
        return None


def _resolve(future: asyncio.Future, value: Any) -> None:
    if not future.done():
        future.set_result(value)


def _to_observed_answer(at: float, result: Result[JobAnswer, Refusal], id: str) -> ObservedAnswer:
    if isinstance(result, Err):
        refusal = result.err_value
        # A caller that is told to retry may still learn whether its job has run.
        is_final = (
            refusal.claim is not ExecutionStatus.MAY_HAVE_RUN or refusal.retry_after_ms is None
        )
        return ObservedAnswer(
            at, "refused", None, refusal.claim.value, refusal.type.value, is_final, id
        )
    answer = result.ok_value
    failure = answer.failure
    return ObservedAnswer(
        at,
        answer.state.value,
        answer.outputs,
        None if failure is None else failure.claim.value,
        None if failure is None else failure.type.value,
        answer.state in (JobState.COMPLETE, JobState.FAILED),
        answer.id,
    )
