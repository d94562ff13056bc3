"""Singleton duties among the core members, each won by a round of ballots whenever it falls vacant. No I/O.

A candidate asks all members for their vote in a term of its own; with the votes of a majority it heartbeats.
It holds the duty from the first heartbeat that a majority acknowledged, under a lease of LEASE from the
*sending* of the newest such heartbeat (leases: Gray and Cheriton, 1989; terms and votes: Raft, Ongaro and
Ousterhout, 2014). Who acknowledges a heartbeat gives no vote for STICKY after it, which is longer than the
lease: two members hold a duty at once only if a process stopped between asking `held` and acting, and doing a
duty twice does no harm. Times are seconds of each member's own steady clock; messages carry none.

Nothing is kept on disk. A member that starts may have forgotten its votes and acknowledgements, so for YOUNG,
longer than any lease, it gives none. Terms grow beyond all that a majority knows; `floor`, which grows faster
than ballots are held, and `met` keep them growing over members that start anew.
"""

from collections.abc import Callable
from random import Random
from zlib import crc32

import msgspec

HEARTBEAT = 0.25  # between a holder's heartbeats
LEASE = 0.7  # from the sending of a heartbeat that a majority acknowledged
STICKY = 0.8  # no vote for another so long after a holder was heard
VACANT = 0.9  # no holder heard for so long: the duty is vacant
YOUNG = 1.0  # no vote so soon after the start
STAGGER = 0.3  # candidates of one vacancy stand this far apart, by chance
BALLOT = 0.4  # a ballot without a majority is given up after it
LONGEST_REST = 1.6  # between ballots that nobody answered
ASIDE = 3.0  # who vacated a duty lets others stand first
TERM_BITS = 16  # of a term, its low bits: the candidate's mark, so no two candidates share a term


class Ballot(msgspec.Struct, array_like=True, frozen=True, tag="ballot"):
    duty: str
    term: int


class Vote(msgspec.Struct, array_like=True, frozen=True, tag="vote"):
    """`term`: the ballot's. `known`: the highest term known to the voter."""

    duty: str
    term: int
    granted: bool
    known: int


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="heartbeat"):
    """`number` grows within a term; a refusal names what is known instead."""

    duty: str
    term: int
    number: int


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True, tag="acknowledgement"):
    duty: str
    term: int
    number: int
    known: int


class Vacated(msgspec.Struct, array_like=True, frozen=True, tag="vacated"):
    """The holder of `term` stopped before it said so."""

    duty: str
    term: int


Message = Ballot | Vote | Heartbeat | Acknowledgement | Vacated


class Send(msgspec.Struct, frozen=True):
    address: str
    message: Message


class Won(msgspec.Struct, frozen=True):
    duty: str
    term: int


class Lost(msgspec.Struct, frozen=True):
    duty: str
    term: int


class Candidacy:
    """An own ballot under way."""

    __slots__ = ("term", "until", "votes", "answered")

    def __init__(self, term: int, until: float, own: str) -> None:
        self.term, self.until = term, until
        self.votes, self.answered = {own}, {own}


class Tenure:
    """An own term whose ballot is won. `won`: a majority acknowledged a heartbeat of it."""

    __slots__ = ("term", "since", "won", "lease", "number", "sent", "acknowledged", "next")

    def __init__(self, term: int, now: float, lease: float) -> None:
        self.term, self.since, self.lease, self.next = term, now, lease, now
        self.won = False
        self.number = 0
        self.sent: dict[int, float] = {}  # heartbeats that may still be acknowledged in time
        self.acknowledged: dict[str, float] = {}  # member: when the newest that it acknowledged was sent


