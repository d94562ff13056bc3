"""A small HTTP/1.1 server for calls with short bodies: control, directory, readiness. Both planes use it.

One request of a connection is answered at a time; those that came early wait, unread as far as that goes.
"""

import select
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import parse_qsl

import httptools
import msgspec

from shedgrade.findings import Finding
from shedgrade.http.connection import LONGEST_HEAD, Connection
from shedgrade.http.http import REASONS as KNOWN_REASONS
from shedgrade.http.http import relative
from shedgrade.http.listener import Listener

REASONS = {
    **KNOWN_REASONS,
    405: b"Method Not Allowed",
    412: b"Precondition Failed",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
}
LONGEST_BODY = 8 * 1024 * 1024
JSON = b"application/json"
MOST = 256  # connections at once
LOOK = 2.0  # s between two looks at what takes too long
IDLE = 30.0  # s that a connection may wait for its next request
COMES = 10.0  # s within which a head must be whole, and from then on within which so many bytes of
STEP = 64 * 1024  # its body must come
TAKES = 10.0  # s within which something of an answer must be taken
LINGERS = 2.0  # s that a client which is refused has to read why


def never() -> bool:
    return False


@dataclass(slots=True)
class Request:
    """A whole request. `path`: as it was written, without the query; `query`: decoded, the last of a name;
    `headers`: names in lower case, values of one name joined by commas; `arrived_after`: the time of the
    server's `earliest` clock before which nothing of it had come; `caller_gone()`: whether its client has
    closed the connection, or only its own direction, as far as the kernel knows."""

    method: bytes
    path: bytes
    query: dict[str, str] = field(default_factory=dict)
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    arrived_after: float | None = None
    caller_gone: Callable[[], bool] = never


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer. `headers`: pairs, beside those of the framing and of the content's type."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    content_type: bytes = JSON


Respond = Callable[[Reply], None]
Handle = Callable[[Request, Respond], None]


def failure(status: int, *findings: Finding, headers: tuple[tuple[bytes, bytes], ...] = ()) -> Reply:
    """A reply whose body is `{"findings": [{"place", "text"}]}`."""
    return Reply(status, msgspec.json.encode({"findings": findings}), headers)


def refusal(status: int, text: str) -> Reply:
    """What a request that can't be read is answered with, and with it its connection ends."""
    return failure(status, Finding("request", text))


def hung_up(handle: int) -> bool:
    """Whether the other side of a socket has closed it, or its own direction."""
    if handle < 0:
        return True
    poll = select.poll()
    poll.register(handle, select.POLLRDHUP)
    return bool(poll.poll(0))


