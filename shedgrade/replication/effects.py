"""What a member asks of its caller (`Instruction`), and the outcomes of commands and reads.

A member does no I/O: each of its calls appends instructions to `Member.effects`, and the caller carries them
out in their order.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from shedgrade.replication.messages import Changes, Message

State = Mapping[str, bytes]


@dataclass(slots=True)
class Send:
    """One message to the link address `to`. It may be lost, delayed, duplicated."""

    to: str
    message: Message


@dataclass(slots=True)
class Persist:
    """Make `changes` durable as a whole or not at all (None: remove the key), then call `Member.persisted`
    with the token.

    A member has at most one of them open.
    """

    token: int
    changes: Changes


@dataclass(slots=True)
class Answer:
    """The outcome of the command or read with this ticket: what `decide` gave, or a class of this module."""

    ticket: int
    outcome: Any


@dataclass(slots=True)
class Committed:
    """A newer committed state. `epoch` is the epoch in which its last change was decided."""

    epoch: int
    sequence: int
    state: State


@dataclass(slots=True)
class Exit:
    """The process may end."""


Instruction = Send | Persist | Answer | Committed | Exit


@dataclass(slots=True)
class Decision:
    """What `decide` makes of a command; without changes the outcome tells of the newest state."""

    changes: Changes = field(default_factory=dict)
    outcome: Any = None


@dataclass(slots=True)
class Unavailable:
    """Nothing happened: retry, here or elsewhere."""


@dataclass(slots=True)
class OutcomeUnknown(Unavailable):
    """The change may have been made or may yet be: send the same again, anywhere."""


@dataclass(slots=True)
class RedirectToPrimary:
    """The primary has this link address. The same command may be sent there, whatever became of it here."""

    address: str


@dataclass(slots=True)
class ReadResult:
    """The newest committed state, as confirmed after the read began."""

    epoch: int
    sequence: int
    state: State
