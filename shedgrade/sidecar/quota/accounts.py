"""What one node may use of one limit: its own, what nobody is entitled to, and what siblings lend. No I/O.

Whole numbers throughout; times are tenths of a millisecond. Told of requests: `within_ceiling` and
`admissible_among_siblings` (may it take so much?), `record_admission`, `charge`, `refund`. The parent's side
is `lending.LendingPool`, which says what an entitlement is and when something may be borrowed.

A loan is given only up to what the borrower can repay within `repay_windows`: its credit limit.
"""

from shedgrade.sidecar.quota.lending import LendingPool
from shedgrade.sidecar.quota.limits import MILLION, LendingTerms, Limit
from shedgrade.sidecar.quota.pacing import CONTENTION_HEADROOM, EvenRate
from shedgrade.sidecar.quota.sliding_window import SlidingWindow

INSTALMENT_PART = 2  # an instalment is at most one part in two of a guarantee: no borrower is starved
LOW_VALUE_RESERVE = 16  # one part in sixteen of a ceiling is held back from the cheap by their luck
UNCONTENDED = 2  # below one part in two of a ceiling nobody is in anybody's way, and nothing is weighed


class Account:
    """One node's side of one limit.

    Attributes:
        name, dimension, limit, terms: which node and limit, and the terms of its tree.
        ceiling, guarantee, weight: those of the limit, times this sidecar's share of the fleet.
        applied_share: the share that `ceiling` and `guarantee` were computed with.
        parent: the account of the same limit one node up; None at the root or where only this node has it.
        pool: the parent's pool, in which this account and its siblings lend; None without a parent.
        children_pool: the pool of this account's own children; None while it has none.
        window: recent use; None for what is in flight, which `in_flight` counts.
        unused, reserved: what this account last contributed to the parent's sums of the same names.
        credit: by how much running instalments raise (or lower, if negative) the entitlement.
        debt: what it owes its siblings, at most `credit_limit`, unless that was lowered since.
        lead, lead_updated_at: of the parent's `FairPacing`; meaningful while this account is paced.
        last_request_at: when it last asked while there was not plenty, admitted or refused.
        loan_rate: the even rate of one that may borrow; None until it first used anything while contended.
        lends_to: names of the siblings that it lends to; None: all.
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
        """Another limit or share from now on; what is counted and owed stays."""
        self.limit = limit
        self.applied_share = self.terms.share
        self.ceiling = limit.ceiling * self.applied_share // MILLION
        guarantee = limit.guarantee * self.applied_share // MILLION
        pool = self.pool
        if pool is not None:
            pool.pacing.reweigh(self, limit.weight)
            if guarantee or self.guarantee:
                pool.guaranteed += guarantee - self.guarantee
                self.terms.guaranteed[self] = None
        self.weight = limit.weight
        self.guarantee = guarantee
        # All its debts at any time fit into the instalments of two windows each that the stated time holds,
        # less the one that may just run, less the time that a slot's rounding takes.
        self.credit_limit = self.most_per_instalment() * max(0, (self.terms.repay_windows - 1) // 2 - 1)
        if self.debt and pool is not None:
            pool.repayment.reschedule(self)
        self.update_unused()

    def most_per_instalment(self) -> int:
        """The most that it repays at a time."""
        return self.guarantee // INSTALMENT_PART

    def entitlement(self) -> int:
        """What is its own, whatever its siblings use: the guarantee, more or less what is being repaid."""
        return max(0, self.guarantee + self.credit)

    # --- use

    def used(self, now: int) -> int:
        """What counts now, in flight or in the window."""
        if self.window is None:
            return self.in_flight
        self.window.advance(now)
        return self.window.used

    def update_unused(self) -> None:
        """Brings the parent's sums up to what this account now leaves unused."""
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
        """Counts so much; returns the slot of the window it stands in, for `refund`."""
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
        """Takes back what was charged in that slot, as far as it still counts."""
        if self.window is None:
            self.in_flight -= amount
        else:
            self.window.subtract(now, slot, amount)
        self.update_unused()

    def restore_use(self, now: int, slot: int, amount: int) -> None:
        """Counts what was counted in that slot before a restart; what was in flight then is not restored."""
        if self.window is None:
            return
        self.window.restore(now, slot, amount)
        self.update_unused()
        if self.pool is not None and self.guarantee:
            self.pool.schedule_expiry(self, slot)

    # --- admission

    def within_ceiling(self, now: int, amount: int) -> bool:
        """Whether so much is within its own ceiling; brings its window up to now."""
        if self.applied_share != self.terms.share:
            self.update_limit(self.limit)
        window = self.window
        if window is None:
            return self.in_flight + amount <= self.ceiling
        if window.slots is not None:
            window.advance(now)
        return window.used + amount <= self.ceiling

    def admissible_among_siblings(self, now: int, amount: int, luck: float) -> bool:
        """Whether so much is its by right among its siblings.

        `within_ceiling` was asked of it and of its parent before. `luck`: 0 to 1, low for requests of value.
        """
        pool = self.pool
        if pool is None:
            return True  # it has no siblings
        parent, window = pool.account, self.window
        ceiling = parent.ceiling
        if pool.expiries or pool.repayment.running:
            pool.advance(now)
        if window is None or parent.window is None:
            used, filled = self.in_flight + amount, parent.in_flight + amount
        else:
            used, filled = window.used + amount, parent.window.used + amount
        if filled + pool.unused <= ceiling // UNCONTENDED or used <= self.entitlement():
            return True
        threshold = ceiling - int(ceiling // LOW_VALUE_RESERVE * luck)
        if pool.pacing.must_yield(now, self):
            threshold -= ceiling // CONTENTION_HEADROOM
            if not pool.conforms(pool.pacing.contended_rate, now):
                return False
        if filled + pool.unused - self.unused <= threshold:
            return True  # nobody is entitled to it
        return self.may_borrow(pool, now, used, filled, threshold)

    def may_borrow(self, pool: LendingPool, now: int, used: int, filled: int, threshold: int) -> bool:
        """Whether siblings lend what it lacks. `used`, `filled`: its own and the parent's use, the asked
        amount included; the parent's use must stay within `threshold`."""
        if not self.guarantee or pool.is_recalling(now):
            return False  # who has nothing to repay with borrows nothing
        not_lent = sum(other.unused - other.reserved for other in self.non_lenders)
        kept_back = pool.reserved - self.reserved + not_lent
        loan = min(used - self.entitlement(), filled + pool.unused - self.unused - pool.account.ceiling)
        return (
            pool.conforms(self.loan_rate, now)
            and filled + kept_back <= threshold
            and self.debt + loan <= self.credit_limit
        )

    def record_admission(self, now: int, amount: int) -> None:
        """It was admitted: where there is not plenty, what it takes beyond its own makes it pace itself."""
        pool = self.pool
        if pool is None:
            return
        parent = pool.account
        if parent.used(now) + amount + pool.unused <= parent.ceiling // UNCONTENDED:
            return
        self.last_request_at = now
        own = self.entitlement()
        if self.guarantee:
            # Whoever may borrow takes all it takes evenly: its own, what is nobody's, and what is lent.
            lent = (pool.guaranteed - own) * (1000 - self.terms.reserve) // 1000
            if self.loan_rate is None:
                self.loan_rate = EvenRate()
            allowance = own + parent.ceiling - pool.guaranteed + lent
            self.loan_rate.record(now, amount, allowance, pool.window_length())
        if self.used(now) + amount > own:
            pool.pacing.record_excess(now, self, amount)

    def retire(self) -> int:
        """No configuration names it any more: no guarantee from now on, its debts are forgiven. Returns how
        much of them. Its counts end with their windows; what is in flight under it still settles here."""
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
