"""One connection of a client to the control HTTP server.

One request of a connection is answered at a time; those that came early wait, unread as far as that goes.
"""

import asyncio
import select
from collections import deque
from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qsl

import httptools

from shedgrade.findings import Finding
from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import MAX_HEAD_BYTES, origin_form
from shedgrade.http.message_grammar import REASON_PHRASES as COMMON_REASONS
from shedgrade.http.server_messages import Reply, Request, failure, rejection

if TYPE_CHECKING:
    from shedgrade.http.server import HttpServer

REASONS = {
    **COMMON_REASONS,
    405: b"Method Not Allowed",
    412: b"Precondition Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
}
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_RAW_HEAD_BYTES = 4 * MAX_HEAD_BYTES  # as it came, with what the parser has not passed on
IDLE_TIMEOUT_S = 30.0  # for the next request
REQUEST_TIMEOUT_S = 10.0  # for the head, and from then on for each BODY_STEP_BYTES of the body
BODY_STEP_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 10.0  # within which the client must take something of an answer
LINGER_TIMEOUT_S = 2.0  # that a client which is rejected has to read why


class QueuedMessage(NamedTuple):
    """What is answered when its turn comes: a request, or the reply to one that can't be read.
    `keeps_alive`: whether the connection goes on after it."""

    message: Request | Reply
    keeps_alive: bool


