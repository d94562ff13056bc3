"""A replica that was away catches up while changes go on; its cost in time, bytes and memory is bounded."""

from hand_net import founded

from shedgrade.replication import messages
from shedgrade.replication.change_index import MAX_EPOCHS, MAX_KEYS, ChangeIndex
from shedgrade.simulation.catch_up import CatchUpCase, CatchUpRun, play


def test_a_replica_behind_a_narrow_link_falls_no_further_behind():
    found = play(CatchUpCase(size=100_000, megabits=5))
    assert found.caught_up < 1.0 and found.steady_lag <= 10
    assert found.queued < 1_000_000


def test_long_configurations_at_a_quick_pace_are_acknowledged_and_do_not_fill_memory():
    for size, megabits in ((300_000, 5), (300_000, 1000), (2_000_000, 86)):
        found = play(CatchUpCase(size=size, megabits=megabits))
        assert found.acknowledged > 0.85
        assert found.queued <= 6 * size
        assert found.caught_up < 5.0 and found.steady_lag <= 10


def test_a_cut_in_the_middle_of_a_transfer_does_not_begin_it_anew():
    found = play(CatchUpCase(size=2_000_000, megabits=5, cut_after=1.0))
    assert found.caught_up < 6.5 and found.sent < 2_400_000


def test_a_cut_that_outlasts_the_transfer_is_followed_by_another_at_once():
    for seconds in (3.5, 6.0):
        found = play(CatchUpCase(size=2_000_000, megabits=5, cut_after=1.0, cut_seconds=seconds))
        assert found.caught_up < 1.0 + seconds + 4.5 and found.sent < 3_000_000


def test_a_cut_link_that_loses_frames_at_fifty_milliseconds_a_change():
    found = play(CatchUpCase(size=300_000, megabits=5, interval=0.05, cut_after=0.2, loss=0.01))
    assert found.caught_up < 5.0 and found.steady_lag <= 40 and found.queued < 2_000_000


def test_a_disk_that_came_back_is_sent_only_the_keys_that_differ():
    few = play(CatchUpCase(keys=True, before=1000, missed=10, role="backup"))
    many = play(CatchUpCase(keys=True, before=1000, missed=100, role="backup"))
    assert few.sent < 4_000 and many.sent < 8_000
    wiped = play(CatchUpCase(keys=True, before=1000, missed=10, role="backup", wiped=True))
    assert wiped.sent > 20_000


def test_a_whole_state_is_sent_once_while_small_changes_go_on():
    found = play(CatchUpCase(keys=True, missed=1000, interval=0.05, delay=0.055))
    assert found.caught_up < 1.0 and found.sent < 25_000


def test_a_replica_that_goes_in_the_middle_of_a_transfer_gets_another_from_the_position_that_it_has():
    for size, delay in ((2_000_000, 0.001), (300_000, 0.055)):
        found = play(CatchUpCase(size=size, delay=delay, before=20, missed=10))
        assert found.caught_up < 1.0 and found.sent < 1.2 * size


def test_a_transfer_is_followed_by_the_next_at_once_whichever_ack_comes_first():
    for seed in (2, 4, 9):  # the ack of the state arrives before that of its last chunk
        found = play(CatchUpCase(size=2_000_000, delay=0.001, missed=20, seed=seed))
        assert found.steady_lag <= 10 and found.sent_rate > 9_000_000


def test_state_on_its_way_to_a_replica_that_was_started_anew_is_taken_out_of_the_queue():
    net = founded()
    chunks, to = net.members[net.primary()].transport.chunking, net.witness()
    long = {"k": bytes(100_000)}
    chunks.send(net.now, to, messages.CatchUp(1, (1, 1), None, long))
    chunks.send(net.now, to, messages.Replicate(1, 5, (0, 0), long))
    chunks.send(net.now, to, messages.CatchUp(1, (1, 2), None, long))
    chunks.cancel_catch_ups(net.now, to)
    assert [type(each.message) for each in chunks.queues[to]] == [messages.Replicate]
    assert chunks.queues[to][0].sent > 0
    chunks.cancel_catch_ups(net.now, "elsewhere:1")


def test_committed_state_of_an_epoch_that_is_over_is_still_taken():
    net = founded()
    witness, replica = net.witness(), net.members[net.witness()].replica
    learn = messages.CatchUp(replica.epoch_config.number - 1, (1, 1), None, {"k": b"v"})
    net.call(witness, "receive", net.primary(), learn)
    assert replica.committed == (1, 1, {"k": b"v"})


