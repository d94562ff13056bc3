"""Lending among the children of one account: each lends what it leaves unused of its guarantee. No I/O.

A `LendingPool` is the parent's side of one limit. It keeps sums over the children, so that an admission costs
the same however many children there are. With E an account's entitlement (its guarantee, plus or minus what
is being repaid), C the parent's ceiling and `unused` the sum of (E - used) where that is positive:

- up to E an account uses its entitlement, whatever its siblings use, as long as the parent has room;
- beyond E it uses what no sibling is entitled to, while the parent's use + `unused` of the others stays
  within C;
- beyond that it borrows. The reserve of each sibling's unused entitlement is never lent, so that a lender
  that becomes active again has some room at once.

A lender that is refused within its entitlement has lent too much. From that moment nothing is lent under this
parent (*recall*): after one window and one slot, all use that counts was admitted with every entitlement left
free, so every child has its own in full. What the lender was refused is a debt of the heaviest borrower
(`repayment.py`). A loan for which no lender was refused ends when its use leaves the window. The reasons
for this design are in docs/design/quotas.md.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from shedgrade.sidecar.quota.pacing import EvenRate, FairPacing
from shedgrade.sidecar.quota.repayment import Repayment
from shedgrade.sidecar.quota.sliding_window import SLOTS

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account

# Children examined for the one that uses most beyond its guarantee, so that the work does not grow with the
# number of siblings.
BORROWERS_EXAMINED = 32
IN_FLIGHT_PERIOD = 10_000  # tenths of a ms; the window length assumed for a limit without a window


class LendingPool:
    """The parent's side of one limit: sums over its children, pacing, and repayment.

    Attributes:
        account: the parent's account.
        unused: the sum over the children of what they leave unused of their entitlements.
        reserved: the part of `unused` that is never lent.
        guaranteed: the sum of the children's guarantees.
        expiries: by slot of the window, the children with a guarantee and use in it; their `unused` is
            updated when the slot leaves the window.
        current_slot: the slot up to which `expiries` has been processed.
        recall_until: the end of the recall, before which nothing is lent, in tenths of a ms.
        pacing: the children that use more than their entitlement.
        repayment: debts among the children.

    The sums are those at the last `advance`.
    """

    __slots__ = (
        "account",
        "unused",
        "reserved",
        "guaranteed",
        "expiries",
        "current_slot",
        "recall_until",
        "pacing",
        "repayment",
    )

    def __init__(self, account: "Account") -> None:
        self.account = account
        self.unused = 0
        self.reserved = 0
        self.guaranteed = 0
        self.expiries: dict[int, dict[Account, None]] = {}
        self.current_slot = 0
        self.recall_until = -1
        self.pacing = FairPacing(self)
        self.repayment = Repayment(self)

    # --- time

    def schedule_expiry(self, account: "Account", slot: int) -> None:
        """Registers the account, which has use in this slot, for update when the slot leaves the window."""
        if account.window is not None:
            self.expiries.setdefault(slot, {})[account] = None

    def advance(self, now: int) -> None:
        """Advances the sums to `now`: use that has left the window is removed, and due instalments end."""
        window = self.account.window
        if window is not None and now // window.slot_length > self.current_slot:
            self.expire_slots(now, now // window.slot_length)
        if self.repayment.running:
            self.repayment.complete_due(now)

    def expire_slots(self, now: int, slot: int) -> None:
        """Advances to this slot; updates the accounts with use in slots that have left the window."""
        if slot - self.current_slot <= SLOTS:
            expired: Iterable[int] = range(self.current_slot - SLOTS, slot - SLOTS)
        else:
            expired = [expired_slot for expired_slot in self.expiries if expired_slot < slot - SLOTS]
        self.current_slot = slot
        for expired_slot in expired:
            for account in self.expiries.pop(expired_slot, ()):
                if account.window is not None:
                    account.window.advance(now)
                    account.update_unused()

    def last_advanced_at(self) -> int:
        """Returns the time up to which slots have been processed, in tenths of a ms; 0 without a window."""
        window = self.account.window
        return self.current_slot * window.slot_length if window is not None else 0

    def window_length(self) -> int:
        """Returns the window's length plus one slot, in tenths of a ms; a fixed period without a window."""
        window = self.account.window
        return window.length + window.slot_length if window is not None else IN_FLIGHT_PERIOD

    # --- lending

    def shareable(self) -> int:
        """Returns what paced children share by weight: what no child is entitled to, and what may be lent."""
        return max(1, self.account.ceiling - self.guaranteed + self.unused - self.reserved)

    def conforms(self, rate: EvenRate | None, now: int) -> bool:
        """Returns whether that rate, if there is one, allows an amount now; tolerates a burst of one slot."""
        window = self.account.window
        return rate is None or window is None or rate.conforms(now, window.slot_length)

    def is_recalling(self, now: int) -> bool:
        """Returns whether lending is suspended.

        It is for one window and slot after a lender was refused within its entitlement, and until all debts
        among the children are repaid.
        """
        return now < self.recall_until or self.repayment.outstanding > 0

    def record_refusal(self, now: int, account: "Account", amount: int, is_retry: bool) -> None:
        """Records that this pool had no room for a request of the child.

        A refusal within the child's entitlement starts a recall, and a debt unless it is of a marked retry.
        """
        account.last_request_at = now
        if account.used(now) + amount > account.entitlement():
            self.pacing.add(now, account)
            return
        self.recall_until = now + self.window_length()
        if is_retry or account.used(now) + amount > account.guarantee:
            # A retry makes no second debt. An amount above the guarantee was to come from a repayment to the
            # child and is no loan of the child's, so that its refusal makes no debt either.
            return
        borrower = self.heaviest_borrower(now, account, amount)
        if borrower is not None:
            self.repayment.add_debt(now, account, borrower, amount)

    def heaviest_borrower(self, now: int, lender: "Account", amount: int) -> "Account | None":
        """Returns the child that uses most beyond its guarantee, of the most recently active paced children.

        None if no child does, or if that child's debt can't grow by the amount.
        """
        heaviest, largest_excess = None, 0
        for number, child in enumerate(reversed(self.pacing.children)):
            excess = child.used(now) - child.guarantee
            if child is not lender and child.guarantee and excess > largest_excess:
                heaviest, largest_excess = child, excess
            if number == BORROWERS_EXAMINED:
                break
        if heaviest is None or heaviest.debt + amount > min(heaviest.credit_limit, largest_excess):
            return None
        return heaviest

    def check_invariants(self, children: Iterable["Account"]) -> None:
        """Raises AssertionError if the sums differ from those over `children`, all that the account has."""
        children = list(children)
        assert self.unused == sum(child.unused for child in children)
        assert self.reserved == sum(child.reserved for child in children)
        assert self.guaranteed == sum(child.guarantee for child in children)
        assert sum(child.credit for child in children) == 0, "repayment changed the sum of entitlements"
        assert self.repayment.outstanding == sum(child.debt for child in children)
        self.pacing.check_invariants()
        self.repayment.check_invariants()
