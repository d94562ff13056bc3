"""The history of a simulated day: what operators, edges and clients observed, in order of time.

Terms as in Jepsen: an operation is invoked by an operator and completes with a clear answer, or never.
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
    """What an operator's call is about. The value is its HTTP method."""

    PUT = "PUT"
    GET = "GET"
    EVACUATE = "POST"
    RETURN = "DELETE"


@dataclass(slots=True)
class Attempt:
    """One request of an operation to one member. Times in s. `status` None: no answer was read; `failure`
    says why."""

    member: str
    invoked_at: float
    completed_at: float = FOREVER
    status: int | None = None
    failure: str = ""


@dataclass(slots=True)
class Operation:
    """An operator's call from its first attempt to its clear answer. Times in s.

    Attributes:
        base, version: of a configuration that is put.
        key: tells apart two configurations of one version.
        zone: of an evacuation.
        completed_at: infinite as long as there is no clear answer; `status` is then None.
        body_version, body_key: the configuration that a GET returned.
        delta: a change of named items alone (`PATCH`).
        repeat_of: the acknowledged operation that this one repeats.
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
        """The answer was a success."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class CommittedState:
    """Control state that a member reported as committed: at `position`, first seen at `at` (s)."""

    position: Position
    version: int
    key: str
    evacuations: frozenset[str]
    at: float

    def is_same_state(self, other: CommittedState) -> bool:
        """Whether two reports are of the same control state, whenever it was seen."""
        own = (self.position, self.version, self.key, self.evacuations)
        return own == (other.position, other.version, other.key, other.evacuations)


class EdgeView(NamedTuple):
    """What an edge had in force from `at` (s) on, in its `incarnation`-th process."""

    at: float
    edge: str
    incarnation: int
    position: Position
    version: int
    key: str
    evacuations: tuple[str, ...]


class WatchAnswer(NamedTuple):
    """A core member's answer to the watch of an edge at `at` (s): with it the edge holds the control state at
    `position`, which the member calls the newest as of `confirmed_at` (s)."""

    at: float
    member: str
    edge: str
    position: Position
    confirmed_at: float


@dataclass(frozen=True, slots=True)
class Resolution:
    """One directory's answer to a client of `region`. Times in s. `status` None: no answer was read.
    `addresses`: the edges that it names, "ip:port"."""

    client: str
    region: str
    directory: str
    invoked_at: float
    completed_at: float
    status: int | None
    addresses: tuple[str, ...]


class OpenSpan:
    """From `start` (s) to `end`, which is infinite as long as the span is open."""

    __slots__ = ("start", "end")

    def __init__(self, start: float) -> None:
        self.start = start
        self.end = FOREVER

    @property
    def is_open(self) -> bool:
        """It has no end yet."""
        return self.end == FOREVER


class History:
    """All that was observed in one day.

    Attributes:
        operations: operators' calls in the order of their invocations.
        views: what edges had in force, in order of time.
        watch_answers: core members' answers to edges that vouch for a state.
        resolutions: directories' answers.
        events: the trace.
        violations: what was found wrong during the day.
        unstable_spans: when faults of the core were active; it need not be available then.
        isolated: by member, when it reached no majority of the core.
        out_of_touch: by edge, when it was out of reach of some member with a majority.
        end: when the day ended (s).
        trace: events are printed.
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
        """Equal for two days that went alike, to the last operation."""
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
