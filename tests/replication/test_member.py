"""What a member sends and when: a promise only after its sync, and nothing that a restart could lose."""

import msgspec
import pytest
from hand_net import SEEDS, Net, founded

from shedgrade.replication import Decision, ReadResult, RedirectToPrimary, Unavailable, messages


def sent(net, kind):
    return [message for _, _, message in net.messages if type(message) is kind]


def test_three_founders_make_one_primary_one_backup_one_witness():
    net = founded()
    assert sorted(member.role for member in net.members.values()) == ["backup", "primary", "witness"]
    assert {member.epoch for member in net.members.values()} == {1}


def test_a_command_is_on_two_disks_before_it_is_answered_and_on_no_witness():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.run(0.3)
    assert net.answers == {1: None}
    holding = [address for address, disk in net.disks.items() if disk.get("state/k") == b"v"]
    assert sorted(holding) == sorted([net.primary(), net.backup()])
    assert all(member.committed.state == {"k": b"v"} for member in net.members.values())


def test_no_answer_before_the_disks_of_the_backup_and_the_primary_have_the_change():
    for slow in ("backup", "primary"):
        net = founded()
        address = getattr(net, slow)()
        net.held_back.add(address)
        net.call(net.primary(), "submit", 1, ("k", b"v"))
        net.run(0.2)
        assert 1 not in net.answers and not any(member.committed.state for member in net.members.values())
        net.held_back.clear()
        net.write(address)
        net.run(0.1)
        assert 1 in net.answers


def test_a_promise_is_sent_after_its_sync():
    net = founded()
    voter, candidate = net.witness(), net.backup()
    net.held_back.add(voter)
    replica = net.members[candidate].replica
    net.call(voter, "receive", candidate, messages.Prepare(replica.incarnation, 7, replica.epoch_config))
    assert not sent(net, messages.Promise)
    net.write(voter)
    assert [promise.number for promise in sent(net, messages.Promise)] == [7]


def test_a_promise_lost_with_the_power_before_its_sync_was_never_given():
    net = founded()
    voter, candidate = net.witness(), net.backup()
    net.held_back.add(voter)
    replica = net.members[candidate].replica
    net.call(voter, "receive", candidate, messages.Prepare(replica.incarnation, 7, replica.epoch_config))
    net.stop(voter)
    net.held_back.clear()
    net.start(voter)
    assert net.members[voter].replica.promised_epoch[0] == 1
    assert not sent(net, messages.Promise)


def test_a_holder_reports_an_epoch_as_installed_after_its_sync():
    net = founded()
    holder = net.witness()
    replica = net.members[holder].replica
    holders = (replica.epoch_config.primary, replica.incarnation)
    config = msgspec.structs.replace(replica.epoch_config, number=5, holders=holders, active=False)
    net.held_back.add(holder)
    net.call(
        holder,
        "receive",
        net.primary(),
        messages.Install(config, messages.LogPosition(1, 1), None, {"k": b"v"}),
    )
    assert not sent(net, messages.Installed)
    net.write(holder)
    assert [message.number for message in sent(net, messages.Installed)] == [5]


def test_a_backup_that_promised_a_higher_epoch_refuses_the_old_primary():
    net = founded()
    backup, primary, other = net.backup(), net.primary(), net.witness()
    config = net.members[other].replica.epoch_config
    net.call(backup, "receive", other, messages.Prepare(net.members[other].replica.incarnation, 9, config))
    net.messages.clear()
    net.call(backup, "receive", primary, messages.Replicate(1, 1, (0, 0), {"k": b"v"}))
    assert [message.promised_epoch for message in sent(net, messages.Refusal)] == [9]
    assert "state/k" not in net.disks[backup]
    net.call(backup, "receive", primary, messages.CatchUp(1, (1, 1), None, {"k": b"v"}))
    assert [to for _, to, message in net.messages if type(message) is messages.Refusal] == [primary, primary]


