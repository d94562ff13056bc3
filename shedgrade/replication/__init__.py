"""Control state that nothing takes: epochs, primary, backups, witnesses. Sans I/O."""

from shedgrade.replication import effects, messages
from shedgrade.replication.effects import (
    Answer,
    Committed,
    Decision,
    Exit,
    OutcomeUnknown,
    Persist,
    ReadResult,
    RedirectToPrimary,
    Send,
    State,
    Unavailable,
)
from shedgrade.replication.member import Member
from shedgrade.replication.messages import Message
from shedgrade.replication.replica_state import CommittedState
from shedgrade.replication.timing import Timing

__all__ = [
    "Answer",
    "Decision",
    "RedirectToPrimary",
    "Committed",
    "CommittedState",
    "Exit",
    "Member",
    "Message",
    "Persist",
    "ReadResult",
    "Send",
    "State",
    "Timing",
    "Unavailable",
    "OutcomeUnknown",
    "effects",
    "messages",
]
