"""What every member does for others: promises, pre-votes, installs, writes as a backup, what it learns."""

from __future__ import annotations

from shedgrade.replication.chunking import PIECE
from shedgrade.replication.messages import (
    Ack,
    Fetch,
    HandOver,
    Heartbeat,
    Install,
    Installed,
    Learn,
    Prepare,
    PreVote,
    PreVoteReply,
    Refusal,
    Replicate,
    Transfer,
    size,
)


class Voting:
    """A member's part towards candidates and the primary."""

    def __init__(self, member):
        self.member = member
        self.granted, self.granted_until = 0, float("-inf")  # the last pre-vote
        self.first_granted: dict[int, float] = {}  # by candidate, since a primary or its Prepare was heard

    # --- candidates

    def prefers(self, now: float, candidate: int, sender: str) -> bool:
        """One pre-vote at a time, or two candidates split the promises. Of two that ask each other the
        first in the order wins."""
        member = self.member
        if member.candidate.phase == "prevote":
            own = member.rank(member.held.incarnation, member.address)
            return member.rank(candidate, sender) < own
        return now >= self.granted_until or candidate == self.granted

    def fruitless(self, now: float, candidate: int) -> bool:
        """Guards against candidates that hear nobody: their pre-votes come for ever, succeed never, and keep
        all others from an election. Each is refused for a while when its grants have led to nothing."""
        first = self.first_granted.setdefault(candidate, now)
        if now - first >= self.member.timing.fruitless + self.member.timing.refused:
            self.first_granted[candidate] = first = now
        return now - first >= self.member.timing.fruitless

    def pre_vote(self, now: float, sender: str, question: PreVote) -> None:
        member, held = self.member, self.member.held
        granted = (
            member.is_voter()
            and member.saving.healthy(now)
            and not member.acts()
            and (not member.hears_primary(now) or question.incarnation == held.record.primary)
            and (now >= member.candidate_until or question.incarnation == held.promise[1])
            and self.prefers(now, question.incarnation, sender)
            and not self.fruitless(now, question.incarnation)
        )
        if granted:
            self.granted, self.granted_until = question.incarnation, now + member.timing.resend
            member.stand_at = max(member.stand_at, now + member.timing.quiet)
            member.candidate.stop()
        record = held.record if held.record.active and held.record.number > question.record else None
        primary = member.primary if member.hears_primary(now) else None
        member.send(
            sender,
            PreVoteReply(
                held.incarnation,
                held.founding,
                question.number,
                granted,
                max(held.promise[0], member.highest),
                primary,
                record,
            ),
        )

    def prepare(self, now: float, sender: str, prepare: Prepare) -> None:
        member, held = self.member, self.member.held
        if prepare.record.active:
            held.learn(now, prepare.record)
        if not member.is_voter():
            return  # a process that has forgotten, or was never named: its word must not count
        number, candidate = prepare.number, prepare.incarnation
        self.first_granted.pop(candidate, None)
        member.highest = max(member.highest, number)
        if held.promise == (number, candidate):
            if prepare.record.number == number:
                member.candidate_until = now + member.timing.quiet  # at work, perhaps on a long transfer
            if member.promised == number:
                member.send(sender, member.own_promise(number))
        elif number > held.promise[0]:
            member.step_down(now)
            member.candidate_until = now + member.timing.quiet  # let it have its try
            held.promise_to(now, number, candidate, lambda at: self.promised(sender, number))
        else:
            self.refuse(sender, number)

    def promised(self, sender: str, number: int) -> None:
        held = self.member.held
        if held.promise[0] == number:
            self.member.promised = number
            self.member.send(sender, self.member.own_promise(number))

    def refuse(self, sender: str, number: int) -> None:
        held = self.member.held
        self.member.send(sender, Refusal(held.incarnation, number, held.promise[0], held.record))

    def fetch(self, now: float, sender: str, fetch: Fetch) -> None:
        held = self.member.held
        if held.promise[0] != fetch.number:
            return
        base, changes = held.path(fetch.mark, fetch.finished)
        self.member.send(sender, Transfer(fetch.number, held.mark, base, changes))

    def install(self, now: float, sender: str, install: Install) -> None:
        member, held, record = self.member, self.member.held, install.record
        if record.number < held.promise[0] or (
            record.number == held.promise[0] and record.primary != held.promise[1]
        ):
            return self.refuse(sender, record.number)
        if held.accepted == record.number and held.record.number == record.number:
            if held.installed == record.number:
                member.send(sender, Installed(held.incarnation, record.number))
            return None
        if held.record.number > record.number or held.incarnation not in record.holders:
            return None
        state = held.follow_path(install.base, install.changes)
        if state is None:
            return None
        changes = install.changes if install.base == held.mark else None
        member.step_down(now)
        member.heard_at = now

        def done(at: float) -> None:
            member.send(sender, Installed(held.incarnation, record.number))

        held.install(now, record, install.mark, state, changes, done)
        return None

    # --- the primary

    def heartbeat(self, now: float, sender: str, beat: Heartbeat) -> None:
        if self.follow(now, sender, beat.epoch, beat.record):
            self.finish(beat.epoch, beat.finished)
            # One whose word doesn't reach the primary hears heartbeats, and is told no state.
            if self.member.held.finished[:2] >= beat.finished:
                self.member.confirmed(now - self.member.unread_s - beat.confirmed_ago)
            self.ack(now, sender, beat.epoch, beat.round)

    def replicate(self, now: float, sender: str, write: Replicate) -> None:
        if not self.follow(now, sender, write.epoch, None):
            return
        held = self.member.held
        if held.accepted != write.epoch or not held.is_holder():
            return
        if write.sequence == held.mark[1] + 1:
            held.write(now, write.sequence, write.changes, lambda at: self.ack(at, sender, write.epoch, 0))
            if size(write.changes) > PIECE:  # dear to send again while the disk is at work
                self.ack(now, sender, write.epoch, 0)
        else:  # a gap is filled by the primary, which hears what was received
            self.ack(now, sender, write.epoch, 0)
        self.finish(write.epoch, write.finished)

    def learn(self, now: float, sender: str, learn: Learn) -> None:
        # what is finished stays so in each later epoch: a long transfer is not in vain when one begins
        self.member.held.learn_finished(learn.base, learn.mark, learn.changes)
        if self.follow(now, sender, learn.epoch, None):
            self.ack(now, sender, learn.epoch, 0)

    def follow(self, now: float, sender: str, epoch: int, record) -> bool:
        """Whether the sender is the primary of the newest epoch that is known here."""
        member, held = self.member, self.member.held
        if record is not None and record.number == epoch and epoch >= held.promise[0]:
            held.learn(now, record)
        if epoch < held.record.number or (epoch < held.promise[0] and held.is_member()):
            self.refuse(sender, epoch)
            return False
        if epoch > held.record.number:
            # the record is not here yet: the ack says so, and the primary sends it
            self.ack(now, sender, epoch, 0)
            return False
        if not held.record.active and held.accepted != epoch:
            return False
        member.follows(now, sender, epoch)
        return True

    def finish(self, epoch: int, mark) -> None:
        held = self.member.held
        if held.accepted == epoch and mark <= held.mark:
            held.finish(mark)

    def ack(self, now: float, sender: str, epoch: int, round_: int) -> None:
        member, held = self.member, self.member.held
        holder = held.accepted == epoch and held.promise[0] == epoch
        member.send(
            sender,
            Ack(
                epoch,
                held.incarnation,
                member.name,
                round_,
                held.mark[1] if holder else -1,
                held.durable[1] if holder and held.installed == epoch else -1,
                held.finished[:2],
                held.record.number if held.record.active else 0,
                held.promise[0],
                member.saving.healthy(now),
                member.leaving,
                held.durable,
            ),
        )

    def hand_over(self, now: float, sender: str, word: HandOver) -> None:
        member = self.member
        if word.epoch == member.held.record.number and member.may_stand(now):
            member.stand(now)
