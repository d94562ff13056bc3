"""A candidate's way to a new epoch: pre-vote, own promise, prepare, fetch, install."""

from __future__ import annotations

import msgspec

from shedgrade.replication.messages import (
    EpochConfig,
    Fetch,
    Install,
    Installed,
    Peer,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    Refusal,
    Transfer,
    size,
)
from shedgrade.replication.quorums import (
    Groups,
    activated,
    holder_count,
    is_quorum,
    majority,
    may_hold,
    newest,
    next_groups,
)


class Candidate:
    """One attempt at a time. `phase`: "" (none), "prevote", "promise", "prepare", "fetch", "install"."""

    def __init__(self, member):
        self.member = member
        self.phase = ""
        self.number = 0
        self.promises: dict[int, Promise] = {}
        self.grants: dict[int, PreVoteReply] = {}
        self.installed_holders: set[int] = set()
        self.refusals: set[int] = set()
        self.epoch_config: EpochConfig | None = None
        self.change = None
        self.avoid: frozenset[int] = frozenset()
        self.resend_at = self.prepared_at = self.deadline = self.replace_holders_at = self.keep_alive_at = 0.0
        self.best_promise: Promise | None = None
        self.install_resend_at: dict[int, float] = {}

    # --- begin and end

    def pre_vote(self, now: float) -> None:
        """Ask whether others miss the primary too: a member cut off one way must not raise the number."""
        self.begin(now, "prevote")
        member, replica = self.member, self.member.replica
        self.grants = {
            replica.incarnation: PreVoteReply(
                replica.incarnation, replica.founding, 0, True, replica.promised_epoch.number, None, None
            )
        }
        self.number = member.highest_epoch_seen + 1
        self.deadline = (
            now + 2 * member.timing.resend_interval_s
        )  # two that deny each other come at other times then
        self.ask_pre_vote(now)

    def start(self, now: float, change=None, avoid: frozenset[int] = frozenset()) -> None:
        """Raise the number. `change`: members to new members; `avoid`: who should hold nothing."""
        self.begin(now, "promise")
        member, replica = self.member, self.member.replica
        self.change, self.avoid = change, avoid
        self.number = number = (
            max(member.highest_epoch_seen, replica.promised_epoch.number, replica.epoch_config.number) + 1
        )
        member.highest_epoch_seen = number
        # the own promise is synced before others are asked: a number is never used twice after a loss of
        # power
        replica.promise_to(
            now, number, replica.incarnation, lambda at: self.on_own_promise_durable(at, number)
        )

    def begin(self, now: float, phase: str) -> None:
        self.phase, self.started_at, self.deadline = phase, now, now + self.member.timing.election_timeout_s
        self.promises, self.grants, self.installed_holders, self.refusals, self.install_resend_at = (
            {},
            {},
            set(),
            set(),
            {},
        )
        self.epoch_config = self.best_promise = self.change = None
        self.avoid = frozenset()
        self.resend_at = now

    def stop(self) -> None:
        self.phase = ""

    # --- pre-vote

    def ask_pre_vote(self, now: float) -> None:
        replica = self.member.replica
        self.resend_at = now + self.member.timing.resend_interval_s
        question = PreVote(
            replica.incarnation,
            self.number,
            replica.epoch_config.number,
            replica.accepted_epoch,
            replica.log_position.sequence,
        )
        self.member.broadcast(question, self.grants)

    def on_pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        member = self.member
        member.highest_epoch_seen = max(member.highest_epoch_seen, reply.promised_epoch)
        if reply.epoch_config is not None:
            member.replica.adopt_epoch_config(now, reply.epoch_config)
        if self.phase != "prevote" or reply.number != self.number:
            return
        if not reply.granted:
            if reply.primary and reply.primary != member.address:
                member.note_primary_hint(now, reply.primary)
            return
        self.grants[reply.incarnation] = reply
        voters = [
            Voter(each.incarnation, member.address_of(each.incarnation, sender), each.founding)
            for each in self.grants.values()
        ]
        if is_quorum(member.replica.epoch_config, voters):
            self.start(now)

    # --- prepare

    def on_own_promise_durable(self, now: float, number: int) -> None:
        """The own promise is synced."""
        replica = self.member.replica
        if (
            self.phase != "promise"
            or number != self.number
            or replica.promised_epoch != (number, replica.incarnation)
        ):
            return
        self.phase, self.prepared_at = "prepare", now
        self.deadline = now + self.member.timing.majority_timeout_s  # who is not heard leaves it to others
        self.promises[replica.incarnation] = self.member.own_promise(number)
        self.ask_promises(now)
        self.choose_epoch(now)

    def ask_promises(self, now: float) -> None:
        replica = self.member.replica
        self.resend_at = now + self.member.timing.resend_interval_s
        self.member.broadcast(Prepare(replica.incarnation, self.number, replica.epoch_config), self.promises)

    def on_promise(self, now: float, promise: Promise) -> None:
        if self.phase not in ("prepare", "fetch", "install") or promise.number != self.number:
            return
        self.promises[promise.incarnation] = promise
        if self.phase == "prepare":
            self.choose_epoch(now)

    def on_refusal(self, now: float, refusal: Refusal) -> None:
        """Another has a higher number: leave it the way for a while."""
        if self.phase not in ("prepare", "fetch", "install") or refusal.number != self.number:
            return
        self.refusals.add(refusal.incarnation)
        members = self.member.replica.epoch_config.members
        left = sum(peer.incarnation not in self.refusals for peer in members)
        if refusal.promised_epoch > self.number or (self.phase == "prepare" and left < majority(members)):
            self.member.step_down(now)

    def choose_epoch(self, now: float) -> None:
        """With a quorum: the newest state, the members, the holders."""
        member, replica = self.member, self.member.replica
        promises = list(self.promises.values())
        base = replica.epoch_config
        for each in promises:
            base = newest(base, each.epoch_config)
        if not is_quorum(base, promises):
            return
        if self.change is None and base.active:
            self.change = member.reconfiguration.replacements_of_lost_disks(now, base)
        groups = self.member_groups(base, promises)
        eligible = [each for each in promises if may_hold(groups, each)]
        if not any(each.incarnation == replica.incarnation for each in eligible):
            self.member.step_down(now)  # this process is none of the members any more
            return
        needed = holder_count(groups, member.tolerated)
        avoid = self.avoid | self.leaving_voters()
        healthy = [each for each in eligible if each.incarnation not in avoid]
        waited = now - self.prepared_at >= member.timing.resend_interval_s
        if len(healthy) < needed.wanted and not waited and len(promises) < len(base.members):
            return  # a better holder may answer yet
        if len(eligible) < needed.least:
            return
        best = max(
            promises, key=lambda p: (p.accepted_epoch, p.log_position, p.incarnation == replica.incarnation)
        )
        rank = {
            each.incarnation: (
                each.incarnation != replica.incarnation,
                each.incarnation in avoid,
                each.log_position != best.log_position,
            )
            for each in eligible
        }
        eligible.sort(key=lambda each: rank[each.incarnation])
        holders = tuple(each.incarnation for each in eligible[: needed.wanted])
        self.epoch_config = EpochConfig(self.number, replica.incarnation, holders, *groups, False)
        self.best_promise = best
        if (best.accepted_epoch, best.log_position) == (replica.accepted_epoch, replica.log_position):
            self.install(now, replica.log_position, replica.state)
        elif best.log_position == replica.committed.position:  # a witness has it in memory
            self.install(now, best.log_position, replica.committed.state)
        else:
            self.phase, self.resend_at = "fetch", now
            self.deadline = now + member.timing.election_timeout_s + 8.0
            self.fetch(now)

    def leaving_voters(self) -> frozenset[int]:
        """Voters other than this process that asked for their leave."""
        own = self.member.replica.incarnation
        return frozenset(who for who, each in self.promises.items() if each.leaving and who != own)

    def member_groups(self, base: EpochConfig, promises: list[Promise]) -> Groups:
        """Members and those before, founders that were heard filled in."""
        known = dict(self.member.founders)
        known.update((each.address, each.incarnation) for each in promises if each.founding)
        members = tuple(peer if peer.incarnation else self.founder(peer, known) for peer in base.members)
        due = self.change is not None and base.number == self.change.number
        groups = next_groups(msgspec.structs.replace(base, members=members), self.change if due else None)
        return groups._replace(before=base.members) if base.active else groups

    def founder(self, peer: Peer, known: dict[str, int]) -> Peer:
        """A founder that was not heard before is filled in: the same member, by its number."""
        incarnation = known.get(peer.address, 0)
        return Peer(incarnation, self.member.names.get(incarnation, peer.name), peer.address)

    # --- fetch and install

    def fetch(self, now: float) -> None:
        self.resend_at = now + 4 * self.member.timing.resend_interval_s
        self.member.send(
            self.member.address_of(self.best_promise.incarnation, self.best_promise.address),
            Fetch(self.number, self.member.replica.log_position, self.member.replica.committed.position),
        )

    def on_transfer(self, now: float, transfer: Transfer) -> None:
        if (
            self.phase == "fetch"
            and transfer.number == self.number
            and transfer.log_position == self.best_promise.log_position
        ):
            state = self.member.replica.apply_delta(transfer.base, transfer.changes)
            if state is not None:
                self.install(now, transfer.log_position, state)

    def install(self, now: float, position, state) -> None:
        member, replica, number = self.member, self.member.replica, self.number
        self.phase, self.resend_at = "install", now + member.timing.resend_interval_s
        allowed = size(state) / member.timing.bytes_per_second
        self.deadline = now + member.timing.election_timeout_s + allowed
        self.replace_holders_at, self.keep_alive_at = (
            now + member.timing.peer_timeout_s + allowed,
            now + member.timing.heartbeat_interval_s,
        )
        if position != replica.log_position:
            member.primary_role.abandon(now)  # the orders decided here are not in the chain that goes on
        replica.install_epoch(
            now,
            self.epoch_config,
            position,
            state,
            {} if position == replica.log_position else None,
            lambda at: self.on_installed(at, Installed(replica.incarnation, number)),
        )
        for incarnation in self.epoch_config.holders:
            if incarnation != replica.incarnation:
                self.send_install(now, incarnation)

    def send_install(self, now: float, incarnation: int) -> None:
        replica, promise = self.member.replica, self.promises[incarnation]
        # a witness has what is committed, in memory
        base, changes = replica.changes_to_position(promise.log_position, promise.committed)
        wait = max(self.member.timing.resend_interval_s, size(changes) / self.member.timing.bytes_per_second)
        self.install_resend_at[incarnation] = now + wait * (2 if incarnation in self.install_resend_at else 1)
        self.member.send(
            self.member.address_of(incarnation, promise.address),
            Install(self.epoch_config, replica.log_position, base, changes),
        )

    def on_installed(self, now: float, installed: Installed) -> None:
        if self.phase != "install" or installed.number != self.number:
            return
        self.installed_holders.add(installed.incarnation)
        if self.installed_holders.issuperset(self.epoch_config.holders):
            config = self.epoch_config
            self.stop()
            self.member.primary_role.begin(now, activated(config), self.leaving_voters())

    # --- time

    def tick(self, now: float) -> None:
        if not self.phase:
            return
        if now >= self.deadline:
            self.stop() if self.phase == "prevote" else self.member.step_down(now)
            return
        if self.phase == "install":
            for incarnation in self.epoch_config.holders:
                if incarnation not in self.installed_holders and now >= self.install_resend_at.get(
                    incarnation, now + 1
                ):
                    self.send_install(now, incarnation)
            self.keep_alive(now)
            self.replace_late(now)
        elif now >= self.resend_at:
            if self.phase == "prevote":
                self.ask_pre_vote(now)
            elif self.phase == "prepare":
                self.choose_epoch(now)
                if self.phase == "prepare":
                    self.ask_promises(now)
            elif self.phase == "fetch":
                self.fetch(now)
                self.keep_alive(now)

    def keep_alive(self, now: float) -> None:
        """A long transfer goes on: nobody else should stand meanwhile."""
        if now >= self.keep_alive_at:
            self.keep_alive_at = now + self.member.timing.heartbeat_interval_s
            replica = self.member.replica
            self.member.broadcast(Prepare(replica.incarnation, self.number, replica.epoch_config), ())

    def replace_late(self, now: float) -> None:
        """A chosen holder doesn't write: begin again with another, where there is one."""
        late = frozenset(who for who in self.epoch_config.holders if who not in self.installed_holders)
        if now < self.replace_holders_at or not late:
            return
        others = [
            who for who in self.promises if who not in self.epoch_config.holders and who not in self.avoid
        ]
        if len(others) >= len(late - self.avoid) > 0 and self.member.replica.incarnation not in late:
            self.start(now, self.change, self.avoid | late)

    def wake_at(self) -> float:
        if not self.phase:
            return float("inf")
        if self.phase == "install":
            late = [at for who, at in self.install_resend_at.items() if who not in self.installed_holders]
            return min([self.deadline, self.keep_alive_at, *late])
        return self.deadline if self.phase == "promise" else min(self.deadline, self.resend_at)


class Voter:
    __slots__ = ("incarnation", "address", "founding")

    def __init__(self, incarnation: int, address: str, founding: bool):
        self.incarnation, self.address, self.founding = incarnation, address, founding
