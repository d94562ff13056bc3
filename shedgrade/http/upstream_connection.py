"""One connection to an upstream: a transmission goes out, and its answer comes back."""

import asyncio
import select
from collections.abc import Callable
from typing import Protocol

import httptools

from shedgrade import load_balancing
from shedgrade.buffers.budget import Budget
from shedgrade.buffers.flow import PRESSED_QUEUE_BYTES, SMALL_MESSAGE_BYTES, Flow, nothing
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
    """Who is told what becomes of transmissions (`request_dispatch`).

    Times are tenths of a ms on the clock."""

    def attempt_finished(self, transmission: Transmission, outcome: int, answer: Answer | None) -> None:
        """The transmission is over; `outcome` is one of `load_balancing`, `answer` the complete response."""

    def response_started(self, transmission: Transmission, answer: Answer, answered_at: int) -> None:
        """A response has begun that is passed on as it comes; its head was here at `answered_at`."""

    def may_still_send(self, transmission: Transmission, now: int) -> bool:
        """Whether a transmission whose connection has just come up is still to be sent."""

    def opened(self, transmission: Transmission) -> None:
        """The stream that the transmission asked for is open."""


class ConnectionOwner(Protocol):
    """What a connection uses of the pool that opened it (`connection_pool`)."""

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
        """The connection is lost."""


