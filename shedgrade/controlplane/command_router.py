"""Routes operators' commands and reads to the primary and returns their outcomes, whichever member got them.

Commands for zones carry the zone's revision (`commands.py`). That revision must have been current at a moment
when the caller was still waiting. Then every command that this caller, or anyone who knows its outcome, sends
later builds on a newer revision. There are three proofs of that:

- the caller named the revision, which a member had told it (`Caller.told_revision`);
- the connection was opened less than `RESPONSE_TIMEOUT_S` ago, by this process's steady clock alone, so the
  command was sent after that, and any revision known now will do;
- an older connection proves a revision that its command is not older than (`operator_session.py`).

Without proof that a command may build on the zone's newest revision, nothing is changed, and the caller is
told that revision, to send the command again if it still wants it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Protocol

import msgspec

from shedgrade.controlplane import channels
from shedgrade.controlplane.channels import COMMAND_CHANNEL, ForwardedRequest, ForwardedResponse
from shedgrade.controlplane.commands import (
    Command,
    CommandReply,
    PatchConfiguration,
    PutConfiguration,
    RevisionConflict,
    ZoneCommand,
    zone_revisions,
)
from shedgrade.controlplane.operator_session import OperatorSession
from shedgrade.controlplane.state_keys import CONFIGURATION, EVACUATION_REVISIONS, configuration_version
from shedgrade.peer_transport.connection import PeerCallError
from shedgrade.replication import Member, OutcomeUnknown, ReadResult, RedirectToPrimary, Unavailable

# After this time the caller is told to try another member; after 1 s without a response it does so by itself.
RESPONSE_TIMEOUT_S = 0.65
# Time limit for the primary's response. Then the request is sent again, to the member that is primary then.
FORWARD_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.05  # before the next attempt
# After this time without a primary, calls are rejected at once: no member took over.
NO_PRIMARY_TIMEOUT_S = 2.0
# Slowest rate at which a large body is forwarded, by which time limits are extended; the same as
# `Timing.bytes_per_second` of replication.
SLOWEST_BYTES_PER_SECOND = 250_000
# Delay between reading a zone's command on a new connection and the first attempt, in which the end of that
# connection may arrive. Guards against commands of callers that leave without waiting for a response.
CLOSE_DELAY_S = 0.1

MemberOutcome = CommandReply | RevisionConflict | RedirectToPrimary | Unavailable | ReadResult
OnMemberOutcome = Callable[[MemberOutcome], None]
RespondToRead = Callable[[dict[str, bytes] | None], None]
RespondToCommand = Callable[[CommandReply | RevisionConflict | None], None]
Respond = Callable[[ForwardedResponse | None], None]


class PeerCalls(Protocol):
    """Calls to other members over their links."""

    async def call(self, address: str, body: bytes, timeout: float) -> bytes:
        """Returns the body of the response. `timeout` in s. Raises PeerCallError if there is no response."""


def last_contact(member: Member, now: float) -> float:
    """When this member last knew of an active primary, itself included; `now` if it knows of one."""
    if member.primary_role.active or member.hears_primary(now) or member.has_primary_hint(now):
        return now
    return max(member.primary_heard_at, member.incarnation_durable_at, member.primary_role.majority_heard_at)


@dataclass(frozen=True, slots=True)
class Caller:
    """The client that waits for a response.

    Attributes:
        session: the connection of the call; None for a connection that is opened now.
        is_gone: returns whether this process has seen the client close its connection.
        told_revision: the zone's revision that the client's command builds on, which it was told by a member;
            None if the client named none.
    """

    session: OperatorSession | None = None
    is_gone: Callable[[], bool] = lambda: False
    told_revision: int | None = None


UNKNOWN_CALLER = Caller()


class PendingCommand:
    """A command, or a read (`command` is None), from its arrival until its caller has a response.

    Attributes:
        extra_wait_s: time added to the time limits for a large body.
        finished: the caller has its response; nothing more is sent.
        timer: ends the command without a decision after the time limit; cancelled once finished.
    """

    def __init__(
        self, router: "CommandRouter", command: Command | None, respond: Respond, caller: Caller
    ) -> None:
        self.router = router
        self.command = command
        self.respond = respond
        self.caller = caller
        self.loop = router.loop
        self.extra_wait_s = router.body_size(command) / SLOWEST_BYTES_PER_SECOND
        self.finished = False
        self.timer = self.loop.call_later(RESPONSE_TIMEOUT_S + self.extra_wait_s, self.finish, None)

    def attempt(self) -> None:
        """Submits the command to the member of this process."""
        if not self.finished:
            self.router.submit_to_member(self.command, self.on_member_outcome)

    def on_member_outcome(self, outcome: MemberOutcome) -> None:
        """Handles the outcome from the member of this process: a decision, a redirect, or no decision."""
        match outcome:
            case RedirectToPrimary(address):
                self.router.spawn(self.forward(address))
            case Unavailable():
                self.on_no_decision(isinstance(outcome, OutcomeUnknown))
            case ReadResult():
                self.finish(ForwardedResponse(None, channels.read_response(outcome.state)))
            case _:
                self.on_decision(ForwardedResponse(outcome))

    async def forward(self, address: str) -> None:
        """Sends the command or read to the primary. A read names the configuration version that this
        member has, so that a slow link does not carry a configuration that the member has already."""
        known = self.router.member.committed.state if self.command is None else {}
        held_version = configuration_version(known)
        request = COMMAND_CHANNEL + channels.encode(ForwardedRequest(self.command, held_version))
        try:
            body = await self.router.peer_connections.call(
                address, request, FORWARD_TIMEOUT_S + self.extra_wait_s
            )
            response = channels.decode(body[1:])
        except (PeerCallError, msgspec.DecodeError, ValueError):
            response = None
        if not isinstance(response, ForwardedResponse) or (response.reply is None and response.state is None):
            self.on_no_decision(True)
            return
        if (
            response.state is not None
            and held_version
            and configuration_version(response.state) == held_version
        ):
            response = ForwardedResponse(None, channels.read_response(known))
        self.on_decision(response)

    def on_decision(self, response: ForwardedResponse) -> None:
        """Handles a decision of the primary."""
        self.finish(response)

    def on_no_decision(self, maybe_applied: bool) -> None:
        """Schedules the next attempt after one without an outcome, unless the caller has gone.
        `maybe_applied`: the command may still be applied."""
        if self.caller.is_gone():
            self.finish(None)
        elif not self.finished:
            self.loop.call_later(RETRY_DELAY_S, self.attempt)

    def finish(self, response: ForwardedResponse | None) -> None:
        """Responds to the caller, once. None: this member can't tell the outcome of the command."""
        if not self.finished:
            self.finished = True
            self.timer.cancel()
            self.respond(response)


