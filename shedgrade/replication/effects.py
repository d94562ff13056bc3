"""What a member asks of its caller, and the outcomes of orders and reads."""

from collections.abc import Mapping
from dataclasses import dataclass, field

State = Mapping[str, bytes]


@dataclass(slots=True)
class Send:
    """One message to the link address `to`. It may be lost, delayed, doubled."""

    to: str
    message: object


@dataclass(slots=True)
class Persist:
    """Make `changes` durable as a whole or not at all (None: remove the key), then call `persisted` with
    the token.

    A member has at most one of them open."""

    token: int
    changes: dict[str, bytes | None]


@dataclass(slots=True)
class Answer:
    """The outcome of the order or read with this ticket."""

    ticket: int
    outcome: object


@dataclass(slots=True)
class Committed:
    """A newer committed state. `epoch` is the epoch in which its last change was decided."""

    epoch: int
    sequence: int
    state: State


@dataclass(slots=True)
class Exit:
    """The process may end."""


@dataclass(slots=True)
class Decision:
    """What `decide` makes of an order; without changes the outcome tells of the newest state."""

    changes: dict[str, bytes | None] = field(default_factory=dict)
    outcome: object = None


@dataclass(slots=True)
class Unavailable:
    """Nothing happened: try elsewhere, or again."""


@dataclass(slots=True)
class OutcomeUnknown(Unavailable):
    """The change may have been made or may yet be: send the same again, anywhere."""


@dataclass(slots=True)
class RedirectToPrimary:
    """The primary has this link address. The same order may be sent there, whatever became of it here."""

    address: str


@dataclass(slots=True)
class ReadResult:
    """The newest committed state, as confirmed after the read began."""

    epoch: int
    sequence: int
    state: State
