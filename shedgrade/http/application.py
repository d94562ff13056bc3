"""The application's side: HTTP/1.1 requests come in, final answers go out."""

import fcntl
import select
import socket
import struct
import termios
from collections import deque
from urllib.parse import unquote_to_bytes

import httptools

from shedgrade.buffers.flow import PRESSED, SMALL, Flow, nothing
from shedgrade.http.connection import (
    BLANKS,
    LONGEST_BODY,
    LONGEST_HEAD,
    Connection,
    MessageError,
    declared,
    passed_on,
)
from shedgrade.http.http import REASONS, relative
from shedgrade.in_flight import ActiveRequest, Answer, Request
from shedgrade.runtime.log import logger

COMES = 2.0  # s within which a connection's first request must begin
HEAD = 2.5  # s from its first byte within which a head must be whole: slow clients take 2
MOVES = 2.0  # s within which so many bytes of a body must come, where they are read: slow clients
STEP = 16 * 1024  # send four times as much
TAKES = 5.0  # s within which an answer must be taken, or so many bytes of it
TAKES_LONG = 20.0  # the same for a long one: at 64 kB a second a reader's kernel was seen to tell of
# room every 2 s (a probe), and one that holds more may do so later
TAKEN = 32 * 1024  # bytes: such a reader takes more even in the shorter time
ONCE = (b"x-request-id", b"x-timeout-ms")  # headers of which a second one makes a request ambiguous
LONGEST_TIMEOUT = 3_600_000  # ms that a client may say it waits: an hour, to keep out nonsense


