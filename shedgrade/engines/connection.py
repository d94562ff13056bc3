"""A client's connection to a stand-in upstream; its requests run one at a time, in order."""

import asyncio
import json
from collections import deque

import httptools

from shedgrade.engines import content
from shedgrade.engines.engine import parse_priority
from shedgrade.engines.records import Run
from shedgrade.engines.work import Work

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    500: b"Oops",
    503: b"Busy",
    504: b"Too Late",
}
INVALID_RESPONSE = b"\x00\x07this is no answer\r\n\r\n"
RETRY_AFTER_S = 0.05  # value of the Retry-After header of 429 and 503
MAX_PIPELINED_REQUESTS = 16  # queued requests at which the connection is no longer read


class ServerConnection(asyncio.Protocol):
    """Runs the requests of one connection; those that arrive while one is running are queued.

    Attributes:
        timer: closes an idle connection; None once data has arrived.
        request_number: the engine's number of the running request; 0 if none has been submitted.
        busy: whether a request is running or its response is being finished.
        head_sent: whether the head of a streamed response has been sent.
        run: record of the running request; None for reports and health checks.
        pipelined: queued requests, each (method, target, headers, body).
        injected_fault: a key of `Upstream.troubles`, or "".
        is_streaming: whether the response is an event stream.
        request_digest: `content.digest` of the running request.
        close_after_response: whether the connection closes after the response.
        headers, target, body: the request that is being received.
    """

    def __init__(self, server) -> None:
        self.server, self.upstream, self.engine = server, server.upstream, server.engine
        self.transport, self.timer = None, None
        self.request_number = 0
        self.busy = self.head_sent = False
        self.run: Run | None = None
        self.pipelined: deque = deque()
        self.attempt_id, self.injected_fault, self.is_streaming, self.request_digest = "", "", False, b""
        self.close_after_response = False
        self.parser = httptools.HttpRequestParser(self)
        self.reset_request()

    def reset_request(self) -> None:
        """Prepares for the next request to be received."""
        self.headers, self.target, self.body = {}, b"", []

    # --- the connection

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.server.connection_opened(self)
        self.start_idle_timer()

    def connection_lost(self, failure) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.server.connection_closed(self)
        self.parser = None

    def start_idle_timer(self) -> None:
        """Closes the connection after `keep_alive_s` without data; never if that is 0."""
        if self.timer is not None:
            self.timer.cancel()
        limit = self.upstream.keep_alive_s
        self.timer = self.server.loop.call_later(limit, self.close_if_idle) if limit else None

    def close_if_idle(self) -> None:
        if not self.busy and not self.server.is_unresponsive:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self.server.is_unresponsive:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.send_response(400, b"", not_executed=True, close=True)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower().decode()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body.append(body)

    # --- requests

    def on_message_complete(self) -> None:
        self.pipelined.append((self.parser.get_method(), self.target, self.headers, b"".join(self.body)))
        self.reset_request()
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            self.transport.pause_reading()
        if not self.busy:
            self.start_request()

    def start_request(self) -> None:
        """Takes the oldest queued request; it is answered at once or submitted to the engine."""
        method, target, headers, body = self.pipelined.popleft()
        self.busy, self.head_sent, self.request_number, self.run = True, False, 0, None
        self.attempt_id, self.injected_fault, self.is_streaming = "", "", False
        now = self.server.loop.time()
        path = target.split(b"?", 1)[0].decode("latin-1")
        if method == b"GET" and path == "/report":
            self.send_response(200, json.dumps(self.engine.report(now)).encode())
            return
        if method == b"GET" and path == self.upstream.health_path:
            self.submit_health_check(now)
            return
        self.attempt_id = headers.get("attempt-id", "")
        self.request_digest = content.digest(method, target, body)
        last_event_id = headers.get("last-event-id", "")
        after = int(last_event_id) if last_event_id.isdigit() else 0
        self.run = Run(
            now,
            self.upstream.instance,
            self.upstream.service,
            self.upstream.zone,
            self.attempt_id,
            method.decode(),
            target.decode("latin-1"),
            self.request_digest,
            after,
        )
        self.run.cold = self.engine.cold_remaining_s(now) > 0
        self.server.record_run(self.run)
        status = self.rejection_status(headers)
        if status:
            self.reject(status)
            return
        self.injected_fault = self.draw_fault()
        if self.injected_fault == "busy":
            self.reject(429)
            return
        self.is_streaming = "token-usage" in headers
        self.server.submit(self, self.make_work(headers, now, after))

    def rejection_status(self, headers: dict) -> int:
        """The status of a request that this upstream can't serve; 0 if it can."""
        if not self.attempt_id:
            return 400
        if headers.get("target-instance", self.upstream.instance) != self.upstream.instance:
            return 421
        version = headers.get("expect-version")
        if version is not None and version != str(self.engine.versions.get(headers.get("model-name", ""))):
            return 421
        return 0

    def draw_fault(self) -> str:
        """The fault to inject into this response, drawn at random; "" for none."""
        for fault, chance in self.upstream.troubles.items():
            if self.server.random.random() < chance:
                return fault
        return ""

    def make_work(self, headers: dict, now: float, after: int) -> Work:
        """Translates a request's headers for the engine. `after`: the last event that the client has, 0 if
        none.
        """
        remaining_ms = headers.get("time-remaining")
        deadline = now + float(remaining_ms) / 1000 if remaining_ms else float("inf")
        priority = parse_priority(headers.get("priority"))
        if not self.is_streaming:
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

    def submit_health_check(self, now: float) -> None:
        """A health check waits for a slot, and can be rejected, like any request."""
        self.server.submit(self, Work())

    # --- effects of the engine

    def on_started(self, now: float) -> None:
        """The engine has begun to run the request."""
        if self.run is not None:
            self.run.ran_at = now

    def on_event(self, number: int, tokens: int, version: int | None) -> None:
        """Sends an event of a streamed response. `version`: of the weights, if it changed."""
        if not self.head_sent:
            self.head_sent = True
            if self.injected_fault == "error":
                self.cancel_work()
                self.send_response(500, b"")
                return
            self.transport.write(
                self.response_head(
                    200,
                    [
                        b"Content-Type: text/event-stream",
                        b"Transfer-Encoding: chunked",
                        *self.signature_lines(),
                    ],
                )
            )
        chunk = content.event(self.request_digest, number, tokens, version)
        self.run.sent.append(number)
        self.transport.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        if self.injected_fault == "cut" and number > 1:
            self.cancel_work()
            self.set_outcome("cut")
            self.transport.close()

    def cancel_work(self) -> None:
        """Stops the engine's work on the running request."""
        self.server.in_flight.pop(self.request_number, None)
        self.engine.cancel(self.server.loop.time(), self.request_number)

    def on_done(self) -> None:
        """The engine has completed the request: sends or ends the response."""
        if self.run is None:
            self.send_health_response()
            return
        self.set_outcome("done")
        if self.injected_fault == "noise" and not self.head_sent:
            self.transport.write(INVALID_RESPONSE)
            self.transport.close()
            return
        if self.head_sent:
            self.transport.write(b"0\r\n\r\n")
        elif self.injected_fault == "error":
            self.send_response(500, b"")
            return
        else:
            self.send_response(
                200,
                content.body(self.request_digest, self.upstream.answer_bytes),
                self.signature_lines(),
                finishes=False,
            )
        if self.injected_fault == "more":
            self.transport.write(INVALID_RESPONSE)
        elif self.injected_fault == "surplus" and not self.head_sent:
            self.send_response(
                200,
                content.body(self.request_digest, self.upstream.answer_bytes),
                self.signature_lines(),
                finishes=False,
            )
        self.finish_response()

    def send_health_response(self) -> None:
        """Answers a health check: 200, or 503 while the server drains or is unhealthy."""
        now = self.server.loop.time()
        lines = [b"Instance-Id: " + self.upstream.instance.encode()]
        cold_remaining_s = self.engine.cold_remaining_s(now)
        if cold_remaining_s > 0:
            lines.append(b"Cold-Remaining: %d" % (cold_remaining_s * 1000))
        is_healthy = not self.server.draining and not self.server.is_unhealthy
        self.send_response(200 if is_healthy else 503, b"", lines)

    def on_late(self) -> None:
        """The deadline passed while the request ran; the request counts as executed."""
        self.set_outcome("late")
        if self.head_sent:
            self.transport.close()
        else:
            self.send_response(504, b"")

    def reject(self, status: int, reason: str = "") -> None:
        """Answers a request that has not run and will not run."""
        self.set_outcome(f"{status} {reason}".strip())
        self.send_response(status, b"", not_executed=True)

    def set_outcome(self, outcome: str) -> None:
        """Sets the outcome of the running request unless it has one."""
        if self.run is not None and not self.run.outcome:
            self.run.outcome = outcome

    # --- responses

    def signature_lines(self) -> list[bytes]:
        """Header lines of a success: the seal, which proves who answered, and the version of the weights."""
        versions = b"Versions: %d" % max(self.engine.versions.values(), default=1)
        seal = content.seal(self.upstream.key, self.upstream.instance, self.attempt_id, self.request_digest)
        return [b"Server-Seal: " + seal.encode(), versions]

    def response_head(self, status: int, lines: list[bytes]) -> bytes:
        """The head of a response, which also decides whether the connection closes after it."""
        head_lines = [b"HTTP/1.1 %d %b" % (status, REASON_PHRASES[status])]
        if self.run is not None and self.attempt_id:
            head_lines.append(b"Attempt-Id: " + self.attempt_id.encode("latin-1"))
        chance = self.upstream.close_chance
        self.close_after_response = self.server.draining or bool(
            chance and self.server.random.random() < chance
        )
        if self.close_after_response:
            head_lines.append(b"Connection: close")
        elif self.upstream.keep_alive_s:
            head_lines.append(b"Keep-Alive: timeout=%d" % self.upstream.keep_alive_s)
        return b"\r\n".join([*head_lines, *lines, b"", b""])

    def send_response(
        self,
        status: int,
        body: bytes,
        lines: list[bytes] = (),
        *,
        not_executed: bool = False,
        close: bool = False,
        finishes: bool = True,
    ) -> None:
        """Sends a response that is complete.

        lines: further header lines. not_executed: says that the request has not run. close: closes the
        connection afterwards. finishes: whether the request ends with it.
        """
        header_lines = list(lines)
        if not_executed:
            header_lines.append(b"Not-Executed: 1")
            header_lines.append(b"Instance-Id: " + self.upstream.instance.encode())
            if status in (429, 503):
                header_lines.append(b"Retry-After: %g" % RETRY_AFTER_S)
        header_lines.append(b"Content-Length: %d" % len(body))
        self.transport.write(self.response_head(status, header_lines) + body)
        self.close_after_response = self.close_after_response or close
        if finishes:
            self.finish_response()

    def finish_response(self) -> None:
        """Ends the request; the next queued one starts in the next iteration of the event loop."""
        self.request_number = 0
        if self.close_after_response or self.transport.is_closing():
            self.transport.close()
            return
        self.server.loop.call_soon(self.start_next_request)

    def start_next_request(self) -> None:
        """Starts the next queued request, or waits for one."""
        if self.transport.is_closing() or self.parser is None:
            return
        self.busy = False
        if self.pipelined:
            self.transport.resume_reading()
            self.start_request()
        else:
            self.start_idle_timer()
