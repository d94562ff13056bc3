"""Singleton roles in simulated time, by seed. Invariants are checked after each step, and the history of won
terms at the end.
"""

import heapq
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.controlplane import role_election
from shedgrade.controlplane.role_messages import (
    Acknowledgement,
    Heartbeat,
    Message,
    RoleAcquired,
    RoleHolder,
    RoleLost,
    RoleReleased,
    Send,
    VoteRequest,
    VoteResponse,
)
from shedgrade.controlplane.singleton_roles import SingletonRoles

POLL_ROLE = "discovery"
START_TENTHS = 10_000_000  # tenths of a second since 1970 at the start of each simulation
codec = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


class RoleSimulation:
    """Members, and a network with delays, losses and one-way cuts.

    Attributes:
        delay: the minimum and maximum one-way delay, in s.
        loss: the share of messages that are lost.
        cut: pairs of (sender, receiver) whose messages are lost.
        history: (time, member, instruction) of each instruction that is not a message.
        stopped: members whose process is stopped; their clock goes on.
    """

    roles_class = SingletonRoles
    duplicate_rate = 0.02  # share of messages that are delivered twice

    def __init__(self, seed, count=3, delay=(0.03, 0.06), loss=0.0, roles=(POLL_ROLE,)):
        self.random, self.delay, self.loss, self.roles = Random(seed), delay, loss, roles
        self.now, self.event_number, self.events = 50.0, 0, []
        self.names = tuple(f"10.0.0.{i}:7300" for i in range(1, count + 1))
        self.cut, self.members, self.history = set(), {}, []
        self.stopped = set()
        for name in self.names:
            self.start(name)

    def start(self, name):
        self.members[name] = self.roles_class(
            name,
            lambda: self.names,
            Random(self.random.random()),
            self.now,
            self.roles,
            START_TENTHS + int(10 * self.now),
        )

    def kill(self, name):
        self.members.pop(name, None)

    def carry_out(self, name):
        member = self.members[name]
        instructions, member.instructions[:] = tuple(member.instructions), ()
        for instruction in instructions:
            if not isinstance(instruction, Send):
                self.history.append((self.now, name, instruction))
                continue
            if self.random.random() >= self.loss and (name, instruction.address) not in self.cut:
                data = codec[0].encode(instruction.message)
                for _ in range(1 + (self.random.random() < self.duplicate_rate)):
                    self.event_number += 1
                    at = self.now + self.random.uniform(*self.delay)
                    heapq.heappush(self.events, (at, self.event_number, instruction.address, name, data))

    def running(self):
        return [name for name in self.members if name not in self.stopped]

    def step(self, until):
        """Handles the next event, or advances the time to `until`."""
        wake_at, who = min(
            ((self.members[name].wake_at(), name) for name in self.running()), default=(until, "")
        )
        if self.events and self.events[0][0] <= min(wake_at, until):
            self.now, _, to, sender, data = heapq.heappop(self.events)
            if to in self.stopped:
                heapq.heappush(self.events, (self.now + 0.05, self.event_number, to, sender, data))
                self.event_number += 1
            elif to in self.members and (sender, to) not in self.cut:
                self.members[to].receive(self.now, sender, codec[1].decode(data))
                self.carry_out(to)
        elif wake_at <= until:
            self.now = max(self.now, wake_at) + self.random.uniform(0, 0.002)
            self.members[who].tick(self.now)
            self.carry_out(who)
        else:
            self.now = until
        self.check()

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.step(until)

    def holders(self, role=POLL_ROLE):
        return [name for name in self.running() if self.members[name].is_held(role, self.now)]

    def run_until_held(self, timeout_s, excluded=()):
        """Runs until the role is held by a member not in `excluded`; returns how long that took, in s."""
        start = self.now
        while not set(self.holders()) - set(excluded):
            assert self.now < start + timeout_s, f"vacant for {timeout_s} s"
            self.step(start + timeout_s)
        return self.now - start

    def check(self):
        for role in self.roles:
            assert len(self.holders(role)) <= 1, f"two hold {role} at {self.now}"
        if self.roles_class is SingletonRoles:  # a planted fault must be found by its effects
            for member in self.members.values():
                member.check_invariants()

    def won_terms(self, role=POLL_ROLE):
        """Returns the terms that were won; checks that each was won once and that they grow over time."""
        won = [
            instruction.term
            for _, _, instruction in self.history
            if isinstance(instruction, RoleAcquired) and instruction.role == role
        ]
        assert won == sorted(set(won))
        return won


