"""Members with one injected fault each, all of which the checkers must find."""

import msgspec

from shedgrade.replication import (
    Answer,
    CommittedState,
    Member,
    ReadResult,
    acceptor,
    candidate,
    command_pipeline,
    messages,
    primary,
    quorums,
)


class MemberWithRoles(Member):
    """A member whose role classes can be replaced in subclasses."""

    Primary = primary.Primary
    Candidate = candidate.Candidate
    Acceptor = acceptor.Acceptor
    Pipeline = command_pipeline.CommandPipeline

    def make_roles(self):
        role = self.Primary(self)
        role.commands = self.Pipeline(role)
        return role, self.Candidate(self), self.Acceptor(self)


class AnswersAfterOwnDiskOnly(MemberWithRoles):
    class Pipeline(command_pipeline.CommandPipeline):
        def advance_commit(self, now):
            holders, self.primary.holders = self.primary.holders, ()
            try:
                super().advance_commit(now)
            finally:
                self.primary.holders = holders


class PromisesBeforeTheSync(MemberWithRoles):
    class Acceptor(acceptor.Acceptor):
        def on_prepare(self, now, sender, prepare):
            replica = self.member.replica
            before = replica.promised_epoch
            super().on_prepare(now, sender, prepare)
            if replica.promised_epoch != before and replica.promised_epoch == (
                prepare.number,
                prepare.incarnation,
            ):
                self.on_promise_durable(sender, prepare.number)


class AcksBeforeTheSync(MemberWithRoles):
    class Acceptor(acceptor.Acceptor):
        def on_replicate(self, now, sender, write):
            super().on_replicate(now, sender, write)
            replica = self.member.replica
            if replica.accepted_epoch == write.epoch and replica.log_position.sequence >= write.sequence:
                durable, replica.durable_position = replica.durable_position, replica.log_position
                self.send_ack(now, sender, write.epoch, 0)
                replica.durable_position = durable


class VotesAfterLosingItsDisk(MemberWithRoles):
    """A member that lost its disk but adopts the incarnation configured for its address."""

    def receive(self, now, sender, message):
        super().receive(now, sender, message)
        for peer in self.replica.epoch_config.members:
            if peer.incarnation and peer.address == self.address:
                self.replica.incarnation = peer.incarnation


class ReadsWithoutConfirmation(MemberWithRoles):
    class Pipeline(command_pipeline.CommandPipeline):
        def read(self, now, ticket):
            self.member.effects.append(Answer(ticket, ReadResult(*self.member.replica.committed)))


class DropsUncommittedChanges(MemberWithRoles):
    """A candidate that continues from its own state and ignores what others have accepted."""

    class Candidate(candidate.Candidate):
        def choose_epoch(self, now):
            replica = self.member.replica
            for who, each in self.promises.items():
                if who != replica.incarnation:
                    self.promises[who] = msgspec.structs.replace(
                        each, accepted_epoch=0, log_position=messages.LogPosition(0, 0)
                    )
            super().choose_epoch(now)


class FoundsAlone(MemberWithRoles):
    """A founder that forms the first epoch without the promises of the others."""

    class Candidate(candidate.Candidate):
        def choose_epoch(self, now):
            if self.member.replica.epoch_config.number:
                return super().choose_epoch(now)
            original = candidate.is_quorum, candidate.holder_count
            candidate.is_quorum = lambda config, voters: True
            candidate.holder_count = lambda groups, tolerated: quorums.HolderCount(1, 1)
            try:
                super().choose_epoch(now)
            finally:
                candidate.is_quorum, candidate.holder_count = original

        def pre_vote(self, now):
            super().pre_vote(now) if self.member.replica.epoch_config.number else self.start(now)


class OldPrimaryIsNotFenced(MemberWithRoles):
    """A backup that still acks messages from the primary of an earlier epoch."""

    class Acceptor(acceptor.Acceptor):
        def ack_old_epoch(self, sender, epoch, sequence, read_index_round):
            replica = self.member.replica
            if epoch < replica.promised_epoch.number:
                self.member.send(
                    sender,
                    messages.Ack(
                        epoch,
                        replica.incarnation,
                        "",
                        read_index_round,
                        sequence,
                        sequence,
                        replica.committed.position,
                        0,
                        epoch,
                        True,
                        False,
                    ),
                )

        def on_heartbeat(self, now, sender, heartbeat):
            super().on_heartbeat(now, sender, heartbeat)
            self.ack_old_epoch(sender, heartbeat.epoch, -1, heartbeat.read_index_round)

        def on_replicate(self, now, sender, write):
            super().on_replicate(now, sender, write)
            self.ack_old_epoch(sender, write.epoch, write.sequence, 0)

        def refuse(self, sender, number):
            if self.member.replica.promised_epoch.number <= number:
                super().refuse(sender, number)


class CountsNewMembersBeforeActivation(MemberWithRoles):
    """New members promise and hold state before the epoch that names them is known to be active."""

    def is_voter(self):
        return True

    class Candidate(candidate.Candidate):
        def choose_epoch(self, now):
            original = candidate.is_quorum
            candidate.is_quorum = lambda config, voters: (
                quorums.count_voting_peers(config.members, voters) >= quorums.majority(config.members)
            )
            try:
                super().choose_epoch(now)
            finally:
                candidate.is_quorum = original

        def member_groups(self, base, promises):
            members, _ = super().member_groups(base, promises)
            return quorums.Groups(members, members)


class AnnouncesUncommitted(MemberWithRoles):
    """A primary that announces a change as committed as soon as it has decided it."""

    class Pipeline(command_pipeline.CommandPipeline):
        def write(self, now, changes, decided):
            super().write(now, changes, decided)
            self.member.replica.commit(self.member.replica.log_position)


class AppliesOlderCommittedState(MemberWithRoles):
    """Committed state is replaced by any other that is received, even by an older one."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        replica = self.replica

        def commit_state(position, state):
            replica.committed = CommittedState(0, 0, {})
            type(replica).commit_state(replica, position, state)

        replica.commit_state = commit_state


class AcksInstallBeforeTheSync(MemberWithRoles):
    """A holder that acks an install before the state is synced."""

    class Acceptor(acceptor.Acceptor):
        def on_install(self, now, sender, install):
            super().on_install(now, sender, install)
            replica = self.member.replica
            if replica.accepted_epoch == install.epoch_config.number:
                self.member.send(sender, messages.Installed(replica.incarnation, replica.accepted_epoch))


class LeavesImmediately(MemberWithRoles):
    """A member that hands over and leaves on SIGTERM, without waiting for others to hold its state."""

    def leave(self, now, timeout_s=None):
        super().leave(now, 0.3)


class GrantsLeaveToHolders(MemberWithRoles):
    """A primary that permits a member to leave though it is one of the holders."""

    class Primary(primary.Primary):
        def __init__(self, member):
            super().__init__(member)
            self.leave_requests.may_leave = lambda now, leaver: True
