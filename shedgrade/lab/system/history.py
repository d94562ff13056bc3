"""Records what clients, upstreams, operators and the platform saw; the judge uses nothing else.

All times are seconds of one clock.
"""

from dataclasses import dataclass, field

from shedgrade.engines.records import Run

# How a try ended that got no complete answer.
CLOSED, SILENT, UNCONNECTED, GIVEN_UP = "closed", "silent", "unconnected", "given up"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    name: name of its route
    route_class: "safe", "unsafe" or "streaming"
    host, prefix: host and path prefix of its targets
    service: the service that serves it
    rate: requests a second
    deadline_ms: time after which a client gives up, ms
    target_ms: targetMs of its route, ms
    shared_prompt: parts of the prompt that requests have in common, as (name, tokens)
    own_tokens: tokens of the prompt that no other request has
    answer_tokens: tokens of the answer
    retries: further tries of a client
    resumable: whether a stream that broke off may be resumed behind its last event
    gap_ms: gap_aim_ms of its route, ms
    home_regions: the regions in which it may be served; empty for all
    answer_bytes: size of an answer that is no stream
    stride: tokens of an event
    """

    name: str
    route_class: str
    host: str
    prefix: str
    service: str
    rate: float
    deadline_ms: int
    target_ms: int
    shared_prompt: tuple[tuple[str, int], ...] = ()
    own_tokens: int = 0
    answer_tokens: int = 0
    retries: int = 1
    resumable: bool = False
    gap_ms: int = 400
    priority: int = 1
    home_regions: tuple[str, ...] = ()
    answer_bytes: int = 800
    stride: int = 5

    @property
    def idempotent(self) -> bool:
        return self.route_class == "safe" or (self.route_class == "streaming" and self.resumable)

    @property
    def streams(self) -> bool:
        return self.route_class == "streaming"

    @property
    def events(self) -> int:
        """Returns the number of events of a complete answer."""
        return -(-self.answer_tokens // self.stride)


@dataclass(slots=True)
class Try:
    """A try of a request, as its client saw it.

    attempt: id of the try
    request: number of the request
    digest: digest of the request
    sidecar: the address that it was sent to
    sent_at, first_at, ended_at: when it was sent, when data of its answer first arrived, when it ended
    status: HTTP status; 0 if no answer arrived
    whole: whether the answer arrived completely
    echoed_attempt, seal, encoding: Attempt-Id, Server-Seal and Content-Encoding of the answer
    last_event_before: the last event that the client had before this try
    events: (id, mark, time) of each event, in order of arrival
    failure: one of the constants above; "" if none applies
    unexpected_bytes: whether bytes arrived that belong to no request
    retry_after: the answer's Retry-After, s
    """

    attempt: str
    request: int
    kind: Kind
    target: str
    digest: bytes
    zone: str
    region: str
    sidecar: str = ""
    sent_at: float = 0.0
    first_at: float | None = None
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    echoed_attempt: str = ""
    seal: str = ""
    encoding: str = ""
    body: bytes = b""
    last_event_before: int = 0
    events: list[tuple[int, str, float]] = field(default_factory=list)
    failure: str = ""
    unexpected_bytes: bool = False
    retry_after: float | None = None

    @property
    def success(self) -> bool:
        return self.whole and self.status // 100 == 2


@dataclass(slots=True)
class ClientRequest:
    """A request of a client with its tries.

    `outcome` is "" until the request ends as "served", "refused" or "failed".
    """

    number: int
    kind: Kind
    zone: str
    at: float
    tries: list[Try] = field(default_factory=list)
    outcome: str = ""
    ended_at: float = 0.0
    first_at: float | None = None


@dataclass(slots=True)
class Order:
    """An order of an operator.

    verb: "put", "evacuate" or "return"
    status: status of the clear answer; 0 if none arrived
    zone: the zone of an evacuation or return
    base, version, body: of a configuration: the version that it replaces, its own version, its JSON text
    valid: whether the configuration may be accepted
    answer_text: the beginning of the answer's body
    """

    verb: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    zone: str = ""
    base: int = 0
    version: int = 0
    body: bytes = b""
    valid: bool = True
    answer_text: str = ""

    @property
    def accepted(self) -> bool:
        return self.status // 100 == 2


@dataclass(frozen=True, slots=True)
class Breach:
    """A breach of a rule, which is given by its name in RULES."""

    rule: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.text}"


@dataclass(slots=True)
class History:
    """All observations of a run.

    disturbances: (from, to, what) of disturbances, during which rules with time bounds do not apply
    drained: by instance, when the list first did not show it as available any more
    stray: descriptions of bytes that belong to no request
    read_back: the configuration read at the end; None if none was returned
    evacuated_at_end: zones that were evacuated at the end; None if no member answered
    edge_regions: the region of an edge, by the address at which clients reach it
    """

    requests: list[ClientRequest] = field(default_factory=list)
    tries: dict[str, Try] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    disturbances: list[tuple[float, float, str]] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)
    stray: list[str] = field(default_factory=list)
    read_back: bytes | None = None
    evacuated_at_end: tuple[str, ...] | None = None
    edge_regions: dict[str, str] = field(default_factory=dict)

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Returns whether no disturbance overlaps the span."""
        return not any(begun < end and over > start for begun, over, _ in self.disturbances)
