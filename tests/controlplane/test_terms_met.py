"""Terms of a role that are met outside, by a member that does not hold it."""

from random import Random

from test_singleton_roles import POLL, Play

from shedgrade.controlplane import role_election as module
from shedgrade.controlplane.role_messages import Acknowledgement, Heartbeat, Send
from shedgrade.controlplane.singleton_roles import SingletonRoles


def test_the_holder_is_told_and_rises_above_it_without_a_gap():
    for seed in range(10):
        play = Play(seed)
        play.filled(4.0)
        [first] = play.holders()
        outside = play.terms()[0] + (9 << module.TERM_BITS)
        other = next(name for name in play.names if name != first)
        play.members[other].observe_term(play.now, POLL, outside)
        play.take(other)
        until = play.now + 2
        while play.now < until:
            play.step(until)
            assert play.holders() == [first]
        assert play.terms()[-1] > outside and len(play.history) == 2


def test_a_term_that_is_not_above_the_holders_is_told_to_nobody():
    member = SingletonRoles("a:1", lambda: ("a:1", "b:1", "c:1"), Random(1), 0.0, (POLL,))
    member.observe_term(0.5, POLL, 9 << 20)
    assert member.instructions == []  # nobody holds it
    member.receive(2.0, "b:1", Heartbeat(POLL, 10 << 20, 1))
    member.instructions.clear()
    member.observe_term(2.1, POLL, 10 << 20)
    assert member.instructions == []
    member.observe_term(2.1, POLL, (10 << 20) + 1)
    assert member.instructions == [Send("b:1", Acknowledgement(POLL, 10 << 20, 0, (10 << 20) + 1))]