def test_an_epoch_below_the_promise_is_not_installed():
    net = founded()
    backup, other = net.backup(), net.witness()
    replica = net.members[backup].replica
    candidate = net.members[other].replica.incarnation
    net.call(backup, "receive", other, messages.Prepare(candidate, 9, replica.epoch_config))
    holders = (candidate, replica.incarnation)
    config = msgspec.structs.replace(
        replica.epoch_config, number=5, primary=candidate, holders=holders, active=False
    )
    net.messages.clear()
    install = messages.Install(config, messages.LogPosition(1, 1), None, {"k": b"v"})
    net.call(backup, "receive", other, install)
    assert replica.promised_epoch.number == 9 and replica.accepted_epoch == 1
    assert not sent(net, messages.Installed) and [each.number for each in sent(net, messages.Refusal)] == [5]


def test_a_member_whose_disk_was_lost_promises_nothing_before_an_epoch_names_it():
    net = founded()
    lost, candidate = net.witness(), net.backup()
    net.stop(lost)
    net.disks[lost].clear()
    net.start(lost)
    net.messages.clear()
    replica = net.members[candidate].replica
    net.call(lost, "receive", candidate, messages.Prepare(replica.incarnation, 7, replica.epoch_config))
    assert not net.messages and net.members[lost].role == "blank"
    net.run(3.0)
    assert net.members[lost].role == "witness"
    assert net.members[lost].replica.incarnation in {peer.incarnation for peer in net.members[lost].members}


def test_nothing_is_sent_before_the_incarnation_is_synced():
    net = Net(founding=True)
    net.stop("a:1")
    net.disks["a:1"].clear()
    net.held_back.add("a:1")
    net.messages.clear()
    net.start("a:1", founding=True)
    net.call("a:1", "tick")
    net.call("a:1", "receive", "b:1", messages.JoinRequest(5, "b", "b:1", True, 0, (0, 0)))
    net.call("a:1", "receive", "c:1", messages.JoinRequest(7, "c", "c:1", False, 0, (0, 0)))
    assert not net.messages
    net.write("a:1")
    assert sent(net, messages.JoinRequest)


def test_a_failed_disk_write_is_retried_as_a_whole_and_nothing_is_sent_before():
    net = founded()
    backup = net.backup()
    net.held_back.add(backup)
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.deliver()
    net.write(backup, ok=False)
    net.call(backup, "receive", net.primary(), messages.Replicate(1, 2, (0, 0), {"j": b"w"}))
    assert 1 not in net.answers and not net.writes[backup]
    net.now += 1.01
    net.call(backup, "tick")
    changes = net.writes[backup][0].changes
    assert changes["state/k"] == b"v" and changes["state/j"] == b"w"


def test_a_change_found_on_a_backup_is_committed_by_the_next_primary():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.drop = lambda sender, to, message: sender == backup and to == primary
    net.call(primary, "submit", 1, ("k", b"v"))
    net.deliver()
    assert 1 not in net.answers
    net.stop(primary)
    net.drop = lambda sender, to, message: False
    net.run(2.5)
    assert net.primary() == backup
    assert net.members[net.witness() if net.primary() != backup else backup].committed.state == {"k": b"v"}


def test_an_old_primary_answers_no_read_after_another_epoch_began():
    net = founded()
    old = net.primary()
    net.drop = lambda sender, to, message: old in (sender, to)
    until = net.now + 0.5
    while net.now < until:
        net.run(0.01)
    # the clock of the old primary stands still while the others go on
    stopped = net.members.pop(old)
    net.run(2.0)
    new = net.primary()
    net.call(new, "submit", 1, ("k", b"new"))
    net.run(0.3)
    assert 1 in net.answers
    net.members[old] = stopped
    net.call(old, "read", 2)
    net.call(old, "submit", 3, ("k", b"old"))
    net.run(0.4)
    net.drop = lambda sender, to, message: False
    net.run(3.0)
    assert isinstance(net.answers[2], Unavailable | RedirectToPrimary)
    assert isinstance(net.answers[3], Unavailable | RedirectToPrimary)
    assert all(member.committed.state == {"k": b"new"} for member in net.members.values())


def test_a_read_waits_for_a_round_with_the_backups():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.run(0.2)
    net.messages.clear()
    net.call(net.primary(), "read", 2)
    assert 2 not in net.answers
    net.deliver()
    reading = net.answers[2]
    assert isinstance(reading, ReadResult) and reading.state == {"k": b"v"}


