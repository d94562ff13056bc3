"""Parts of a member that need no network: primary monitor, election timer, peer directory and transport."""

from random import Random

import pytest

from shedgrade.replication import quorums
from shedgrade.replication.effects import Send
from shedgrade.replication.election_timer import TURN_JITTER_DIVISOR, ElectionTimer
from shedgrade.replication.messages import EpochConfig, HandOver, Peer
from shedgrade.replication.peer_directory import PeerDirectory
from shedgrade.replication.primary_monitor import PrimaryMonitor
from shedgrade.replication.timing import Timing
from shedgrade.replication.transport import Transport

TIMING = Timing()
PEERS = tuple(Peer(number, name, f"{name}:1") for number, name in ((1, "a"), (2, "b"), (3, "c")))
EPOCH = EpochConfig(4, 1, (1, 2), PEERS, PEERS, True)


class Replica:
    """The attributes of a replica that the election timer reads."""

    def __init__(self, incarnation, config, founders=None):
        self.incarnation, self.epoch_config, self.founders = incarnation, config, founders


def timer(incarnation, config=EPOCH, founders=None):
    return ElectionTimer(0.0, Replica(incarnation, config, founders), PEERS[0].address, TIMING, Random(1))


def test_a_primary_counts_as_heard_until_its_time_out():
    monitor = PrimaryMonitor("a:1", TIMING)

    monitor.note_heard(10.0, "b:1")

    assert monitor.is_heard(10.0 + TIMING.primary_timeout_s - 0.01)
    assert not monitor.is_heard(10.0 + TIMING.primary_timeout_s)


def test_a_hint_is_news_once_and_does_not_count_as_heard():
    monitor = PrimaryMonitor("a:1", TIMING)

    assert monitor.note_hint(5.0, "b:1") and not monitor.note_hint(5.5, "b:1")

    assert monitor.has_hint(5.6) and not monitor.is_heard(5.6)
    assert not monitor.has_hint(5.5 + 2 * TIMING.join_request_interval_s)


def test_a_voter_matches_by_incarnation_and_a_founder_not_heard_yet_by_address():
    member, founder = Peer(7, "a", "a:1"), Peer(0, "", "b:1")
    assert quorums.is_same_member(member, 7, "elsewhere:1", False)
    assert not quorums.is_same_member(member, 8, "a:1", False) and not quorums.is_same_member(
        member, 8, "a:1", True
    )
    assert quorums.is_same_member(founder, 9, "b:1", True)
    assert not quorums.is_same_member(founder, 9, "b:1", False) and not quorums.is_same_member(
        founder, 9, "c:1", True
    )


def test_a_hint_of_its_own_address_is_ignored():
    monitor = PrimaryMonitor("a:1", TIMING)
    monitor.note_hint(5.0, "a:1")
    assert not monitor.has_hint(5.0)


def test_backups_come_before_witnesses_and_non_members_last():
    ranks = [timer(1).rank(incarnation) for incarnation in (2, 3, 1, 99)]
    assert ranks == [(0, 2), (1, 3), (2, 1), (2, 99)]


def test_founders_come_by_address():
    founding = EpochConfig(0, 0, (), (), (), True)
    founders = ("c:1", "a:1", "b:1")
    ranks = [timer(1, founding, founders).rank(9, address)[0] for address in ("a:1", "b:1", "c:1", "d:1")]
    assert ranks == [0, 1, 2, 3]


@pytest.mark.parametrize(("incarnation", "turn"), [(2, 0), (3, 1)])
def test_an_election_begins_after_the_time_out_when_it_is_the_members_turn(incarnation, turn):
    elections = timer(incarnation)
    elections.note_heard(10.0)

    elections.schedule(10.0, False)

    earliest = 10.0 + TIMING.primary_timeout_s + turn * TIMING.election_stagger_s
    assert earliest <= elections.election_at <= earliest + TIMING.election_stagger_s / TURN_JITTER_DIVISOR


def test_a_member_that_leaves_comes_after_all_others():
    staying, leaving = timer(2), timer(2)
    staying.schedule(0.0, False)
    leaving.schedule(0.0, True)
    assert leaving.election_at - staying.election_at == pytest.approx(3 * TIMING.election_stagger_s)


def test_the_directory_knows_the_last_address_and_keeps_a_name_that_is_not_given_again():
    peers = PeerDirectory(1, "a:1", "a", True)

    peers.note_address(2, "b:1", "b")
    peers.note_address(2, "b:2")

    assert peers.address_of(2, "other") == "b:2" and peers.address_of(3, "other") == "other"
    assert peers.names == {1: "a", 2: "b"} and peers.founders == {"a:1": 1}


@pytest.mark.parametrize(("active", "reached"), [(True, ["b:1", "c:1"]), (False, ["b:1", "c:1", "d:1"])])
def test_a_broadcast_reaches_the_members_before_only_until_the_epoch_is_active(active, reached):
    effects = []
    transport = Transport("a:1", effects, PeerDirectory(1, "a:1", "a", False), TIMING, Random(1))
    config = EpochConfig(5, 1, (1, 2), PEERS, (PEERS[0], Peer(4, "d", "d:1")), active)

    transport.broadcast(config, HandOver(5), ())

    assert effects == [Send(address, HandOver(5)) for address in reached]


def test_a_broadcast_skips_excluded_members_and_uses_the_last_address():
    effects = []
    peers = PeerDirectory(1, "a:1", "a", False)
    peers.note_address(3, "c:2")
    transport = Transport("a:1", effects, peers, TIMING, Random(1))

    transport.broadcast(EPOCH, HandOver(4), {2})

    assert [effect.to for effect in effects] == ["c:2"]
