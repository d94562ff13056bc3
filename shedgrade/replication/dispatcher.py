"""Which handler each kind of message goes to."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from shedgrade.replication import messages as m

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

Handler = Callable[[float, str, Any], None]  # (now, link address of the sender, the message)


class Dispatcher:
    """Hands each message to the role that answers it; long ones once all their chunks are there."""

    def __init__(self, member: Member) -> None:
        """Of a member whose roles are made already."""
        self.chunking = member.transport.chunking
        acceptor, candidate = member.acceptor, member.candidate
        reconfiguration = member.reconfiguration
        self.handlers: dict[type, Handler] = {
            m.JoinRequest: reconfiguration.on_join_request,
            m.PrimaryHint: reconfiguration.on_primary_hint,
            m.PreVote: acceptor.on_pre_vote,
            m.PreVoteReply: candidate.on_pre_vote_reply,
            m.Prepare: acceptor.on_prepare,
            m.Promise: candidate.on_promise,
            m.Refusal: member.on_refusal,
            m.Fetch: acceptor.on_fetch,
            m.Transfer: candidate.on_transfer,
            m.Install: acceptor.on_install,
            m.Installed: candidate.on_installed,
            m.Replicate: acceptor.on_replicate,
            m.CatchUp: acceptor.on_catch_up,
            m.Heartbeat: acceptor.on_heartbeat,
            m.Ack: member.primary_role.on_ack,
            m.ChunkAck: self.chunking.on_chunk_ack,
            m.LeaveGranted: member.graceful_leave.on_leave_granted,
            m.HandOver: acceptor.on_hand_over,
        }

    def dispatch(self, now: float, sender: str, message: m.Message) -> bool:
        """Calls the handler. Returns False for a chunk that completes no message."""
        whole: m.Message | None = message
        if type(message) is m.Chunk:
            whole = self.chunking.on_chunk(now, sender, message)
        if whole is None:
            return False
        self.handlers[type(whole)](now, sender, whole)
        return True
