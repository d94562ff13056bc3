"""When a primary counts as confirmed by a majority of the members."""

from shedgrade.replication.majority_contact import NEVER, ROUNDS_KEPT, MajorityContact


def test_confirmed_as_of_the_sending_of_the_round_that_a_majority_acknowledged():
    contact = MajorityContact(epoch_confirmed_at=10.0)
    for number, at in ((1, 11.0), (3, 12.0)):
        contact.record_round_sent(at, number)
    contact.record_acknowledgement(7, 3)
    assert contact.confirm(12.5, (7, 8, 9, 6), 2) == 10.0
    contact.record_acknowledgement(8, 2)  # a round between heartbeats, sent after round 1
    assert contact.confirm(12.6, (7, 8, 9, 6), 2) == 11.0
    contact.record_acknowledgement(8, 1)
    contact.record_acknowledgement(5, 3)  # not a member
    assert contact.confirm(12.7, (7, 8, 9, 6), 2) == 11.0


def test_a_single_member_is_its_own_majority_and_a_round_not_sent_confirms_nothing():
    assert MajorityContact().confirm(5.0, (), 0) == 5.0
    contact = MajorityContact()
    contact.record_acknowledgement(7, 3)
    assert contact.confirm(5.0, (7, 8), 1) == contact.confirm(5.0, (), 1) == NEVER


def test_acknowledgements_of_rounds_sent_long_ago_are_ignored():
    contact = MajorityContact()
    for number in range(1, 2 * ROUNDS_KEPT):
        contact.record_round_sent(float(number), number)
    contact.record_acknowledgement(7, 1)
    assert contact.confirm(99.0, (7, 8), 1) == NEVER