class UpstreamConnection(Connection):
    """One connection to an upstream; carries one transmission at a time.

    Attributes:
        transmission: the one that is active_request; None between two, and once it was given up.
        fully_sent: the last byte of its request has left this process.
        request_flow: what is still to come of a long request; None otherwise.
        response_flow: where a long response goes; None while the response is gathered in `body`.
        lost: the connection is closed. `lost_by_error`: by anything but an orderly end.
        eof_seen: the upstream has ended its sending, and bytes that came before wait for room in
            `response_flow`.
        any_response_complete: a response has been complete on it: what the first request pays is paid.
        abandoned_until: its transmission was given up; until when the response, for nobody, may come; 0: it
            was not.
        status: of the response; 0 until its head is complete.
        headers, body, length: of the response; `length` counts bytes of its head until that is complete, of
            its body from then on.
        stated_length: of the body, as the head states it; None if it doesn't.
        self_delimiting: the head says how the body ends; else the end of the connection ends it.
        bodiless: the request was HEAD: a stated length is of a body that does not come.
        head_bytes_left: bytes that may still come before the head is complete.
        framed_bytes: bytes that have come behind it, framing included.
        complete: the response is. `keep_alive`: the connection may then be used again.
        answer: the head of a long response, for the transmission's end.
        head_received_at: when the head was complete.
        heard_at: when bytes last came, or could not as nobody took them.
        feeding: a loop of `feed` is under way. `resume_scheduled`: a pass that reads on is due.
        budgeted_bytes: bytes of `body`, which the budget counts.

    Times are tenths of a ms on the clock.
    """

    def __init__(self, connections: ConnectionOwner, upstream: int, address: tuple[str, int]) -> None:
        super().__init__(connections.budget)
        self.connections = connections
        self.upstream = upstream
        self.address = address
        self.parser = httptools.HttpResponseParser(self)
        self.transmission: Transmission | None = None
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
        self.heard_at = 0
        self.reset_response()

    def reset_response(self) -> None:
        """No response has begun to come."""
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
        """Bytes of a body that is gathered here are in the budget too."""
        self.budgeted_bytes += more
        self.connections.budget.bytes += more

    def begin(self, transmission: Transmission, now: int) -> None:
        """Sends a request. Its time counts from now; of one that is still coming, from its last byte."""
        self.transmission = transmission
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
        self.fully_sent = self.write(b"".join(lines), b"\r\n", request.body)

    def begin_flow(self, flow: Flow, lines: list[bytes]) -> None:
        """Sends the head of a long request, and what has come of its body."""
        self.fully_sent = False
        self.request_flow = flow
        flow.news = self.send_flow
        if not flow.rewind():
            self.cut()
        elif self.write(b"".join(lines), b"\r\n"):
            self.send_flow()

    def may_have_run(self) -> bool:
        """Whether the upstream may have all of the request: its last byte has left this process."""
        return self.fully_sent

    def flushed(self) -> None:
        """The kernel has all that was written."""
        if self.request_flow is not None:
            self.send_flow()
        else:
            self.fully_sent = True

    def send_flow(self) -> None:
        """Writes what has come of a long request, as far as the kernel takes it."""
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
                flow.news = nothing
                self.fully_sent = self.write(b"0\r\n\r\n") if chunked else True
            else:
                return

    def usable(self) -> bool:
        """Whether nothing has come in meanwhile, not even an end: what is sent now goes to an open
        connection.
        """
        if self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not poll.poll(0)

    def connection_lost(self, failure: Exception | None) -> None:
        """The connection is closed: the end of the transmission on it."""
        self.lost = True
        self.lost_by_error = failure is not None
        self.connections.closed(self)
        self.read_remaining()
        # Only bytes that never left prove that it never ran; once the last may have left, a reset doesn't.
        self.finish_transmission(load_balancing.DROPPED if self.may_have_run() else load_balancing.BROKEN)
        self.reset_response()
        self.give_back()
        # The parser holds on to this connection, which would wait for the collector.
        self.parser = None  # type: ignore[assignment]

    def eof_received(self) -> bool:
        """The upstream has ended its sending. Returns whether the connection stays: what is here already
        comes first, if its client has not taken it all."""
        if self.response_flow is not None and self.incoming:
            self.eof_seen = True
            return True
        self.read_remaining()
        return False

    def read_remaining(self) -> None:
        """No more will come: what waits here is read whatever room there is, and may end a response that is
        not self-delimiting."""
        if self.transmission is None or self.parser is None:
            return
        if self.incoming and not self.complete:
            self.feed(True)
        ended = self.status and not self.self_delimiting and not self.lost_by_error
        if self.transmission is not None and not self.complete and ended:
            self.complete = True
            self.keep_alive = False
            self.response_complete()

    def moved(self) -> int:
        """When something last came of a long response, or waited for its client."""
        if self.reading_paused or (self.response_flow is not None and self.response_flow.full()):
            self.heard_at = self.connections.clock.now()
        return self.heard_at

    def finish_transmission(self, outcome: int, answer: Answer | None = None) -> None:
        """The transmission is over; `outcome` is one of `load_balancing`."""
        transmission = self.transmission
        self.transmission = None
        self.end_flows(outcome == load_balancing.COMPLETED)
        if transmission is not None:
            self.connections.dispatcher.attempt_finished(transmission, outcome, answer)

    def end_flows(self, complete: bool) -> None:
        """What went through here is complete, or breaks off."""
        if self.request_flow is not None:
            self.request_flow.news = nothing
            self.request_flow = None
        flow = self.response_flow
        if flow is not None:
            self.response_flow = None
            flow.room = nothing
            if complete:
                flow.end()
            else:
                flow.break_off()

    def abort(self) -> None:
        """Closes at once; an outcome that is still to come reaches nobody."""
        self.transmission = None
        self.end_flows(False)
        self.cut()

    # --- reading

    def read(self) -> None:
        """Bytes have come."""
        self.heard_at = self.connections.clock.now()
        self.feed(False)
        if self.eof_seen and not self.incoming and not self.complete:
            self.read_remaining()
            self.cut()

    def feed(self, all_of_it: bool) -> None:
        """Reads on while whoever takes a long response has room for more; `all_of_it`: whatever room there
        is.
        """
        if self.feeding:
            return
        self.feeding = True
        while self.incoming and (all_of_it or self.response_flow is None or not self.response_flow.full()):
            part = self.incoming.parts()[0]
            try:
                if (self.transmission is None and not self.abandoned_until) or self.complete:
                    raise ResponseError("bytes that no request asked for")
                if self.status:
                    self.framed_bytes += len(part)
                else:
                    self.head_bytes_left -= len(part)
                self.parser.feed_data(part)
                # Guards against a head, or trailers, without end: the parser would gather them until memory
                # is gone.
                if self.head_bytes_left < 0 and not self.status:
                    raise ResponseError("head too long")
                if self.framed_bytes > MAX_HEAD_BYTES + 64 * self.length:
                    raise ResponseError("more framing than body")
                self.begin_flow_if_long()
            except (httptools.HttpParserError, ResponseError):
                # A broken response is an error after which the request may have run. What comes behind a
                # complete one leaves the response as it is, but the connection is of no further use.
                if not self.complete:
                    self.finish_transmission(load_balancing.FAILED)
                self.cut()
                self.incoming.consume(len(self.incoming))
                break
            self.used(len(part))
        self.feeding = False
        if self.complete:
            self.response_complete()

    def begin_flow_if_long(self) -> None:
        """A response that is longer than is kept, or than there is room for, is forwarded as it comes."""
        if self.complete or self.response_flow is not None or not self.length or not self.status:
            return
        if max(self.length, self.stated_length or 0) > SMALL_MESSAGE_BYTES or (
            self.length > PRESSED_QUEUE_BYTES and self.connections.budget.pressed()
        ):
            self.forward_as_flow()

    def in_time(self) -> bool:
        """Its time is up. Returns whether its response is long, or may be, and has begun: that was in time,
        and it is forwarded."""
        if self.response_flow is not None:
            return True  # it has just gone on, and the turn that is to hear of it is this one
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
        """Forwards what has come of a response, and what still comes. ResponseError if nobody may have it."""
        if self.status // 100 != 2 or self.transmission is None or self.request_flow is not None:
            raise ResponseError("a long response that nobody may have")
        body = self.body
        self.body = []
        self.add_to_budget(-self.budgeted_bytes)
        flow = Flow(self.connections.budget, body)
        self.response_flow = flow
        flow.let_go()
        flow.room = self.schedule_resume
        headers = end_to_end_headers(self.headers)
        self.answer = Answer(headers, b"", self.status, flow, self.stated_length)
        self.connections.dispatcher.response_started(self.transmission, self.answer, self.head_received_at)

    def schedule_resume(self) -> None:
        """There is room again where a long response goes. Not from within the taking, which may go on."""
        if not self.resume_scheduled and self.incoming:
            self.resume_scheduled = True
            self.connections.loop.call_soon(self.resume_reading)

    def resume_reading(self) -> None:
        """Reads on."""
        self.resume_scheduled = False
        if self.parser is not None and self.incoming:
            self.read()

    # --- callbacks of httptools

    def on_message_begin(self) -> None:
        """A response begins."""
        # Guards against a second one behind a response: its body would be added to the first one's.
        if self.complete:
            raise ResponseError("two responses")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has come, or a trailer."""
        if self.status:  # what trails a body is not the head's
            return
        value = value.strip(OPTIONAL_WHITESPACE)
        self.headers.append((name, value))
        self.length += len(name) + len(value)
        if self.length > MAX_HEAD_BYTES:
            raise ResponseError("head too long")

    def on_headers_complete(self) -> None:
        """A head is complete: an interim response's (1xx), or the final one's."""
        status = self.parser.get_status_code()
        if status < 200:  # announces the answer, which follows
            if status == 101:
                raise ResponseError("an upgrade that was not asked for")
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
            # A response to HEAD states the length of a body that does not follow; the parser would wait for
            # it.
            self.complete = True
            self.keep_alive = False
        elif self.stated_length is not None and self.stated_length > MAX_BODY_BYTES:
            raise ResponseError("body too long")

    def on_body(self, body: bytes) -> None:
        """A part of the body has come."""
        if self.bodiless:
            return
        self.length += len(body)
        if self.length > MAX_BODY_BYTES:
            raise ResponseError("body too long")
        if self.response_flow is not None:
            self.response_flow.put(body)
        else:
            self.body.append(body)
            self.add_to_budget(len(body))

    def on_message_complete(self) -> None:
        """The response is complete, if it is the final one."""
        if self.status:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()

    def response_complete(self) -> None:
        """A complete response is here: ends the transmission, and keeps the connection if it may be used
        again.
        """
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
        """Of the transmission whose response is complete, one of `load_balancing`."""
        if (self.status // 100 == 2 or self.status == 304) and self.request_flow is None:
            return load_balancing.COMPLETED
        if self.connections.protocol.rejected_unprocessed(self.status, self.headers):
            return load_balancing.REJECTED
        return load_balancing.FAILED

    def report_count(self, counted_by: Callable[[int, bytes], None]) -> None:
        """Hands on the upstream's own count, which a header of its responses has."""
        for name, value in self.headers:
            if name.lower() == self.connections.count_header:
                counted_by(self.upstream, value)