def test_a_refusal_waits_for_a_round_with_the_backups():
    net = founded()
    net.members[net.primary()].decide = lambda state, request: Decision({}, "refused")
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    assert 1 not in net.answers
    net.deliver()
    assert net.answers == {1: "refused"}


def test_changes_that_a_backup_did_not_receive_are_sent_again():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.drop = lambda sender, to, message: to == backup and type(message) is messages.Replicate
    for ticket in (1, 2, 3):
        net.call(primary, "submit", ticket, (f"k{ticket}", b"v"))
    net.deliver()
    net.drop = lambda sender, to, message: False
    net.now += 0.31
    net.call(primary, "tick")
    assert [write.sequence for write in sent(net, messages.Replicate)] == [1, 2, 3]
    net.deliver()
    assert net.answers == {1: None, 2: None, 3: None}


def test_a_follower_dates_a_heartbeat_from_before_its_sender_had_the_last_acknowledgement():
    """A heartbeat may be under way for any time: one delayed by two seconds makes no state up to date."""
    net = founded()
    net.run(0.5)
    delayed = []

    def delay_heartbeat(sender, to, message):
        if sender == net.primary() and to == witness and type(message) is messages.Heartbeat:
            delayed.append(message)
            return True
        return False

    witness = net.witness()
    member, primary = net.members[witness], net.primary()
    net.drop, cut_at = delay_heartbeat, net.now
    net.run(0.3)
    net.drop = lambda sender, to, message: to == witness or sender == witness
    net.run(1.7)
    for heartbeat in delayed:
        net.call(witness, "receive", primary, heartbeat)
    assert delayed and net.now - cut_at >= 2.0
    assert cut_at - 1.0 < member.confirmed_at <= cut_at


def test_a_heartbeat_of_an_older_version_is_dated_from_its_arrival():
    net = founded()
    witness, primary = net.witness(), net.primary()
    member, replica = net.members[witness], net.members[primary].replica
    heartbeat = messages.Heartbeat(1, 1_000, replica.committed.position, None, 0.2)
    net.now += 0.1
    net.call(witness, "receive", primary, heartbeat)
    assert member.confirmed_at == pytest.approx(net.now - 0.2)


def newer_epoch(net, address):
    """Returns an active epoch after the one that this member leads, with another primary."""
    replica = net.members[address].replica
    other = next(
        incarnation for incarnation in replica.epoch_config.holders if incarnation != replica.incarnation
    )
    return msgspec.structs.replace(replica.epoch_config, number=5, primary=other)


NEWER_EPOCH_SOURCES = {
    "a hint": lambda config, incarnation: messages.PrimaryHint(None, config),
    "a candidate": lambda config, incarnation: messages.Prepare(incarnation, 6, config),
    "a refusal": lambda config, incarnation: messages.Refusal(incarnation, 1, 5, config),
}


@pytest.mark.parametrize("source", NEWER_EPOCH_SOURCES)
def test_a_primary_that_learns_of_a_newer_active_epoch_steps_down(source):
    net = founded()
    primary, witness = net.primary(), net.witness()
    message = NEWER_EPOCH_SOURCES[source](newer_epoch(net, primary), net.members[witness].replica.incarnation)
    net.call(primary, "receive", witness, message)
    member = net.members[primary]
    assert member.epoch == 5 and not member.is_primary_or_candidate()


def test_a_candidate_that_learns_of_a_newer_active_epoch_gives_up():
    net = founded()
    witness, primary = net.witness(), net.primary()
    member = net.members[witness]
    net.call(witness, "start_election")
    assert member.is_primary_or_candidate()
    net.call(witness, "receive", primary, messages.PrimaryHint(None, newer_epoch(net, primary)))
    assert member.epoch == 5 and not member.is_primary_or_candidate()


def test_other_members_redirect_to_the_primary():
    net = founded()
    net.call(net.backup(), "submit", 1, ("k", b"v"))
    net.call(net.witness(), "read", 2)
    assert net.answers == {1: RedirectToPrimary(net.primary()), 2: RedirectToPrimary(net.primary())}


