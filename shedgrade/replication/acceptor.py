"""What every member does for others: promises, pre-votes, installs, writes as a backup, what it learns."""

from __future__ import annotations

from shedgrade.replication.chunking import CHUNK_BYTES
from shedgrade.replication.messages import (
    Ack,
    CatchUp,
    Fetch,
    HandOver,
    Heartbeat,
    Install,
    Installed,
    Prepare,
    PreVote,
    PreVoteReply,
    Refusal,
    Replicate,
    Transfer,
    size,
)


class Acceptor:
    """A member's part towards candidates and the primary."""

    def __init__(self, member):
        self.member = member
        self.granted_to, self.granted_until = 0, float("-inf")  # the last pre-vote
        self.first_granted: dict[int, float] = {}  # by candidate, since a primary or its Prepare was heard

    # --- candidates

    def prefers(self, now: float, candidate: int, sender: str) -> bool:
        """One pre-vote at a time, or two candidates split the promises. Of two that ask each other the
        first in the order wins."""
        member = self.member
        if member.candidate.phase == "prevote":
            own = member.rank(member.replica.incarnation, member.address)
            return member.rank(candidate, sender) < own
        return now >= self.granted_until or candidate == self.granted_to

    def is_fruitless(self, now: float, candidate: int) -> bool:
        """Guards against candidates that hear nobody: their pre-votes come for ever, succeed never, and keep
        all others from an election. Each is refused for a while when its grants have led to nothing."""
        first = self.first_granted.setdefault(candidate, now)
        if (
            now - first
            >= self.member.timing.fruitless_candidate_timeout_s + self.member.timing.fruitless_candidate_ban_s
        ):
            self.first_granted[candidate] = first = now
        return now - first >= self.member.timing.fruitless_candidate_timeout_s

    def on_pre_vote(self, now: float, sender: str, request: PreVote) -> None:
        member, replica = self.member, self.member.replica
        granted = (
            member.is_voter()
            and member.disk_writer.is_healthy(now)
            and not member.is_primary_or_candidate()
            and (not member.hears_primary(now) or request.incarnation == replica.epoch_config.primary)
            and (
                now >= member.defer_to_candidate_until
                or request.incarnation == replica.promised_epoch.candidate
            )
            and self.prefers(now, request.incarnation, sender)
            and not self.is_fruitless(now, request.incarnation)
        )
        if granted:
            self.granted_to, self.granted_until = request.incarnation, now + member.timing.resend_interval_s
            member.election_at = max(member.election_at, now + member.timing.candidate_grace_s)
            member.candidate.stop()
        config = (
            replica.epoch_config
            if replica.epoch_config.active and replica.epoch_config.number > request.known_epoch
            else None
        )
        primary = member.primary if member.hears_primary(now) else None
        member.send(
            sender,
            PreVoteReply(
                replica.incarnation,
                replica.founding,
                request.number,
                granted,
                max(replica.promised_epoch.number, member.highest_epoch_seen),
                primary,
                config,
            ),
        )

    def on_prepare(self, now: float, sender: str, prepare: Prepare) -> None:
        member, replica = self.member, self.member.replica
        if prepare.epoch_config.active:
            replica.adopt_epoch_config(now, prepare.epoch_config)
        if not member.is_voter():
            return  # a process that has forgotten, or was never named: its word must not count
        number, candidate = prepare.number, prepare.incarnation
        self.first_granted.pop(candidate, None)
        member.highest_epoch_seen = max(member.highest_epoch_seen, number)
        if replica.promised_epoch == (number, candidate):
            if prepare.epoch_config.number == number:
                member.defer_to_candidate_until = (
                    now + member.timing.candidate_grace_s
                )  # at work, perhaps on a long transfer
            if member.durable_promise == number:
                member.send(sender, member.own_promise(number))
        elif number > replica.promised_epoch.number:
            member.step_down(now)
            member.defer_to_candidate_until = now + member.timing.candidate_grace_s  # let it have its try
            replica.promise_to(now, number, candidate, lambda at: self.on_promise_durable(sender, number))
        else:
            self.refuse(sender, number)

    def on_promise_durable(self, sender: str, number: int) -> None:
        replica = self.member.replica
        if replica.promised_epoch.number == number:
            self.member.durable_promise = number
            self.member.send(sender, self.member.own_promise(number))

    def refuse(self, sender: str, number: int) -> None:
        replica = self.member.replica
        self.member.send(
            sender, Refusal(replica.incarnation, number, replica.promised_epoch.number, replica.epoch_config)
        )

    def on_fetch(self, now: float, sender: str, fetch: Fetch) -> None:
        replica = self.member.replica
        if replica.promised_epoch.number != fetch.number:
            return
        base, changes = replica.changes_to_position(fetch.log_position, fetch.committed)
        self.member.send(sender, Transfer(fetch.number, replica.log_position, base, changes))

    def on_install(self, now: float, sender: str, install: Install) -> None:
        member, replica, config = self.member, self.member.replica, install.epoch_config
        if config.number < replica.promised_epoch.number or (
            config.number == replica.promised_epoch.number
            and config.primary != replica.promised_epoch.candidate
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
        member.last_heard_at = now

        def done(at: float) -> None:
            member.send(sender, Installed(replica.incarnation, config.number))

        replica.install_epoch(now, config, install.log_position, state, changes, done)

    # --- the primary

    def on_heartbeat(self, now: float, sender: str, heartbeat: Heartbeat) -> None:
        if self.follow_primary(now, sender, heartbeat.epoch, heartbeat.epoch_config):
            self.commit(heartbeat.epoch, heartbeat.committed)
            # One whose word doesn't reach the primary hears heartbeats, and is told no state.
            if self.member.replica.committed.position >= heartbeat.committed:
                self.member.confirm_up_to_date(now - self.member.receive_delay_s - heartbeat.confirmed_ago)
            self.send_ack(now, sender, heartbeat.epoch, heartbeat.read_index_round)

    def on_replicate(self, now: float, sender: str, write: Replicate) -> None:
        if not self.follow_primary(now, sender, write.epoch, None):
            return
        replica = self.member.replica
        if replica.accepted_epoch != write.epoch or not replica.is_holder():
            return
        if write.sequence == replica.log_position.sequence + 1:
            replica.append(
                now, write.sequence, write.changes, lambda at: self.send_ack(at, sender, write.epoch, 0)
            )
            if size(write.changes) > CHUNK_BYTES:  # dear to send again while the disk is at work
                self.send_ack(now, sender, write.epoch, 0)
        else:  # a gap is filled by the primary, which hears what was received
            self.send_ack(now, sender, write.epoch, 0)
        self.commit(write.epoch, write.committed)

    def on_catch_up(self, now: float, sender: str, catch_up: CatchUp) -> None:
        # what is committed stays so in each later epoch: a long transfer is not in vain when one begins
        self.member.replica.apply_committed(catch_up.base, catch_up.log_position, catch_up.changes)
        if self.follow_primary(now, sender, catch_up.epoch, None):
            self.send_ack(now, sender, catch_up.epoch, 0)

    def follow_primary(self, now: float, sender: str, epoch: int, config) -> bool:
        """Whether the sender is the primary of the newest epoch that is known here."""
        member, replica = self.member, self.member.replica
        if config is not None and config.number == epoch and epoch >= replica.promised_epoch.number:
            replica.adopt_epoch_config(now, config)
        if epoch < replica.epoch_config.number or (
            epoch < replica.promised_epoch.number and replica.is_member()
        ):
            self.refuse(sender, epoch)
            return False
        if epoch > replica.epoch_config.number:
            # the config is not here yet: the ack says so, and the primary sends it
            self.send_ack(now, sender, epoch, 0)
            return False
        if not replica.epoch_config.active and replica.accepted_epoch != epoch:
            return False
        member.on_primary_heard(now, sender, epoch)
        return True

    def commit(self, epoch: int, position) -> None:
        replica = self.member.replica
        if replica.accepted_epoch == epoch and position <= replica.log_position:
            replica.commit(position)

    def send_ack(self, now: float, sender: str, epoch: int, read_index_round: int) -> None:
        member, replica = self.member, self.member.replica
        holder = replica.accepted_epoch == epoch and replica.promised_epoch.number == epoch
        member.send(
            sender,
            Ack(
                epoch,
                replica.incarnation,
                member.name,
                read_index_round,
                replica.log_position.sequence if holder else -1,
                replica.durable_position.sequence if holder and replica.installed_epoch == epoch else -1,
                replica.committed.position,
                replica.epoch_config.number if replica.epoch_config.active else 0,
                replica.promised_epoch.number,
                member.disk_writer.is_healthy(now),
                member.leaving,
                replica.durable_position,
            ),
        )

    def on_hand_over(self, now: float, sender: str, request: HandOver) -> None:
        member = self.member
        if request.epoch == member.replica.epoch_config.number and member.may_campaign(now):
            member.start_election(now)
