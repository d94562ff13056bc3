"""The tree of quotas, without I/O: `Tree.admit` says whether a request is admitted, or which limit refuses.

A node has limits (dimension, window, ceiling, guarantee, weight). A request is admitted only if every node on
its path has room in every limit; `accounts.py` and `lending.py` say what room is. Amounts are whole numbers;
times are tenths of a millisecond.
"""

from collections.abc import Callable, Iterator
from itertools import islice

from msgspec import Struct

from shedgrade.sidecar.quota.accounts import Account
from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.repayment import Debt

EVICTION_CHECKS = 64  # dynamic leaves looked at, at most, for one to evict: work does not grow with leaves
MAX_DYNAMIC_LEAVES = 50_000

Key = tuple[str, int]  # of a limit: dimension, window


class Refusal(Struct):
    """Which node and limit had no room.

    `retry_at`: when it has room if nothing else comes; None if that can't be foreseen. `within_entitlement`:
    it was refused something that is its own. `by_siblings`: its own ceiling had room.
    """

    node: str
    limit: Limit
    retry_at: int | None
    within_entitlement: bool = False
    by_siblings: bool = False


# What one request was charged: the account, the slot of its window (for the refund), the amount. A plain
# tuple, as each admission makes one for every limit on its path.
Charge = tuple[Account, int, int]


class Node:
    """One organisation, chain or store.

    Attributes:
        name, parent, children, terms: its place in the tree, and the terms of the whole tree.
        limits: as configured, or those of its parent where it has none of its own.
        accounts: by key of the limit, its side of each.
        path: the accounts that a request needs room in, its own ones first, the root's last.
        tickets: requests in flight at this very node.
        template: what children that the configuration doesn't name are like; whatever `Tree.template` takes,
            None if there are to be none.
    """

    __slots__ = (
        "name",
        "parent",
        "children",
        "limits",
        "accounts",
        "tickets",
        "template",
        "path",
        "terms",
    )

    def __init__(
        self,
        name: str,
        parent: "Node | None",
        limits: tuple[Limit, ...],
        terms: LendingTerms | None = None,
    ) -> None:
        self.name = name
        self.parent = parent
        self.terms: LendingTerms = terms or (parent.terms if parent is not None else LendingTerms())
        self.children: dict[str, Node] = {}
        self.limits: tuple[Limit, ...] = ()
        self.accounts: dict[Key, Account] = {}
        self.tickets = 0
        self.template: object = None
        self.path: tuple[Account, ...] = ()
        if parent is not None:
            parent.children[name] = self
        self.update_limits(limits, None)

    def update_limits(self, limits: tuple[Limit, ...], template: object) -> None:
        """Other limits from now on; what is counted and owed under those that stay is kept. A limit that is
        new counts from now on: what is in flight was charged without it."""
        parent_accounts = self.parent.accounts if self.parent is not None else {}
        self.limits = limits
        self.template = template
        accounts = {}
        for limit in limits:
            account = self.accounts.get(limit.key)
            parent_account = parent_accounts.get(limit.key)
            if account is None or account.parent is not parent_account:
                account = Account(self.full_name(), limit, parent_account, self.terms)
            else:
                account.update_limit(limit)
            accounts[limit.key] = account
        for key, account in self.accounts.items():
            if accounts.get(key) is not account:
                account.retire()
        self.accounts = accounts
        self.path = (*accounts.values(), *(self.parent.path if self.parent is not None else ()))
        for child in self.children.values():
            child.path = (*child.accounts.values(), *self.path)

    def ancestry(self) -> list["Node"]:
        """This node, its parent and so on, up to the root."""
        found = [self]
        while found[-1].parent is not None:
            found.append(found[-1].parent)
        return found

    def full_name(self) -> str:
        """The names from the root to here, with slashes."""
        return "/".join(node.name for node in reversed(self.ancestry()))

    @property
    def in_flight(self) -> int:
        """Requests in flight at it and below."""
        return sum(node.tickets for node in self.walk())

    def walk(self) -> Iterator["Node"]:
        """This node and all below it."""
        yield self
        for child in self.children.values():
            yield from child.walk()

    def is_idle(self, now: int) -> bool:
        """Whether it holds, owes and counts nothing, so that nothing is lost without it."""
        return (
            not self.tickets
            and not self.children
            and not any(
                account.used(now) or account.debt or account.credit for account in self.accounts.values()
            )
        )

    def check_invariants(self) -> None:
        """AssertionError if the sums of any limit of this node contradict its children's accounts."""
        for key, account in self.accounts.items():
            if account.window is not None:
                account.window.check_invariants()
            children = [child.accounts[key] for child in self.children.values() if key in child.accounts]
            if account.children_pool is not None:
                account.children_pool.check_invariants(children)
        for child in self.children.values():
            child.check_invariants()


class Ticket:
    """One admitted request: charged at once by estimate, settled or cancelled exactly once."""

    __slots__ = ("node", "charges", "open")

    def __init__(self, node: Node, charges: list[Charge]) -> None:
        self.node = node
        self.charges = charges
        self.open = True

    def settle(self, now: int, actual: dict[str, int]) -> None:
        """It has ended and did run: what it used beyond the estimate, by dimension, is charged now, what it
        did not use is refunded."""
        for account, slot, amount in self.close():
            if account.window is None:
                account.refund(now, slot, amount)
                continue
            difference = actual.get(account.dimension, amount) - amount
            if difference > 0:
                account.charge(now, difference)
            elif difference < 0:
                account.refund(now, slot, -difference)

    def cancel(self, now: int) -> None:
        """It has provably never run: all of it is refunded."""
        for account, slot, amount in self.close():
            account.refund(now, slot, amount)

    def close(self) -> list[Charge]:
        """What is to be settled; nothing the second time."""
        if not self.open:
            return []
        self.open = False
        self.node.tickets -= 1
        return self.charges


