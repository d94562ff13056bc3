"""One member of the replicated control state: assembles its roles, timers and connections. Sans I/O."""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from enum import StrEnum
from random import Random
from typing import Any

from shedgrade.replication import messages as m
from shedgrade.replication.acceptor import Acceptor
from shedgrade.replication.candidate import Candidate, Phase
from shedgrade.replication.disk_writer import DiskWriter
from shedgrade.replication.dispatcher import dispatch
from shedgrade.replication.effects import Answer, Decision, Instruction, State, Unavailable
from shedgrade.replication.election_timer import ElectionTimer
from shedgrade.replication.graceful_leave import GracefulLeave
from shedgrade.replication.peer_directory import PeerDirectory
from shedgrade.replication.pending_requests import PendingRequests
from shedgrade.replication.primary import Primary
from shedgrade.replication.primary_monitor import PrimaryMonitor
from shedgrade.replication.quorums import MembershipChangeProtocol, electorate, is_same_member
from shedgrade.replication.reconfiguration import Reconfiguration
from shedgrade.replication.replica_state import CommittedState, ReplicaState
from shedgrade.replication.timing import Timing
from shedgrade.replication.transport import Transport

NEVER = float("-inf")
MIN_TICK_INTERVAL_S = 0.05
NON_VOTER_TICK_S = 1.0  # between ticks of a process without a vote
NO_INCARNATIONS: frozenset[int] = frozenset()


class Role(StrEnum):
    """Role of a process in its core, as the status page shows it."""

    FOUNDING = "founding"  # a founder of the core, before the first epoch
    BLANK = "blank"  # not a member of any known epoch
    WITNESS = "witness"  # votes, but stores no state on its disk
    BACKUP = "backup"  # votes and stores the state
    PRIMARY = "primary"
    CANDIDATE = "candidate"  # has raised the epoch number


