"""Requests that are accepted and not yet answered, and their outstanding transmissions."""

from math import inf


class Request:
    """The part of a client's request that is forwarded to an upstream."""

    __slots__ = ("name", "verb", "target", "headers", "body", "flow", "length")
    stream = None  # the class of connection that carries the request, if it opens a long-lived stream

    def __init__(
        self,
        name: bytes,
        verb: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        flow=None,
        length: int | None = None,
    ) -> None:
        """`flow`: the bytes of a long body as they arrive; `length`: its length, if it was declared."""
        self.name = name
        self.verb = verb
        self.target = target
        self.headers = headers
        self.body = body
        self.flow = flow
        self.length = length

    def __len__(self) -> int:
        return len(self.target) + len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Answer:
    """A complete answer of an upstream, or the head of a long one and the flow of its body."""

    __slots__ = ("headers", "body", "status", "flow", "length")

    def __init__(
        self,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        status: int = 200,
        flow=None,
        length: int | None = None,
    ) -> None:
        """`length`: of a body that arrives as a flow, or of one that HEAD leaves out, if it was declared."""
        self.headers = headers
        self.body = body
        self.status = status
        self.flow = flow
        self.length = length


class ActiveRequest:
    """One active request: its client, the request, the balancer's handle and the outstanding transmissions.

    The dispatcher knows nothing of the client's protocol. It ends a request by one call of
    `client.completed(answer)`, `client.exhausted(wait)` or `client.errored()`; if that call raises an
    exception, `client.answer_failed()` has to end the request in another way. For a stream it calls
    `client.opened(link)` before that; from then on the stream counts as in flight at its upstream, is never
    sent to another upstream, and its end at one side ends the other side. Before it sends anything the
    dispatcher calls `client.has_disconnected()`, and `client.close()` if the client has disconnected.
    """

    __slots__ = (
        "client",
        "request",
        "rpc",
        "transmissions",
        "done",
        "answered",
        "stream_is_open",
        "gate_tickets",
        "client_name",
        "is_body_incomplete",
        "timeout_ms",
        "client_checked_at",
    )
    hard_end = inf  # time at which an answer still being received is cut, in tenths of a ms on the clock

    def __init__(self, client: object, request: Request, client_name: str = "") -> None:
        """`client_name`: the name under which the connection has logged in, if any."""
        self.client = client
        self.request = request
        self.client_name = client_name
        self.rpc = None
        self.done = False
        self.answered = False  # one of the three calls that end a request was made
        self.stream_is_open = False
        self.is_body_incomplete = request.flow is not None  # the last byte of the body has not arrived
        self.timeout_ms = 0  # ms that the client waits, from the request's last byte
        self.client_checked_at = 0  # when its client was last seen connected
        self.gate_tickets: tuple = ()  # tickets of the gates that admitted the request
        self.transmissions: dict[int, Transmission] = {}

    def client_may_retry(self) -> bool:
        """Returns whether the client may be told that a retry is harmless."""
        return self.rpc is None or self.rpc.client_may_retry()


class Transmission:
    """One attempt to send a request; `link` is the connection that carries it, once there is one."""

    __slots__ = (
        "active_request",
        "attempt",
        "upstream",
        "sent_at",
        "expires_at",
        "connect_expires_at",
        "link",
        "first_on_connection",
        "response_began_at",
    )

    def __init__(self, active_request: ActiveRequest, tx: int, upstream: int, sent: int, until: int) -> None:
        self.active_request = active_request
        self.attempt = tx
        self.upstream = upstream
        self.sent_at = sent
        self.expires_at = until
        self.connect_expires_at = None
        # `first_on_connection`: the connection has carried no request before.
        self.link = None
        self.first_on_connection = False
        self.response_began_at: int | None = None  # time at which a long answer began to be forwarded

    def is_outstanding(self) -> bool:
        """Returns whether the transmission's end has not been reported; events after its end are ignored."""
        return self.active_request.transmissions.get(self.attempt) is self


class ActiveRequests:
    """All active requests, and their bytes in the buffer budget."""

    def __init__(self, budget) -> None:
        self.budget = budget
        self.requests = set()
        self.request_ids: set[bytes] = set()  # the request ids for which clients wait

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, active_request: ActiveRequest) -> None:
        """Registers a request and counts its bytes in the budget."""
        self.requests.add(active_request)
        self.request_ids.add(active_request.request.name)
        self.budget.bytes += len(active_request.request)
        self.budget.request_bytes += len(active_request.request)

    def remove(self, active_request: ActiveRequest) -> None:
        """Removes a request and returns its bytes to the budget; does nothing if it is not registered."""
        if active_request in self.requests:
            self.requests.remove(active_request)
            self.request_ids.discard(active_request.request.name)
            self.budget.bytes -= len(active_request.request)
            self.budget.request_bytes -= len(active_request.request)