@pytest.mark.parametrize("count", [1, 2, 3, 5])
def test_a_role_is_won_soon_after_the_start_and_kept_without_faults(count):
    for seed in range(10):
        simulation = RoleSimulation(seed, count)
        simulation.run_until_held(3.0)
        simulation.run(60)
        assert len(simulation.history) == 1 and len(simulation.won_terms()) == 1
        [holder] = simulation.holders()
        for name in simulation.names:
            assert simulation.members[name].holder(POLL_ROLE) == RoleHolder(holder, simulation.won_terms()[0])
            assert simulation.members[name].holder(POLL_ROLE, simulation.now) == RoleHolder(
                holder, simulation.won_terms()[0]
            )
            if name != holder:
                assert (
                    simulation.members[name].holder(
                        POLL_ROLE, simulation.now + role_election.HOLDER_TIMEOUT_S
                    )
                    is None
                )


@pytest.mark.parametrize("count", [3, 5])
def test_a_vacancy_is_filled_within_two_seconds_with_any_minority_lost(count):
    durations_s = []
    for seed in range(40):
        simulation = RoleSimulation(seed, count, delay=(0.035, 0.075), loss=0.01)
        simulation.run_until_held(4.0)
        simulation.run(simulation.random.uniform(1, 3))
        others = [name for name in simulation.names if name not in simulation.holders()]
        lost = (simulation.holders() + simulation.random.sample(others, len(others)))[: count // 2]
        for name in lost:
            simulation.kill(name)
        durations_s.append(simulation.run_until_held(4.0))
        simulation.won_terms()
    durations_s.sort()
    assert durations_s[len(durations_s) * 9 // 10] < 2.0 and durations_s[-1] < 3.0


def test_a_holder_that_resigns_is_replaced_at_once_and_never_campaigns_again():
    for seed in range(20):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        simulation.members[first].resign(simulation.now)
        simulation.carry_out(first)
        assert not simulation.holders() and simulation.run_until_held(0.6) < 0.6
        for name in simulation.names:
            simulation.members[name].resign(simulation.now)
            simulation.carry_out(name)
        simulation.run(5)
        assert not simulation.holders()
        assert all(member.wake_at() == float("inf") for member in simulation.members.values())


def test_a_holder_that_releases_the_role_lets_others_campaign_first():
    for seed in range(20):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        simulation.members[first].release(simulation.now, POLL_ROLE)
        simulation.carry_out(first)
        simulation.run_until_held(0.8)
        assert simulation.holders() != [first]
        single = RoleSimulation(seed, 1)
        single.run_until_held(3.0)
        single.members[single.names[0]].release(single.now, POLL_ROLE)
        single.carry_out(single.names[0])
        assert not single.holders() and single.run_until_held(4.0) > 2.9


def test_a_holder_that_nobody_hears_stops_before_another_starts():
    for seed in range(30):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        simulation.cut = {(first, name) for name in simulation.names}
        assert simulation.run_until_held(2.5, {first}) > 0.3
        simulation.cut = set()
        simulation.run(10)
        assert len(simulation.won_terms()) == 2


def test_a_holder_that_hears_nobody_stops_and_another_takes_over():
    for seed in range(30):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        simulation.cut = {(name, first) for name in simulation.names}
        simulation.run_until_held(4.0, {first})
        assert simulation.holders() != [first]
        simulation.run(10)
        simulation.cut = set()
        held = len(simulation.won_terms())
        simulation.run(10)
        assert len(simulation.won_terms()) == held


def test_a_member_that_does_not_hear_the_holder_causes_no_change():
    for seed in range(20):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        unreachable = next(name for name in simulation.names if name != first)
        simulation.cut = {(first, unreachable)}
        simulation.run(10)
        simulation.cut = set()
        simulation.run(10)
        assert simulation.holders() == [first] and len(simulation.history) == 1
        assert simulation.members[unreachable].holder(POLL_ROLE) == RoleHolder(
            first, simulation.won_terms()[0]
        )


def test_a_minority_holds_nothing():
    for seed in range(10):
        simulation = RoleSimulation(seed, 5)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        side = {first, next(name for name in simulation.names if name != first)}
        simulation.cut = {
            (a, b) for a in simulation.names for b in simulation.names if (a in side) != (b in side)
        }
        simulation.run_until_held(3.0, side)
        simulation.run(5)
        assert not set(simulation.holders()) & side


def test_a_holder_that_was_stopped_has_lost_the_role_when_it_resumes():
    for seed in range(20):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        simulation.stopped = {first}
        simulation.run_until_held(3.0)
        simulation.stopped = set()
        simulation.run(5)
        lost = [name for _, name, instruction in simulation.history if isinstance(instruction, RoleLost)]
        assert first in lost
        simulation.won_terms()


def test_a_member_that_just_started_gives_no_vote():
    member = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL_ROLE,))
    member.receive(0.99, "b:1", VoteRequest(POLL_ROLE, 1 << 20))
    member.receive(1.01, "b:1", VoteRequest(POLL_ROLE, 2 << 20))
    assert [instruction.message.granted for instruction in member.instructions] == [False, True]


