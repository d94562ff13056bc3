"""Quotas without I/O, compared with plain logs of what was admitted, for any order of events."""

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
def test_no_interval_of_a_windows_length_exceeds_its_limit(length, limit, events):
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
def test_a_window_agrees_with_a_log_by_slot(length, events):
    window, log, now = SlidingWindow(length), [], 0
    for gap, amount, is_subtracted in events:
        now += gap
        slot = window.add(now, amount)
        if is_subtracted:
            window.subtract(now, slot, amount)
        else:
            log.append((slot, amount))
        window.advance(now)
        window.check_invariants()
        assert window.used == sum(amount for slot, amount in log if now // window.slot_length - slot <= SLOTS)
    fits_at = window.free_at(now, 60, 7)
    if fits_at is not None and fits_at > now:
        window.advance(fits_at - 1)
        assert window.used + 7 > 60
        window.advance(fits_at)
        assert window.used + 7 <= 60


def test_a_clock_that_goes_back_changes_nothing_and_one_that_jumps_ahead_empties_the_window():
    window = SlidingWindow(1000)
    window.add(500, 5)
    window.advance(100)
    assert window.used == 5
    window.advance(10**9)
    assert window.used == 0 and window.slots is None


def build_tree(reserve=250):
    root = Node("all", None, (Limit("requests", 1000, 100), Limit(IN_FLIGHT, 0, 50)), LendingTerms(reserve))
    a = Node("a", root, (Limit("requests", 1000, 100, 60),))
    b = Node("b", root, (Limit("requests", 1000, 80, 40),))
    return Tree(root), root, a, b


def admit_many(tree, node, count, now=0):
    return [tree.admit(now, node, {"requests": 1}) for _ in range(count)]


def admitted(decisions):
    return sum(isinstance(decision, Ticket) for decision in decisions)


def spend(tree, node, count, now=0):
    """Asks for this many requests and settles each at once; returns how many were admitted."""
    admitted_count = 0
    for _ in range(count):
        decision = tree.admit(now, node, {"requests": 1})
        if isinstance(decision, Ticket):
            decision.settle(now, {})
            admitted_count += 1
    return admitted_count


def test_a_refused_request_is_not_charged_and_a_cancelled_one_is_refunded_once():
    tree, root, a, b = build_tree()
    tickets = admit_many(tree, a, 50)
    # The limit of 50 in flight is reached.
    assert admitted(tickets) == 50 and isinstance(tree.admit(0, a, {"requests": 1}), Refusal)
    for ticket in tickets * 2:
        ticket.cancel(5)
        ticket.settle(5, {"requests": 9})
    assert root.in_flight == a.in_flight == 0 and root.accounts["requests", 1000].window.used == 0
    assert admitted(admit_many(tree, a, 50)) == 50


def test_use_beyond_the_estimate_is_charged_and_unused_work_is_refunded():
    root = Node("all", None, (Limit("work", 1000, 100),))
    tree = Tree(root)
    tree.admit(0, root, {"work": 10}).settle(50, {"work": 100})
    assert root.accounts["work", 1000].window.used == 100
    refusal = tree.admit(60, root, {"work": 10})
    assert isinstance(refusal, Refusal) and refusal.retry_at > 1000
    assert isinstance(tree.admit(refusal.retry_at, root, {"work": 10}), Ticket)
    other = Tree(Node("all", None, (Limit("work", 1000, 100),)))
    other.admit(0, other.root, {"work": 90}).settle(50, {"work": 1})
    assert other.root.accounts["work", 1000].window.used == 1


def test_made_up_names_shed_no_use_and_make_no_more_leaves_than_the_maximum():
    root = Node("all", None, (Limit("requests", 1000, 500),))
    default_leaf = Node("others", root, (Limit("requests", 1000, 20),))
    root.template = True
    tree = Tree(
        root, lambda parent, name: Node(name, parent, (Limit("requests", 1000, 10),)), max_dynamic_leaves=30
    )
    leaves = {id(tree.find(0, [f"made-{number}"], default_leaf)): number for number in range(30)}
    assert len(leaves) == 30 and len(tree.dynamic_leaves) == 30
    for number in range(30):
        tree.admit(0, tree.find(0, [f"made-{number}"], default_leaf), {"requests": 1}).settle(0, {})
    assert tree.find(1, ["made-99"], default_leaf) is default_leaf  # all leaves still have use in the window
    assert tree.find(3000, ["made-99"], default_leaf) is not default_leaf and len(tree.dynamic_leaves) == 30


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from("ab"), st.integers(1, 9), st.sampled_from("scn")),
        max_size=80,
    )
)
def test_no_order_of_events_lifts_a_parent_over_its_limit_in_any_window(events):
    tree, root, a, b = build_tree()
    log, now, open_tickets = [], 0, []
    for gap, node_name, amount, outcome in events:
        now += gap
        decision = tree.admit(now, a if node_name == "a" else b, {"requests": amount})
        if isinstance(decision, Refusal):
            continue
        if outcome == "c":
            decision.cancel(now)
            continue
        log.append((now, amount))
        open_tickets.append(decision)
        if outcome == "s":
            open_tickets.pop(0).settle(now, {})
        root.check_invariants()
    for start, _ in log:
        assert sum(amount for at, amount in log if start <= at < start + 1000) <= 100
    assert root.in_flight == len(open_tickets) <= 50
