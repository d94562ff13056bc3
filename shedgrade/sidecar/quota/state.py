"""Saves the use and the debts of a tree as plain data, and restores them after a restart. No I/O.

Nodes are saved by their names, and times in Unix milliseconds, as the process's own clock does not outlive
it. A saved state is checked as a whole: an invalid state is ignored, never restored in part. Requests in
flight are not saved, as none outlives the process. The names of the fields are keys on disk.
"""

from typing import Any

import msgspec
from msgspec import Struct

from shedgrade.sidecar.quota.accounts import Account
from shedgrade.sidecar.quota.repayment import OpenDebt
from shedgrade.sidecar.quota.sliding_window import SLOTS
from shedgrade.sidecar.quota.tree import Key, Node, Tree

STATE_VERSION = 1
# Accounts whose use is saved: bounds the file, however many names clients make up.
MAX_SAVED_ACCOUNTS = 100_000


class SavedDebt(Struct, forbid_unknown_fields=True):
    """A debt of which `left` is not yet repaid; `at` and `due` in Unix ms."""

    lender: str
    borrower: str
    dimension: str
    window: int
    left: int
    at: int
    due: int


class SavedUse(Struct, forbid_unknown_fields=True):
    """The use of one account: names from below the root to its node, and the use in each slot.

    slots: (start of the slot in Unix ms, amount) for each slot with use.
    """

    names: list[str]
    dimension: str
    window: int
    slots: list[tuple[int, int]] = msgspec.field(name="parts")


class SavedState(Struct, forbid_unknown_fields=True):
    """The use and the debts of one tree."""

    version: int = msgspec.field(name="v")
    use: list[SavedUse] = msgspec.field(name="counted")
    debts: list[SavedDebt]


class ClockPair(Struct, frozen=True):
    """The same moment on the process's clock and on the wall clock."""

    now: int  # tenths of a ms on the process's clock
    wall: int  # Unix ms

    def to_wall(self, at: int) -> int:
        """Converts a time on the process's clock to Unix ms."""
        return self.wall + (at - self.now) // 10

    def from_wall(self, at: int) -> int:
        """Converts Unix ms to a time on the process's clock, now at the latest.

        Guards against a wall clock that went back: a time in the future becomes now.
        """
        return min(self.now, self.now + (at - self.wall) * 10)


def export(tree: Tree, now: int, wall: int) -> dict[str, Any]:
    """Returns the state to save. `now`: by the process's clock, tenths of a ms; `wall`: the same, Unix ms."""
    clocks = ClockPair(now, wall)
    use: list[SavedUse] = []
    debts: list[SavedDebt] = []
    for node in tree.root.walk():
        names = [ancestor.name for ancestor in reversed(node.ancestry())][1:]
        for account in node.accounts.values():
            if account.window is not None and account.used(now) and len(use) < MAX_SAVED_ACCOUNTS:
                use.append(saved_use(names, account, clocks))
            if account.children_pool is not None:
                debts += [saved_debt(debt, clocks) for debt in account.children_pool.repayment.open_debts()]
    return msgspec.to_builtins(SavedState(STATE_VERSION, use, debts))


def saved_use(names: list[str], account: Account, clocks: ClockPair) -> SavedUse:
    """Returns the saved form of the use within this account's window."""
    window = account.window
    assert window is not None
    slots = [(clocks.to_wall(use.slot * window.slot_length), use.amount) for use in window.slots_in_use()]
    return SavedUse(names, *account.limit.key, slots)


def saved_debt(open_debt: OpenDebt, clocks: ClockPair) -> SavedDebt:
    """Returns the saved form of what is left of one debt."""
    dimension, window = open_debt.debt.key
    return SavedDebt(
        lender=open_debt.lender.name,
        borrower=open_debt.borrower.name,
        dimension=dimension,
        window=window,
        left=open_debt.amount,
        at=clocks.to_wall(open_debt.debt.created_at),
        due=clocks.to_wall(open_debt.debt.due_at),
    )


class Restored(Struct, frozen=True):
    """The sums of use and debts that were restored. `problem`: why nothing was, "" if the state was valid."""

    counted: int = 0
    owed: int = 0
    problem: str = ""


def restore(tree: Tree, state: object, now: int, wall: int) -> Restored:
    """Restores the use that is still within its window, and the debts.

    Reports an invalid state as a `problem` and does not raise.
    """
    try:
        saved = msgspec.convert(state, SavedState)
    except msgspec.ValidationError as error:
        return Restored(problem=str(error))
    if saved.version != STATE_VERSION:
        return Restored(problem=f"the state has version {saved.version}, expected {STATE_VERSION}")
    if any(amount < 0 for use in saved.use for _, amount in use.slots):
        return Restored(problem="the use of a slot is negative")
    if any(debt.left <= 0 for debt in saved.debts):
        return Restored(problem="the amount of a debt is not positive")
    clocks = ClockPair(now, wall)
    counted = sum(restore_use(tree, use, clocks) for use in saved.use)
    return Restored(counted, restore_debts(tree, saved.debts, clocks))


def restore_use(tree: Tree, saved: SavedUse, clocks: ClockPair) -> int:
    """Restores the use of one account; returns how much of it is still within the window."""
    account = find_account(tree, clocks.now, saved.names, (saved.dimension, saved.window))
    if account is None or account.window is None:
        return 0
    counted, slot_length = 0, account.window.slot_length
    for at, amount in sorted(saved.slots):
        # Rounded up to the next slot, so that the use counts for at least as long as without the restart.
        slot = clocks.from_wall(at) // slot_length + 1
        if clocks.now // slot_length - slot <= SLOTS:
            account.restore_use(clocks.now, min(slot, clocks.now // slot_length), amount)
            counted += amount
    return counted


def restore_debts(tree: Tree, debts: list[SavedDebt], clocks: ClockPair) -> int:
    """Restores debts among accounts that still exist, each with its full time to repay; returns their sum."""
    accounts = {
        (account.name, account.limit.key): account
        for node in tree.root.walk()
        for account in node.accounts.values()
    }
    owed = 0
    for saved in sorted(debts, key=lambda debt: debt.at):
        key = (saved.dimension, saved.window)
        lender, borrower = accounts.get((saved.lender, key)), accounts.get((saved.borrower, key))
        if lender is None or borrower is None or lender.pool is None or lender.pool is not borrower.pool:
            continue
        amount = min(saved.left, borrower.credit_limit - borrower.debt)
        if amount > 0:
            debt = lender.pool.repayment.add_debt(clocks.now, lender, borrower, amount)
            debt.created_at = clocks.from_wall(saved.at)
            owed += amount
    return owed


def find_account(tree: Tree, now: int, names: list[str], key: Key) -> Account | None:
    """Returns the account of a key at the node with these names below the root.

    Creates dynamic leaves that are missing. Returns None if there is no such node or account.
    """
    node: Node | None = tree.root
    for name in names:
        if node is None:
            return None
        node = node.children.get(name) or tree.make_leaf(now, node, name)
    return node.accounts.get(key) if node is not None else None
