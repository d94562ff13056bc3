"""A client's HTTP/1.1 connection: requests come in and are handled one at a time, final responses go out."""

import asyncio
import select

from shedgrade.buffers.flow import QUEUE_BYTES_UNDER_PRESSURE, Flow, no_op
from shedgrade.http.message_grammar import Headers
from shedgrade.http.request_parser import InboundFront, RequestError
from shedgrade.http.response_writer import ResponseWriter
from shedgrade.http.socket_state import hangup_poll, unread_in_kernel, unsent_bytes
from shedgrade.runtime.log import logger
from shedgrade.runtime.loop_errors import log_exception

# Within this time a request body must advance by BODY_PROGRESS_BYTES while it is read; slow clients send four
# times as much.
BODY_PROGRESS_TIMEOUT_S = 2.0
BODY_PROGRESS_BYTES = 16 * 1024
RESPONSE_READ_TIMEOUT_S = 5.0  # within which the client must read a response, or RESPONSE_READ_BYTES of it
# The same for a long response: in a test, the kernel of a client that reads 64 kB/s reported free space every
# 2 s, and one with a larger receive buffer may do so less often.
LONG_RESPONSE_READ_TIMEOUT_S = 20.0
RESPONSE_READ_BYTES = 32 * 1024  # a client that reads 64 kB/s takes more than this even in the shorter time


