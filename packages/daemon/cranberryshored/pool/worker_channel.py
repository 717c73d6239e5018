"""Requests to one held worker: long polls for ended runs, starts and stops."""

import asyncio

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import HeldWorker, HoldState, Scheduler, StartRun, StopRun, polling
from cranberryshored.pool.clock import (
    IMMEDIATE_RETRIES,
    BaseTimeout,
    TokenSource,
    WorkerTimeout,
    now,
)
from cranberryshored.pool.protocols import PollFailure, PollRequest, StartReply, WorkerCalls
from cranberryshored.tasks import cancel_tasks, failures_logged, start_task

ACK_DELAY_SECONDS = 1.0
"""Delay before the last ended runs of an idle worker are acknowledged, which must happen within
4 s."""

TAKEOVER_TOKEN_RETRIES = 4
"""A worker that rejects the token of a new holder is polled again with a token advanced by 1, 2, 4
and 8 s, because the clocks of instances may differ by seconds."""

TAKEOVER_EXTRA_SECONDS = 0.1
"""Additional timeout of the first polls, which go to all workers together over new connections."""

RETRY_SECONDS = 0.15
"""Delay between polls of a worker after repeated failures."""

FAILED_CALLS = (
    StartReply.REFUSED,
    StartReply.CLOSED,
    StartReply.DISCONNECTED,
    StartReply.UNANSWERED,
)

PAUSING_REPLIES = (
    StartReply.NO_ROOM,
    StartReply.UNHEALTHY,
    StartReply.LEASE_EXPIRED,
    StartReply.WORKER_RESTARTED,
)
"""Rejections that do not concern one order only, so the next start would be rejected as well."""