def is_hung_up(descriptor: int) -> bool:
    """Whether the other side of a socket has closed it, or its own direction."""
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class HttpConnection(Connection):
    """A state machine: bytes in, requests to the server's handler, replies out.

    Idle, it waits for a request; `has_begun` is set while one comes in; complete ones wait in `queue` until
    the one before is answered; the one that the handler has is `current`. A request that can't be read puts
    its reply into the queue and ends the parsing; after that reply the connection lingers, so that its client
    reads it.

    Attributes:
        queue: what came complete and waits; parsing goes on only when it is empty and nothing is current.
        request_number: of `current`; a response to an earlier one is ignored. Rises with each request, and at
        the end. current: the request that the handler has and has not answered.
        is_reading: a loop of `read` is under way, which a response from within must not enter again.
        has_begun: a request is coming in. `head_complete`: its head has come.
        stops_parsing: nothing further is parsed: the last request has come, or one that can't be read.
        closes_after_reply: the request that is current, or was answered last, was the last one. Never unset.
        client_finished: the client sends no more.
        is_lingering: a rejection was sent; what still comes is thrown away.
        continue_pending: the client waits for 100 Continue before it sends its body.
        state_since: the loop's time since which the present wait goes on; the time-outs count from it.
        arrived_after: when the oldest bytes that are not answered can have come at the earliest.
        progress_mark: bytes of the body that had come, or of the answer that were unsent, at the last check;
        -1
            before the first check of an answer.
        target, headers, body_parts, body_bytes, head_bytes, raw_head_bytes: of the request that is coming in.
    """

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[QueuedMessage] = deque()
        self.request_number = 0
        self.current: Request | None = None
        self.is_reading = False
        self.has_begun = False
        self.head_complete = False
        self.stops_parsing = False
        self.closes_after_reply = False
        self.client_finished = False
        self.is_lingering = False
        self.continue_pending = False
        self.state_since = server.loop.time()
        self.arrived_after = 0.0
        self.progress_mark = 0
        self.reset_message()

    def reset_message(self) -> None:
        """Nothing of a request has come."""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.raw_head_bytes = 0

    def check_invariants(self) -> None:
        """AssertionError if an attribute breaks what the class says of it. For tests and the simulation."""
        assert all(queued.keeps_alive for queued in list(self.queue)[:-1])
        if self.queue and not self.queue[-1].keeps_alive:
            assert self.stops_parsing
        if self.current is not None:
            assert self.request_number > 0
            assert not self.is_lingering
        if self.is_lingering:
            assert self.stops_parsing
            assert self.closes_after_reply
        if not self.has_begun:
            assert not self.body_bytes
            assert not self.body_parts
        assert self.body_bytes <= MAX_BODY_BYTES or self.stops_parsing

    # --- the connection

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Called by the event loop."""
        super().connection_made(transport)
        self.server.connections[self] = None
        self.server.schedule_check()

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the event loop."""
        self.request_number += 1
        self.current = None
        self.stops_parsing = True
        self.queue.clear()
        self.reset_message()
        self.give_back()
        self.server.connections.pop(self, None)
        self.parser = None  # refers to this connection, which would wait for the garbage collector

    def eof_received(self) -> bool:
        """A client that closes only its own direction still gets the answers it waits for."""
        self.client_finished = True
        is_cut_short = self.has_begun and self.current is None
        return not self.is_idle() and not self.is_lingering and not is_cut_short

    def caller_gone(self) -> bool:
        """The client has closed, or sends no more; also if that is not read yet."""
        return (
            self.client_finished
            or self.transport.is_closing()
            or is_hung_up(self.transport.get_extra_info("socket").fileno())
        )

    def is_idle(self) -> bool:
        """Nothing of a request is here, and no answer is under way."""
        return not (
            self.has_begun
            or self.current
            or self.queue
            or self.flushing
            or self.incoming
            or self.is_lingering
        )

    def check_timeouts(self, now: float) -> None:
        """Ends what has taken too long."""
        if self.transport.get_write_buffer_size():
            self.check_write_timeout(now)
        elif self.transport.is_closing():
            return
        elif self.is_lingering:
            if now - self.state_since > LINGER_TIMEOUT_S:
                self.cut()
        elif self.current or self.queue:
            return
        elif self.has_begun:
            self.check_request_timeout(now)
        elif now - self.state_since > IDLE_TIMEOUT_S:
            self.transport.close()

    def check_write_timeout(self, now: float) -> None:
        """Guards against answers that are not taken, which would be held for ever, on a connection that is
        closing too."""
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.progress_mark:
            self.progress_mark = unsent
            self.state_since = now
        elif now - self.state_since > WRITE_TIMEOUT_S:
            self.transport.abort()

    def check_request_timeout(self, now: float) -> None:
        """Guards against clients that keep their connection by sending next to nothing."""
        if self.head_complete and self.body_bytes - self.progress_mark >= BODY_STEP_BYTES:
            self.progress_mark = self.body_bytes
            self.state_since = now
        elif now - self.state_since > REQUEST_TIMEOUT_S:
            self.reject(408, "did not come in time")

    # --- reading

    def buffer_updated(self, count: int) -> None:
        """Called by the event loop: bytes have come."""
        if not self.has_begun and not len(self.incoming):
            self.arrived_after = self.server.earliest()
        super().buffer_updated(count)

    def read(self) -> None:
        """Takes what may be taken now; goes on when the current request is answered."""
        if self.is_reading:
            return
        self.is_reading = True
        while self.current is None and not self.flushing and not self.transport.is_closing():
            if self.is_lingering:
                self.used(len(self.incoming))
                break
            if self.queue:
                self.dispatch(self.queue.popleft())
            elif (
                self.closes_after_reply or self.stops_parsing or (self.client_finished and not self.incoming)
            ):
                self.transport.close()
            elif not self.incoming:
                break
            else:
                self.parse(self.incoming.parts()[0])
        self.is_reading = False

    def flushed(self) -> None:
        """The answer has left this process."""
        self.state_since = self.server.loop.time()
        if not self.transport.is_closing():
            self.read()

    def parse(self, part: memoryview) -> None:
        """Feeds the parser, which calls the `on_` methods."""
        if not self.head_complete:
            self.raw_head_bytes += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self.stops_parsing = True  # nothing else is spoken here: the request is complete, and the last
        except httptools.HttpParserError:
            if not self.stops_parsing:  # what stands behind a last request belongs to nobody
                self.reject(400, "is no request in HTTP/1.1")
        self.used(len(part))
        # Guards against a head that never ends, which the parser would gather.
        if self.has_begun and not self.head_complete and self.raw_head_bytes > MAX_RAW_HEAD_BYTES:
            self.reject(431, "has too long a head")

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.reset_message()
        self.has_begun = True
        self.head_complete = False
        self.continue_pending = False
        self.state_since = self.server.loop.time()
        self.progress_mark = 0

    def on_url(self, url: bytes) -> None:
        """Called by the parser, for each part."""
        self.target += url
        self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.head_bytes += len(name) + len(value) + 4
        if self.head_complete:
            return  # a trailer, which nobody here asks for
        if self.head_bytes > MAX_HEAD_BYTES:
            self.reject(431, "has too long a head")
            return
        name = name.lower()
        before = self.headers.get(name)
        self.headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self.head_complete = True
        self.state_since = self.server.loop.time()
        if self.head_bytes > MAX_HEAD_BYTES:
            self.reject(431, "has too long a head")
        elif int(self.headers.get(b"content-length", b"0")) > MAX_BODY_BYTES:
            self.reject(413, "has too long a body")
        elif self.headers.get(b"expect", b"").lower() == b"100-continue" and self.has_body():
            self.continue_pending = True
            self.send_continue()

    def has_body(self) -> bool:
        """Whether the head announces a body (RFC 9112, section 6.3)."""
        length = self.headers.get(b"content-length", b"0")
        return b"transfer-encoding" in self.headers or int(length) > 0

    def send_continue(self) -> None:
        """Answers a client that waits with its body; the answers before this one go first."""
        if self.continue_pending and not self.queue and self.current is None and not self.stops_parsing:
            self.continue_pending = False
            if self.parser.get_http_version() == "1.1":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Called by the parser, for each part."""
        self.continue_pending = False
        if self.stops_parsing:
            return
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            self.reject(413, "has too long a body")
        else:
            self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser: the request waits for its turn."""
        self.continue_pending = False  # a request without a body asks for none: its answer is the final one
        if self.stops_parsing:
            return
        self.has_begun = False
        path, _, query = origin_form(self.target).partition(b"?")
        pairs = parse_qsl(query.decode(errors="replace"), keep_blank_values=True) if query else ()
        request = Request(
            self.parser.get_method(),
            path,
            dict(pairs),
            self.headers,
            b"".join(self.body_parts),
            self.arrived_after,
            self.caller_gone,
        )
        keeps_alive = self.parser.should_keep_alive()
        self.queue.append(QueuedMessage(request, keeps_alive))
        self.stops_parsing = not keeps_alive
        self.reset_message()

    def reject(self, status: int, text: str) -> None:
        """What can't be read is answered in its turn, and nothing behind it is looked at."""
        if self.stops_parsing:
            return
        self.stops_parsing = True
        self.body_parts = []
        self.queue.append(QueuedMessage(rejection(status, text), False))
        self.read()

    # --- answering

    def dispatch(self, queued: QueuedMessage) -> None:
        """Hands a request to the handler; sends a rejection."""
        message, keeps_alive = queued
        self.closes_after_reply = not keeps_alive
        if isinstance(message, Reply):
            self.is_lingering = True
            self.send_reply(message)
            return
        self.request_number += 1
        self.current = message
        respond = partial(self.respond, self.request_number)
        try:
            self.server.handler(message, respond)
        except Exception:  # guards the client against our faults, whose trace it must not see
            self.server.logger.exception(
                "call handler failed",
                method=message.method.decode(errors="replace"),
                path=message.path.decode(errors="replace"),
            )
            respond(failure(500, Finding("", "this call failed here")))

    def respond(self, request_number: int, reply: Reply) -> None:
        """The first response to the current request counts; its client may have left since."""
        if self.current is None or request_number != self.request_number:
            return
        self.send_reply(reply)
        self.send_continue()
        self.read()

    def send_reply(self, reply: Reply) -> None:
        """Answers the current request, or one that can't be read."""
        request, self.current = self.current, None
        if self.transport.is_closing():
            return
        self.closes_after_reply = (
            self.closes_after_reply or self.server.is_draining or (self.stops_parsing and not self.queue)
        )
        lines = [b"HTTP/1.1 %d %s" % (reply.status, REASONS.get(reply.status, b"Other"))]
        if reply.body:
            lines.append(b"Content-Type: " + reply.content_type)
        lines.append(b"Content-Length: %d" % len(reply.body))
        lines += [b"%s: %s" % pair for pair in reply.headers]
        if self.closes_after_reply:
            lines.append(b"Connection: close")
        elif request is not None and request.headers.get(b"connection", b"").lower() == b"keep-alive":
            lines.append(b"Connection: keep-alive")  # a client of HTTP/1.0 asks for this header
        lines += [b"", b"" if request is not None and request.method == b"HEAD" else reply.body]
        self.state_since = self.server.loop.time()
        self.progress_mark = -1
        self.transport.write(b"\r\n".join(lines))
        if self.is_lingering and self.transport.can_write_eof():
            # Guards against a reset, by which the client would lose the answer: it may still be sending.
            self.transport.write_eof()