class PendingZoneCommand(PendingCommand):
    """A command for a zone, from its arrival until its caller has a response.

    Attributes:
        zone_command: the command as it was received.
        session: the connection on which it was received.
        revision: the zone's revision that the command builds on; None until there is a proof that it may.
        maybe_applied: an earlier attempt may have been or may still be applied, so a conflict does not prove
            that nothing was changed.
    """

    def __init__(
        self, router: "CommandRouter", command: ZoneCommand, respond: Respond, caller: Caller
    ) -> None:
        super().__init__(router, command, respond, caller)
        self.zone_command = command
        self.session = caller.session or router.open_session(router.clock())
        self.revision = caller.told_revision
        self.maybe_applied = False

    def start(self) -> None:
        """Makes the first attempt; on a new connection, after the time in which its end would arrive."""
        if self.revision is None and self.is_connection_new():
            self.loop.call_later(CLOSE_DELAY_S, self.attempt)
        else:
            self.attempt()

    def is_connection_new(self) -> bool:
        """Whether a command on this connection was sent so recently that its caller is certainly waiting."""
        return self.router.clock() < self.session.opened_after + RESPONSE_TIMEOUT_S

    def proven_revision(self) -> int | None:
        """The newest revision of the zone that the command may build on, None if there is no proof."""
        zone = self.zone_command.zone
        if self.is_connection_new():
            return self.router.known_revision(zone)
        return self.session.proven_revision(zone)

    def attempt(self) -> None:
        """Submits the command with the zone's revision, or asks the caller whether it builds on that."""
        if self.finished:
            return
        if self.caller.is_gone():
            self.finish(None)
            return
        if self.revision is None:
            self.revision = self.proven_revision()
        if self.revision is None:
            known = self.router.known_revision(self.zone_command.zone)
            self.finish(ForwardedResponse(RevisionConflict(known)))
            return
        self.command = msgspec.structs.replace(self.zone_command, revision=self.revision)
        super().attempt()

    def on_decision(self, response: ForwardedResponse) -> None:
        """Responds with the decision. After a conflict, retries with the newer revision if the command may
        build on that one too."""
        reply = response.reply
        if not isinstance(reply, RevisionConflict):
            self.record_revision(reply)
            self.finish(response)
        elif self.maybe_applied:
            # An earlier attempt may have been applied, and a newer command after it.
            self.finish(None)
        elif self.caller.told_revision is None and self.is_connection_new():
            self.revision = reply.revision
            self.attempt()
        else:
            self.finish(response)

    def record_revision(self, reply: CommandReply | None) -> None:
        """Records the revision that an acknowledged command made, for later ones on its connection."""
        if reply is not None and reply.status == 200 and self.revision is not None:
            self.session.record_command(self.zone_command.zone, self.revision + 1)

    def on_no_decision(self, maybe_applied: bool) -> None:
        """Schedules the next attempt and remembers whether this one may still be applied."""
        self.maybe_applied = self.maybe_applied or maybe_applied
        super().on_no_decision(maybe_applied)