class Member:
    """A core process's participation in the replicated control state.

    `address` and `seeds` are link addresses; `stored_values` holds the durable values of an earlier
    incarnation (None or empty: empty disk); `decide(state, request)` is pure and is called at the primary
    only. The caller drains `effects` after each call. Times are seconds of one steady clock. Source: Harp
    (Liskov et al., 1991) with the quorums of Vertical Paxos (Lamport, Malkhi, Zhou, 2009).

    Parts:

    - `replica`: promise, epoch, log and committed state; `disk_writer`: writes of these to the disk.
    - `primary_role`, `candidate`, `acceptor`: the roles. At most one of the first two is active; the acceptor
      answers others at all times.
    - `reconfiguration`: join requests and membership changes; `graceful_leave`: planned exits.
    - `primary_monitor`, `election_timer`: contact with the primary, and when to start an election.
    - `peers`, `transport`: addresses of others, outgoing messages; `dispatch` passes incoming messages on.
    - `pending_requests`: requests received while no primary was known.

    Attributes of the member itself:

    - `incarnation_durable`: whether the incarnation is on the disk. Until then nothing is sent or handled.
    - `incarnation_durable_at`: when it was written; until then, the start of the process.
    - `durable_promise`: number of the newest promise on the disk, at most `replica.promised_epoch`. A promise
      is sent only once its number is here.
    - `highest_epoch_seen`: the highest epoch number that this process used, promised or learnt of. A new
      candidate's number is above it.
    - `confirmed_at`: as of that time a majority held nothing newer than what is committed here.
    - `receive_delay_s`: how long a message may have waited unread at this process, in seconds. Set by the
      caller before `receive`.
    - `reconfigure_at`: as primary, no further epoch is formed before that time.
    - `stopped`: `Exit` was emitted; every later call does nothing.
    - `now`, `ticked_at`: times of the last call, and of the last `tick`.
    """

    primary_role: Primary
    candidate: Candidate
    acceptor: Acceptor
    transport: Transport
    reconfiguration: Reconfiguration
    graceful_leave: GracefulLeave

    MAX_WRITES_IN_FLIGHT = 16
    MAX_WAITING_REQUESTS = 256

    def __init__(
        self,
        name: str,
        address: str,
        *,
        founding: bool,
        seeds: tuple[str, ...],
        tolerated: int,
        stored_values: Mapping[str, bytes] | None,
        random: Random,
        now: float,
        decide: Callable[[State, Any], Decision],
        timing: Timing = Timing(),  # noqa: B008 (frozen)
    ) -> None:
        """`tolerated`: t, the number of simultaneous losses that the state survives.

        `founding`: whether this process founds the core with the other `seeds`.
        """
        self.name = name
        self.address = address
        self.seeds = tuple(seeds)
        self.tolerated = tolerated
        self.random = random
        self.decide = decide
        self.timing = timing
        self.effects: list[Instruction] = []
        self.disk_writer = DiskWriter(self.effects, timing.disk_timeout_s, timing.disk_retry_interval_s)
        founding = founding and address in self.seeds
        self.replica = ReplicaState(
            stored_values, self.disk_writer, self.effects, self.seeds, founding, random
        )
        self.peers = PeerDirectory(self.replica.incarnation, address, name, self.replica.founding)
        self.transport = Transport(address, self.effects, self.peers, timing, random)
        self.primary_monitor = PrimaryMonitor(address, timing)
        self.election_timer = ElectionTimer(now, self.replica, address, timing, random)
        self.primary_role, self.candidate, self.acceptor = self.make_roles()
        self.reconfiguration = Reconfiguration(self)
        self.pending_requests = PendingRequests(self)
        self.graceful_leave = GracefulLeave(self)
        self.highest_epoch_seen = max(self.replica.promised_epoch.number, self.replica.epoch_config.number)
        self.durable_promise = self.replica.promised_epoch.number
        self.confirmed_at = NEVER
        self.receive_delay_s = 0.0
        self.incarnation_durable = False
        self.incarnation_durable_at = now
        self.stopped = False
        self.reconfigure_at = now
        self.now = now
        self.ticked_at = now
        self.begin_call(now)
        if self.replica.is_new:
            self.replica.persist_incarnation(now, self.on_incarnation_durable)
        else:
            self.on_incarnation_durable(now)

    def make_roles(self) -> tuple[Primary, Candidate, Acceptor]:
        """Creates the roles; tests override this to replace them."""
        return Primary(self), Candidate(self), Acceptor(self)

    def begin_call(self, now: float) -> None:
        """Sets the time of the current call."""
        self.now = now
        self.transport.now = now

    def on_incarnation_durable(self, now: float) -> None:
        """Starts to send messages, since the incarnation is synced."""
        self.incarnation_durable = True
        self.incarnation_durable_at = now
        self.election_timer.note_heard(now)
        self.reconfiguration.send_join_requests(now)
        self.election_timer.schedule(now, self.is_leaving)
        config = self.replica.epoch_config
        if config.primary == self.replica.incarnation and config.number:
            # no other process is primary of the epoch that it led
            self.election_timer.election_at = now + self.timing.heartbeat_interval_s / 2

    # --- calls by the caller

    def receive(self, now: float, sender: str, message: m.Message) -> None:
        """Handles a message from the link address `sender`."""
        self.begin_call(now)
        if not self.incarnation_durable or self.stopped:
            return
        self.peers.last_message_at[sender] = now
        if dispatch(self, now, sender, message):
            self.pending_requests.resolve(now)

    def persisted(self, now: float, token: int, ok: bool) -> None:
        """Handles the outcome of the outstanding `Persist`."""
        self.begin_call(now)
        if not self.stopped:
            self.disk_writer.persisted(now, token, ok)

    def submit(self, now: float, ticket: int, request: object) -> None:
        """Handles a request that may change the state.

        Answered by Answer(ticket, ...): what `decide` gave, Unavailable, OutcomeUnknown or RedirectToPrimary.
        """
        self.begin_call(now)
        waiting = len(self.primary_role.commands.queue) + len(self.pending_requests.entries)
        if self.stopped or waiting >= self.MAX_WAITING_REQUESTS:
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.is_primary_or_candidate() and not self.graceful_leave.draining:
            self.primary_role.commands.submit(now, ticket, request)
        else:
            self.pending_requests.add(now, ticket, request)
            self.pending_requests.resolve(now)

    def read(self, now: float, ticket: int) -> None:
        """Starts a linearizable read, answered by Answer(ticket, ...).

        The outcome is ReadResult, Unavailable or RedirectToPrimary.
        """
        self.begin_call(now)
        if self.stopped:
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.primary_role.active:
            self.primary_role.commands.read(now, ticket)
        else:
            self.pending_requests.add(now, ticket, None, is_read=True)
            self.pending_requests.resolve(now)

    def leave(self, now: float, timeout_s: float | None = None) -> None:
        """Serves until the others hold what this member holds, `timeout_s` at most, then emits `Exit`."""
        self.begin_call(now)
        self.graceful_leave.request(now, self.timing.leave_timeout_s if timeout_s is None else timeout_s)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Handles all time-outs that have passed. Called when `wake_at` is due, and at any other time."""
        self.begin_call(now)
        self.ticked_at = now
        if self.stopped:
            return
        self.disk_writer.begin_next(now)
        if not self.incarnation_durable:
            return
        self.transport.chunking.tick(now)
        self.primary_role.tick(now)
        self.candidate.tick(now)
        if not self.primary_role.active and not self.candidate.phase:
            self.tick_as_follower(now)
        self.primary_role.commands.expire(now)
        self.pending_requests.resolve(now)
        self.graceful_leave.tick(now)

    def tick_as_follower(self, now: float) -> None:
        """As neither primary nor candidate: starts a pre-vote or sends join requests if either is due."""
        if now >= self.election_timer.election_at and self.may_campaign(now):
            self.start_pre_vote(now)
        if not self.hears_primary(now) and now >= self.reconfiguration.join_request_at:
            self.reconfiguration.send_join_requests(now)

    def wake_at(self) -> float:
        """Returns when `tick` is due next."""
        wake = self.disk_writer.wake_at(self.now)
        if not self.incarnation_durable:
            return wake
        wake = min(
            wake,
            self.primary_role.wake_at(self.now),
            self.candidate.wake_at(),
            self.transport.chunking.wake_at(),
        )
        # relative to the last tick, since each message moves `now`
        earliest = self.ticked_at + MIN_TICK_INTERVAL_S
        if not self.primary_role.active and not self.candidate.phase:
            wake = min(wake, self.follower_wake_at(earliest))
        if self.pending_requests.entries:
            wake = min(wake, self.pending_requests.entries[0].until)
        wake = min(wake, self.primary_role.commands.queue_wake_at())
        if self.is_leaving:
            wake = min(wake, earliest)
        return wake

    def follower_wake_at(self, earliest: float) -> float:
        """Returns when `tick_as_follower` is due, not before `earliest`."""
        election_at = self.now + NON_VOTER_TICK_S
        if self.is_voter():
            election_at = max(self.election_timer.election_at, earliest)
        timeout_at = self.primary_monitor.primary_heard_at + self.timing.primary_timeout_s
        return min(election_at, max(self.reconfiguration.join_request_at, timeout_at, earliest))

    # --- status

    @property
    def role(self) -> Role:
        """Current role of this process."""
        replica = self.replica
        if self.primary_role.active:
            return Role.PRIMARY
        if self.candidate.phase not in (Phase.IDLE, Phase.PRE_VOTE):
            return Role.CANDIDATE
        if replica.epoch_config.number == 0:
            return Role.FOUNDING if replica.founding else Role.BLANK
        if not replica.is_member():
            return Role.BLANK
        return Role.BACKUP if replica.is_holder() else Role.WITNESS

    @property
    def is_leaving(self) -> bool:
        """Whether `leave` was called."""
        return self.graceful_leave.requested

    @property
    def epoch(self) -> int:
        """Number of the newest epoch known here; 0 before the first one."""
        return self.replica.epoch_config.number

    @property
    def members(self) -> tuple[m.Peer, ...]:
        """Members of the newest epoch known here."""
        return self.replica.epoch_config.members

    @property
    def committed(self) -> CommittedState:
        """The newest committed state known here."""
        return self.replica.committed

    @property
    def primary(self) -> str | None:
        """Link address of the primary, None if it is unknown."""
        return self.primary_monitor.primary

    @property
    def primary_heard_at(self) -> float:
        """When the primary of the newest epoch was last heard."""
        return self.primary_monitor.primary_heard_at

    def hears_primary(self, now: float) -> bool:
        """Whether the primary was heard within `primary_timeout_s`."""
        return self.primary_monitor.is_heard(now)

    def has_primary_hint(self, now: float) -> bool:
        """Whether another member recently reported hearing the primary."""
        return self.primary_monitor.has_hint(now)

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another. For tests, after any call."""
        self.replica.check_invariants()
        self.disk_writer.check_invariants()
        self.primary_monitor.check_invariants()
        self.candidate.check_invariants()
        self.primary_role.check_invariants()
        active = self.primary_role.active
        assert not (active and self.candidate.phase), "primary and candidate at once"
        assert self.incarnation_durable or not (active or self.candidate.phase), (
            "active before its incarnation is durable"
        )
        assert self.durable_promise <= self.replica.promised_epoch.number, (
            "a durable promise above the promised epoch"
        )
        assert not (self.stopped and active), "primary after its exit"
        assert not active or self.primary == self.address, "a primary that follows another"

    # --- shared by the parts

    def send(self, address: str, message: m.Message) -> None:
        """Sends a message to one link address."""
        self.transport.send(address, message)

    def broadcast(self, message: m.Message, skipped: Container[int]) -> None:
        """Sends to the members, and to those before while the epoch is not known to be active.

        `skipped`: incarnations that receive nothing.
        """
        self.transport.broadcast(self.replica.epoch_config, message, skipped)

    def own_promise(self, number: int) -> m.Promise:
        """Returns this process's promise for the epoch `number`, which must be durable."""
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
            self.is_leaving,
        )

    def is_voter(self) -> bool:
        """Whether this process is in the electorate of the newest epoch known, or founds the first one."""
        replica = self.replica
        if replica.founding and not replica.epoch_config.number:
            return True
        return any(
            is_same_member(peer, replica.incarnation, self.address, replica.founding)
            for peer in electorate(replica.epoch_config)
        )

    def may_campaign(self, now: float) -> bool:
        """Whether this process may start an election."""
        if not self.is_voter() or not self.disk_writer.is_healthy(now):
            return False
        return self.replica.epoch_config.number > 0 or self.reconfiguration.may_found_core(now)

    def is_primary_or_candidate(self) -> bool:
        """Whether this process is the primary, or a candidate past the pre-vote."""
        return self.primary_role.active or self.candidate.phase not in (Phase.IDLE, Phase.PRE_VOTE)

    def confirm_up_to_date(self, at: float) -> None:
        """Records that at time `at` nothing was committed anywhere that is not committed here."""
        self.confirmed_at = max(self.confirmed_at, at)

    def learn_epoch(self, now: float, config: m.EpochConfig) -> None:
        """Adopts an active epoch that another process knows.

        A primary or candidate of an older epoch steps down: its members and promises are outdated.
        """
        if self.is_primary_or_candidate():
            own = self.primary_role.epoch if self.primary_role.active else self.candidate.number
            if config.number > own:
                self.step_down(now)
        self.replica.adopt_epoch_config(now, config)

    # --- contact with the primary

    def note_primary_hint(self, now: float, address: str) -> None:
        """Records where another member hears the primary; a join request goes to a new address at once."""
        if self.primary_monitor.note_hint(now, address):
            self.reconfiguration.join_request_at = min(self.reconfiguration.join_request_at, now)

    def on_primary_lost_disk(self, now: float) -> None:
        """Forgets the primary, which has lost its disk: a new incarnation asked to join from its address."""
        if not self.primary_role.active and self.primary is not None:
            self.primary_monitor.forget_primary()
            self.primary_monitor.hint = None
            self.election_timer.last_heard_at = now - self.timing.primary_timeout_s
            self.election_timer.schedule(now, self.is_leaving)

    def on_primary_heard(self, now: float, sender: str) -> None:
        """Follows the primary of the newest epoch, which has sent a message."""
        if self.primary_role.active or self.candidate.phase:
            self.step_down(now)
        self.primary_monitor.note_heard(now, sender)
        self.acceptor.first_granted_at.clear()
        self.election_timer.note_heard(now)
        self.election_timer.schedule(now, self.is_leaving)

    # --- elections

    def start_pre_vote(self, now: float) -> None:
        """Asks the others whether they have lost the primary too."""
        self.election_timer.schedule_pre_vote_retry(now)
        self.candidate.pre_vote(now)

    def start_election(self, now: float) -> None:
        """Becomes a candidate without a pre-vote."""
        if not self.primary_role.active:
            self.primary_monitor.forget_primary()
            self.candidate.start(now)

    def reconfigure(
        self,
        now: float,
        change: MembershipChangeProtocol | None = None,
        avoid: frozenset[int] = NO_INCARNATIONS,
    ) -> None:
        """As primary, forms a new epoch with other holders or members.

        `avoid`: incarnations that should not become holders.
        """
        self.reconfigure_at = now + self.timing.election_timeout_s
        self.primary_role.pause()
        self.candidate.start(now, change, avoid)

    def became_primary(self, now: float) -> None:
        """Called when all holders have installed the epoch of this candidate."""
        self.primary_monitor.note_elected(now)
        self.election_timer.note_heard(now)
        self.reconfigure_at = now + self.timing.resend_interval_s
        self.pending_requests.resolve(now)

    def step_down(self, now: float) -> None:
        """Ceases to be primary or candidate, until the next time-out."""
        self.candidate.stop()
        if self.primary == self.address:
            self.primary_monitor.forget_primary()
        self.primary_role.resign(now)
        self.election_timer.schedule_after_step_down(now)

    def hand_over(self, now: float, successor: str) -> None:
        """Asks the member at the link address `successor` to take over, and leaves it time to do so."""
        self.send(successor, m.HandOver(self.replica.epoch_config.number))
        self.step_down(now)
        self.election_timer.election_at = now + 2 * self.timing.primary_timeout_s

    def on_refusal(self, now: float, sender: str, refusal: m.Refusal) -> None:
        """Another member has promised a higher epoch than the one in which this process is active."""
        self.highest_epoch_seen = max(self.highest_epoch_seen, refusal.promised_epoch)
        if refusal.epoch_config.active:
            self.learn_epoch(now, refusal.epoch_config)
        is_own_epoch = self.primary_role.active and refusal.number == self.primary_role.epoch
        if not is_own_epoch or refusal.promised_epoch <= refusal.number:
            self.candidate.on_refusal(now, refusal)
        elif self.primary_role.supervision.has_majority(now):
            # a member has promised a higher number: with the remaining majority, continue under a higher one
            self.reconfigure(now)
        else:
            self.step_down(now)
