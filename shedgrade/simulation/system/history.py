"""The history of a simulated run: what operators, edges and clients observed, in chronological order.

The terms are those of Jepsen: an operation is invoked by an operator, and completes with a definite response
or never.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from shedgrade.simulation.history import LoggedEvent, TimeSpan
from shedgrade.simulation.system.findings import Finding
from shedgrade.simulation.system.virtual_time import VirtualTime

FOREVER = float("inf")

Position = tuple[int, int]  # (epoch, sequence) of a control state


class OperationKind(StrEnum):
    """The kind of an operator's call. The value is its HTTP method; a delta is a PUT sent as PATCH."""

    PUT = "PUT"
    GET = "GET"
    EVACUATE = "POST"
    RETURN = "DELETE"


@dataclass(slots=True)
class Attempt:
    """One request of an operation to one member.

    Attributes:
        member: name of the core member.
        invoked_at: when the request was sent, in virtual time (s).
        completed_at: when the attempt ended, in virtual time (s); infinite until then.
        status: HTTP status; None if no response was read.
        failure: why no response was read, or "".
    """

    member: str
    invoked_at: float
    completed_at: float = FOREVER
    status: int | None = None
    failure: str = ""


@dataclass(slots=True)
class Operation:
    """An operator's call from its first attempt to its definite response. Times are virtual, in seconds.

    Attributes:
        operator: name of the operator.
        kind: kind of the call.
        invoked_at: when the call began.
        base: for a PUT, the version that the configuration replaces.
        version: for a PUT, the version of the configuration.
        key: for a PUT, the label that tells apart configurations of the same version.
        zone: for an evacuation or return, the zone.
        completed_at: when the definite response arrived; infinite without one.
        status: HTTP status of the definite response; None without one.
        body_version: for a GET, the version of the configuration returned.
        body_key: for a GET, the label of the configuration returned.
        delta: whether only named items of the configuration change (`PATCH`).
        attempts: the requests sent, in order.
        repeat_of: the acknowledged operation that this one repeats; None if it repeats none.
    """

    operator: str
    kind: OperationKind
    invoked_at: float
    base: int = 0
    version: int = 0
    key: str = ""
    zone: str = ""
    completed_at: float = FOREVER
    status: int | None = None
    body_version: int = 0
    body_key: str = ""
    delta: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    repeat_of: Operation | None = None

    @property
    def acknowledged(self) -> bool:
        """Whether the call succeeded."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class CommittedState:
    """Control state that a member reported as committed.

    Attributes:
        position: position in the replicated log.
        version: version of the configuration.
        key: label of the configuration.
        evacuations: evacuated zones.
        at: when a member first reported it, in virtual time (s).
    """

    position: Position
    version: int
    key: str
    evacuations: frozenset[str]
    at: float

    def is_same_state(self, other: CommittedState) -> bool:
        """Whether two reports describe the same control state; the time of the report is ignored."""
        own = (self.position, self.version, self.key, self.evacuations)
        return own == (other.position, other.version, other.key, other.evacuations)


class EdgeView(NamedTuple):
    """The control state that an edge applied at `at` (s), in its `incarnation`-th process."""

    at: float
    edge: str
    incarnation: int
    position: Position
    version: int
    key: str
    evacuations: tuple[str, ...]


class WatchAnswer(NamedTuple):
    """A core member's response to an edge's watch request. Times are virtual, in seconds.

    Attributes:
        at: when the member responded.
        member: name of the core member.
        edge: name of the edge.
        position: position of the control state that the edge holds with this response.
        confirmed_at: time at which the member confirms that this state was the newest.
    """

    at: float
    member: str
    edge: str
    position: Position
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Resolution:
    """A directory's response to a client's look-up. Times are virtual, in seconds.

    Attributes:
        client: name of the client.
        region: region of the client.
        directory: name of the core machine asked.
        invoked_at: when the request was sent.
        completed_at: when the attempt ended.
        status: HTTP status; None if no response was read.
        addresses: the edges in the response, as "ip:port".
    """

    client: str
    region: str
    directory: str
    invoked_at: float
    completed_at: float
    status: int | None
    addresses: tuple[str, ...]


class OpenSpan:
    """The virtual time from `start` to `end`, in seconds; `end` is infinite while the span is open."""

    __slots__ = ("start", "end")

    def __init__(self, start: float) -> None:
        self.start = start
        self.end = FOREVER

    @property
    def is_open(self) -> bool:
        """Whether the span has no end yet."""
        return self.end == FOREVER


class History:
    """Everything observed in one run. Times are virtual, in seconds.

    Attributes:
        time: the virtual clock.
        operations: operators' calls, ordered by invocation.
        views: control states that edges applied, in chronological order.
        watch_answers: core members' responses that confirm a state as the newest to an edge.
        resolutions: directories' responses to look-ups.
        events: the trace.
        violations: violations found during the run.
        unstable_spans: spans with an active fault of the core; the core need not be available in them.
        isolated: by member, spans in which it reached no majority of the core, neither itself nor through
            another member.
        out_of_touch: by edge, spans in which it didn't run, no core member reached a majority, or the edge
            couldn't reach every member that did.
        end: when the run ended; infinite before.
        trace: whether events are printed.
    """

    def __init__(self, time: VirtualTime) -> None:
        self.time = time
        self.operations: list[Operation] = []
        self.views: list[EdgeView] = []
        self.watch_answers: list[WatchAnswer] = []
        self.resolutions: list[Resolution] = []
        self.events: list[LoggedEvent] = []
        self.violations: list[Finding] = []
        self.unstable_spans: list[TimeSpan] = []
        self.isolated: dict[str, list[OpenSpan]] = {}
        self.out_of_touch: dict[str, list[OpenSpan]] = {}
        self.end = FOREVER
        self.trace = False

    def log(self, event: str, subject: str = "") -> None:
        """Adds a line to the trace."""
        self.events.append(LoggedEvent(self.time.now, event, subject))
        if self.trace:
            print(f"{self.time.now:9.3f} {event} {subject}")

    def digest(self) -> str:
        """Returns a hash of operations, edge states and events; equal for two runs that did the same."""
        operations = [
            (
                operation.operator,
                operation.kind,
                operation.invoked_at,
                operation.completed_at,
                operation.status,
                operation.version,
                operation.body_version,
                [
                    (attempt.member, attempt.invoked_at, attempt.completed_at, attempt.status)
                    for attempt in operation.attempts
                ],
            )
            for operation in self.operations
        ]
        return blake2b(repr((operations, self.views, self.events)).encode(), digest_size=12).hexdigest()
