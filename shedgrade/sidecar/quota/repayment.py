"""Debts among siblings, and the instalments in which they are repaid. No I/O.

A debt is what a lender was refused within its guarantee because a borrower had it. An instalment moves a part
of the borrower's entitlement to its lenders for two windows: in the first one the borrower's use runs out, in
the second the amount is there for the lender, used or not. The sum of entitlements never changes, so repaying
lifts no parent over its limit.
"""

from collections import deque
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account
    from shedgrade.sidecar.quota.lending import LendingPool

DEBTS_REMEMBERED = 1000  # repaid ones included, for whoever asks
INSTALMENT_WINDOWS = 2  # that an instalment lasts
OPEN_IN_FLIGHT = 500  # tenths of a ms for which an instalment of a limit without a window stays open


class Debt(Struct, eq=False):
    """What a lender was refused, and by whom it is repaid. Times in tenths of a millisecond."""

    lender: str
    borrower: str
    key: tuple[str, int]
    amount: int
    at: int
    due: int  # when it is repaid at the latest
    paid_at: int | None = None
    forgiven: bool = False  # a node that no configuration names any more pays nobody


class UnscheduledDebt(Struct, eq=False):
    """What of a debt no instalment has taken up yet."""

    lender: "Account"
    debt: Debt
    amount: int


class InstalmentPart(Struct, eq=False, frozen=True):
    """What one running instalment pays of one debt."""

    lender: "Account"
    debt: Debt
    amount: int
    completes_debt: bool


class Instalment(Struct, eq=False):
    """What one borrower is paying now. Times in tenths of a millisecond."""

    ends_at: int
    parts: list[InstalmentPart]
    open_until: int  # until then, debts that come up are taken into it


class OpenDebt(Struct, eq=False):
    """A debt between two accounts, and how much of it is not yet repaid."""

    borrower: "Account"
    lender: "Account"
    debt: Debt
    amount: int


