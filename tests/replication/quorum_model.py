"""Enumerates all outcomes of elections, membership changes, lost disks and late messages.

A state consists of what a few processes have promised, know and hold, and of the epochs formed. Every message
may arrive at any time or never: a promise carries what its sender knew when it was sent, even if the sender's
disk is wiped before the candidate uses it. `replication.quorums` alone decides which steps are allowed. Sets
of processes are bit masks.

Two reductions of the state space: states that differ only by a permutation of equivalent processes count
once, and a candidate uses all promises given to it, since a promise that it left out would only bind the
process that gave it.
"""

from collections import deque
from functools import lru_cache
from itertools import combinations, permutations
from typing import NamedTuple

from shedgrade.replication import quorums
from shedgrade.replication.messages import EpochConfig, Peer


class Voter(NamedTuple):
    incarnation: int
    address: str = ""
    founding: bool = False


class Process(NamedTuple):
    """One process.

    `kind`: processes of one kind are equivalent at the start.
    `known`: (epoch, whether it is known to be active); (0, True) for none.
    `accepted`: the epoch whose state the process holds, 0 for none.
    """

    kind: int
    alive: bool
    promised: int = 0
    known: tuple[int, bool] = (0, True)
    accepted: int = 0


class Epoch(NamedTuple):
    """One epoch.

    `parent`: the epoch whose state it continues.
    `installed`: holders that have reported the epoch as synced.
    `acked`: whether it may have acknowledged changes.
    """

    members: int
    before: int
    holders: int
    parent: int
    installed: int = 0
    active: bool = False
    acked: bool = False


class GivenPromise(NamedTuple):
    """A promise as it was sent: the state of its sender at that time."""

    process: int
    known: tuple[int, bool]
    accepted: int


class State(NamedTuple):
    """Processes are ordered by bit; epochs and promises are indexed by number.

    Index 0 stands for no epoch, index 1 for the first one.
    """

    processes: tuple[Process, ...]
    epochs: tuple[Epoch | None, ...]
    promises: tuple[tuple[GivenPromise, ...], ...]


class Rules:
    """The functions under test. Subclasses inject faults."""

    is_quorum = staticmethod(quorums.is_quorum)
    electorate = staticmethod(quorums.electorate)
    next_groups = staticmethod(quorums.next_groups)
    may_hold = staticmethod(quorums.may_hold)
    holder_count = staticmethod(quorums.holder_count)


def bits(mask):
    return [each for each in range(mask.bit_length()) if mask >> each & 1]


def mask(numbers):
    return sum(1 << each for each in numbers)


def peers(members):
    return tuple(Peer(each + 1, "", f"{each}:1") for each in bits(members))


def config(number, members, before, active):
    """The configuration as a process knows it; once active, the members before no longer count."""
    known = EpochConfig(number, 0, (), peers(members), peers(before), False)
    return quorums.activated(known) if active else known


