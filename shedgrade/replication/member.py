"""One member of the control state: the parts put together. Sans I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from shedgrade.replication import messages as m
from shedgrade.replication.acceptor import Voting
from shedgrade.replication.candidate import Candidate
from shedgrade.replication.chunking import Pieces
from shedgrade.replication.departure import Departure
from shedgrade.replication.disk_writer import Saving
from shedgrade.replication.effects import Answer, Decision, Send, State, Unavailable
from shedgrade.replication.pending_requests import Waiting
from shedgrade.replication.primary import Primary
from shedgrade.replication.quorums import electorate, matches
from shedgrade.replication.reconfiguration import Reconfiguration
from shedgrade.replication.replica_state import Held
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
        self.saving = Saving(self.effects, timing.disk_patience, timing.disk_retry)
        founding = founding and address in self.seeds
        self.held = Held(found, self.saving, self.effects, self.seeds, founding, random)
        self.lead, self.candidate, self.voting = self.make_parts()
        self.reconfiguration, self.waiting, self.pieces = Reconfiguration(self), Waiting(self), Pieces(self)
        self.highest = max(self.held.promise[0], self.held.record.number)
        self.promised = self.held.promise[0]
        self.addresses: dict[int, str] = {self.held.incarnation: address}
        self.names: dict[int, str] = {self.held.incarnation: name}
        self.heard_from: dict[str, float] = {}  # link address -> when it last said anything
        self.founders: dict[str, int] = {address: self.held.incarnation} if self.held.founding else {}
        self.primary: str | None = None
        self.primary_hint: str | None = None
        self.heard_at, self.stand_at = now, now
        self.known_at = self.hinted_at = NEVER
        self.confirmed_at = NEVER  # as of when a majority held nothing newer than what is finished here
        self.unread_s = 0.0  # so long what is received now may have waited at this process, unread
        self.candidate_until = NEVER
        self.born_at = now
        self.born = False
        self.departure = Departure(self)
        self.gone = False
        self.reform_at = now
        self.now = self.ticked_at = now
        if self.held.new:
            self.held.born(now, self.on_born)
        else:
            self.on_born(now)

    def make_parts(self) -> tuple[Primary, Candidate, Voting]:
        return Primary(self), Candidate(self), Voting(self)

    def on_born(self, now: float) -> None:
        """The incarnation is synced: this process may speak."""
        self.born, self.born_at, self.heard_at = True, now, now
        self.reconfiguration.hello(now)
        self.plan_stand(now)
        if self.held.record.primary == self.held.incarnation and self.held.record.number:
            self.stand_at = now + self.timing.heartbeat / 2  # nobody else acts in the epoch that it led

    # --- what the caller does

    def receive(self, now: float, sender: str, message) -> None:
        """A message from the link address `sender`."""
        self.now = now
        if self.born and not self.gone:
            self.heard_from[sender] = now
            if type(message) is m.Piece:
                message = self.pieces.piece(now, sender, message)
                if message is None:
                    return
            self.HANDLERS[type(message)](self, now, sender, message)
            self.waiting.settle(now)

    def persisted(self, now: float, token: int, ok: bool) -> None:
        """The disk's word on the open Persist."""
        self.now = now
        if not self.gone:
            self.saving.persisted(now, token, ok)

    def order(self, now: float, ticket: int, request: object) -> None:
        """Answered by Answer(ticket, ...): decide's outcome, Unavailable, Unclear or Elsewhere."""
        self.now = now
        if self.gone or len(self.lead.queue) + len(self.waiting.entries) >= self.QUEUE:
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.acts() and not self.departure.draining:
            self.lead.order(now, ticket, request)
        else:
            self.waiting.add(now, ticket, request)
            self.waiting.settle(now)

    def read(self, now: float, ticket: int) -> None:
        """Answered by Answer(ticket, Reading), Unavailable or Elsewhere."""
        self.now = now
        if self.gone:
            self.effects.append(Answer(ticket, Unavailable()))
        elif self.lead.active:
            self.lead.read(now, ticket)
        else:
            self.waiting.add(now, ticket, None, read=True)
            self.waiting.settle(now)

    def leave(self, now: float, patience: float | None = None) -> None:
        """Serve on until the others hold what this member holds, `patience` s at most; then Left."""
        self.now = now
        self.departure.request(now, self.timing.leave if patience is None else patience)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Called when wake_at() is due, and at any other time."""
        self.now = self.ticked_at = now
        if self.gone:
            return
        self.saving.pump(now)
        if not self.born:
            return
        self.pieces.tick(now)
        self.lead.tick(now)
        self.candidate.tick(now)
        if not self.lead.active and not self.candidate.phase:
            if now >= self.stand_at and self.may_stand(now):
                self.pre_stand(now)
            if not self.hears_primary(now) and now >= self.reconfiguration.hello_at:
                self.reconfiguration.hello(now)
        self.lead.expire(now)
        self.waiting.settle(now)
        self.departure.tick(now)

    def wake_at(self) -> float:
        """When tick is due next."""
        now, wake = self.now, self.saving.wake_at(self.now)
        soon = self.ticked_at + LEAST_BETWEEN_TICKS  # not after `now`, which each message moves
        if self.born:
            wake = min(wake, self.lead.wake_at(now), self.candidate.wake_at(), self.pieces.wake_at())
            if not self.lead.active and not self.candidate.phase:
                wake = min(wake, max(self.stand_at, soon) if self.is_voter() else now + 1.0)
                silent = self.known_at + self.timing.suspect
                wake = min(wake, max(self.reconfiguration.hello_at, silent, soon))
            if self.waiting.entries:
                wake = min(wake, self.waiting.entries[0][0])
            if self.lead.queue:
                wake = min(wake, self.lead.queue[0][0] + 2 * self.timing.hold)
            if self.leaving:
                wake = min(wake, soon)
        return wake

    # --- to be looked at

    @property
    def role(self) -> str:
        """founding, blank, witness, backup, primary or candidate."""
        held = self.held
        if self.lead.active:
            return "primary"
        if self.candidate.phase and self.candidate.phase != "prevote":
            return "candidate"
        if held.record.number == 0:
            return "founding" if held.founding else "blank"
        if not held.is_member():
            return "blank"
        return "backup" if held.incarnation in held.record.holders else "witness"

    @property
    def leaving(self) -> bool:
        return self.departure.requested

    @property
    def epoch(self) -> int:
        return self.held.record.number

    @property
    def members(self) -> tuple:
        return self.held.record.members

    @property
    def finished(self) -> tuple[int, int, State]:
        return self.held.finished

    # --- what the parts share

    def send(self, address: str, message) -> None:
        if self.pieces.wants(address, message):
            self.pieces.send(self.now, address, message)
        else:
            self.emit(address, message)

    def emit(self, address: str, message) -> None:
        self.effects.append(Send(address, message))

    def seen(self, incarnation: int, address: str, name: str = "") -> None:
        self.addresses[incarnation] = address
        if name:
            self.names[incarnation] = name

    def address_of(self, incarnation: int, otherwise: str) -> str:
        return self.addresses.get(incarnation, otherwise)

    def broadcast(self, message, but) -> None:
        """To the members, and to those before while the epoch isn't known to be active."""
        record, done = self.held.record, {self.address}
        for peer in (*record.members, *(() if record.active else record.before)):
            address = self.address_of(peer.incarnation, peer.address)
            if peer.incarnation not in but and address not in done:
                done.add(address)
                self.send(address, message)

    def own_promise(self, number: int) -> m.Promise:
        held = self.held
        return m.Promise(
            held.incarnation,
            self.address,
            held.founding,
            number,
            held.record,
            held.accepted,
            held.mark,
            held.finished[:2],
            self.leaving,
        )

    def is_voter(self) -> bool:
        """Named by the newest epoch known, or by the one before while that is not known to be active."""
        held = self.held
        if held.founding and not held.record.number:
            return True
        return any(
            matches(peer, held.incarnation, self.address, held.founding) for peer in electorate(held.record)
        )

    def may_stand(self, now: float) -> bool:
        held = self.held
        if not self.is_voter() or not self.saving.healthy(now):
            return False
        return held.record.number > 0 or self.reconfiguration.founded_enough(now)

    def acts(self) -> bool:
        """As primary, or as candidate after the pre-vote."""
        return self.lead.active or self.candidate.phase not in ("", "prevote")

    def is_hinted(self, now: float) -> bool:
        """Another member hears the primary, though this one doesn't."""
        return self.primary_hint not in (None, self.address) and now - self.hinted_at < 2 * self.timing.hello

    def hears_primary(self, now: float) -> bool:
        return self.primary is not None and now - self.known_at < self.timing.suspect

    def confirmed(self, at: float) -> None:
        """At that time nothing was finished anywhere that is not finished here."""
        self.confirmed_at = max(self.confirmed_at, at)

    def told_primary(self, now: float, address: str) -> None:
        """Somebody else hears the primary there. It is said hello, and doesn't count as heard."""
        self.hinted_at = now
        if address != self.primary_hint:
            self.primary_hint = address
            self.reconfiguration.hello_at = min(self.reconfiguration.hello_at, now)

    def primary_lost(self, now: float) -> None:
        """Another life of its machine has asked to join: the primary that was heard is no more."""
        if not self.lead.active and self.primary is not None:
            self.primary = self.primary_hint = None
            self.heard_at = now - self.timing.suspect
            self.plan_stand(now)

    def follows(self, now: float, sender: str, epoch: int) -> None:
        """A word of the primary of the newest epoch."""
        if self.lead.active or self.candidate.phase:
            self.step_down(now)
        self.primary, self.primary_hint = sender, sender
        self.voting.first_granted.clear()
        self.heard_at = self.known_at = now
        self.plan_stand(now)

    def plan_stand(self, now: float) -> None:
        timing, held = self.timing, self.held
        turn = self.rank(held.incarnation, self.address)[0] + self.random.random() / 5
        if self.leaving:
            turn += len(held.record.members)  # only if nobody else can
        if not held.record.number:
            self.stand_at = now + 0.4 * turn
            return
        self.stand_at = self.heard_at + timing.suspect + turn * timing.stagger

    def rank(self, who: int, address: str = "") -> tuple[int, int]:
        """Whose turn it is to stand: backups first, in their order, then witnesses."""
        record = self.held.record
        if not record.number:
            founders = sorted(self.held.founders or ())
            return founders.index(address) if address in founders else len(founders), who
        backups = [each for each in record.holders if each != record.primary]
        witnesses = [peer.incarnation for peer in record.members if peer.incarnation not in record.holders]
        order = [*backups, *witnesses]
        return order.index(who) if who in order else len(order), who

    def pre_stand(self, now: float) -> None:
        self.stand_at = now + 2 * self.timing.resend + (0.2 + self.random.random()) * self.timing.suspect
        self.candidate.pre_vote(now)

    def stand(self, now: float) -> None:
        if not self.lead.active:
            self.primary = None
            self.candidate.start(now)

    def reform(self, now: float, change, avoid: frozenset[int]) -> None:
        """The primary makes a new epoch with other holders or members."""
        self.reform_at = now + self.timing.election
        self.lead.pause()
        self.candidate.start(now, change, avoid)

    def became_primary(self, now: float) -> None:
        self.primary, self.known_at, self.heard_at = self.address, now, now
        self.reform_at = now + self.timing.resend
        self.waiting.settle(now)

    def step_down(self, now: float) -> None:
        """No primary and no candidate any more, until the next silence."""
        self.candidate.stop()
        if self.primary == self.address:
            self.primary = None
        self.lead.abandon(now)
        self.heard_at = now
        self.stand_at = now + self.timing.suspect * (0.5 + self.random.random())

    def hand_over(self, now: float, heir: str) -> None:
        self.send(heir, m.HandOver(self.held.record.number))
        self.step_down(now)
        self.stand_at = now + 2 * self.timing.suspect

    def refused(self, now: float, sender: str, refusal: m.Refusal) -> None:
        self.highest = max(self.highest, refusal.promised)
        if refusal.record.active:
            self.held.learn(now, refusal.record)
        if self.lead.active and refusal.number == self.lead.epoch and refusal.promised > refusal.number:
            # a member has given its word to a higher number; with the others at hand go on under a higher one
            if self.lead.has_majority(now):
                self.reform(now, None, frozenset())
            else:
                self.step_down(now)
        else:
            self.candidate.refused(now, refusal)

    HANDLERS = {
        m.Hello: lambda self, now, sender, x: self.reconfiguration.on_hello(now, sender, x),
        m.Whereabouts: lambda self, now, sender, x: self.reconfiguration.on_whereabouts(now, sender, x),
        m.PreVote: lambda self, now, sender, x: self.voting.pre_vote(now, sender, x),
        m.PreVoteReply: lambda self, now, sender, x: self.candidate.pre_vote_reply(now, sender, x),
        m.Prepare: lambda self, now, sender, x: self.voting.prepare(now, sender, x),
        m.Promise: lambda self, now, sender, x: self.candidate.promise(now, x),
        m.Refusal: lambda self, now, sender, x: self.refused(now, sender, x),
        m.Fetch: lambda self, now, sender, x: self.voting.fetch(now, sender, x),
        m.Transfer: lambda self, now, sender, x: self.candidate.transfer(now, x),
        m.Install: lambda self, now, sender, x: self.voting.install(now, sender, x),
        m.Installed: lambda self, now, sender, x: self.candidate.on_installed(now, x),
        m.Replicate: lambda self, now, sender, x: self.voting.replicate(now, sender, x),
        m.Learn: lambda self, now, sender, x: self.voting.learn(now, sender, x),
        m.Heartbeat: lambda self, now, sender, x: self.voting.heartbeat(now, sender, x),
        m.Ack: lambda self, now, sender, x: self.lead.ack(now, sender, x),
        m.PieceAck: lambda self, now, sender, x: self.pieces.ack(now, sender, x),
        m.LeaveGranted: lambda self, now, sender, x: self.departure.on_granted(now, x),
        m.HandOver: lambda self, now, sender, x: self.voting.hand_over(now, sender, x),
    }
