"""A replica that was down catches up while changes continue, in bounded time, bytes and memory."""

from hand_net import founded

from shedgrade.replication import messages
from shedgrade.replication.change_index import MAX_EPOCHS, MAX_KEYS, ChangeIndex
from shedgrade.simulation.catch_up import CatchUpCase, CatchUpRun, play


def test_a_replica_on_a_slow_link_does_not_fall_further_behind():
    result = play(CatchUpCase(size=100_000, megabits=5))
    assert result.caught_up < 1.0 and result.steady_lag <= 10
    assert result.queued < 1_000_000


def test_frequent_long_configurations_are_acknowledged_and_do_not_fill_memory():
    for size, megabits in ((300_000, 5), (300_000, 1000), (2_000_000, 86)):
        result = play(CatchUpCase(size=size, megabits=megabits))
        assert result.acknowledged > 0.85
        assert result.queued <= 6 * size
        assert result.caught_up < 5.0 and result.steady_lag <= 10


def test_a_cut_during_a_transfer_does_not_restart_it():
    result = play(CatchUpCase(size=2_000_000, megabits=5, cut_after=1.0))
    assert result.caught_up < 6.5 and result.sent < 2_400_000


def test_after_a_cut_that_outlasts_the_transfer_another_one_begins_at_once():
    for seconds in (3.5, 6.0):
        result = play(CatchUpCase(size=2_000_000, megabits=5, cut_after=1.0, cut_seconds=seconds))
        assert result.caught_up < 1.0 + seconds + 4.5 and result.sent < 3_000_000


def test_a_cut_and_frame_loss_with_a_change_every_fifty_milliseconds():
    result = play(CatchUpCase(size=300_000, megabits=5, interval=0.05, cut_after=0.2, loss=0.01))
    assert result.caught_up < 5.0 and result.steady_lag <= 40 and result.queued < 2_000_000


def test_a_member_that_returns_with_its_disk_is_sent_only_the_keys_that_differ():
    few_missed = play(CatchUpCase(keys=True, before=1000, missed=10, role="backup"))
    many_missed = play(CatchUpCase(keys=True, before=1000, missed=100, role="backup"))
    assert few_missed.sent < 4_000 and many_missed.sent < 8_000
    wiped = play(CatchUpCase(keys=True, before=1000, missed=10, role="backup", wiped=True))
    assert wiped.sent > 20_000


def test_a_whole_state_is_sent_once_while_small_changes_continue():
    result = play(CatchUpCase(keys=True, missed=1000, interval=0.05, delay=0.055))
    assert result.caught_up < 1.0 and result.sent < 25_000


def test_a_replica_that_goes_down_during_a_transfer_is_sent_another_from_its_position():
    for size, delay in ((2_000_000, 0.001), (300_000, 0.055)):
        result = play(CatchUpCase(size=size, delay=delay, before=20, missed=10))
        assert result.caught_up < 1.0 and result.sent < 1.2 * size


def test_a_transfer_is_followed_by_the_next_at_once_whichever_ack_arrives_first():
    for seed in (2, 4, 9):  # with these the ack of the state arrives before that of its last chunk
        result = play(CatchUpCase(size=2_000_000, delay=0.001, missed=20, seed=seed))
        assert result.steady_lag <= 10 and result.sent_rate > 9_000_000


def test_state_queued_for_a_replica_that_restarted_is_cancelled():
    net = founded()
    chunking, witness = net.members[net.primary()].transport.chunking, net.witness()
    long_state = {"k": bytes(100_000)}
    chunking.send(net.now, witness, messages.CatchUp(1, (1, 1), None, long_state))
    chunking.send(net.now, witness, messages.Replicate(1, 5, (0, 0), long_state))
    chunking.send(net.now, witness, messages.CatchUp(1, (1, 2), None, long_state))
    chunking.cancel_catch_ups(net.now, witness)
    assert [type(each.message) for each in chunking.queues[witness]] == [messages.Replicate]
    assert chunking.queues[witness][0].sent > 0
    chunking.cancel_catch_ups(net.now, "elsewhere:1")


def test_committed_state_of_an_earlier_epoch_is_still_applied():
    net = founded()
    witness, replica = net.witness(), net.members[net.witness()].replica
    catch_up = messages.CatchUp(replica.epoch_config.number - 1, (1, 1), None, {"k": b"v"})
    net.call(witness, "receive", net.primary(), catch_up)
    assert replica.committed == (1, 1, {"k": b"v"})


def test_changes_from_an_older_base_are_applied_and_those_to_an_older_position_are_not():
    net = founded()
    witness, replica = net.witness(), net.members[net.witness()].replica
    number = replica.epoch_config.number

    def catch_up(base, position, changes):
        net.call(witness, "receive", net.primary(), messages.CatchUp(number, position, base, changes))

    catch_up(None, (1, 2), {"a": b"1", "b": b"1"})
    catch_up((1, 1), (1, 4), {"b": b"4", "c": b"4"})
    assert replica.committed == (1, 4, {"a": b"1", "b": b"4", "c": b"4"})
    catch_up((1, 1), (1, 3), {"a": b"3"})
    catch_up((1, 5), (1, 6), {"a": b"6"})
    assert replica.committed.position == (1, 4)


