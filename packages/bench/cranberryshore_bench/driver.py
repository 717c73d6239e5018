"""Load generator: sends a trace to entry daemons and records the answers."""

import asyncio
from collections.abc import Sequence
from itertools import count
from typing import Any

import attrs
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from result import Err, Ok

from cranberryshore.errors import ExecutionStatus, Refusal
from cranberryshore.messages import JobAnswer
from cranberryshore.work import JobState
from cranberryshore_bench.workload import JobArrival, RequestArrival
from cranberryshore_cli import Client, ClientFailure

ANSWER_WAIT_MS = 10_000
TIMEOUT_SECONDS = 60.0
MIN_RETRY_DELAY_SECONDS = 0.05
ID_BATCH_SIZE = 50


@attrs.frozen
class JobRecord:
    """The outcome of one job as its caller saw it.

    ``at`` is the start time. After a refusal, ``claim`` is what it states about the execution and
    ``reason`` its type; otherwise ``reason`` is "complete" or "no answer". ``is_own_answer`` is
    false if a complete job does not have exactly the outputs of its tasks.
    """

    id: str
    at: float
    seconds: float
    task_count: int
    is_complete: bool
    claim: ExecutionStatus | None
    reason: str
    is_own_answer: bool
    submissions: int


@attrs.frozen
class RequestRecord:
    """The outcome of one request as its caller saw it; ``status`` is 0 without an answer."""

    nonce: str
    at: float
    seconds: float
    status: int
    is_own_answer: bool
    is_idempotent: bool


