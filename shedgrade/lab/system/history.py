"""What the clients, upstreams, operators and the platform saw: all that the judge goes by. Times are of one
clock, in s."""

from dataclasses import dataclass, field

from shedgrade.engines.records import Run

# How a try ended, where no answer came.
CLOSED, SILENT, UNCONNECTED, GIVEN_UP = "closed", "silent", "unconnected", "given up"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request. `route_class`: "safe", "unsafe" or "streaming". `shared`: parts of the prompt that
    requests have in common, `own`: tokens that they don't; `out`: tokens of the answer; `retries`: further
    tries of a client. Spans in ms, `rate` a second."""

    name: str
    route_class: str
    host: str
    prefix: str
    service: str
    rate: float
    deadline_ms: int
    target_ms: int
    shared: tuple[tuple[str, int], ...] = ()
    own: int = 0
    out: int = 0
    retries: int = 1
    resumable: bool = False
    gap_ms: int = 400
    priority: int = 1
    homes: tuple[str, ...] = ()
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
        """Of a whole answer."""
        return -(-self.out // self.stride)


@dataclass(slots=True)
class Try:
    """`asked`: digest of the request; `status` 0: no answer came; `whole`: the answer came to its end;
    `after`: the last event that the client had before; `events`: (id, mark, when) as they came; `failure`:
    one of the words above, or "", `surplus`: bytes came that belong to no request."""

    attempt: str
    request: int
    kind: Kind
    target: str
    asked: bytes
    zone: str
    region: str
    sidecar: str = ""
    sent_at: float = 0.0
    first_at: float | None = None
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    echoed: str = ""
    seal: str = ""
    encoding: str = ""
    body: bytes = b""
    after: int = 0
    events: list[tuple[int, str, float]] = field(default_factory=list)
    failure: str = ""
    surplus: bool = False
    retry_after: float | None = None

    @property
    def success(self) -> bool:
        return self.whole and self.status // 100 == 2


@dataclass(slots=True)
class Asked:
    """One request of a client, with its tries. `outcome`: "served", "refused" or "failed" at its end."""

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
    """An operator's. `verb`: "put", "evacuate" or "return"; `base`, `version`, `body`: of a configuration;
    `status`: its clear answer, 0 if none came; `valid`: it can be taken."""

    verb: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    zone: str = ""
    base: int = 0
    version: int = 0
    body: bytes = b""
    valid: bool = True
    said: str = ""

    @property
    def taken(self) -> bool:
        return self.status // 100 == 2


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule, by its name in RULES, that was broken."""

    rule: str
    text: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.text}"


@dataclass(slots=True)
class History:
    """`troubles`: (from, to, what): times in which rules bound by time do not hold; `drained`: by instance,
    when the list first showed it leaving; `read_back`: the configuration at the end, None: none came;
    `edge_regions`: by the address at which clients reach an edge."""

    requests: list[Asked] = field(default_factory=list)
    tries: dict[str, Try] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    troubles: list[tuple[float, float, str]] = field(default_factory=list)
    drained: dict[str, float] = field(default_factory=dict)
    stray: list[str] = field(default_factory=list)
    read_back: bytes | None = None
    evacuated_at_end: tuple[str, ...] | None = None
    edge_regions: dict[str, str] = field(default_factory=dict)

    def calm(self, start: float, end: float) -> bool:
        """No trouble touches the span."""
        return not any(begun < end and over > start for begun, over, _ in self.troubles)
