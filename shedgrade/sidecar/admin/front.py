"""The operators' address on sockets: one call to a connection, answered when it is done."""

import asyncio

import httptools

from shedgrade.http.connection import Connection
from shedgrade.sidecar.admin.calls import CallError, Orders, dispatch

MAX_CONNECTIONS = 16  # at once: a few operators' tools, and as many that never finish
CALL_TIMEOUT_S = 2.0  # within which a call must be complete: its caller waits 1 s for the answer
MAX_CALL_BYTES = 16 * 1024  # an upstream's id is the longest part
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}


class AdminConnection(Connection):
    """One call: read, handed over, answered, closed.

    Attributes:
        target: the request target, as far as it has come.
        bytes_left: that the call may still have.
        complete: the call is complete; what comes behind it is ignored.
        answered: an answer was written, and the connection closes.
        opened_at: by the loop's clock.
    """

    def __init__(self, front: "AdminFront") -> None:
        super().__init__()
        self.front = front
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.bytes_left = MAX_CALL_BYTES
        self.complete = False
        self.answered = False
        self.opened_at = front.loop.time()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Called by the loop."""
        super().connection_made(transport)
        self.front.connections[self] = None

    def connection_lost(self, failure: Exception | None) -> None:
        """Called by the loop."""
        self.front.connections.pop(self, None)
        self.parser = None  # holds on to this connection, which would wait for the collector

    def read(self) -> None:
        """Bytes have come."""
        for part in self.incoming.parts():
            self.bytes_left -= len(part)
            if not self.complete and not self.answered:
                self.parse(part)
        self.used(len(self.incoming))
        if self.complete and not self.answered:
            self.hand_over()

    def parse(self, part: bytes | memoryview) -> None:
        """Feeds the parser; what is no call, or too long a one, is answered so."""
        if self.parser is None:
            return  # the connection has ended
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            pass  # nothing else is spoken here: the call is complete, and answered as it is
        except httptools.HttpParserError:
            self.answer(400, "that is no call")
        if self.bytes_left < 0 and not self.complete:
            self.answer(413, "the call is too long")

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self.target += url

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.complete = True

    def hand_over(self) -> None:
        """Has the call carried out."""
        if self.parser is None:
            return  # the connection has ended
        try:
            dispatch(self.parser.get_method(), self.target, self.front.orders, self.reply)
        except CallError as error:
            headers = [b"Allow: " + error.allowed] if error.allowed is not None else []
            self.answer(error.status, REASONS[error.status].decode().lower(), headers)

    def reply(self, done: bool, text: str) -> None:
        """The call has been done, or can't be."""
        self.answer(200 if done else 503, text)

    def answer(self, status: int, text: str, headers: list[bytes] | None = None) -> None:
        """Writes the answer, once, and closes."""
        if self.answered or self.transport is None or self.transport.is_closing():
            return
        self.answered = True
        body = text.encode() + b"\n"
        lines = [
            b"HTTP/1.1 %d %s" % (status, REASONS[status]),
            b"Content-Type: text/plain",
            b"Content-Length: %d" % len(body),
            b"Connection: close",
            *(headers or []),
            b"",
            body,
        ]
        self.write(b"\r\n".join(lines))
        self.transport.close()


class AdminFront:
    """The connections of the operators' address, and the room for more: always enough for one call.

    Attributes:
        connections: the oldest first.
        accepting: tasks of connections that were accepted and are being taken up; the listener keeps it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, orders: Orders) -> None:
        self.loop = loop
        self.orders = orders
        self.connections: dict[AdminConnection, None] = {}
        self.accepting: set[asyncio.Task[None]] = set()

    def make_room(self) -> bool:
        """Guards against callers that connect and finish nothing: the oldest one goes for each that comes."""
        while len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.cut()
        return len(self.connections) + len(self.accepting) < MAX_CONNECTIONS

    def cut_overdue(self) -> None:
        """Cuts callers whose call is not answered in time."""
        now = self.loop.time()
        for connection in list(self.connections):
            if now - connection.opened_at > CALL_TIMEOUT_S:
                connection.cut()

    def close(self) -> None:
        """Cuts all callers."""
        for connection in list(self.connections):
            connection.cut()
