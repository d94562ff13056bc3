"""The application's side: HTTP/1.1 requests come in, final answers go out."""
import fcntl
import select
import socket
import termios
from collections import deque

import httptools
from loguru import logger

from shedgrade.memory.in_hand import Answer, Carried, Request
from shedgrade.wire.connection import LONGEST_BODY, LONGEST_HEAD, Connection, MessageError, passed_on

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 408: b"Request Timeout", 409: b"Conflict",
           413: b"Content Too Large", 502: b"Bad Gateway", 503: b"Service Unavailable"}
BACKLOG = 1024          # connections that the kernel holds while the loop is busy
AT_ONCE = 32            # connections accepted in one pass of the loop: what is open gets its turn too
PAUSE = 0.005           # s until there may be room again: what was closed is gone by then
COMES = 2.0             # s within which a connection's first request, or any that has begun, must be whole
TAKES = 5.0             # s within which an answer must be taken: any request has ended by then
ONCE = (b"x-request-id", b"x-timeout-ms")       # headers of which a second one makes a request ambiguous
LONGEST_TIMEOUT = 3_600_000     # ms that a client may say it waits: an hour, to keep out nonsense


class ApplicationConnection(Connection):
    """One connection of the application. One RPC at a time: what comes early waits in the ring."""

    def __init__(self, front, who: str = "") -> None:
        """`who`: the name under which its owner has logged in, if it has."""
        super().__init__()
        self.front, self.who = front, who
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque = deque()      # whole requests that came early
        self.carried: Carried | None = None
        self.last = False                   # no request after the one in hand
        self.reading = False                # a loop of `read` is under way
        self.begun = False                  # a request has begun to come and is not whole
        self.proven = False                 # a whole request has come
        self.since = front.loop.time()    # of what `overdue` measures: opened, begun, answered
        self.clear()

    def clear(self) -> None:
        self.target, self.headers, self.body, self.length = b"", [], [], 0
        self.headed, self.head_left = False, LONGEST_HEAD

    # --- the connection

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.front.opened(self)

    def connection_lost(self, failure: Exception | None) -> None:
        self.last = True
        self.requests.clear()
        if self.carried is not None:
            self.front.turn.left(self.carried)
            self.carried = None
        self.front.closed(self)
        self.parser = None      # holds on to this connection, which would wait for the collector

    def overdue(self, now: float) -> None:
        """Ends what has taken too long to come or to be taken, with an answer where one can still be read."""
        if self.transport.is_closing() or self.carried is not None:
            return
        late = now - self.since
        if self.flushing:
            if late > TAKES:
                self.transport.abort()
        elif late > COMES and (self.begun or not self.proven) and not self.unread():
            self.last = True
            if self.begun:
                self.answer(408)
            else:
                self.transport.close()

    def idle(self) -> bool:
        """Between two requests, and nothing unread in the kernel either: closing now loses no request."""
        return not (self.unanswered() or self.begun or self.incoming or self.unread())

    def unread(self) -> bool:
        """Bytes wait in the kernel."""
        if self.transport.is_closing():
            return True
        handle = self.transport.get_extra_info("socket").fileno()
        return fcntl.ioctl(handle, termios.FIONREAD, b"\0\0\0\0") != b"\0\0\0\0"

    def ended(self) -> bool:
        """Its client's end of file, or a reset, waits in the kernel."""
        if self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def unanswered(self) -> bool:
        """Requests that are whole and have no answer yet, or an answer that is still being written."""
        return bool(self.requests) or self.carried is not None or self.flushing

    def close(self) -> None:
        self.last = True
        self.transport.close()

    # --- reading

    def read(self) -> None:
        """Goes on while nothing is in hand; an answer given meanwhile does not start a second such loop."""
        if self.reading:
            return
        self.reading = True
        while self.carried is None and not self.flushing and not self.last:
            if self.requests:
                self.next()
            elif self.incoming:
                self.parse(self.incoming.parts()[0])
            else:
                break
        self.reading = False

    def parse(self, part: memoryview) -> None:
        try:
            self.head_left -= 0 if self.headed else len(part)
            self.parser.feed_data(part)
            # Guards against a head without end: the parser would gather it until memory is gone.
            if self.begun and not self.headed and self.head_left < 0:
                self.requests.append(MessageError(413))
        except httptools.HttpParserUpgrade:
            # Nothing else is spoken here: answered as a plain request, after which the connection ends.
            self.requests[-1] = (*self.requests[-1][:-1], True)
        except httptools.HttpParserError as failure:
            why = failure.__context__
            self.requests.append(why if isinstance(why, MessageError) else MessageError(400))
            if len(self.requests) > 1:
                # Guards against a length that is too short: what came in one piece with bytes that are no
                # request is none either, and is not passed on.
                self.requests = deque([*([MessageError(400, False)] * (len(self.requests) - 1)),
                                       self.requests[-1]])
        self.used(len(part))

    def flushed(self) -> None:
        if self.last and self.carried is None:
            self.transport.close()
        else:
            self.read()

    def next(self) -> None:
        """Takes up the next whole request."""
        request = self.requests.popleft()
        if isinstance(request, MessageError):
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
        self.since = self.front.loop.time() if self.proven else self.since
        self.clear()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.grown(len(url), LONGEST_HEAD, 413)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:     # what trails a body is not the head's
            return
        self.headers.append((name, value))
        self.grown(len(name) + len(value), LONGEST_HEAD, 413)

    def on_headers_complete(self) -> None:
        self.length, self.headed = 0, True
        for name, value in self.headers:
            if name.lower() == b"content-length" and int(value) > LONGEST_BODY:
                raise MessageError(413)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)
        self.grown(len(body), LONGEST_BODY, 413)

    def on_message_complete(self) -> None:
        self.begun, self.proven = False, True
        self.requests.append((self.parser.get_method(), self.target, self.headers, b"".join(self.body),
                              not self.parser.should_keep_alive()))
        self.clear()

    # --- RPCs

    def take(self, verb: bytes, target: bytes, headers: list, body: bytes) -> None:
        path = target.split(b"?", 1)[0]
        if path == b"/up":
            self.answer(200 if self.front.ready() else 503)
            return
        known: dict[bytes, bytes] = {}
        for name, value in headers:
            name = name.lower()
            if name in ONCE and name in known:
                self.refuse(400)
                return
            known[name] = value
        method = self.front.methods.get(path.split(b"/", 2)[1] if path.startswith(b"/") else b"")
        wait = known.get(b"x-timeout-ms", b"")
        name = known.get(b"x-request-id")
        if not name or not wait.isdigit() or len(wait) > 9 or not 0 < int(wait) <= LONGEST_TIMEOUT:
            self.refuse(400)
            return
        if method is None:
            self.refuse(404)
            return
        tenant = self.tenant(known.get(b"x-attrs", b"")) if self.front.tenants else 0
        if tenant is None:
            self.refuse(400)
            return
        # Guards against work for nobody after a stall of our own: the request is read before the end of its
        # connection, whose client left meanwhile.
        if self.front.stalled() and self.ended():
            self.close()
            return
        if name in self.front.turn.in_hand.names:
            self.refuse(409)    # somebody waits under this id: two answers could not be told apart
            return
        kept = [(name, value) for name, value in passed_on(headers) if name.lower() != b"x-timeout-ms"]
        request = Request(name, verb, target, kept, body)
        if not self.front.room_for(len(request)):
            self.exhausted(0)
            return
        self.carried = Carried(self, request, self.who)
        self.front.turn.arrived(self.carried, method, int(wait), known.get(b"x-retried") == b"1", tenant)

    def tenant(self, attributes: bytes) -> int | None:
        """The tenant's number in `X-Attrs`, 0 where none is named; None if it is not sound."""
        for pair in attributes.split(b","):
            name, _, value = pair.partition(b"=")
            if name.strip() == b"project":
                value = value.strip()
                sound = value.isdigit() and len(value) < 6 and int(value) < self.front.tenants
                return int(value) if sound else None
        return 0

    def completed(self, answer: Answer) -> None:
        self.answer(200, answer.headers, answer.body)

    def exhausted(self, wait: int) -> None:
        """A refusal: another try is harmless, after `wait` tenths of a millisecond if that is not 0."""
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait / 10_000))] if wait else [])

    def errored(self) -> None:
        self.answer(502)

    def refuse(self, status: int) -> None:
        """What cannot be used ends its connection too: the next one costs its client a new one."""
        self.last = True
        self.answer(status)

    def answer(self, status: int, headers: list = (), body: bytes = b"") -> None:
        self.carried = None
        self.since = self.front.loop.time()
        self.front.used(self)
        if self.transport.is_closing():
            return
        ending = self.front.leaving() or self.front.crowded()
        if ending and not (self.requests or self.begun or self.incoming):
            self.last = True
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS[status])]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self.last:
            lines.append(b"Connection: close\r\n")
        lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
        if self.write(b"".join(lines), body):
            self.flushed()


