"""What operators and edges saw from outside, in order of time, and what was done to the machines."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b

FOREVER = float("inf")


class Kind(StrEnum):
    """Of a call to the control plane."""

    PUT = "PUT"
    GET = "GET"
    EVACUATE = "POST"
    RETURN = "DELETE"


@dataclass(slots=True)
class Attempt:
    """One try of a call at one member. `status` None: no answer was read."""

    member: str
    began: float
    ended: float = FOREVER
    status: int | None = None
    failure: str = ""


@dataclass(slots=True)
class Call:
    """A call from its first try to its clear answer. `base` and `version`: of a configuration; `zone`: of an
    evacuation; `key` tells apart two configurations of one number. `status` None: no clear answer ever.
    `body_version`, `body_key`: the configuration that a GET returned. `delta`: a change of named items alone
    (`PATCH`). `abandoned`: its operator went on."""

    operator: str
    kind: Kind
    began: float
    base: int = 0
    version: int = 0
    key: str = ""
    zone: str = ""
    valid: bool = True
    ended: float = FOREVER
    status: int | None = None
    body_version: int = 0
    body_key: str = ""
    delta: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    repeat_of: Call | None = None

    @property
    def acknowledged(self) -> bool:
        return self.status is not None and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class EdgeView:
    """What an edge had in force from `at` on, in its `life`-th process."""

    at: float
    edge: str
    life: int
    control: tuple[int, int]
    version: int
    key: str
    evacuations: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Resolution:
    """One directory's answer to a client of `region`. `status` None: no answer was read. `addresses`: the
    edges that it names, "ip:port"."""

    client: str
    region: str
    directory: str
    began: float
    ended: float
    status: int | None
    addresses: tuple[str, ...]


class History:
    """All of one day."""

    def __init__(self, time) -> None:
        self.time = time
        self.calls: list[Call] = []
        self.views: list[EdgeView] = []
        self.resolutions: list[Resolution] = []
        self.events: list[tuple[float, str, str]] = []
        self.wrong: list[str] = []  # what was found wrong while the day was played
        self.trouble: list[tuple[float, float]] = []  # spans in which the core was not stable
        self.isolated: dict[str, list[list[float]]] = {}  # members without a majority: spans
        self.out_of_touch: dict[str, list[list[float]]] = {}  # edges without one: spans
        self.end = FOREVER
        self.trace = False

    def note(self, what: str, who: str = "") -> None:
        self.events.append((self.time.now, what, who))
        if self.trace:
            print(f"{self.time.now:9.3f} {what} {who}")

    def digest(self) -> str:
        """Alike for two days that went alike, to the last call."""
        told = [
            (
                call.operator,
                call.kind,
                call.began,
                call.ended,
                call.status,
                call.version,
                call.body_version,
                [(one.member, one.began, one.ended, one.status) for one in call.attempts],
            )
            for call in self.calls
        ]
        return blake2b(repr((told, self.views, self.events)).encode(), digest_size=12).hexdigest()
