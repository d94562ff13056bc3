"""Members with one planted fault each. The checkers must find every one of them."""

import msgspec

from shedgrade.replication import (
    Answer,
    Member,
    Reading,
    acceptor,
    candidate,
    messages,
    primary,
    quorums,
)


class Parted(Member):
    """A member whose parts can be exchanged."""

    Lead, Candidate, Voting = primary.Primary, candidate.Candidate, acceptor.Voting

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)

    def make_parts(self):
        return self.Lead(self), self.Candidate(self), self.Voting(self)


class AnswersAfterOwnDiskOnly(Parted):
    class Lead(primary.Primary):
        def advance(self, now):
            holders, self.holders = self.holders, ()
            try:
                super().advance(now)
            finally:
                self.holders = holders


class PromisesBeforeTheSync(Parted):
    class Voting(acceptor.Voting):
        def prepare(self, now, sender, prepare):
            held = self.member.held
            before = held.promise
            super().prepare(now, sender, prepare)
            if held.promise != before and held.promise == (prepare.number, prepare.incarnation):
                self.promised(sender, prepare.number)


class AcksBeforeTheSync(Parted):
    class Voting(acceptor.Voting):
        def replicate(self, now, sender, write):
            super().replicate(now, sender, write)
            held = self.member.held
            if held.accepted == write.epoch and held.mark[1] >= write.sequence:
                durable, held.durable = held.durable, held.mark
                self.ack(now, sender, write.epoch, 0)
                held.durable = durable


class VotesThoughWiped(Parted):
    """Takes the place that the record names for its address, though its disk was lost."""

    def receive(self, now, sender, message):
        super().receive(now, sender, message)
        for peer in self.held.record.members:
            if peer.incarnation and peer.address == self.address:
                self.held.incarnation = peer.incarnation


class ReadsWithoutConfirmation(Parted):
    class Lead(primary.Primary):
        def read(self, now, ticket):
            self.member.effects.append(Answer(ticket, Reading(*self.member.held.finished)))


class DropsWhatItFindsUnfinished(Parted):
    """A candidate goes on from its own state only."""

    class Candidate(candidate.Candidate):
        def choose(self, now):
            held = self.member.held
            for who, each in self.promises.items():
                if who != held.incarnation:
                    self.promises[who] = msgspec.structs.replace(each, accepted=0, mark=(0, 0))
            super().choose(now)


class FoundsAlone(Parted):
    """A founder does without the word of the others."""

    class Candidate(candidate.Candidate):
        def choose(self, now):
            if self.member.held.record.number:
                return super().choose(now)
            normal = candidate.is_quorum, candidate.holder_count
            candidate.is_quorum = lambda record, voters: True
            candidate.holder_count = lambda groups, tolerated: quorums.HolderCount(1, 1)
            try:
                super().choose(now)
            finally:
                candidate.is_quorum, candidate.holder_count = normal

        def pre_vote(self, now):
            super().pre_vote(now) if self.member.held.record.number else self.start(now)


class OldPrimaryIsNotFenced(Parted):
    """A backup still acks what the primary of an epoch before sends."""

    class Voting(acceptor.Voting):
        def old(self, sender, epoch, sequence, round_):
            held = self.member.held
            if epoch < held.promise[0]:
                self.member.send(
                    sender,
                    messages.Ack(
                        epoch,
                        held.incarnation,
                        "",
                        round_,
                        sequence,
                        sequence,
                        held.finished[:2],
                        0,
                        epoch,
                        True,
                        False,
                    ),
                )

        def heartbeat(self, now, sender, beat):
            super().heartbeat(now, sender, beat)
            self.old(sender, beat.epoch, -1, beat.round)

        def replicate(self, now, sender, write):
            super().replicate(now, sender, write)
            self.old(sender, write.epoch, write.sequence, 0)

        def refuse(self, sender, number):
            if self.member.held.promise[0] <= number:
                super().refuse(sender, number)


class TakesNewcomersAtOnce(Parted):
    """Newcomers promise and hold before it is known that the epoch that names them is active."""

    def is_voter(self):
        return True

    class Candidate(candidate.Candidate):
        def choose(self, now):
            normal = candidate.is_quorum
            candidate.is_quorum = lambda record, voters: (
                quorums.count(record.members, voters) >= quorums.majority(record.members)
            )
            try:
                super().choose(now)
            finally:
                candidate.is_quorum = normal

        def groups(self, base, promises):
            members, _ = super().groups(base, promises)
            return quorums.Groups(members, members)


class TellsUnfinished(Parted):
    """The primary tells the others of a change as soon as it has decided it."""

    class Lead(primary.Primary):
        def write(self, now, changes, replies):
            super().write(now, changes, replies)
            self.member.held.finish(self.member.held.mark)


class TakesAnOlderWord(Parted):
    """Finished state is taken over from whoever speaks last."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        held = self.held

        def finish_with(mark, state):
            held.finished = (0, 0, {})
            type(held).finish_with(held, mark, state)

        held.finish_with = finish_with


class HoldsBeforeInstalled(Parted):
    """A holder says that it has the state before it is synced."""

    class Voting(acceptor.Voting):
        def install(self, now, sender, install):
            super().install(now, sender, install)
            held = self.member.held
            if held.accepted == install.record.number:
                self.member.send(sender, messages.Installed(held.incarnation, held.accepted))


class LeavesAtOnce(Parted):
    """Told to end, it hands over and goes, whoever holds what it holds."""

    def leave(self, now, patience=None):
        super().leave(now, 0.3)


class GrantsLeaveToHolders(Parted):
    """The primary lets a member go though it is one of the holders."""

    class Lead(primary.Primary):
        def __init__(self, member):
            super().__init__(member)
            self.leaves.may_go = lambda now, leaver: True
