"""One member of the control state: the parts put together. Sans I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from shedgrade.replication import messages as m
from shedgrade.replication.acceptor import Acceptor
from shedgrade.replication.candidate import Candidate
from shedgrade.replication.chunking import ChunkedTransfers
from shedgrade.replication.disk_writer import DiskWriter
from shedgrade.replication.effects import Answer, Decision, Send, State, Unavailable
from shedgrade.replication.graceful_leave import GracefulLeave
from shedgrade.replication.pending_requests import PendingRequests
from shedgrade.replication.primary import Primary
from shedgrade.replication.quorums import electorate, matches
from shedgrade.replication.reconfiguration import Reconfiguration
from shedgrade.replication.replica_state import CommittedState, ReplicaState
from shedgrade.replication.timing import Timing

NEVER = float("-inf")
LEAST_BETWEEN_TICKS = 0.05  # s


class Member:
    """A core process's part in the control state.

    `address` and `seeds` are link addresses; `found` holds the durable values of an earlier life (none:
    empty disk); `decide(state, request)` is pure and is called at the primary only. `effects` is drained by
    the caller after each call. Source: Harp (Liskov et al., 1991) with the quorums of Vertical Paxos
    (Lamport, Malkhi, Zhou, 2009)."""

    PIPELINE, QUEUE = 16, 256

    def __init__(
        self,
        name: str,
        address: str,
        *,
        founding: bool,
        seeds: tuple[str, ...],
        tolerated: int,
        found: Mapping[str, bytes] | None,
        random: Random,
        now: float,
        decide: Callable[[State, object], Decision],
        timing: Timing = Timing(),  # noqa: B008 (frozen)
    ):
        self.name, self.address, self.seeds, self.tolerated = name, address, tuple(seeds), tolerated
        self.random, self.decide, self.timing = random, decide, timing
        self.effects: list = []
        self.disk_writer = DiskWriter(self.effects, timing.disk_timeout_s, timing.disk_retry_interval_s)
        founding = founding and address in self.seeds
        self.replica = ReplicaState(found, self.disk_writer, self.effects, self.seeds, founding, random)
        self.primary_role, self.candidate, self.acceptor = self.make_roles()
        self.reconfiguration, self.pending_requests, self.chunking = (
            Reconfiguration(self),
            PendingRequests(self),
            ChunkedTransfers(self),
        )
        self.highest_epoch_seen = max(self.replica.promised_epoch.number, self.replica.epoch_config.number)
        self.durable_promise = self.replica.promised_epoch.number
        self.addresses: dict[int, str] = {self.replica.incarnation: address}
        self.names: dict[int, str] = {self.replica.incarnation: name}
        self.heard_from: dict[str, float] = {}  # link address -> when it last said anything
        self.founders: dict[str, int] = {address: self.replica.incarnation} if self.replica.founding else {}
        self.primary: str | None = None
        self.primary_hint: str | None = None
        self.last_heard_at, self.election_at = now, now
        self.primary_heard_at = self.primary_hint_at = NEVER
        self.confirmed_at = NEVER  # as of when a majority replica nothing newer than what is committed here
        self.receive_delay_s = 0.0  # so long what is received now may have waited at this process, unread
        self.defer_to_candidate_until = NEVER
        self.incarnation_durable_at = now
        self.incarnation_durable = False
        self.graceful_leave = GracefulLeave(self)
        self.stopped = False
        self.reconfigure_at = now
        self.now = self.ticked_at = now
        if self.replica.is_new:
            self.replica.persist_incarnation(now, self.on_incarnation_durable)
        else:
            self.on_incarnation_durable(now)

    def make_roles(self) -> tuple[Primary, Candidate, Acceptor]:
        return Primary(self), Candidate(self), Acceptor(self)

    def on_incarnation_durable(self, now: float) -> None:
        """The incarnation is synced: this process may speak."""
        self.incarnation_durable, self.incarnation_durable_at, self.last_heard_at = True, now, now
        self.reconfiguration.send_join_requests(now)
        self.schedule_election(now)
        if self.replica.epoch_config.primary == self.replica.incarnation and self.replica.epoch_config.number:
            self.election_at = (
                now + self.timing.heartbeat_interval_s / 2
            )  # nobody else acts in the epoch that it led

    # --- what the caller does

    def receive(self, now: float, sender: str, message) -> None:
        """A message from the link address `sender`."""
        self.now = now
        if self.incarnation_durable and not self.stopped:
            self.heard_from[sender] = now
            if type(message) is m.Chunk:
                message = self.chunking.on_chunk(now, sender, message)
                if message is None:
                    return
            self.HANDLERS[type(message)](self, now, sender, message)
            self.pending_requests.resolve(now)

    def persisted(self, now: float, token: int, ok: bool) -> None:
        """The disk's word on the open Persist."""
        self.now = now
        if not self.stopped:
            self.disk_writer.persisted(now, token, ok)

    def order(self, now: float, ticket: int, request: object) -> None:
        """Answered by Answer(ticket, ...): `decide`'s outcome, Unavailable, OutcomeUnknown or
        RedirectToPrimary.
        """
        self.now = now
        if (
            self.stopped
            or len(self.primary_role.order_queue) + len(self.pending_requests.entries) >= self.QUEUE
        ):
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.is_primary_or_candidate() and not self.graceful_leave.draining:
            self.primary_role.order(now, ticket, request)
        else:
            self.pending_requests.add(now, ticket, request)
            self.pending_requests.resolve(now)

    def read(self, now: float, ticket: int) -> None:
        """Answered by Answer(ticket, ReadResult), Unavailable or RedirectToPrimary."""
        self.now = now
        if self.stopped:
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.primary_role.active:
            self.primary_role.read(now, ticket)
        else:
            self.pending_requests.add(now, ticket, None, read=True)
            self.pending_requests.resolve(now)

    def leave(self, now: float, patience: float | None = None) -> None:
        """Serve on until the others hold what this member holds, `patience` s at most; then Exit."""
        self.now = now
        self.graceful_leave.request(now, self.timing.leave_timeout_s if patience is None else patience)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Called when wake_at() is due, and at any other time."""
        self.now = self.ticked_at = now
        if self.stopped:
            return
        self.disk_writer.pump(now)
        if not self.incarnation_durable:
            return
        self.chunking.tick(now)
        self.primary_role.tick(now)
        self.candidate.tick(now)
        if not self.primary_role.active and not self.candidate.phase:
            if now >= self.election_at and self.may_campaign(now):
                self.start_pre_vote(now)
            if not self.hears_primary(now) and now >= self.reconfiguration.join_request_at:
                self.reconfiguration.send_join_requests(now)
        self.primary_role.expire_requests(now)
        self.pending_requests.resolve(now)
        self.graceful_leave.tick(now)

    def wake_at(self) -> float:
        """When tick is due next."""
        now, wake = self.now, self.disk_writer.wake_at(self.now)
        soon = self.ticked_at + LEAST_BETWEEN_TICKS  # not after `now`, which each message moves
        if self.incarnation_durable:
            wake = min(
                wake, self.primary_role.wake_at(now), self.candidate.wake_at(), self.chunking.wake_at()
            )
            if not self.primary_role.active:
                if not self.candidate.phase:
                    wake = min(wake, max(self.election_at, soon) if self.is_voter() else now + 1.0)
                    silent = self.primary_heard_at + self.timing.primary_timeout_s
                    wake = min(wake, max(self.reconfiguration.join_request_at, silent, soon))
            if self.pending_requests.entries:
                wake = min(wake, self.pending_requests.entries[0][0])
            if self.primary_role.order_queue:
                wake = min(wake, self.primary_role.order_queue[0][0] + 2 * self.timing.request_timeout_s)
            if self.leaving:
                wake = min(wake, soon)
        return wake

    # --- to be looked at

    @property
    def role(self) -> str:
        """founding, blank, witness, backup, primary or candidate."""
        replica = self.replica
        if self.primary_role.active:
            return "primary"
        if self.candidate.phase and self.candidate.phase != "prevote":
            return "candidate"
        if replica.epoch_config.number == 0:
            return "founding" if replica.founding else "blank"
        if not replica.is_member():
            return "blank"
        return "backup" if replica.incarnation in replica.epoch_config.holders else "witness"

    @property
    def leaving(self) -> bool:
        return self.graceful_leave.requested

    @property
    def epoch(self) -> int:
        return self.replica.epoch_config.number

    @property
    def members(self) -> tuple:
        return self.replica.epoch_config.members

    @property
    def committed(self) -> CommittedState:
        return self.replica.committed

    # --- what the parts share

    def send(self, address: str, message) -> None:
        if self.chunking.needs_chunking(address, message):
            self.chunking.send(self.now, address, message)
        else:
            self.emit(address, message)

    def emit(self, address: str, message) -> None:
        self.effects.append(Send(address, message))

    def note_address(self, incarnation: int, address: str, name: str = "") -> None:
        self.addresses[incarnation] = address
        if name:
            self.names[incarnation] = name

    def address_of(self, incarnation: int, otherwise: str) -> str:
        return self.addresses.get(incarnation, otherwise)

    def broadcast(self, message, but) -> None:
        """To the members, and to those before while the epoch isn't known to be active."""
        config, done = self.replica.epoch_config, {self.address}
        for peer in (*config.members, *(() if config.active else config.before)):
            address = self.address_of(peer.incarnation, peer.address)
            if peer.incarnation not in but and address not in done:
                done.add(address)
                self.send(address, message)

    def own_promise(self, number: int) -> m.Promise:
        replica = self.replica
        return m.Promise(
            replica.incarnation,
            self.address,
            replica.founding,
            number,
            replica.epoch_config,
            replica.accepted_epoch,
            replica.log_position,
            replica.committed.position,
            self.leaving,
        )

    def is_voter(self) -> bool:
        """Named by the newest epoch known, or by the one before while that is not known to be active."""
        replica = self.replica
        if replica.founding and not replica.epoch_config.number:
            return True
        return any(
            matches(peer, replica.incarnation, self.address, replica.founding)
            for peer in electorate(replica.epoch_config)
        )

    def may_campaign(self, now: float) -> bool:
        replica = self.replica
        if not self.is_voter() or not self.disk_writer.is_healthy(now):
            return False
        return replica.epoch_config.number > 0 or self.reconfiguration.founded_enough(now)

    def is_primary_or_candidate(self) -> bool:
        """As primary, or as candidate after the pre-vote."""
        return self.primary_role.active or self.candidate.phase not in ("", "prevote")

    def has_primary_hint(self, now: float) -> bool:
        """Another member hears the primary, though this one doesn't."""
        return (
            self.primary_hint not in (None, self.address)
            and now - self.primary_hint_at < 2 * self.timing.join_request_interval_s
        )

    def hears_primary(self, now: float) -> bool:
        return self.primary is not None and now - self.primary_heard_at < self.timing.primary_timeout_s

    def confirm_up_to_date(self, at: float) -> None:
        """At that time nothing was committed anywhere that is not committed here."""
        self.confirmed_at = max(self.confirmed_at, at)

    def note_primary_hint(self, now: float, address: str) -> None:
        """Somebody else hears the primary there. It is said hello, and doesn't count as heard."""
        self.primary_hint_at = now
        if address != self.primary_hint:
            self.primary_hint = address
            self.reconfiguration.join_request_at = min(self.reconfiguration.join_request_at, now)

    def primary_lost(self, now: float) -> None:
        """Another life of its machine has asked to join: the primary that was heard is no more."""
        if not self.primary_role.active and self.primary is not None:
            self.primary = self.primary_hint = None
            self.last_heard_at = now - self.timing.primary_timeout_s
            self.schedule_election(now)

    def on_primary_heard(self, now: float, sender: str, epoch: int) -> None:
        """A word of the primary of the newest epoch."""
        if self.primary_role.active or self.candidate.phase:
            self.step_down(now)
        self.primary, self.primary_hint = sender, sender
        self.acceptor.first_granted.clear()
        self.last_heard_at = self.primary_heard_at = now
        self.schedule_election(now)

    def schedule_election(self, now: float) -> None:
        timing, replica = self.timing, self.replica
        turn = self.rank(replica.incarnation, self.address)[0] + self.random.random() / 5
        if self.leaving:
            turn += len(replica.epoch_config.members)  # only if nobody else can
        if not replica.epoch_config.number:
            self.election_at = now + 0.4 * turn
            return
        self.election_at = self.last_heard_at + timing.primary_timeout_s + turn * timing.election_stagger_s

    def rank(self, who: int, address: str = "") -> tuple[int, int]:
        """Whose turn it is to stand: backups first, in their order, then witnesses."""
        config = self.replica.epoch_config
        if not config.number:
            founders = sorted(self.replica.founders or ())
            return founders.index(address) if address in founders else len(founders), who
        backups = [each for each in config.holders if each != config.primary]
        witnesses = [peer.incarnation for peer in config.members if peer.incarnation not in config.holders]
        order = [*backups, *witnesses]
        return order.index(who) if who in order else len(order), who

    def start_pre_vote(self, now: float) -> None:
        self.election_at = (
            now
            + 2 * self.timing.resend_interval_s
            + (0.2 + self.random.random()) * self.timing.primary_timeout_s
        )
        self.candidate.pre_vote(now)

    def start_election(self, now: float) -> None:
        if not self.primary_role.active:
            self.primary = None
            self.candidate.start(now)

    def reconfigure(self, now: float, change, avoid: frozenset[int]) -> None:
        """The primary makes a new epoch with other holders or members."""
        self.reconfigure_at = now + self.timing.election_timeout_s
        self.primary_role.pause()
        self.candidate.start(now, change, avoid)

    def became_primary(self, now: float) -> None:
        self.primary, self.primary_heard_at, self.last_heard_at = self.address, now, now
        self.reconfigure_at = now + self.timing.resend_interval_s
        self.pending_requests.resolve(now)

    def step_down(self, now: float) -> None:
        """No primary and no candidate any more, until the next silence."""
        self.candidate.stop()
        if self.primary == self.address:
            self.primary = None
        self.primary_role.abandon(now)
        self.last_heard_at = now
        self.election_at = now + self.timing.primary_timeout_s * (0.5 + self.random.random())

    def hand_over(self, now: float, heir: str) -> None:
        self.send(heir, m.HandOver(self.replica.epoch_config.number))
        self.step_down(now)
        self.election_at = now + 2 * self.timing.primary_timeout_s

    def on_refusal(self, now: float, sender: str, refusal: m.Refusal) -> None:
        self.highest_epoch_seen = max(self.highest_epoch_seen, refusal.promised_epoch)
        if refusal.epoch_config.active:
            self.replica.adopt_epoch_config(now, refusal.epoch_config)
        if (
            self.primary_role.active
            and refusal.number == self.primary_role.epoch
            and refusal.promised_epoch > refusal.number
        ):
            # a member has given its word to a higher number; with the others at hand go on under a higher one
            if self.primary_role.has_majority(now):
                self.reconfigure(now, None, frozenset())
            else:
                self.step_down(now)
        else:
            self.candidate.on_refusal(now, refusal)

    HANDLERS = {
        m.JoinRequest: lambda self, now, sender, x: self.reconfiguration.on_join_request(now, sender, x),
        m.PrimaryHint: lambda self, now, sender, x: self.reconfiguration.on_primary_hint(now, sender, x),
        m.PreVote: lambda self, now, sender, x: self.acceptor.on_pre_vote(now, sender, x),
        m.PreVoteReply: lambda self, now, sender, x: self.candidate.on_pre_vote_reply(now, sender, x),
        m.Prepare: lambda self, now, sender, x: self.acceptor.on_prepare(now, sender, x),
        m.Promise: lambda self, now, sender, x: self.candidate.on_promise(now, x),
        m.Refusal: lambda self, now, sender, x: self.on_refusal(now, sender, x),
        m.Fetch: lambda self, now, sender, x: self.acceptor.on_fetch(now, sender, x),
        m.Transfer: lambda self, now, sender, x: self.candidate.on_transfer(now, x),
        m.Install: lambda self, now, sender, x: self.acceptor.on_install(now, sender, x),
        m.Installed: lambda self, now, sender, x: self.candidate.on_installed(now, x),
        m.Replicate: lambda self, now, sender, x: self.acceptor.on_replicate(now, sender, x),
        m.CatchUp: lambda self, now, sender, x: self.acceptor.on_catch_up(now, sender, x),
        m.Heartbeat: lambda self, now, sender, x: self.acceptor.on_heartbeat(now, sender, x),
        m.Ack: lambda self, now, sender, x: self.primary_role.on_ack(now, sender, x),
        m.ChunkAck: lambda self, now, sender, x: self.chunking.on_chunk_ack(now, sender, x),
        m.LeaveGranted: lambda self, now, sender, x: self.graceful_leave.on_leave_granted(now, x),
        m.HandOver: lambda self, now, sender, x: self.acceptor.on_hand_over(now, sender, x),
    }
