"""The RPCs that were taken and not yet answered, and their transmissions that are out."""

from math import inf


class Request:
    """What the application asked, as far as it goes on to an upstream."""

    __slots__ = ("name", "verb", "target", "headers", "body", "flow", "length")
    stream = None  # the class of link that carries it, where it is opened and lasts

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
        """`flow`: what comes of a long body, of `length` bytes if that was said."""
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
    """A completed upstream answer, or the head of a long one with what comes of it."""

    __slots__ = ("headers", "body", "status", "flow", "length")

    def __init__(
        self,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        status: int = 200,
        flow=None,
        length: int | None = None,
    ) -> None:
        """`length`: of a body that comes as a flow, or that a HEAD does not bring, where it was said."""
        self.headers = headers
        self.body = body
        self.status = status
        self.flow = flow
        self.length = length


class ActiveRequest:
    """One RPC in hand: who asked, what was asked, the module's handle, and what is out.

    The client is told the end by one call of `completed(answer)`, `exhausted(wait)` or `errored()`: whatever
    protocol it speaks, that is all the turn knows of it. A stream's client is told `opened(link)` before
    that; from then on it counts in flight where it is, is never sent elsewhere, and its end is the end of
    both sides. Before anything is sent it is asked whether it `has_left()`, and told to `close()` if so.
    """

    __slots__ = (
        "client",
        "request",
        "rpc",
        "transmissions",
        "done",
        "stream_is_open",
        "gate_tickets",
        "client_name",
        "is_body_incomplete",
        "timeout_ms",
        "client_checked_at",
    )
    latest_end = inf  # when even an answer that still comes is ended, in tenths of a ms on the clock

    def __init__(self, client: object, request: Request, who: str = "") -> None:
        """`who`: the name under which its connection has logged in, if it has."""
        self.client = client
        self.request = request
        self.client_name = who
        self.rpc = None
        self.done = False
        self.stream_is_open = False
        self.is_body_incomplete = request.flow is not None  # its last byte is not here
        self.timeout_ms = 0  # ms that the client waits, from its last byte
        self.client_checked_at = 0  # when its client was last seen to be there
        self.gate_tickets: tuple = ()  # of the gates that let it in
        self.transmissions: dict[int, Transmission] = {}


class Transmission:
    """One transmission; `link` is the connection that carries it, once there is one."""

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
        # fresh: the first on its connection
        self.link = None
        self.first_on_connection = False
        self.response_began_at: int | None = None  # when a long answer began to be passed on

    def still_out(self) -> bool:
        """False once its end has been told: what comes later reaches nobody."""
        return self.active_request.transmissions.get(self.attempt) is self


class ActiveRequests:
    """All RPCs in hand, and the bytes that they hold."""

    def __init__(self, budget) -> None:
        self.budget = budget
        self.requests = set()
        self.request_ids: set[bytes] = set()  # the ids under which clients wait

    def __len__(self) -> int:
        return len(self.requests)

    def add(self, active_request: ActiveRequest) -> None:
        """Registers a request and counts its bytes in the budget."""
        self.requests.add(active_request)
        self.request_ids.add(active_request.request.name)
        self.budget.bytes += len(active_request.request)
        self.budget.request_bytes += len(active_request.request)

    def remove(self, active_request: ActiveRequest) -> None:
        """Forgets a request and gives its bytes back; nothing if it is not registered."""
        if active_request in self.requests:
            self.requests.remove(active_request)
            self.request_ids.discard(active_request.request.name)
            self.budget.bytes -= len(active_request.request)
            self.budget.request_bytes -= len(active_request.request)
