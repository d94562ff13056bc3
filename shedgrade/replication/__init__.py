"""Control state that nothing takes: epochs, primary, backups, witnesses. Sans I/O."""

from shedgrade.replication import effects, messages
from shedgrade.replication.effects import (
    Answer,
    Decision,
    Elsewhere,
    Finished,
    Left,
    Persist,
    Reading,
    Send,
    State,
    Unavailable,
    Unclear,
)
from shedgrade.replication.member import Member
from shedgrade.replication.messages import Message
from shedgrade.replication.timing import Timing

__all__ = [
    "Answer",
    "Decision",
    "Elsewhere",
    "Finished",
    "Left",
    "Member",
    "Message",
    "Persist",
    "Reading",
    "Send",
    "State",
    "Timing",
    "Unavailable",
    "Unclear",
    "effects",
    "messages",
]
