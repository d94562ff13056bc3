"""One client request in progress: its routing constraints, its service and an upstream's last failure."""

from shedgrade.in_flight import ActiveRequest, Answer, Request
from shedgrade.model_routing.request import RoutingConstraints

TICKS_PER_SECOND = 10_000  # ticks of the clock per second
LATE_RESPONSE_GRACE = 1_500  # tenths of a ms after its deadline in which an answer is still forwarded


class Exchange(ActiveRequest):
    """A client request and the attempts to answer it.

    Attributes:
        service: the service pool whose dispatcher handles the request.
        constraints: the constraints of its routing.
        failure: the last failure response that an upstream sent itself.
        streams: whether the answer is forwarded while it is received.
        priority: the priority sent to the upstream, 0 the highest; None if none is sent.
        deadline: end of the client's or the route's timeout, tenths of a ms on the clock.
        received_at: when the request was received, tenths of a ms on the clock.
        response_started_at: when the answer of a stream began, tenths of a ms on the clock; None until then.
        usage: tokens of the prompt and maximum tokens of the answer; 0 if unknown.
    """

    __slots__ = (
        "service",
        "constraints",
        "failure",
        "streams",
        "priority",
        "deadline",
        "received_at",
        "response_started_at",
        "usage",
    )

    def __init__(
        self,
        client: object,
        request: Request,
        service,
        constraints: RoutingConstraints,
        streams: bool,
        priority: int | None,
        deadline: int,
        usage: tuple[int, int] = (0, 0),
    ) -> None:
        super().__init__(client, request)
        self.service, self.constraints, self.streams = service, constraints, streams
        self.priority, self.deadline = priority, deadline
        self.failure: Answer | None = None
        self.usage = usage
        self.received_at = service.clock.now()
        self.response_started_at: int | None = None

    def latest_response_at(self) -> float:
        """When the answer is complete at the latest, estimated from the service's recent answers and bounded
        by the deadline. In tenths of a ms on the clock."""
        return min(
            self.deadline,
            self.received_at + self.service.times.longest(self.streams, self.usage) * TICKS_PER_SECOND,
        )

    @property
    def hard_end(self) -> int:
        """When the exchange is ended, in tenths of a ms on the clock. Upstreams stop at the deadline, and by
        this time the bytes that they sent before it have arrived. The timeout of a long request starts at its
        last byte, once that was received."""
        end = self.deadline if self.rpc is None else max(self.deadline, self.rpc.answer_by)
        return end + LATE_RESPONSE_GRACE
