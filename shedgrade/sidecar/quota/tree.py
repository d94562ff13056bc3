"""The tree of quotas, without I/O: `Tree.admit` admits a request or returns the limit that refuses it.

Each node has limits (dimension, window, ceiling, guarantee, weight). A request is admitted only if every node
on its path has room under all its limits; `accounts.py` and `lending.py` define when there is room. Amounts
are integers; times are in tenths of a millisecond.
"""

from collections.abc import Callable, Iterator
from itertools import islice

from msgspec import Struct

from shedgrade.sidecar.quota.accounts import Account
from shedgrade.sidecar.quota.limits import LendingTerms, Limit
from shedgrade.sidecar.quota.repayment import Debt

# The most dynamic leaves examined to evict one, so that the work does not grow with the number of leaves.
MAX_EVICTION_CHECKS = 64
MAX_DYNAMIC_LEAVES = 50_000

Key = tuple[str, int]  # dimension and window of a limit


class Refusal(Struct):
    """The refusal of a request by one limit of one node.

    Attributes:
        node: the full name of the node.
        limit: the limit that had no room.
        retry_at: when there is room if no other request comes, in tenths of a ms; None if that can't be
            predicted.
        within_entitlement: whether the account that found no room asked for an amount within its entitlement.
        by_siblings: whether the node's own ceiling had room, so that siblings are the cause.
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
    """A node of the tree: an organisation, a chain or a store, for example.

    Attributes:
        name, parent, children, terms: its position in the tree, and the terms of the whole tree.
        limits: as configured, and the parent's ceilings for whatever the node does not limit itself.
        accounts: by key of the limit, the node's use of it.
        path: the accounts in which a request needs room, from those of this node to those of the root.
        tickets: the number of requests in flight at this node, without its descendants.
        template: what `Tree.template` makes dynamic leaves under this node from; None if this node gets no
            dynamic leaves.
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
        """Replaces the limits and the template.

        Use and debts under limits that stay are kept. A new limit starts at zero: requests in flight were
        charged without it.
        """
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
        """Returns this node, its parent and so on, up to the root."""
        ancestors = [self]
        while ancestors[-1].parent is not None:
            ancestors.append(ancestors[-1].parent)
        return ancestors

    def full_name(self) -> str:
        """Returns the names from the root to this node, joined with slashes."""
        return "/".join(node.name for node in reversed(self.ancestry()))

    @property
    def in_flight(self) -> int:
        """Requests in flight at this node and below."""
        return sum(node.tickets for node in self.walk())

    def walk(self) -> Iterator["Node"]:
        """Yields this node and all nodes below it."""
        yield self
        for child in self.children.values():
            yield from child.walk()

    def is_idle(self, now: int) -> bool:
        """Returns whether the node can be removed: no requests, children, use in a window, debt or credit."""
        return (
            not self.tickets
            and not self.children
            and not any(
                account.used(now) or account.debt or account.credit for account in self.accounts.values()
            )
        )

    def check_invariants(self) -> None:
        """Raises AssertionError if the sums of a limit, here or below, contradict the children's accounts."""
        for key, account in self.accounts.items():
            if account.window is not None:
                account.window.check_invariants()
            children = [child.accounts[key] for child in self.children.values() if key in child.accounts]
            if account.children_pool is not None:
                account.children_pool.check_invariants(children)
        for child in self.children.values():
            child.check_invariants()


class Ticket:
    """One admitted request: charged by estimate at its admission, then settled or cancelled exactly once."""

    __slots__ = ("node", "charges", "is_open")

    def __init__(self, node: Node, charges: list[Charge]) -> None:
        self.node = node
        self.charges = charges
        self.is_open = True

    def settle(self, now: int, actual: dict[str, int]) -> None:
        """Settles a request that ran: charges what it used beyond the estimate, refunds what it did not use.

        `actual`: the use by dimension; a dimension that is missing was used as estimated.
        """
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
        """Refunds the whole charge of a request that provably never ran."""
        for account, slot, amount in self.close():
            account.refund(now, slot, amount)

    def close(self) -> list[Charge]:
        """Ends the ticket and returns its charges; returns none if the ticket has ended before."""
        if not self.is_open:
            return []
        self.is_open = False
        self.node.tickets -= 1
        return self.charges


