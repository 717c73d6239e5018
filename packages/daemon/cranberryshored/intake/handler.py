"""HTTP protocol that hands complete requests to aiohttp, one at a time for each connection."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from cranberryshore.intake import IntakeCause, Phase, Progress, RequestFramer
from cranberryshored.intake.guard import MAX_LINGERING, ListenerGuard
from cranberryshored.intake.replies import refusal_reply

LINGER_SECONDS = 1.0
"""Time for which the input of a refused client is discarded, so that closing the connection does
not reset it before the client has read the response."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BAD_REQUEST = 400


class GuardedHandler(RequestHandler):
    """aiohttp's protocol behind the limits of a guard.

    Parameters
    ----------
    listener : ListenerGuard
        Guard of the address.
    is_pending, pending_bytes : bool, int
        Whether a request was handed over and is not answered yet, and its size.
    is_refused : bool
        Whether the connection is about to be closed; its input is discarded.
    is_overrun : bool
        Whether requests sent in advance were dropped; the connection ends after the response.
    is_held : bool
        Whether the guard does not read the connection.
    """

    __slots__ = (
        "__weakref__",
        "discarded",
        "framer",
        "has_sent_continue",
        "is_body_paused",
        "is_held",
        "is_lingering",
        "is_overrun",
        "is_pending",
        "is_refused",
        "listener",
        "pending_bytes",
        "progress",
    )

    def __init__(self, listener: ListenerGuard, server: web.Server, **options: Any) -> None:
        super().__init__(server, **options)
        self.listener = listener
        self.framer = RequestFramer(listener.guard.limits.frame)
        self.progress: Progress | None = None
        self.is_pending = self.is_refused = self.is_held = self.is_body_paused = False
        self.is_lingering = self.is_overrun = self.has_sent_continue = False
        self.discarded = self.pending_bytes = 0

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or refuse it if no place is free."""
        if self.listener.admit(self, self._loop.time()):
            super().connection_made(transport)
            return
        self.is_refused = True
        self.listener.guard.report(IntakeCause.NO_CONNECTION, self.listener)
        transport.write(refusal_reply(IntakeCause.NO_CONNECTION, self.listener.body_format))
        transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release everything that the connection holds."""
        self._forget()
        self.listener.guard.blocked.pop(self, None)
        if self.is_lingering:
            self.is_lingering = False
            self.listener.guard.lingering -= 1
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Buffer the input, and hand over a request when it is complete."""
        if not data:
            # aiohttp resumes the parsing of a request that was handed over.
            super().data_received(data)
            return
        if self.is_refused:
            self._discard(len(data))
            return
        if self.is_overrun:
            return
        framer, guard = self.framer, self.listener.guard
        is_small = len(data) <= guard.limits.settings.small_bytes
        if is_small and not self.is_pending and framer.is_whole_request(data):
            self._hand_over(data)
            return
        framer.feed(data)
        if self.is_pending:
            self._keep_pipelined()
            self._update_reading()
        else:
            self._advance()

    def _keep_pipelined(self) -> None:
        """Keep requests sent in advance, or drop them if memory is short."""
        budget = self.listener.guard.budget
        budget.hold(self, self.pending_bytes + len(self.framer.buffer))
        if budget.is_exceeded() and self.framer.buffer:
            self.is_overrun = True
            self.framer.clear()
            budget.hold(self, self.pending_bytes)
        self._mark_ahead()

    def pause_reading(self) -> None:
        """Pause, as the handler reads a body more slowly than it is parsed."""
        self.is_body_paused = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume unless the guard holds the connection."""
        self.is_body_paused = False
        super().resume_reading(resume_parser)
        if self.is_held and self.transport is not None:
            self.transport.pause_reading()

    def pause_writing(self) -> None:
        """Record that the client does not read its response."""
        super().pause_writing()
        self.listener.guard.blocked[self] = self._loop.time()
        self.listener.guard.schedule_sweep()

    def resume_writing(self) -> None:
        """Record that the client reads its response."""
        self.listener.guard.blocked.pop(self, None)
        super().resume_writing()

    def close(self) -> None:
        """Close after the current response; an incomplete request is refused."""
        if self.framer.received and not self.is_pending and not self.is_refused:
            self.refuse(IntakeCause.CLOSING)
        super().close()

    # Events of aiohttp

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; then the next request may be handed over."""
        result = await super().finish_response(request, resp, start_time)
        if result[0].keep_alive:
            # Input that the handler has not read is read first; aiohttp closes otherwise.
            request.content.on_eof(self._request_ended)
        return result

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that aiohttp's parser rejects, without a traceback in the log."""
        if status != BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        self.listener.guard.report(IntakeCause.MALFORMED, self.listener)
        body = self.listener.body_format(IntakeCause.MALFORMED)
        response = web.Response(
            body=body,
            status=status,
            content_type="application/json",
            headers={"Connection": "close"},
        )
        response.force_close()
        return response

    def _request_ended(self) -> None:
        if self.framer.buffer:
            # The end of a body is reported from within the parser.
            self._loop.call_soon(self._next)
        else:
            self._next()

    def _next(self) -> None:
        self.is_pending = self.has_sent_continue = False
        if self.transport is None or self.transport.is_closing() or self.is_refused:
            return
        table = self.listener.table
        self.listener.guard.release(self)
        if self.is_overrun:
            self.refuse(IntakeCause.NO_MEMORY)
            return
        if table.phases.get(self) is Phase.LEAVING and self.framer.buffer:
            self.refuse(IntakeCause.NO_CONNECTION)
            return
        table.set_phase(self, Phase.IDLE, self._loop.time())
        if self.framer.buffer:
            self._advance()
        elif self.is_held:
            self._update_reading()

    # Requests

    def _advance(self) -> None:
        guard, framer = self.listener.guard, self.framer
        refusal = framer.examine()
        if refusal is not None:
            self.refuse(refusal)
            return
        needed = framer.reservation_bytes(guard.limits.settings.small_bytes)
        if needed and not guard.budget.reserve(self, needed, self._loop.time()):
            self._record_progress()
            self._update_reading()
            return
        request = framer.advance()
        if request is None:
            self._record_progress()
        elif isinstance(request, IntakeCause):
            self.refuse(request)
        else:
            self._hand_over(request)
        self._update_reading()

    def _hand_over(self, request: bytes) -> None:
        guard = self.listener.guard
        if self.progress is not None:
            guard.receiving.pop(self, None)
            self.progress = None
        self.is_pending = True
        self.pending_bytes = len(request)
        self.listener.table.set_phase(self, Phase.PENDING, self._loop.time())
        if self.framer.buffer:
            self._keep_pipelined()
        else:
            guard.budget.hold(self, self.pending_bytes)
        if guard.budget.reserved:
            guard.budget.mark_pending(self)
        super().data_received(request)

    def _mark_ahead(self) -> None:
        """Record that the client sends more before it has received its response."""
        table = self.listener.table
        if table.phases.get(self) is Phase.PENDING:
            table.set_phase(self, Phase.AHEAD, self._loop.time())

    def _record_progress(self) -> None:
        framer, now = self.framer, self._loop.time()
        if not framer.received:
            # Only empty lines so far.
            return
        if self.progress is None:
            self.progress = Progress(now, now)
        self.progress.moved_at = now
        if framer.framing is not None:
            if self.progress.body_began_at is None:
                self.progress.body_began_at = now
            self._send_continue()
        self.listener.table.set_phase(self, Phase.RECEIVING, now)
        self.listener.guard.start_receiving(self, self.listener)

    def _send_continue(self) -> None:
        is_expected = self.framer.framing.expects_continue and not self.has_sent_continue
        if is_expected and self not in self.listener.guard.budget.waiting:
            self.has_sent_continue = True
            self.transport.write(CONTINUE)

    def memory_granted(self) -> None:
        """Continue to read a request that waited for memory."""
        if self.progress is not None:
            self.progress.moved_at = self.progress.body_began_at = self._loop.time()
        self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        if self.transport is not None and not self.is_pending and not self.is_refused:
            self._advance()

    def _update_reading(self) -> None:
        """Read the connection unless it waits for memory or sends requests in advance."""
        guard = self.listener.guard
        is_full = len(self.framer.buffer) >= guard.limits.settings.small_bytes
        is_ahead = self.is_pending and (is_full or self.is_overrun)
        is_held = not self.is_refused and (is_ahead or self in guard.budget.waiting)
        if is_held is self.is_held:
            return
        self.is_held = is_held
        if self.transport is None or self.transport.is_closing():
            return
        if is_held:
            self.transport.pause_reading()
        elif not self.is_body_paused:
            self.transport.resume_reading()

    # Refusals

    def refuse(self, cause: IntakeCause) -> None:
        """Send a refusal, and close the connection when the client has read it.

        Only for connections without a pending request, so the job has not run.
        """
        if self.is_refused or self.transport is None:
            return
        guard = self.listener.guard
        self.is_refused = True
        self._forget()
        guard.report(cause, self.listener)
        self.transport.write(refusal_reply(cause, self.listener.body_format))
        if guard.lingering >= MAX_LINGERING or cause is IntakeCause.NO_CONNECTION:
            self.force_close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The client has closed the connection.
            self.force_close()
            return
        guard.lingering += 1
        self.is_lingering = True
        self._update_reading()
        self._loop.call_later(LINGER_SECONDS, self.force_close)

    def end(self, cause: IntakeCause) -> None:
        """Close the connection without a response."""
        if self.is_refused or self.transport is None:
            return
        self.is_refused = True
        self.listener.guard.report(cause, self.listener)
        self._forget()
        transport = self.transport
        self.force_close()
        transport.abort()

    def _discard(self, count: int) -> None:
        frame = self.listener.guard.limits.frame
        self.discarded += count
        if self.discarded > frame.head_bytes + frame.body_bytes:
            self.force_close()

    def _forget(self) -> None:
        self.framer.clear()
        self.progress = None
        self.listener.guard.release(self)
        self.listener.table.remove(self)
