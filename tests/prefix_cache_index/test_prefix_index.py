"""The index of which endpoint cached which prefix: spread, bounded, and valid again before it is trusted."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from shedgrade.prefix_cache_index import EdgePrefixIndex, PrefixIndex, PrefixIndexUpdate, prefix_key
from shedgrade.prefix_cache_index.edge import TRUST_TIMEOUT_S
from shedgrade.prefix_cache_index.index import CONFIRM_AFTER_S, MAX_PAIRS, PAIR_TTL_S

A, B = prefix_key(b"aa:100"), prefix_key(b"bb:100")


def ask(now, index, edge, fresh=True):
    """One ask of an edge: what it saw goes up, what others saw comes down."""
    index.add(now, edge.take_unsent())
    edge.apply_response(now, fresh, index.update_since(*edge.version))


def test_what_one_edge_saw_another_is_told():
    index, one, other = PrefixIndex(7), EdgePrefixIndex(), EdgePrefixIndex()
    one.record_prefill(1.0, A, 11)
    ask(1.0, index, one)
    ask(1.1, index, other)
    assert set(other.endpoints_caching(1.2, A)) == {11} and other.endpoints_caching(1.2, B) == {}
    other.record_prefill(1.3, A, 12)
    ask(1.4, index, other)
    ask(1.5, index, one)
    assert set(one.endpoints_caching(1.5, A)) == {11, 12}


def test_what_is_known_is_not_told_again_for_a_while():
    index, one = PrefixIndex(7), EdgePrefixIndex()
    one.record_prefill(1.0, A, 11)
    assert one.take_unsent() == ((A, 11),)
    one.record_prefill(2.0, A, 11)
    assert one.take_unsent() == ()
    one.record_prefill(2.0 + CONFIRM_AFTER_S, A, 11)
    assert one.take_unsent() == ((A, 11),)
    assert index.add(1.0, [(A, 11)]) and not index.add(2.0, [(A, 11)])


def test_what_did_not_arrive_is_told_with_the_next_ask():
    one = EdgePrefixIndex()
    one.record_prefill(1.0, A, 11)
    one.restore_unsent(one.take_unsent())
    assert one.take_unsent() == ((A, 11),)


def test_nothing_is_believed_without_a_fresh_word():
    edge = EdgePrefixIndex()
    edge.record_prefill(1.0, A, 11)
    assert edge.endpoints_caching(1.0, A) == {}
    edge.apply_response(1.0, False, PrefixIndexUpdate(7, 1, -1, ((A, 11),)))
    assert edge.endpoints_caching(1.0, A) == {}
    edge.apply_response(1.0, True, PrefixIndexUpdate(7, 1, -1, ((A, 11),)))
    assert set(edge.endpoints_caching(1.0, A)) == {11}
    assert edge.endpoints_caching(1.0 + TRUST_TIMEOUT_S + 0.1, A) == {}


def test_after_a_cut_an_edge_believes_nothing_until_it_was_told_all_anew():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(A, 11), (B, 12)])
    ask(1.0, index, edge)
    index.retain_endpoints({12})  # 11 was lost while the edge was cut off
    edge.apply_response(9.0, True, None)  # the first word: nothing new by the old number
    assert edge.endpoints_caching(9.0, A) == {} and edge.version == (0, -1)
    ask(9.1, index, edge)
    assert edge.endpoints_caching(9.1, A) == {} and set(edge.endpoints_caching(9.1, B)) == {12}


def test_a_delta_after_a_cut_is_not_enough():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(A, 11)])
    ask(1.0, index, edge)
    before = edge.version
    index.add(8.0, [(B, 12)])
    edge.apply_response(9.0, True, index.update_since(*before))
    assert edge.endpoints_caching(9.0, A) == {} and edge.endpoints_caching(9.0, B) == {}
    ask(9.1, index, edge)
    assert set(edge.endpoints_caching(9.1, A)) == {11} and set(edge.endpoints_caching(9.1, B)) == {12}


def test_a_member_that_was_cut_off_says_nothing_until_another_told_it_all():
    cut, sound, edge = PrefixIndex(7), PrefixIndex(9), EdgePrefixIndex()
    for index in (cut, sound):
        index.add(1.0, [(A, 11)])
    cut.invalidate()
    sound.retain_endpoints({12})
    sound.add(3.0, [(B, 12)])
    assert cut.update_since(0, -1) is None and cut.update_since(7, 1) is None
    cut.restore(5.0, sound.update_since(0, -1))
    edge.apply_response(5.0, True, cut.update_since(7, 1))  # numbers from before the cut: told whole
    assert edge.endpoints_caching(5.0, A) == {} and set(edge.endpoints_caching(5.0, B)) == {12}


def test_all_started_anew_hold_nothing():
    index = PrefixIndex(7, is_valid=False)
    index.add(1.0, [(A, 11)])
    assert index.update_since(0, -1) is None
    index.reset()
    assert index.update_since(0, -1) == PrefixIndexUpdate(8, 1, -1, ())


def test_an_incarnation_that_is_gone_holds_nothing_anywhere():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(A, 11), (A, 12)])
    ask(1.0, index, edge)
    index.retain_endpoints({12})
    ask(1.5, index, edge)
    assert set(edge.endpoints_caching(1.5, A)) == {12}
    assert not index.add(2.0, [(A, 11)])  # a word that was long under way
    index.retain_endpoints({11, 12})  # the list had lacked it for a moment
    assert index.add(2.0, [(A, 11)])


def test_what_was_unused_for_long_is_held_to_be_let_go():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(A, 11)])
    ask(1.0, index, edge)
    for second in range(2, int(PAIR_TTL_S) + 3):
        ask(float(second), index, edge)
    assert edge.endpoints_caching(PAIR_TTL_S + 2.5, A) == {}
    index.add(PAIR_TTL_S + 2.5, [(B, 12)])
    assert (A, 11) not in index.pairs


def test_both_are_bounded():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    pairs = [(number, 11) for number in range(MAX_PAIRS + 500)]
    index.add(1.0, pairs)
    for key, endpoint in pairs:
        edge.record_prefill(1.0, key, endpoint)
    assert (
        len(index.pairs) == MAX_PAIRS
        and len(edge.seen_at) == MAX_PAIRS
        and len(edge.reported_at) == MAX_PAIRS
    )
    assert len(index.update_since(0, -1).pairs) <= 2048 and len(edge.take_unsent()) <= 2048


@given(st.integers(0, 10_000))
def test_what_an_edge_believes_is_held_by_a_living_incarnation_that_was_seen_to_read_it(seed):
    random, now = Random(seed), 0.0
    indexes = [PrefixIndex(7 + number) for number in range(2)]
    edges = [EdgePrefixIndex() for _ in range(3)]
    alive, read = {11, 12, 13}, set()
    for _ in range(120):
        now += random.choice((0.1, 0.4, 0.9))
        what = random.random()
        if what < 0.5:
            edge = random.choice(edges)
            key, endpoint = random.choice((A, B)), random.choice(sorted(alive))
            edge.record_prefill(now, key, endpoint)
            read.add((key, endpoint))
        elif what < 0.9:
            index, edge = random.choice(indexes), random.choice(edges)
            news = index.add(now, edge.take_unsent())
            for other in indexes:
                if other is not index:
                    other.add(now, news)
            edge.apply_response(now, True, index.update_since(*edge.version))
        else:
            gone = random.choice(sorted(alive))
            alive = alive - {gone} | {max(alive) + 1}
            for index in indexes:
                index.retain_endpoints(set(alive))
    for edge in edges:
        edge.retain_endpoints(alive)
        ask(now + 10, indexes[0], edge)
        ask(now + 10.1, indexes[0], edge)
        for key in (A, B):
            for endpoint in edge.endpoints_caching(now + 10.2, key):
                assert endpoint in alive and (key, endpoint) in read
