"""Debts among siblings, and the instalments in which they are repaid. No I/O.

A debt is what a lender was refused within its guarantee because a borrower was using it. An instalment moves
a part of the borrower's entitlement to its lenders for two windows: during the first the borrower's use
leaves the window, during the second the amount is free for the lender, used or not. The sum of entitlements
never changes, so a repayment lifts no parent over its limit.
"""

from collections import deque
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from shedgrade.sidecar.quota.accounts import Account
    from shedgrade.sidecar.quota.lending import LendingPool

MAX_DEBT_HISTORY = 1000  # for reports, repaid ones included
INSTALMENT_WINDOWS = 2  # the duration of an instalment, in windows
# Tenths of a ms for which an instalment of a limit without a window accepts further debts.
IN_FLIGHT_OPEN_PERIOD = 500


class Debt(Struct, eq=False):
    """An amount that a lender was refused and a borrower repays. Times in tenths of a millisecond.

    Attributes:
        lender, borrower: full names of their nodes.
        key: dimension and window of the limit.
        amount: what the lender was refused.
        created_at: when it was refused.
        due_at: when the debt is repaid at the latest.
        paid_at: when it was repaid; None until then.
        forgiven: whether it will not be repaid, as a node was removed or has nothing left to repay from.
    """

    lender: str
    borrower: str
    key: tuple[str, int]
    amount: int
    created_at: int
    due_at: int
    paid_at: int | None = None
    forgiven: bool = False


class UnscheduledDebt(Struct, eq=False):
    """The part of a debt that is not yet included in an instalment."""

    lender: "Account"
    debt: Debt
    amount: int


class InstalmentPart(Struct, eq=False, frozen=True):
    """What a running instalment repays of one debt."""

    lender: "Account"
    debt: Debt
    amount: int
    completes_debt: bool


class Instalment(Struct, eq=False):
    """The amounts that one borrower is repaying to its lenders now. Times in tenths of a millisecond.

    For two windows these amounts are moved from the borrower's entitlement to those of the lenders.
    """

    ends_at: int
    parts: list[InstalmentPart]
    open_until: int  # further debts are added to it until then


class OpenDebt(Struct, eq=False):
    """A debt between two accounts, and how much of it is not yet repaid."""

    borrower: "Account"
    lender: "Account"
    debt: Debt
    amount: int


