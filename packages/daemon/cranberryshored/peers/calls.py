"""Remote calls between peers."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
from typing import Any

import attrs
from structlog.typing import FilteringBoundLogger

from cranberryshore.messages import PeerCall, PeerReply, decode_message
from cranberryshore.messages.codec import encode_message
from cranberryshored.tasks import cancel_tasks
from cranberryshored.transport import Transport

CallHandler = Callable[[Any], Awaitable[Any]]


@attrs.define(eq=False)
class PeerCalls:
    """Calls peers, and runs the handlers of their calls.

    Replies are matched to calls by number; late and duplicate replies are ignored.
    """

    transport: Transport
    own_address: str
    log: FilteringBoundLogger
    handlers: dict[type, CallHandler] = attrs.field(factory=dict)
    call_numbers: count = attrs.field(factory=lambda: count(1))
    waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    async def start(self) -> None:
        """Do nothing: calls arrive through :meth:`on_call`."""

    async def close(self) -> None:
        """Cancel the handlers of peers' calls that are in progress."""
        await cancel_tasks(self.tasks)

    async def call(self, address: str, target: str, question: Any, timeout: float) -> Any | None:
        """Call a peer and return its answer, or ``None`` after ``timeout`` seconds."""
        number = next(self.call_numbers)
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        part = encode_message(question)
        self.transport.send(
            address, target, PeerCall(number, self.own_address, part.kind, part.body)
        )
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return None
        finally:
            del self.waiting[number]

    def on_call(self, sender: str, call: PeerCall) -> None:
        """Start the handler of a peer's call."""
        question = decode_message(call.kind, call.body)
        handler = self.handlers.get(type(question))
        if handler is None:
            self.log.warning("Ignored a call of an unknown kind.", kind=call.kind, sender=sender)
            return
        task = asyncio.create_task(self._handle_call(sender, call, handler, question))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_reply(self, reply: PeerReply) -> None:
        """Deliver a reply to the caller that waits for it."""
        future = self.waiting.get(reply.number)
        if future is not None and not future.done():
            future.set_result(decode_message(reply.kind, reply.body))

    async def _handle_call(
        self, sender: str, call: PeerCall, handler: CallHandler, question: Any
    ) -> None:
        answer = await handler(question)
        part = encode_message(answer)
        reply = PeerReply(call.number, part.kind, part.body)
        self.transport.send(call.reply_to, sender, reply)