def test_without_a_primary_a_command_is_pending_for_a_limited_time():
    net = founded()
    witness = net.witness()
    for address in (net.primary(), net.backup()):
        net.stop(address)
    net.run(1.0)
    net.call(witness, "submit", 1, ("k", b"v"))
    assert not net.answers
    net.run(1.0)
    assert net.answers == {1: Unavailable()}


def test_commands_beyond_a_limit_are_rejected():
    net = founded()
    witness = net.witness()
    for address in (net.primary(), net.backup()):
        net.stop(address)
    net.run(1.0)
    for ticket in range(300):
        net.call(witness, "submit", ticket, ("k", b"v"))
    assert len(net.answers) == 300 - net.members[witness].MAX_WAITING_REQUESTS


def test_late_messages_of_an_old_primary_revert_nothing():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"1"))
    net.run(0.2)
    net.call(net.primary(), "submit", 2, ("k", b"2"))
    net.run(0.2)
    witness = net.witness()
    net.call(witness, "receive", net.primary(), messages.CatchUp(1, (1, 1), None, {"k": b"1"}))
    assert net.members[witness].committed.state == {"k": b"2"}
    positions = [(each.epoch, each.sequence) for each in net.committed[witness]]
    assert positions == sorted(set(positions))


def test_a_restart_of_all_members_with_their_disks_restores_the_state():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.run(0.3)
    for address in SEEDS:
        net.stop(address)
    net.start("c:1")
    net.run(3.0)
    assert net.members["c:1"].role != "primary"  # a single member is not a majority
    net.start("a:1")
    net.start("b:1")
    net.run(3.0)
    net.call(net.primary(), "read", 2)
    net.run(0.2)
    assert net.answers[2].state == {"k": b"v"}


def test_a_restart_reads_the_state_that_was_written():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.run(0.3)
    backup = net.backup()
    before = net.members[backup].replica
    net.stop(backup)
    net.start(backup)
    after = net.members[backup].replica
    for name in (
        "incarnation",
        "promised_epoch",
        "epoch_config",
        "accepted_epoch",
        "log_position",
        "state",
        "durable_position",
        "installed_epoch",
        "founding",
    ):
        assert getattr(after, name) == getattr(before, name)


def test_an_idle_core_sends_few_messages():
    net = founded()
    net.seen.clear()
    net.run(10.0)
    body = sum(len(msgspec.msgpack.encode(message)) for _, _, message in net.seen)
    assert len(net.seen) <= 2 * 2 * 41 and body < 20_000


def test_a_witness_that_becomes_a_holder_is_sent_only_what_it_lacks_in_memory():
    net = founded()
    net.call(net.primary(), "submit", 1, ("k", b"v" * 10_000))
    net.run(0.5)
    witness, primary = net.witness(), net.primary()
    net.seen.clear()
    net.stop(net.backup())
    net.run(1.5)
    installs = [message for _, to, message in net.seen if type(message) is messages.Install and to == witness]
    assert net.members[primary].role == "primary" and net.members[witness].role == "backup"
    assert [(each.base, each.changes) for each in installs] == [((1, 1), {})]


def test_a_constant_stream_of_messages_delays_no_election():
    net = founded()
    backup, witness = net.backup(), net.witness()
    net.stop(net.primary())
    request = messages.JoinRequest(5, "d", "d:1", False, 1, (0, 0))
    for _ in range(150):
        net.run(0.02)
        for address in (backup, witness):
            net.call(address, "receive", "d:1", request)
    assert net.primary() in (backup, witness)


def acks(net):
    return [(to, message) for _, to, message in net.messages if type(message) is messages.Ack]


@pytest.mark.parametrize(("age_s", "healthy"), [(0.1, True), (1.0, False)])
def test_a_write_behind_a_gap_is_acknowledged_up_to_the_gap(age_s, healthy):
    """The ack carries the health of a disk that has been writing the previous change for `age_s`."""
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.held_back.add(backup)
    net.call(backup, "receive", primary, messages.Replicate(1, 1, (0, 0), {"k": b"v"}))
    net.now += age_s
    net.messages.clear()
    net.call(backup, "receive", primary, messages.Replicate(1, 3, (0, 0), {"l": b"v"}))
    ((to, ack),) = acks(net)
    assert (to, ack.epoch, ack.read_index_round, ack.received_sequence) == (primary, 1, 0, 1)
    assert ack.is_healthy is healthy and net.members[backup].replica.state == {"k": b"v"}