class HttpConnection(Connection):
    """One connection of a client."""

    def __init__(self, server: "HttpServer") -> None:
        super().__init__()
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[tuple[Request | Reply, bool]] = deque()  # a refusal stands in its turn
        self.number = 0  # of the request in hand; what is told of another goes nowhere
        self.in_hand: Request | None = None
        self.reading = False  # a loop of `read` is under way
        self.begun = self.headed = False  # a request is coming; its head is whole
        self.ending = False  # nothing is parsed any more
        self.last = False  # the request in hand, or answered, was the last
        self.ended = False  # its client sends no more
        self.lingering = False  # it was refused and may still be sending
        self.owes_continue = False
        self.since = server.loop.time()  # of its present state
        self.arrived_after = 0.0  # of the oldest bytes that are not answered
        self.mark = 0  # bytes that had come of the body, or were unsent, at the last look
        self.clear()

    def clear(self) -> None:
        self.target, self.headers, self.pieces = b"", {}, []
        self.size = self.head_size = self.raw_head = 0

    # --- the connection

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.server.connections[self] = None
        self.server.watch()

    def connection_lost(self, failure: Exception | None) -> None:
        self.number += 1
        self.in_hand = None
        self.ending = True
        self.waiting.clear()
        self.clear()
        self.give_back()
        self.server.connections.pop(self, None)
        self.parser = None  # holds on to this connection, which would wait for the collector

    def eof_received(self) -> bool:
        """Whoever closes only its own direction still gets the answers it waits for."""
        self.ended = True
        return not self.idle() and not self.lingering and not (self.begun and self.in_hand is None)

    def caller_gone(self) -> bool:
        """The client has closed, or sends no more; also if that is not read yet."""
        return (
            self.ended
            or self.transport.is_closing()
            or hung_up(self.transport.get_extra_info("socket").fileno())
        )

    def idle(self) -> bool:
        """Nothing of a request is here, and no answer is under way."""
        return not (
            self.begun or self.in_hand or self.waiting or self.flushing or self.incoming or self.lingering
        )

    def overdue(self, now: float) -> None:
        """Ends what has taken too long."""
        unsent = self.transport.get_write_buffer_size()
        if unsent:
            # Guards against answers that are not taken, which would be held for ever, on a connection that is
            # closing too.
            if unsent != self.mark:
                self.mark, self.since = unsent, now
            elif now - self.since > TAKES:
                self.transport.abort()
        elif self.transport.is_closing():
            return
        elif self.lingering:
            if now - self.since > LINGERS:
                self.cut()
        elif self.in_hand or self.waiting:
            return
        elif self.begun:
            if self.headed and self.size - self.mark >= STEP:
                self.mark, self.since = self.size, now
            elif now - self.since > COMES:
                # Guards against clients that hold their place by sending next to nothing.
                self.refuse(408, "did not come in time")
        elif now - self.since > IDLE:
            self.transport.close()

    # --- reading

    def buffer_updated(self, count: int) -> None:
        if not self.begun and not len(self.incoming):
            self.arrived_after = self.server.earliest()
        super().buffer_updated(count)

    def read(self) -> None:
        """Takes what may be taken now; goes on when the request in hand is answered."""
        if self.reading:
            return
        self.reading = True
        while self.in_hand is None and not self.flushing and not self.transport.is_closing():
            if self.lingering:
                self.used(len(self.incoming))
                break
            if self.waiting:
                self.take(*self.waiting.popleft())
            elif self.last or self.ending or (self.ended and not self.incoming):
                self.transport.close()
            elif not self.incoming:
                break
            else:
                self.parse(self.incoming.parts()[0])
        self.reading = False

    def flushed(self) -> None:
        self.since = self.server.loop.time()
        if not self.transport.is_closing():
            self.read()

    def parse(self, part: memoryview) -> None:
        if not self.headed:
            self.raw_head += len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self.ending = True  # nothing else is spoken here: the request is whole, and the last
        except httptools.HttpParserError:
            if not self.ending:  # what stands behind a last request belongs to nobody
                self.refuse(400, "is no request in HTTP/1.1")
        self.used(len(part))
        # Guards against a head that never ends, which the parser would gather.
        if self.begun and not self.headed and self.raw_head > 4 * LONGEST_HEAD:
            self.refuse(431, "has too long a head")

    def on_message_begin(self) -> None:
        self.clear()
        self.begun, self.headed, self.owes_continue = True, False, False
        self.since, self.mark = self.server.loop.time(), 0

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value) + 4
        if self.headed:
            return  # a trailer, which nobody here asks for
        if self.head_size > LONGEST_HEAD:
            self.refuse(431, "has too long a head")
            return
        name = name.lower()
        before = self.headers.get(name)
        self.headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        self.headed = True
        self.since = self.server.loop.time()
        if self.head_size > LONGEST_HEAD:
            self.refuse(431, "has too long a head")
        elif int(self.headers.get(b"content-length", b"0")) > LONGEST_BODY:
            self.refuse(413, "has too long a body")
        elif self.headers.get(b"expect", b"").lower() == b"100-continue":
            self.owes_continue = True
            self.encourage()

    def encourage(self) -> None:
        """The client waits for a word before it sends its body; the answers before this one go first."""
        if self.owes_continue and not self.waiting and self.in_hand is None and not self.ending:
            self.owes_continue = False
            if self.parser.get_http_version() == "1.1":
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.owes_continue = False
        if self.ending:
            return
        self.size += len(body)
        if self.size > LONGEST_BODY:
            self.refuse(413, "has too long a body")
        else:
            self.pieces.append(body)

    def on_message_complete(self) -> None:
        if self.ending:
            return
        self.begun = False
        path, _, query = relative(self.target).partition(b"?")
        pairs = parse_qsl(query.decode(errors="replace"), keep_blank_values=True) if query else ()
        request = Request(
            self.parser.get_method(),
            path,
            dict(pairs),
            self.headers,
            b"".join(self.pieces),
            self.arrived_after,
            self.caller_gone,
        )
        keeps = self.parser.should_keep_alive()
        self.waiting.append((request, keeps))
        self.ending = not keeps
        self.clear()

    def refuse(self, status: int, text: str) -> None:
        """What can't be read is answered in its turn, and nothing behind it is looked at."""
        if self.ending:
            return
        self.ending = True
        self.pieces = []
        self.waiting.append((refusal(status, text), False))
        self.read()

    # --- answering

    def take(self, request: Request | Reply, keeps: bool) -> None:
        self.last = not keeps
        if isinstance(request, Reply):
            self.lingering = True
            self.answer(request)
            return
        self.number += 1
        self.in_hand = request
        tell = partial(self.told, self.number)
        try:
            self.server.handle(request, tell)
        except Exception:  # guards the client against our faults, whose trace it must not see
            self.server.logger.exception("a call failed: {} {}", request.method, request.path)
            tell(failure(500, Finding("", "this call failed here")))

    def told(self, number: int, reply: Reply) -> None:
        """The first word about the request in hand counts; its client may have left since."""
        if self.in_hand is None or number != self.number:
            return
        self.answer(reply)
        self.encourage()
        self.read()

    def answer(self, reply: Reply) -> None:
        request, self.in_hand = self.in_hand, None
        if self.transport.is_closing():
            return
        self.last = self.last or self.server.leaving or (self.ending and not self.waiting)
        lines = [b"HTTP/1.1 %d %s" % (reply.status, REASONS.get(reply.status, b"Other"))]
        if reply.body:
            lines.append(b"Content-Type: " + reply.content_type)
        lines.append(b"Content-Length: %d" % len(reply.body))
        lines += [b"%s: %s" % pair for pair in reply.headers]
        if self.last:
            lines.append(b"Connection: close")
        elif request is not None and request.headers.get(b"connection", b"").lower() == b"keep-alive":
            lines.append(b"Connection: keep-alive")  # a client of HTTP/1.0 asks for this word
        lines += [b"", b"" if request is not None and request.method == b"HEAD" else reply.body]
        self.since, self.mark = self.server.loop.time(), -1
        self.transport.write(b"\r\n".join(lines))
        if self.lingering and self.transport.can_write_eof():
            # Guards against a reset, by which the client would lose the answer: it may still be sending.
            self.transport.write_eof()


