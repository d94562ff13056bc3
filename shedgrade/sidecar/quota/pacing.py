"""Pacing of use beyond the entitlement: an even rate (GCRA), and fair shares by weight. No I/O.

Accounts that use more than their entitlement are paced by the `FairPacing` of their parent. Each has a
*lead*: the amount that it has taken beyond its entitlement. The lead decays at the account's fair rate: its
weighted part of what all paced accounts share, per window. An account with a large lead is ahead of its pace
and is held back while other accounts are paced too.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account
    from shedgrade.sidecar.quota.lending import LendingPool

FRACTION_BITS = 16  # of leads (see above) and arrival times, which are fixed-point numbers
CONTENTION_HEADROOM_DIVISOR = 8  # 1/8 of the ceiling is left to the accounts that are behind their pace
# Paced accounts checked for idleness at a time, so that idle ones are removed soon at a bounded cost.
MAX_IDLE_CHECKS = 2
FIXED_POINT_ONE = 1 << FRACTION_BITS  # an amount of 1 as a fixed-point number


class EvenRate:
    """An amount per window, taken evenly: generic cell rate algorithm (ITU-T I.371), as a virtual schedule.

    Amounts that are taken in one burst leave the sliding window all at once, a window later, and siblings get
    no room until then. Amounts that are taken evenly also leave evenly.
    """

    __slots__ = ("theoretical_arrival",)

    def __init__(self) -> None:
        # When the next amount is due, in tenths of a ms, as a fixed-point number with FRACTION_BITS.
        self.theoretical_arrival = 0

    def conforms(self, now: int, tolerance: int = 0) -> bool:
        """Returns whether an amount may be taken now; `tolerance` (tenths of a ms) is how early it may be."""
        return self.theoretical_arrival <= now + tolerance << FRACTION_BITS

    def record(self, now: int, amount: int, allowance: int, period: int) -> None:
        """Records an amount that was taken, at a rate of `allowance` per `period` (tenths of a ms)."""
        increment = (amount * period << FRACTION_BITS) // max(1, allowance)
        self.theoretical_arrival = max(self.theoretical_arrival, now << FRACTION_BITS) + increment


class FairPacing:
    """Weighted fair shares among the children of one account that use more than they are entitled to.

    Attributes:
        pool: the pool of the account whose children are paced.
        children: the paced accounts, the least recently active first.
        total_weight: the sum of the weights of `children`.
        contended_rate: the common rate of accounts that are ahead of their pace while others contend.
    """

    __slots__ = ("pool", "children", "total_weight", "contended_rate")

    def __init__(self, pool: "LendingPool") -> None:
        self.pool = pool
        self.children: dict[Account, None] = {}
        self.total_weight = 0
        self.contended_rate = EvenRate()

    def add(self, now: int, account: "Account") -> None:
        """Starts pacing this account, unless it is paced already."""
        if account not in self.children:
            account.lead = 0
            account.lead_updated_at = now
            self.children[account] = None
            self.total_weight += account.weight

    def remove(self, account: "Account") -> None:
        """Stops pacing this account."""
        if account in self.children:
            del self.children[account]
            self.total_weight -= account.weight

    def set_weight(self, account: "Account", weight: int) -> None:
        """Sets the account's weight; updates `total_weight` if the account is among the paced `children`."""
        if account in self.children:
            self.total_weight += weight - account.weight
        account.weight = weight

    def record_excess(self, now: int, account: "Account", amount: int) -> None:
        """Records an amount that the account took beyond its entitlement."""
        if self.must_yield(now, account):
            ceiling = self.pool.account.ceiling
            self.contended_rate.record(
                now, amount, ceiling - ceiling // CONTENTION_HEADROOM_DIVISOR, self.pool.window_length()
            )
        self.add(now, account)
        del self.children[account]
        self.children[account] = None  # moves to the end, as the most recently active
        self.decay_lead(now, account)
        fair_share = (self.pool.shareable() << FRACTION_BITS) * account.weight // self.total_weight
        account.lead = min(max(FIXED_POINT_ONE, fair_share), account.lead + (amount << FRACTION_BITS))
        self.remove_idle(now)

    def decay_lead(self, now: int, account: "Account") -> None:
        """Decays the account's lead, its use beyond the entitlement, for the time since the last update."""
        elapsed = now - account.lead_updated_at
        if account.lead and elapsed > 0:
            shareable = self.pool.shareable() << FRACTION_BITS
            decay = shareable * account.weight * elapsed // (self.total_weight * self.pool.window_length())
            account.lead = max(0, account.lead - decay)
        account.lead_updated_at = max(now, account.lead_updated_at)

    def remove_idle(self, now: int) -> None:
        """Stops pacing idle accounts: their lead has decayed to 0, and they sent no request within a window.

        Checks the least recently active accounts, at most MAX_IDLE_CHECKS of them.
        """
        for _ in range(min(MAX_IDLE_CHECKS, len(self.children))):
            account = next(iter(self.children))
            self.decay_lead(now, account)
            if account.lead or now - account.last_request_at <= self.pool.window_length():
                return
            self.remove(account)

    def must_yield(self, now: int, account: "Account") -> bool:
        """Returns whether the account's lead is too large while other accounts are paced too."""
        if account not in self.children or len(self.children) == 1:
            return False
        self.decay_lead(now, account)
        fair_share = (self.pool.shareable() << FRACTION_BITS) * account.weight // self.total_weight
        if account.lead <= FIXED_POINT_ONE + fair_share // CONTENTION_HEADROOM_DIVISOR:
            return False
        self.remove_idle(now)
        return len(self.children) > 1

    def check_invariants(self) -> None:
        """Raises AssertionError if the sum of weights is wrong or a lead is negative."""
        assert self.total_weight == sum(account.weight for account in self.children)
        assert all(account.lead >= 0 for account in self.children)
