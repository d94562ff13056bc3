"""A candidate's way to a new epoch: pre-vote, own promise, prepare, fetch, install."""

from __future__ import annotations

import msgspec

from shedgrade.replication.messages import (
    EpochRecord,
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
        self.installed: set[int] = set()
        self.refusals: set[int] = set()
        self.record: EpochRecord | None = None
        self.change = None
        self.avoid: frozenset[int] = frozenset()
        self.resend_at = self.since = self.prepared = self.ends = self.late_at = self.alive_at = 0.0
        self.best: Promise | None = None
        self.sent: dict[int, float] = {}

    # --- begin and end

    def pre_vote(self, now: float) -> None:
        """Ask whether others miss the primary too: a member cut off one way must not raise the number."""
        self.begin(now, "prevote")
        member, held = self.member, self.member.held
        self.grants = {
            held.incarnation: PreVoteReply(
                held.incarnation, held.founding, 0, True, held.promise[0], None, None
            )
        }
        self.number = member.highest + 1
        self.ends = now + 2 * member.timing.resend  # two that deny each other come at other times then
        self.ask_pre_vote(now)

    def start(self, now: float, change=None, avoid: frozenset[int] = frozenset()) -> None:
        """Raise the number. `change`: members to new members; `avoid`: who should hold nothing."""
        self.begin(now, "promise")
        member, held = self.member, self.member.held
        self.change, self.avoid = change, avoid
        self.number = number = max(member.highest, held.promise[0], held.record.number) + 1
        member.highest = number
        # the own promise is synced before others are asked: a number is never used twice after a loss of
        # power
        held.promise_to(now, number, held.incarnation, lambda at: self.promised(at, number))

    def begin(self, now: float, phase: str) -> None:
        self.phase, self.since, self.ends = phase, now, now + self.member.timing.election
        self.promises, self.grants, self.installed, self.refusals, self.sent = {}, {}, set(), set(), {}
        self.record = self.best = self.change = None
        self.avoid = frozenset()
        self.resend_at = now

    def stop(self) -> None:
        self.phase = ""

    # --- pre-vote

    def ask_pre_vote(self, now: float) -> None:
        held = self.member.held
        self.resend_at = now + self.member.timing.resend
        question = PreVote(held.incarnation, self.number, held.record.number, held.accepted, held.mark[1])
        self.member.broadcast(question, self.grants)

    def pre_vote_reply(self, now: float, sender: str, reply: PreVoteReply) -> None:
        member = self.member
        member.highest = max(member.highest, reply.promised)
        if reply.record is not None:
            member.held.learn(now, reply.record)
        if self.phase != "prevote" or reply.number != self.number:
            return
        if not reply.granted:
            if reply.primary and reply.primary != member.address:
                member.told_primary(now, reply.primary)
            return
        self.grants[reply.incarnation] = reply
        voters = [
            Voter(each.incarnation, member.address_of(each.incarnation, sender), each.founding)
            for each in self.grants.values()
        ]
        if is_quorum(member.held.record, voters):
            self.start(now)

    # --- prepare

    def promised(self, now: float, number: int) -> None:
        """The own promise is synced."""
        held = self.member.held
        if self.phase != "promise" or number != self.number or held.promise != (number, held.incarnation):
            return
        self.phase, self.prepared = "prepare", now
        self.ends = now + self.member.timing.deaf  # who is not heard leaves it to others
        self.promises[held.incarnation] = self.member.own_promise(number)
        self.ask_promises(now)
        self.choose(now)

    def ask_promises(self, now: float) -> None:
        held = self.member.held
        self.resend_at = now + self.member.timing.resend
        self.member.broadcast(Prepare(held.incarnation, self.number, held.record), self.promises)

    def promise(self, now: float, promise: Promise) -> None:
        if self.phase not in ("prepare", "fetch", "install") or promise.number != self.number:
            return
        self.promises[promise.incarnation] = promise
        if self.phase == "prepare":
            self.choose(now)

    def refused(self, now: float, refusal: Refusal) -> None:
        """Another has a higher number: leave it the way for a while."""
        if self.phase not in ("prepare", "fetch", "install") or refusal.number != self.number:
            return
        self.refusals.add(refusal.incarnation)
        members = self.member.held.record.members
        left = sum(peer.incarnation not in self.refusals for peer in members)
        if refusal.promised > self.number or (self.phase == "prepare" and left < majority(members)):
            self.member.step_down(now)

    def choose(self, now: float) -> None:
        """With a quorum: the newest state, the members, the holders."""
        member, held = self.member, self.member.held
        promises = list(self.promises.values())
        base = held.record
        for each in promises:
            base = newest(base, each.record)
        if not is_quorum(base, promises):
            return None
        if self.change is None and base.active:
            self.change = member.reconfiguration.next_lives(now, base)
        groups = self.groups(base, promises)
        able = [each for each in promises if may_hold(groups, each)]
        if not any(each.incarnation == held.incarnation for each in able):
            return self.member.step_down(now)  # this process is none of the members any more
        needed = holder_count(groups, member.tolerated)
        avoid = self.avoid | self.leaving()
        good = [each for each in able if each.incarnation not in avoid]
        waited = now - self.prepared >= member.timing.resend
        if len(good) < needed.wanted and not waited and len(promises) < len(base.members):
            return None  # a better holder may answer yet
        if len(able) < needed.least:
            return None
        best = max(promises, key=lambda p: (p.accepted, p.mark, p.incarnation == held.incarnation))
        rank = {
            each.incarnation: (
                each.incarnation != held.incarnation,
                each.incarnation in avoid,
                each.mark != best.mark,
            )
            for each in able
        }
        able.sort(key=lambda each: rank[each.incarnation])
        holders = tuple(each.incarnation for each in able[: needed.wanted])
        self.record = EpochRecord(self.number, held.incarnation, holders, *groups, False)
        self.best = best
        if (best.accepted, best.mark) == (held.accepted, held.mark):
            self.install(now, held.mark, held.state)
        elif best.mark == held.finished[:2]:  # a witness has it in memory
            self.install(now, best.mark, held.finished[2])
        else:
            self.phase, self.resend_at = "fetch", now
            self.ends = now + member.timing.election + 8.0
            self.fetch(now)
        return None

    def leaving(self) -> frozenset[int]:
        """Voters other than this process that asked for their leave."""
        own = self.member.held.incarnation
        return frozenset(who for who, each in self.promises.items() if each.leaving and who != own)

    def groups(self, base: EpochRecord, promises: list[Promise]) -> Groups:
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
        self.resend_at = now + 4 * self.member.timing.resend
        self.member.send(
            self.member.address_of(self.best.incarnation, self.best.address),
            Fetch(self.number, self.member.held.mark, self.member.held.finished[:2]),
        )

    def transfer(self, now: float, transfer: Transfer) -> None:
        if self.phase == "fetch" and transfer.number == self.number and transfer.mark == self.best.mark:
            state = self.member.held.follow_path(transfer.base, transfer.changes)
            if state is not None:
                self.install(now, transfer.mark, state)

    def install(self, now: float, mark, state) -> None:
        member, held, number = self.member, self.member.held, self.number
        self.phase, self.resend_at = "install", now + member.timing.resend
        allowed = size(state) / member.timing.bytes_per_second
        self.ends = now + member.timing.election + allowed
        self.late_at, self.alive_at = now + member.timing.silent + allowed, now + member.timing.heartbeat
        if mark != held.mark:
            member.lead.abandon(now)  # the orders decided here are not in the chain that goes on
        held.install(
            now,
            self.record,
            mark,
            state,
            {} if mark == held.mark else None,
            lambda at: self.on_installed(at, Installed(held.incarnation, number)),
        )
        for incarnation in self.record.holders:
            if incarnation != held.incarnation:
                self.send_install(now, incarnation)

    def send_install(self, now: float, incarnation: int) -> None:
        held, promise = self.member.held, self.promises[incarnation]
        # a witness has what is finished, in memory
        base, changes = held.path(promise.mark, promise.finished)
        wait = max(self.member.timing.resend, size(changes) / self.member.timing.bytes_per_second)
        self.sent[incarnation] = now + wait * (2 if incarnation in self.sent else 1)
        self.member.send(
            self.member.address_of(incarnation, promise.address),
            Install(self.record, held.mark, base, changes),
        )

    def on_installed(self, now: float, word: Installed) -> None:
        if self.phase != "install" or word.number != self.number:
            return
        self.installed.add(word.incarnation)
        if self.installed.issuperset(self.record.holders):
            record = self.record
            self.stop()
            self.member.lead.begin(now, activated(record), self.leaving())

    # --- time

    def tick(self, now: float) -> None:
        if not self.phase:
            return None
        if now >= self.ends:
            return self.stop() if self.phase == "prevote" else self.member.step_down(now)
        if self.phase == "install":
            for incarnation in self.record.holders:
                if incarnation not in self.installed and now >= self.sent.get(incarnation, now + 1):
                    self.send_install(now, incarnation)
            self.keep_alive(now)
            self.replace_late(now)
        elif now >= self.resend_at:
            if self.phase == "prevote":
                self.ask_pre_vote(now)
            elif self.phase == "prepare":
                self.choose(now)
                if self.phase == "prepare":
                    self.ask_promises(now)
            elif self.phase == "fetch":
                self.fetch(now)
                self.keep_alive(now)
        return None

    def keep_alive(self, now: float) -> None:
        """A long transfer goes on: nobody else should stand meanwhile."""
        if now >= self.alive_at:
            self.alive_at = now + self.member.timing.heartbeat
            held = self.member.held
            self.member.broadcast(Prepare(held.incarnation, self.number, held.record), ())

    def replace_late(self, now: float) -> None:
        """A chosen holder doesn't write: begin again with another, where there is one."""
        late = frozenset(who for who in self.record.holders if who not in self.installed)
        if now < self.late_at or not late:
            return
        others = [who for who in self.promises if who not in self.record.holders and who not in self.avoid]
        if len(others) >= len(late - self.avoid) > 0 and self.member.held.incarnation not in late:
            self.start(now, self.change, self.avoid | late)

    def wake_at(self) -> float:
        if not self.phase:
            return float("inf")
        if self.phase == "install":
            late = [at for who, at in self.sent.items() if who not in self.installed]
            return min([self.ends, self.alive_at, *late])
        return self.ends if self.phase == "promise" else min(self.ends, self.resend_at)


class Voter:
    __slots__ = ("incarnation", "address", "founding")

    def __init__(self, incarnation: int, address: str, founding: bool):
        self.incarnation, self.address, self.founding = incarnation, address, founding
