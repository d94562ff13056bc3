"""The acceptor role of every member: pre-votes, promises, installs, replicated writes and catch-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication.acknowledgement_times import AcknowledgementTimes
from shedgrade.replication.chunking import CHUNK_BYTES
from shedgrade.replication.messages import (
    Ack,
    CatchUp,
    EpochConfig,
    Fetch,
    HandOver,
    Heartbeat,
    Install,
    Installed,
    LogPosition,
    Prepare,
    PreVote,
    PreVoteReply,
    Refusal,
    Replicate,
    Transfer,
    value_bytes,
)

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

NEVER = float("-inf")


class Acceptor:
    """Answers candidates and the primary on behalf of one member. Times are seconds of the steady clock.

    `granted_to`: incarnation of the candidate whose pre-vote was granted last, 0 if none was.
    `granted_until`: before that time no other candidate is granted a pre-vote.
    `first_granted_at`: by candidate, when it was first granted a pre-vote since a primary was heard or since
    its last Prepare. Empty while a primary is heard.
    `acknowledgement_times`: when the rounds of the current primary were acknowledged.
    """

    def __init__(self, member: Member) -> None:
        """`member`: the member on whose behalf this role answers."""
        self.member = member
        self.granted_to = 0
        self.granted_until = NEVER
        self.first_granted_at: dict[int, float] = {}
        self.acknowledgement_times = AcknowledgementTimes()

    # --- pre-votes

    def on_pre_vote(self, now: float, sender: str, request: PreVote) -> None:
        """Replies whether this member has lost the primary too. A grant is not binding, but it delays this
        member's own election.
        """
        member, replica = self.member, self.member.replica
        granted = self.may_grant(now, sender, request.incarnation)
        if granted:
            timer = member.election_timer
            self.granted_to = request.incarnation
            self.granted_until = now + member.timing.resend_interval_s
            timer.election_at = max(timer.election_at, now + member.timing.candidate_grace_s)
            member.candidate.stop()
        config = replica.epoch_config
        is_newer = config.active and config.number > request.known_epoch
        reply = PreVoteReply(
            replica.incarnation,
            replica.founding,
            request.number,
            granted,
            max(replica.promised_epoch.number, member.highest_epoch_seen),
            member.primary if member.hears_primary(now) else None,
            config if is_newer else None,
        )
        member.send(sender, reply)

    def may_grant(self, now: float, sender: str, candidate: int) -> bool:
        """Whether this member agrees that the candidate may campaign for an epoch."""
        member, replica = self.member, self.member.replica
        return (
            member.is_voter()
            and member.disk_writer.is_healthy(now)
            and not member.is_primary_or_candidate()
            and (not member.hears_primary(now) or candidate == replica.epoch_config.primary)
            and (
                now >= member.election_timer.defer_to_candidate_until
                or candidate == replica.promised_epoch.candidate
            )
            and self.is_preferred(now, candidate, sender)
            and not self.is_fruitless(now, candidate)
        )

    def is_preferred(self, now: float, candidate: int, sender: str) -> bool:
        """Grants one candidate at a time, since two would split the promises.

        Of two candidates that ask each other, the one with the lower rank wins.
        """
        member = self.member
        if member.candidate.is_in_pre_vote():
            own = member.election_timer.rank(member.replica.incarnation, member.address)
            return member.election_timer.rank(candidate, sender) < own
        return now >= self.granted_until or candidate == self.granted_to

    def is_fruitless(self, now: float, candidate: int) -> bool:
        """Whether the candidate was granted pre-votes for `fruitless_candidate_timeout_s` without a Prepare.

        Such a candidate receives no messages: its pre-votes go on for ever without success and prevent an
        election by any other member. It is refused for `fruitless_candidate_ban_s`.
        """
        timing = self.member.timing
        first = self.first_granted_at.setdefault(candidate, now)
        if now - first >= timing.fruitless_candidate_timeout_s + timing.fruitless_candidate_ban_s:
            self.first_granted_at[candidate] = first = now
        return now - first >= timing.fruitless_candidate_timeout_s

    # --- candidates

    def on_prepare(self, now: float, sender: str, prepare: Prepare) -> None:
        """Promises the candidate to accept nothing of an epoch below the one that it campaigns for.

        Refuses if this member has promised a higher epoch, or the same one to another candidate.
        """
        member, replica = self.member, self.member.replica
        if prepare.epoch_config.active:
            member.learn_epoch(now, prepare.epoch_config)
        if not member.is_voter():
            return  # the promise of a process that lost its state or was never a member must not count
        number, candidate = prepare.number, prepare.incarnation
        self.first_granted_at.pop(candidate, None)
        member.highest_epoch_seen = max(member.highest_epoch_seen, number)
        if replica.promised_epoch == (number, candidate):
            if prepare.epoch_config.number == number:
                # the candidate is still active, perhaps in a long transfer
                member.election_timer.defer_to_candidate(now)
            if member.durable_promise == number:
                member.send(sender, member.own_promise(number))
        elif number > replica.promised_epoch.number:
            member.step_down(now)
            member.election_timer.defer_to_candidate(now)
            replica.promise_to(now, number, candidate, lambda at: self.on_promise_durable(sender, number))
        else:
            self.refuse(sender, number)

    def on_promise_durable(self, sender: str, number: int) -> None:
        """Sends a promise once it is synced, unless a higher one was given in the meantime."""
        member = self.member
        if member.replica.promised_epoch.number == number:
            member.durable_promise = number
            member.send(sender, member.own_promise(number))

    def refuse(self, sender: str, number: int) -> None:
        """Tells the sender of a message of epoch `number` that this member promised or knows a higher one."""
        replica = self.member.replica
        promised = replica.promised_epoch.number
        self.member.send(sender, Refusal(replica.incarnation, number, promised, replica.epoch_config))

    def on_fetch(self, now: float, sender: str, fetch: Fetch) -> None:
        """Sends the state to the candidate to which the epoch was promised."""
        replica = self.member.replica
        if replica.promised_epoch.number != fetch.number:
            return
        base, changes = replica.changes_since(fetch.log_position, fetch.committed)
        self.member.send(sender, Transfer(fetch.number, replica.log_position, base, changes))

    def on_install(self, now: float, sender: str, install: Install) -> None:
        """Becomes a holder of a new epoch, and replies once the epoch is synced."""
        member, replica, config = self.member, self.member.replica, install.epoch_config
        if (config.number, config.primary) != replica.promised_epoch and (
            config.number <= replica.promised_epoch.number
        ):
            self.refuse(sender, config.number)
            return
        if replica.accepted_epoch == config.number and replica.epoch_config.number == config.number:
            if replica.installed_epoch == config.number:
                member.send(sender, Installed(replica.incarnation, config.number))
            return
        if replica.epoch_config.number > config.number or replica.incarnation not in config.holders:
            return
        state = replica.apply_delta(install.base, install.changes)
        if state is None:
            return
        changes = install.changes if install.base == replica.log_position else None
        member.step_down(now)
        member.election_timer.note_heard(now)

        def on_durable(at: float) -> None:
            member.send(sender, Installed(replica.incarnation, config.number))

        replica.install_epoch(now, config, install.log_position, state, changes, on_durable)

    # --- the primary

    def on_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        """Follows the primary and acknowledges its read-index round."""
        if self.follow_primary(now, sender, heartbeat.epoch, heartbeat.epoch_config):
            self.commit(heartbeat.epoch, heartbeat.committed)
            # A member whose acks don't reach the primary still hears heartbeats, but is sent no state.
            if self.member.replica.committed.position >= heartbeat.committed:
                self.member.confirm_up_to_date(
                    self.earliest_sending_time(now, heartbeat) - heartbeat.confirmed_ago
                )
            self.send_ack(now, sender, heartbeat.epoch, heartbeat.read_index_round)
            self.acknowledgement_times.record(now, heartbeat.epoch, heartbeat.read_index_round)

    def earliest_sending_time(self, now: float, heartbeat: Heartbeat) -> float:
        """Returns a time before which the heartbeat was not sent.

        A primary of an older version doesn't send `acknowledged_round`: the time of arrival stands in for
        it, although the time that the heartbeat was under way is unknown.
        """
        if heartbeat.acknowledged_round < 0:
            return now - self.member.receive_delay_s
        return self.acknowledgement_times.earliest_sending_time(heartbeat.epoch, heartbeat.acknowledged_round)

    def on_replicate(self, now: float, sender: str, write: Replicate) -> None:
        """Appends the next change of the epoch, as a backup."""
        if not self.follow_primary(now, sender, write.epoch, None):
            return
        replica = self.member.replica
        if replica.accepted_epoch != write.epoch or not replica.is_holder():
            return
        if write.sequence == replica.log_position.sequence + 1:
            replica.append(
                now, write.sequence, write.changes, lambda at: self.send_ack(at, sender, write.epoch, 0)
            )
            # acknowledged before the sync too, since a long write is expensive to send again
            if value_bytes(write.changes) > CHUNK_BYTES:
                self.send_ack(now, sender, write.epoch, 0)
        else:  # the ack tells the primary what was received, and it fills the gap
            self.send_ack(now, sender, write.epoch, 0)
        self.commit(write.epoch, write.committed)

    def on_catch_up(self, now: float, sender: str, catch_up: CatchUp) -> None:
        """Applies committed state, also if a newer epoch has begun.

        What is committed stays committed in each later epoch, so a long transfer remains useful then.
        """
        self.member.replica.apply_committed(catch_up.base, catch_up.log_position, catch_up.changes)
        if self.follow_primary(now, sender, catch_up.epoch, None):
            self.send_ack(now, sender, catch_up.epoch, 0)

    def on_hand_over(self, now: float, sender: str, request: HandOver) -> None:
        """Starts an election, as the primary has asked this member to take over."""
        member = self.member
        if request.epoch == member.replica.epoch_config.number and member.may_campaign(now):
            member.start_election(now)

    def follow_primary(self, now: float, sender: str, epoch: int, config: EpochConfig | None) -> bool:
        """Whether the sender is the primary of the newest known epoch. If so, the primary counts as heard."""
        member, replica = self.member, self.member.replica
        if config is not None and config.number == epoch and epoch >= replica.promised_epoch.number:
            replica.adopt_epoch_config(now, config)
        known_epoch = replica.epoch_config.number
        if epoch < known_epoch or (epoch < replica.promised_epoch.number and replica.is_member()):
            self.refuse(sender, epoch)
            return False
        if epoch > known_epoch:
            # this member lacks the epoch's configuration: the ack says so, and the primary sends it
            self.send_ack(now, sender, epoch, 0)
            return False
        if not replica.epoch_config.active and replica.accepted_epoch != epoch:
            return False
        member.on_primary_heard(now, sender)
        return True

    def commit(self, epoch: int, position: LogPosition) -> None:
        """As a holder of the epoch, marks all changes up to the position as committed."""
        replica = self.member.replica
        if replica.accepted_epoch == epoch and position <= replica.log_position:
            replica.commit(position)

    def send_ack(self, now: float, sender: str, epoch: int, read_index_round: int) -> None:
        """Reports the state of this member to the primary of `epoch`. `read_index_round`: 0 for none."""
        member, replica = self.member, self.member.replica
        is_holder = replica.accepted_epoch == epoch and replica.promised_epoch.number == epoch
        is_installed = is_holder and replica.installed_epoch == epoch
        config = replica.epoch_config
        ack = Ack(
            epoch,
            replica.incarnation,
            member.name,
            read_index_round,
            replica.log_position.sequence if is_holder else -1,
            replica.durable_position.sequence if is_installed else -1,
            replica.committed.position,
            config.number if config.active else 0,
            replica.promised_epoch.number,
            member.disk_writer.is_healthy(now),
            member.is_leaving,
            replica.durable_position,
        )
        member.send(sender, ack)
