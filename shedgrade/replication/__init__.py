"""Replicated control state: epochs with one primary, backups and witnesses. Sans I/O.

The caller passes a `Member` received messages, outcomes of disk writes and the time, and carries out the
`Instruction`s that it returns. Modules:

- `member`: assembles the parts. `dispatcher`, `transport`, `peer_directory`: incoming and outgoing messages.
  `election_timer`, `primary_monitor`, `timing`: time-outs.
- Roles: `primary` with `command_pipeline`, `holder_supervision`, `follower` and `majority_contact`;
  `candidate`; `acceptor`. `reconfiguration`, `graceful_leave`: members that join and leave.
  `pending_requests`: requests that wait for a primary.
- `replica_state` with `change_index` and `disk_writer`: the state of a member, in memory and on its disk.
- `quorums`: the quorum rules that safety depends on, as pure functions. `messages`, `effects`, `chunking`:
  message and instruction types, and the transfer of long messages in chunks.
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
