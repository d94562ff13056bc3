"""A client connection of the control HTTP server.

A connection answers one request at a time. Requests that came early wait, unread as far as possible.
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
    307: b"Temporary Redirect",
    405: b"Method Not Allowed",
    412: b"Precondition Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
}
MAX_BODY_BYTES = 8 * 1024 * 1024
# Limit for the received bytes of an incomplete head, including bytes that the parser buffers. MAX_HEAD_BYTES
# limits the fields that the parser has reported.
MAX_RAW_HEAD_BYTES = 4 * MAX_HEAD_BYTES
IDLE_TIMEOUT_S = 30.0  # between two requests
REQUEST_TIMEOUT_S = 10.0  # for the head, and then for each BODY_STEP_BYTES of the body
BODY_STEP_BYTES = 64 * 1024
WRITE_TIMEOUT_S = 10.0  # within which the client must read some bytes of a response
LINGER_TIMEOUT_S = 2.0  # for a rejected client to read the response


class QueuedMessage(NamedTuple):
    """A request, or the reply to an invalid one, that waits for its turn.

    `keeps_alive`: whether the connection stays open after it.
    """

    message: Request | Reply
    keeps_alive: bool


def is_hung_up(descriptor: int) -> bool:
    """Whether the peer of a socket has closed it, or its own sending direction."""
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


class HttpConnection(Connection):
    """A state machine: bytes come in, requests go to the server's handler, replies go out.

    An idle connection waits for a request. `has_begun` is set while a request comes in. A complete request
    waits in `queue` until the one before it is answered, and is `current` while the handler has it. An
    invalid request queues its reply and stops parsing. After that reply the connection lingers, so that the
    client can read it.

    Attributes:
        queue: complete requests that wait; parsing continues only if it is empty and there is no `current`.
        request_number: number of `current`, by which a response to an earlier request is recognized and
            ignored. Increases with each request, and when the connection is lost.
        current: the request that the handler has and has not answered.
        is_reading: a loop of `read` is running; a response from within it must not start another one.
        has_begun: a request is coming in.
        head_complete: the head of that request is complete.
        stops_parsing: nothing further is parsed, after the last request or an invalid one.
        closes_after_reply: the current request, or the one answered last, is the last one. Never unset.
        client_finished: the client has closed its sending direction.
        is_lingering: a rejection was sent; received bytes are dropped.
        continue_pending: the client waits for `100 Continue` before it sends its body.
        state_since: loop time when the present wait began; the timeouts count from it.
        session: what the server's `open_session` returned for this connection; None without that.
        progress_mark: received body bytes, or unsent response bytes, at the last check; -1 before the first
            check of a response.
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
        self.session = server.session_of_accepted_connection()
        self.progress_mark = 0
        self.reset_message()

    def reset_message(self) -> None:
        """Prepares for the next request."""
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.raw_head_bytes = 0

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts the class description."""
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
        self.release_rings()
        self.server.connections.pop(self, None)
        self.parser = None  # it refers to this connection, which would wait for the garbage collector

    def eof_received(self) -> bool:
        """Called by the event loop. Returns whether the connection stays open, to answer pending requests."""
        self.client_finished = True
        is_incomplete = self.has_begun and self.current is None
        return not self.is_idle() and not self.is_lingering and not is_incomplete

    def client_disconnected(self) -> bool:
        """Whether the client has closed its sending direction or the connection, even if that is unread."""
        return (
            self.client_finished
            or self.transport.is_closing()
            or is_hung_up(self.transport.get_extra_info("socket").fileno())
        )

    def is_idle(self) -> bool:
        """Whether no part of a request is here, and no response is being sent."""
        return not (
            self.has_begun
            or self.current
            or self.queue
            or self.flushing
            or self.incoming
            or self.is_lingering
        )

    def check_timeouts(self, now: float) -> None:
        """Ends what takes too long."""
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
        """Aborts the connection, closing or not, if the client does not read a response.

        The response would be kept in memory for ever.
        """
        unsent = self.transport.get_write_buffer_size()
        if unsent != self.progress_mark:
            self.progress_mark = unsent
            self.state_since = now
        elif now - self.state_since > WRITE_TIMEOUT_S:
            self.transport.abort()

    def check_request_timeout(self, now: float) -> None:
        """Rejects a request that comes in too slowly to justify its connection."""
        if self.head_complete and self.body_bytes - self.progress_mark >= BODY_STEP_BYTES:
            self.progress_mark = self.body_bytes
            self.state_since = now
        elif now - self.state_since > REQUEST_TIMEOUT_S:
            self.reject(408, "did not come in time")

    # --- reading

    def read(self) -> None:
        """Handles buffered requests, until one is pending or a response is being sent."""
        if self.is_reading:
            return
        self.is_reading = True
        while self.current is None and not self.flushing and not self.transport.is_closing():
            if self.is_lingering:
                self.consume(len(self.incoming))
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
        """Called when the response has left this process."""
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
            self.stops_parsing = True  # no other protocol is spoken: this complete request is the last one
        except httptools.HttpParserError:
            if not self.stops_parsing:  # bytes after the last request are ignored
                self.reject(400, "is no request in HTTP/1.1")
        self.consume(len(part))
        # Guards against an endless head, which the parser would buffer.
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
        """Called by the parser, for each part of the target."""
        self.target += url
        self.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.head_bytes += len(name) + len(value) + 4
        if self.head_complete:
            return  # a trailer, which is not used
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
        """Sends `100 Continue` to a client that waits for it, once the earlier requests are answered."""
        if self.continue_pending and not self.queue and self.current is None and not self.stops_parsing:
            self.continue_pending = False
            if self.parser.get_http_version() == "1.1":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Called by the parser, for each part of the body."""
        self.continue_pending = False
        if self.stops_parsing:
            return
        self.body_bytes += len(body)
        if self.body_bytes > MAX_BODY_BYTES:
            self.reject(413, "has too long a body")
        else:
            self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser: queues the complete request."""
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
            self.session,
            self.client_disconnected,
        )
        keeps_alive = self.parser.should_keep_alive()
        self.queue.append(QueuedMessage(request, keeps_alive))
        self.stops_parsing = not keeps_alive
        self.reset_message()

    def reject(self, status: int, text: str) -> None:
        """Queues the rejection of an invalid request, and stops parsing."""
        if self.stops_parsing:
            return
        self.stops_parsing = True
        self.body_parts = []
        self.queue.append(QueuedMessage(rejection(status, text), False))
        self.read()

    # --- answering

    def dispatch(self, queued: QueuedMessage) -> None:
        """Hands a request to the handler, or sends a rejection."""
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
        except Exception:  # the client must not see the trace of an internal error
            self.server.logger.exception(
                "call handler failed",
                method=message.method.decode(errors="replace"),
                path=message.path.decode(errors="replace"),
            )
            respond(failure(500, Finding("", "this call failed here")))

    def respond(self, request_number: int, reply: Reply) -> None:
        """Sends the response to the current request; ignores later ones, and those after a disconnect."""
        if self.current is None or request_number != self.request_number:
            return
        self.send_reply(reply)
        self.send_continue()
        self.read()

    def send_reply(self, reply: Reply) -> None:
        """Sends the response to the current request, or a rejection."""
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
            lines.append(b"Connection: keep-alive")  # an HTTP/1.0 client needs this header
        lines += [b"", b"" if request is not None and request.method == b"HEAD" else reply.body]
        self.state_since = self.server.loop.time()
        self.progress_mark = -1
        self.transport.write(b"\r\n".join(lines))
        if self.is_lingering and self.transport.can_write_eof():
            # Guards against a reset, which would discard the response: the client may still be sending.
            self.transport.write_eof()
