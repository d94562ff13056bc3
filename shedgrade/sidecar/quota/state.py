"""What the tree has counted and owes, as plain data, and its return after a restart. No I/O.

Names stand for nodes; times are Unix milliseconds, as the process's own clock does not outlive it. What
comes back
is checked as a whole: a state that is not sound is left out, never half taken. What is held is not kept: no
RPC
outlives the process.
"""

import msgspec
from msgspec import Struct

from shedgrade.sidecar.quota.accounts import Account, Debt
from shedgrade.sidecar.quota.tree import Node, Tree
from shedgrade.sidecar.quota.windows import PARTS

VERSION = 1
MOST_NODES = 100_000  # nodes of which anything is kept: the file stays small, whatever names were made up


class SavedDebt(Struct, forbid_unknown_fields=True):
    """`left` of it is not yet repaid; `at` and `due` in Unix ms."""

    lender: str
    borrower: str
    dimension: str
    window: int
    left: int
    at: int
    due: int


class Counted(Struct, forbid_unknown_fields=True):
    """One account: its node's names, and (Unix ms of the part's start, amount) of each part that counts."""

    names: list[str]
    dimension: str
    window: int
    parts: list[tuple[int, int]]


class Saved(Struct, forbid_unknown_fields=True):
    v: int
    counted: list[Counted]
    debts: list[SavedDebt]


def export(tree: Tree, now: int, wall: int) -> dict:
    """`now`: tenths of a ms of the process's clock; `wall`: the same moment in Unix ms."""
    counted, debts = [], []

    def moment(at: int) -> int:
        return wall + (at - now) // 10

    for node in tree.root.walk():
        names = [one.name for one in reversed(node.line())][1:]
        for account in node.accounts.values():
            if account.window is not None and account.used(now) and len(counted) < MOST_NODES:
                counted.append(
                    Counted(
                        names,
                        *account.limit.key,
                        [
                            (moment(place * account.window.part), amount)
                            for place, amount in account.window.parts()
                        ],
                    )
                )
            if account.ledger is not None:
                for borrower, lender, debt, left in account.ledger.open_debts():
                    debts.append(
                        SavedDebt(
                            lender.name, borrower.name, *debt.key, left, moment(debt.at), moment(debt.due)
                        )
                    )
    return msgspec.to_builtins(Saved(VERSION, counted, debts))


def restore(tree: Tree, state: object, now: int, wall: int) -> str:
    """Puts back what still counts. Returns a line on what was done, for the log; it never raises."""
    try:
        saved = msgspec.convert(state, Saved)
    except msgspec.ValidationError as wrong:
        return f"saved counts are of no use: {wrong}"
    if (
        saved.v != VERSION
        or any(amount < 0 for one in saved.counted for _, amount in one.parts)
        or any(one.left <= 0 for one in saved.debts)
    ):
        return "saved counts are of no use: not of this version, or not sound"

    def moment(at: int) -> int:
        # Guards against a wall clock that went back: what would lie ahead counts as of now.
        return min(now, now + (at - wall) * 10)

    counts = 0
    for one in saved.counted:
        account = find(tree, now, one.names, (one.dimension, one.window))
        if account is None or account.window is None:
            continue
        for at, amount in sorted(one.parts):
            # To the next whole part: rounded to later, so it counts for at least as long as it would have.
            place = moment(at) // account.window.part + 1
            if now // account.window.part - place <= PARTS:
                account.put_back(now, min(place, now // account.window.part), amount)
                counts += amount
    owed = 0
    accounts = {
        (account.name, account.limit.key): account
        for node in tree.root.walk()
        for account in node.accounts.values()
    }
    for debt in sorted(saved.debts, key=lambda one: one.at):
        key = (debt.dimension, debt.window)
        lender, borrower = accounts.get((debt.lender, key)), accounts.get((debt.borrower, key))
        if lender is None or borrower is None or lender.above is not borrower.above or lender.above is None:
            continue
        amount = min(debt.left, borrower.line - borrower.debt)
        if amount > 0:
            fresh: Debt = lender.above.ledger.owe(now, lender, borrower, amount)
            fresh.at = moment(debt.at)
            owed += amount
    return f"saved counts are back: {counts} in windows, {owed} owed"


def find(tree: Tree, now: int, names: list[str], key: tuple[str, int]) -> Account | None:
    node: Node | None = tree.root
    for name in names:
        node = node.children.get(name) or tree.make(now, node, name)
        if node is None:
            return None
    return node.accounts.get(key)
