"""Replicated control state: epochs, primary, backups, witnesses. Sans I/O.

A `Member` is told of messages, written changes and the time, and gives out `Instruction`s. Its modules:

- `member`: the parts put together; `dispatcher`, `transport`, `peer_directory`: messages in and out;
  `election_timer`, `primary_monitor`, `timing`: time-outs.
- `primary` with `command_pipeline`, `holder_supervision`, `follower`, `majority_contact`; `candidate`;
  `acceptor`: the roles. `reconfiguration`, `graceful_leave`: who comes and goes. `pending_requests`.
- `replica_state` with `change_index`, `disk_writer`: what a member holds, and what of it is on its disk.
- `quorums`: the rules that safety hangs on, free of state. `messages`, `effects`, `chunking`: the formats.
"""

from shedgrade.replication import effects, messages
from shedgrade.replication.effects import (
    Answer,
    Committed,
    Decision,
    Exit,
    Instruction,
    OutcomeUnknown,
    Persist,
    ReadResult,
    RedirectToPrimary,
    Send,
    State,
    Unavailable,
)
from shedgrade.replication.member import Member, Role
from shedgrade.replication.messages import Message
from shedgrade.replication.replica_state import CommittedState
from shedgrade.replication.timing import Timing

__all__ = [
    "Answer",
    "Committed",
    "CommittedState",
    "Decision",
    "Exit",
    "Instruction",
    "Member",
    "Message",
    "OutcomeUnknown",
    "Persist",
    "ReadResult",
    "RedirectToPrimary",
    "Role",
    "Send",
    "State",
    "Timing",
    "Unavailable",
    "effects",
    "messages",
]
