"""One connection to a stand-in upstream: a single request at a time."""

import asyncio
import json
from collections import deque

import httptools

from shedgrade.engines import content
from shedgrade.engines.engine import parse_priority
from shedgrade.engines.records import Run
from shedgrade.engines.work import Work

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    500: b"Oops",
    503: b"Busy",
    504: b"Too Late",
}
NOISE = b"\x00\x07this is no answer\r\n\r\n"
SOON = 0.05  # s to wait that a refusal tells
MOST_WAIT = 16  # requests that may wait on one connection before it is read no further


class ServerConnection(asyncio.Protocol):
    """What comes while a request is in hand waits for its turn."""

    def __init__(self, server) -> None:
        self.server, self.upstream, self.engine = server, server.upstream, server.engine
        self.transport, self.timer = None, None
        self.number = 0  # of the request at the engine
        self.busy = self.begun = False
        self.run: Run | None = None
        self.waits: deque = deque()  # requests that came early
        self.attempt, self.spoilt, self.streams, self.asked = "", "", False, b""
        self.last = False
        self.parser = httptools.HttpRequestParser(self)
        self.clear()

    def clear(self) -> None:
        self.headers, self.target, self.body = {}, b"", []

    # --- the connection

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.server.opened(self)
        self.idle()

    def connection_lost(self, failure) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.server.closed(self)
        self.parser = None

    def idle(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        limit = self.upstream.keep_alive_s
        self.timer = self.server.loop.call_later(limit, self.too_idle) if limit else None

    def too_idle(self) -> None:
        if not self.busy and not self.server.dark:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.server.dark:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, b"", not_executed=True, last=True)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower().decode()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    # --- a request

    def on_message_complete(self) -> None:
        self.waits.append((self.parser.get_method(), self.target, self.headers, b"".join(self.body)))
        self.clear()
        if len(self.waits) >= MOST_WAIT:
            self.transport.pause_reading()
        if not self.busy:
            self.take()

    def take(self) -> None:
        method, target, headers, body = self.waits.popleft()
        self.busy, self.begun, self.number, self.run = True, False, 0, None
        self.attempt, self.spoilt, self.streams = "", "", False
        now = self.server.loop.time()
        path = target.split(b"?", 1)[0].decode("latin-1")
        if method == b"GET" and path == "/report":
            self.answer(200, json.dumps(self.engine.report(now)).encode())
            return
        if method == b"GET" and path == self.upstream.health_path:
            self.health(now)
            return
        self.attempt = headers.get("attempt-id", "")
        self.asked = content.digest(method, target, body)
        resumed = headers.get("last-event-id", "")
        after = int(resumed) if resumed.isdigit() else 0
        self.run = Run(
            now,
            self.upstream.instance,
            self.upstream.service,
            self.upstream.zone,
            self.attempt,
            method.decode(),
            target.decode("latin-1"),
            self.asked,
            after,
        )
        self.run.cold = self.engine.cold_remaining_s(now) > 0
        self.server.record(self.run)
        wrong = self.wrong(headers)
        if wrong:
            self.turn_away(wrong)
            return
        self.spoilt = self.draw()
        if self.spoilt == "busy":
            self.turn_away(429)
            return
        self.streams = "token-usage" in headers
        self.server.submit(self, self.work(headers, now, after))

    def wrong(self, headers: dict) -> int:
        """The status for a request that is none of this upstream's; 0 if it is."""
        if not self.attempt:
            return 400
        if headers.get("target-instance", self.upstream.instance) != self.upstream.instance:
            return 421
        version = headers.get("expect-version")
        if version is not None and version != str(self.engine.versions.get(headers.get("model-name", ""))):
            return 421
        return 0

    def draw(self) -> str:
        for trouble, chance in self.upstream.troubles.items():
            if self.server.random.random() < chance:
                return trouble
        return ""

    def work(self, headers: dict, now: float, after: int) -> Work:
        left = headers.get("time-remaining")
        deadline = now + float(left) / 1000 if left else float("inf")
        priority = parse_priority(headers.get("priority"))
        if not self.streams:
            return Work(span_s=self.upstream.work_s, priority=priority, deadline=deadline)
        prompt, out = (int(count) for count in headers["token-usage"].split(","))
        parts = tuple(
            (name, int(tokens))
            for name, _, tokens in (
                part.strip().partition(":") for part in headers.get("prompt-prefix", "").split(",") if part
            )
        )
        return Work(
            prompt,
            out,
            parts,
            min(after * self.engine.settings.stride, out - 1),
            0.0,
            priority,
            deadline,
            headers.get("model-name", "m"),
        )

    def health(self, now: float) -> None:
        """Waits for a slot, or is rejected, as a request."""
        self.server.submit(self, Work())

    # --- what the engine tells

    def started(self, now: float) -> None:
        if self.run is not None:
            self.run.ran_at = now

    def event(self, number: int, tokens: int, version: int | None) -> None:
        if not self.begun:
            self.begun = True
            if self.spoilt == "error":
                self.stop_work()
                self.answer(500, b"")
                return
            self.transport.write(
                self.head(
                    200, [b"Content-Type: text/event-stream", b"Transfer-Encoding: chunked", *self.signed()]
                )
            )
        piece = content.event(self.asked, number, tokens, version)
        self.run.sent.append(number)
        self.transport.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        if self.spoilt == "cut" and number > 1:
            self.stop_work()
            self.outcome("cut")
            self.transport.close()

    def stop_work(self) -> None:
        self.server.in_hand.pop(self.number, None)
        self.engine.cancel(self.server.loop.time(), self.number)

    def done(self) -> None:
        if self.run is None:
            self.answer_health()
            return
        self.outcome("done")
        if self.spoilt == "noise" and not self.begun:
            self.transport.write(NOISE)
            self.transport.close()
            return
        if self.begun:
            self.transport.write(b"0\r\n\r\n")
        elif self.spoilt == "error":
            self.answer(500, b"")
            return
        else:
            self.answer(200, content.body(self.asked, self.upstream.answer_bytes), self.signed(), ends=False)
        if self.spoilt == "more":
            self.transport.write(NOISE)
        elif self.spoilt == "surplus" and not self.begun:
            self.answer(200, content.body(self.asked, self.upstream.answer_bytes), self.signed(), ends=False)
        self.ended()

    def answer_health(self) -> None:
        now = self.server.loop.time()
        lines = [b"Instance-Id: " + self.upstream.instance.encode()]
        left = self.engine.cold_remaining_s(now)
        if left > 0:
            lines.append(b"Cold-Remaining: %d" % (left * 1000))
        well = not self.server.draining and not self.server.unwell
        self.answer(200 if well else 503, b"", lines)

    def late(self) -> None:
        """The deadline came while it ran: it counts as run."""
        self.outcome("late")
        if self.begun:
            self.transport.close()
        else:
            self.answer(504, b"")

    def turn_away(self, status: int, why: str = "") -> None:
        """It has not run and never will."""
        self.outcome(f"{status} {why}".strip())
        self.answer(status, b"", not_executed=True)

    def outcome(self, word: str) -> None:
        if self.run is not None and not self.run.outcome:
            self.run.outcome = word

    # --- answers

    def signed(self) -> list[bytes]:
        """A success says whose it is."""
        versions = b"Versions: %d" % max(self.engine.versions.values(), default=1)
        told = content.seal(self.upstream.key, self.upstream.instance, self.attempt, self.asked)
        return [b"Server-Seal: " + told.encode(), versions]

    def head(self, status: int, lines: list[bytes]) -> bytes:
        told = [b"HTTP/1.1 %d %b" % (status, REASONS[status])]
        if self.run is not None and self.attempt:
            told.append(b"Attempt-Id: " + self.attempt.encode("latin-1"))
        chance = self.upstream.close_chance
        self.last = self.server.draining or bool(chance and self.server.random.random() < chance)
        if self.last:
            told.append(b"Connection: close")
        elif self.upstream.keep_alive_s:
            told.append(b"Keep-Alive: timeout=%d" % self.upstream.keep_alive_s)
        return b"\r\n".join([*told, *lines, b"", b""])

    def answer(
        self,
        status: int,
        body: bytes,
        lines: list[bytes] = (),
        *,
        not_executed: bool = False,
        last: bool = False,
        ends: bool = True,
    ) -> None:
        told = list(lines)
        if not_executed:
            told.append(b"Not-Executed: 1")
            told.append(b"Instance-Id: " + self.upstream.instance.encode())
            if status in (429, 503):
                told.append(b"Retry-After: %g" % SOON)
        told.append(b"Content-Length: %d" % len(body))
        self.transport.write(self.head(status, told) + body)
        self.last = self.last or last
        if ends:
            self.ended()

    def ended(self) -> None:
        """The next request may come."""
        self.number = 0
        if self.last or self.transport.is_closing():
            self.transport.close()
            return
        self.server.loop.call_soon(self.next)

    def next(self) -> None:
        if self.transport.is_closing() or self.parser is None:
            return
        self.busy = False
        if self.waits:
            self.transport.resume_reading()
            self.take()
        else:
            self.idle()
