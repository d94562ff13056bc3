"""`check_invariants` of a member and its parts: passes in a correct core, raises for each contradiction."""

import msgspec
import pytest
from hand_net import founded

from shedgrade.replication.candidate import Phase
from shedgrade.replication.follower import InFlightWrite
from shedgrade.replication.messages import LogPosition
from shedgrade.replication.replica_state import LogEntry, PromisedEpoch


def test_a_correct_core_keeps_them_through_a_command_and_an_election():
    net = founded()

    net.call(net.primary(), "submit", 1, ("k", b"v"))
    net.run(0.3)
    net.stop(net.primary())
    net.run(2.0)

    for member in net.members.values():
        member.check_invariants()
    assert net.answers[1] is None and net.primary() in net.members


def forget_promise(member):
    member.replica.promised_epoch = PromisedEpoch(0, 0)


def accept_unknown_epoch(member):
    member.replica.accepted_epoch = member.epoch + 1


def install_unaccepted_epoch(member):
    member.replica.installed_epoch = member.replica.accepted_epoch + 1


def hold_change_of_later_epoch(member):
    position = LogPosition(member.epoch + 1, 9)
    member.replica.log_position = position
    member.replica.change_index.last = position
    member.replica.uncommitted.append(LogEntry(position, {}))


def disorder_log(member):
    position = member.replica.log_position
    member.replica.uncommitted.extend([LogEntry(position, {}), LogEntry(LogPosition(0, 0), {})])


def lose_end_of_log(member):
    member.replica.uncommitted.append(LogEntry(LogPosition(1, 99), {}))


def lag_change_index(member):
    member.replica.change_index.last = LogPosition(0, 77)


def send_promise_never_made(member):
    member.durable_promise = member.replica.promised_epoch.number + 1


def campaign_as_primary(member):
    member.candidate.phase = Phase.PRE_VOTE


def follow_another_as_primary(member):
    member.primary_monitor.primary = "elsewhere:1"


def lead_without_holding(member):
    member.primary_role.epoch += 1


def lose_holder(member):
    member.primary_role.followers.clear()


def hold_twice(member):
    own = member.replica.incarnation
    member.primary_role.holders += (own,)
    member.primary_role.followers[own] = next(iter(member.primary_role.followers.values()))


def trust_write_never_sent(member):
    member.primary_role.followers[member.primary_role.holders[0]].durable_sequence = 1_000


def leave_gap_in_flight(member):
    sequence = member.replica.log_position.sequence + 5
    member.primary_role.commands.in_flight.append(InFlightWrite(sequence, {}, 0.0))


def act_after_exit(member):
    member.stopped = True


def be_active_before_durable(member):
    member.incarnation_durable = False


def follow_primary_never_heard(member):
    member.primary_monitor.primary_heard_at = float("-inf")


def forget_queued_writes(member):
    member.disk_writer.save(0.0, {"k": b"1"})
    member.disk_writer.save(0.0, {"k": b"2"})
    member.disk_writer.in_flight = None


def know_newer_epoch(member):
    replica = member.replica
    replica.promised_epoch = replica.promised_epoch._replace(number=9)
    replica.epoch_config = msgspec.structs.replace(replica.epoch_config, number=9)


CONTRADICTIONS = {
    "an epoch above the promise": forget_promise,
    "accepted an epoch that is not known": accept_unknown_epoch,
    "installed an epoch that was not accepted": install_unaccepted_epoch,
    "a change of an epoch that was not accepted": hold_change_of_later_epoch,
    "uncommitted changes out of order": disorder_log,
    "the log ends elsewhere than its position": lose_end_of_log,
    "the change index ends elsewhere than the log": lag_change_index,
    "a durable promise above the promised epoch": send_promise_never_made,
    "primary and candidate at once": campaign_as_primary,
    "a primary that follows another": follow_another_as_primary,
    "leads an epoch whose state it doesn't hold": lead_without_holding,
    "leads an epoch older than one that it knows": know_newer_epoch,
    "a holder without a follower record": lose_holder,
    "lists itself among the other holders": hold_twice,
    "a durable write beyond the end of the log": trust_write_never_sent,
    "a gap in the writes in flight": leave_gap_in_flight,
    "primary after its exit": act_after_exit,
    "active before its incarnation is durable": be_active_before_durable,
    "a primary that was never heard": follow_primary_never_heard,
    "changes are queued but no write is due": forget_queued_writes,
}


@pytest.mark.parametrize("text", CONTRADICTIONS)
def test_a_contradiction_is_found(text):
    net = founded()
    member = net.members[net.primary()]
    member.check_invariants()

    CONTRADICTIONS[text](member)

    with pytest.raises(AssertionError, match=text):
        member.check_invariants()


@pytest.mark.parametrize(
    ("phase", "text"),
    [
        (Phase.PROMISE, "campaigns without its own promise"),
        (Phase.PREPARE, "requests promises without its own"),
        (Phase.INSTALL, "an epoch without a state to continue from"),
    ],
)
def test_a_campaign_that_lacks_its_beginning_is_found(phase, text):
    net = founded()
    candidate = net.members[net.witness()].candidate
    candidate.number = 1_000 if phase is Phase.PROMISE else 0
    if phase is Phase.INSTALL:
        candidate.promises[candidate.member.replica.incarnation] = candidate.member.own_promise(0)

    candidate.phase = phase

    with pytest.raises(AssertionError, match=text):
        candidate.check_invariants()
