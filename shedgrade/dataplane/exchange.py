"""One try of a client's in hand: what it wants, whose turn it is, and what a failed upstream said."""

from shedgrade.in_flight import ActiveRequest, Answer, Request
from shedgrade.model_routing.request import RoutingConstraints

TICKS = 10_000  # of the clock, a second
OVERTIME = 1_500  # tenths of a ms past its time for which an answer that still comes is passed on


class Exchange(ActiveRequest):
    """`service`: the pool whose turn has it. `failure`: the last failure that an upstream answered itself.
    `streams`: its answer goes on as it comes. `priority`: its rank at the upstream, 0 the most urgent,
    None: untold.
    """

    __slots__ = ("service", "wants", "failure", "streams", "priority", "until", "since", "first_at", "usage")

    def __init__(
        self,
        client: object,
        request: Request,
        service,
        wants: RoutingConstraints,
        streams: bool,
        priority: int | None,
        until: int,
        usage: tuple[int, int] = (0, 0),
    ) -> None:
        """`until`: when its client's time, or its route's, is up, in tenths of a ms on the clock. `usage`:
        tokens of its prompt, and of its answer at the most; 0: not told."""
        super().__init__(client, request)
        self.service, self.wants, self.streams = service, wants, streams
        self.priority, self.until = priority, until
        self.failure: Answer | None = None
        self.usage = usage
        self.since = service.clock.now()  # tenths of a ms on the clock
        self.first_at: int | None = None  # when its answer began, of a stream

    def may_last_until(self) -> float:
        """When its answer is whole at the latest, by what its service's took lately; its client's time is up
        sooner or then. In tenths of a ms on the clock."""
        return min(self.until, self.since + self.service.times.longest(self.streams, self.usage) * TICKS)

    @property
    def latest_end(self) -> int:
        """When it is ended, whatever still comes: upstreams stop at its time, and what they sent by then is
        here. The time of a long request counts from its last byte, once that has come."""
        end = self.until if self.rpc is None else max(self.until, self.rpc.answer_by)
        return end + OVERTIME
