"""Election of the holder of one singleton role, as one core member takes part in it. No I/O.

A candidate asks all members for their vote in a term of its own. With the votes of a majority it sends
heartbeats. It holds the role from the first heartbeat that a majority acknowledged, under a lease of LEASE_S
that runs from the *sending* of the newest such heartbeat (leases: Gray and Cheriton, 1989; terms and votes:
Raft, Ongaro and Ousterhout, 2014). A member that acknowledged a heartbeat gives no vote for VOTE_WITHHELD_S
after it, which is longer than the lease. Two members therefore act as holder at once only if a process
stopped between checking that it holds the role and acting, and doing a role's work twice does no harm. Times
are seconds of each member's own steady clock; messages carry none.

Nothing is kept on disk. A member that restarts may have forgotten its votes and acknowledgements, so it gives
none for STARTUP_VOTE_DELAY_S, which is longer than any lease. Terms must grow beyond all that a majority
knows, also after members restarted: `term_counter_floor`, which grows faster than elections are held, and
`observe_term` ensure this.
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

HEARTBEAT_INTERVAL_S = 0.25  # between two heartbeats of a holder
LEASE_S = 0.7  # from the sending of a heartbeat that a majority acknowledged
VOTE_WITHHELD_S = 0.8  # after a heartbeat of a holder, in which other members get no vote
HOLDER_TIMEOUT_S = 0.9  # without a heartbeat of a holder, after which the role counts as vacant
STARTUP_VOTE_DELAY_S = 1.0  # after the start of the process, in which it gives no vote or acknowledgement
CAMPAIGN_JITTER_S = 0.3  # maximum random delay that separates the candidates for one vacancy
ELECTION_TIMEOUT_S = 0.4  # after which a candidacy without a majority is abandoned
MAX_BACKOFF_S = 1.6  # between candidacies that nobody answered
RELEASE_HOLDOFF_S = 3.0  # after releasing a role, in which a member leaves the candidacy to others
TERM_BITS = 16  # the low bits of a term identify the candidate, so that no two candidates share a term


class Candidacy:
    """A candidacy of this member that is under way.

    Attributes:
        term: the term in which it asks for votes.
        deadline: when it is abandoned without a majority.
        votes: members that granted their vote, including this one.
        answered: members that answered, with or without a vote, including this one.
    """

    __slots__ = ("answered", "term", "deadline", "votes")

    def __init__(self, term: int, deadline: float, own_address: str) -> None:
        self.term = term
        self.deadline = deadline
        self.votes = {own_address}
        self.answered = {own_address}


class Leadership:
    """A term for which a majority voted for this member.

    Attributes:
        term: the term.
        lease_until: when the lease ends unless it is renewed.
        is_confirmed: whether a majority acknowledged a heartbeat of the term, so that the role is held under
            it.
        next_heartbeat_at: when the next heartbeat is due.
        heartbeat_number: number of the newest heartbeat.
        sent_at: by number, when each heartbeat was sent whose acknowledgement can still renew the lease.
        acknowledged_at: by member, when the newest heartbeat that it acknowledged was sent.
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
    """What one member knows of the election for one role, and its part in it.

    `candidacy` and `leadership` give the state: *follower* (neither is set), *candidate* (only the first),
    *leader* (only the second) and *leader that renews its term* (both: it learned of a higher term and asks
    for votes in one above that, while its lease goes on).

    Attributes:
        role: name of the role.
        own_address: peer address of this member.
        members: returns the peer addresses of the voting members, including this one if it is a member.
        random: source of the jitter.
        instructions: what the caller must carry out; shared with the elections of other roles.
        started_at: when this process started; it gives no vote for STARTUP_VOTE_DELAY_S afterwards.
        term_floor: no vote is given for terms up to this one, since an earlier process of this member may
            have voted in them.
        highest_term: the highest term seen in any message. Never falls; at least `term_floor`, and at least
            the term of a candidacy or leadership.
        voted_term: the highest term for which this member voted or acknowledged a heartbeat. Never falls; a
            leader's is its own term.
        voted_for: the candidate of `voted_term`; a leader's is this member.
        holder: the other member that was last heard as the holder of the role. Empty if there was none, if it
            released the role, and while this member is a candidate or leader.
        holder_term: term of `holder`.
        holder_heard_at: when `holder` was last heard; HOLDER_TIMEOUT_S before the start if never.
        released_term: the highest term whose holder released the role. Heartbeats up to it are refused.
        candidacy: the candidacy under way, or None.
        leadership: the leadership, or None.
        held_term: the term under which the role is held, by the last `RoleAcquired` without a `RoleLost`; 0
            if it is not held. While a leader renews its term, the former one until the new one is confirmed.
        backoff_s: delay added before the next candidacy; grows while nobody answers, otherwise 0.
        campaign_at: when to become a candidate; each heartbeat of a holder postpones it.
        has_resigned: whether this member never campaigns again. Final; it is then neither candidate nor
            leader.
    """

    def __init__(
        self,
        role: str,
        own_address: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        term_counter_floor: int,
        instructions: list[Instruction],
    ) -> None:
        self.role = role
        self.own_address = own_address
        self.members = members
        self.random = random
        self.instructions = instructions
        self.started_at = now
        self.term_floor = term_counter_floor << TERM_BITS
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
        """Raises AssertionError if the attributes contradict each other. For tests and the simulation."""
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
        """Returns whether this member holds the role; with `now`, only if its lease has not ended by then."""
        if not self.held_term or self.leadership is None:
            return False
        return now is None or now < self.leadership.lease_until

    def known_holder(self, now: float | None = None) -> RoleHolder | None:
        """Returns the holder that was last heard and has not released the role, or None if there is none.
        With `now`, only if it was heard within HOLDER_TIMEOUT_S, or is this member and its lease goes on.
        """
        if self.is_held(now):
            return RoleHolder(self.own_address, self.held_term)
        if not self.holder or (now is not None and now >= self.holder_heard_at + HOLDER_TIMEOUT_S):
            return None
        return RoleHolder(self.holder, self.holder_term)

    def majority_size(self) -> int:
        """Returns how many members make a majority."""
        return len(self.members()) // 2 + 1

    def is_holder_alive(self, now: float) -> bool:
        """Returns whether another member was heard as the holder of the role so recently that this member
        gives no vote."""
        return bool(self.holder) and now < self.holder_heard_at + VOTE_WITHHELD_S

    def wake_at(self) -> float:
        """Returns when `tick` is due next, in seconds of the clock; infinity if never."""
        times: list[float] = []
        if self.leadership is not None:
            times = [self.leadership.next_heartbeat_at, self.leadership.lease_until]
        if self.candidacy is not None:
            times.append(self.candidacy.deadline)
        elif self.leadership is None and not self.has_resigned:
            times.append(self.campaign_at)
        return min(times, default=inf)

    # --- events

    def tick(self, now: float) -> None:
        """Ends an expired lease or candidacy, and sends a heartbeat or campaigns if that is due."""
        candidacy = self.candidacy
        if self.leadership is not None and now >= self.leadership.lease_until:
            self.end_leadership(now)
        if candidacy is not None and now >= candidacy.deadline:
            self.abandon_candidacy(now, candidacy)
        if self.leadership is not None and now >= self.leadership.next_heartbeat_at:
            self.send_heartbeats(now, self.leadership)
        is_follower = self.leadership is None and self.candidacy is None
        if is_follower and not self.has_resigned and now >= self.campaign_at:
            self.start_election(now)

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handles a message of another member. `sender`: its peer address."""
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
        """Handles a term that was seen outside the election: own terms go above it, and a known holder with a
        lower term is told.
        """
        self.handle_higher_term(now, term)
        if self.leadership is None and self.is_holder_alive(now) and term > self.holder_term:
            notice = Acknowledgement(self.role, self.holder_term, 0, term)
            self.instructions.append(Send(self.holder, notice))

    def release(self, now: float, holdoff_s: float) -> None:
        """Releases the role if it is held, tells the others, and campaigns no sooner than after
        `holdoff_s`."""
        self.step_down(now)
        self.campaign_at = max(self.campaign_at, now + holdoff_s)

    def resign(self, now: float) -> None:
        """Releases the role if it is held, tells the others, and never campaigns again; still gives votes."""
        self.step_down(now)
        self.has_resigned = True

    # --- as a candidate

    def start_election(self, now: float) -> None:
        """Becomes a candidate in a term above all known ones."""
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
        """Returns the lowest term of this member above all known ones."""
        candidate_bits = crc32(self.own_address.encode()) & ((1 << TERM_BITS) - 1)
        return ((self.highest_term >> TERM_BITS) + 1 << TERM_BITS) | candidate_bits

    def count_votes(self, now: float, candidacy: Candidacy) -> None:
        """Becomes the leader if a majority of the members voted for this one."""
        if len(candidacy.votes & set(self.members())) < self.majority_size():
            return
        # A leader that renews its term keeps its lease until the new term is confirmed.
        lease_until = self.leadership.lease_until if self.leadership is not None else now + LEASE_S
        self.candidacy = None
        self.leadership = Leadership(candidacy.term, now, lease_until)
        # Guards against a former holder that votes below its own term: its own vote binds it once it has won.
        self.voted_term = candidacy.term
        self.voted_for = self.own_address
        self.backoff_s = 0.0
        self.send_heartbeats(now, self.leadership)

    def abandon_candidacy(self, now: float, candidacy: Candidacy) -> None:
        """Ends a candidacy without a majority. The next one follows after a random delay, with a backoff if
        nobody answered.
        """
        if len(candidacy.answered) > 1:
            self.backoff_s = 0.0
        else:  # a member that is cut off must not disturb the others with frequent elections
            self.backoff_s = min(max(2 * self.backoff_s, ELECTION_TIMEOUT_S), MAX_BACKOFF_S)
        self.candidacy = None
        self.campaign_at = now + self.backoff_s + self.random.uniform(0.05, CAMPAIGN_JITTER_S)

    # --- as the leader

    def send_heartbeats(self, now: float, leadership: Leadership) -> None:
        """Sends the next heartbeat to all others, and forgets those that are too old to renew the lease."""
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
        """Extends the lease to LEASE_S after the sending of the newest heartbeat that a majority
        acknowledged; the first one confirms the leadership.
        """
        acknowledgement_times = sorted(
            (
                leadership.acknowledged_at.get(member, -inf)
                for member in self.members()
                if member != self.own_address
            ),
            reverse=True,
        )
        needed_others = self.majority_size() - 1
        renewed_at = now if needed_others == 0 else acknowledgement_times[needed_others - 1]
        lease_until = renewed_at + LEASE_S
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
        """Becomes a follower; reports the role as lost if it was held."""
        self.leadership = None
        self.candidacy = None
        if self.held_term:
            self.instructions.append(RoleLost(self.role, self.held_term))
            self.held_term = 0
        self.campaign_at = now + HOLDER_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)

    def step_down(self, now: float) -> None:
        """Ends a leadership, and tells all others; ends a candidacy."""
        if self.leadership is not None:
            term = self.leadership.term
            self.end_leadership(now)
            self.broadcast(RoleReleased(self.role, term))
        self.candidacy = None

    def handle_higher_term(self, now: float, term: int) -> None:
        """Records a term that was seen elsewhere. The leader of a lower term asks for votes in a higher one,
        and stays leader meanwhile.
        """
        self.highest_term = max(self.highest_term, term)
        if self.leadership is not None and term > self.leadership.term and self.candidacy is None:
            self.start_election(now)

    def broadcast(self, message: Message) -> None:
        """Sends the message to all other members."""
        self.instructions += [
            Send(member, message) for member in self.members() if member != self.own_address
        ]

    # --- messages

    def handle_vote_request(self, now: float, sender: str, term: int) -> None:
        """Answers a candidate that asks for a vote; see `may_vote`."""
        is_granted = self.may_vote(now, sender, term)
        if is_granted:
            self.voted_term = term
            self.voted_for = sender
            self.candidacy = None
            # The candidate gets time to send its first heartbeat before this member campaigns itself.
            wait_until = now + ELECTION_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)
            self.campaign_at = max(self.campaign_at, wait_until)
        highest_term_before = self.highest_term
        self.highest_term = max(highest_term_before, term)
        self.instructions.append(Send(sender, VoteResponse(self.role, term, is_granted, highest_term_before)))

    def may_vote(self, now: float, sender: str, term: int) -> bool:
        """Returns whether the sender gets this member's vote in that term: one vote a term, none soon after
        the start, none in a term below one that was voted for, and none for another member while a holder is
        believed alive.
        """
        if sender not in self.members() or now < self.started_at + STARTUP_VOTE_DELAY_S:
            return False
        if self.leadership is not None or (self.is_holder_alive(now) and sender != self.holder):
            return False
        is_free_to_vote = term > self.voted_term or (term == self.voted_term and sender == self.voted_for)
        if not is_free_to_vote or term <= self.term_floor:
            return False
        return self.candidacy is None or term > self.candidacy.term

    def handle_vote_response(self, now: float, sender: str, vote: VoteResponse) -> None:
        """Counts a vote. A late one, of a candidacy that was abandoned, binds nobody and is ignored."""
        candidacy = self.candidacy
        self.highest_term = max(self.highest_term, vote.highest_term)
        if candidacy is None or candidacy.term != vote.term:
            return
        candidacy.answered.add(sender)
        if vote.granted:
            candidacy.votes.add(sender)
            self.count_votes(now, candidacy)

    def handle_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Follows the sender and acknowledges the heartbeat, or refuses it if this member is bound to a
        higher term.
        """
        term = heartbeat.term
        is_stale = term < self.voted_term or term <= self.released_term or sender not in self.members()
        own_term = self.leadership.term if self.leadership is not None else 0
        if not is_stale and own_term <= term:
            self.follow(now, sender, term)
        if now < self.started_at + STARTUP_VOTE_DELAY_S:
            return
        bound_term = max(self.voted_term, self.released_term) if is_stale else max(own_term, term)
        self.highest_term = max(self.highest_term, term)
        acknowledgement = Acknowledgement(self.role, term, heartbeat.number, bound_term)
        self.instructions.append(Send(sender, acknowledgement))

    def follow(self, now: float, holder: str, term: int) -> None:
        """Becomes a follower of the member whose heartbeat was accepted."""
        if self.leadership is not None:
            self.end_leadership(now)
        self.candidacy = None  # binds nobody once it is abandoned
        self.voted_term = term
        self.voted_for = holder
        self.holder = holder
        self.holder_term = term
        self.holder_heard_at = now
        self.backoff_s = 0.0
        self.campaign_at = now + HOLDER_TIMEOUT_S + self.random.uniform(0, CAMPAIGN_JITTER_S)

    def handle_acknowledgement(self, now: float, sender: str, acknowledgement: Acknowledgement) -> None:
        """Renews the lease; a refusal makes the leader ask for votes in a higher term."""
        leadership = self.leadership
        if leadership is None or acknowledgement.term != leadership.term:
            self.highest_term = max(self.highest_term, acknowledgement.highest_term)
            return
        if acknowledgement.highest_term > acknowledgement.term:
            self.handle_higher_term(now, acknowledgement.highest_term)
            return
        sent_at = leadership.sent_at.get(acknowledgement.number)
        if sent_at is None or now >= leadership.lease_until:
            return
        leadership.acknowledged_at[sender] = max(leadership.acknowledged_at.get(sender, sent_at), sent_at)
        self.renew_lease(now, leadership)

    def handle_release(self, now: float, sender: str, term: int) -> None:
        """Records a released term. If the sender was the known holder, this member campaigns soon."""
        self.highest_term = max(self.highest_term, term)
        self.released_term = max(self.released_term, term)
        if sender == self.holder and term >= self.holder_term:
            self.holder = ""
            if not self.has_resigned and self.candidacy is None:
                self.campaign_at = now + self.random.uniform(0, CAMPAIGN_JITTER_S / 2)