class HttpServer:
    """Listens on one address. `handle` is called once for each whole request, with what it is to tell its
    reply to: exactly once, now or later; a client that has left makes that do nothing."""

    def __init__(
        self,
        loop,
        address: tuple[str, int],
        handle: Handle,
        logger,
        most: int = MOST,
        earliest: Callable[[], float] | None = None,
    ) -> None:
        """`logger`: has `exception(text, *values)`; `most`: connections at once; `earliest`: when what is
        read now can have come at the earliest (`ArrivalClock`), the loop's time if None."""
        self.earliest = earliest or loop.time
        self.loop, self.address, self.handle, self.logger, self.most = loop, address, handle, logger, most
        self.connections: dict[HttpConnection, None] = {}
        self.accepting: set = set()
        self.listener: Listener | None = None
        self.leaving = False
        self.timer = None

    async def start(self) -> None:
        """OSError if the address can't be had."""
        self.listener = Listener(self.loop, self, self.address, HttpConnection)
        self.listener.resume()

    @property
    def port(self) -> int:
        """On which it listens: told by the kernel, where the address said 0."""
        return self.listener.socket.getsockname()[1]

    def make_room(self) -> bool:
        """Guards against callers that connect and ask nothing: the one idle for longest goes for one that
        waits in the kernel."""
        if len(self.connections) + len(self.accepting) < self.most:
            return True
        poll = select.poll()
        poll.register(self.listener.socket, select.POLLIN)
        if not poll.poll(0):
            return True  # nobody needs the room: accepting will find that out too
        if self.accepting:
            return False  # these may be counted twice, until the loop's next pass
        idle = min((one for one in self.connections if one.idle()), key=lambda one: one.since, default=None)
        if idle is None:
            return False
        del self.connections[idle]
        idle.transport.close()
        return True

    def watch(self) -> None:
        if self.timer is None:
            self.timer = self.loop.call_later(LOOK, self.look)

    def look(self) -> None:
        self.timer = None
        self.look_after(self.loop.time())
        if self.connections:
            self.watch()

    def look_after(self, now: float) -> None:
        """Ends the connections on which something takes too long. `now`: of the loop's clock."""
        for connection in list(self.connections):
            connection.overdue(now)

    def stop_accepting(self) -> None:
        """New connections are refused; what has been asked is answered, and each connection ends then."""
        self.leaving = True
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            if connection.idle():
                connection.transport.close()

    def close(self) -> None:
        """Everything ends at once."""
        self.stop_accepting()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        for connection in list(self.connections):
            connection.cut()