class Listener:
    """Accepts the application's connections, as many as there is room for; the rest wait in the kernel."""

    def __init__(self, loop, front, address: tuple[str, int], connection=ApplicationConnection,
                 shared: bool = False, given: socket.socket | None = None) -> None:
        """`connection`: the class of what is accepted for this front; `shared`: an upgrade's other process
        may listen there too; `given`: its listening socket, which is then used by both."""
        self.loop, self.front, self.connection = loop, front, connection
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = given or socket.create_server(address, family=family, backlog=BACKLOG,
                                                    reuse_port=shared)
        self.socket.setblocking(False)
        self.tasks = front.accepting
        self.accepting = self.handed_over = False

    def hand_over(self, other: bool) -> None:
        """Another process accepts from the same socket, whatever waits there included; or no more."""
        self.handed_over = other
        (self.pause if other else self.resume)()

    def resume(self) -> None:
        if not self.accepting and not self.handed_over and self.socket.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.socket, self.accept)

    def pause(self) -> None:
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.socket)

    def waiting(self) -> bool:
        """A connection waits to be accepted, or is being taken up."""
        if self.tasks or self.handed_over:
            return bool(self.tasks)
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def accept(self) -> None:
        for _ in range(AT_ONCE):
            # Guards against a crowd: out of descriptors, the kernel's queue would be thrown away.
            if not self.front.make_room():
                self.pause()
                self.loop.call_later(PAUSE, self.resume)
                return
            try:
                connection, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as failure:
                logger.warning("accepting failed: {}", failure.strerror)
                return
            task = self.loop.create_task(self.take(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def take(self, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: self.connection(self.front), connection)
        except (OSError, RuntimeError):     # it was gone before it was taken up
            connection.close()

    def close(self) -> None:
        self.pause()
        self.socket.close()