class Round:
    """What a member knows of one duty, and what it does about it."""

    def __init__(
        self,
        duty: str,
        own: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        floor: int,
        effects: list,
    ) -> None:
        self.duty, self.own, self.members, self.random, self.effects = duty, own, members, random, effects
        self.started = now
        self.floor = floor << TERM_BITS  # no vote up to it: what was won before the start is below
        self.known = self.floor  # the highest term met
        self.promised = 0  # the highest term voted for or acknowledged, own won ones too
        self.promised_to = ""
        self.holder = ""  # another that was heard as the holder, with its term, and when
        self.holder_term = 0
        self.heard = now - VACANT  # nobody yet
        self.over = 0  # the highest term whose holder said that it stopped
        self.candidacy: Candidacy | None = None
        self.tenure: Tenure | None = None
        self.holding = 0  # the term of the last Won without a Lost
        self.rest = 0.0
        self.stand_at = now + YOUNG + random.uniform(0, STAGGER)
        self.resigned = False

    # what is asked

    def majority(self) -> int:
        return len(self.members()) // 2 + 1

    def alive(self, now: float) -> bool:
        """Another is believed to hold the duty."""
        return bool(self.holder) and now < self.heard + STICKY

    def wake_at(self) -> float:
        times = []
        if self.tenure is not None:
            times = [self.tenure.next, self.tenure.lease]
        if self.candidacy is not None:
            times.append(self.candidacy.until)
        elif self.tenure is None and not self.resigned:
            times.append(self.stand_at)
        return min(times, default=float("inf"))

    # time passes

    def tick(self, now: float) -> None:
        tenure, candidacy = self.tenure, self.candidacy
        if tenure is not None and now >= tenure.lease:
            self.end(now)
            tenure = None
        if candidacy is not None and now >= candidacy.until:
            if len(candidacy.answered) > 1:
                self.rest = 0.0
            else:  # nobody hears us, or we hear nobody: guards against ballots that only disturb
                self.rest = min(max(2 * self.rest, BALLOT), LONGEST_REST)
            self.candidacy = None
            self.stand_at = now + self.rest + self.random.uniform(0.05, STAGGER)
        if tenure is not None and now >= tenure.next:
            self.heartbeat(now)
        if self.tenure is None and self.candidacy is None and not self.resigned and now >= self.stand_at:
            self.stand(now)

    def stand(self, now: float) -> None:
        members = self.members()
        if self.own not in members:
            self.stand_at = now + VACANT
            return
        self.known = self.next_term()
        self.candidacy = Candidacy(self.known, now + BALLOT, self.own)
        self.holder = ""
        self.spread(Ballot(self.duty, self.known))
        self.count(now)

    def next_term(self) -> int:
        mark = crc32(self.own.encode()) & ((1 << TERM_BITS) - 1)
        return ((self.known >> TERM_BITS) + 1 << TERM_BITS) | mark

    def count(self, now: float) -> None:
        candidacy = self.candidacy
        if len(candidacy.votes & set(self.members())) < self.majority():
            return
        # An own tenure that is renewed keeps its lease until the new term has one.
        lease = self.tenure.lease if self.tenure is not None else now + LEASE
        self.candidacy, self.tenure = None, Tenure(candidacy.term, now, lease)
        # Guards against a former holder that votes below its own term: an own vote binds once it has won.
        self.promised, self.promised_to = candidacy.term, self.own
        self.rest = 0.0
        self.heartbeat(now)

    def heartbeat(self, now: float) -> None:
        tenure = self.tenure
        if self.own not in self.members():
            self.end(now)
            return
        tenure.number += 1
        tenure.sent[tenure.number] = now
        tenure.next = now + HEARTBEAT
        for number in [number for number, sent in tenure.sent.items() if sent + LEASE <= now]:
            del tenure.sent[number]
        self.spread(Heartbeat(self.duty, tenure.term, tenure.number))
        self.renew(now)

    def renew(self, now: float) -> None:
        """The lease runs from the sending of the newest heartbeat that a majority acknowledged."""
        tenure = self.tenure
        others = sorted(
            (
                tenure.acknowledged.get(member, float("-inf"))
                for member in self.members()
                if member != self.own
            ),
            reverse=True,
        )
        needed = self.majority() - 1
        since = now if needed == 0 else others[needed - 1]
        if since + LEASE <= now:
            return
        tenure.lease = max(tenure.lease, since + LEASE) if tenure.won else since + LEASE
        if not tenure.won:
            tenure.won, self.holding = True, tenure.term
            self.effects.append(Won(self.duty, tenure.term))

    def end(self, now: float) -> None:
        """The own tenure is over."""
        self.tenure = None
        self.candidacy = None
        if self.holding:
            self.effects.append(Lost(self.duty, self.holding))
            self.holding = 0
        self.stand_at = now + VACANT + self.random.uniform(0, STAGGER)

    def leave(self, now: float, again: float | None) -> None:
        """Gives the duty up, and says so; stands again after `again` seconds, or never (None)."""
        if self.tenure is not None:
            term = self.tenure.term
            self.end(now)
            self.spread(Vacated(self.duty, term))
        self.candidacy = None
        if again is None:
            self.resigned = True
        else:
            self.stand_at = max(self.stand_at, now + again)

    def spread(self, message: Message) -> None:
        self.effects += [Send(member, message) for member in self.members() if member != self.own]

    def meet(self, now: float, term: int) -> None:
        """A term was met elsewhere. A holder of a lower one asks for votes in a higher, and goes on."""
        self.known = max(self.known, term)
        if self.tenure is not None and term > self.tenure.term and self.candidacy is None:
            self.stand(now)

    def met(self, now: float, term: int) -> None:
        """A term was met outside."""
        self.meet(now, term)
        if self.tenure is None and self.alive(now) and term > self.holder_term:
            self.effects.append(Send(self.holder, Acknowledgement(self.duty, self.holder_term, 0, term)))

    # messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        match message:
            case Ballot():
                self.ballot(now, sender, message.term)
            case Vote():
                self.vote(now, sender, message)
            case Heartbeat():
                self.heartbeat_of(now, sender, message)
            case Acknowledgement():
                self.acknowledgement(now, sender, message)
            case Vacated():
                self.vacated(now, sender, message.term)

    def ballot(self, now: float, sender: str, term: int) -> None:
        """One vote a term, none below a term that another got, none while a holder is believed alive."""
        held = self.tenure is not None or (self.alive(now) and sender != self.holder)
        new = term > self.promised or (term == self.promised and sender == self.promised_to)
        granted = (
            sender in self.members()
            and now >= self.started + YOUNG
            and not held
            and new
            and term > self.floor
            and (self.candidacy is None or term > self.candidacy.term)
        )
        if granted:
            self.promised, self.promised_to = term, sender
            self.candidacy = None
            # Its heartbeat is waited for; after that this member may stand itself.
            self.stand_at = max(self.stand_at, now + BALLOT + self.random.uniform(0, STAGGER))
        known = self.known
        self.known = max(known, term)
        self.effects.append(Send(sender, Vote(self.duty, term, granted, known)))

    def vote(self, now: float, sender: str, vote: Vote) -> None:
        candidacy = self.candidacy
        self.known = max(self.known, vote.known)
        if candidacy is None or candidacy.term != vote.term:
            return  # late: that ballot was given up, so its votes bind nobody
        candidacy.answered.add(sender)
        if vote.granted:
            candidacy.votes.add(sender)
            self.count(now)

    def heartbeat_of(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        term = heartbeat.term
        stale = term < self.promised or term <= self.over or sender not in self.members()
        own = self.tenure is not None and self.tenure.term > term
        if not stale and not own:
            if self.tenure is not None:
                self.end(now)
            self.candidacy = None  # an own ballot that is given up binds nobody
            self.promised, self.promised_to = term, sender
            self.holder, self.holder_term, self.heard = sender, term, now
            self.rest = 0.0
            self.stand_at = now + VACANT + self.random.uniform(0, STAGGER)
        if now < self.started + YOUNG:
            return
        known = max(self.promised, self.over) if stale else self.tenure.term if own else term
        self.known = max(self.known, term)
        self.effects.append(Send(sender, Acknowledgement(self.duty, term, heartbeat.number, known)))

    def acknowledgement(self, now: float, sender: str, said: Acknowledgement) -> None:
        tenure = self.tenure
        if tenure is None or said.term != tenure.term:
            self.known = max(self.known, said.known)
            return
        if said.known > said.term:  # a refusal: bound to a higher term
            self.meet(now, said.known)
            return
        sent = tenure.sent.get(said.number)
        if sent is None or now >= tenure.lease:
            return
        tenure.acknowledged[sender] = max(tenure.acknowledged.get(sender, sent), sent)
        self.renew(now)

    def vacated(self, now: float, sender: str, term: int) -> None:
        self.known, self.over = max(self.known, term), max(self.over, term)
        if sender == self.holder and term >= self.holder_term:
            self.holder = ""
            if not self.resigned and self.candidacy is None:
                self.stand_at = now + self.random.uniform(0, STAGGER / 2)


class Duties:
    """All duties of one member.

    `address`: its link address; `members()`: the link addresses of the core members, itself included if it is
    one; `floor`: terms start above it; tenths of a second since 1970, the unit that outruns ballots. Effects
    (Send, Won, Lost) gather in `effects`; the caller takes them out after each call. A Won for a duty that is
    held says that it goes on in a higher term; each term is won at most once, by one member.
    """

    def __init__(
        self,
        address: str,
        members: Callable[[], tuple[str, ...]],
        random: Random,
        now: float,
        duties: tuple[str, ...],
        floor: int = 0,
    ) -> None:
        self.effects: list[Send | Won | Lost] = []
        self.address = address
        self.rounds = {
            duty: Round(duty, address, members, random, now, floor, self.effects) for duty in duties
        }

    def receive(self, now: float, sender: str, message: Message) -> None:
        """`sender`: a link address. A duty that isn't known here is ignored."""
        round_ = self.rounds.get(message.duty)
        if round_ is None:
            return
        round_.tick(now)
        round_.receive(now, sender, message)

    def tick(self, now: float) -> None:
        for round_ in self.rounds.values():
            round_.tick(now)

    def wake_at(self) -> float:
        """When `tick` is due next, in seconds; infinity if never."""
        return min((round_.wake_at() for round_ in self.rounds.values()), default=float("inf"))

    def held(self, duty: str, now: float | None = None) -> bool:
        """This member holds the duty; with `now`, also by its lease at that moment."""
        round_ = self.rounds[duty]
        return bool(round_.holding) and (now is None or now < round_.tenure.lease)

    def holder(self, duty: str, now: float | None = None) -> tuple[str, int] | None:
        """The holder's address and term, as last heard and not said to have ended; with `now`, only if it was
        heard within VACANT. None: not known."""
        round_ = self.rounds[duty]
        if self.held(duty, now):
            return self.address, round_.holding
        if not round_.holder or (now is not None and now >= round_.heard + VACANT):
            return None
        return round_.holder, round_.holder_term

    def resign(self, now: float) -> None:
        """SIGTERM: gives all up, tells the others, and never stands again; votes are still given."""
        for round_ in self.rounds.values():
            round_.leave(now, None)

    def vacate(self, now: float, duty: str) -> None:
        """The holder can't do it: gives it up and lets others stand first."""
        self.rounds[duty].leave(now, ASIDE)

    def met(self, now: float, duty: str, term: int) -> None:
        """A term was met outside, say in what a data plane holds: own terms go above it.
        Guards against members that all started anew and count from the beginning. Whoever holds the duty is
        told, as only it is to stand again."""
        self.rounds[duty].met(now, term)