def test_one_vote_a_term_and_none_while_the_holder_is_heard():
    member = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL_ROLE,))

    def granted(now, sender, term):
        member.instructions.clear()
        member.receive(now, sender, VoteRequest(POLL_ROLE, term))
        answers = [sent.message for sent in member.instructions if sent.address == sender]
        return answers[-1].granted

    assert granted(1.0, "b:1", 1 << 20) and not granted(1.0, "c:1", 1 << 20) and granted(1.0, "b:1", 1 << 20)
    assert not granted(1.0, "d:1", 2 << 20)  # not a member
    member.receive(1.1, "b:1", Heartbeat(POLL_ROLE, 1 << 20, 1))
    assert not granted(1.1 + role_election.VOTE_WITHHELD_S - 0.01, "c:1", 2 << 20) and granted(
        1.3, "b:1", 2 << 20
    )
    assert granted(1.1 + role_election.VOTE_WITHHELD_S + 0.01, "c:1", 3 << 20)


def test_a_term_seen_outside_is_exceeded_without_a_vacancy():
    for seed in range(10):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        outside_term = simulation.won_terms()[0] + (9 << role_election.TERM_BITS)
        simulation.members[first].observe_term(simulation.now, POLL_ROLE, outside_term)
        simulation.carry_out(first)
        until = simulation.now + 2
        while simulation.now < until:
            simulation.step(until)
            assert simulation.holders() == [first]
        assert simulation.won_terms()[-1] > outside_term and len(simulation.history) == 2


def test_an_old_heartbeat_after_the_end_of_its_term_delays_no_campaign():
    member = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL_ROLE,))
    member.receive(2.0, "b:1", Heartbeat(POLL_ROLE, 1 << 20, 1))
    member.receive(2.1, "b:1", RoleReleased(POLL_ROLE, 1 << 20))
    member.receive(2.1, "b:1", Heartbeat(POLL_ROLE, 1 << 20, 2))
    assert member.holder(POLL_ROLE) is None and member.wake_at() <= 2.1 + role_election.CAMPAIGN_JITTER_S


def test_members_may_change_while_a_role_is_held():
    simulation = RoleSimulation(3, 3)
    simulation.run_until_held(4.0)
    [first] = simulation.holders()
    simulation.names += ("10.0.0.8:7300", "10.0.0.9:7300")
    for name in simulation.names[3:]:
        simulation.start(name)
    simulation.run(3)
    assert simulation.holders() == [first]
    simulation.names = tuple(name for name in simulation.names if name != first)
    simulation.run_until_held(3.0, {first})
    assert first not in simulation.holders()
    simulation.won_terms()


def inject_faults(simulation, seconds):
    """Injects random faults of machines and network for `seconds`, and then removes them all."""
    end = simulation.now + seconds
    minority = (len(simulation.names) - 1) // 2
    while simulation.now < end:
        simulation.run(simulation.random.uniform(0.05, 2.0))
        down = [name for name in simulation.names if name not in simulation.members]
        match simulation.random.randrange(9):
            case 0 if len(down) < minority:
                simulation.kill(simulation.random.choice(simulation.running() or simulation.names))
            case 1 if down:
                simulation.start(simulation.random.choice(down))
            case 2:
                simulation.cut = {
                    (a, b)
                    for a in simulation.names
                    for b in simulation.names
                    if simulation.random.random() < 0.3
                }
            case 3:
                one = simulation.random.choice(simulation.names)
                simulation.cut = {(one, name) for name in simulation.names}
            case 4 | 5:
                simulation.cut = set()
            case 6:
                simulation.stopped = {simulation.random.choice(simulation.names)}
            case 7:
                simulation.stopped = set()
            case 8:
                simulation.loss, simulation.delay = simulation.random.choice(
                    ((0, (0.03, 0.06)), (0.2, (0.03, 0.06)), (0.05, (0.01, 3.0)), (0, (0.001, 0.002)))
                )
    simulation.cut, simulation.stopped, simulation.loss, simulation.delay = set(), set(), 0.0, (0.03, 0.06)
    for name in simulation.names:
        if name not in simulation.members:
            simulation.start(name)


