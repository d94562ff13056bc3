"""One connection of a client: HTTP/1.1 requests come in, one at a time is in hand, final responses go out."""

import asyncio
import select

from shedgrade.buffers.flow import PRESSED_QUEUE_BYTES, Flow, nothing
from shedgrade.http.message_grammar import Headers
from shedgrade.http.request_parser import InboundFront, RequestError
from shedgrade.http.response_writer import ResponseWriter
from shedgrade.http.socket_state import hangup_poll, unread_in_kernel, unsent_bytes
from shedgrade.runtime.log import logger

PROGRESS_TIMEOUT_S = 2.0  # within which so many bytes of a body must come, where they are read: slow clients
PROGRESS_BYTES = 16 * 1024  # send four times as much
TAKE_TIMEOUT_S = 5.0  # within which a response must be taken, or so many bytes of it
TAKE_LONG_TIMEOUT_S = 20.0  # the same for a long one: at 64 kB a second a reader's kernel was seen to tell of
# room every 2 s (a probe), and one that holds more may do so later
TAKE_BYTES = 32 * 1024  # such a reader takes more even in the shorter time


class InboundConnection(ResponseWriter):
    """Requests are taken up one at a time; what comes early waits in the ring, or parsed in `requests`.

    Attributes:
        reading: a loop of `read` is under way.
        resume_scheduled: a pass of the event loop that reads on is due.
        poll: for the client's disconnect; None until it was looked for.
    """

    unique_headers: tuple[bytes, ...] = ()  # headers of which a second one makes a request ambiguous

    def __init__(self, front: InboundFront) -> None:
        self.reading = False
        self.resume_scheduled = False
        self.poll: select.poll | None = None
        super().__init__(front)

    def take_request(
        self, verb: bytes, target: bytes, headers: Headers, body: bytes, flow: Flow | None = None
    ) -> None:
        """Takes up a request: admits it, or answers it. `flow`: of a long one, which is still coming."""
        raise NotImplementedError

    def headers_by_name(self, headers: Headers) -> dict[bytes, bytes] | None:
        """Headers by name in lower case; None if one of `unique_headers` comes twice."""
        known: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in self.unique_headers and name in known:
                return None
            known[name] = value
        return known

    # --- the connection

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """The connection is open."""
        super().connection_made(transport)
        self.front.opened(self)

    def connection_lost(self, failure: Exception | None) -> None:
        """The connection is closed: the client's end of whatever is in hand."""
        self.closing = True
        self.parsed_requests.clear()
        if self.active_request is not None:
            self.front.dispatcher.client_disconnected(self.active_request)
            self.active_request = None
        if self.request_flow is not None:
            self.request_flow.room = nothing
            self.request_flow.break_off()
        if self.response_flow is not None:
            self.response_flow.news = nothing
            self.response_flow.discard()
        self.request_flow = None
        self.response_flow = None
        self.reset_request()
        self.give_back()
        self.front.closed(self)
        # The parser holds on to this connection, which would wait for the collector.
        self.parser = None  # type: ignore[assignment]

    def idle(self) -> bool:
        """Whether it is between two requests, and nothing is unread in the kernel either: closing now loses
        no request."""
        return not (
            self.unanswered() or self.request_begun or self.incoming or unread_in_kernel(self.transport)
        )

    def has_left(self) -> bool:
        """Whether the client has disconnected: its end of file, or a reset, may be unread in the kernel."""
        if self.transport.is_closing():
            return True
        if self.poll is None:
            self.poll = hangup_poll(self.transport)
        return bool(self.poll.poll(0))

    def unanswered(self) -> bool:
        """Whether complete requests have no response yet, or one is still being written."""
        return (
            bool(self.parsed_requests)
            or self.active_request is not None
            or self.flushing
            or self.lingering
            or not (self.request_flow is None and self.response_flow is None)
        )

    def close(self) -> None:
        """The client has disconnected."""
        self.closing = True
        self.transport.close()

    def end(self) -> None:
        """Closes in order: responses are taken first."""
        self.closing = True
        self.finish()

    # --- time-outs

    def check_timeouts(self, now: float) -> None:
        """Ends what has taken too long to come or to be taken, with a response where one can still be
        read.
        """
        if self.transport.is_closing():
            return
        if self.lingering and not unsent_bytes(self.transport):
            self.transport.close()
        elif self.flushing or self.response_flow is not None or self.lingering:
            self.check_response_taken(now)
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
        """Whether a body does not come on, though it would be read."""
        held_back = self.request_flow is not None and self.request_flow.full()
        if (
            self.bytes_received - self.progress_bytes >= PROGRESS_BYTES
            or held_back
            or self.reading_paused
            or unread_in_kernel(self.transport)
        ):
            self.note_progress(self.bytes_received, now)
            return False
        return now - self.progress_at > PROGRESS_TIMEOUT_S

    def check_response_taken(self, now: float) -> None:
        """Guards against responses that are not taken: what the client's kernel has is seen in ours."""
        unread = unsent_bytes(self.transport)
        taken = self.bytes_written - unread
        timeout_s = TAKE_TIMEOUT_S if self.response_flow is None else TAKE_LONG_TIMEOUT_S
        if not unread or taken - self.progress_bytes >= TAKE_BYTES:
            self.note_progress(taken, now)
        elif now - self.progress_at > timeout_s:
            logger.info("response cut, client reads too slowly", written=self.bytes_written, unread=unread)
            self.break_off()

    def abandon_request(self) -> None:
        """The rest of a long request does not come: it never ran, and its client is told so if it listens."""
        self.break_request_flow()
        self.closing = True
        self.answer(408)

    # --- reading

    def read(self) -> None:
        """Goes on while nothing is in hand; a response given meanwhile does not start a second such loop."""
        if self.reading:
            return
        if self.lingering:
            self.used(len(self.incoming))
            return
        self.reading = True
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
        self.reading = False

    def parse(self, part: memoryview) -> None:
        """Parses bytes of the incoming ring, and begins what can be begun before a request is complete."""
        self.feed(part)
        self.used(len(part))
        if (
            self.request_flow is not None
            and self.parsed_requests
            and isinstance(self.parsed_requests[0], RequestError)
        ):
            self.reject_partial_request()
        else:
            self.begin_partial_request()

    def begin_partial_request(self) -> None:
        """Begins what can be begun of a request whose body is still coming: a long one is taken up, a client
        that waits for it is told to send. Not before the requests ahead of it are answered.
        """
        is_partial = self.request_begun and self.head_complete and self.request_flow is None
        if not is_partial or self.active_request is not None or self.parsed_requests or self.closing:
            return
        if self.length > self.flow_above_bytes or (
            self.length > PRESSED_QUEUE_BYTES and self.front.budget.pressed()
        ):
            self.begin_flow()
        elif self.expects_continue and not self.flushing:
            self.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def reject_partial_request(self) -> None:
        """A long request turns out to be none: it is not forwarded to its end, so it never ran."""
        self.request_begun = False
        in_hand = self.active_request is not None
        flow = self.break_request_flow()
        if not in_hand and not flow.discarding:
            return
        if self.closing:  # it has its answer already
            self.parsed_requests.clear()
            if not self.flushing and self.response_flow is None:
                self.finish()

    def break_request_flow(self) -> Flow:
        """A long request does not come to its end. Returns its flow, broken off."""
        flow = self.request_flow
        active_request = self.active_request
        assert flow is not None
        self.request_flow = None
        self.active_request = None
        flow.room = nothing
        flow.break_off()
        if active_request is not None:
            self.front.dispatcher.client_disconnected(active_request)
        return flow

    def begin_flow(self) -> None:
        """A request that is longer than is kept, or than there is room for, is taken up as it comes."""
        body = self.body
        self.body = []
        self.add_to_budget(-self.budgeted_bytes)
        flow = Flow(self.front.budget, body)
        self.request_flow = flow
        flow.room = self.schedule_resume
        self.note_progress(self.bytes_received, self.front.loop.time())
        self.expects_continue = False
        self.take_request(self.parser.get_method(), self.target, self.headers, b"", flow)

    def schedule_resume(self) -> None:
        """A long request has room again. Not from within the taking, which may go on."""
        if self.incoming and not self.resume_scheduled:
            self.resume_scheduled = True
            self.front.loop.call_soon(self.resume_reading)

    def resume_reading(self) -> None:
        """Reads on, unless the client has left."""
        self.resume_scheduled = False
        if self.parser is None:
            return
        if self.request_flow is not None and not self.request_flow.discarding and self.has_left():
            # Guards against work for nobody: the rest of a long request waits here, and its client has left.
            self.close()
            return
        self.read()

    def take_next_request(self) -> None:
        """Takes up the next complete request, or answers what is none."""
        request = self.parsed_requests.popleft()
        if isinstance(request, RequestError):
            self.request_method = b""
            self.closing = request.closing
            self.answer(request.status)
            return
        self.closing = request.closing
        self.take_request(request.method, request.target, request.headers, request.body)

    def flow_complete(self, flow: Flow) -> None:
        """The last byte of a long request has come."""
        if self.active_request is not None and self.active_request.request.flow is flow:
            flow.end()
            self.front.dispatcher.body_received(self.active_request, flow.taken is not None, True)
        elif not self.flushing and self.response_flow is None:
            self.front.loop.call_soon(self.resume_or_close)

    def resume_or_close(self) -> None:
        """What nobody took has come to its end."""
        if self.parser is not None and not self.flushing:
            self.response_sent()
