"""The primary's part: decide, write to all holders of the epoch, confirm, tell what is finished."""

from __future__ import annotations

from collections import deque

from shedgrade.replication.contact import MajorityContact
from shedgrade.replication.departure import LeaveRequests
from shedgrade.replication.effects import Answer, Reading, Unavailable, Unclear
from shedgrade.replication.follower import Follower, Pending
from shedgrade.replication.messages import (
    Ack,
    Heartbeat,
    Learn,
    Mark,
    Replicate,
    size,
)
from shedgrade.replication.replica_state import merge

OPEN_BYTES = 256 * 1024  # no further write is begun while those that are not finished have as many
PIPELINED_BYTES = 4096  # longer finished state waits for the ack of the one before


class Primary:
    """Answers nothing while `active` is false. Orders that wait for an end of an election stay in `queue`."""

    def __init__(self, member):
        self.member = member
        self.active = False
        self.epoch = 0
        self.followers: dict[int, Follower] = {}
        self.holders: tuple[int, ...] = ()  # the other ones
        self.pending: deque[Pending] = deque()
        self.queue: deque[tuple[float, int, object]] = deque()
        self.open: deque[tuple[int, dict, float]] = deque()  # not finished: sequence, changes, late after
        self.round = self.confirmed = 0
        self.beat_at = self.majority_at = self.began = 0.0
        self.enough = self.complete = False
        self.incomplete_since: float | None = None
        self.latest: dict[str, int] = {}  # address -> the incarnation that spoke last from there
        self.own_durable = -1
        self.contact = MajorityContact()
        self.leaves = LeaveRequests(self)

    # --- begin and end

    def begin(self, now: float, record, leaving: frozenset[int] = frozenset()) -> None:
        """All holders have synced the epoch: what they hold is finished. `leaving`: members that asked for
        their leave before."""
        member, held = self.member, self.member.held
        held.learn(now, record)
        self.active, self.epoch = True, record.number
        self.holders = tuple(each for each in record.holders if each != held.incarnation)
        if self.incomplete_since is None:
            self.incomplete_since = now
        self.enough = len(record.holders) > member.tolerated
        self.complete = len(record.members) > 2 * member.tolerated
        members = {peer.incarnation: peer for peer in record.members}
        kept = {
            incarnation: old
            for incarnation, old in self.followers.items()
            if incarnation in members or now - old.heard < 5 * member.timing.hello
        }
        for incarnation, peer in members.items():
            if incarnation != held.incarnation and incarnation not in kept:
                kept[incarnation] = new = Follower(incarnation, peer.name, peer.address, now)
                new.spoke_at = member.heard_from.get(peer.address, member.born_at)
        for incarnation, follower in kept.items():
            follower.since, follower.round, follower.sent_to = now, 0, -1
            follower.leaving = incarnation in leaving
            follower.received = follower.durable = -1
            if incarnation in self.holders:
                follower.heard = now
                follower.sent_to = follower.received = follower.durable = held.mark[1]
        self.followers = kept
        self.leaves.begin(leaving)
        self.own_durable = held.mark[1]
        self.open.clear()
        self.majority_at = self.began = now
        self.contact = MajorityContact(member.candidate.prepared)
        for hello in member.reconfiguration.asked_lately(now):
            if hello.incarnation not in kept and hello.incarnation != held.incarnation:
                self.latest[hello.address] = hello.incarnation
                self.followers[hello.incarnation] = Follower(
                    hello.incarnation, hello.name, hello.address, now
                )
        held.finish(held.mark)
        member.became_primary(now)
        self.beat(now)
        self.settle(now)
        self.leaves.tick(now)
        change = member.reconfiguration.next_lives(now, record)
        if change is not None:  # the repair goes before orders, whose writes would hold it up
            return member.reform(now, change, frozenset())
        self.advance_queue(now)
        return None

    def pause(self) -> None:
        """An election of this process goes on; what is pending stays."""
        self.active = False

    def abandon(self, now: float) -> None:
        """Another decides now. What was written may be finished by it: the answers are unclear."""
        self.active = False
        self.open.clear()
        self.followers = {}
        self.incomplete_since = None
        pending, self.pending = self.pending, deque()
        for each in pending:
            self.member.waiting.add(now, each.ticket, None, shipped=not each.read, read=each.read)
        queue, self.queue = self.queue, deque()
        for _, ticket, request in queue:
            self.member.waiting.add(now, ticket, request)

    # --- orders

    def acts(self, now: float) -> bool:
        """Fewer holders than may be lost and one keep nothing safe. Of fewer members than 2t + 1 no
        majority may be left: newcomers get a while to join before the first answer."""
        return self.enough and (self.complete or now - self.incomplete_since >= self.member.timing.incomplete)

    def order(self, now: float, ticket: int, request) -> None:
        self.queue.append((now, ticket, request))
        self.advance_queue(now)

    def read(self, now: float, ticket: int) -> None:
        self.pending.append(Pending(ticket, None, self.member.held.mark[1], self.next_round(now), True, now))
        self.settle(now)

    def next_round(self, now: float) -> int:
        self.round += 1
        for incarnation in self.holders:
            self.heartbeat(now, self.followers[incarnation], self.round)
        return self.round

    def confirm_with_all(self, now: float) -> int:
        """A round that witnesses are asked for, too."""
        round_ = self.next_round(now)
        for incarnation, follower in self.followers.items():
            if incarnation not in self.holders and self.member.held.names(incarnation):
                self.heartbeat(now, follower, round_)
        return round_

    def advance_queue(self, now: float) -> None:
        member, held = self.member, self.member.held
        while self.active and self.acts(now) and self.queue and self.has_room():
            changes, state, replies = {}, held.state, []
            while self.queue:
                _, ticket, request = self.queue.popleft()
                decision = member.decide(state, request)
                replies.append((ticket, decision))
                if decision.changes:
                    state = merge(state, decision.changes)
                    changes.update(decision.changes)
            self.write(now, changes, replies)
        self.settle(now)

    def has_room(self) -> bool:
        """Orders behind long writes wait and become one write: a key that they all change is sent once."""
        return (
            len(self.open) < self.member.PIPELINE
            and sum(size(changes) for _, changes, _ in self.open) < OPEN_BYTES
        )

    def write(self, now: float, changes, replies) -> None:
        held = self.member.held
        sequence = held.mark[1] + (1 if changes else 0)
        asks = 0 if changes else self.next_round(now)
        for ticket, decision in replies:
            self.pending.append(Pending(ticket, decision.outcome, sequence, asks, False, now))
        if not changes:
            return
        epoch = self.epoch
        late = now + self.member.timing.write_patience + size(changes) / self.member.timing.bytes_per_second
        self.open.append((sequence, changes, late))
        held.write(now, sequence, changes, lambda at: self.own_done(at, epoch, sequence))
        for incarnation in self.holders:
            self.replicate(now, self.followers[incarnation], sequence, changes)

    def replicate(self, now: float, follower: Follower, sequence: int, changes) -> None:
        wait = self.member.timing.resend + size(changes) / self.member.timing.bytes_per_second
        follower.sent_to = max(follower.sent_to, sequence)
        follower.resend_at = now + wait
        finished = self.member.held.finished[:2]
        self.member.send(follower.address, Replicate(self.epoch, sequence, finished, changes))

    def own_done(self, now: float, epoch: int, sequence: int) -> None:
        if self.active and epoch == self.epoch:
            self.own_durable = max(self.own_durable, sequence)
            self.advance(now)

    def advance(self, now: float) -> None:
        """What all holders have synced is finished."""
        done = min([self.own_durable] + [self.followers[each].durable for each in self.holders])
        moved = False
        while self.open and self.open[0][0] <= done:
            self.member.held.finish((self.epoch, self.open.popleft()[0]))
            moved = True
        if moved:
            self.settle(now)
            self.tell(now)
            self.advance_queue(now)

    def settle(self, now: float) -> None:
        """Answer what is finished, or confirmed."""
        if not self.active:
            return
        finished = self.open[0][0] - 1 if self.open else self.member.held.mark[1]
        confirmed = min((self.followers[each].round for each in self.holders), default=self.round)
        while self.pending and self.pending[0].sequence <= finished and self.pending[0].round <= confirmed:
            each = self.pending.popleft()
            outcome = Reading(*self.member.held.finished) if each.read else each.outcome
            self.member.effects.append(Answer(each.ticket, outcome))

    # --- others

    def beat(self, now: float) -> None:
        """A heartbeat to all, and what is finished to who lacks it."""
        held = self.member.held
        self.beat_at = now + self.member.timing.heartbeat
        self.round += 1
        self.contact.round_sent(now, self.round)
        self.confirm(now)
        for incarnation, follower in list(self.followers.items()):
            if now - follower.heard > 8 * self.member.timing.hello and not held.names(incarnation):
                del self.followers[incarnation]  # a guest that is gone
                continue
            if self.latest.get(follower.address, incarnation) != incarnation:
                continue  # its disk was lost: another incarnation is there
            self.heartbeat(now, follower, self.round)
            if incarnation not in self.holders:
                self.teach(now, follower)

    def heartbeat(self, now: float, follower: Follower, round_: int) -> None:
        record = None if follower.record == self.epoch else self.member.held.record
        self.send_heartbeat(now, follower.address, round_, record)

    def send_heartbeat(self, now: float, address: str, round_: int, record) -> None:
        self.member.send(
            address,
            Heartbeat(
                self.epoch, round_, self.member.held.finished[:2], record, now - self.contact.confirmed_at
            ),
        )

    def confirm(self, now: float) -> None:
        """Whether a majority of the members follows this primary, and as of when."""
        members = self.member.held.record.members
        others = [peer.incarnation for peer in members if peer.incarnation != self.member.held.incarnation]
        self.member.confirmed(self.contact.confirm(now, others, len(members) // 2))

    def tell(self, now: float) -> None:
        """What has just been finished."""
        for incarnation, follower in self.followers.items():
            if incarnation in self.holders:
                self.heartbeat(now, follower, 0)
            elif self.latest.get(follower.address, incarnation) == incarnation:
                self.teach(now, follower)

    def teach(self, now: float, follower: Follower) -> None:
        """Finished state to a follower that holds none; to a silent one nothing but heartbeats.

        A long transfer is not begun anew for a newer position: what changed since follows its end."""
        held, timing = self.member.held, self.member.timing
        mark = held.finished[:2]
        if follower.finished >= mark or now - follower.heard > timing.silent:
            return
        if now < follower.learn_at and (
            follower.learnt == mark or (follower.transfer and follower.finished < follower.learnt)
        ):
            return
        newest_first = sorted((follower.finished, follower.synced), reverse=True)
        base, changes = held.finished_since(*newest_first)
        follower.misses = follower.misses + 1 if follower.learnt == mark else 0
        length = size(changes)
        wait = timing.resend + length / timing.bytes_per_second
        follower.learnt, follower.learn_at = mark, now + wait * 2 ** min(follower.misses, 4)
        follower.transfer = length > PIPELINED_BYTES
        self.member.send(follower.address, Learn(self.epoch, mark, base, changes))

    def ack(self, now: float, sender: str, ack: Ack) -> None:
        member = self.member
        member.highest = max(member.highest, ack.promised)
        follower = self.followers.get(ack.incarnation)
        if follower is None:
            follower = self.followers[ack.incarnation] = Follower(ack.incarnation, ack.name, sender, now)
        self.hears(now, follower)
        self.locate(now, follower, sender, ack.finished)
        follower.spoke_at = now
        follower.record = max(follower.record, ack.record)
        follower.synced = ack.synced
        follower.healthy, follower.leaving, follower.promised = ack.healthy, ack.leaving, ack.promised
        if not self.active or ack.epoch != self.epoch:
            return
        if ack.promised <= self.epoch:
            self.contact.round_acknowledged(ack.incarnation, ack.round)
            self.confirm(now)
        if ack.round > follower.round and ack.promised == self.epoch:
            follower.round = ack.round
            self.settle(now)
        self.leaves.tick(now)
        if ack.incarnation in self.holders and ack.promised == self.epoch:
            follower.received = max(follower.received, ack.received)
            if ack.durable > follower.durable:
                follower.durable = ack.durable
                self.advance(now)
        elif ack.incarnation not in self.holders:
            self.teach(now, follower)

    def hello(self, now: float, hello) -> None:
        """A process that doesn't hear this primary, or is new: told at once where it is."""
        who = hello.incarnation
        follower = self.followers.get(who)
        if follower is None:
            follower = self.followers[who] = Follower(who, hello.name, hello.address, now)
        self.locate(now, follower, hello.address, hello.finished)
        follower.spoke_at = now
        if hello.incarnation not in self.holders:
            self.hears(now, follower)
        self.send_heartbeat(now, hello.address, self.round, self.member.held.record)

    def locate(self, now: float, follower: Follower, address: str, finished: Mark) -> None:
        """Where it is and what it knows: nothing, if it was started anew or lost its disk. What is on its way
        there then begins at a position that it no longer has."""
        before = self.latest.get(address, follower.incarnation)
        if finished == (0, 0) < follower.finished or before != follower.incarnation:
            self.member.pieces.cancel_state(now, address)
            follower.learn_at = now
        follower.address, follower.finished = address, finished
        self.latest[address] = follower.incarnation

    # --- time

    def expire(self, now: float) -> None:
        """An order is not held for ever."""
        hold = self.member.timing.hold
        while self.queue and now - self.queue[0][0] >= 2 * hold:
            self.member.effects.append(Answer(self.queue.popleft()[1], Unavailable()))
        while self.pending and now - self.pending[0].since >= 3 * hold:
            each = self.pending.popleft()
            self.member.effects.append(Answer(each.ticket, Unavailable() if each.read else Unclear()))

    def hears(self, now: float, follower: Follower) -> None:
        if not self.heard_lately(now, follower):
            follower.learn_at = now  # what was sent before its silence may have been given up
        follower.heard = now

    def heard_lately(self, now: float, follower: Follower) -> bool:
        return now - follower.heard < self.member.timing.silent

    def tick(self, now: float) -> None:
        if not self.active:
            return None
        timing, held, record = self.member.timing, self.member.held, self.member.held.record
        if now >= self.beat_at:
            self.beat(now)
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            lacks = follower.received < follower.sent_to and now >= follower.resend_at
            if lacks and self.heard_lately(now, follower):
                for sequence, changes, _ in self.open:
                    if sequence > follower.received:
                        self.replicate(now, follower, sequence, changes)
        heard = 1 + sum(self.heard_lately(now, f) for i, f in self.followers.items() if held.names(i))
        if heard > len(record.members) // 2:
            self.majority_at = now
        elif now - self.majority_at > timing.deaf - timing.silent:
            return self.member.step_down(now)  # cut off, perhaps one way: others must be able to take over
        self.advance_queue(now)
        self.leaves.tick(now)
        self.mend(now)
        return None

    def has_majority(self, now: float) -> bool:
        """Whether a majority of the members was heard lately and has promised nothing higher."""
        held = self.member.held
        heard = [f for i, f in self.followers.items() if held.names(i) and self.heard_lately(now, f)]
        return 1 + sum(f.promised <= self.epoch for f in heard) > len(held.record.members) // 2

    def is_able(self, now: float, follower: Follower) -> bool:
        return self.heard_lately(now, follower) and follower.healthy and not follower.leaving

    def may_join(self, now: float, follower: Follower) -> bool:
        """It has spoken lately, and is not the former life of a machine whose disk was lost."""
        spoke = now - follower.spoke_at < self.member.timing.silent
        newest = self.latest.get(follower.address) == follower.incarnation
        return spoke and newest and self.is_able(now, follower)

    def ill(self, now: float, follower: Follower) -> bool:
        """A holder that is silent, has an ill disk, or is late with a write."""
        if not self.heard_lately(now, follower) or not follower.healthy:
            return True
        return any(sequence > follower.durable and now >= late for sequence, _, late in self.open)

    def mend(self, now: float) -> None:
        """Replace ill holders, take in newcomers, hand over when the own disk is ill."""
        member, held = self.member, self.member.held
        record = held.record
        able = [
            each
            for each, follower in self.followers.items()
            if held.names(each) and self.is_able(now, follower)
        ]
        ill = frozenset(each for each in self.holders if self.ill(now, self.followers[each]))
        leaving = frozenset(each for each in self.holders if self.followers[each].leaving)
        unwanted = ill | leaving
        if not member.saving.healthy(now) and self.hand_over(now):
            return
        if now < member.reform_at:
            return
        wanted = max(len(record.members) // 2, member.tolerated)  # beside this process
        good = [each for each in able if each not in unwanted]
        change = member.reconfiguration.change(now, self, record)
        if ill and len(good) < len(self.holders):  # one that leaves holds until another can
            unwanted = ill
            good += [
                each
                for each, follower in self.followers.items()
                if held.names(each)
                and each not in ill
                and follower.leaving
                and follower.healthy
                and self.heard_lately(now, follower)
            ]
        # a newcomer may become the holder that takes the place of one that leaves
        if (
            (unwanted and len(good) >= len(self.holders))
            or (len(self.holders) < wanted <= len(good))
            or (change is not None and not ill)
        ):
            member.reform(now, change, unwanted)

    def hand_over(self, now: float) -> bool:
        """To the holder that has most, or else to any member."""
        member = self.member
        heard = [f for i, f in self.followers.items() if self.is_able(now, f) and member.held.names(i)]
        if not heard:
            return False
        heir = max(heard, key=lambda f: (f.durable, f.incarnation in self.holders, f.heard))
        member.hand_over(now, heir.address)
        return True

    def wake_at(self, now: float) -> float:
        if not self.active:
            return float("inf")
        wake = min(self.beat_at, self.leaves.wake_at(self.member.ticked_at))
        if self.member.reform_at > now:
            wake = min(wake, self.member.reform_at)
        for _, _, late in self.open:
            wake = min(wake, late) if late > now else wake
        for incarnation in self.holders:
            follower = self.followers[incarnation]
            if follower.received < follower.sent_to and follower.resend_at > now:
                wake = min(wake, follower.resend_at)
            silent = follower.heard + self.member.timing.silent
            wake = min(wake, silent) if silent > now else wake
        return wake