class Model:
    """The state space for 2t + 1 members.

    `tolerated`: t.
    `non_members`: number of further processes.
    `epochs`: maximum number of epochs, including the first one.
    `replaced`: maximum number of members replaced by one epoch.
    `wipes`: maximum number of disks lost.
    """

    def __init__(self, tolerated, non_members, epochs, wipes=0, replaced=1, rules=Rules):
        self.tolerated, self.wipes, self.replaced, self.rules = tolerated, wipes, replaced, rules
        members = 2 * tolerated + 1
        processes = [
            Process(int(each > tolerated), True, 1, (1, True), int(each <= tolerated))
            for each in range(members)
        ]
        processes += [Process(2, True)] * non_members
        everyone, holders = mask(range(members)), mask(range(tolerated + 1))
        first_epoch = Epoch(everyone, everyone, holders, 0, holders, True, True)
        self.start = State(
            tuple(processes), (None, first_epoch, *(None,) * (epochs - 1)), ((),) * (epochs + 1)
        )
        self.quorum, self.voters = lru_cache(None)(self.quorum), lru_cache(None)(self.voters)
        self.outcomes = lru_cache(None)(self.outcomes)

    # --- the rules, on bit masks

    def quorum(self, members, before, active, promised):
        voters = [Voter(each + 1, f"{each}:1") for each in bits(promised)]
        return self.rules.is_quorum(config(1, members, before, active), voters)

    def voters(self, members, before, active):
        known = config(1, members, before, active)
        return mask(each.incarnation - 1 for each in self.rules.electorate(known))

    def outcomes(self, members, before, active, promised, non_members):
        """Returns (members, before, holders) of all epochs that a candidate may form."""
        base, found = config(1, members, before, active), set()
        for change in self.changes(members, non_members):
            groups = self.rules.next_groups(base, change)
            eligible = [
                each for each in bits(promised) if self.rules.may_hold(groups, Voter(each + 1, f"{each}:1"))
            ]
            needed = self.rules.holder_count(groups, self.tolerated)
            if len(eligible) >= needed.minimum:
                new, old = (mask(each.incarnation - 1 for each in group) for group in groups)
                found.update(
                    (new, old, mask(holders))
                    for holders in combinations(eligible, min(len(eligible), needed.target))
                )
        return sorted(found)

    def changes(self, members, non_members):
        """Yields no change, and each replacement of up to `replaced` members by non-members.

        Any member may be replaced, whether it is silent or not.
        """
        yield None
        for count in range(1, self.replaced + 1):
            for old in combinations(bits(members), count):
                for new in permutations(bits(non_members), count):
                    given = {one + 1: other for one, other in zip(old, new, strict=True)}
                    yield lambda group, given=given: tuple(
                        Peer(given[each.incarnation] + 1, "", f"{given[each.incarnation]}:1")
                        if each.incarnation in given
                        else each
                        for each in group
                    )

    # --- the search

    def explore(self, max_states=10_000_000):
        """Returns the number of states, and the first violation found or None."""
        seen, queue = {self.start}, deque([self.start])
        while queue and len(seen) < max_states:
            for successor in self.steps(queue.popleft()):
                successor = canonical(acknowledge(successor))
                if successor not in seen:
                    seen.add(successor)
                    violation = find_violation(successor)
                    if violation:
                        return len(seen), violation
                    queue.append(successor)
        return len(seen), None

    def steps(self, state):
        for index, process in enumerate(state.processes):
            if process.alive:
                yield from self.promise(state, index, process)
                yield from install(state, index, process)
                yield from learn(state, index, process)
                yield from self.wipe(state, index, process)
        for number in range(2, len(state.epochs)):
            if state.epochs[number] is None:
                yield from self.form(state, number)
            else:
                yield from activate(state, number)

    def promise(self, state, index, process):
        number, active = process.known
        epoch = state.epochs[number]
        if epoch is None or not self.voters(epoch.members, epoch.before, active) >> index & 1:
            return
        for number in range(process.promised + 1, len(state.epochs)):
            if state.epochs[number] is None:
                given = tuple(
                    sorted((*state.promises[number], GivenPromise(index, process.known, process.accepted)))
                )
                bound = process._replace(promised=number)
                yield with_changes(state, process=(index, bound), promises=(number, given))

    def form(self, state, number):
        given = state.promises[number]
        base, active = max((each.known for each in given), default=(0, True))
        promised, epoch = mask(each.process for each in given), state.epochs[base]
        if epoch is None or not self.quorum(epoch.members, epoch.before, active, promised):
            return
        parent = max(each.accepted for each in given)
        non_members = mask(index for index, each in enumerate(state.processes) if each.alive) & ~epoch.members
        for members, before, holders in self.outcomes(
            epoch.members, epoch.before, active, promised, non_members
        ):
            formed = Epoch(members, before, holders, parent)
            yield with_changes(state, epoch=(number, formed), promises=(number, ()))

    def wipe(self, state, index, process):
        """Loses a disk: the incarnation is gone, and a new process takes its place."""
        if process.known[0] and sum(not each.alive for each in state.processes) < self.wipes:
            successor = with_changes(state, process=(index, Process(3, False)))
            yield successor._replace(processes=(*successor.processes, Process(2, True)))


