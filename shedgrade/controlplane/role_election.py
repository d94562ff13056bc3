"""The election of the holder of one singleton role, as one core member takes part in it. No I/O.

A candidate asks all members for their vote in a term of its own; with the votes of a majority it sends
heartbeats. It holds the role from the first heartbeat that a majority acknowledged, under a lease of LEASE_S
from the *sending* of the newest such heartbeat (leases: Gray and Cheriton, 1989; terms and votes: Raft,
Ongaro and Ousterhout, 2014). A member that acknowledged a heartbeat gives no vote for VOTE_WITHHELD_S after
it, which is longer than the lease: two members hold a role at once only if a process stopped between asking
whether it holds the role and acting, and doing a role's work twice does no harm. Times are seconds of each
member's own steady clock; messages carry none.

Nothing is kept on disk. A member that starts may have forgotten its votes and acknowledgements, so for
STARTUP_VOTE_DELAY_S, longer than any lease, it gives none. Terms grow beyond all that a majority knows; the
`floor`, which grows faster than elections are held, and `observe_term` keep them growing over members that
start anew.
"""

from collections.abc import Callable
from math import inf
from random import Random
from zlib import crc32

from shedgrade.controlplane.role_messages import (
    Acknowledgement,
    Heartbeat,
    Instruction,
    Message,
    RoleAcquired,
    RoleHolder,
    RoleLost,
    RoleReleased,
    Send,
    VoteRequest,
    VoteResponse,
)

HEARTBEAT_INTERVAL_S = 0.25  # between a holder's heartbeats
LEASE_S = 0.7  # from the sending of a heartbeat that a majority acknowledged
VOTE_WITHHELD_S = 0.8  # no vote for another for so long after a holder was heard
HOLDER_TIMEOUT_S = 0.9  # no holder heard for so long: the role is vacant
STARTUP_VOTE_DELAY_S = 1.0  # no vote and no acknowledgement so soon after the start
CAMPAIGN_JITTER_S = 0.3  # the most that chance puts between two candidates of one vacancy
ELECTION_TIMEOUT_S = 0.4  # a candidacy without a majority is given up after it
MAX_BACKOFF_S = 1.6  # between candidacies that nobody answered
RELEASE_HOLDOFF_S = 3.0  # a holder that released its role lets others campaign first
TERM_BITS = 16  # the low bits of a term identify the candidate, so that no two candidates share a term


class Candidacy:
    """An election under way in which this member is the candidate.

    term: that votes are asked for in. until: when it is given up. votes: members that granted theirs, this
    one among them. answered: members that answered at all, this one among them.
    """

    __slots__ = ("answered", "term", "until", "votes")

    def __init__(self, term: int, until: float, own_address: str) -> None:
        self.term = term
        self.until = until
        self.votes = {own_address}
        self.answered = {own_address}


class Leadership:
    """A term for which this member has won the votes of a majority.

    term: won. lease_until: when it ends unless it is renewed. is_confirmed: whether a majority acknowledged a
    heartbeat of it, so that the role is held under it. next_heartbeat_at: when the next one is due.
    heartbeat_number: of the newest. sent_at: when each heartbeat was sent that may still be acknowledged in
    time, by number. acknowledged_at: by member, when the newest heartbeat that it acknowledged was sent.
    """

    __slots__ = (
        "acknowledged_at",
        "heartbeat_number",
        "is_confirmed",
        "lease_until",
        "next_heartbeat_at",
        "sent_at",
        "term",
    )

    def __init__(self, term: int, now: float, lease_until: float) -> None:
        self.term = term
        self.lease_until = lease_until
        self.is_confirmed = False
        self.next_heartbeat_at = now
        self.heartbeat_number = 0
        self.sent_at: dict[int, float] = {}
        self.acknowledged_at: dict[str, float] = {}