class Repayment:
    """All debts among the children of one account.

    Attributes:
        unscheduled: by borrower, the debts that are not yet included in an instalment, the oldest first; a
            borrower without such debts has no queue.
        running: by borrower, its current instalment.
        outstanding: the sum of what is not yet repaid, scheduled or not.
        debt_history: the newest debts, repaid and forgiven ones included.
    """

    __slots__ = ("pool", "unscheduled", "running", "outstanding", "debt_history")

    def __init__(self, pool: "LendingPool") -> None:
        self.pool = pool
        self.unscheduled: dict[Account, deque[UnscheduledDebt]] = {}
        self.running: dict[Account, Instalment] = {}
        self.outstanding = 0
        self.debt_history: deque[Debt] = deque(maxlen=MAX_DEBT_HISTORY)

    def add_debt(self, now: int, lender: "Account", borrower: "Account", amount: int) -> Debt:
        """Adds a debt to what the borrower owes, and begins or extends the borrower's instalment."""
        due = now + borrower.terms.repay_windows * self.pool.window_length()
        debt = Debt(lender.name, borrower.name, lender.limit.key, amount, now, due)
        self.debt_history.append(debt)
        borrower.debt += amount
        self.outstanding += amount
        self.unscheduled.setdefault(borrower, deque()).append(UnscheduledDebt(lender, debt, amount))
        instalment = self.running.get(borrower)
        if instalment is None:
            self.begin_instalment(now, borrower)
        elif now <= instalment.open_until:
            del self.running[borrower]
            self.begin_instalment(now, borrower, instalment)
        return debt

    def begin_instalment(self, now: int, borrower: "Account", reopened: Instalment | None = None) -> None:
        """Begins an instalment with the borrower's oldest debts, up to the most that one instalment repays.

        `reopened`: an instalment that still accepts debts; the new one replaces and extends it.
        """
        parts = list(reopened.parts) if reopened is not None else []
        open_until = reopened.open_until if reopened is not None else now + self.open_length()
        payable = borrower.max_instalment() - sum(part.amount for part in parts)
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
        """Ends the instalments whose time is over.

        A borrower's next instalment begins at the end of the last one, even if that was long ago.
        """
        for borrower in list(self.running):
            while borrower in self.running and self.running[borrower].ends_at <= now:
                self.complete(borrower)

    def complete(self, borrower: "Account") -> None:
        """Ends a running instalment as paid: entitlements are restored, and the next instalment begins."""
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
        """Reduces the running instalment if the borrower's guarantee is now lower than what it repays.

        If the guarantee is too low for any instalment, the borrower's debts are forgiven.
        """
        if not borrower.max_instalment():
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
        """Forgives all debts of and to an account that is removed or has no guarantee; returns their sum."""
        return sum(
            self.forgive_between(account, borrower) for borrower in list({**self.unscheduled, **self.running})
        )

    def forgive_between(self, account: "Account", borrower: "Account") -> int:
        """Forgives the borrower's debts to `account`, or all if it is `account` itself; returns the sum."""
        queue = self.unscheduled.pop(borrower, deque())
        instalment = self.running.pop(borrower, None)
        parts = instalment.parts if instalment is not None else []
        forgiven_parts = [part for part in parts if account in (borrower, part.lender)]
        for part in forgiven_parts:
            self.return_entitlement(borrower, part)
            part.lender.update_unused()
            borrower.update_unused()
        forgiven_debts: list[InstalmentPart | UnscheduledDebt] = [*forgiven_parts]
        forgiven_debts += [debt for debt in queue if account in (borrower, debt.lender)]
        forgiven = 0
        for forgiven_debt in forgiven_debts:
            forgiven_debt.debt.forgiven = True
            forgiven += forgiven_debt.amount
        borrower.debt -= forgiven
        self.outstanding -= forgiven
        remaining_debts = deque(debt for debt in queue if account not in (borrower, debt.lender))
        if remaining_debts:
            self.unscheduled[borrower] = remaining_debts
        remaining_parts = [part for part in parts if account not in (borrower, part.lender)]
        if instalment is not None and remaining_parts:
            self.running[borrower] = Instalment(instalment.ends_at, remaining_parts, instalment.open_until)
        else:
            self.begin_instalment(self.pool.last_advanced_at(), borrower)
        return forgiven

    def open_debts(self) -> list[OpenDebt]:
        """Returns each debt that is not yet repaid, with the amount that is left."""
        open_debts: dict[int, OpenDebt] = {}
        for borrower, instalment in self.running.items():
            for part in instalment.parts:
                open_debt = OpenDebt(borrower, part.lender, part.debt, 0)
                open_debts.setdefault(id(part.debt), open_debt).amount += part.amount
        for borrower, queue in self.unscheduled.items():
            for unscheduled in queue:
                open_debt = OpenDebt(borrower, unscheduled.lender, unscheduled.debt, 0)
                open_debts.setdefault(id(unscheduled.debt), open_debt).amount += unscheduled.amount
        return list(open_debts.values())

    def open_length(self) -> int:
        """Returns for how long an instalment accepts further debts, in tenths of a millisecond."""
        window = self.pool.account.window
        return window.slot_length if window is not None else IN_FLIGHT_OPEN_PERIOD

    def drop_empty_queue(self, borrower: "Account") -> None:
        """Removes the queue of a borrower that has nothing left to schedule."""
        if borrower in self.unscheduled and not self.unscheduled[borrower]:
            del self.unscheduled[borrower]

    @staticmethod
    def return_entitlement(borrower: "Account", part: InstalmentPart) -> None:
        """Moves the entitlement of an instalment's part back from the lender to the borrower."""
        part.lender.credit -= part.amount
        borrower.credit += part.amount

    def check_invariants(self) -> None:
        """Raises AssertionError if the sums or queues contradict each other."""
        assert self.outstanding == sum(open_debt.amount for open_debt in self.open_debts())
        assert all(self.unscheduled.values()), "an empty queue was kept"
        by_borrower: dict[Account, int] = {}
        for open_debt in self.open_debts():
            by_borrower[open_debt.borrower] = by_borrower.get(open_debt.borrower, 0) + open_debt.amount
        assert all(borrower.debt == amount for borrower, amount in by_borrower.items())
        for borrower, instalment in self.running.items():
            assert 0 < sum(part.amount for part in instalment.parts) <= borrower.guarantee
            assert all(part.amount > 0 for part in instalment.parts)
