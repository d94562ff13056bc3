"""The parsing half of an inbound connection: HTTP/1.1 requests, complete or as a flow, within limits."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools

from shedgrade.buffers.budget import Budget
from shedgrade.buffers.flow import SMALL_MESSAGE_BYTES, Flow, no_op
from shedgrade.http.connection import Connection
from shedgrade.http.message_grammar import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    OPTIONAL_WHITESPACE,
    Headers,
    content_length,
)
from shedgrade.in_flight import ActiveRequest, ActiveRequests
from shedgrade.runtime.loop_errors import log_exception

MAX_FRAMING_RATIO = 64  # bytes of framing for each byte of a body, beyond MAX_HEAD_BYTES
FIRST_REQUEST_TIMEOUT_S = 2.0  # from the connection's start to that of its first request
HEAD_TIMEOUT_S = 2.5  # from the first byte of a head to its last; slow clients take 2 s


class RequestError(Exception):
    """A request is invalid.

    Attributes:
        status: status of the response to it.
        closing: the connection closes after that response.
    """

    def __init__(self, status: int, closing: bool = True) -> None:
        super().__init__(status)
        self.status = status
        self.closing = closing


class ParsedRequest(NamedTuple):
    """A complete request. `closing`: the connection closes after the response."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    closing: bool


class RequestEvents(Protocol):
    """The receiver of requests (`request_dispatch`)."""

    active_requests: ActiveRequests

    def submit(
        self, active_request: ActiveRequest, method: int, wait: int, retried: bool, tenant: int = 0
    ) -> None:
        """Submits an admitted request; `wait`: time that its client waits, in ms."""

    def client_disconnected(self, active_request: ActiveRequest) -> None:
        """Reports that the client has disconnected, or that the request will not be complete."""

    def body_received(self, active_request: ActiveRequest, buffered: bool, complete: bool) -> None:
        """Reports progress of a long request.

        `buffered`: all its bytes are still buffered; `complete`: its last byte has come.
        """


class InboundFront(Protocol):
    """What an inbound connection uses of the front that accepted it (`upstream_pool.front`)."""

    loop: asyncio.AbstractEventLoop
    budget: Budget
    dispatcher: RequestEvents
    ready: Callable[[], bool]
    draining: Callable[[], bool]

    def opened(self, connection: object) -> None:
        """Reports an open connection."""

    def response_sent_on(self, connection: object) -> None:
        """Reports a response on a connection."""

    def closed(self, connection: object) -> None:
        """Reports a lost connection."""

    def closes_after_response(self) -> bool:
        """Whether connections close after their next response, as there are too many."""

    def can_buffer(self, count: int) -> bool:
        """Whether there is memory for a request of `count` bytes."""

    def recently_stalled(self) -> bool:
        """Whether this process was stalled a moment ago."""


