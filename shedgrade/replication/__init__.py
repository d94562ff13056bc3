"""Control state that nothing takes: epochs, primary, backups, witnesses. Sans I/O."""

from . import effects, messages
from .effects import (
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
from .member import Member
from .messages import Message
from .timing import Timing

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
