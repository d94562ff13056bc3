"""Lending without I/O: against the reference model, and by each property that it keeps. Children a, b and c
of one parent have one limit each."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from plain import ReferenceModel

from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.state import Restored, export, restore
from shedgrade.sidecar.quota.tree import Node, Refusal, Ticket, Tree

WINDOW_LENGTH, SLOT_LENGTH, REPAY_WINDOWS = 1000, 50, 10
CHILDREN = {"a": (100, 60), "b": (80, 40), "c": (100, 0)}


def build(terms=None, children=CHILDREN):
    root = Node("all", None, (Limit("requests", WINDOW_LENGTH, 100),), terms or LendingTerms())
    nodes = {
        name: Node(name, root, (Limit("requests", WINDOW_LENGTH, ceiling, guarantee),))
        for name, (ceiling, guarantee) in children.items()
    }
    return Tree(root), nodes


def account(node):
    return node.accounts["requests", WINDOW_LENGTH]


def spend(tree, node, count, now, is_retry=False):
    return sum(
        isinstance(tree.admit(now, node, {"requests": 1}, is_retry=is_retry), Ticket) for _ in range(count)
    )


def borrow(tree, node, until, start=0):
    """Asks for all it can get, every ms, as loans are paced evenly; returns how many were admitted."""
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


# A refusal at the child's own ceiling at the very time at which a sibling's use leaves its window.
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
def test_two_children_are_admitted_as_by_the_reference_model(events, reserve):
    children = {"a": (100, 60), "b": (80, 40)}
    tree, nodes = build(LendingTerms(reserve, REPAY_WINDOWS), children)
    pool = account(tree.root).children_pool
    reference, now = ReferenceModel(100, WINDOW_LENGTH, SLOT_LENGTH, children, reserve, REPAY_WINDOWS), 0
    for gap, name, amount, is_cancelled in events:
        now += gap
        expected = reference.admits(now, name, amount, pool.conforms(account(nodes[name]).loan_rate, now))
        paced = pool.pacing.must_yield(now, account(nodes[name]))
        debt_count = len(pool.repayment.debt_history)
        decision = tree.admit(now, nodes[name], {"requests": amount})
        if isinstance(decision, Ticket):
            assert expected
            entry = reference.charge(now, name, amount)
            if is_cancelled:
                decision.cancel(now)
                reference.log.remove(entry)
        else:
            assert not expected or paced
            if not (expected and paced):
                heaviest_borrower = (
                    pool.repayment.debt_history[-1].borrower.split("/")[1]
                    if len(pool.repayment.debt_history) > debt_count
                    else None
                )
                if decision.within_entitlement:
                    reference.refused(now, name, amount, heaviest_borrower)
        assert pool.unused == sum(reference.unused(now, one) for one in children)
        assert pool.reserved == sum(reference.reserved(now, one) for one in children)
        tree.root.check_invariants()
        assert [debt.amount for debt in pool.repayment.debt_history] == [
            debt["amount"] for debt in reference.debts
        ]
        assert [debt.paid_at for debt in pool.repayment.debt_history] == [
            debt["paid"] for debt in reference.debts
        ]


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.sampled_from("aabbc"), st.integers(1, 40), st.booleans()),
        max_size=120,
    )
)
def test_every_debt_is_repaid_in_time_and_no_parent_exceeds_its_limit_in_any_window(events):
    tree, nodes = build()
    pool, log, now = account(tree.root).children_pool, [], 0
    for gap, name, count, is_retry in events:
        now += gap
        log.extend([now] * spend(tree, nodes[name], count, now, is_retry=is_retry))
        entitled = [account(node).entitlement() for node in nodes.values()]
        assert sum(entitled) == 100 and min(entitled) >= 0
        tree.root.check_invariants()
        assert all(account(node).debt <= account(node).credit_limit for node in nodes.values())
    for start in log:
        assert sum(start <= at < start + WINDOW_LENGTH for at in log) <= 100
    pool.advance(now + (REPAY_WINDOWS + 1) * (WINDOW_LENGTH + SLOT_LENGTH))
    assert not pool.repayment.outstanding and not pool.repayment.running and not pool.repayment.unscheduled
    assert all(debt.paid_at <= debt.due_at for debt in pool.repayment.debt_history)


def test_a_lender_that_resumes_while_all_is_lent_has_its_entitlement_after_one_window_and_is_repaid():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))  # without a reserve
    pool = account(tree.root).children_pool
    assert borrow(tree, nodes["b"], 1000) == 80 and spend(tree, nodes["a"], 40, 1000) == 20
    debt = pool.repayment.outstanding
    # Twenty refusals within the guarantee, all caused by b's loan.
    assert debt == 20 and pool.is_recalling(1010)
    # Retries add no debt.
    assert spend(tree, nodes["a"], 40, 1010, is_retry=True) == 0 and pool.repayment.outstanding == debt
    # While it owes, b gets at most what is left of its entitlement, as nothing is lent.
    later = 2 * WINDOW_LENGTH + SLOT_LENGTH + 10
    b, a = account(nodes["b"]), account(nodes["a"])
    assert b.entitlement() == 20 and a.entitlement() == 80
    assert spend(tree, nodes["b"], 100, later) <= 20 and spend(tree, nodes["a"], 100, later) == 80
    pool.advance(pool.repayment.debt_history[0].due_at)
    assert not pool.repayment.outstanding and b.entitlement() == 40 and a.entitlement() == 60
    assert all(one.paid_at <= one.due_at for one in pool.repayment.debt_history)


def test_a_refusal_at_a_full_parent_first_ends_an_instalment_that_is_over():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))
    pool = account(tree.root).children_pool
    assert borrow(tree, nodes["b"], 1000) == 80 and spend(tree, nodes["a"], 40, 1000) == 20
    ends_at = 1000 + 2 * (WINDOW_LENGTH + SLOT_LENGTH)  # until then b is entitled to 20 and a to 80
    assert (
        spend(tree, nodes["a"], 80, ends_at - SLOT_LENGTH) == 80
        and spend(tree, nodes["b"], 20, ends_at - SLOT_LENGTH) == 20
    )
    refusal = tree.admit(ends_at + 1, nodes["b"], {"requests": 1})
    assert refusal.within_entitlement  # b uses 20 of the 40 that it is entitled to again
    assert not pool.repayment.outstanding and pool.recall_until == ends_at + 1 + WINDOW_LENGTH + SLOT_LENGTH


def test_a_lender_that_resumes_at_its_guaranteed_rate_is_served_at_once_from_the_reserve():
    tree, nodes = build(LendingTerms(250, REPAY_WINDOWS))
    now = 0
    refused = 0
    for step in range(400):  # b asks for all it can get; a resumes at 1 s at its guaranteed 60 a second
        now = step * 10
        spend(tree, nodes["b"], 5, now)
        if step >= 100 and step % 2 == 0:
            refused += 1 - spend(tree, nodes["a"], 1, now)
    assert refused == 0 and not account(tree.root).children_pool.repayment.debt_history


def test_nothing_is_lent_without_a_guarantee_to_repay_from_or_by_a_non_lender():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))
    assert spend(tree, nodes["c"], 100, 0) == 0  # all is guaranteed to a and b, and c could not repay a loan
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))
    account(nodes["b"]).non_lenders = (account(nodes["a"]),)  # a does not lend to b
    assert spend(tree, nodes["b"], 100, 0) == 40
    assert spend(tree, nodes["a"], 100, 0) == 60


def test_a_small_store_is_served_beside_a_flood_by_weight_and_a_store_alone_gets_the_whole_ceiling():
    children = {"flood": (100, 0), "small": (100, 0), "heavy": (100, 0)}
    tree, nodes = build(None, children)
    assert spend(tree, nodes["flood"], 200, 0) == 100  # without contention it gets the whole ceiling
    tree, nodes = build(None, children)
    nodes["heavy"].update_limits((Limit("requests", WINDOW_LENGTH, 100, 0, weight=3),), None)
    served, now = dict.fromkeys(children, 0), 0
    for step in range(3000):
        now = step * 4
        for name, request_count in (("flood", 4), ("small", 1 if step % 20 == 0 else 0), ("heavy", 4)):
            admitted = spend(tree, nodes[name], request_count, now)
            if step > 1000:
                served[name] += admitted
    # Small asks for about 12 a window, less than its fair fifth: nearly all of it is served, though the
    # others flood.
    assert served["small"] >= 0.9 * 100 and served["heavy"] > 2 * served["flood"]


def test_requests_of_low_payoff_are_refused_first_by_their_admission_draw():
    tree, nodes = build(None, {"x": (100, 0)})
    for _ in range(97):
        tree.admit(0, nodes["x"], {"requests": 1}, 0.0)
    assert isinstance(tree.admit(0, nodes["x"], {"requests": 1}, 0.9), Refusal)
    assert isinstance(tree.admit(0, nodes["x"], {"requests": 1}, 0.1), Ticket)


def test_counts_and_debts_survive_a_restart_with_another_clock():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))
    borrow(tree, nodes["b"], 1500, 500)
    spend(tree, nodes["a"], 40, 1510)
    state = export(tree, 1520, 1_000_000)
    restored_tree, restored_nodes = build(LendingTerms(0, REPAY_WINDOWS))
    invalid = restore(restored_tree, {"v": 1, "counted": [{}], "debts": []}, 0, 0)
    assert invalid.problem and not invalid.counted
    # Restored without delay, by a process whose clock started anew.
    restored = restore(restored_tree, state, 90_000, 1_000_000)
    assert restored == Restored(counted=200, owed=20)
    restored_tree.root.check_invariants()
    assert account(restored_nodes["b"]).used(90_000) == 80 and account(restored_tree.root).used(90_000) == 100
    assert (
        spend(restored_tree, restored_nodes["a"], 10, 90_000) == 0 and account(restored_nodes["b"]).debt >= 20
    )
    assert spend(restored_tree, restored_nodes["a"], 100, 91_300) == 80  # its guarantee and what b repays
    late_tree, _ = build(LendingTerms(0, REPAY_WINDOWS))
    restore(late_tree, state, 90_000, 1_010_000)
    assert account(late_tree.root).used(90_000) == 0


def test_a_reload_that_removes_a_borrowers_guarantee_forgives_and_one_that_lowers_it_slows_repayment():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS))
    borrow(tree, nodes["b"], 1000)
    spend(tree, nodes["a"], 40, 1000)
    pool = account(tree.root).children_pool
    nodes["b"].update_limits((Limit("requests", WINDOW_LENGTH, 80, 10),), None)
    assert (
        sum(account(node).entitlement() for node in nodes.values()) == 70 and pool.repayment.outstanding == 20
    )
    pool.advance(60 * WINDOW_LENGTH)
    assert not pool.repayment.outstanding
    nodes["b"].update_limits((Limit("requests", WINDOW_LENGTH, 80, 40),), None)
    borrow(tree, nodes["b"], 71 * WINDOW_LENGTH, 70 * WINDOW_LENGTH)
    spend(tree, nodes["a"], 100, 71 * WINDOW_LENGTH)
    assert pool.repayment.outstanding == 40
    nodes["b"].update_limits((Limit("requests", WINDOW_LENGTH, 80, 0),), None)
    assert pool.repayment.outstanding == 0 and account(nodes["a"]).entitlement() == 60


def test_a_reload_that_changes_the_weight_of_a_paced_node_updates_the_sum_of_weights():
    tree, nodes = build(None, {"x": (100, 0), "y": (100, 0)})
    pool = account(tree.root).children_pool
    spend(tree, nodes["x"], 80, 0)
    assert account(nodes["x"]) in pool.pacing.children
    nodes["x"].update_limits((Limit("requests", WINDOW_LENGTH, 100, 0, weight=7),), None)
    assert pool.pacing.total_weight == 7
    spend(tree, nodes["y"], 10, 10 * WINDOW_LENGTH)
    spend(tree, nodes["y"], 80, 11 * WINDOW_LENGTH)  # x is idle by now and no longer paced
    assert list(pool.pacing.children) == [account(nodes["y"])] and pool.pacing.total_weight == 1
    tree.root.check_invariants()


def test_a_loan_is_no_larger_than_what_its_borrower_can_repay_in_time():
    tree, nodes = build(LendingTerms(0, REPAY_WINDOWS), {"a": (100, 90), "b": (100, 4)})
    # 4 of its guarantee, 6 that nobody is entitled to, and of the 90 unused the 6 that three instalments of 2
    # repay.
    assert borrow(tree, nodes["b"], 1000) == 16
    assert spend(tree, nodes["a"], 100, 1000) == 84 and account(nodes["b"]).debt == 6


def test_restored_use_that_lies_ahead_of_a_wall_clock_that_went_back_counts_as_of_now():
    tree, nodes = build()
    spend(tree, nodes["a"], 50, 500)
    restored_tree, restored_nodes = build()
    # The wall clock went back 100 s.
    restore(restored_tree, export(tree, 500, 1_000_000), 90_000, 900_000)
    assert (
        account(restored_nodes["a"]).used(90_000) == 50
        and account(restored_nodes["a"]).used(90_000 + 22 * SLOT_LENGTH) == 0
    )
