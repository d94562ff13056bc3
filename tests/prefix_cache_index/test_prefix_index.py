"""The index of which endpoint cached which prefix: how it is distributed, bounded and invalidated."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from shedgrade.prefix_cache_index import EdgePrefixIndex, PrefixIndex, PrefixIndexUpdate, prefix_key
from shedgrade.prefix_cache_index.edge import TRUST_TIMEOUT_S
from shedgrade.prefix_cache_index.index import CONFIRM_AFTER_S, MAX_PAIRS, PAIR_TTL_S

KEY_A, KEY_B = prefix_key(b"aa:100"), prefix_key(b"bb:100")


def exchange(now, index, edge, is_fresh=True):
    """Sends an edge's observations to a member's index, and that index's update back."""
    index.add(now, edge.take_unsent())
    edge.apply_response(now, is_fresh, index.update_since(*edge.version))


def test_a_prefill_observed_by_one_edge_reaches_another():
    index, first_edge, other_edge = PrefixIndex(7), EdgePrefixIndex(), EdgePrefixIndex()
    first_edge.record_prefill(1.0, KEY_A, 11)
    exchange(1.0, index, first_edge)
    exchange(1.1, index, other_edge)
    assert (
        set(other_edge.endpoints_caching(1.2, KEY_A)) == {11}
        and other_edge.endpoints_caching(1.2, KEY_B) == {}
    )
    other_edge.record_prefill(1.3, KEY_A, 12)
    exchange(1.4, index, other_edge)
    exchange(1.5, index, first_edge)
    assert set(first_edge.endpoints_caching(1.5, KEY_A)) == {11, 12}


def test_a_known_pair_is_sent_again_only_after_the_confirmation_interval():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    edge.record_prefill(1.0, KEY_A, 11)
    assert edge.take_unsent() == ((KEY_A, 11),)
    edge.record_prefill(2.0, KEY_A, 11)
    assert edge.take_unsent() == ()
    edge.record_prefill(2.0 + CONFIRM_AFTER_S, KEY_A, 11)
    assert edge.take_unsent() == ((KEY_A, 11),)
    assert index.add(1.0, [(KEY_A, 11)]) and not index.add(2.0, [(KEY_A, 11)])


def test_lost_pairs_are_sent_with_the_next_request():
    edge = EdgePrefixIndex()
    edge.record_prefill(1.0, KEY_A, 11)
    edge.restore_unsent(edge.take_unsent())
    assert edge.take_unsent() == ((KEY_A, 11),)


def test_the_index_is_trusted_only_after_a_recent_fresh_answer():
    edge = EdgePrefixIndex()
    edge.record_prefill(1.0, KEY_A, 11)
    assert edge.endpoints_caching(1.0, KEY_A) == {}
    edge.apply_response(1.0, False, PrefixIndexUpdate(7, 1, -1, ((KEY_A, 11),)))
    assert edge.endpoints_caching(1.0, KEY_A) == {}
    edge.apply_response(1.0, True, PrefixIndexUpdate(7, 1, -1, ((KEY_A, 11),)))
    assert set(edge.endpoints_caching(1.0, KEY_A)) == {11}
    assert edge.endpoints_caching(1.0 + TRUST_TIMEOUT_S + 0.1, KEY_A) == {}


def test_after_a_cut_an_edge_trusts_nothing_until_it_received_the_full_index():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(KEY_A, 11), (KEY_B, 12)])
    exchange(1.0, index, edge)
    index.retain_endpoints({12})  # 11 was lost while the edge was cut off
    edge.apply_response(9.0, True, None)  # first answer: nothing has been added since the old number
    assert edge.endpoints_caching(9.0, KEY_A) == {} and edge.version == (0, -1)
    exchange(9.1, index, edge)
    assert edge.endpoints_caching(9.1, KEY_A) == {} and set(edge.endpoints_caching(9.1, KEY_B)) == {12}


def test_a_delta_after_a_cut_is_not_enough():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(KEY_A, 11)])
    exchange(1.0, index, edge)
    version_before = edge.version
    index.add(8.0, [(KEY_B, 12)])
    edge.apply_response(9.0, True, index.update_since(*version_before))
    assert edge.endpoints_caching(9.0, KEY_A) == {} and edge.endpoints_caching(9.0, KEY_B) == {}
    exchange(9.1, index, edge)
    assert set(edge.endpoints_caching(9.1, KEY_A)) == {11} and set(edge.endpoints_caching(9.1, KEY_B)) == {12}