class CommandRouter:
    """Submits commands and reads to the member of this process and forwards them to the primary.

    `peer_connections`: calls to other members. `pump()`: carries out the effects that the member
    requests. `clock`: returns the current time of a steady clock in s; None: the loop's clock.

    Attributes:
        on_outcomes: callback for the member's outcome by ticket; removed when the outcome arrives.
        last_ticket: the highest ticket used; a ticket is never used twice.
        tasks: running tasks, referenced here so that they are not garbage-collected.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        member: Member,
        peer_connections: PeerCalls,
        pump: Callable[[], None],
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.loop = loop
        self.member = member
        self.peer_connections = peer_connections
        self.pump = pump
        self.clock = clock or loop.time
        self.on_outcomes: dict[int, OnMemberOutcome] = {}
        self.last_ticket = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def check_invariants(self) -> None:
        """Raises AssertionError if there is a callback for a ticket that was never used."""
        assert all(0 < ticket <= self.last_ticket for ticket in self.on_outcomes), "unknown ticket"

    def submit(self, command: Command, respond: RespondToCommand, caller: Caller = UNKNOWN_CALLER) -> None:
        """Calls `respond` with the decision's reply.

        None: this member doesn't know the outcome, and the caller has to send the command again, to any
        member; a change that was accepted before is recognized then. RevisionConflict: nothing was changed,
        as the command for a zone may be older than the zone's newest one; a caller that still wants it sends
        it again with that revision."""

        def on_response(response: ForwardedResponse | None) -> None:
            respond(response.reply if response is not None else None)

        self.start_pending(command, on_response, caller)

    def read(self, respond: RespondToRead, caller: Caller = UNKNOWN_CALLER) -> None:
        """Calls `respond` with the newest committed configuration (`channels.read_response`), confirmed after
        this call, or with None if it is not available."""
        self.start_pending(
            None, lambda response: respond(response.state if response is not None else None), caller
        )

    def open_session(self, opened_after: float) -> OperatorSession:
        """A connection that was opened at `opened_after` or later, in s of `clock`, and is accepted now."""
        state = self.member.committed.state
        is_recent = self.clock() < opened_after + RESPONSE_TIMEOUT_S
        return OperatorSession(opened_after, state.get(EVACUATION_REVISIONS) or b"{}" if is_recent else None)

    def known_revision(self, zone: str) -> int:
        """The zone's newest revision that this member knows."""
        return zone_revisions(self.member.committed.state).get(zone, 0)

    def start_pending(self, command: Command | None, respond: Respond, caller: Caller) -> None:
        """Starts a command, or a read (None), which is pending until its caller has a response."""
        now = self.loop.time()
        if now - last_contact(self.member, now) > NO_PRIMARY_TIMEOUT_S:
            respond(None)
        elif isinstance(command, ZoneCommand):
            PendingZoneCommand(self, command, respond, caller).start()
        else:
            PendingCommand(self, command, respond, caller).attempt()

    def submit_to_member(self, command: Command | None, on_outcome: OnMemberOutcome) -> None:
        """Submits a command, or a read (None), to the member of this process."""
        self.last_ticket += 1
        self.on_outcomes[self.last_ticket] = on_outcome
        now = self.loop.time()
        if command is None:
            self.member.read(now, self.last_ticket)
        else:
            self.member.submit(now, self.last_ticket, command)
        self.pump()

    def on_member_outcome(self, ticket: int, outcome: MemberOutcome) -> None:
        """Passes the member's outcome of a command or read to the callback of its ticket."""
        on_outcome = self.on_outcomes.pop(ticket, None)
        if on_outcome is not None:
            on_outcome(outcome)

    def body_size(self, command: Command | None) -> int:
        """Size in bytes of the configuration that is sent: in the command, or in the response to a read."""
        if isinstance(command, PutConfiguration | PatchConfiguration):
            return len(command.raw)
        return len(self.member.committed.state.get(CONFIGURATION, b"")) if command is None else 0

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task and keeps a reference to it until it ends."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_forwarded(self, body: bytes, respond: Callable[[bytes], None]) -> None:
        """Handles a command or read that another member forwarded; `respond` sends a body back to it."""
        request = channels.decode(body)
        if not isinstance(request, ForwardedRequest):
            return

        def on_outcome(outcome: MemberOutcome) -> None:
            if isinstance(outcome, ReadResult):
                state = channels.read_response(outcome.state, request.held_version)
                response = ForwardedResponse(None, state)
            elif isinstance(outcome, RedirectToPrimary | Unavailable):
                response = ForwardedResponse(None)
            else:
                response = ForwardedResponse(outcome)
            respond(COMMAND_CHANNEL + channels.encode(response))

        self.submit_to_member(request.command, on_outcome)