class Repayment:
    """All debts among the children of one account.

    Attributes:
        unscheduled: by borrower, debts that wait for an instalment, the oldest first; no empty queue stays.
        running: by borrower, the instalment that it pays now.
        outstanding: the sum of what is not yet repaid, scheduled or not.
        history: the newest debts, repaid and forgiven ones included.
    """

    __slots__ = ("pool", "unscheduled", "running", "outstanding", "history")

    def __init__(self, pool: "LendingPool") -> None:
        self.pool = pool
        self.unscheduled: dict[Account, deque[UnscheduledDebt]] = {}
        self.running: dict[Account, Instalment] = {}
        self.outstanding = 0
        self.history: deque[Debt] = deque(maxlen=DEBTS_REMEMBERED)

    def add_debt(self, now: int, lender: "Account", borrower: "Account", amount: int) -> Debt:
        """The borrower owes the lender so much from now on."""
        due = now + borrower.terms.repay_windows * self.pool.window_length()
        debt = Debt(lender.name, borrower.name, lender.limit.key, amount, now, due)
        self.history.append(debt)
        borrower.debt += amount
        self.outstanding += amount
        self.unscheduled.setdefault(borrower, deque()).append(UnscheduledDebt(lender, debt, amount))
        running = self.running.get(borrower)
        if running is None:
            self.begin_instalment(now, borrower)
        elif now <= running.open_until:
            del self.running[borrower]
            self.begin_instalment(now, borrower, running)
        return debt

    def begin_instalment(self, now: int, borrower: "Account", reopened: Instalment | None = None) -> None:
        """Takes up what the borrower owes, the oldest first, as far as one instalment reaches.

        `reopened`: an instalment that began less than a part of a window ago goes on in this one.
        """
        parts = list(reopened.parts) if reopened is not None else []
        open_until = reopened.open_until if reopened is not None else now + self.open_length()
        payable = borrower.most_per_instalment() - sum(part.amount for part in parts)
        unscheduled = self.unscheduled.get(borrower)
        while unscheduled and payable > 0:
            first = unscheduled[0]
            amount = min(payable, first.amount)
            completes = amount == first.amount
            parts.append(InstalmentPart(first.lender, first.debt, amount, completes))
            payable -= amount
            if completes:
                unscheduled.popleft()
            else:
                first.amount -= amount
            first.lender.credit += amount
            first.lender.update_unused()
            borrower.credit -= amount
        self.drop_empty_queue(borrower)
        if parts:
            borrower.update_unused()
            ends_at = now + INSTALMENT_WINDOWS * self.pool.window_length()
            self.running[borrower] = Instalment(ends_at, parts, open_until)

    def complete_due(self, now: int) -> None:
        """Ends the instalments whose time is over; each borrower's next one begins where it ended, however
        long nobody looked."""
        for borrower in list(self.running):
            while borrower in self.running and self.running[borrower].ends_at <= now:
                self.complete(borrower)

    def complete(self, borrower: "Account") -> None:
        """The running instalment is paid: entitlements return, and the next one begins."""
        instalment = self.running.pop(borrower)
        for part in instalment.parts:
            self.return_entitlement(borrower, part)
            part.lender.update_unused()
            borrower.debt -= part.amount
            self.outstanding -= part.amount
            if part.completes_debt:
                part.debt.paid_at = instalment.ends_at
        borrower.update_unused()
        self.begin_instalment(instalment.ends_at, borrower)

    def reschedule(self, borrower: "Account") -> None:
        """The borrower's guarantee has changed: it can't pay more than it has. With nothing left to pay from,
        its debts are forgiven."""
        if not borrower.most_per_instalment():
            borrower.terms.forgiven += self.forgive(borrower)
        elif -borrower.credit > borrower.guarantee:
            instalment = self.running.pop(borrower)
            queue = self.unscheduled.setdefault(borrower, deque())
            for part in reversed(instalment.parts):
                self.return_entitlement(borrower, part)
                part.lender.update_unused()
                if part.completes_debt:
                    queue.appendleft(UnscheduledDebt(part.lender, part.debt, part.amount))
                else:
                    queue[0].amount += part.amount
            began_at = instalment.ends_at - INSTALMENT_WINDOWS * self.pool.window_length()
            self.begin_instalment(max(0, began_at), borrower)

    def forgive(self, account: "Account") -> int:
        """The account is no longer configured, or has no guarantee: what it owes and is owed can't be paid.
        Returns how much that was."""
        return sum(
            self.forgive_between(account, borrower) for borrower in list({**self.unscheduled, **self.running})
        )

    def forgive_between(self, account: "Account", borrower: "Account") -> int:
        """Forgives all debts of this borrower if it is the account, else those it owes to the account."""
        queue = self.unscheduled.pop(borrower, deque())
        instalment = self.running.pop(borrower, None)
        parts = instalment.parts if instalment is not None else []
        forgiven_parts = [part for part in parts if account in (borrower, part.lender)]
        for part in forgiven_parts:
            self.return_entitlement(borrower, part)
            part.lender.update_unused()
            borrower.update_unused()
        forgiven_debts: list[InstalmentPart | UnscheduledDebt] = [*forgiven_parts]
        forgiven_debts += [one for one in queue if account in (borrower, one.lender)]
        forgiven = 0
        for one in forgiven_debts:
            one.debt.forgiven = True
            forgiven += one.amount
        borrower.debt -= forgiven
        self.outstanding -= forgiven
        left_in_queue = deque(one for one in queue if account not in (borrower, one.lender))
        if left_in_queue:
            self.unscheduled[borrower] = left_in_queue
        left_parts = [part for part in parts if account not in (borrower, part.lender)]
        if instalment is not None and left_parts:
            self.running[borrower] = Instalment(instalment.ends_at, left_parts, instalment.open_until)
        else:
            self.begin_instalment(self.pool.last_advanced_at(), borrower)
        return forgiven

    def open_debts(self) -> list[OpenDebt]:
        """Each debt that is not yet repaid, with what is left of it."""
        found: dict[int, OpenDebt] = {}
        for borrower, instalment in self.running.items():
            for part in instalment.parts:
                empty = OpenDebt(borrower, part.lender, part.debt, 0)
                found.setdefault(id(part.debt), empty).amount += part.amount
        for borrower, queue in self.unscheduled.items():
            for one in queue:
                empty = OpenDebt(borrower, one.lender, one.debt, 0)
                found.setdefault(id(one.debt), empty).amount += one.amount
        return list(found.values())

    def open_length(self) -> int:
        """For how long an instalment takes up further debts, in tenths of a millisecond."""
        window = self.pool.account.window
        return window.slot_length if window is not None else OPEN_IN_FLIGHT

    def drop_empty_queue(self, borrower: "Account") -> None:
        """Forgets a borrower that has nothing left to schedule."""
        if borrower in self.unscheduled and not self.unscheduled[borrower]:
            del self.unscheduled[borrower]

    @staticmethod
    def return_entitlement(borrower: "Account", part: InstalmentPart) -> None:
        """Gives back what an instalment had moved from the borrower to a lender."""
        part.lender.credit -= part.amount
        borrower.credit += part.amount

    def check_invariants(self) -> None:
        """AssertionError if the sums or queues contradict each other."""
        assert self.outstanding == sum(one.amount for one in self.open_debts())
        assert all(self.unscheduled.values()), "an empty queue stayed"
        by_borrower: dict[Account, int] = {}
        for one in self.open_debts():
            by_borrower[one.borrower] = by_borrower.get(one.borrower, 0) + one.amount
        assert all(borrower.debt == amount for borrower, amount in by_borrower.items())
        for borrower, instalment in self.running.items():
            assert 0 < sum(part.amount for part in instalment.parts) <= borrower.guarantee
            assert all(part.amount > 0 for part in instalment.parts)
