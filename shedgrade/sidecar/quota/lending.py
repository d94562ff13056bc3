"""What the children of one account leave unused of their guarantees, and lend to each other. No I/O.

A `LendingPool` is the parent's side of one limit: sums over its children that make an admission cost the same
however many there are. With E an account's entitlement (its guarantee, more or less what is being repaid), C
the parent's ceiling and `unused` the sum of (E - used) where that is positive:

- up to E an account uses its own, whatever its siblings do, as far as the parent has room;
- beyond E it uses what nobody is entitled to, while the parent's use + `unused` of the others stays within C;
- beyond that it borrows. Of each sibling's unused entitlement the reserve is never lent, so that a lender
  that wakes finds something there at once.

A lender that is refused within its entitlement was lent dry. From that moment nothing is lent under this
parent (*recall*): after one window and a part of it every use that counts was admitted with every entitlement
left free, so every child has its own in full. What the lender was refused is a debt of the heaviest borrower
(`repayment.py`). A loan that its lender never missed ends with the window that it was given in. Why it is
done so: docs/design/quotas.md.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from shedgrade.sidecar.quota.pacing import EvenRate, FairPacing
from shedgrade.sidecar.quota.repayment import Repayment
from shedgrade.sidecar.quota.sliding_window import SLOTS

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account

BORROWERS_EXAMINED = 32  # for the heaviest: work does not grow with siblings
IN_FLIGHT_PERIOD = 10_000  # tenths of a ms: what stands for the window of a limit that has none


class LendingPool:
    """The parent's side of one limit: sums over its children, pacing, and repayment.

    Attributes:
        account: the parent.
        unused: the sum over the children of what they leave unused of their entitlements.
        reserved: the part of `unused` that is never lent.
        guaranteed: the sum of the children's guarantees.
        expiries: by slot of the window, the guaranteed children with use in it; brought up to date when the
            slot leaves the window.
        current_slot: up to which slot `expiries` has been worked off.
        recall_until: until then nothing is lent, in tenths of a ms.
        pacing: the children that use more than their entitlement.
        repayment: debts among the children.

    The sums hold for the moment of the last `advance`.
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
        """The account has use in this slot, which will leave the window."""
        if account.window is not None:
            self.expiries.setdefault(slot, {})[account] = None

    def advance(self, now: int) -> None:
        """Brings the sums up to now: use that no longer counts leaves them, instalments that are over end."""
        window = self.account.window
        if window is not None and now // window.slot_length > self.current_slot:
            self.expire_slots(now, now // window.slot_length)
        if self.repayment.running:
            self.repayment.complete_due(now)

    def expire_slots(self, now: int, slot: int) -> None:
        """Moves on to this slot; accounts with use in slots that left the window are brought up to now."""
        if slot - self.current_slot <= SLOTS:
            expired: Iterable[int] = range(self.current_slot - SLOTS, slot - SLOTS)
        else:
            expired = [past for past in self.expiries if past < slot - SLOTS]
        self.current_slot = slot
        for past in expired:
            for account in self.expiries.pop(past, ()):
                if account.window is not None:
                    account.window.advance(now)
                    account.update_unused()

    def last_advanced_at(self) -> int:
        """The moment up to which the window has been worked off, in tenths of a ms; 0 without a window."""
        window = self.account.window
        return self.current_slot * window.slot_length if window is not None else 0

    def window_length(self) -> int:
        """The window's, to its next slot, in tenths of a ms; a fixed period for what is in flight."""
        window = self.account.window
        return window.length + window.slot_length if window is not None else IN_FLIGHT_PERIOD

    # --- lending

    def shareable(self) -> int:
        """What the paced children share by weight: all that is neither entitled nor kept back, and loans."""
        return max(1, self.account.ceiling - self.guaranteed + self.unused - self.reserved)

    def conforms(self, rate: EvenRate | None, now: int) -> bool:
        """Whether that rate allows an amount now; a burst of one slot is let through."""
        window = self.account.window
        return rate is None or window is None or rate.conforms(now, window.slot_length)

    def is_recalling(self, now: int) -> bool:
        """Whether nothing is lent now, as a lender lacked its own or is still owed."""
        return now < self.recall_until or self.repayment.outstanding > 0

    def record_refusal(self, now: int, account: "Account", amount: int, is_retry: bool) -> None:
        """The child was refused for want of room here. A marked retry makes no second debt."""
        account.last_request_at = now
        if account.used(now) + amount > account.entitlement():
            self.pacing.add(now, account)
            return
        self.recall_until = now + self.window_length()
        if is_retry or account.used(now) + amount > account.guarantee:
            return  # what it misses of a repayment is no loan of its own
        borrower = self.heaviest_borrower(now, account, amount)
        if borrower is not None:
            self.repayment.add_debt(now, account, borrower, amount)

    def heaviest_borrower(self, now: int, lender: "Account", amount: int) -> "Account | None":
        """Of those seen last, who uses most beyond its guarantee; None if nobody can owe so much more."""
        heaviest, most = None, 0
        for number, other in enumerate(reversed(self.pacing.children)):
            over = other.used(now) - other.guarantee
            if other is not lender and other.guarantee and over > most:
                heaviest, most = other, over
            if number == BORROWERS_EXAMINED:
                break
        if heaviest is None or heaviest.debt + amount > min(heaviest.credit_limit, most):
            return None
        return heaviest

    def check_invariants(self, children: Iterable["Account"]) -> None:
        """AssertionError if the running sums are not those over these children, all that the account has."""
        children = list(children)
        assert self.unused == sum(child.unused for child in children)
        assert self.reserved == sum(child.reserved for child in children)
        assert self.guaranteed == sum(child.guarantee for child in children)
        assert sum(child.credit for child in children) == 0, "repaying changes the sum of entitlements"
        assert self.repayment.outstanding == sum(child.debt for child in children)
        self.pacing.check_invariants()
        self.repayment.check_invariants()
