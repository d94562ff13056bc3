"""Connections of the admin address: one call per connection, which closes after the response."""

import asyncio

import httptools

from shedgrade.http.connection import Connection
from shedgrade.sidecar.admin.calls import CallError, CommandHandler, dispatch

MAX_CONNECTIONS = 16  # open at once: a few operators' tools, and as many clients that never send a whole call
CALL_TIMEOUT_S = 2.0  # from connect until the connection is cut; callers wait 1 s for the response
MAX_CALL_BYTES = 16 * 1024  # the longest part is an upstream's id
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
    """Reads one call, executes it, sends the response and closes.

    Attributes:
        target: the part of the request target received so far.
        bytes_left: bytes that the rest of the call may have, of MAX_CALL_BYTES.
        complete: whether the call was received in full; bytes after it are ignored.
        answered: whether the response was written; the connection then closes.
        opened_at: when the connection was accepted, by the loop's clock.
    """

    def __init__(self, server: "AdminServer") -> None:
        super().__init__()
        self.server = server
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.target = b""
        self.bytes_left = MAX_CALL_BYTES
        self.complete = False
        self.answered = False
        self.opened_at = server.loop.time()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Called by the event loop when the connection is open; registers it with the server."""
        super().connection_made(transport)
        self.server.connections[self] = None

    def connection_lost(self, failure: Exception | None) -> None:
        """Called by the event loop when the connection has closed; removes it from the server."""
        self.server.connections.pop(self, None)
        self.parser = None  # breaks the reference cycle, so that no garbage collection is needed

    def read(self) -> None:
        """Parses the received bytes, and executes the call once it is complete."""
        for part in self.incoming.parts():
            self.bytes_left -= len(part)
            if not self.complete and not self.answered:
                self.parse(part)
        self.consume(len(self.incoming))
        if self.complete and not self.answered:
            self.execute_call()

    def parse(self, part: bytes | memoryview) -> None:
        """Feeds the parser. Responds with 400 to a malformed call and with 413 to one that is too long."""
        if self.parser is None:
            return  # the connection has ended
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            pass  # no other protocol is supported; the call is complete and is executed as it is
        except httptools.HttpParserError:
            self.answer(400, "that is no call")
        if self.bytes_left < 0 and not self.complete:
            self.answer(413, "the call is too long")

    def on_url(self, url: bytes) -> None:
        """Called by the parser with the next part of the request target; appends the part to `target`."""
        self.target += url

    def on_message_complete(self) -> None:
        """Called by the parser at the end of the call; marks the call as complete."""
        self.complete = True

    def execute_call(self) -> None:
        """Executes the received call; responds with an error status if the call is not valid."""
        if self.parser is None:
            return  # the connection has ended
        try:
            dispatch(self.parser.get_method(), self.target, self.server.commands, self.reply)
        except CallError as error:
            headers = [b"Allow: " + error.allowed] if error.allowed is not None else []
            self.answer(error.status, REASONS[error.status].decode().lower(), headers)

    def reply(self, done: bool, text: str) -> None:
        """Sends the result of the call: 200 on success, 503 otherwise."""
        self.answer(200 if done else 503, text)

    def answer(self, status: int, text: str, headers: list[bytes] | None = None) -> None:
        """Writes the response, if none was written before, and closes."""
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


class AdminServer:
    """The connections of the admin address: at most MAX_CONNECTIONS, beyond which the oldest one is cut.

    Attributes:
        connections: open connections, the oldest first.
        accepting: tasks that set up accepted connections; maintained by the listener.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, commands: CommandHandler) -> None:
        self.loop = loop
        self.commands = commands
        self.connections: dict[AdminConnection, None] = {}
        self.accepting: set[asyncio.Task[None]] = set()

    def make_room(self) -> bool:
        """Makes room for one more connection, and returns whether there is room.

        Guards against callers that connect and never complete a call: the oldest connection is cut.
        """
        while len(self.connections) >= MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.cut()
        return len(self.connections) + len(self.accepting) < MAX_CONNECTIONS

    def cut_overdue(self) -> None:
        """Cuts connections that are open for longer than CALL_TIMEOUT_S."""
        now = self.loop.time()
        for connection in list(self.connections):
            if now - connection.opened_at > CALL_TIMEOUT_S:
                connection.cut()

    def close(self) -> None:
        """Cuts all connections."""
        for connection in list(self.connections):
            connection.cut()