def test_one_state_transfer_per_replica_is_in_progress_and_an_install_replaces_it():
    net = founded()
    chunking, witness = net.members[net.primary()].transport.chunking, net.witness()
    long_state, config = {"k": bytes(100_000)}, net.members[net.primary()].replica.epoch_config
    for sequence in range(1, 5):
        chunking.send(net.now, witness, messages.CatchUp(1, (1, sequence), None, long_state))
    assert [each.message.log_position for each in chunking.queues[witness]] == [(1, 1), (1, 4)]
    chunking.send(net.now, witness, messages.Install(config, (1, 9), None, long_state))
    assert [type(each.message) for each in chunking.queues[witness]] == [messages.Install]


def test_a_disk_ahead_of_the_committed_state_is_not_a_base_for_changes_to_it():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.call(primary, "submit", 1, ("k", b"1"))
    net.run(0.3)
    net.held_back.add(primary)
    net.call(primary, "submit", 2, ("k", b"2"))  # synced by the backup, but not committed
    net.deliver()
    replica, backup_replica = net.members[primary].replica, net.members[backup].replica
    assert backup_replica.durable_position > replica.committed.position
    assert replica.committed_changes_since(backup_replica.durable_position) == (None, {"k": b"1"})
    backup_replica.apply_committed(backup_replica.log_position, replica.committed.position, {})
    assert backup_replica.committed.state == {"k": b"1"}


# --- the change index


def indexed(*steps):
    index, state = ChangeIndex((0, 0)), {}
    for base, position, changes in steps:
        index.record(base, position, changes)
        state.update(changes)
    return index, {key: value for key, value in state.items() if value is not None}


def test_a_key_written_often_is_included_once_and_so_is_a_removed_key():
    steps = [((1, at), (1, at + 1), {"often": b"%d" % at, f"k{at}": b"x"}) for at in range(1000)]
    steps[0] = ((0, 0), (1, 1), steps[0][2])
    index, state = indexed(*steps, ((1, 1000), (1, 1001), {"k5": None}))
    assert index.since((1, 998), state) == {"k5": None, "often": b"999", "k999": b"x", "k998": b"x"}
    assert index.since((1, 1001), state) == {}


def test_a_position_outside_the_log_is_distinguished_from_one_in_it():
    index, state = indexed(
        ((0, 0), (1, 1), {"a": b"1"}), ((1, 1), (1, 2), {"a": b"2"}), ((1, 2), (4, 3), {"b": b"3"})
    )
    assert index.since((1, 2), state) == {"b": b"3"}
    assert index.since((1, 3), state) is None and index.since((2, 3), state) is None
    index.record((9, 9), (9, 10), {"c": b"1"})  # another log: nothing before its base is known
    assert index.since((1, 2), state) is None and index.since((9, 9), {"c": b"1"}) == {"c": b"1"}


def test_the_index_is_bounded_and_reports_positions_before_it_as_unknown():
    index = ChangeIndex((1, 0))
    for at in range(MAX_KEYS + 10):
        index.record((1, at), (1, at + 1), {f"k{at}": b"x"})
    assert len(index.changed_at) == MAX_KEYS
    assert index.since((1, 9), {}) is None and len(index.since((1, 10), {})) == MAX_KEYS
    last = index.last
    for epoch in range(2, MAX_EPOCHS + 10):
        index.record(last, (epoch, last[1] + 1), {"k": b"x"})
        last = index.last
    assert len(index.epochs) == MAX_EPOCHS and index.since((1, MAX_KEYS + 10), {}) is None


def test_the_memory_of_a_primary_is_bounded_over_ten_thousand_changes_with_a_replica_down():
    run = CatchUpRun(CatchUpCase(size=100, interval=0.01, missed=10_000, delay=0.001))
    result = run.play()
    assert result.caught_up < 1.0 and result.acknowledged > 0.99
    for machine in run.machines:
        member = machine.member
        assert run.committed()[1] > 9_000
        assert (
            set(member.replica.change_index.changed_at) <= {"configuration"}
            and len(member.replica.change_index.epochs) <= 3
        )
        assert (
            len(member.replica.uncommitted) <= member.MAX_WRITES_IN_FLIGHT + 1
            and len(member.primary_role.commands.in_flight) <= member.MAX_WRITES_IN_FLIGHT
        )
        assert len(member.primary_role.followers) <= 3 and len(member.pending_requests.entries) == 0
        assert (
            sum(
                len(chunks)
                for transfers in member.transport.chunking.incoming.values()
                for chunks in transfers.values()
            )
            == 0
        )