@attrs.define(eq=False)
class WorkerChannel:
    """Sends orders to one worker, and polls it unless it is idle.

    Parameters
    ----------
    tokens : TokenSource
        Generates a higher token when earlier orders must be invalidated.
    on_change : callable
        Called after the scheduler was notified.
    request_tasks : set of asyncio.Task
        Orders in progress, and polls that run in parallel with a long poll.
    latest_failure : PollFailure or None
        Why the latest failed poll has failed.
    """

    worker: HeldWorker
    scheduler: Scheduler
    calls: WorkerCalls
    tokens: TokenSource
    base_timeout: BaseTimeout
    on_change: object
    log: FilteringBoundLogger
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task | None = None
    request_tasks: set[asyncio.Task] = attrs.field(factory=set)
    is_polling: bool = False
    is_poll_requested: bool = False
    failed_polls: int = 0
    latest_failure: PollFailure | None = None
    timeout: WorkerTimeout = attrs.field(
        default=attrs.Factory(lambda self: WorkerTimeout(self.base_timeout), takes_self=True)
    )

    def start(self) -> None:
        """Start polling."""
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop polling and abandon the requests in progress."""
        await cancel_tasks([self.task, *self.request_tasks])

    def send_order(self, order: StartRun | StopRun) -> None:
        """Send an order to the worker."""
        send = self._start_run if isinstance(order, StartRun) else self._stop_run
        self._spawn(send(order))
        self.wake.set()

    def poll_now(self) -> None:
        """Poll even an idle worker at once, in parallel with a long poll in progress."""
        if self.is_polling:
            self._spawn(self._poll(0))
        else:
            self.is_poll_requested = True
            self.wake.set()

    def _spawn(self, work) -> None:
        task = start_task(work, self.log)
        self.request_tasks.add(task)
        task.add_done_callback(self.request_tasks.discard)

    async def _start_run(self, order: StartRun) -> None:
        worker = self.worker
        request_sent_at = now()
        if self._has_lapsed(order):
            self._withhold("Start was not sent; its lease has ended.", order)
            return
        if worker.is_evacuated:
            self._withhold("Start was not sent; the zone of the worker is evacuated.", order)
            return
        reply = await self.calls.start_run(worker, order, self.timeout.seconds(self.failed_polls))
        if reply not in FAILED_CALLS:
            self.timeout.answered(now() - request_sent_at)
        if reply is StartReply.STARTED:
            self.scheduler.start_confirmed(worker.name, order.key, now())
            return
        self.log.info(
            "Start request failed." if reply in FAILED_CALLS else "Start was rejected.",
            worker=worker.name,
            job=order.key[0],
            attempt=order.key[1],
            token=order.token,
            reply=reply.value,
        )
        if reply is StartReply.CLOSED:
            self.scheduler.worker_closed(worker.name, now())
        if reply is StartReply.REFUSED:
            # The request was not delivered, since nothing listens there.
            self.scheduler.start_rejected(worker.name, order.key, False, now())
            self.scheduler.worker_refuses(worker.name, now())
            self.poll_now()
        elif reply is StartReply.MALFORMED or reply in FAILED_CALLS:
            # A response that cannot be read does not prove that the run never begins.
            token = self.tokens.next(worker.token)
            self.scheduler.start_unanswered(worker.name, token, now())
        else:
            if reply is StartReply.FENCED and order.token == worker.token:
                self.scheduler.fenced(worker.name, now())
            is_low, is_paused = reply is StartReply.ATTEMPT_LOW, reply in PAUSING_REPLIES
            self.scheduler.start_rejected(worker.name, order.key, is_low, now(), is_paused)
        self.on_change()

    def _withhold(self, sentence: str, order: StartRun) -> None:
        self.log.info(sentence, worker=self.worker.name)
        self.scheduler.start_rejected(self.worker.name, order.key, False, now())
        self.on_change()

    def _has_lapsed(self, order: StartRun) -> bool:
        """Return whether the lease of a start has ended while this process stood still."""
        offset_ms = self.worker.clock_offset_ms
        return offset_ms is not None and now() * 1000 + offset_ms >= order.lease_end_ms

    async def _stop_run(self, order: StopRun) -> None:
        await self.calls.stop_run(self.worker, order, self.timeout.seconds(self.failed_polls))

    def _needs_poll(self) -> bool:
        worker = self.worker
        if worker.state is HoldState.LOST:
            return False
        is_idle = not worker.runs and not worker.strangers and worker.state is HoldState.HELD
        return self.is_poll_requested or not is_idle

    async def _run(self) -> None:
        while True:
            self.wake.clear()
            if self._needs_poll():
                with failures_logged(self.log, "status", worker=self.worker.name):
                    await self._poll(self._wait_ms())
                if self.failed_polls > IMMEDIATE_RETRIES:
                    await asyncio.sleep(RETRY_SECONDS)
            elif self.worker.last_seen > self.worker.acknowledged_end:
                await self._sleep(ACK_DELAY_SECONDS)
                if not self.wake.is_set() and self.worker.state is HoldState.HELD:
                    await self._poll(0)
            else:
                await self.wake.wait()

    async def _sleep(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            return

    def _wait_ms(self) -> int:
        worker = self.worker
        if self.is_poll_requested or worker.state is not HoldState.HELD:
            return 0
        # Foreign runs block new tasks until they are adopted or stopped, so their ends are polled
        # more often.
        if worker.strangers:
            return 20
        return int(1000 * polling.wait_seconds(len(self.scheduler.workers)))

    async def _poll(self, wait_ms: int) -> None:
        worker = self.worker
        self.is_poll_requested = False
        request_sent_at, token, last_seen = now(), worker.token, worker.last_seen
        lease_end_ms = self.scheduler.lease_end_ms(worker, request_sent_at)
        lease_until = float("-inf")
        if lease_end_ms is not None:
            worker.lease_extended_at = request_sent_at
            lease_until = worker.lease_end_at(lease_end_ms)
        self.is_polling = True
        poll = PollRequest(token, last_seen, lease_end_ms, wait_ms)
        seconds = wait_ms / 1000 + self.timeout.seconds(self.failed_polls)
        if worker.state is HoldState.ACQUIRING:
            seconds += TAKEOVER_EXTRA_SECONDS
        answer = Err(PollFailure.MALFORMED)
        with failures_logged(self.log, "poll", worker=worker.name):
            answer = await self.calls.poll(worker, poll, seconds)
        self.is_polling = False
        if isinstance(answer, Err):
            self._poll_failed(answer.err_value, token)
        else:
            if not wait_ms:
                self.timeout.answered(now() - request_sent_at)
            self.failed_polls = 0
            worker.acknowledged_end = max(worker.acknowledged_end, last_seen)
            previous_state, previous_born = worker.state, worker.born
            self.scheduler.record_status(
                worker.name, answer.ok_value, token, request_sent_at, now(), lease_until
            )
            if previous_state is not worker.state:
                self.log.info(
                    "Worker responds.",
                    worker=worker.name,
                    born=worker.born,
                    registered_born=worker.registered_born,
                    token=token,
                    running=len(answer.ok_value.running),
                    strangers=len(worker.strangers),
                )
            if worker.born != previous_born and not worker.is_registration_current():
                self.log.info(
                    "Registration is of another start of the worker; waiting for the present one.",
                    worker=worker.name,
                    born=worker.born,
                    registered_born=worker.registered_born,
                )
        self.on_change()

    def _fenced(self) -> None:
        """Advance the token during a takeover, since clocks may differ; else give up the worker."""
        worker = self.worker
        if worker.state is HoldState.ACQUIRING and self.failed_polls <= TAKEOVER_TOKEN_RETRIES:
            seconds = 2.0 ** (self.failed_polls - 1)
            worker.raise_token(self.tokens.advance(worker.token, seconds))
            return
        self.scheduler.fenced(worker.name, now())

    def _poll_failed(self, failure: PollFailure, token: int) -> None:
        worker = self.worker
        # A poll in parallel may fail when the polling waits because the worker is idle.
        self.wake.set()
        self.failed_polls += 1
        before, self.latest_failure = self.latest_failure, failure
        if self.failed_polls == 1 or failure is not before:
            self.log.warning("Poll failed.", worker=worker.name, reason=failure.value, token=token)
        if failure is PollFailure.FENCED:
            # The token may have been raised since the poll was sent.
            if token == worker.token:
                self._fenced()
            return
        if failure is PollFailure.CLOSED:
            self.scheduler.worker_closed(worker.name, now())
        self.scheduler.record_poll_failure(worker.name, self.failed_polls, now())
        if failure is PollFailure.REFUSED:
            self.scheduler.worker_refuses(worker.name, now())
        elif failure is PollFailure.WORKER_RESTARTED:
            self.scheduler.worker_replaced(worker.name, now())
