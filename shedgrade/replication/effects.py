"""Instructions from a member to its caller, and the outcomes of commands and reads.

A member does no I/O: its calls append instructions to `Member.effects`, and the caller carries them out in
order.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from shedgrade.replication.messages import Changes, Message

State = Mapping[str, bytes]


@dataclass(slots=True)
class Send:
    """Send one message to the link address `to`. It may be lost, delayed or duplicated."""

    to: str
    message: Message


@dataclass(slots=True)
class Persist:
    """Write `changes` atomically and durably (None: remove the key), then call `Member.persisted`.

    A member has at most one `Persist` outstanding.
    """

    token: int
    changes: Changes


@dataclass(slots=True)
class Answer:
    """Outcome of the command or read `ticket`: the one that `decide` returned, or a class of this module."""

    ticket: int
    outcome: Any


@dataclass(slots=True)
class Committed:
    """The committed state has advanced. `epoch`, `sequence`: log position of its last change."""

    epoch: int
    sequence: int
    state: State


@dataclass(slots=True)
class Exit:
    """The member has left, and the process may exit."""


Instruction = Send | Persist | Answer | Committed | Exit


@dataclass(slots=True)
class Decision:
    """Result of `decide` for a command.

    `changes`: changes of the state; empty if the command changes nothing.
    `outcome`: the answer to the command, given once the changes are committed. Without changes, it is given
    once a round confirms that the command was decided on the newest state.
    """

    changes: Changes = field(default_factory=dict)
    outcome: Any = None


@dataclass(slots=True)
class Unavailable:
    """The request had no effect; the client may retry it at this or another process."""


@dataclass(slots=True)
class OutcomeUnknown(Unavailable):
    """The change may have been made or may still be made; the client may retry the same request anywhere."""


@dataclass(slots=True)
class RedirectToPrimary:
    """Link address of the primary. The same command may be sent to the primary, whatever its outcome at this
    member was."""

    address: str


@dataclass(slots=True)
class ReadResult:
    """The newest committed state, confirmed by a round that began after the read arrived."""

    epoch: int
    sequence: int
    state: State
