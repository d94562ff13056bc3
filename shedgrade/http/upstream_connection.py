"""A connection to an upstream: sends a transmission and receives its response."""

import asyncio
import select
from collections.abc import Callable
from typing import Protocol

import httptools

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.buffers.flow import QUEUE_BYTES_UNDER_PRESSURE, SMALL_MESSAGE_BYTES, Flow, no_op
from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    OPTIONAL_WHITESPACE,
    Headers,
    ResponseError,
    content_length,
    end_to_end_headers,
)
from shedgrade.http.upstream_protocol import UpstreamProtocol
from shedgrade.in_flight import Answer, Transmission
from shedgrade.runtime.clock import Clock


class TransmissionEvents(Protocol):
    """The receiver of events of transmissions (`request_dispatch`).

    Times are tenths of a ms on the clock.
    """

    def attempt_finished(self, transmission: Transmission, outcome: int, answer: Answer | None) -> None:
        """Reports the end; `outcome` is one of `load_balancing`, `answer` the complete response."""

    def response_started(self, transmission: Transmission, answer: Answer, answered_at: int) -> None:
        """Reports a response that is forwarded as it comes; its head was complete at `answered_at`."""

    def may_still_send(self, transmission: Transmission, now: int) -> bool:
        """Whether a transmission whose connection has just opened is still to be sent."""

    def opened(self, transmission: Transmission) -> None:
        """Reports that the stream requested by the transmission is open."""