def test_changes_from_an_older_position_are_applied_and_old_ones_are_not():
    net = founded()
    witness, replica = net.witness(), net.members[net.witness()].replica
    number = replica.epoch_config.number

    def learn(base, position, changes):
        net.call(witness, "receive", net.primary(), messages.CatchUp(number, position, base, changes))

    learn(None, (1, 2), {"a": b"1", "b": b"1"})
    learn((1, 1), (1, 4), {"b": b"4", "c": b"4"})
    assert replica.committed == (1, 4, {"a": b"1", "b": b"4", "c": b"4"})
    learn((1, 1), (1, 3), {"a": b"3"})
    learn((1, 5), (1, 6), {"a": b"6"})
    assert replica.committed.position == (1, 4)


def test_one_state_transfer_is_under_way_to_a_replica_and_an_install_takes_its_place():
    net = founded()
    chunks, to = net.members[net.primary()].transport.chunking, net.witness()
    long, config = {"k": bytes(100_000)}, net.members[net.primary()].replica.epoch_config
    for sequence in range(1, 5):
        chunks.send(net.now, to, messages.CatchUp(1, (1, sequence), None, long))
    assert [each.message.log_position for each in chunks.queues[to]] == [(1, 1), (1, 4)]
    chunks.send(net.now, to, messages.Install(config, (1, 9), None, long))
    assert [type(each.message) for each in chunks.queues[to]] == [messages.Install]


def test_a_disk_ahead_of_the_committed_state_is_not_a_base_for_it():
    net = founded()
    primary, backup = net.primary(), net.backup()
    net.call(primary, "submit", 1, ("k", b"1"))
    net.run(0.3)
    net.held_back.add(primary)
    net.call(primary, "submit", 2, ("k", b"2"))  # on the backup's disk, and not committed
    net.deliver()
    replica, ahead = net.members[primary].replica, net.members[backup].replica
    assert ahead.durable_position > replica.committed.position
    assert replica.committed_changes_since(ahead.durable_position) == (None, {"k": b"1"})
    ahead.apply_committed(ahead.log_position, replica.committed.position, {})
    assert ahead.committed.state == {"k": b"1"}


# --- the index of changes


def chain(*steps):
    index, state = ChangeIndex((0, 0)), {}
    for base, position, changes in steps:
        index.record(base, position, changes)
        state.update(changes)
    return index, {key: value for key, value in state.items() if value is not None}


def test_a_key_that_was_written_often_is_sent_once_and_a_removed_one_is_included():
    steps = [((1, at), (1, at + 1), {"often": b"%d" % at, f"k{at}": b"x"}) for at in range(1000)]
    steps[0] = ((0, 0), (1, 1), steps[0][2])
    index, state = chain(*steps, ((1, 1000), (1, 1001), {"k5": None}))
    assert index.since((1, 998), state) == {"k5": None, "often": b"999", "k999": b"x", "k998": b"x"}
    assert index.since((1, 1001), state) == {}


def test_a_position_that_is_not_of_the_chain_is_distinguished_from_one_that_is():
    index, state = chain(
        ((0, 0), (1, 1), {"a": b"1"}), ((1, 1), (1, 2), {"a": b"2"}), ((1, 2), (4, 3), {"b": b"3"})
    )
    assert index.since((1, 2), state) == {"b": b"3"}
    assert index.since((1, 3), state) is None and index.since((2, 3), state) is None
    index.record((9, 9), (9, 10), {"c": b"1"})  # from elsewhere: nothing before it is known
    assert index.since((1, 2), state) is None and index.since((9, 9), {"c": b"1"}) == {"c": b"1"}


def test_the_index_is_bounded_and_says_so_of_what_it_forgot():
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


def test_the_memory_of_a_primary_is_bounded_over_ten_thousand_changes_with_a_replica_away():
    run = CatchUpRun(CatchUpCase(size=100, interval=0.01, missed=10_000, delay=0.001))
    found = run.play()
    assert found.caught_up < 1.0 and found.acknowledged > 0.99
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
                len(parts)
                for known in member.transport.chunking.incoming.values()
                for parts in known.values()
            )
            == 0
        )
