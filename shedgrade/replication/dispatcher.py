"""Dispatches each received message to its handler by type."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from shedgrade.replication import messages as m

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

Handler = Callable[[float, str, Any], None]  # arguments: now, link address of the sender, message

# Getters of a member's handler, by message type. Called for each message, since a role may be replaced.
HANDLERS: dict[type, Callable[[Member], Handler]] = {
    m.JoinRequest: lambda member: member.reconfiguration.on_join_request,
    m.PrimaryHint: lambda member: member.reconfiguration.on_primary_hint,
    m.PreVote: lambda member: member.acceptor.on_pre_vote,
    m.PreVoteReply: lambda member: member.candidate.on_pre_vote_reply,
    m.Prepare: lambda member: member.acceptor.on_prepare,
    m.Promise: lambda member: member.candidate.on_promise,
    m.Refusal: lambda member: member.on_refusal,
    m.Fetch: lambda member: member.acceptor.on_fetch,
    m.Transfer: lambda member: member.candidate.on_transfer,
    m.Install: lambda member: member.acceptor.on_install,
    m.Installed: lambda member: member.candidate.on_installed,
    m.Replicate: lambda member: member.acceptor.on_replicate,
    m.CatchUp: lambda member: member.acceptor.on_catch_up,
    m.Heartbeat: lambda member: member.acceptor.on_heartbeat,
    m.Ack: lambda member: member.primary_role.on_ack,
    m.ChunkAck: lambda member: member.transport.chunking.on_chunk_ack,
    m.LeaveGranted: lambda member: member.graceful_leave.on_leave_granted,
    m.HandOver: lambda member: member.acceptor.on_hand_over,
}


def dispatch(member: Member, now: float, sender: str, message: m.Message) -> bool:
    """Passes the message to its handler; a chunked message once all its chunks have arrived.

    Returns False for a chunk that completes no message.
    """
    complete: m.Message | None = message
    if type(message) is m.Chunk:
        complete = member.transport.chunking.on_chunk(now, sender, message)
    if complete is None:
        return False
    HANDLERS[type(complete)](member)(now, sender, complete)
    return True
