"""The application's side: HTTP/1.1 requests come in, final answers go out."""
from collections import deque

import httptools

from shedgrade.memory.in_hand import Answer, Carried, Request
from shedgrade.wire.connection import LONGEST_BODY, LONGEST_HEAD, Connection, MessageError, passed_on

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 413: b"Content Too Large",
           502: b"Bad Gateway", 503: b"Service Unavailable"}
LONGEST_TIMEOUT = 3_600_000     # ms that a client may say it waits: an hour, to keep out nonsense


class ApplicationConnection(Connection):
    """One connection of the application. One RPC at a time: what comes early waits in the ring."""

    def __init__(self, sidecar) -> None:
        super().__init__()
        self.sidecar = sidecar
        self.parser = httptools.HttpRequestParser(self)
        self.requests: deque = deque()      # whole requests that came early
        self.carried: Carried | None = None
        self.last = False                   # no request after the one in hand
        self.reading = False
        self.clear()

    def clear(self) -> None:
        self.target, self.headers, self.body, self.length = b"", [], [], 0

    # --- the connection

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.sidecar.opened(self)

    def connection_lost(self, failure: Exception | None) -> None:
        self.last = True
        self.requests.clear()
        if self.carried is not None:
            self.sidecar.turn.left(self.carried)
            self.carried = None
        self.sidecar.closed(self)

    def idle(self) -> bool:
        return self.carried is None and not self.requests and not self.flushing and not len(self.incoming)

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
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self.requests.append(MessageError(400))
        except httptools.HttpParserError as failure:
            why = failure.__context__
            self.requests.append(why if isinstance(why, MessageError) else MessageError(400))
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
            self.last = True
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
        self.clear()

    def on_url(self, url: bytes) -> None:
        self.target += url
        self.grown(len(url), LONGEST_HEAD, 413)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))
        self.grown(len(name) + len(value), LONGEST_HEAD, 413)

    def on_headers_complete(self) -> None:
        self.length = 0
        for name, value in self.headers:
            if name.lower() == b"content-length" and int(value) > LONGEST_BODY:
                raise MessageError(413)

    def on_body(self, body: bytes) -> None:
        self.body.append(body)
        self.grown(len(body), LONGEST_BODY, 413)

    def on_message_complete(self) -> None:
        self.requests.append((self.parser.get_method(), self.target, self.headers, b"".join(self.body),
                              not self.parser.should_keep_alive()))
        self.clear()

    # --- RPCs

    def take(self, verb: bytes, target: bytes, headers: list, body: bytes) -> None:
        path = target.split(b"?", 1)[0]
        if path == b"/up":
            self.answer(200 if self.sidecar.ready() else 503)
            return
        known = {name.lower(): value for name, value in headers}
        method = self.sidecar.methods.get(path.split(b"/", 2)[1] if path.startswith(b"/") else b"")
        wait = known.get(b"x-timeout-ms", b"")
        if not known.get(b"x-request-id") or not wait.isdigit() or not 0 < int(wait) <= LONGEST_TIMEOUT:
            self.answer(400)
            return
        if method is None:
            self.answer(404)
            return
        kept = [(name, value) for name, value in passed_on(headers) if name.lower() != b"x-timeout-ms"]
        self.carried = Carried(self, Request(verb, target, kept, body))
        self.sidecar.turn.arrived(self.carried, method, int(wait), known.get(b"x-retried") == b"1")

    def completed(self, answer: Answer) -> None:
        self.answer(200, answer.headers, answer.body)

    def exhausted(self, wait: int) -> None:
        """A refusal: another try is harmless, after `wait` tenths of a millisecond if that is not 0."""
        self.answer(503, [(b"Retry-After", b"%.3f" % (wait / 10_000))] if wait else [])

    def errored(self) -> None:
        self.answer(502)

    def answer(self, status: int, headers: list = (), body: bytes = b"") -> None:
        self.carried = None
        if self.transport.is_closing():
            return
        if self.sidecar.leaving():
            self.last = self.last or not (self.requests or len(self.incoming))
        lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS[status])]
        lines += [b"%s: %s\r\n" % pair for pair in headers]
        if self.last:
            lines.append(b"Connection: close\r\n")
        lines.append(b"Content-Length: %d\r\n\r\n" % len(body))
        if self.write(b"".join(lines), body):
            self.flushed()