@attrs.define(eq=False)
class Driver:
    """Callers in one zone, which use the entry instances in turn, as a load balancer does.

    ``urls`` may be changed during a run; ``ids`` are the unused submission ids.
    """

    urls: Sequence[str]
    token: str
    service: str = "booking"
    jobs: list[JobRecord] = attrs.field(factory=list)
    requests: list[RequestRecord] = attrs.field(factory=list)
    nonce_counter: count = attrs.field(factory=lambda: count(1))
    turn_counter: count = attrs.field(factory=count)
    ids: list[str] = attrs.field(factory=list)
    clients: dict[str, Client] = attrs.field(factory=dict)
    session: ClientSession | None = None
    started_at: float = 0.0

    async def start(self) -> None:
        """Open the connection pool without aiohttp's retries, to send each request at most once."""
        limit = ClientTimeout(total=TIMEOUT_SECONDS)
        self.session = ClientSession(connector=TCPConnector(limit=0), timeout=limit)
        self.session._retry_connection = False
        self.started_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Close the connection pool."""
        await self.session.close()

    async def replay(self, arrivals: Sequence[JobArrival | RequestArrival]) -> None:
        """Send each arrival at its time and wait until all are answered."""
        loop = asyncio.get_running_loop()
        self.started_at = loop.time()
        tasks = []
        for arrival in arrivals:
            delay = self.started_at + arrival.at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            is_job = isinstance(arrival, JobArrival)
            action = self.run_job(arrival) if is_job else self.run_request(arrival)
            tasks.append(asyncio.create_task(action))
        await asyncio.gather(*tasks)

    async def run_job(self, arrival: JobArrival) -> JobRecord:
        """Submit one job until its answer is final or ``TIMEOUT_SECONDS`` have passed.

        Submissions repeat the same id, so that the job runs at most once; only a refusal which
        states that the job was not run leads to a new id.
        """
        loop = asyncio.get_running_loop()
        start_time = loop.time()
        id = await self._next_id()
        request = arrival.request()
        answer: JobAnswer | Refusal | ClientFailure = ClientFailure("nothing was sent")
        submissions = 0
        while loop.time() < start_time + TIMEOUT_SECONDS:
            submissions += 1
            result = await self._next_client().submit(id, request, ANSWER_WAIT_MS)
            answer = result.ok_value if isinstance(result, Ok) else result.err_value
            if _is_final(answer):
                break
            await asyncio.sleep(_retry_delay_seconds(answer))
            if isinstance(answer, Refusal) and answer.claim is ExecutionStatus.NOT_RUN:
                id = await self._next_id()
        record = _job_record(id, answer, arrival, start_time, loop.time() - start_time, submissions)
        self.jobs.append(record)
        return record

    async def run_request(self, arrival: RequestArrival, is_idempotent: bool = True) -> None:
        """Send one request, without retries."""
        loop = asyncio.get_running_loop()
        start_time = loop.time()
        nonce = f"{id(self)}-{next(self.nonce_counter)}"
        headers = {
            "Authorization": f"Bearer {self.token}",
            "Team": arrival.team,
            "Request-Class": "urgent" if arrival.urgent else "ordinary",
            "Idempotent": "yes" if is_idempotent else "no",
        }
        path = f"/v1/services/{self.service}/seat?nonce={nonce}&ms={arrival.service_ms:.2f}"
        status, body = await self._get(path, headers)
        is_own = status != 200 or body.get("nonce") == nonce
        seconds = loop.time() - start_time
        record = RequestRecord(nonce, start_time, seconds, status, is_own, is_idempotent)
        self.requests.append(record)

    async def _get(self, path: str, headers: dict[str, str]) -> tuple[int, dict[str, Any]]:
        try:
            async with self.session.get(self._next_url() + path, headers=headers) as response:
                return response.status, await response.json()
        except (TimeoutError, ClientError, OSError):
            return 0, {}

    async def _next_id(self) -> str:
        while not self.ids:
            obtained = await self._next_client().obtain_ids(ID_BATCH_SIZE)
            if isinstance(obtained, Err):
                await asyncio.sleep(MIN_RETRY_DELAY_SECONDS)
            else:
                self.ids += obtained.ok_value
        return self.ids.pop()

    def _next_url(self) -> str:
        return self.urls[next(self.turn_counter) % len(self.urls)]

    def _next_client(self) -> Client:
        url = self._next_url()
        client = self.clients.get(url)
        if client is None:
            client = self.clients[url] = Client(url, self.token)
            client.session = self.session
        return client


def _is_final(answer: JobAnswer | Refusal | ClientFailure) -> bool:
    if isinstance(answer, JobAnswer):
        return answer.state in (JobState.COMPLETE, JobState.FAILED)
    return isinstance(answer, Refusal) and answer.retry_after_ms is None


def _retry_delay_seconds(answer: JobAnswer | Refusal | ClientFailure) -> float:
    if isinstance(answer, Refusal) and answer.retry_after_ms is not None:
        return max(answer.retry_after_ms / 1000, MIN_RETRY_DELAY_SECONDS)
    return MIN_RETRY_DELAY_SECONDS


def _job_record(
    id: str,
    answer: JobAnswer | Refusal | ClientFailure,
    arrival: JobArrival,
    start_time: float,
    seconds: float,
    submissions: int,
) -> JobRecord:
    is_complete = isinstance(answer, JobAnswer) and answer.state is JobState.COMPLETE
    failure = answer.failure if isinstance(answer, JobAnswer) else answer
    is_refusal = isinstance(failure, Refusal)
    is_own = not is_complete or _is_own_answer(id, answer, arrival)
    return JobRecord(
        id,
        start_time,
        seconds,
        len(arrival.run_ms),
        is_complete,
        failure.claim if is_refusal else None,
        failure.type.value if is_refusal else ("complete" if is_complete else "no answer"),
        is_own,
        submissions,
    )


def _is_own_answer(id: str, answer: JobAnswer, arrival: JobArrival) -> bool:
    """Return whether the outputs are complete and belong to this job."""
    expected = tuple(f"{id}/{index}/run_ms={ms:.1f}" for index, ms in enumerate(arrival.run_ms))
    return answer.outputs == expected
