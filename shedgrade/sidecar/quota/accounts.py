"""One node's use of one limit: its entitlement, what no sibling is entitled to, and loans. No I/O.

Amounts are integers; times are in tenths of a millisecond. An admission asks `within_ceiling` and
`fits_among_siblings`, then calls `record_admission` and `charge`; `refund` takes a charge back. The
parent's side is `lending.LendingPool`, which defines entitlements and when an account may borrow.

A loan is given only up to what the borrower can repay within `repay_windows`: its credit limit.
"""

from shedgrade.sidecar.quota.lending import LendingPool
from shedgrade.sidecar.quota.limits import MILLION, LendingTerms, Limit
from shedgrade.sidecar.quota.pacing import CONTENTION_HEADROOM_DIVISOR, EvenRate
from shedgrade.sidecar.quota.sliding_window import SlidingWindow

INSTALMENT_DIVISOR = 2  # an instalment is at most half of a guarantee, so that no borrower is starved
# Up to 1/16 of the parent's ceiling is withheld from requests of low payoff, in proportion to their
# admission draw.
LOW_VALUE_RESERVE_DIVISOR = 16
# Siblings don't compete, and nothing is paced, while the parent's use and the unused entitlements of its
# children fill at most half of its ceiling.
UNCONTENDED_DIVISOR = 2