def test_a_member_that_was_cut_off_sends_nothing_until_it_received_a_full_index():
    cut_off, valid, edge = PrefixIndex(7), PrefixIndex(9), EdgePrefixIndex()
    for index in (cut_off, valid):
        index.add(1.0, [(KEY_A, 11)])
    cut_off.invalidate()
    valid.retain_endpoints({12})
    valid.add(3.0, [(KEY_B, 12)])
    assert cut_off.update_since(0, -1) is None and cut_off.update_since(7, 1) is None
    cut_off.restore(5.0, valid.update_since(0, -1))
    edge.apply_response(5.0, True, cut_off.update_since(7, 1))  # a number from before the cut: full index
    assert edge.endpoints_caching(5.0, KEY_A) == {} and set(edge.endpoints_caching(5.0, KEY_B)) == {12}


def test_after_a_reset_the_index_is_empty_and_valid():
    index = PrefixIndex(7, is_valid=False)
    index.add(1.0, [(KEY_A, 11)])
    assert index.update_since(0, -1) is None
    index.reset()
    assert index.update_since(0, -1) == PrefixIndexUpdate(8, 1, -1, ())


def test_the_pairs_of_an_incarnation_that_has_gone_are_removed_everywhere():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(KEY_A, 11), (KEY_A, 12)])
    exchange(1.0, index, edge)
    index.retain_endpoints({12})
    exchange(1.5, index, edge)
    assert set(edge.endpoints_caching(1.5, KEY_A)) == {12}
    assert not index.add(2.0, [(KEY_A, 11)])  # from a delayed message
    index.retain_endpoints({11, 12})  # the endpoint was missing from the list for a moment
    assert index.add(2.0, [(KEY_A, 11)])


def test_pairs_that_were_not_confirmed_for_long_are_dropped():
    index, edge = PrefixIndex(7), EdgePrefixIndex()
    index.add(1.0, [(KEY_A, 11)])
    exchange(1.0, index, edge)
    for second in range(2, int(PAIR_TTL_S) + 3):
        exchange(float(second), index, edge)
    assert edge.endpoints_caching(PAIR_TTL_S + 2.5, KEY_A) == {}
    index.add(PAIR_TTL_S + 2.5, [(KEY_B, 12)])
    assert (KEY_A, 11) not in index.pairs


def test_the_indexes_of_members_and_edges_are_bounded():
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
def test_an_edge_only_names_living_endpoints_that_have_read_the_prefix(seed):
    random, now = Random(seed), 0.0
    indexes = [PrefixIndex(7 + number) for number in range(2)]
    edges = [EdgePrefixIndex() for _ in range(3)]
    living_endpoints, prefilled = {11, 12, 13}, set()
    for _ in range(120):
        now += random.choice((0.1, 0.4, 0.9))
        action = random.random()
        if action < 0.5:
            edge = random.choice(edges)
            key, endpoint = random.choice((KEY_A, KEY_B)), random.choice(sorted(living_endpoints))
            edge.record_prefill(now, key, endpoint)
            prefilled.add((key, endpoint))
        elif action < 0.9:
            index, edge = random.choice(indexes), random.choice(edges)
            added = index.add(now, edge.take_unsent())
            for other_index in indexes:
                if other_index is not index:
                    other_index.add(now, added)
            edge.apply_response(now, True, index.update_since(*edge.version))
        else:
            removed = random.choice(sorted(living_endpoints))
            living_endpoints = living_endpoints - {removed} | {max(living_endpoints) + 1}
            for index in indexes:
                index.retain_endpoints(set(living_endpoints))
    for edge in edges:
        edge.retain_endpoints(living_endpoints)
        exchange(now + 10, indexes[0], edge)
        exchange(now + 10.1, indexes[0], edge)
        for key in (KEY_A, KEY_B):
            for endpoint in edge.endpoints_caching(now + 10.2, key):
                assert endpoint in living_endpoints and (key, endpoint) in prefilled