def install(state, index, process):
    for number in range(max(process.promised, 2), len(state.epochs)):
        epoch = state.epochs[number]
        if epoch and epoch.holders >> index & 1 and process.known[0] < number:
            installed = epoch._replace(installed=epoch.installed | 1 << index)
            replica = Process(process.kind, True, number, (number, False), number)
            yield with_changes(state, epoch=(number, installed), process=(index, replica))


def activate(state, number):
    epoch = state.epochs[number]
    if not epoch.active and epoch.installed == epoch.holders:
        yield with_changes(state, epoch=(number, epoch._replace(active=True)))


def learn(state, index, process):
    for number in range(1, len(state.epochs)):
        epoch = state.epochs[number]
        if epoch and epoch.active and process.known < (number, True):
            informed = process._replace(known=(number, True), promised=max(process.promised, number))
            yield with_changes(state, process=(index, informed))


def may_confirm_changes(state, number):
    """Whether all holders of an active epoch would still confirm a change."""
    epoch = state.epochs[number]
    holders = [state.processes[each] for each in bits(epoch.holders)]
    return epoch.active and all(each.alive and each.promised == each.accepted == number for each in holders)


def acknowledge(state):
    for number, epoch in enumerate(state.epochs):
        if epoch and not epoch.acked and may_confirm_changes(state, number):
            state = with_changes(state, epoch=(number, epoch._replace(acked=True)))
    return state


def ancestors(state, number):
    """Returns an epoch and its ancestors, whose state it continues."""
    numbers = set()
    while number:
        numbers.add(number)
        number = state.epochs[number].parent
    return numbers


def find_violation(state):
    """Returns a violation or None.

    A violation is an active epoch that lacks changes acknowledged by an earlier one, or beside which the
    holders of an earlier one still confirm changes.
    """
    for later, epoch in enumerate(state.epochs):
        if epoch and epoch.active:
            for earlier in range(1, later):
                one = state.epochs[earlier]
                if one and one.acked and earlier not in ancestors(state, later):
                    return f"{later} {epoch} lacks {earlier} {one}"
                if one and may_confirm_changes(state, earlier):
                    return f"{earlier} {one} still confirms changes beside {later} {epoch}"
    return None


def with_changes(state, process=None, epoch=None, promises=None):
    """Returns the state with one process, epoch or set of promises replaced, each given as (index, value)."""
    return State(
        *(
            old if new is None else (*old[: new[0]], new[1], *old[new[0] + 1 :])
            for old, new in zip(state, (process, epoch, promises), strict=True)
        )
    )


def canonical(state):
    """Returns the state with equivalent processes in a fixed order."""

    def view(index):
        informed = tuple(
            (number, each.known, each.accepted)
            for number, given in enumerate(state.promises)
            for each in given
            if each.process == index
        )
        parts = tuple(
            tuple(group >> index & 1 for group in (e.members, e.before, e.holders, e.installed))
            for e in state.epochs
            if e
        )
        return state.processes[index], parts, informed

    order = sorted(range(len(state.processes)), key=view)
    new_index = [0] * len(order)
    for at, index in enumerate(order):
        new_index[index] = at
    if new_index == list(range(len(order))):
        return state

    def permuted(members):
        return mask(new_index[each] for each in bits(members))

    epochs = tuple(
        e
        and e._replace(
            members=permuted(e.members),
            before=permuted(e.before),
            holders=permuted(e.holders),
            installed=permuted(e.installed),
        )
        for e in state.epochs
    )
    promises = tuple(
        tuple(sorted(each._replace(process=new_index[each.process]) for each in given))
        for given in state.promises
    )
    return State(tuple(state.processes[index] for index in order), epochs, promises)