class Account:
    """One node's side of one limit.

    Attributes:
        name, dimension, limit, terms: the full name of the node, the limit, and the terms of the tree.
        ceiling, guarantee: those of the limit, times this sidecar's share of the fleet.
        weight: that of the limit.
        applied_share: the share that `ceiling` and `guarantee` were computed with, in millionths.
        parent: the account of the same limit at the parent node; None if the parent has no such limit.
        pool: the parent's pool, in which this account and its siblings lend; None without a parent.
        children_pool: the pool of this account's own children; None while it has none.
        window: recent use; None for a limit of requests in flight.
        in_flight: requests in flight, for a limit without a window.
        unused, reserved: what this account last contributed to the pool's sums of the same names.
        credit: by how much running instalments raise the entitlement; negative where they lower it.
        debt: what it owes its siblings; at most `credit_limit`, unless that was lowered since.
        credit_limit: the most that it may owe at any time.
        lead: use beyond the entitlement, less its decay, as a fixed-point number (see `pacing.py`).
        lead_updated_at: when `lead` was last decayed. Both are valid only while this account is paced.
        last_request_at: when it last asked under contention, admitted or refused.
        loan_rate: the even rate of an account that may borrow; None until its first use under contention.
        lends_to: names of the siblings that it lends to; None for all.
        non_lenders: accounts of the siblings that do not lend to it.
    """

    __slots__ = (
        "name",
        "dimension",
        "limit",
        "terms",
        "ceiling",
        "guarantee",
        "weight",
        "applied_share",
        "parent",
        "pool",
        "children_pool",
        "window",
        "in_flight",
        "unused",
        "reserved",
        "credit",
        "debt",
        "credit_limit",
        "lead",
        "lead_updated_at",
        "last_request_at",
        "loan_rate",
        "lends_to",
        "non_lenders",
    )

    def __init__(self, name: str, limit: Limit, parent: "Account | None", terms: LendingTerms) -> None:
        self.name = name
        self.dimension = limit.dimension
        self.terms = terms
        self.parent = parent
        self.children_pool: LendingPool | None = None
        self.window = SlidingWindow(limit.window + terms.transit) if limit.window else None
        self.in_flight = 0
        self.unused = 0
        self.reserved = 0
        self.credit = 0
        self.debt = 0
        self.credit_limit = 0
        self.lead = 0
        self.lead_updated_at = 0
        self.last_request_at = 0
        self.loan_rate: EvenRate | None = None
        self.lends_to: frozenset[str] | None = None
        self.non_lenders: tuple[Account, ...] = ()
        self.ceiling = 0
        self.guarantee = 0
        self.weight = limit.weight
        if parent is not None and parent.children_pool is None:
            parent.children_pool = LendingPool(parent)
        self.pool = parent.children_pool if parent is not None else None
        self.update_limit(limit)

    # --- limits

    def update_limit(self, limit: Limit) -> None:
        """Applies another limit or a changed share; use and debts are kept."""
        self.limit = limit
        self.applied_share = self.terms.share
        self.ceiling = limit.ceiling * self.applied_share // MILLION
        guarantee = limit.guarantee * self.applied_share // MILLION
        pool = self.pool
        if pool is not None:
            pool.pacing.set_weight(self, limit.weight)
            if guarantee or self.guarantee:
                pool.guaranteed += guarantee - self.guarantee
                self.terms.guaranteed[self] = None
        self.weight = limit.weight
        self.guarantee = guarantee
        # The account's debts at any time fit into the instalments, of two windows each, that end within
        # `repay_windows`: one window less for the rounding to slots, and one instalment less for the one that
        # may be running.
        self.credit_limit = self.max_instalment() * max(0, (self.terms.repay_windows - 1) // 2 - 1)
        if self.debt and pool is not None:
            pool.repayment.reschedule(self)
        self.update_unused()

    def max_instalment(self) -> int:
        """Returns the most that one instalment repays."""
        return self.guarantee // INSTALMENT_DIVISOR

    def entitlement(self) -> int:
        """Returns what the account may use whatever its siblings use: its guarantee, plus its credit.

        The credit is what siblings are repaying to it now, negative for what it is repaying to them.
        """
        return max(0, self.guarantee + self.credit)

    # --- use

    def used(self, now: int) -> int:
        """Returns the account's use at `now`: amounts in flight, or those within the window."""
        if self.window is None:
            return self.in_flight
        self.window.advance(now)
        return self.window.used

    def update_unused(self) -> None:
        """Updates the pool's sums to what this account now leaves unused."""
        pool = self.pool
        if pool is None or (not self.guarantee and not self.unused and not self.credit):
            return
        used = self.in_flight if self.window is None else self.window.used
        unused = max(0, self.entitlement() - used)
        reserved = min(unused, self.guarantee * self.terms.reserve // 1000)
        pool.unused += unused - self.unused
        pool.reserved += reserved - self.reserved
        self.unused = unused
        self.reserved = reserved

    def charge(self, now: int, amount: int) -> int:
        """Counts an amount; returns the slot of the window in which it counts, for `refund`."""
        slot = 0
        if self.window is None:
            self.in_flight += amount
        else:
            slot = self.window.add(now, amount)
        if self.pool is not None:
            if self.guarantee:
                self.update_unused()
                self.pool.schedule_expiry(self, slot)
            elif self.unused or self.credit:
                self.update_unused()
        return slot

    def refund(self, now: int, slot: int, amount: int) -> None:
        """Takes back an amount that was charged in that slot, unless the slot has left the window."""
        if self.window is None:
            self.in_flight -= amount
        else:
            self.window.subtract(now, slot, amount)
        self.update_unused()

    def restore_use(self, now: int, slot: int, amount: int) -> None:
        """Counts an amount from before a restart in its slot; amounts in flight are not restored."""
        if self.window is None:
            return
        self.window.restore(now, slot, amount)
        self.update_unused()
        if self.pool is not None and self.guarantee:
            self.pool.schedule_expiry(self, slot)

    # --- admission

    def within_ceiling(self, now: int, amount: int) -> bool:
        """Returns whether the amount fits under the account's own ceiling.

        Applies a changed share and advances the window to `now` first.
        """
        if self.applied_share != self.terms.share:
            self.update_limit(self.limit)
        window = self.window
        if window is None:
            return self.in_flight + amount <= self.ceiling
        if window.slots is not None:
            window.advance(now)
        return window.used + amount <= self.ceiling

    def fits_among_siblings(self, now: int, amount: int, admission_draw: float) -> bool:
        """Returns whether no sibling is entitled to the amount, or siblings lend it, and the pace is kept.

        `within_ceiling` must have been called before, for this account and its parent, as it advances their
        windows. `admission_draw`: 0 to 1, low for requests of high payoff.
        """
        pool = self.pool
        if pool is None:
            return True  # an account without a parent has no siblings
        parent, window = pool.account, self.window
        ceiling = parent.ceiling
        if pool.expiries or pool.repayment.running:
            pool.advance(now)
        if window is None or parent.window is None:
            used, parent_used = self.in_flight + amount, parent.in_flight + amount
        else:
            used, parent_used = window.used + amount, parent.window.used + amount
        if parent_used + pool.unused <= ceiling // UNCONTENDED_DIVISOR or used <= self.entitlement():
            return True
        threshold = ceiling - int(ceiling // LOW_VALUE_RESERVE_DIVISOR * admission_draw)
        if pool.pacing.must_yield(now, self):
            threshold -= ceiling // CONTENTION_HEADROOM_DIVISOR
            if not pool.conforms(pool.pacing.contended_rate, now):
                return False
        if parent_used + pool.unused - self.unused <= threshold:
            return True  # no sibling is entitled to it
        return self.may_borrow(pool, now, used, parent_used, threshold)

    def may_borrow(self, pool: LendingPool, now: int, used: int, parent_used: int, threshold: int) -> bool:
        """Returns whether siblings lend the amount that the account lacks.

        `used`, `parent_used`: the use of the account and of its parent, the requested amount included. The
        use of the parent and what siblings do not lend must stay within `threshold`.
        """
        if not self.guarantee or pool.is_recalling(now):
            return False  # without a guarantee it could not repay; during a recall nothing is lent
        withheld = sum(other.unused - other.reserved for other in self.non_lenders)
        not_lendable = pool.reserved - self.reserved + withheld
        loan = min(used - self.entitlement(), parent_used + pool.unused - self.unused - pool.account.ceiling)
        return (
            pool.conforms(self.loan_rate, now)
            and parent_used + not_lendable <= threshold
            and self.debt + loan <= self.credit_limit
        )

    def record_admission(self, now: int, amount: int) -> None:
        """Records an admitted amount under contention, so that use beyond the entitlement is paced."""
        pool = self.pool
        if pool is None:
            return
        parent = pool.account
        if parent.used(now) + amount + pool.unused <= parent.ceiling // UNCONTENDED_DIVISOR:
            return
        self.last_request_at = now
        entitlement = self.entitlement()
        if self.guarantee:
            # An account that may borrow is paced in all its use: its entitlement, what no sibling is entitled
            # to, and loans.
            lendable = (pool.guaranteed - entitlement) * (1000 - self.terms.reserve) // 1000
            if self.loan_rate is None:
                self.loan_rate = EvenRate()
            allowance = entitlement + parent.ceiling - pool.guaranteed + lendable
            self.loan_rate.record(now, amount, allowance, pool.window_length())
        if self.used(now) + amount > entitlement:
            pool.pacing.record_excess(now, self, amount)

    def retire(self) -> int:
        """Ends the account of a removed node or limit; returns the sum of the debts that are forgiven.

        From now on it has no guarantee. Its use counts until it leaves the window; requests in flight still
        settle in this account.
        """
        pool = self.pool
        if pool is None:
            return 0
        forgiven = pool.repayment.forgive(self)
        pool.guaranteed -= self.guarantee
        self.limit = Limit(self.limit.dimension, self.limit.window, 0)
        self.guarantee = 0
        self.credit_limit = 0
        self.ceiling = 0
        self.update_unused()
        self.terms.guaranteed.pop(self, None)
        pool.pacing.remove(self)
        return forgiven
