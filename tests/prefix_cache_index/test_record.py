"""The record of who holds which prompts' parts: spread, bounded, and true again before it is believed."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from shedgrade.prefix_cache_index import EdgePrefixIndex, PrefixIndex, PrefixIndexUpdate, key_of
from shedgrade.prefix_cache_index.edge import TRUSTED
from shedgrade.prefix_cache_index.index import MOST, ONCE_MORE, STALE

A, B = key_of(b"aa:100"), key_of(b"bb:100")


def ask(now, ledger, record, fresh=True):
    """One ask of an edge: what it saw goes up, what others saw comes down."""
    ledger.read(now, record.outgoing())
    record.told(now, fresh, ledger.since(*record.version))


def test_what_one_edge_saw_another_is_told():
    ledger, one, other = PrefixIndex(7), EdgePrefixIndex(), EdgePrefixIndex()
    one.saw(1.0, A, 11)
    ask(1.0, ledger, one)
    ask(1.1, ledger, other)
    assert set(other.holders(1.2, A)) == {11} and other.holders(1.2, B) == {}
    other.saw(1.3, A, 12)
    ask(1.4, ledger, other)
    ask(1.5, ledger, one)
    assert set(one.holders(1.5, A)) == {11, 12}


def test_what_is_known_is_not_told_again_for_a_while():
    ledger, one = PrefixIndex(7), EdgePrefixIndex()
    one.saw(1.0, A, 11)
    assert one.outgoing() == ((A, 11),)
    one.saw(2.0, A, 11)
    assert one.outgoing() == ()
    one.saw(2.0 + ONCE_MORE, A, 11)
    assert one.outgoing() == ((A, 11),)
    assert ledger.read(1.0, [(A, 11)]) and not ledger.read(2.0, [(A, 11)])


def test_what_did_not_arrive_is_told_with_the_next_ask():
    one = EdgePrefixIndex()
    one.saw(1.0, A, 11)
    one.lost(one.outgoing())
    assert one.outgoing() == ((A, 11),)


def test_nothing_is_believed_without_a_fresh_word():
    record = EdgePrefixIndex()
    record.saw(1.0, A, 11)
    assert record.holders(1.0, A) == {}
    record.told(1.0, False, PrefixIndexUpdate(7, 1, -1, ((A, 11),)))
    assert record.holders(1.0, A) == {}
    record.told(1.0, True, PrefixIndexUpdate(7, 1, -1, ((A, 11),)))
    assert set(record.holders(1.0, A)) == {11}
    assert record.holders(1.0 + TRUSTED + 0.1, A) == {}


def test_after_a_cut_an_edge_believes_nothing_until_it_was_told_all_anew():
    ledger, record = PrefixIndex(7), EdgePrefixIndex()
    ledger.read(1.0, [(A, 11), (B, 12)])
    ask(1.0, ledger, record)
    ledger.listed({12})  # 11 was lost while the edge was cut off
    record.told(9.0, True, None)  # the first word: nothing new by the old number
    assert record.holders(9.0, A) == {} and record.version == (0, -1)
    ask(9.1, ledger, record)
    assert record.holders(9.1, A) == {} and set(record.holders(9.1, B)) == {12}


def test_a_delta_after_a_cut_is_not_enough():
    ledger, record = PrefixIndex(7), EdgePrefixIndex()
    ledger.read(1.0, [(A, 11)])
    ask(1.0, ledger, record)
    before = record.version
    ledger.read(8.0, [(B, 12)])
    record.told(9.0, True, ledger.since(*before))
    assert record.holders(9.0, A) == {} and record.holders(9.0, B) == {}
    ask(9.1, ledger, record)
    assert set(record.holders(9.1, A)) == {11} and set(record.holders(9.1, B)) == {12}


def test_a_member_that_was_cut_off_says_nothing_until_another_told_it_all():
    cut, sound, record = PrefixIndex(7), PrefixIndex(9), EdgePrefixIndex()
    for ledger in (cut, sound):
        ledger.read(1.0, [(A, 11)])
    cut.cut()
    sound.listed({12})
    sound.read(3.0, [(B, 12)])
    assert cut.since(0, -1) is None and cut.since(7, 1) is None
    cut.take(5.0, sound.since(0, -1))
    record.told(5.0, True, cut.since(7, 1))  # numbers from before the cut: told whole
    assert record.holders(5.0, A) == {} and set(record.holders(5.0, B)) == {12}


def test_all_started_anew_hold_nothing():
    ledger = PrefixIndex(7, true=False)
    ledger.read(1.0, [(A, 11)])
    assert ledger.since(0, -1) is None
    ledger.nobody()
    assert ledger.since(0, -1) == PrefixIndexUpdate(8, 1, -1, ())


def test_an_incarnation_that_is_gone_holds_nothing_anywhere():
    ledger, record = PrefixIndex(7), EdgePrefixIndex()
    ledger.read(1.0, [(A, 11), (A, 12)])
    ask(1.0, ledger, record)
    ledger.listed({12})
    ask(1.5, ledger, record)
    assert set(record.holders(1.5, A)) == {12}
    assert not ledger.read(2.0, [(A, 11)])  # a word that was long under way
    ledger.listed({11, 12})  # the list had lacked it for a moment
    assert ledger.read(2.0, [(A, 11)])


def test_what_was_unused_for_long_is_held_to_be_let_go():
    ledger, record = PrefixIndex(7), EdgePrefixIndex()
    ledger.read(1.0, [(A, 11)])
    ask(1.0, ledger, record)
    for second in range(2, int(STALE) + 3):
        ask(float(second), ledger, record)
    assert record.holders(STALE + 2.5, A) == {}
    ledger.read(STALE + 2.5, [(B, 12)])
    assert (A, 11) not in ledger.pairs


def test_both_are_bounded():
    ledger, record = PrefixIndex(7), EdgePrefixIndex()
    pairs = [(number, 11) for number in range(MOST + 500)]
    ledger.read(1.0, pairs)
    for key, mark in pairs:
        record.saw(1.0, key, mark)
    assert len(ledger.pairs) == MOST and len(record.by_key) == MOST and len(record.mine) == MOST
    assert len(ledger.since(0, -1).pairs) <= 2048 and len(record.outgoing()) <= 2048


@given(st.integers(0, 10_000))
def test_what_an_edge_believes_is_held_by_a_living_incarnation_that_was_seen_to_read_it(seed):
    random, now = Random(seed), 0.0
    ledgers = [PrefixIndex(7 + number) for number in range(2)]
    records = [EdgePrefixIndex() for _ in range(3)]
    alive, read = {11, 12, 13}, set()
    for _ in range(120):
        now += random.choice((0.1, 0.4, 0.9))
        what = random.random()
        if what < 0.5:
            record = random.choice(records)
            key, mark = random.choice((A, B)), random.choice(sorted(alive))
            record.saw(now, key, mark)
            read.add((key, mark))
        elif what < 0.9:
            ledger, record = random.choice(ledgers), random.choice(records)
            news = ledger.read(now, record.outgoing())
            for other in ledgers:
                if other is not ledger:
                    other.read(now, news)
            record.told(now, True, ledger.since(*record.version))
        else:
            gone = random.choice(sorted(alive))
            alive = alive - {gone} | {max(alive) + 1}
            for ledger in ledgers:
                ledger.listed(set(alive))
    for record in records:
        record.listed(alive)
        ask(now + 10, ledgers[0], record)
        ask(now + 10.1, ledgers[0], record)
        for key in (A, B):
            for mark in record.holders(now + 10.2, key):
                assert mark in alive and (key, mark) in read