class ConnectionOwner(Protocol):
    """What a connection uses of its pool (`connection_pool`)."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    budget: Budget
    protocol: UpstreamProtocol
    dispatcher: TransmissionEvents
    last_response_at: dict[int, int]
    abandoned: set["UpstreamConnection"]
    count_header: bytes
    count_received: Callable[[int, bytes], None] | None

    def keep(self, link: "UpstreamConnection") -> None:
        """Takes back a connection whose response is complete, for the next transmission."""

    def closed(self, link: "UpstreamConnection") -> None:
        """Reports a lost connection."""


class UpstreamConnection(Connection):
    """A connection to an upstream, which carries one transmission at a time.

    Times are tenths of a ms on the clock. A long request or response is one whose body is forwarded while it
    is received.

    Attributes:
        transmission: the current transmission; None between two, and after it was given up.
        sending_begun: a byte of its request may have left this process.
        fully_sent: the last byte of its request has left this process.
        request_flow: the rest of a long request; None otherwise.
        response_flow: flow of a long response; None while the response is assembled in `body`.
        lost: the connection is closed.
        lost_by_error: it was not closed in order.
        eof_seen: the upstream has ended its sending, and earlier bytes wait for space in `response_flow`.
        any_response_complete: a response has been complete on this connection, so its setup is paid for.
        abandoned_until: the transmission was given up, and its response is awaited until then and dropped; 0:
            it was not given up.
        status: status of the response; 0 until its head is complete.
        headers, body: of the response.
        length: bytes of its head until that is complete, of its body from then on.
        stated_length: body length according to the head; None if the head states none.
        self_delimiting: the head states where the body ends; otherwise the end of the connection ends it.
        bodiless: the request was HEAD: no body follows, whatever length the head states.
        head_bytes_left: bytes that may still come before the head is complete.
        framed_bytes: bytes that have come after the head, including framing.
        complete: the response is complete.
        keep_alive: the connection may be used again after the response.
        answer: head of a long response, used again when the transmission ends.
        head_received_at: time when the head was complete.
        last_received_at: time when bytes last came, or when they last had to wait for their reader.
        feeding: a loop of `feed` is running.
        resume_scheduled: a callback that continues reading is scheduled.
        budgeted_bytes: size of `body`, which the budget counts.
    """

    def __init__(self, connections: ConnectionOwner, upstream: int, address: tuple[str, int]) -> None:
        super().__init__(connections.budget)
        self.connections = connections
        self.upstream = upstream
        self.address = address
        self.parser = httptools.HttpResponseParser(self)
        self.transmission: Transmission | None = None
        self.sending_begun = False
        self.fully_sent = False
        self.lost = False
        self.any_response_complete = False
        self.abandoned_until = 0
        self.request_flow: Flow | None = None
        self.response_flow: Flow | None = None
        self.eof_seen = False
        self.lost_by_error = False
        self.feeding = False
        self.resume_scheduled = False
        self.budgeted_bytes = 0
        self.head_received_at = 0
        self.last_received_at = 0
        self.reset_response()

    def reset_response(self) -> None:
        """Prepares for the next response."""
        self.add_to_budget(-self.budgeted_bytes)
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.length = 0
        self.status = 0
        self.stated_length: int | None = None
        self.head_bytes_left = MAX_HEAD_BYTES
        self.framed_bytes = 0
        self.complete = False
        self.keep_alive = False
        self.self_delimiting = False
        self.bodiless = False
        self.answer: Answer | None = None

    def add_to_budget(self, more: int) -> None:
        """Adds `more` to the bytes of the assembled body, which the budget counts."""
        self.budgeted_bytes += more
        self.connections.budget.bytes += more

    def begin(self, transmission: Transmission, now: int) -> None:
        """Sends a request.

        The remaining time in its headers counts from `now`; for a request that is still coming, from its last
        byte.
        """
        self.transmission = transmission
        self.sending_begun = False
        transmission.link = self
        transmission.first_on_connection = not self.any_response_complete
        self.reset_response()
        active_request = transmission.active_request
        request = active_request.request
        self.bodiless = request.verb == b"HEAD"
        wait = (
            active_request.timeout_ms
            if active_request.is_body_incomplete
            else (transmission.expires_at - now) // 10
        )
        lines = [b"%s %s HTTP/1.1\r\n" % (request.verb, request.target)]
        lines += [b"%s: %s\r\n" % pair for pair in request.headers]
        lines += self.connections.protocol.header_lines(transmission, max(1, wait))
        if request.flow is not None:
            lines.append(
                b"Transfer-Encoding: chunked\r\n"
                if request.length is None
                else b"Content-Length: %d\r\n" % request.length
            )
            self.begin_flow(request.flow, lines)
            return
        if request.body or request.verb not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(request.body))
        self.sending_begun = True
        self.fully_sent = self.write(b"".join(lines), b"\r\n", request.body)

    def begin_flow(self, flow: Flow, lines: list[bytes]) -> None:
        """Sends the head of a long request, and the part of its body that has come."""
        self.fully_sent = False
        self.request_flow = flow
        flow.on_data = self.send_flow
        if not flow.rewind():
            self.cut()
            return
        self.sending_begun = True
        if self.write(b"".join(lines), b"\r\n"):
            self.send_flow()

    def may_have_run(self) -> bool:
        """Whether the upstream may have begun to work on the request.

        An upstream may begin before it has received the whole body, so any byte that was sent counts.
        """
        return self.sending_begun

    def flushed(self) -> None:
        """Called when the kernel has all that was written."""
        if self.request_flow is not None:
            self.send_flow()
        else:
            self.fully_sent = True

    def send_flow(self) -> None:
        """Writes the bytes of a long request that have come, until the kernel takes no more."""
        flow = self.request_flow
        chunked = self.transmission is not None and self.transmission.active_request.request.length is None
        while flow is not None and flow is self.request_flow and not self.flushing:
            if flow.broken or flow.discarding or self.transmission is None:
                self.cut()
                return
            piece = flow.take()
            if piece:
                self.write(*((b"%x\r\n" % len(piece), piece, b"\r\n") if chunked else (piece,)))
            elif flow.ended:
                self.request_flow = None
                flow.on_data = no_op
                self.fully_sent = self.write(b"0\r\n\r\n") if chunked else True
            else:
                return

    def usable(self) -> bool:
        """Whether nothing has come on the idle connection, not even its end: a request can be sent."""
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def connection_lost(self, failure: Exception | None) -> None:
        """Called by the event loop: the connection is closed, which ends its transmission."""
        self.lost = True
        self.lost_by_error = failure is not None
        self.connections.closed(self)
        self.read_remaining()
        # Only a request of which nothing was sent never ran: a reset proves nothing.
        self.finish_transmission(load_balancing.DROPPED if self.may_have_run() else load_balancing.BROKEN)
        self.reset_response()
        self.release_rings()
        # The parser refers to this connection, which would otherwise wait for the garbage collector.
        self.parser = None  # type: ignore[assignment]

    def eof_received(self) -> bool:
        """Called by the event loop: the upstream has ended its sending.

        Returns whether the connection stays open: received bytes are then still waiting for the client.
        """
        if self.response_flow is not None and self.incoming:
            self.eof_seen = True
            return True
        self.read_remaining()
        return False

    def read_remaining(self) -> None:
        """Reads the remaining bytes, whatever space there is, as no more will come.

        The end of the connection completes a response that is not self-delimiting.
        """
        if self.transmission is None or self.parser is None:
            return
        if self.incoming and not self.complete:
            self.feed(True)
        ended = self.status and not self.self_delimiting and not self.lost_by_error
        if self.transmission is not None and not self.complete and ended:
            self.complete = True
            self.keep_alive = False
            self.response_complete()

    def last_progress_at(self) -> int:
        """Returns when bytes of a long response last came, or had to wait for their client."""
        if self.reading_paused or (self.response_flow is not None and self.response_flow.full()):
            self.last_received_at = self.connections.clock.now()
        return self.last_received_at

    def finish_transmission(self, outcome: int, answer: Answer | None = None) -> None:
        """Ends the transmission; `outcome` is one of `load_balancing`."""
        transmission = self.transmission
        self.transmission = None
        self.end_flows(outcome == load_balancing.COMPLETED)
        if transmission is not None:
            self.connections.dispatcher.attempt_finished(transmission, outcome, answer)

    def end_flows(self, complete: bool) -> None:
        """Ends the flows of the transmission, as complete or broken."""
        if self.request_flow is not None:
            self.request_flow.on_data = no_op
            self.request_flow = None
        flow = self.response_flow
        if flow is not None:
            self.response_flow = None
            flow.on_space = no_op
            if complete:
                flow.end()
            else:
                flow.break_off()

    def abort(self) -> None:
        """Closes the connection at once, without an outcome for its transmission."""
        self.transmission = None
        self.end_flows(False)
        self.cut()

    # --- reading

    def read(self) -> None:
        """Parses received bytes."""
        self.last_received_at = self.connections.clock.now()
        self.feed(False)
        if self.eof_seen and not self.incoming and not self.complete:
            self.read_remaining()
            self.cut()

    def feed(self, ignore_flow_limit: bool) -> None:
        """Parses while the flow of a long response has space; with `ignore_flow_limit`, in any case."""
        if self.feeding:
            return
        self.feeding = True
        while self.incoming and (
            ignore_flow_limit or self.response_flow is None or not self.response_flow.full()
        ):
            part = self.incoming.parts()[0]
            try:
                if (self.transmission is None and not self.abandoned_until) or self.complete:
                    raise ResponseError("received bytes without a pending request")
                if self.status:
                    self.framed_bytes += len(part)
                else:
                    self.head_bytes_left -= len(part)
                self.parser.feed_data(part)
                # Guards against an endless head or trailers: the parser would buffer them until memory is
                # exhausted.
                if self.head_bytes_left < 0 and not self.status:
                    raise ResponseError("head is too long")
                if self.framed_bytes > MAX_HEAD_BYTES + 64 * self.length:
                    raise ResponseError("too much framing for the body length")
                self.begin_flow_if_long()
            except (httptools.HttpParserError, ResponseError):
                # An invalid response is an error after which the request may have run. Bytes after a complete
                # response don't change it, but the connection can't be used again.
                if not self.complete:
                    self.finish_transmission(load_balancing.FAILED)
                self.cut()
                self.incoming.consume(len(self.incoming))
                break
            self.consume(len(part))
        self.feeding = False
        if self.complete:
            self.response_complete()

    def begin_flow_if_long(self) -> None:
        """Starts to forward a response as it comes, if it is too long to assemble or memory is scarce."""
        if self.complete or self.response_flow is not None or not self.length or not self.status:
            return
        if max(self.length, self.stated_length or 0) > SMALL_MESSAGE_BYTES or (
            self.length > QUEUE_BYTES_UNDER_PRESSURE and self.connections.budget.under_pressure()
        ):
            self.forward_as_flow()

    def long_response_has_begun(self) -> bool:
        """Called at the time limit. Returns whether a long response has begun, which counts as in time.

        A response that may become long is forwarded from now on.
        """
        if self.response_flow is not None:
            return True  # it has just begun, and the dispatcher handles that in this turn
        if (
            self.transmission is None
            or self.complete
            or (self.status // 100 != 2 or self.request_flow is not None or not self.fully_sent)
        ):
            return False
        if self.stated_length is not None and self.stated_length <= SMALL_MESSAGE_BYTES:
            return False
        self.forward_as_flow()
        return True

    def forward_as_flow(self) -> None:
        """Forwards the received part of a response, and the rest as it comes.

        Raises ResponseError if the response can't be forwarded.
        """
        if self.status // 100 != 2 or self.transmission is None or self.request_flow is not None:
            raise ResponseError(
                "response is too long to buffer, and no 2xx response to a completely sent request"
            )
        body = self.body
        self.body = []
        self.add_to_budget(-self.budgeted_bytes)
        flow = Flow(self.connections.budget, body)
        self.response_flow = flow
        flow.drop_replay()
        flow.on_space = self.schedule_resume
        headers = end_to_end_headers(self.headers)
        self.answer = Answer(headers, b"", self.status, flow, self.stated_length)
        self.connections.dispatcher.response_started(self.transmission, self.answer, self.head_received_at)

    def schedule_resume(self) -> None:
        """Continues reading as a long response has space again.

        Reading is scheduled, as this is called from within `Flow.take`, which may be called repeatedly.
        """
        if not self.resume_scheduled and self.incoming:
            self.resume_scheduled = True
            self.connections.loop.call_soon(self.resume_reading)

    def resume_reading(self) -> None:
        """Continues reading."""
        self.resume_scheduled = False
        if self.parser is not None and self.incoming:
            self.read()

    # --- callbacks of httptools

    def on_message_begin(self) -> None:
        """Called by the parser: a response begins."""
        # Guards against a second response: its body would be added to that of the first one.
        if self.complete:
            raise ResponseError("received a second response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser: a header or a trailer."""
        if self.status:  # a trailer, which is not forwarded
            return
        value = value.strip(OPTIONAL_WHITESPACE)
        self.headers.append((name, value))
        self.length += len(name) + len(value)
        if self.length > MAX_HEAD_BYTES:
            raise ResponseError("head is too long")

    def on_headers_complete(self) -> None:
        """Called by the parser: the head of an interim (1xx) or of the final response is complete."""
        status = self.parser.get_status_code()
        if status < 200:  # an interim response, which the final one follows
            if status == 101:
                raise ResponseError("status 101 without a request for an upgrade")
            self.headers = []
            return
        self.status = status
        self.length = 0
        self.stated_length = content_length(self.headers)
        self.head_received_at = self.connections.clock.now()
        self.self_delimiting = self.stated_length is not None or any(
            name.lower() == b"transfer-encoding" for name, _ in self.headers
        )
        if self.bodiless:
            # The parser would wait for the body whose length the head states, but none follows.
            self.complete = True
            self.keep_alive = False
        elif self.stated_length is not None and self.stated_length > MAX_BODY_BYTES:
            raise ResponseError("body is too long")

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a part of the body."""
        if self.bodiless:
            return
        self.length += len(body)
        if self.length > MAX_BODY_BYTES:
            raise ResponseError("body is too long")
        if self.response_flow is not None:
            self.response_flow.put(body)
        else:
            self.body.append(body)
            self.add_to_budget(len(body))

    def on_message_complete(self) -> None:
        """Called by the parser: an interim or the final response is complete."""
        if self.status:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    def response_complete(self) -> None:
        """Ends the transmission with its complete response, and keeps the connection if it is reusable."""
        reusable = self.fully_sent and self.keep_alive and not (self.transport.is_closing() or self.eof_seen)
        outcome = self.outcome()
        answer = None
        if outcome == load_balancing.COMPLETED:
            answer = self.answer or Answer(
                end_to_end_headers(self.headers),
                b"".join(self.body),
                self.status,
                length=self.stated_length if self.bodiless else None,
            )
        connections = self.connections
        connections.last_response_at[self.upstream] = connections.clock.now()
        if connections.count_received is not None:
            self.report_count(connections.count_received)
        self.any_response_complete = True
        self.abandoned_until = 0
        connections.abandoned.discard(self)
        self.add_to_budget(-self.budgeted_bytes)
        if reusable:
            connections.keep(self)
        else:
            self.cut()
        self.finish_transmission(outcome, answer)

    def outcome(self) -> int:
        """Returns the outcome for the complete response, one of `load_balancing`."""
        if (self.status // 100 == 2 or self.status == 304) and self.request_flow is None:
            return load_balancing.COMPLETED
        if self.connections.protocol.rejected_unprocessed(self.status, self.headers):
            return load_balancing.REJECTED
        return load_balancing.FAILED

    def report_count(self, callback: Callable[[int, bytes], None]) -> None:
        """Passes on the upstream's own count, from a header of its responses."""
        for name, value in self.headers:
            if name.lower() == self.connections.count_header:
                callback(self.upstream, value)