class Tree:
    """All nodes. Leaves that no configuration names are made from a template: dynamic leaves.

    Attributes:
        root, terms: the root node and the terms of the whole tree.
        template: makes the dynamic leaf of this name under a node, or None if there is to be none.
        max_dynamic_leaves: how many there may be at once.
        dynamic_leaves: by id of the parent and name, in the order in which they were made.
    """

    def __init__(
        self,
        root: Node,
        template: Callable[[Node, str], Node | None] = lambda parent, name: None,
        max_dynamic_leaves: int = MAX_DYNAMIC_LEAVES,
    ) -> None:
        self.root = root
        self.terms = root.terms
        self.template = template
        self.max_dynamic_leaves = max_dynamic_leaves
        self.dynamic_leaves: dict[tuple[int, str], Node] = {}

    # --- nodes

    def find(self, now: int, names: list[str], default: Node) -> Node:
        """The node of this identity; `default` for whoever is unknown and gets no dynamic leaf."""
        node = self.root
        for name in names:
            child = node.children.get(name) or self.make_leaf(now, node, name)
            if child is None:
                return default
            node = child
        return node if names else default

    def make_leaf(self, now: int, parent: Node, name: str) -> Node | None:
        """A dynamic leaf under this node, or None if there is no template or no room for it."""
        if parent.template is None:
            return None
        if len(self.dynamic_leaves) >= self.max_dynamic_leaves and not self.evict_idle_leaf(now):
            return None
        child = self.template(parent, name)
        if child is not None:
            self.dynamic_leaves[id(parent), name] = child
        return child

    def evict_idle_leaf(self, now: int) -> bool:
        """Forgets one dynamic leaf that holds nothing and owes nothing. Guards against made-up names: a name
        that is still counted in any window stays, so nobody gains by coming back under it."""
        for key, node in list(islice(self.dynamic_leaves.items(), EVICTION_CHECKS)):
            del self.dynamic_leaves[key]
            if node.is_idle(now):
                for account in node.accounts.values():
                    account.retire()
                if node.parent is not None:
                    del node.parent.children[node.name]
                return True
            self.dynamic_leaves[key] = node  # behind the others
        return False

    def debts(self) -> Iterator[Debt]:
        """Those that are remembered, repaid or not."""
        for node in self.root.walk():
            for account in node.accounts.values():
                if account.children_pool is not None:
                    yield from account.children_pool.repayment.history

    def apply_share(self) -> None:
        """The share has changed. Accounts follow when they are next asked; those that siblings keep room for
        follow at once."""
        for account in self.terms.guaranteed:
            if account.applied_share != self.terms.share:
                account.update_limit(account.limit)

    # --- requests

    def admit(
        self, now: int, node: Node, amounts: dict[str, int], luck: float = 0.0, is_retry: bool = False
    ) -> Ticket | Refusal:
        """A ticket if every limit of every node on the path has room, else the first that has none.

        `amounts`: by dimension. `luck`: 0 to 1, the balancer's draw for this request, low for the dear.
        `is_retry`: marked so by its client.
        """
        get, path = amounts.get, node.path
        for account in path:
            amount = 1 if account.window is None else get(account.dimension, 0)
            if not account.within_ceiling(now, amount):
                return self.refuse(now, node, account, amount, is_retry)
        for account in path:
            if account.pool is not None:
                amount = 1 if account.window is None else get(account.dimension, 0)
                if not account.admissible_among_siblings(now, amount, luck):
                    return self.refuse(now, node, account, amount, is_retry)
        charges = []
        for account in path:
            amount = 1 if account.window is None else get(account.dimension, 0)
            if amount:
                if account.pool is not None:
                    account.record_admission(now, amount)
                charges.append((account, account.charge(now, amount), amount))
        node.tickets += 1
        return Ticket(node, charges)

    def refuse(self, now: int, node: Node, account: Account, amount: int, is_retry: bool) -> Refusal:
        """Tells the pool that had no room: the parent's, or where an account is full itself, its own, by the
        child on the path."""
        for one in node.path:
            # Entitlements and sums are read below: instalments that are over must have ended by then.
            if one.children_pool is not None:
                one.children_pool.advance(now)
        by_siblings = account.used(now) + amount <= account.ceiling
        asking: Account | None
        if by_siblings:
            asking, pool = account, account.pool
        else:
            asking = next((one for one in node.path if one.parent is account), None)
            pool = account.children_pool
        within_entitlement = False
        if asking is not None and pool is not None:
            within_entitlement = asking.used(now) + amount <= asking.entitlement()
            pool.record_refusal(now, asking, amount, is_retry)
        retry_at = self.retry_at(now, account, amount, by_siblings)
        return Refusal(account.name, account.limit, retry_at, within_entitlement, by_siblings)

    @staticmethod
    def retry_at(now: int, account: Account, amount: int, by_siblings: bool) -> int | None:
        """When there may be room; None for what is in flight, which nobody can foresee."""
        if account.window is None:
            return None
        if by_siblings and account.parent is not None and account.parent.window is not None:
            slot_length = account.parent.window.slot_length
            return (now // slot_length + 1) * slot_length  # the next time that anything leaves it
        return account.window.free_at(now, account.ceiling, amount)