class Tree:
    """All nodes. Leaves that the configuration does not name are made from a template: dynamic leaves.

    Attributes:
        root, terms: the root node and the terms of the whole tree.
        template: makes the dynamic leaf of this name under a node; returns None if there is to be none.
        max_dynamic_leaves: the most dynamic leaves that exist at once.
        dynamic_leaves: by id of the parent and name, in the order in which eviction examines them.
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
        """Returns the node of this identity, which may be a new dynamic leaf.

        Returns `default` if the identity is empty, or if it is unknown and gets no dynamic leaf.
        """
        node = self.root
        for name in names:
            child = node.children.get(name) or self.make_leaf(now, node, name)
            if child is None:
                return default
            node = child
        return node if names else default

    def make_leaf(self, now: int, parent: Node, name: str) -> Node | None:
        """Makes a dynamic leaf under this node; returns None without a template or room for another leaf."""
        if parent.template is None:
            return None
        if len(self.dynamic_leaves) >= self.max_dynamic_leaves and not self.evict_idle_leaf(now):
            return None
        child = self.template(parent, name)
        if child is not None:
            self.dynamic_leaves[id(parent), name] = child
        return child

    def evict_idle_leaf(self, now: int) -> bool:
        """Removes one idle dynamic leaf; returns whether there was one among those examined.

        Guards against made-up names: a leaf with use in any window stays, so that no client resets its use by
        coming back under the same name.
        """
        for key, node in list(islice(self.dynamic_leaves.items(), MAX_EVICTION_CHECKS)):
            del self.dynamic_leaves[key]
            if node.is_idle(now):
                for account in node.accounts.values():
                    account.retire()
                if node.parent is not None:
                    del node.parent.children[node.name]
                return True
            self.dynamic_leaves[key] = node  # goes to the end, to be examined last
        return False

    def debts(self) -> Iterator[Debt]:
        """Yields the debts in the histories of all limits, repaid and forgiven ones included."""
        for node in self.root.walk():
            for account in node.accounts.values():
                if account.children_pool is not None:
                    yield from account.children_pool.repayment.debt_history

    def apply_share(self) -> None:
        """Applies a changed share at once to the accounts with a guarantee, as siblings keep room for them.

        Other accounts apply it when they are next asked for room.
        """
        for account in self.terms.guaranteed:
            if account.applied_share != self.terms.share:
                account.update_limit(account.limit)

    # --- requests

    def admit(
        self,
        now: int,
        node: Node,
        amounts: dict[str, int],
        admission_draw: float = 0.0,
        is_retry: bool = False,
    ) -> Ticket | Refusal:
        """Returns a ticket if every limit of every node on the path has room, else the first refusal.

        `amounts`: by dimension. `admission_draw`: drawn by the balancer for this request, 0 to 1, low for
        requests of high payoff. `is_retry`: whether the client marked the request as a retry.
        """
        get, path = amounts.get, node.path
        for account in path:
            amount = 1 if account.window is None else get(account.dimension, 0)
            if not account.within_ceiling(now, amount):
                return self.refuse(now, node, account, amount, is_retry)
        for account in path:
            if account.pool is not None:
                amount = 1 if account.window is None else get(account.dimension, 0)
                if not account.fits_among_siblings(now, amount, admission_draw):
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
        """Returns the refusal, and reports it to the pool that had no room.

        That is the parent's pool, or, if the account's own ceiling is full, the pool of its children, to
        which the child on the path is reported.
        """
        for path_account in node.path:
            # Ends the instalments whose time is over, as the entitlements and sums are read below.
            if path_account.children_pool is not None:
                path_account.children_pool.advance(now)
        by_siblings = account.used(now) + amount <= account.ceiling
        requester: Account | None
        if by_siblings:
            requester, pool = account, account.pool
        else:
            requester = next(
                (path_account for path_account in node.path if path_account.parent is account), None
            )
            pool = account.children_pool
        within_entitlement = False
        if requester is not None and pool is not None:
            within_entitlement = requester.used(now) + amount <= requester.entitlement()
            pool.record_refusal(now, requester, amount, is_retry)
        retry_at = self.retry_at(now, account, amount, by_siblings)
        return Refusal(account.name, account.limit, retry_at, within_entitlement, by_siblings)

    @staticmethod
    def retry_at(now: int, account: Account, amount: int, by_siblings: bool) -> int | None:
        """Returns when there may be room, in tenths of a ms.

        None for requests in flight, as their ends can't be predicted, and if the amount exceeds the ceiling.
        """
        if account.window is None:
            return None
        if by_siblings and account.parent is not None and account.parent.window is not None:
            slot_length = account.parent.window.slot_length
            return (now // slot_length + 1) * slot_length  # the next time that use leaves the parent's window
        return account.window.free_at(now, account.ceiling, amount)
