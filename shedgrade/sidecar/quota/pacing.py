"""How fast an account uses what is not its own: an even rate (GCRA), and fair shares by weight. No I/O.

Accounts that use more than their entitlement are paced by the `FairPacing` of their parent. Each has a
*lead*: what it has taken beyond its entitlement, less what has run off since at its weight's part of what
there is for all of them. While several of them contend, those whose lead is large are held back.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account
    from shedgrade.sidecar.quota.lending import LendingPool

FRACTION_BITS = 16  # bits by which leads and rates are finer than whole amounts
CONTENTION_HEADROOM = 8  # one part in eight of the ceiling is left to those behind their pace
IDLE_CHECKS = 2  # paced accounts that are looked at for each one that enters: none stays for long
ONE = 1 << FRACTION_BITS


class EvenRate:
    """An amount per window, taken evenly: the generic cell rate algorithm (ITU-T I.371), as a virtual
    schedule.

    What is taken in one burst leaves the window in one, and until then siblings find nothing coming free.
    """

    __slots__ = ("theoretical_arrival",)

    def __init__(self) -> None:
        self.theoretical_arrival = 0  # when the next is due, in tenths of a ms, FRACTION_BITS finer

    def conforms(self, now: int, tolerance: int = 0) -> bool:
        """Whether an amount may be taken now; up to `tolerance` (tenths of a ms) too early is allowed."""
        return self.theoretical_arrival <= now + tolerance << FRACTION_BITS

    def record(self, now: int, amount: int, allowance: int, period: int) -> None:
        """So much was taken, at a rate of `allowance` in `period` (tenths of a ms)."""
        increment = (amount * period << FRACTION_BITS) // max(1, allowance)
        self.theoretical_arrival = max(self.theoretical_arrival, now << FRACTION_BITS) + increment


class FairPacing:
    """Weighted fair shares among the children of one account that use more than they are entitled to.

    Attributes:
        children: the paced accounts, the longest unseen first.
        total_weight: the sum of the weights of `children`.
        contended_rate: the rate of those ahead of their pace while others contend.
    """

    __slots__ = ("pool", "children", "total_weight", "contended_rate")

    def __init__(self, pool: "LendingPool") -> None:
        self.pool = pool
        self.children: dict[Account, None] = {}
        self.total_weight = 0
        self.contended_rate = EvenRate()

    def add(self, now: int, account: "Account") -> None:
        """Begins to pace this account, unless it is paced already."""
        if account not in self.children:
            account.lead = 0
            account.lead_updated_at = now
            self.children[account] = None
            self.total_weight += account.weight

    def remove(self, account: "Account") -> None:
        """Paces this account no longer."""
        if account in self.children:
            del self.children[account]
            self.total_weight -= account.weight

    def reweigh(self, account: "Account", weight: int) -> None:
        """Gives this account, paced or not, another weight."""
        if account in self.children:
            self.total_weight += weight - account.weight
        account.weight = weight

    def record_excess(self, now: int, account: "Account", amount: int) -> None:
        """The account took so much beyond its entitlement."""
        if self.must_yield(now, account):
            ceiling = self.pool.account.ceiling
            self.contended_rate.record(
                now, amount, ceiling - ceiling // CONTENTION_HEADROOM, self.pool.window_length()
            )
        self.add(now, account)
        del self.children[account]
        self.children[account] = None  # it goes behind the others
        self.decay_lead(now, account)
        fair_share = (self.pool.shareable() << FRACTION_BITS) * account.weight // self.total_weight
        account.lead = min(max(ONE, fair_share), account.lead + (amount << FRACTION_BITS))
        self.remove_idle(now)

    def decay_lead(self, now: int, account: "Account") -> None:
        """Lets the account's lead run off for the time since it was last looked at."""
        elapsed = now - account.lead_updated_at
        if account.lead and elapsed > 0:
            shareable = self.pool.shareable() << FRACTION_BITS
            run_off = shareable * account.weight * elapsed // (self.total_weight * self.pool.window_length())
            account.lead = max(0, account.lead - run_off)
        account.lead_updated_at = max(now, account.lead_updated_at)

    def remove_idle(self, now: int) -> None:
        """Drops accounts without a lead that have not asked for a window's length, a few at a call."""
        for _ in range(min(IDLE_CHECKS, len(self.children))):
            account = next(iter(self.children))
            self.decay_lead(now, account)
            if account.lead or now - account.last_request_at <= self.pool.window_length():
                return
            self.remove(account)

    def must_yield(self, now: int, account: "Account") -> bool:
        """Whether it is ahead of its pace while others, too, want what nobody is entitled to."""
        if account not in self.children or len(self.children) == 1:
            return False
        self.decay_lead(now, account)
        fair_share = (self.pool.shareable() << FRACTION_BITS) * account.weight // self.total_weight
        if account.lead <= ONE + fair_share // CONTENTION_HEADROOM:
            return False
        self.remove_idle(now)
        return len(self.children) > 1

    def check_invariants(self) -> None:
        """AssertionError if the sum of weights or a lead can't be right."""
        assert self.total_weight == sum(account.weight for account in self.children)
        assert all(account.lead >= 0 for account in self.children)
