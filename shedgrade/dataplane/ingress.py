"""The client side of the data plane: parses requests, finds their routes, and answers each of them once."""

from shedgrade.buffers.flow import SMALL_MESSAGE_BYTES, Flow
from shedgrade.configuration import Limits
from shedgrade.dataplane.exchange import TICKS_PER_SECOND, Exchange
from shedgrade.dataplane.streams import ResumableStream
from shedgrade.dataplane.token_headers import shared_parts, token_usage
from shedgrade.http.inbound_connection import InboundConnection
from shedgrade.http.message_grammar import Headers, content_length, end_to_end_headers, origin_form
from shedgrade.in_flight import Answer, Request
from shedgrade.model_routing.request import IDEMPOTENT, ONCE, RoutingConstraints
from shedgrade.served_routes import ServedRoute

# Set anew for each upstream.
PER_ATTEMPT_HEADERS = frozenset((b"time-remaining", b"target-instance", b"priority"))
MIN_RESUME_MS = 50  # with less time left, resuming a stream is not worth the upstream's work
MAX_WAIT_MS = 86_400_000
MIN_HEAD_BYTES = 1024  # bytes of a request head that are accepted whatever limit the configuration sets
EVENT_END = b"\n\n"
TIMEOUT_MARGIN_S = 0.5  # s added to a configured timeout, for bytes in transit


class ServiceDispatchers:
    """Forwards events of a client connection to the dispatcher that handles the exchange."""

    def client_disconnected(self, active_request: Exchange) -> None:
        """The client has disconnected."""
        active_request.service.dispatcher.client_disconnected(active_request)

    def body_received(self, active_request: Exchange, buffered: bool, complete: bool) -> None:
        """More of a long request's body was received; see `RequestEvents`."""
        active_request.service.dispatcher.body_received(active_request, buffered, complete)