def test_a_write_carries_the_committed_position():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.call(backup, "receive", primary, messages.Replicate(1, 1, (0, 0), {"k": b"1"}))
    assert net.members[backup].committed.state == {}
    net.call(backup, "receive", primary, messages.Replicate(1, 2, (1, 1), {"k": b"2"}))
    assert net.members[backup].committed == (1, 1, {"k": b"1"})


def test_a_read_that_no_backup_confirms_ends():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.drop = lambda sender, to, message: to == backup and type(message) is messages.Heartbeat
    net.call(primary, "read", 1)
    net.run(3.0)
    assert isinstance(net.answers[1], ReadResult | Unavailable | RedirectToPrimary)


def test_a_long_write_is_acknowledged_when_received_and_when_synced():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.held_back.add(backup)
    net.messages.clear()
    net.call(backup, "receive", primary, messages.Replicate(1, 1, (0, 0), {"k": bytes(1 << 20)}))
    ((to, ack),) = acks(net)
    assert (to, ack.epoch, ack.read_index_round) == (primary, 1, 0)
    assert (ack.received_sequence, ack.durable_sequence) == (1, 0)
    net.messages.clear()
    net.write(backup)
    ((to, ack),) = acks(net)
    assert (to, ack.epoch, ack.read_index_round, ack.durable_sequence) == (primary, 1, 0, 1)


def test_a_refusal_names_the_refused_epoch_and_the_promised_one():
    net = founded()
    backup, primary, other = net.backup(), net.primary(), net.witness()
    replica = net.members[backup].replica
    candidate = net.members[other].replica.incarnation
    net.call(backup, "receive", other, messages.Prepare(candidate, 9, replica.epoch_config))
    net.messages.clear()
    net.call(
        backup, "receive", primary, messages.Prepare(replica.epoch_config.primary, 8, replica.epoch_config)
    )
    ((sender, to, refusal),) = net.messages
    assert (sender, to) == (backup, primary)
    assert refusal == messages.Refusal(replica.incarnation, 8, 9, replica.epoch_config)


def test_committed_changes_are_applied_to_the_named_base():
    net = founded()
    for ticket in (1, 2):
        net.call(net.primary(), "submit", ticket, (f"k{ticket}", b"v"))
        net.run(0.1)
    witness, primary = net.witness(), net.primary()
    committed = net.members[witness].committed
    catch_up = messages.CatchUp(1, (1, 3), committed.position, {"k3": b"v"})
    net.messages.clear()
    net.call(witness, "receive", primary, catch_up)
    assert net.members[witness].committed.state == {"k1": b"v", "k2": b"v", "k3": b"v"}
    ((to, ack),) = acks(net)
    assert (to, ack.epoch, ack.read_index_round, ack.committed) == (primary, 1, 0, (1, 3))


def test_a_command_that_finds_no_room_waits_until_a_write_is_committed():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.held_back.add(backup)
    member = net.members[primary]
    limit = member.MAX_WRITES_IN_FLIGHT
    for ticket in range(limit + 3):
        net.call(primary, "submit", ticket, (f"k{ticket}", b"v"))
    pipeline = member.primary_role.commands
    assert len(pipeline.in_flight) == limit and len(pipeline.queue) == 3
    net.held_back.clear()
    net.run(0.2)
    assert len(net.answers) == limit + 3 and not pipeline.queue


def test_a_long_write_has_longer_until_it_is_late_and_is_sent_again_later():
    net = founded()
    primary, backup = net.primary(), net.backup()
    member = net.members[primary]
    member.primary_role.commands.submit(net.now, 1, ("k", bytes(500_000)))
    (write,) = member.primary_role.commands.in_flight
    timing, transfer_s = member.timing, 500_000 / member.timing.bytes_per_second
    follower = member.primary_role.followers[net.members[backup].replica.incarnation]
    assert write.late_at == pytest.approx(net.now + timing.write_timeout_s + transfer_s)
    assert follower.resend_at == pytest.approx(net.now + timing.resend_interval_s + transfer_s)