class RequestParser(Connection):
    """Feeds httptools, whose callbacks assemble one request after another.

    Attributes:
        parsed_requests: complete requests that wait for the current one, and errors to be answered, in order.
        closing: no request is handled after the current one.
        request_begun: a request has begun to come and is not complete.
        any_request_complete: a request has been complete on this connection.
        waiting_since: loop time when the connection was opened, a request began, or a response began.
        request_flow: flow of a long request whose bytes are still coming; None otherwise, and for requests
            that are assembled in `body`.
        progress_bytes: bytes that had come, or had been read by the client, when progress was last noted.
        progress_at: loop time of that.
        bytes_received: all bytes that have come.
        budgeted_bytes: size of `body`, which the budget counts; 0 while there is a `request_flow`.
        target, headers, body: of the request that is coming.
        length: bytes of its head until `head_complete`, of its body from then on.
        head_complete: its head is complete.
        head_bytes_left: bytes that may still come before that.
        framed_bytes: bytes that have come after the head, including framing.
        expects_continue: its client waits for `100 Continue`.
    """

    # Limits for clients; another protocol sets its own.
    flow_above_bytes = SMALL_MESSAGE_BYTES
    max_head_bytes = MAX_HEAD_BYTES
    max_body_bytes = MAX_BODY_BYTES
    first_request_timeout_s = FIRST_REQUEST_TIMEOUT_S
    head_timeout_s = HEAD_TIMEOUT_S

    def __init__(self, front: InboundFront) -> None:
        super().__init__(front.budget)
        self.front = front
        self.parser = httptools.HttpRequestParser(self)
        self.parsed_requests: deque[ParsedRequest | RequestError] = deque()
        self.closing = False
        self.request_begun = False
        self.any_request_complete = False
        self.waiting_since = front.loop.time()
        self.request_flow: Flow | None = None
        self.progress_bytes = 0
        self.progress_at = 0.0
        self.bytes_received = 0
        self.budgeted_bytes = 0
        self.reset_request()

    def reset_request(self) -> None:
        """Prepares for the next request."""
        self.add_to_budget(-self.budgeted_bytes)
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.length = 0
        self.head_complete = False
        self.head_bytes_left = self.max_head_bytes
        self.framed_bytes = 0
        self.expects_continue = False

    def add_to_budget(self, more: int) -> None:
        """Adds `more` to the bytes of the incomplete body, which the budget counts."""
        self.budgeted_bytes += more
        self.front.budget.bytes += more

    def note_progress(self, count: int, now: float) -> None:
        """Notes that `count` bytes had come, or had been read by the client, at `now`."""
        self.progress_bytes = count
        self.progress_at = now

    def buffer_updated(self, count: int) -> None:
        """Called by the event loop: `count` bytes were read."""
        self.bytes_received += count
        super().buffer_updated(count)

    def feed(self, part: memoryview) -> None:
        """Parses bytes of the incoming ring.

        For an invalid request the RequestError is queued in its place.
        """
        try:
            if self.head_complete:
                self.framed_bytes += len(part)
            else:
                self.head_bytes_left -= len(part)
            self.parser.feed_data(part)
            # Guards against endless trailers.
            if self.request_begun and self.framed_bytes > MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self.length:
                raise RequestError(413)
            # Guards against an endless head: the parser would buffer it until memory is exhausted.
            if self.request_begun and not self.head_complete and self.head_bytes_left < 0:
                self.parsed_requests.append(RequestError(413))
        except RequestError as error:
            self.parsed_requests.append(error)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here: the request is answered, then the connection closes.
            upgrading = self.parsed_requests[-1]
            assert isinstance(upgrading, ParsedRequest)
            self.parsed_requests[-1] = upgrading._replace(closing=True)
        except httptools.HttpParserError as error:
            self.parse_failed(error)

    def parse_failed(self, error: httptools.HttpParserError) -> None:
        """Queues the error of invalid bytes, or the one that a callback below has raised."""
        cause = error.__context__
        if isinstance(error, httptools.HttpParserCallbackError) and not isinstance(cause, RequestError):
            # Not the client's fault. The part of the request that was forwarded may have run.
            log_exception("request handling failed", cause)
            if self.request_begun:
                self.parsed_requests.append(RequestError(502))
            elif self.parsed_requests:
                self.parsed_requests[-1] = RequestError(502)
            else:
                self.closing = True  # a long request, which is complete and gets its response
            return
        self.parsed_requests.append(cause if isinstance(cause, RequestError) else RequestError(400))
        if len(self.parsed_requests) > 1:
            # Guards against a Content-Length that is too short: requests that came in one read with invalid
            # bytes are rejected as well, and not forwarded.
            rejected = [RequestError(400, closing=False) for _ in range(len(self.parsed_requests) - 1)]
            self.parsed_requests = deque([*rejected, self.parsed_requests[-1]])

    def flow_complete(self, flow: Flow) -> None:
        """Called when the last byte of a long request has come."""
        raise NotImplementedError

    # --- callbacks of httptools

    def add_length(self, count: int, limit: int, status: int) -> None:
        """Counts bytes of the head or of the body. Raises RequestError if there are more than `limit`."""
        self.length += count
        if self.length > limit:
            raise RequestError(status)

    def on_message_begin(self) -> None:
        """Called by the parser: a request begins."""
        self.request_begun = True
        self.waiting_since = self.front.loop.time()
        self.reset_request()

    def on_url(self, url: bytes) -> None:
        """Called by the parser: a part of the target."""
        self.target += url
        self.add_length(len(url), self.max_head_bytes, 413)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser: a header or a trailer."""
        if self.head_complete:  # a trailer, which is not used
            return
        value = value.strip(OPTIONAL_WHITESPACE)
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = self.parser.get_http_version() != "1.0"
        self.headers.append((name, value))
        self.add_length(len(name) + len(value), self.max_head_bytes, 413)

    def on_headers_complete(self) -> None:
        """Called by the parser: the head is complete."""
        self.length = 0
        self.head_complete = True
        self.note_progress(self.bytes_received, self.front.loop.time())
        if (content_length(self.headers) or 0) > self.max_body_bytes:
            raise RequestError(413)

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a part of the body."""
        self.add_length(len(body), self.max_body_bytes, 413)
        if self.request_flow is not None:
            self.request_flow.put(body)
        else:
            self.body.append(body)
            self.add_to_budget(len(body))

    def on_message_complete(self) -> None:
        """Called by the parser: the request is complete."""
        self.request_begun = False
        self.any_request_complete = True
        last = not self.parser.should_keep_alive()
        if self.request_flow is None:
            self.parsed_requests.append(
                ParsedRequest(self.parser.get_method(), self.target, self.headers, b"".join(self.body), last)
            )
            self.reset_request()
            return
        flow = self.request_flow
        self.request_flow = None
        self.closing = self.closing or last
        self.reset_request()
        flow.on_space = no_op
        self.flow_complete(flow)
