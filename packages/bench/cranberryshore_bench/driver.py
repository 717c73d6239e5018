"""Sends a drawn workload to entry daemons and records what callers see."""

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

WAIT_MS = 10_000
LIMIT_SECONDS = 60.0
LEAST_PAUSE_SECONDS = 0.05
IDS_AHEAD = 50


@attrs.frozen
class JobRecord:
    """What became of one job as its caller saw it."""

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
    """What became of one request as its caller saw it."""

    nonce: str
    at: float
    seconds: float
    status: int
    is_own_answer: bool
    is_idempotent: bool


@attrs.define(eq=False)
class Driver:
    """Callers in one zone, who choose an entry instance in turn as the balancer does.

    Parameters
    ----------
    urls : sequence of str
        Entry instances that the balancer sends to; may be changed while running.
    token : str
        Token of the caller.
    """

    urls: Sequence[str]
    token: str
    service: str = "booking"
    jobs: list[JobRecord] = attrs.field(factory=list)
    requests: list[RequestRecord] = attrs.field(factory=list)
    numbers: count = attrs.field(factory=lambda: count(1))
    turns: count = attrs.field(factory=count)
    ids: list[str] = attrs.field(factory=list)
    clients: dict[str, Client] = attrs.field(factory=dict)
    session: ClientSession | None = None
    started_at: float = 0.0

    async def start(self) -> None:
        """Open the connection pools."""
        limit = ClientTimeout(total=LIMIT_SECONDS)
        self.session = ClientSession(connector=TCPConnector(limit=0), timeout=limit)
        self.session._retry_connection = False
        self.started_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Close the connection pools."""
        await self.session.close()

    async def play(self, arrivals: Sequence[JobArrival | RequestArrival]) -> None:
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
        """Submit one job, again under the same id as long as no answer is final."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        id = await self._id()
        request = arrival.request()
        answer: JobAnswer | Refusal | ClientFailure = ClientFailure("nothing was sent")
        submissions = 0
        while loop.time() < began + LIMIT_SECONDS:
            submissions += 1
            result = await self._client().submit(id, request, WAIT_MS)
            answer = result.ok_value if isinstance(result, Ok) else result.err_value
            if _is_final(answer):
                break
            await asyncio.sleep(_pause_seconds(answer))
            if isinstance(answer, Refusal) and answer.claim is ExecutionStatus.NOT_RUN:
                id = await self._id()
        record = _job_record(id, answer, arrival, began, loop.time() - began, submissions)
        self.jobs.append(record)
        return record

    async def run_request(self, arrival: RequestArrival, is_idempotent: bool = True) -> None:
        """Send one request once."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        nonce = f"{id(self)}-{next(self.numbers)}"
        headers = {
            "Authorization": f"Bearer {self.token}",
            "Team": arrival.team,
            "Request-Class": "urgent" if arrival.urgent else "ordinary",
            "Idempotent": "yes" if is_idempotent else "no",
        }
        path = f"/v1/services/{self.service}/seat?nonce={nonce}&ms={arrival.service_ms:.2f}"
        status, body = await self._get(path, headers)
        is_own = status != 200 or body.get("nonce") == nonce
        seconds = loop.time() - began
        record = RequestRecord(nonce, began, seconds, status, is_own, is_idempotent)
        self.requests.append(record)

    async def _get(self, path: str, headers: dict[str, str]) -> tuple[int, dict[str, Any]]:
        try:
            async with self.session.get(self._url() + path, headers=headers) as response:
                return response.status, await response.json()
        except (TimeoutError, ClientError, OSError):
            return 0, {}

    async def _id(self) -> str:
        while not self.ids:
            obtained = await self._client().obtain_ids(IDS_AHEAD)
            if isinstance(obtained, Err):
                await asyncio.sleep(LEAST_PAUSE_SECONDS)
            else:
                self.ids += obtained.ok_value
        return self.ids.pop()

    def _url(self) -> str:
        return self.urls[next(self.turns) % len(self.urls)]

    def _client(self) -> Client:
        url = self._url()
        client = self.clients.get(url)
        if client is None:
            client = self.clients[url] = Client(url, self.token)
            client.session = self.session
        return client


def _is_final(answer: JobAnswer | Refusal | ClientFailure) -> bool:
    if isinstance(answer, JobAnswer):
        return answer.state in (JobState.COMPLETE, JobState.FAILED)
    return isinstance(answer, Refusal) and answer.retry_after_ms is None


def _pause_seconds(answer: JobAnswer | Refusal | ClientFailure) -> float:
    if isinstance(answer, Refusal) and answer.retry_after_ms is not None:
        return max(answer.retry_after_ms / 1000, LEAST_PAUSE_SECONDS)
    return LEAST_PAUSE_SECONDS


def _job_record(
    id: str,
    answer: JobAnswer | Refusal | ClientFailure,
    arrival: JobArrival,
    began: float,
    seconds: float,
    submissions: int,
) -> JobRecord:
    is_complete = isinstance(answer, JobAnswer) and answer.state is JobState.COMPLETE
    failure = answer.failure if isinstance(answer, JobAnswer) else answer
    is_refusal = isinstance(failure, Refusal)
    is_own = not is_complete or _is_own_answer(id, answer, arrival)
    return JobRecord(
        id,
        began,
        seconds,
        len(arrival.run_ms),
        is_complete,
        failure.claim if is_refusal else None,
        failure.type.value if is_refusal else ("complete" if is_complete else "no answer"),
        is_own,
        submissions,
    )


def _is_own_answer(id: str, answer: JobAnswer, arrival: JobArrival) -> bool:
    """Tell whether the outputs are whole and belong to exactly this job."""
    expected = tuple(f"{id}/{index}/run_ms={ms:.1f}" for index, ms in enumerate(arrival.run_ms))
    return answer.outputs == expected
