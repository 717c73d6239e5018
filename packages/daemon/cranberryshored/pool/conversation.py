"""The exchange with one held worker: looks that wait for ends, starts and stops."""

import asyncio

import attrs
from result import Err
from structlog.typing import FilteringBoundLogger

from cranberryshore.pool import HeldWorker, HoldState, Scheduler, StartRun, StopRun
from cranberryshored.pool.clock import LOOKS_AT_ONCE, AnswerTimes, Patience, TokenSource, now
from cranberryshored.pool.protocols import Look, LookFailure, StartReply, WorkerCalls
from cranberryshored.tasks import end_tasks, start_task

LOOK_WAIT_MS = 150
"""A look waits so long for an end. The lease lasts 1 s, so several may be lost; and if one is lost,
ends go unnoticed for so long."""

CONFIRM_SECONDS = 1.0
"""An idle worker is told after so long that its last ends were taken note of; 4 s are allowed."""

TAKING_JUMPS = 4
"""A new holder's token jumps 1, 2, 4 and 8 s ahead: clocks of instances differ by seconds."""

TAKING_SECONDS = 0.1
"""First looks wait longer: all workers are looked at together, over new connections."""

RETRY_SECONDS = 0.15
"""Pause between further looks at a worker that does not answer."""


@attrs.define(eq=False)
class Conversation:
    """Keeps the account of one worker true while anything is under way there.

    Parameters
    ----------
    worker : HeldWorker
        The worker.
    scheduler : Scheduler
        Told of every answer.
    calls : WorkerCalls
        Speaks to the worker.
    tokens : TokenSource
        Draws a higher token when orders must be voided.
    patience : Patience
        How long answers are waited for.
    on_change : callable
        Called after the scheduler was told something.
    """

    worker: HeldWorker
    scheduler: Scheduler
    calls: WorkerCalls
    tokens: TokenSource
    patience: Patience
    on_change: object
    log: FilteringBoundLogger
    wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    task: asyncio.Task | None = None
    orders: set[asyncio.Task] = attrs.field(factory=set)
    is_looking: bool = False
    is_look_wanted: bool = False
    failed_looks: int = 0
    answers: AnswerTimes = attrs.field(
        default=attrs.Factory(lambda self: AnswerTimes(self.patience), takes_self=True)
    )

    def start(self) -> None:
        """Begin to look."""
        self.task = start_task(self._run(), self.log)

    async def close(self) -> None:
        """Stop looking; orders that are under way are abandoned."""
        await end_tasks([self.task, *self.orders])

    def begin(self, order: StartRun | StopRun) -> None:
        """Send an order to the worker."""
        carry_out = self._start_run if isinstance(order, StartRun) else self._stop_run
        self._spawn(carry_out(order))
        self.wake.set()

    def look_now(self) -> None:
        """Look without waiting for an end, beside a look that waits already.

        A worker on which nothing runs is looked at as well.
        """
        if self.is_looking:
            self._spawn(self._look(0))
        else:
            self.is_look_wanted = True
            self.wake.set()

    def _spawn(self, work) -> None:
        task = start_task(work, self.log)
        self.orders.add(task)
        task.add_done_callback(self.orders.discard)

    async def _start_run(self, order: StartRun) -> None:
        worker = self.worker
        asked_at = now()
        reply = await self.calls.start_run(worker, order, self.answers.seconds(self.failed_looks))
        if reply is not StartReply.UNANSWERED:
            self.answers.answered(now() - asked_at)
        if reply is StartReply.STARTED:
            self.scheduler.start_answered(worker.name, order.key, now())
            return
        self.log.info(
            "Start was not answered." if reply is StartReply.UNANSWERED else "Start was refused.",
            worker=worker.name,
            job=order.key[0],
            attempt=order.key[1],
            token=order.token,
            reply=reply.value,
        )
        if reply is StartReply.UNANSWERED:
            self.scheduler.start_unanswered(worker.name, self.tokens.next(), now())
        elif reply is StartReply.FENCED and order.token == worker.token:
            self.scheduler.fenced(worker.name, now())
        else:
            is_low = reply is StartReply.ATTEMPT_LOW
            self.scheduler.start_rejected(worker.name, order.key, is_low, now())
        self.on_change()

    async def _stop_run(self, order: StopRun) -> None:
        await self.calls.stop_run(self.worker, order, self.answers.seconds(self.failed_looks))

    def _needs_look(self) -> bool:
        worker = self.worker
        if worker.state is HoldState.LOST:
            return False
        is_idle = not worker.runs and not worker.strangers and worker.state is HoldState.HELD
        return self.is_look_wanted or not is_idle

    async def _run(self) -> None:
        while True:
            self.wake.clear()
            if self._needs_look():
                await self._look(self._wait_ms())
                if self.failed_looks > LOOKS_AT_ONCE:
                    await asyncio.sleep(RETRY_SECONDS)
            elif self.worker.last_seen > self.worker.acknowledged_end:
                await self._sleep(CONFIRM_SECONDS)
                if not self.wake.is_set() and self.worker.state is HoldState.HELD:
                    await self._look(0)
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
        if self.is_look_wanted or worker.state is not HoldState.HELD:
            return 0
        return 20 if worker.strangers else LOOK_WAIT_MS

    async def _look(self, wait_ms: int) -> None:
        worker = self.worker
        self.is_look_wanted = False
        asked_at, token, last_seen = now(), worker.token, worker.last_seen
        lease_end_ms = worker.lease_end_ms(asked_at)
        if lease_end_ms is not None:
            worker.lease_extended_at = asked_at
        self.is_looking = True
        look = Look(token, last_seen, lease_end_ms, wait_ms)
        seconds = wait_ms / 1000 + self.answers.seconds(self.failed_looks)
        if worker.state is HoldState.ACQUIRING:
            seconds += TAKING_SECONDS
        answer = await self.calls.look(worker, look, seconds)
        self.is_looking = False
        if isinstance(answer, Err):
            self._look_failed(answer.err_value, token)
        else:
            if not wait_ms:
                self.answers.answered(now() - asked_at)
            self.failed_looks = 0
            worker.acknowledged_end = max(worker.acknowledged_end, last_seen)
            was = worker.state
            self.scheduler.record_status(worker.name, answer.ok_value, token, asked_at, now())
            if was is not worker.state:
                self.log.info(
                    "Worker answers.",
                    worker=worker.name,
                    token=token,
                    running=len(answer.ok_value.running),
                    strangers=len(worker.strangers),
                )
        self.on_change()

    def _fenced(self) -> None:
        """Jump ahead while taking over, since clocks may differ; else leave the worker."""
        worker = self.worker
        if worker.state is HoldState.ACQUIRING and self.failed_looks <= TAKING_JUMPS:
            worker.raise_token(self.tokens.jump(2.0 ** (self.failed_looks - 1)))
            return
        self.scheduler.fenced(worker.name, now())

    def _look_failed(self, failure: LookFailure, token: int) -> None:
        worker = self.worker
        self.failed_looks += 1
        if self.failed_looks == 1:
            self.log.warning("Look failed.", worker=worker.name, reason=failure.value, token=token)
        if failure is LookFailure.FENCED:
            if token == worker.token:
                self._fenced()
            return
        self.scheduler.record_poll_failure(worker.name, self.failed_looks, now())