@pytest.mark.parametrize("count", [3, 5])
def test_under_random_faults_one_member_holds_at_a_time_and_terms_grow(count):
    for seed in range(15):
        simulation = RoleSimulation(seed, count, roles=(POLL_ROLE, "sweep"))
        inject_faults(simulation, 40)
        simulation.run(7)
        [holder] = simulation.holders()
        simulation.won_terms()
        simulation.won_terms("sweep")
        changes = len(simulation.history)
        simulation.run(5)
        assert simulation.holders() == [holder] and len(simulation.history) == changes


class VotesWhileHolderIsAlive(SingletonRoles):
    """A planted fault: votes for any candidate, even while a holder is heard."""

    def receive(self, now, sender, message):
        self.elections[message.role].holder_heard_at = float("-inf")
        super().receive(now, sender, message)


class LeaseTooLong(SingletonRoles):
    """A planted fault: a lease that runs from the acknowledgement, and for longer than others withhold
    votes."""

    def tick(self, now):
        for election in self.elections.values():
            if election.leadership is not None and election.leadership.is_confirmed:
                election.leadership.lease_until = max(election.leadership.lease_until, now + 0.5)
        super().tick(now)


class ForgetsVotes(SingletonRoles):
    """A planted fault: votes right after the start, and for a lower term than before."""

    def receive(self, now, sender, message):
        election = self.elections[message.role]
        election.started_at = election.holder_heard_at = float("-inf")
        election.voted_term = 0
        super().receive(now, sender, message)


@pytest.mark.parametrize("fault", [VotesWhileHolderIsAlive, LeaseTooLong, ForgetsVotes])
def test_planted_faults_are_found_within_twenty_seeds(fault):
    for seed in range(20):
        simulation = RoleSimulation(seed, 3, roles=(POLL_ROLE, "sweep"))
        simulation.roles_class = fault
        for name in simulation.names:
            simulation.start(name)
        try:
            inject_faults(simulation, 40)
            simulation.won_terms()
        except AssertionError:
            return
    pytest.fail("the planted fault was not found")


MESSAGES = st.builds(
    lambda tag, term, number, highest_term: {
        "ballot": VoteRequest(POLL_ROLE, term),
        "vote": VoteResponse(POLL_ROLE, term, bool(number % 2), highest_term),
        "heartbeat": Heartbeat(POLL_ROLE, term, number),
        "vacated": RoleReleased(POLL_ROLE, term),
        "acknowledgement": Acknowledgement(POLL_ROLE, term, number, highest_term),
        "other": VoteRequest("unknown", term),
    }[tag],
    st.sampled_from(["ballot", "vote", "heartbeat", "vacated", "acknowledgement", "other"]),
    st.integers(0, 2**63),
    st.integers(0, 9),
    st.integers(0, 2**63),
)


@settings(max_examples=200)
@given(
    st.lists(st.tuples(st.floats(0, 2), st.sampled_from(["a:1", "b:1", "c:1", "z:1"]), MESSAGES), max_size=30)
)
def test_no_message_raises(steps):
    member, now = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL_ROLE,)), 0.0
    for wait, sender, message in steps:
        now += wait
        member.tick(now)
        member.receive(now, sender, message)
        assert member.wake_at() > now - 1e-9 or member.wake_at() == float("inf")
        member.check_invariants()


def leader_of_one():
    """Returns the election of a single member that holds the role."""
    member = SingletonRoles("a:1", lambda: ("a:1",), Random(1), 0.0, (POLL_ROLE,))
    member.tick(2.0)
    member.check_invariants()
    assert member.is_held(POLL_ROLE, 2.0)
    return member.elections[POLL_ROLE]


@pytest.mark.parametrize(
    "attribute, value",
    [
        ("held_term", 0),
        ("held_term", 1 << 40),
        ("holder", "b:1"),
        ("highest_term", 0),
        ("voted_for", "b:1"),
        ("voted_term", 0),
        ("has_resigned", True),
        ("leadership", None),
        ("candidacy", role_election.Candidacy(1, 3.0, "a:1")),
        ("candidacy", role_election.Candidacy(1 << 60, 3.0, "a:1")),
    ],
)
def test_attributes_that_contradict_each_other_are_found(attribute, value):
    election = leader_of_one()
    setattr(election, attribute, value)
    with pytest.raises(AssertionError):
        election.check_invariants()
