"""Quotas without I/O: exact against a plain log, whatever the order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from shedgrade.sidecar.quota.limits import IN_FLIGHT, LendingTerms, Limit
from shedgrade.sidecar.quota.sliding_window import SLOTS, SlidingWindow
from shedgrade.sidecar.quota.tree import Node, Refusal, Ticket, Tree


@settings(max_examples=200, deadline=None)
@given(
    st.integers(20, 500),
    st.integers(1, 40),
    st.lists(st.tuples(st.integers(0, 300), st.integers(1, 12)), max_size=60),
)
def test_no_interval_of_a_windows_length_passes_its_limit(length, limit, events):
    window, log, now = SlidingWindow(length), [], 0
    for gap, amount in events:
        now += gap
        window.advance(now)
        if window.used + amount <= limit:
            window.add(now, amount)
            log.append((now, amount))
    for start, _ in log:
        assert sum(amount for at, amount in log if start <= at < start + length) <= limit


@settings(max_examples=200, deadline=None)
@given(
    st.integers(20, 500),
    st.lists(st.tuples(st.integers(0, 300), st.integers(1, 12), st.booleans()), max_size=40),
)
def test_a_window_agrees_with_a_plain_log_of_parts(length, events):
    window, log, now = SlidingWindow(length), [], 0
    for gap, amount, back in events:
        now += gap
        place = window.add(now, amount)
        if back:
            window.subtract(now, place, amount)
        else:
            log.append((place, amount))
        window.advance(now)
        window.check_invariants()
        assert window.used == sum(
            amount for place, amount in log if now // window.slot_length - place <= SLOTS
        )
    moment = window.free_at(now, 60, 7)
    if moment is not None and moment > now:
        window.advance(moment - 1)
        assert window.used + 7 > 60
        window.advance(moment)
        assert window.used + 7 <= 60


def test_a_clock_that_stalls_and_leaps_or_goes_back_breaks_nothing():
    window = SlidingWindow(1000)
    window.add(500, 5)
    window.advance(100)
    assert window.used == 5
    window.advance(10**9)
    assert window.used == 0 and window.slots is None


def tree(reserve=250):
    root = Node("all", None, (Limit("requests", 1000, 100), Limit(IN_FLIGHT, 0, 50)), LendingTerms(reserve))
    a = Node("a", root, (Limit("requests", 1000, 100, 60),))
    b = Node("b", root, (Limit("requests", 1000, 80, 40),))
    return Tree(root), root, a, b


def take(one, node, count, now=0):
    return [one.admit(now, node, {"requests": 1}) for _ in range(count)]


def admitted(found):
    return sum(isinstance(ticket, Ticket) for ticket in found)


def spend(one, node, count, now=0):
    """So many are asked for and settled at once; how many were admitted."""
    found = 0
    for _ in range(count):
        got = one.admit(now, node, {"requests": 1})
        if isinstance(got, Ticket):
            got.settle(now, {})
            found += 1
    return found


def test_a_refused_rpc_charges_nothing_and_a_cancelled_one_gives_back_once():
    one, root, a, b = tree()
    tickets = take(one, a, 50)
    assert admitted(tickets) == 50 and isinstance(one.admit(0, a, {"requests": 1}), Refusal)  # in flight
    for ticket in tickets * 2:
        ticket.cancel(5)
        ticket.settle(5, {"requests": 9})
    assert root.in_flight == a.in_flight == 0 and root.accounts["requests", 1000].window.used == 0
    assert admitted(take(one, a, 50)) == 50


def test_costs_that_turn_out_ten_times_the_estimate_are_charged_and_less_is_returned():
    root = Node("all", None, (Limit("work", 1000, 100),))
    one = Tree(root)
    one.admit(0, root, {"work": 10}).settle(50, {"work": 100})
    assert root.accounts["work", 1000].window.used == 100
    refused = one.admit(60, root, {"work": 10})
    assert isinstance(refused, Refusal) and refused.retry_at > 1000
    assert isinstance(one.admit(refused.retry_at, root, {"work": 10}), Ticket)
    other = Tree(Node("all", None, (Limit("work", 1000, 100),)))
    other.admit(0, other.root, {"work": 90}).settle(50, {"work": 1})
    assert other.root.accounts["work", 1000].window.used == 1


def test_made_up_names_gain_nothing_and_take_no_more_room_than_is_stated():
    root = Node("all", None, (Limit("requests", 1000, 500),))
    shared = Node("others", root, (Limit("requests", 1000, 20),))
    root.template = True
    one = Tree(
        root, lambda parent, name: Node(name, parent, (Limit("requests", 1000, 10),)), max_dynamic_leaves=30
    )
    leaves = {id(one.find(0, [f"made-{number}"], shared)): number for number in range(30)}
    assert len(leaves) == 30 and len(one.dynamic_leaves) == 30
    for number in range(30):
        one.admit(0, one.find(0, [f"made-{number}"], shared), {"requests": 1}).settle(0, {})
    assert one.find(1, ["made-99"], shared) is shared  # all of them are still counted
    assert one.find(3000, ["made-99"], shared) is not shared and len(one.dynamic_leaves) == 30


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from("ab"), st.integers(1, 9), st.sampled_from("scn")),
        max_size=80,
    )
)
def test_no_history_lifts_a_parent_over_its_limit_in_any_window(events):
    one, root, a, b = tree()
    log, now, waiting = [], 0, []
    for gap, who, amount, what in events:
        now += gap
        got = one.admit(now, a if who == "a" else b, {"requests": amount})
        if isinstance(got, Refusal):
            continue
        if what == "c":
            got.cancel(now)
            continue
        log.append((now, amount))
        waiting.append(got)
        if what == "s":
            waiting.pop(0).settle(now, {})
        root.check_invariants()
    for start, _ in log:
        assert sum(amount for at, amount in log if start <= at < start + 1000) <= 100
    assert root.in_flight == len(waiting) <= 50