class InboundConnection(ResponseWriter):
    """Handles one request at a time. Later requests wait unparsed in the `incoming` ring, or parsed in
    `parsed_requests`. A long request or response is one whose body is forwarded while it is received.

    Attributes:
        reading: a loop of `read` is running.
        resume_scheduled: a callback that continues reading is scheduled.
        poll: detects that the client has disconnected; None until first used.
    """

    unique_headers: tuple[bytes, ...] = ()  # headers that make a request ambiguous if they are repeated

    def __init__(self, front: InboundFront) -> None:
        self.reading = False
        self.resume_scheduled = False
        self.poll: select.poll | None = None
        super().__init__(front)

    def take_request(
        self, verb: bytes, target: bytes, headers: Headers, body: bytes, flow: Flow | None = None
    ) -> None:
        """Handles a request: admits or answers it. `flow`: body of a long request, still arriving."""
        raise NotImplementedError

    def headers_by_name(self, headers: Headers) -> dict[bytes, bytes] | None:
        """Returns headers by lower-case name; None if one of `unique_headers` is repeated."""
        known: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in self.unique_headers and name in known:
                return None
            known[name] = value
        return known

    # --- the connection

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Called by the event loop when the connection is open."""
        super().connection_made(transport)
        self.front.opened(self)

    def connection_lost(self, failure: Exception | None) -> None:
        """Called by the event loop: the connection is closed, which ends the current request."""
        self.closing = True
        self.parsed_requests.clear()
        if self.active_request is not None:
            self.front.dispatcher.client_disconnected(self.active_request)
            self.active_request = None
        if self.request_flow is not None:
            self.request_flow.on_space = no_op
            self.request_flow.break_off()
        if self.response_flow is not None:
            self.response_flow.on_data = no_op
            self.response_flow.discard()
        self.request_flow = None
        self.response_flow = None
        self.reset_request()
        self.release_rings()
        self.front.closed(self)
        # The parser refers to this connection, which would otherwise wait for the garbage collector.
        self.parser = None  # type: ignore[assignment]

    def idle(self) -> bool:
        """Whether the connection is between two requests, with nothing unread in the kernel: closing it now
        loses no request.
        """
        return not (self.unanswered() or self.request_begun or self.has_unread_bytes())

    def has_unread_bytes(self) -> bool:
        """Whether bytes of the client wait to be parsed, here or in the kernel."""
        return bool(self.incoming) or unread_in_kernel(self.transport)

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, also if its FIN or reset is still unread in the kernel."""
        if self.transport.is_closing():
            return True
        if self.poll is None:
            self.poll = hangup_poll(self.transport)
        return bool(self.poll.poll(0))

    def unanswered(self) -> bool:
        """Whether a complete request has no response yet, or a response is still being written."""
        return (
            bool(self.parsed_requests)
            or self.active_request is not None
            or self.flushing
            or self.lingering
            or not (self.request_flow is None and self.response_flow is None)
        )

    def close(self) -> None:
        """Closes the connection, as the client has disconnected."""
        self.closing = True
        self.transport.close()

    def end(self) -> None:
        """Closes the connection once all responses are delivered."""
        self.closing = True
        self.finish()

    # --- timeouts

    def check_timeouts(self, now: float) -> None:
        """Ends a request that comes, or a response that is read, too slowly.

        Responds first where the client can still read a response. `now`: of the loop's clock.
        """
        if self.transport.is_closing():
            return
        if self.lingering and not unsent_bytes(self.transport):
            self.transport.close()
        elif self.flushing or self.response_flow is not None or self.lingering:
            self.check_response_progress(now)
        elif self.request_flow is not None:
            if self.request_stalled(now):
                self.abandon_request()
        elif self.active_request is not None or unread_in_kernel(self.transport):
            return
        elif self.request_begun:
            if (
                self.request_stalled(now)
                if self.head_complete
                else now - self.waiting_since > self.head_timeout_s
            ):
                self.closing = True
                self.answer(408)
        elif not self.any_request_complete and now - self.waiting_since > self.first_request_timeout_s:
            self.closing = True
            self.transport.close()

    def request_stalled(self, now: float) -> bool:
        """Whether a body does not advance although this side would read it."""
        flow_is_full = self.request_flow is not None and self.request_flow.full()
        if (
            self.bytes_received - self.progress_bytes >= BODY_PROGRESS_BYTES
            or flow_is_full
            or self.reading_paused
            or unread_in_kernel(self.transport)
        ):
            self.note_progress(self.bytes_received, now)
            return False
        return now - self.progress_at > BODY_PROGRESS_TIMEOUT_S

    def check_response_progress(self, now: float) -> None:
        """Resets the connection if the client does not read its response.

        What the client's kernel has acknowledged is seen in the send queue of this side's kernel.
        """
        unread = unsent_bytes(self.transport)
        taken = self.bytes_written - unread
        timeout_s = RESPONSE_READ_TIMEOUT_S if self.response_flow is None else LONG_RESPONSE_READ_TIMEOUT_S
        if not unread or taken - self.progress_bytes >= RESPONSE_READ_BYTES:
            self.note_progress(taken, now)
        elif now - self.progress_at > timeout_s:
            logger.info("response cut, client reads too slowly", written=self.bytes_written, unread=unread)
            self.break_off()

    def abandon_request(self) -> None:
        """Ends a long request whose body has stopped coming.

        408 tells the client that a retry is harmless. An upstream may have begun to work on a part of the
        request, so a request that must not run twice counts as failed if it was sent.
        """
        request = self.active_request
        flow = self.break_request_flow()
        self.closing = True
        if request is None and flow.discarding:
            self.finish()  # it was answered before its body was complete
        elif request is None or request.client_may_retry():
            self.answer(408)
        else:
            self.errored()

    # --- reading

    def read(self) -> None:
        """Handles buffered requests until one is pending.

        A response given from within does not start a second loop.
        """
        if self.reading:
            return
        if self.lingering:
            self.consume(len(self.incoming))
            return
        self.reading = True
        try:
            self.handle_buffered_requests()
        except Exception as failure:
            self.fail_request(failure)
        finally:
            self.reading = False

    def handle_buffered_requests(self) -> None:
        """Parses and takes requests until one is pending or the buffered bytes are used up."""
        while True:
            if self.request_flow is not None:
                if not self.incoming or self.request_flow.full() or self.parser is None:
                    break
                self.parse(self.incoming.parts()[0])
            elif (
                self.active_request is not None
                or self.flushing
                or self.closing
                or self.response_flow is not None
            ):
                break
            elif self.parsed_requests:
                self.take_next_request()
            elif self.incoming:
                self.parse(self.incoming.parts()[0])
            else:
                self.begin_partial_request()
                break

    def fail_request(self, failure: Exception) -> None:
        """Answers the current request after an exception in its handling, and closes the connection.

        A request that reached no dispatcher never ran. One that did is ended there.
        """
        log_exception("request handling failed", failure)
        request = self.active_request
        self.closing = True
        if request is not None:
            self.front.dispatcher.client_disconnected(request)
        if self.response_due and (request is None or request.client_may_retry()):
            self.exhausted(0)
        else:
            self.answer_failed()

    def parse(self, part: memoryview) -> None:
        """Parses bytes of the incoming ring, and starts what does not need the complete request."""
        self.feed(part)
        self.consume(len(part))
        if (
            self.request_flow is not None
            and self.parsed_requests
            and isinstance(self.parsed_requests[0], RequestError)
        ):
            self.reject_partial_request()
        else:
            self.begin_partial_request()

    def begin_partial_request(self) -> None:
        """Starts what does not need the complete body: admits a long request, or sends `100 Continue` to a
        client that waits for it. Nothing is started before the earlier requests are answered.
        """
        is_partial = self.request_begun and self.head_complete and self.request_flow is None
        if not is_partial or self.active_request is not None or self.parsed_requests or self.closing:
            return
        if self.length > self.flow_above_bytes or (
            self.length > QUEUE_BYTES_UNDER_PRESSURE and self.front.budget.under_pressure()
        ):
            self.begin_flow()
        elif self.expects_continue and not self.flushing:
            self.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def reject_partial_request(self) -> None:
        """Drops an incomplete long request that turned out to be invalid.

        Its last byte was not forwarded, so no upstream processed it.
        """
        self.request_begun = False
        was_active = self.active_request is not None
        flow = self.break_request_flow()
        if not was_active and not flow.discarding:
            return
        if self.closing:  # it has been answered already
            self.parsed_requests.clear()
            if not self.flushing and self.response_flow is None:
                self.finish()

    def break_request_flow(self) -> Flow:
        """Ends an incomplete long request. Returns its flow, which is marked as broken."""
        flow = self.request_flow
        active_request = self.active_request
        assert flow is not None
        self.request_flow = None
        self.active_request = None
        flow.on_space = no_op
        flow.break_off()
        if active_request is not None:
            self.front.dispatcher.client_disconnected(active_request)
        return flow

    def begin_flow(self) -> None:
        """Starts to forward a request while it comes in: it is too long to buffer, or memory is scarce."""
        body = self.body
        self.body = []
        self.add_to_budget(-self.budgeted_bytes)
        flow = Flow(self.front.budget, body)
        self.request_flow = flow
        flow.on_space = self.schedule_resume
        self.note_progress(self.bytes_received, self.front.loop.time())
        self.expects_continue = False
        self.response_due = True
        self.take_request(self.parser.get_method(), self.target, self.headers, b"", flow)

    def schedule_resume(self) -> None:
        """Continues reading as a long request has space again.

        Reading is scheduled, as this is called from within `Flow.take`, which may be called repeatedly.
        """
        if self.incoming and not self.resume_scheduled:
            self.resume_scheduled = True
            self.front.loop.call_soon(self.resume_reading)

    def resume_reading(self) -> None:
        """Continues reading, unless the client has disconnected."""
        self.resume_scheduled = False
        if self.parser is None:
            return
        if self.request_flow is not None and not self.request_flow.discarding and self.has_disconnected():
            # Guards against useless work: the rest of a long request is here, but its client has left.
            self.close()
            return
        self.read()

    def take_next_request(self) -> None:
        """Handles the next complete request, or answers an invalid one."""
        request = self.parsed_requests.popleft()
        self.response_due = True
        if isinstance(request, RequestError):
            self.request_method = b""
            self.closing = request.closing
            self.answer(request.status)
            return
        self.closing = request.closing
        self.take_request(request.method, request.target, request.headers, request.body)

    def flow_complete(self, flow: Flow) -> None:
        """Called when the last byte of a long request has come."""
        if self.active_request is not None and self.active_request.request.flow is flow:
            flow.end()
            self.front.dispatcher.body_received(self.active_request, flow.replay_chunks is not None, True)
        elif not self.flushing and self.response_flow is None:
            self.front.loop.call_soon(self.resume_or_close)

    def resume_or_close(self) -> None:
        """Continues after a request whose rest was discarded has come to its end."""
        if self.parser is not None and not self.flushing:
            self.response_sent()
