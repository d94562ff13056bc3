"""Each message decodes to what was encoded; quorums of epochs that are not active, and founders as voters."""

import msgspec

from shedgrade.replication import messages as m
from shedgrade.replication import quorums

PEER = m.Peer(7, "a", "10.0.0.1:7300")
EPOCH_CONFIG = m.EpochConfig(3, 7, (7, 9), (PEER, m.Peer(9, "b", "10.0.0.2:7300")), (PEER,), False)
ALL = [
    m.JoinRequest(7, "a", "10.0.0.1:7300", True, 3, (1, 2)),
    m.PrimaryHint(None, EPOCH_CONFIG),
    m.PreVote(7, 4, 3, 2, 1),
    m.PreVoteReply(7, False, 4, True, 3, "10.0.0.1:7300", EPOCH_CONFIG),
    m.Prepare(7, 4, EPOCH_CONFIG),
    m.Promise(7, "10.0.0.1:7300", False, 4, EPOCH_CONFIG, 3, (3, 1), (3, 0)),
    m.Refusal(7, 4, 5, EPOCH_CONFIG),
    m.Fetch(4, (3, 1), (3, 0)),
    m.Transfer(4, (3, 1), None, {"a": b"\x00"}),
    m.Install(EPOCH_CONFIG, (3, 1), None, {"a": b"", "b": None}),
    m.Installed(7, 3),
    m.Replicate(3, 4, (3, 3), {"a": b"1"}),
    m.CatchUp(3, (3, 1), (2, 1), {}),
    m.Heartbeat(3, 4, (3, 1), EPOCH_CONFIG),
    m.Ack(3, 7, "a", 1, 2, 2, (3, 1), 3, 3, True, False),
    m.HandOver(3),
    m.LeaveGranted(3),
    m.Chunk(1, 0, 2, b"abc"),
    m.ChunkAck(1, 1),
]


def test_every_message_decodes_to_what_was_encoded():
    decoder = msgspec.msgpack.Decoder(m.Message)
    assert {type(each) for each in ALL} == set(m.Message.__args__)
    for each in ALL:
        assert decoder.decode(msgspec.msgpack.encode(each)) == each


def test_an_epoch_not_known_to_be_active_needs_a_majority_of_the_members_before_too():
    other = m.Peer(8, "c", "10.0.0.3:7300")
    config = m.EpochConfig(4, 7, (7, 9), (PEER, other), (PEER, m.Peer(9, "b", "b:1")), False)
    voters = m.JoinRequest(7, "a", "", False, 0, (0, 0)), m.JoinRequest(8, "c", "", False, 0, (0, 0))
    assert not quorums.is_quorum(config, voters)
    assert quorums.is_quorum(msgspec.structs.replace(config, active=True), voters)


def test_a_founder_not_heard_matches_by_address_and_only_if_it_kept_its_disk():
    unheard_founder = m.Peer(0, "", "a:1")
    assert quorums.is_same_member(unheard_founder, 5, "a:1", True)
    assert not quorums.is_same_member(unheard_founder, 5, "a:1", False)
    assert not quorums.is_same_member(unheard_founder, 5, "b:1", True)
