"""The second address on sockets: one call to a connection, answered when it is done."""

import httptools

from shedgrade.http.connection import Connection
from shedgrade.sidecar.admin.calls import NoCallError, Orders, call

MOST = 16  # connections at once: a few operators' tools, and as many that never finish
COMES = 2.0  # s within which a call must be whole: its caller waits 1 s for the answer
LONGEST = 16 * 1024  # bytes of a call; an upstream's id is the longest part
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
    """One call: read, handed over, answered, closed."""

    def __init__(self, front: "AdminFront") -> None:
        super().__init__()
        self.front = front
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.left, self.whole, self.answered = b"", LONGEST, False, False
        self.since = front.loop.time()

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.front.calls[self] = None

    def connection_lost(self, failure: Exception | None) -> None:
        self.front.calls.pop(self, None)
        self.parser = None  # holds on to this connection, which would wait for the collector

    def read(self) -> None:
        for part in self.incoming.parts():
            self.left -= len(part)
            if self.whole or self.answered:
                continue  # one call to a connection: what comes behind it is nobody's
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade:
                pass  # nothing else is spoken here: the call is whole, and answered as it is
            except httptools.HttpParserError:
                self.answer(400, "that is no call")
            if self.left < 0 and not self.whole:
                self.answer(413, "the call is too long")
        self.used(len(self.incoming))
        if self.whole and not self.answered:
            self.hand_over()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        self.whole = True

    def hand_over(self) -> None:
        try:
            call(self.parser.get_method(), self.target, self.front.orders, self.told)
        except NoCallError as wrong:
            status, *allowed = wrong.args
            words = REASONS[status].decode().lower()
            self.answer(status, words, [b"Allow: " + verb for verb in allowed])

    def told(self, yes: bool, words: str) -> None:
        self.answer(200 if yes else 503, words)

    def answer(self, status: int, words: str, more: list[bytes] = ()) -> None:
        if self.answered or self.transport.is_closing():
            return
        self.answered = True
        body = words.encode() + b"\n"
        lines = [
            b"HTTP/1.1 %d %s" % (status, REASONS[status]),
            b"Content-Type: text/plain",
            b"Content-Length: %d" % len(body),
            b"Connection: close",
            *more,
            b"",
            body,
        ]
        self.write(b"\r\n".join(lines))
        self.transport.close()


class AdminFront:
    """The second address' connections, and the room for more: never less than the room for one call."""

    def __init__(self, loop, orders: Orders) -> None:
        self.loop, self.orders = loop, orders
        self.calls: dict[AdminConnection, None] = {}  # the oldest first
        self.accepting: set = set()

    def make_room(self) -> bool:
        """Guards against callers that connect and finish nothing: the oldest one goes for each that comes."""
        while len(self.calls) >= MOST:
            oldest = next(iter(self.calls))
            del self.calls[oldest]
            oldest.cut()
        return len(self.calls) + len(self.accepting) < MOST

    def look_after(self) -> None:
        now = self.loop.time()
        for connection in list(self.calls):
            if now - connection.since > COMES:
                connection.cut()

    def close(self) -> None:
        for connection in list(self.calls):
            connection.cut()
