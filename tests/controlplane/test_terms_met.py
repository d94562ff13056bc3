"""Terms that a member which does not hold the role sees outside the election."""

from random import Random

from test_singleton_roles import POLL_ROLE, RoleSimulation

from shedgrade.controlplane import role_election
from shedgrade.controlplane.role_messages import Acknowledgement, Heartbeat, Send
from shedgrade.controlplane.singleton_roles import SingletonRoles


def test_the_holder_is_told_and_exceeds_the_term_without_a_vacancy():
    for seed in range(10):
        simulation = RoleSimulation(seed)
        simulation.run_until_held(4.0)
        [first] = simulation.holders()
        outside_term = simulation.won_terms()[0] + (9 << role_election.TERM_BITS)
        other = next(name for name in simulation.names if name != first)
        simulation.members[other].observe_term(simulation.now, POLL_ROLE, outside_term)
        simulation.carry_out(other)
        until = simulation.now + 2
        while simulation.now < until:
            simulation.step(until)
            assert simulation.holders() == [first]
        assert simulation.won_terms()[-1] > outside_term and len(simulation.history) == 2


def test_a_term_that_is_not_above_the_holders_is_sent_to_nobody():
    member = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL_ROLE,))
    member.observe_term(0.5, POLL_ROLE, 9 << 20)
    assert member.instructions == []  # nobody holds the role
    member.receive(2.0, "b:1", Heartbeat(POLL_ROLE, 10 << 20, 1))
    member.instructions.clear()
    member.observe_term(2.1, POLL_ROLE, 10 << 20)
    assert member.instructions == []
    member.observe_term(2.1, POLL_ROLE, (10 << 20) + 1)
    assert member.instructions == [Send("b:1", Acknowledgement(POLL_ROLE, 10 << 20, 0, (10 << 20) + 1))]