class IngressConnection(InboundConnection):
    """One connection of a client.

    Attributes:
        current_exchange: the current exchange; its upstream's own failure may become the answer.
        events_written: events of the current stream that were written to the client.
    """

    flow_above_bytes = 2 * SMALL_MESSAGE_BYTES
    unique_headers = (b"attempt-id", b"time-remaining", b"host")

    def __init__(self, front) -> None:
        self.current_exchange: Exchange | None = None
        self.events_written = 0
        self.apply_limits(front.limits)
        super().__init__(front)

    def apply_limits(self, limits: Limits) -> None:
        """Applies the limits of a configuration; timeouts are a little longer than clients are told."""
        self.max_head_bytes = max(MIN_HEAD_BYTES, limits.header_bytes)
        self.max_body_bytes = limits.body_bytes
        self.head_timeout_s = limits.header_timeout_ms / 1000 + TIMEOUT_MARGIN_S
        self.first_request_timeout_s = limits.idle_timeout_ms / 1000 + TIMEOUT_MARGIN_S

    def on_message_begin(self) -> None:
        """Applies the limits in force to each request when it begins, also on a kept connection."""
        self.apply_limits(self.front.limits)
        super().on_message_begin()

    def take_request(
        self, verb: bytes, target: bytes, headers: Headers, body: bytes, flow: Flow | None = None
    ) -> None:
        """Finds the route of a request and submits it, or rejects it."""
        front = self.front
        self.request_method = verb
        self.http_1_0 = self.parser.get_http_version() == "1.0"
        target = origin_form(target)
        named_headers = self.headers_by_name(headers)
        if named_headers is None or not target.startswith(b"/"):
            self.reject_and_close(400)
            return
        if front.routes is None:
            self.reject_not_served()
            return
        route = front.routes.find(named_headers.get(b"host", b""), target.split(b"?", 1)[0])
        if route is None:
            self.answer(404)
            return
        name, wait_ms = (
            named_headers.get(b"attempt-id"),
            parse_wait_ms(named_headers.get(b"time-remaining"), route),
        )
        if not name or wait_ms is None:
            self.reject_and_close(400)
            return
        # Guards against work for a client that left while its request was unread in a stall of this process.
        if front.recently_stalled() and self.has_disconnected():
            self.close()
            return
        forwarded = [
            (key, value)
            for key, value in end_to_end_headers(headers)
            if key.lower() not in PER_ATTEMPT_HEADERS
        ]
        length = None if flow is None else content_length(headers)
        self.submit_request(
            route, Request(name, verb, target, forwarded, body, flow, length), named_headers, wait_ms
        )

    def submit_request(
        self, route: ServedRoute, request: Request, named_headers: dict[bytes, bytes], wait_ms: int
    ) -> None:
        """Submits a valid request to its service's dispatcher, or rejects it if there is no room.

        `named_headers`: its headers by name in lower case; `wait_ms`: time that the client waits.
        """
        front = self.front
        service = front.service_of(route)
        if service is None or not front.can_buffer(len(request)):
            self.exhausted(front.retry_after_ticks())
            return
        usage = token_usage(named_headers.get(b"token-usage"))
        if front.draining() and not front.accepts(
            min(wait_ms / 1000, service.times.longest(route.streams, usage))
        ):
            self.reject_not_served()
            return
        client = ResumableStream(self, front.budget, self.resume) if route.resumable else self
        deadline = front.clock.now() + wait_ms * 10
        active_request = Exchange(
            client,
            request,
            service,
            routing_constraints(route, named_headers, usage[0]),
            route.streams,
            route.priority,
            deadline,
            usage,
        )
        self.active_request = active_request
        self.current_exchange = active_request
        if request.flow is not None:
            request.flow.on_replay_lost = lambda: service.dispatcher.body_received(
                active_request, False, not active_request.is_body_incomplete
            )
        method = IDEMPOTENT if route.is_idempotent else ONCE
        service.dispatcher.submit(active_request, method, wait_ms, False)

    def reject_not_served(self) -> None:
        """Rejects a request because this process has no routes yet, or drains: the request did not run, and
        the client can retry it on another connection."""
        self.closing = True
        self.exhausted(self.front.retry_after_ticks())

    def resume(self, last_id: bytes | None) -> bool:
        """Continues a stream that an upstream broke off, at another one. Returns False if that is impossible:
        the client left, too little time or no attempt is left, the fleet's retry budget is used up, or the
        request's body is no longer buffered."""
        previous = self.current_exchange
        remaining_ms = (previous.deadline - self.front.clock.now()) // 10
        attempts = (
            previous.rpc.attempts_arrived if previous.rpc is not None else previous.constraints.max_attempts
        )
        retry_budget = previous.service.retry_budget
        if (
            self.transport is None
            or self.transport.is_closing()
            or remaining_ms < MIN_RESUME_MS
            or (
                attempts >= previous.constraints.max_attempts
                or previous.request.flow is not None
                or not retry_budget.allows_retry(self.front.clock.now())
            )
        ):
            return False
        constraints, request = previous.constraints, previous.request
        tried_upstreams = {up.index for up in previous.rpc.attempts}
        headers = [pair for pair in request.headers if pair[0].lower() != b"last-event-id"]
        if last_id is None:
            headers = request.headers
        else:
            headers.append((b"Last-Event-Id", last_id))
        next_constraints = RoutingConstraints(
            constraints.home_regions,
            constraints.prefix_key,
            constraints.max_attempts,
            constraints.latency_target,
            constraints.excluded_upstreams | tried_upstreams,
            attempts,
            constraints.prompt_tokens,
            constraints.prefix_tokens,
        )
        next_leg = Exchange(
            previous.client,
            Request(request.name, request.verb, request.target, headers, request.body),
            previous.service,
            next_constraints,
            True,
            previous.priority,
            previous.deadline,
            previous.usage,
        )
        self.active_request = self.current_exchange = next_leg
        previous.service.dispatcher.submit(next_leg, IDEMPOTENT, remaining_ms, False)
        return True

    def errored(self) -> None:
        """Answers a request that may have run: with the upstream's own failure if there is one, else 502."""
        failure = self.current_exchange.failure if self.current_exchange is not None else None
        if failure is not None and failure.status >= 400 and failure.status not in (408, 421, 429, 503):
            self.answer(failure.status, failure.headers, failure.body)
        else:
            self.answer(502)

    def response_flow_started(self, answer: Answer) -> None:
        """Starts to forward a response while it is received."""
        self.events_written, self.current_exchange.response_started_at = 0, self.front.clock.now()
        super().response_flow_started(answer)

    def write(self, *pieces: bytes) -> bool:
        """Writes to the client, and counts the events of a stream."""
        if self.response_flow is not None:
            # Of the pieces of a chunk, only the middle one is part of the answer.
            self.events_written += pieces[len(pieces) // 2].count(EVENT_END)
        return super().write(*pieces)

    def completed(self, answer: Answer | None) -> None:
        """Ends the answer with the final response or the end of a stream; None if the stream broke off."""
        exchange, self.current_exchange = self.current_exchange, None
        if exchange is not None and answer is not None:
            self.record_duration(exchange)
        super().completed(answer)

    def record_duration(self, exchange: Exchange) -> None:
        """Records the duration of a complete answer with its service. A resumed stream is not measured."""
        now, times = self.front.clock.now(), exchange.service.times
        if not exchange.streams:
            times.record_answer((now - exchange.received_at) / TICKS_PER_SECOND)
        elif exchange.response_started_at is not None:
            times.record_stream(
                (exchange.response_started_at - exchange.received_at) / TICKS_PER_SECOND,
                (now - exchange.response_started_at) / TICKS_PER_SECOND,
                self.events_written,
                exchange.constraints.prompt_tokens,
            )


def routing_constraints(
    route: ServedRoute, named_headers: dict[bytes, bytes], tokens: int
) -> RoutingConstraints:
    """The routing constraints of a request, from its route and its headers by name in lower case; `tokens`:
    tokens of its prompt."""
    key, shared = (
        shared_parts(named_headers.get(b"prompt-prefix")) if route.route.session_affinity else (b"", 0)
    )
    return RoutingConstraints(
        route.home_regions,
        key,
        route.max_attempts,
        route.latency_target,
        prompt_tokens=tokens,
        prefix_tokens=shared,
    )


def parse_wait_ms(header: bytes | None, route: ServedRoute) -> int | None:
    """The time that the client waits and the route allows, in ms; None if the header is not a valid time."""
    if header is None:
        return route.timeout_ms
    whole, _, fraction = header.partition(b".")
    if not whole.isdigit() or (fraction and not fraction.isdigit()) or len(whole) > 9:
        return None
    return max(1, min(int(whole), route.timeout_ms, MAX_WAIT_MS))