class RoleElection:
    """What one member knows of one role, and what it does to have a holder elected.

    The states, told by `candidacy` and `leadership`: *follower* (neither), *candidate* (the first alone),
    *leader* (the second alone) and *leader that renews its term* (both: it met a higher term, and asks for
    votes in one above that while its lease goes on).

    role: name of the role.
    own_address: this member's link address.
    members: returns the link addresses of the members that vote, this one among them if it is one.
    random: source of the jitter.
    instructions: what the caller is to carry out; shared with the elections of other roles.
    started_at: when this process began; for STARTUP_VOTE_DELAY_S after it no vote is given.
    term_floor: no vote is given for a term up to it, since a process before this one may have given one.
    highest_term: met in any message. Never falls; at least `term_floor`, and at least the term of a candidacy
        or leadership.
    voted_term, voted_for: the highest term that was voted for, or whose heartbeat was acknowledged, and whose
        it is. `voted_term` never falls. While a leader, they are its own.
    holder, holder_term: another member that was last heard as the holder, and its term; `holder` is empty if
        none was or it said that it stopped, and while a candidate or leader.
    holder_heard_at: when that was; HOLDER_TIMEOUT_S before the start if never.
    released_term: the highest term whose holder said that it stopped. Heartbeats up to it are refused.
    candidacy: while a candidate; None else.
    leadership: while a leader; None else.
    held_term: under which the role is held, by the last `RoleAcquired` without a `RoleLost`; 0 if it is not.
        While a leader renews its term it stays the former one until the new one is confirmed.
    backoff_s: added before the next candidacy; grows while nobody answers, 0 else.
    campaign_at: when to become a candidate. Moved on by each heartbeat of a holder.
    has_resigned: never campaigns again. Final; then neither a candidate nor a leader.
    """

    def __init__(
        self,
        role: str,
        own_address: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        floor: int,
        instructions: list[Instruction],
    ) -> None:
        self.role = role
        self.own_address = own_address
        self.members = members
        self.random = random
        self.instructions = instructions
        self.started_at = now
        self.term_floor = floor << TERM_BITS
        self.highest_term = self.term_floor
        self.voted_term = 0
        self.voted_for = ""
        self.holder = ""
        self.holder_term = 0
        self.holder_heard_at = now - HOLDER_TIMEOUT_S
        self.released_term = 0
        self.candidacy: Candidacy | None = None
        self.leadership: Leadership | None = None
        self.held_term = 0
        self.backoff_s = 0.0
        self.campaign_at = now + STARTUP_VOTE_DELAY_S + random.uniform(0, CAMPAIGN_JITTER_S)
        self.has_resigned = False

    def check_invariants(self) -> None:
        """AssertionError if the attributes contradict each other. For tests and the simulation."""
        candidacy = self.candidacy
        leadership = self.leadership
        assert self.highest_term >= self.term_floor
        assert not self.has_resigned or (candidacy is None and leadership is None)
        if candidacy is not None:
            assert candidacy.term <= self.highest_term
            assert self.own_address in candidacy.votes <= candidacy.answered
            assert not self.holder
        if leadership is None:
            assert not self.held_term
            return
        assert leadership.term <= self.highest_term
        assert (self.voted_term, self.voted_for) == (leadership.term, self.own_address)
        assert not self.holder
        assert candidacy is None or candidacy.term > leadership.term
        if leadership.is_confirmed:
            assert self.held_term == leadership.term
        else:
            assert self.held_term < leadership.term
        assert all(number <= leadership.heartbeat_number for number in leadership.sent_at)

    # --- queries

    def is_held(self, now: float | None = None) -> bool:
        """Whether this member holds the role; with `now`, also by its lease at that moment."""
        if not self.held_term or self.leadership is None:
            return False
        return now is None or now < self.leadership.lease_until

    def known_holder(self, now: float | None = None) -> RoleHolder | None:
        """The holder as last heard and not said to have stopped; with `now`, only if it was heard within
        HOLDER_TIMEOUT_S. None: not known.
        """
        if self.is_held(now):
            return RoleHolder(self.own_address, self.held_term)
        if not self.holder or (now is not None and now >= self.holder_heard_at + HOLDER_TIMEOUT_S):
            return None
        return RoleHolder(self.holder, self.holder_term)

    def majority(self) -> int:
        """How many members are one."""
        return len(self.members()) // 2 + 1

    def is_holder_alive(self, now: float) -> bool:
        """Whether another member is believed to hold the role."""
        return bool(self.holder) and now < self.holder_heard_at + VOTE_WITHHELD_S

    def wake_at(self) -> float:
        """When `tick` is due next, in seconds of the clock; infinity if never."""
        times: list[float] = []
        if self.leadership is not None:
            times = [self.leadership.next_heartbeat_at, self.leadership.lease_until]
        if self.candidacy is not None:
            times.append(self.candidacy.until)
        elif self.leadership is None and not self.has_resigned:
            times.append(self.campaign_at)
        return min(times, default=inf)

    # --- events

    def tick(self, now: float) -> None:
        """Time has passed: ends a lease, gives up a candidacy, sends a heartbeat or campaigns if due."""
        candidacy = self.candidacy
        if self.leadership is not None and now >= self.leadership.lease_until:
            self.end_leadership(now)
        if candidacy is not None and now >= candidacy.until:
            self.give_up_candidacy(now, candidacy)
        if self.leadership is not None and now >= self.leadership.next_heartbeat_at:
            self.send_heartbeats(now, self.leadership)
        is_follower = self.leadership is None and self.candidacy is None
        if is_follower and not self.has_resigned and now >= self.campaign_at:
            self.start_election(now)

    def receive(self, now: float, sender: str, message: Message) -> None:
        """A message of another member came; `sender`: its link address."""
        match message:
            case VoteRequest():
                self.handle_vote_request(now, sender, message.term)
            case VoteResponse():
                self.handle_vote_response(now, sender, message)
            case Heartbeat():
                self.handle_heartbeat(now, sender, message)
            case Acknowledgement():
                self.handle_acknowledgement(now, sender, message)
            case RoleReleased():
                self.handle_release(now, sender, message.term)

    def observe_term(self, now: float, term: int) -> None:
        """A term was met outside the election: own terms go above it, and a known holder is told of it."""
        self.rise_above(now, term)
        if self.leadership is None and self.is_holder_alive(now) and term > self.holder_term:
            notice = Acknowledgement(self.role, self.holder_term, 0, term)
            self.instructions.append(Send(self.holder, notice))

    def release(self, now: float, holdoff_s: float) -> None:
        """Gives the role up if it is held, says so, and campaigns no sooner than after `holdoff_s`."""
        self.give_up(now)
        self.campaign_at = max(self.campaign_at, now + holdoff_s)

    def resign(self, now: float) -> None:
        """Gives the role up if it is held, says so, and never campaigns again; votes are still given."""
        self.give_up(now)
        self.has_resigned = True

    # --- as a candidate

    def start_election(self, now: float) -> None:
        """Becomes a candidate in a term above all that are known."""
        members = self.members()
        if self.own_address not in members:
            self.campaign_at = now + HOLDER_TIMEOUT_S
            return
        self.highest_term = self.next_term()
        self.candidacy = Candidacy(self.highest_term, now + ELECTION_TIMEOUT_S, self.own_address)
        self.holder = ""
        self.broadcast(VoteRequest(self.role, self.highest_term))
        self.count_votes(now, self.candidacy)

    def next_term(self) -> int:
        """The lowest term of this member above all that are known."""
        candidate_bits = crc32(self.own_address.encode()) & ((1 << TERM_BITS) - 1)
        return ((self.highest_term >> TERM_BITS) + 1 << TERM_BITS) | candidate_bits

    def count_votes(self, now: float, candidacy: Candidacy) -> None:
        """Becomes the leader if a majority of the members voted for this one."""
        if len(candidacy.votes & set(self.members())) < self.majority():
            return
        # A leader that renews its term keeps its lease until the new term has one.
        lease_until = self.leadership.lease_until if self.leadership is not None else now + LEASE_S
        self.candidacy = None
        self.leadership = Leadership(candidacy.term, now, lease_until)
        # Guards against a former holder that votes below its own term: an own vote binds once it has won.
        self.voted_term = candidacy.term
        self.voted_for = self.own_address
        self.backoff_s = 0.0
        self.send_heartbeats(now, self.leadership)

    def give_up_candidacy(self, now: float, candidacy: Candidacy) -> None:
        """Its time is over without a majority: the next one comes later, after a backoff if nobody
        answered.
        """
        if len(candidacy.answered) > 1:
            self.backoff_s = 0.0
        else:  # guards against elections that only disturb, of a member that is cut off
            self.backoff_s = min(max(2 * self.backoff_s, ELECTION_TIMEOUT_S), MAX_BACKOFF_S)
        self.candidacy = None
        self.campaign_at = now + self.backoff_s + self.random.uniform(0.05, CAMPAIGN_JITTER_S)

    # --- as the leader

    def send_heartbeats(self, now: float, leadership: Leadership) -> None:
        """Sends the next heartbeat to all others, and forgets those that can renew no lease any more."""
        if self.own_address not in self.members():
            self.end_leadership(now)
            return
        leadership.heartbeat_number += 1
        leadership.sent_at[leadership.heartbeat_number] = now
        leadership.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        for number in [number for number, sent_at in leadership.sent_at.items() if sent_at + LEASE_S <= now]:
            del leadership.sent_at[number]
        self.broadcast(Heartbeat(self.role, leadership.term, leadership.heartbeat_number))
        self.renew_lease(now, leadership)

    def renew_lease(self, now: float, leadership: Leadership) -> None:
        """The lease runs from the sending of the newest heartbeat that a majority acknowledged."""
        others = sorted(
            (
                leadership.acknowledged_at.get(member, -inf)
                for member in self.members()
                if member != self.own_address
            ),
            reverse=True,
        )
        needed = self.majority() - 1
        since = now if needed == 0 else others[needed - 1]
        lease_until = since + LEASE_S
        if lease_until <= now:
            return
        if leadership.is_confirmed:
            leadership.lease_until = max(leadership.lease_until, lease_until)
            return
        leadership.lease_until = lease_until
        leadership.is_confirmed = True
        self.held_term = leadership.term
        self.instructions.append(RoleAcquired(self.role, leadership.term))

    def end_leadership(self, now: float) -> None:
        """Becomes a follower; the role is lost if it was held."""
        self.leadership = None
        self.candidacy = None
        if self.held_term:
            self.instructions.append(RoleLost(self.role, self.held_term))
            self.held_term = 0
        self.campaign_at = now + HOLDER_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)

    def give_up(self, now: float) -> None:
        """Ends a leadership, and says so to all others; ends a candidacy."""
        if self.leadership is not None:
            term = self.leadership.term
            self.end_leadership(now)
            self.broadcast(RoleReleased(self.role, term))
        self.candidacy = None

    def rise_above(self, now: float, term: int) -> None:
        """A term was met elsewhere. The leader of a lower one asks for votes in a higher, and goes on."""
        self.highest_term = max(self.highest_term, term)
        if self.leadership is not None and term > self.leadership.term and self.candidacy is None:
            self.start_election(now)

    def broadcast(self, message: Message) -> None:
        """Sends it to all other members."""
        self.instructions += [
            Send(member, message) for member in self.members() if member != self.own_address
        ]

    # --- messages

    def handle_vote_request(self, now: float, sender: str, term: int) -> None:
        """One vote a term, none below a term that another got, none while a holder is believed alive."""
        is_granted = self.may_vote(now, sender, term)
        if is_granted:
            self.voted_term = term
            self.voted_for = sender
            self.candidacy = None
            # Its heartbeat is waited for; after that this member may campaign itself.
            wait_until = now + ELECTION_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)
            self.campaign_at = max(self.campaign_at, wait_until)
        known_before = self.highest_term
        self.highest_term = max(known_before, term)
        self.instructions.append(Send(sender, VoteResponse(self.role, term, is_granted, known_before)))

    def may_vote(self, now: float, sender: str, term: int) -> bool:
        """Whether the sender may have this member's vote in that term."""
        if sender not in self.members() or now < self.started_at + STARTUP_VOTE_DELAY_S:
            return False
        if self.leadership is not None or (self.is_holder_alive(now) and sender != self.holder):
            return False
        is_unbound = term > self.voted_term or (term == self.voted_term and sender == self.voted_for)
        if not is_unbound or term <= self.term_floor:
            return False
        return self.candidacy is None or term > self.candidacy.term

    def handle_vote_response(self, now: float, sender: str, vote: VoteResponse) -> None:
        """Counts a vote; a late one, of a candidacy that was given up, binds nobody and counts for
        nothing.
        """
        candidacy = self.candidacy
        self.highest_term = max(self.highest_term, vote.highest_term)
        if candidacy is None or candidacy.term != vote.term:
            return
        candidacy.answered.add(sender)
        if vote.granted:
            candidacy.votes.add(sender)
            self.count_votes(now, candidacy)

    def handle_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Follows its sender and acknowledges it, or refuses it if this member is bound to a higher term."""
        term = heartbeat.term
        is_stale = term < self.voted_term or term <= self.released_term or sender not in self.members()
        own_term = self.leadership.term if self.leadership is not None else 0
        if not is_stale and own_term <= term:
            self.follow(now, sender, term)
        if now < self.started_at + STARTUP_VOTE_DELAY_S:
            return
        bound_to = max(self.voted_term, self.released_term) if is_stale else max(own_term, term)
        self.highest_term = max(self.highest_term, term)
        answer = Acknowledgement(self.role, term, heartbeat.number, bound_to)
        self.instructions.append(Send(sender, answer))

    def follow(self, now: float, holder: str, term: int) -> None:
        """Another member is the holder, by its heartbeat."""
        if self.leadership is not None:
            self.end_leadership(now)
        self.candidacy = None  # an own candidacy that is given up binds nobody
        self.voted_term = term
        self.voted_for = holder
        self.holder = holder
        self.holder_term = term
        self.holder_heard_at = now
        self.backoff_s = 0.0
        self.campaign_at = now + HOLDER_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)

    def handle_acknowledgement(self, now: float, sender: str, answer: Acknowledgement) -> None:
        """Renews the lease, or asks for votes in a higher term if it is a refusal."""
        leadership = self.leadership
        if leadership is None or answer.term != leadership.term:
            self.highest_term = max(self.highest_term, answer.highest_term)
            return
        if answer.highest_term > answer.term:
            self.rise_above(now, answer.highest_term)
            return
        sent_at = leadership.sent_at.get(answer.number)
        if sent_at is None or now >= leadership.lease_until:
            return
        leadership.acknowledged_at[sender] = max(leadership.acknowledged_at.get(sender, sent_at), sent_at)
        self.renew_lease(now, leadership)

    def handle_release(self, now: float, sender: str, term: int) -> None:
        """The holder stopped: this member campaigns soon."""
        self.highest_term = max(self.highest_term, term)
        self.released_term = max(self.released_term, term)
        if sender == self.holder and term >= self.holder_term:
            self.holder = ""
            if not self.has_resigned and self.candidacy is None:
                self.campaign_at = now + self.random.uniform(0, CAMPAIGN_JITTER_S / 2)
