"""Lending without I/O: against the plain model, and by what each promise says. Limits a, b, c of one
parent."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from plain import Plain

from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.state import Restored, export, restore
from shedgrade.sidecar.quota.tree import Node, Refusal, Ticket, Tree

LENGTH, PART, REPAY = 1000, 50, 10
KINDS = {"a": (100, 60), "b": (80, 40), "c": (100, 0)}


def build(terms=None, kinds=KINDS):
    root = Node("all", None, (Limit("requests", LENGTH, 100),), terms or LendingTerms())
    nodes = {
        name: Node(name, root, (Limit("requests", LENGTH, ceiling, guarantee),))
        for name, (ceiling, guarantee) in kinds.items()
    }
    return Tree(root), nodes


def account(node):
    return node.accounts["requests", LENGTH]


def spend(tree, node, count, now, again=False):
    return sum(
        isinstance(tree.admit(now, node, {"requests": 1}, is_retry=again), Ticket) for _ in range(count)
    )


def borrow(tree, node, until, start=0):
    """Asks for all it can get, part after part of the window; loans come evenly. How many it got."""
    return sum(spend(tree, node, 50, now) for now in range(start, until, 10))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from((0, 1, 7, 49, 50, 51, 300, 999, 1050, 2200)),
        st.sampled_from("aab"),
        st.integers(1, 30),
        st.booleans(),
    ),
    max_size=120,
)


# A refusal at the child's own ceiling at the moment at which a sibling's use leaves its window.
USE_EXPIRES_AT_A_REFUSAL = [
    (7, "b", 1, False),
    (49, "a", 11, False),
    (0, "a", 22, False),
    (0, "a", 22, False),
    (49, "a", 1, False),
    (300, "a", 1, False),
    (300, "a", 9, False),
    (300, "a", 15, False),
    (49, "a", 20, False),
]


@settings(max_examples=300, deadline=None)
@given(EVENTS, st.sampled_from((0, 250, 1000)))
@example(USE_EXPIRES_AT_A_REFUSAL, 0)
def test_two_children_are_admitted_as_the_plain_model_admits_them(events, reserve):
    kinds = {"a": (100, 60), "b": (80, 40)}
    tree, nodes = build(LendingTerms(reserve, REPAY), kinds)
    pool = account(tree.root).children_pool
    plain, now = Plain(100, LENGTH, PART, kinds, reserve, REPAY), 0
    for gap, name, amount, back in events:
        now += gap
        expected = plain.admits(now, name, amount, pool.conforms(account(nodes[name]).loan_rate, now))
        paced = pool.pacing.must_yield(now, account(nodes[name]))
        owed = len(pool.repayment.history)
        got = tree.admit(now, nodes[name], {"requests": amount})
        if isinstance(got, Ticket):
            assert expected
            entry = plain.charge(now, name, amount)
            if back:
                got.cancel(now)
                plain.log.remove(entry)
        else:
            assert not expected or paced
            if not (expected and paced):
                blamed = (
                    pool.repayment.history[-1].borrower.split("/")[1]
                    if len(pool.repayment.history) > owed
                    else None
                )
                if got.within_entitlement:
                    plain.refused(now, name, amount, blamed)
        assert pool.unused == sum(plain.unused(now, one) for one in kinds)
        assert pool.reserved == sum(plain.reserved(now, one) for one in kinds)
        tree.root.check_invariants()
        assert [debt.amount for debt in pool.repayment.history] == [debt["amount"] for debt in plain.debts]
        assert [debt.paid_at for debt in pool.repayment.history] == [debt["paid"] for debt in plain.debts]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from("aabbc"), st.integers(1, 40), st.booleans()),
        max_size=120,
    )
)
def test_every_debt_is_repaid_in_time_and_no_parent_passes_its_limit_in_any_window(events):
    tree, nodes = build()
    pool, log, now = account(tree.root).children_pool, [], 0
    for gap, name, count, again in events:
        now += gap
        log.extend([now] * spend(tree, nodes[name], count, now, again=again))
        entitled = [account(node).entitlement() for node in nodes.values()]
        assert sum(entitled) == 100 and min(entitled) >= 0
        tree.root.check_invariants()
        assert all(account(node).debt <= account(node).credit_limit for node in nodes.values())
    for start in log:
        assert sum(start <= at < start + LENGTH for at in log) <= 100
    pool.advance(now + (REPAY + 1) * (LENGTH + PART))
    assert not pool.repayment.outstanding and not pool.repayment.running and not pool.repayment.unscheduled
    assert all(debt.paid_at <= debt.due for debt in pool.repayment.history)


def test_a_lender_that_wakes_while_all_is_lent_has_all_of_its_own_after_one_window_and_is_repaid():
    tree, nodes = build(LendingTerms(0, REPAY))  # nothing is kept back
    pool = account(tree.root).children_pool
    assert borrow(tree, nodes["b"], 1000) == 80 and spend(tree, nodes["a"], 40, 1000) == 20
    debt = pool.repayment.outstanding
    assert debt == 20 and pool.is_recalling(1010)  # twenty refusals within its own, all by b's borrowing
    assert (
        spend(tree, nodes["a"], 40, 1010, again=True) == 0 and pool.repayment.outstanding == debt
    )  # retries count once
    # While it is owed, b gets at most what is left of its own: nothing is lent.
    later = 2 * LENGTH + PART + 10
    b, a = account(nodes["b"]), account(nodes["a"])
    assert b.entitlement() == 20 and a.entitlement() == 80
    assert spend(tree, nodes["b"], 100, later) <= 20 and spend(tree, nodes["a"], 100, later) == 80
    pool.advance(pool.repayment.history[0].due)
    assert not pool.repayment.outstanding and b.entitlement() == 40 and a.entitlement() == 60
    assert all(one.paid_at <= one.due for one in pool.repayment.history)


def test_a_refusal_at_a_full_parent_sees_that_an_instalment_has_ended():
    tree, nodes = build(LendingTerms(0, REPAY))
    pool = account(tree.root).children_pool
    assert borrow(tree, nodes["b"], 1000) == 80 and spend(tree, nodes["a"], 40, 1000) == 20
    ends = 1000 + 2 * (LENGTH + PART)  # until then b's entitlement is 20 and a's 80
    assert spend(tree, nodes["a"], 80, ends - PART) == 80 and spend(tree, nodes["b"], 20, ends - PART) == 20
    refusal = tree.admit(ends + 1, nodes["b"], {"requests": 1})
    assert refusal.within_entitlement  # b uses 20 of the 40 that are its own again
    assert not pool.repayment.outstanding and pool.recall_until == ends + 1 + LENGTH + PART


def test_a_lender_that_wakes_gently_misses_nothing_as_the_reserve_is_there_at_once():
    tree, nodes = build(LendingTerms(250, REPAY))
    now = 0
    refused = 0
    for step in range(400):  # b asks for all it can get; a wakes at 1 s with its guaranteed 60 a second
        now = step * 10
        spend(tree, nodes["b"], 5, now)
        if step >= 100 and step % 2 == 0:
            refused += 1 - spend(tree, nodes["a"], 1, now)
    assert refused == 0 and not account(tree.root).children_pool.repayment.history


def test_who_has_nothing_to_repay_with_borrows_nothing_and_who_may_not_borrow_gets_none():
    tree, nodes = build(LendingTerms(0, REPAY))
    assert spend(tree, nodes["c"], 100, 0) == 0  # all is guaranteed to a and b, and c could not repay
    tree, nodes = build(LendingTerms(0, REPAY))
    account(nodes["b"]).non_lenders = (account(nodes["a"]),)  # a does not lend to b
    assert spend(tree, nodes["b"], 100, 0) == 40
    assert spend(tree, nodes["a"], 100, 0) == 60


def test_a_small_store_is_served_beside_a_flood_by_weight_and_an_idle_fleet_serves_one_alone():
    kinds = {"flood": (100, 0), "small": (100, 0), "heavy": (100, 0)}
    tree, nodes = build(None, kinds)
    assert spend(tree, nodes["flood"], 200, 0) == 100  # alone it gets all there is
    tree, nodes = build(None, kinds)
    nodes["heavy"].update_limits((Limit("requests", LENGTH, 100, 0, weight=3),), None)
    served, now = dict.fromkeys(kinds, 0), 0
    for step in range(3000):
        now = step * 4
        for name, asks in (("flood", 4), ("small", 1 if step % 20 == 0 else 0), ("heavy", 4)):
            got = spend(tree, nodes[name], asks, now)
            if step > 1000:
                served[name] += got
    # Small asks for 12 a window, under its fair fifth: nearly all of it is served, though the others flood.
    assert served["small"] >= 0.9 * 100 and served["heavy"] > 2 * served["flood"]


def test_the_cheap_are_given_up_first_by_their_luck():
    tree, nodes = build(None, {"x": (100, 0)})
    for _ in range(97):
        tree.admit(0, nodes["x"], {"requests": 1}, 0.0)
    assert isinstance(tree.admit(0, nodes["x"], {"requests": 1}, 0.9), Refusal)
    assert isinstance(tree.admit(0, nodes["x"], {"requests": 1}, 0.1), Ticket)


def test_counts_and_debts_survive_a_restart_with_another_clock():
    tree, nodes = build(LendingTerms(0, REPAY))
    borrow(tree, nodes["b"], 1500, 500)
    spend(tree, nodes["a"], 40, 1510)
    state = export(tree, 1520, 1_000_000)
    again, fresh = build(LendingTerms(0, REPAY))
    unsound = restore(again, {"v": 1, "counted": [{}], "debts": []}, 0, 0)
    assert unsound.problem and not unsound.counted
    restored = restore(again, state, 90_000, 1_000_000)  # at once, by a clock that began anew
    assert restored == Restored(counted=200, owed=20)
    again.root.check_invariants()
    assert account(fresh["b"]).used(90_000) == 80 and account(again.root).used(90_000) == 100
    assert spend(again, fresh["a"], 10, 90_000) == 0 and account(fresh["b"]).debt >= 20
    assert spend(again, fresh["a"], 100, 91_300) == 80  # its guarantee and what b repays
    late, none = build(LendingTerms(0, REPAY))
    restore(late, state, 90_000, 1_010_000)
    assert account(late.root).used(90_000) == 0


def test_a_reload_that_takes_a_debtors_guarantee_away_forgives_and_one_that_lowers_it_pays_slower():
    tree, nodes = build(LendingTerms(0, REPAY))
    borrow(tree, nodes["b"], 1000)
    spend(tree, nodes["a"], 40, 1000)
    pool = account(tree.root).children_pool
    nodes["b"].update_limits((Limit("requests", LENGTH, 80, 10),), None)
    assert (
        sum(account(node).entitlement() for node in nodes.values()) == 70 and pool.repayment.outstanding == 20
    )
    pool.advance(60 * LENGTH)
    assert not pool.repayment.outstanding
    nodes["b"].update_limits((Limit("requests", LENGTH, 80, 40),), None)
    borrow(tree, nodes["b"], 71 * LENGTH, 70 * LENGTH)
    spend(tree, nodes["a"], 100, 71 * LENGTH)
    assert pool.repayment.outstanding == 40
    nodes["b"].update_limits((Limit("requests", LENGTH, 80, 0),), None)
    assert pool.repayment.outstanding == 0 and account(nodes["a"]).entitlement() == 60


def test_a_reload_that_changes_the_weight_of_a_paced_node_keeps_the_sum_of_weights():
    tree, nodes = build(None, {"x": (100, 0), "y": (100, 0)})
    pool = account(tree.root).children_pool
    spend(tree, nodes["x"], 80, 0)
    assert account(nodes["x"]) in pool.pacing.children
    nodes["x"].update_limits((Limit("requests", LENGTH, 100, 0, weight=7),), None)
    assert pool.pacing.total_weight == 7
    spend(tree, nodes["y"], 10, 10 * LENGTH)
    spend(tree, nodes["y"], 80, 11 * LENGTH)  # x is idle by now and no longer paced
    assert list(pool.pacing.children) == [account(nodes["y"])] and pool.pacing.total_weight == 1
    tree.root.check_invariants()


def test_a_loan_is_no_larger_than_what_its_borrower_can_repay_in_time():
    tree, nodes = build(LendingTerms(0, REPAY), {"a": (100, 90), "b": (100, 4)})
    # 4 of its own, 6 that are nobody's, and of the 90 that lie idle the 6 that three instalments of 2 repay.
    assert borrow(tree, nodes["b"], 1000) == 16
    assert spend(tree, nodes["a"], 100, 1000) == 84 and account(nodes["b"]).debt == 6


def test_counts_from_what_a_clock_that_went_back_calls_the_future_count_as_of_now():
    tree, nodes = build()
    spend(tree, nodes["a"], 50, 500)
    again, fresh = build()
    restore(again, export(tree, 500, 1_000_000), 90_000, 900_000)  # 100 s back
    assert account(fresh["a"]).used(90_000) == 50 and account(fresh["a"]).used(90_000 + 22 * PART) == 0
