"""What every member does for others: promises, pre-votes, installs, writes as a backup, catching up."""

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
    size,
)

if TYPE_CHECKING:
    from shedgrade.replication.member import Member

NEVER = float("-inf")


class Acceptor:
    """A member's part towards candidates and the primary. Times are seconds of the steady clock.

    `granted_to`: the incarnation that the last pre-vote was granted to, 0 if none was; no other one is
    granted a pre-vote before `granted_until`.
    `first_granted`: by candidate, when it was first granted a pre-vote since a primary was heard or it sent a
    Prepare. Empty while a primary is heard.
    `acknowledgement_times`: of the rounds of the primary that is followed.
    """

    def __init__(self, member: Member) -> None:
        """Of the member that answers."""
        self.member = member
        self.granted_to = 0
        self.granted_until = NEVER
        self.first_granted: dict[int, float] = {}
        self.acknowledgement_times = AcknowledgementTimes()

    # --- pre-votes

    def on_pre_vote(self, now: float, sender: str, request: PreVote) -> None:
        """Says whether this member misses the primary too. Binds it to nothing."""
        member, replica = self.member, self.member.replica
        granted = self.may_grant(now, sender, request.incarnation)
        if granted:
            timer = member.election_timer
            self.granted_to = request.incarnation
            self.granted_until = now + member.timing.resend_interval_s
            timer.election_at = max(timer.election_at, now + member.timing.candidate_grace_s)
            member.candidate.stop()
        config = replica.epoch_config
        is_news = config.active and config.number > request.known_epoch
        reply = PreVoteReply(
            replica.incarnation,
            replica.founding,
            request.number,
            granted,
            max(replica.promised_epoch.number, member.highest_epoch_seen),
            member.primary if member.hears_primary(now) else None,
            config if is_news else None,
        )
        member.send(sender, reply)

    def may_grant(self, now: float, sender: str, candidate: int) -> bool:
        """Whether the candidate may try for an epoch, as far as this member can tell."""
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
            and self.prefers(now, candidate, sender)
            and not self.is_fruitless(now, candidate)
        )

    def prefers(self, now: float, candidate: int, sender: str) -> bool:
        """One pre-vote at a time, or two candidates split the promises. Of two that ask each other the first
        in the order wins.
        """
        member = self.member
        if member.candidate.is_asking_pre_votes():
            own = member.election_timer.rank(member.replica.incarnation, member.address)
            return member.election_timer.rank(candidate, sender) < own
        return now >= self.granted_until or candidate == self.granted_to

    def is_fruitless(self, now: float, candidate: int) -> bool:
        """Guards against candidates that hear nobody: their pre-votes come for ever, succeed never, and keep
        all others from an election. Each is refused for a while when its grants have led to nothing.
        """
        timing = self.member.timing
        first = self.first_granted.setdefault(candidate, now)
        if now - first >= timing.fruitless_candidate_timeout_s + timing.fruitless_candidate_ban_s:
            self.first_granted[candidate] = first = now
        return now - first >= timing.fruitless_candidate_timeout_s

    # --- candidates

    def on_prepare(self, now: float, sender: str, prepare: Prepare) -> None:
        """Promises the candidate to accept nothing of a lower epoch, unless a higher one is promised."""
        member, replica = self.member, self.member.replica
        if prepare.epoch_config.active:
            member.learn_epoch(now, prepare.epoch_config)
        if not member.is_voter():
            return  # a process that has forgotten, or was never named: its promise must not count
        number, candidate = prepare.number, prepare.incarnation
        self.first_granted.pop(candidate, None)
        member.highest_epoch_seen = max(member.highest_epoch_seen, number)
        if replica.promised_epoch == (number, candidate):
            if prepare.epoch_config.number == number:
                member.election_timer.defer_to_candidate(now)  # at work, perhaps on a long transfer
            if member.durable_promise == number:
                member.send(sender, member.own_promise(number))
        elif number > replica.promised_epoch.number:
            member.step_down(now)
            member.election_timer.defer_to_candidate(now)
            replica.promise_to(now, number, candidate, lambda at: self.on_promise_durable(sender, number))
        else:
            self.refuse(sender, number)

    def on_promise_durable(self, sender: str, number: int) -> None:
        """A promise is synced: it may be sent, unless a higher one was given meanwhile."""
        member = self.member
        if member.replica.promised_epoch.number == number:
            member.durable_promise = number
            member.send(sender, member.own_promise(number))

    def refuse(self, sender: str, number: int) -> None:
        """Tells who acts in the epoch `number` that a newer one is promised or known here."""
        replica = self.member.replica
        promised = replica.promised_epoch.number
        self.member.send(sender, Refusal(replica.incarnation, number, promised, replica.epoch_config))

    def on_fetch(self, now: float, sender: str, fetch: Fetch) -> None:
        """Sends the state to the candidate that was promised the epoch."""
        replica = self.member.replica
        if replica.promised_epoch.number != fetch.number:
            return
        base, changes = replica.changes_since(fetch.log_position, fetch.committed)
        self.member.send(sender, Transfer(fetch.number, replica.log_position, base, changes))

    def on_install(self, now: float, sender: str, install: Install) -> None:
        """Becomes a holder of a new epoch, and says so once that is synced."""
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
        """Follows the primary, and acknowledges its read-index round."""
        if self.follow_primary(now, sender, heartbeat.epoch, heartbeat.epoch_config):
            self.commit(heartbeat.epoch, heartbeat.committed)
            # One whose acks don't reach the primary hears heartbeats, and is sent no state.
            if self.member.replica.committed.position >= heartbeat.committed:
                self.member.confirm_up_to_date(self.sent_after(now, heartbeat) - heartbeat.confirmed_ago)
            self.send_ack(now, sender, heartbeat.epoch, heartbeat.read_index_round)
            self.acknowledgement_times.note(now, heartbeat.epoch, heartbeat.read_index_round)

    def sent_after(self, now: float, heartbeat: Heartbeat) -> float:
        """The heartbeat was not sent before that time. Of an older version's, which doesn't say what reached
        its sender, it is the time of arrival: its time under way is not told.
        """
        if heartbeat.acknowledged_round < 0:
            return now - self.member.receive_delay_s
        return self.acknowledgement_times.sent_after(heartbeat.epoch, heartbeat.acknowledged_round)

    def on_replicate(self, now: float, sender: str, write: Replicate) -> None:
        """Writes the next change of the epoch as a backup."""
        if not self.follow_primary(now, sender, write.epoch, None):
            return
        replica = self.member.replica
        if replica.accepted_epoch != write.epoch or not replica.is_holder():
            return
        if write.sequence == replica.log_position.sequence + 1:
            replica.append(
                now, write.sequence, write.changes, lambda at: self.send_ack(at, sender, write.epoch, 0)
            )
            if size(write.changes) > CHUNK_BYTES:  # expensive to send again while the disk is at work
                self.send_ack(now, sender, write.epoch, 0)
        else:  # a gap is filled by the primary, which hears what was received
            self.send_ack(now, sender, write.epoch, 0)
        self.commit(write.epoch, write.committed)

    def on_catch_up(self, now: float, sender: str, catch_up: CatchUp) -> None:
        """Takes over the committed state. It stays committed in each later epoch: a long transfer is not in
        vain when one begins.
        """
        self.member.replica.apply_committed(catch_up.base, catch_up.log_position, catch_up.changes)
        if self.follow_primary(now, sender, catch_up.epoch, None):
            self.send_ack(now, sender, catch_up.epoch, 0)

    def on_hand_over(self, now: float, sender: str, request: HandOver) -> None:
        """The primary asks this member to take over."""
        member = self.member
        if request.epoch == member.replica.epoch_config.number and member.may_campaign(now):
            member.start_election(now)

    def follow_primary(self, now: float, sender: str, epoch: int, config: EpochConfig | None) -> bool:
        """Whether the sender is the primary of the newest epoch that is known here."""
        member, replica = self.member, self.member.replica
        if config is not None and config.number == epoch and epoch >= replica.promised_epoch.number:
            replica.adopt_epoch_config(now, config)
        known_epoch = replica.epoch_config.number
        if epoch < known_epoch or (epoch < replica.promised_epoch.number and replica.is_member()):
            self.refuse(sender, epoch)
            return False
        if epoch > known_epoch:
            # the configuration is not here yet: the ack says so, and the primary sends it
            self.send_ack(now, sender, epoch, 0)
            return False
        if not replica.epoch_config.active and replica.accepted_epoch != epoch:
            return False
        member.on_primary_heard(now, sender)
        return True

    def commit(self, epoch: int, position: LogPosition) -> None:
        """As a holder of the epoch: the primary says that all up to the position is committed."""
        replica = self.member.replica
        if replica.accepted_epoch == epoch and position <= replica.log_position:
            replica.commit(position)

    def send_ack(self, now: float, sender: str, epoch: int, read_index_round: int) -> None:
        """Tells the primary of `epoch` what this member has. `read_index_round`: 0 for none."""
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