class ApplicationConnection(Connection):
    """One connection of the application. One RPC at a time: what comes early waits in the ring."""

    # Bounds of what a client may send and how long it may take; another protocol sets its own.
    small, longest_head, longest_body, comes, head_time = SMALL, LONGEST_HEAD, LONGEST_BODY, COMES, HEAD
    once = ONCE

    def __init__(self, front, who: str = "") -> None:
        """`who`: the name under which its owner has logged in, if it has."""
        super().__init__(front.budget)
        self.front, self.who = front, who
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque = deque()  # whole requests that came early
        self.active_request: ActiveRequest | None = None
        self.last = False  # no request after the one in hand
        self.reading = False  # a loop of `read` is under way
        self.begun = False  # a request has begun to come and is not whole
        self.proven = False  # a whole request has come
        self.since = front.loop.time()  # of what `overdue` measures: opened, begun, answered
        self.flow: Flow | None = None  # of a long request that is still coming
        self.out: Flow | None = None  # of a long answer that is still being written
        self.chunked = self.answering = False  # so it is written; it has begun and its RPC has not ended
        self.waking = False  # a pass that reads on is due
        self.lingering = False  # all is answered, its sending has ended, not all has been taken
        self.poll: select.poll | None = None  # for its client's end
        self.verb, self.old = b"", False  # of the request in hand; `old`: of HTTP/1.0
        self.mark = (0, 0.0)  # bytes that had come, or gone, and when that was looked at
        self.came = self.gone = self.counted = 0
        self.clear()

    def clear(self) -> None:
        self.count(-self.counted)
        self.target, self.headers, self.body, self.length = b"", [], [], 0
        self.headed, self.head_left, self.raw, self.expects = False, self.longest_head, 0, False

    def count(self, more: int) -> None:
        """Bytes of a body that is not whole are in the budget too."""
        self.counted += more
        self.front.budget.bytes += more

    # --- the connection

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.front.opened(self)

    def connection_lost(self, failure: Exception | None) -> None:
        self.last = True
        self.requests.clear()
        if self.active_request is not None:
            self.front.dispatcher.client_disconnected(self.active_request)
            self.active_request = None
        if self.flow is not None:
            self.flow.room = nothing
            self.flow.break_off()
        if self.out is not None:
            self.out.news = nothing
            self.out.discard()
        self.flow = self.out = None
        self.clear()
        self.give_back()
        self.front.closed(self)
        self.parser = None  # holds on to this connection, which would wait for the collector

    def overdue(self, now: float) -> None:
        """Ends what has taken too long to come or to be taken, with an answer where one can still be read."""
        if self.transport.is_closing():
            return
        if self.lingering and not self.unsent():
            self.transport.close()
        elif self.flushing or self.out is not None or self.lingering:
            self.stuck(now)
        elif self.flow is not None:
            if self.stalled(now):
                self.give_up_coming()
        elif self.active_request is not None or self.unread():
            return
        elif self.begun:
            if self.stalled(now) if self.headed else now - self.since > self.head_time:
                self.last = True
                self.answer(408)
        elif not self.proven and now - self.since > self.comes:
            self.last = True
            self.transport.close()

    def stalled(self, now: float) -> bool:
        """A body does not come on, though it would be read."""
        count, at = self.mark
        waits = self.flow is not None and self.flow.full()
        if self.came - count >= STEP or waits or self.reading_paused or self.unread():
            self.mark = self.came, now
            return False
        return now - at > MOVES

    def stuck(self, now: float) -> None:
        """Guards against answers that are not taken: what the client's kernel has is seen in ours."""
        waits = self.unsent()
        count, at = self.mark
        if not waits or self.gone - waits - count >= TAKEN:
            self.mark = self.gone - waits, now
        elif now - at > (TAKES if self.out is None else TAKES_LONG):
            logger.info("an answer is cut: of {} bytes, {} were not taken", self.gone, waits)
            self.break_off()

    def give_up_coming(self) -> None:
        """The rest of a long request does not come: it never ran, and its client is told so if it listens."""
        active_request, self.active_request, flow, self.flow = self.active_request, None, self.flow, None
        flow.room = nothing
        flow.break_off()
        if active_request is not None:
            self.front.dispatcher.client_disconnected(active_request)
        self.last = True
        self.answer(408)

    def break_off(self) -> None:
        """Ends the connection so that its client sees that an answer is not whole."""
        handle = socket.socket(fileno=self.transport.get_extra_info("socket").fileno())
        try:
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:  # it is down already
            pass
        finally:
            handle.detach()
        self.transport.abort()

    def idle(self) -> bool:
        """Between two requests, and nothing unread in the kernel either: closing now loses no request."""
        return not (self.unanswered() or self.begun or self.incoming or self.unread())

    def unread(self) -> bool:
        """Bytes wait in the kernel."""
        if self.transport.is_closing():
            return True
        handle = self.transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(handle, termios.FIONREAD, b"\0\0\0\0") != b"\0\0\0\0"

    def has_left(self) -> bool:
        """Its client's end of file, or a reset, is here, be it unread in the kernel."""
        if self.transport.is_closing():
            return True
        if self.poll is None:
            self.poll = select.poll()
            self.poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(self.poll.poll(0))

    def unanswered(self) -> bool:
        """Requests that are whole and have no answer yet, or an answer that is still being written."""
        return (
            bool(self.requests)
            or self.active_request is not None
            or self.flushing
            or self.lingering
            or not (self.flow is None and self.out is None)
        )

    def close(self) -> None:
        """Its client has left."""
        self.last = True
        self.transport.close()

    def end(self) -> None:
        """In order: what it was answered is taken first."""
        self.last = True
        self.finish()

    # --- reading

    def read(self) -> None:
        """Goes on while nothing is in hand; an answer given meanwhile does not start a second such loop."""
        if self.reading:
            return
        if self.lingering:
            self.used(len(self.incoming))
            return
        self.reading = True
        while True:
            if self.flow is not None:
                if not self.incoming or self.flow.full() or self.parser is None:
                    break
                self.parse(self.incoming.parts()[0])
            elif self.active_request is not None or self.flushing or self.last or self.out is not None:
                break
            elif self.requests:
                self.next()
            elif self.incoming:
                self.parse(self.incoming.parts()[0])
            else:
                break
        self.reading = False

    def buffer_updated(self, count: int) -> None:
        self.came += count
        super().buffer_updated(count)

    def parse(self, part: memoryview) -> None:
        try:
            if self.headed:
                self.raw += len(part)
            else:
                self.head_left -= len(part)
            self.parser.feed_data(part)
            # Guards against trailers without end, as against a head.
            if self.begun and self.raw > LONGEST_HEAD + 64 * self.length:
                raise MessageError(413)
            # Guards against a head without end: the parser would gather it until memory is gone.
            if self.begun and not self.headed and self.head_left < 0:
                self.requests.append(MessageError(413))
        except MessageError as wrong:
            self.requests.append(wrong)
        except httptools.HttpParserUpgrade:
            # Nothing else is spoken here: answered as a plain request, after which the connection ends.
            self.requests[-1] = (*self.requests[-1][:-1], True)
        except httptools.HttpParserError as failure:
            why = failure.__context__
            self.requests.append(why if isinstance(why, MessageError) else MessageError(400))
            if len(self.requests) > 1:
                # Guards against a length that is too short: what came in one piece with bytes that are no
                # request is none either, and is not passed on.
                self.requests = deque(
                    [*([MessageError(400, False)] * (len(self.requests) - 1)), self.requests[-1]]
                )
        self.used(len(part))
        if self.flow is not None and self.requests and isinstance(self.requests[0], MessageError):
            self.spoilt()
        elif (
            self.begun
            and self.headed
            and self.flow is None
            and self.active_request is None
            and not (self.requests or self.last)
        ):
            if self.length > self.small or (self.length > PRESSED and self.front.budget.pressed()):
                self.lengthen()
            elif self.expects and not self.flushing:
                self.expects = False
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def spoilt(self) -> None:
        """A long request turns out to be none: it is not passed on to its end, so it never ran."""
        flow, self.flow, self.begun = self.flow, None, False
        active_request, self.active_request = self.active_request, None
        flow.room = nothing
        flow.break_off()
        if active_request is not None:
            self.front.dispatcher.client_disconnected(active_request)
        elif not flow.discarding:
            return
        if self.last:  # it has its answer already
            self.requests.clear()
            if not self.flushing and self.out is None:
                self.finish()

    def lengthen(self) -> None:
        """A request that is longer than is kept, or than there is room for, is taken up as it comes."""
        body, self.body = self.body, []
        self.count(-self.counted)
        self.flow = flow = Flow(self.front.budget, body)
        flow.room = self.wake
        self.mark = self.came, self.front.loop.time()
        if self.expects:
            self.expects = False
        self.take(self.parser.get_method(), self.target, self.headers, b"", flow)

    def wake(self) -> None:
        """A long request has room again. Not from within the taking, which may go on."""
        if self.incoming and not self.waking:
            self.waking = True
            self.front.loop.call_soon(self.go_on)

    def go_on(self) -> None:
        self.waking = False
        if self.parser is None:
            return
        if self.flow is not None and not self.flow.discarding and self.has_left():
            # Guards against work for nobody: the rest of a long request waits here, and its client has left.
            self.close()
            return
        self.read()

    def flushed(self) -> None:
        if self.out is not None:
            self.pump()
        else:
            self.settled()

    def settled(self) -> None:
        """An answer is out. A connection that ends there first lets the rest of a long request come: closing
        would reset it, and its client might not read the answer."""
        if self.last and self.active_request is None and self.flow is None and self.out is None:
            self.finish()
        else:
            self.read()

    def finish(self) -> None:
        """Nothing more is answered here.

        Guards against a close that resets: on bytes that are unread, or that come later, it would throw away
        what the client's kernel has not taken of the answer. Then only the sending ends at first.
        """
        if self.transport.is_closing():
            return
        if self.lingering or not (self.unsent() or self.unread()):
            self.transport.close()
        else:
            self.lingering = True
            self.requests.clear()
            self.used(len(self.incoming))
            self.transport.write_eof()

    def unsent(self) -> int:
        """Bytes that its client's kernel does not have yet."""
        handle = self.transport.get_extra_info("socket").fileno()
        held = int.from_bytes(fcntl.ioctl(handle, termios.TIOCOUTQ, b"\0\0\0\0"), "little")
        return held + self.transport.get_write_buffer_size()

    def next(self) -> None:
        """Takes up the next whole request."""
        request = self.requests.popleft()
        if isinstance(request, MessageError):
            self.verb = b""
            self.last = len(request.args) < 2
            self.answer(request.args[0])
            return
        verb, target, headers, body, self.last = request
        self.take(verb, target, headers, body)

    # --- what the parser calls

    def grown(self, count: int, most: int, status: int) -> None:
        self.length += count
        if self.length > most:
            raise MessageError(status)

    def on_message_begin(self) -> None:
        self.begun = True
        self.since = self.front.loop.time()
        self.clear()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.grown(len(url), self.longest_head, 413)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # what trails a body is not the head's
            return
        value = value.strip(BLANKS)
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects = self.parser.get_http_version() != "1.0"
        self.headers.append((name, value))
        self.grown(len(name) + len(value), self.longest_head, 413)

    def on_headers_complete(self) -> None:
        self.length, self.headed = 0, True
        self.mark = self.came, self.front.loop.time()
        if (declared(self.headers) or 0) > self.longest_body:
            raise MessageError(413)

    def on_body(self, body: bytes) -> None:
        self.grown(len(body), self.longest_body, 413)
        if self.flow is not None:
            self.flow.put(body)
        else:
            self.body.append(body)
            self.count(len(body))

    def on_message_complete(self) -> None:
        self.begun, self.proven = False, True
        last = not self.parser.should_keep_alive()
        if self.flow is None:
            self.requests.append(
                (self.parser.get_method(), self.target, self.headers, b"".join(self.body), last)
            )
            self.clear()
            return
        flow, self.flow = self.flow, None
        self.last = self.last or last
        self.clear()
        flow.room = nothing
        if self.active_request is not None and self.active_request.request.flow is flow:
            flow.end()
            self.front.dispatcher.body_received(self.active_request, flow.taken is not None, True)
        elif not self.flushing and self.out is None:
            self.front.loop.call_soon(self.go_on_or_close)

    def go_on_or_close(self) -> None:
        """What nobody took has come to its end."""
        if self.parser is not None and not self.flushing:
            self.settled()

    # --- RPCs

    def take(self, verb: bytes, target: bytes, headers: list, body: bytes, flow: Flow | None = None) -> None:
        self.verb, self.old = verb, self.parser.get_http_version() == "1.0"
        target = relative(target)
        path = target.split(b"?", 1)[0]
        if path == b"/up":
            self.answer(200 if self.front.ready() else 503)
            return
        known = self.known(headers)
        if known is None:
            self.refuse(400)
            return
        method = self.method(path.split(b"/", 2)[1] if path.startswith(b"/") else b"")
        wait = known.get(b"x-timeout-ms", b"")
        name = known.get(b"x-request-id")
        if not name or not wait.isdigit() or len(wait) > 9 or not 0 < int(wait) <= LONGEST_TIMEOUT:
            self.refuse(400)
            return
        if method is None:
            self.refuse(404)
            return
        tenant = self.tenant(known) if self.front.tenants else 0
        if tenant is None:
            self.refuse(400)
            return
        # Guards against work for nobody after a stall of our own: the request is read before the end of its
        # connection, whose client left meanwhile. Whatever waits longer is looked at again when it is sent.
        if self.front.stalled() and self.has_left():
            self.close()
            return
        if name in self.front.dispatcher.active_requests.request_ids:
            self.refuse(409)  # somebody waits under this id: two answers could not be told apart
            return
        kept = [(name, value) for name, value in passed_on(headers) if name.lower() != b"x-timeout-ms"]
        request = Request(name, verb, target, kept, body, flow, None if flow is None else declared(headers))
        if not self.front.room_for(len(request)):
            self.exhausted(0)
            return
        self.active_request = active_request = ActiveRequest(self, request, self.who)
        if flow is not None:
            flow.lost = lambda: self.front.dispatcher.body_received(
                active_request, False, not active_request.is_body_incomplete
            )
        self.front.dispatcher.submit(
            self.active_request, method, int(wait), known.get(b"x-retried") == b"1", tenant
        )

    def known(self, headers: list) -> dict[bytes, bytes] | None:
        """By name in lower case; None if one that a request is known by comes twice."""
        known: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in self.once and name in known:
                return None
            known[name] = value
        return known

    def method(self, part: bytes) -> int | None:
        """By name, as it stands or as a path has to write what may not stand in one."""
        found = self.front.methods.get(part)
        if found is None and b"%" in part:
            found = self.front.methods.get(unquote_to_bytes(part))
        return found

    def tenant(self, known: dict[bytes, bytes]) -> int | None:
        """The tenant's number, by its name in `X-Tenant-Id` or its number in `X-Attrs`, 0 where none is
        named; None if the number is not sound."""
        name = known.get(b"x-tenant-id")
        if name is not None:
            return self.front.tenant_of(name)
        for pair in known.get(b"x-attrs", b"").split(b","):
            name, _, value = pair.partition(b"=")
            if name.strip() == b"project":
                value = value.strip()
                sound = value.isdigit() and len(value) < 6 and int(value) < self.front.tenants
                return int(value) if sound else None
        return 0

    def completed(self, answer: Answer | None) -> None:
        """The final answer; the end of a long one, None if it broke."""
        if self.out is None and not self.answering:
            self.answer(answer.status, answer.headers, answer.body, answer.length)
            return
        self.active_request, self.answering = None, False
        self.front.used(self)
        if self.transport.is_closing():
            return
        if answer is None:
            logger.info("an answer is cut: its upstream broke off")
            self.break_off()
        elif self.out is None and not self.flushing:
            self.settled()

    def flowing(self, answer: Answer) -> None:
        """A long answer has begun."""
        self.out, self.answering = answer.flow, True
        self.out.news = self.pump
        self.chunked = answer.length is None and not self.old
        if self.verb == b"HEAD":
            self.out.discard()
        self.mark = self.gone, self.front.loop.time()
        if answer.length is None and self.old:
            self.last = True
        framing = (
            b"Transfer-Encoding: chunked"
            if self.chunked
            else (b"" if answer.length is None else b"Content-Length: %d" % answer.length)
        )
        if self.write(self.head(answer.status, answer.headers, framing)):
            self.pump()

    def pump(self) -> None:
        """Writes what has come of a long answer, as far as the kernel takes it."""
        flow = self.out
        while flow is not None and not self.flushing and not self.transport.is_closing():
            if flow.broken:
                self.break_off()
                return
            piece = flow.take()
            if piece:
                self.write(*((b"%x\r\n" % len(piece), piece, b"\r\n") if self.chunked else (piece,)))
            elif flow.ended:
                flow.news, self.out = nothing, None
                if (not self.chunked or self.write(b"0\r\n\r\n")) and not self.answering:
                    self.settled()
                return
            else:
                return

    def exhausted(self, wait: int) -> None:
        """A refusal: another try is harmless, after `wait` tenths of a millisecond if that is not 0."""
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait / 10_000))] if wait else [])

    def errored(self) -> None:
        self.answer(502)

    def refuse(self, status: int) -> None:
        """What cannot be used ends its connection too: the next one costs its client a new one."""
        self.last = True
        self.answer(status)

    def answer(self, status: int, headers: list = (), body: bytes = b"", length: int | None = None) -> None:
        self.active_request = None
        if self.flow is not None:
            # It is answered before its end: the rest is read, as its client may send it first.
            self.flow.discard()
            self.last = True
        self.front.used(self)
        if self.transport.is_closing():
            return
        self.mark = self.gone, self.front.loop.time()
        length = len(body) if length is None else length
        framing = b"" if status in (204, 304) else b"Content-Length: %d" % length
        if self.verb == b"HEAD":
            body, framing = b"", framing if length else b""
        if self.write(self.head(status, headers, framing), body):
            self.settled() if self.flow is not None else self.flushed()

    def head(self, status: int, headers: list, framing: bytes) -> bytes:
        self.since = self.front.loop.time()
        ending = self.front.leaving() or self.front.crowded()
        # Guards requests that came early: what has been sent here was taken, though it is unread.
        if ending and not (self.requests or self.begun or self.incoming or self.unread()):
            self.last = True
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"OK"))]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self.last:
            lines.append(b"Connection: close\r\n")
        elif self.old:
            lines.append(b"Connection: keep-alive\r\n")
        lines.append(framing + b"\r\n\r\n" if framing else b"\r\n")
        return b"".join(lines)

    def write(self, *pieces: bytes) -> bool:
        self.gone += sum(map(len, pieces))
        return super().write(*pieces)
