"""The tree of quotas, without I/O. Told: `ask`, `Ticket.settle`, `Ticket.cancel`. Decides: admit, or why not.

A node has limits (dimension, window, ceiling, guarantee, weight). An RPC is admitted only if every node on
its path has room in every limit; `accounts.py` says what room is. Amounts are whole numbers; times are tenths
of a millisecond.
"""

from collections.abc import Callable, Iterator

from msgspec import Struct

from shedgrade.sidecar.quota.accounts import Account, Debt, Limit, Terms

TURNED = 64  # made leaves looked at, at most, for one to give up: work does not grow with leaves


class Refusal(Struct):
    """Which node and limit had no room, and when it has if nothing else comes (None: not to be foreseen).

    `short`: it was refused within what it is entitled to; `beside`: its own ceiling had room."""

    node: str
    limit: Limit
    until: int | None
    short: bool = False
    beside: bool = False


class Node:
    """One organisation, chain or store."""

    __slots__ = (
        "name",
        "parent",
        "children",
        "limits",
        "accounts",
        "tickets",
        "touched",
        "template",
        "path",
        "terms",
    )

    def __init__(
        self, name: str, parent: "Node | None", limits: tuple[Limit, ...], terms: Terms | None = None
    ) -> None:
        self.name, self.parent = name, parent
        self.terms = terms or (parent.terms if parent is not None else Terms())
        self.children: dict[str, Node] = {}
        self.limits, self.accounts = (), {}
        self.tickets = self.touched = 0
        self.template = None  # what children that no name is given are like
        self.path: tuple = ()  # the accounts an RPC needs room in, own ones first
        if parent is not None:
            parent.children[name] = self
        self.become(limits, None)

    def become(self, limits: tuple[Limit, ...], template: object) -> None:
        """Other limits from now on; what is counted and owed under those that stay is kept. A limit that is
        new counts from now on: what is in flight was booked without it."""
        above = self.parent.accounts if self.parent is not None else {}
        self.limits, self.template = limits, template
        accounts = {}
        for limit in limits:
            account = self.accounts.get(limit.key)
            if account is None or account.above is not above.get(limit.key):
                account = Account(self.full_name(), limit, above.get(limit.key), self.terms)
            else:
                account.become(limit)
            accounts[limit.key] = account
        for key, account in self.accounts.items():
            if accounts.get(key) is not account:
                drop(account)
        self.accounts = accounts
        self.path = (*accounts.values(), *(self.parent.path if self.parent is not None else ()))
        for child in self.children.values():
            child.path = (*child.accounts.values(), *self.path)

    def line(self) -> list["Node"]:
        found, node = [], self
        while node is not None:
            found.append(node)
            node = node.parent
        return found

    def full_name(self) -> str:
        return "/".join(node.name for node in reversed(self.line()))

    @property
    def held(self) -> int:
        """RPCs in flight at it and below."""
        return sum(node.tickets for node in self.walk())

    def walk(self) -> Iterator["Node"]:
        yield self
        for child in self.children.values():
            yield from child.walk()


def drop(account: Account) -> int:
    """A limit or node that no configuration names: no guarantee from now on, its debts are forgiven and said.
    Its counts end with their windows; what is out under it still settles there."""
    if account.above is None or account.above.ledger is None:
        return 0
    ledger = account.above.ledger
    forgiven = ledger.forgive(account)
    ledger.entitled -= account.guarantee
    account.guarantee = account.line = 0
    account.limit = Limit(account.limit.dimension, account.limit.window, 0)
    account.ceiling = 0
    account.refresh()
    account.terms.guaranteed.pop(account, None)
    if account in ledger.paced:
        del ledger.paced[account]
        ledger.weights -= account.weight
    return forgiven


class Ticket:
    """One admitted RPC: charged at once by estimate, settled or cancelled exactly once."""

    __slots__ = ("node", "booked", "open")

    def __init__(self, node: Node, booked: list) -> None:
        self.node, self.booked, self.open = node, booked, True

    def settle(self, now: int, actual: dict[str, int]) -> None:
        """It has ended and did run: what it used beyond the estimate is charged now, what it did not is
        returned."""
        for account, place, amount in self.close():
            if account.window is None:
                account.unbook(now, place, amount)
                continue
            difference = actual.get(account.dimension, amount) - amount
            if difference > 0:
                account.book(now, difference)
            elif difference < 0:
                account.unbook(now, place, -difference)

    def cancel(self, now: int) -> None:
        """It has provably never run: all of it is returned."""
        for account, place, amount in self.close():
            account.unbook(now, place, amount)

    def close(self) -> list:
        if not self.open:
            return []
        self.open = False
        self.node.tickets -= 1
        return self.booked


class Tree:
    """All nodes. Leaves that no configuration names are made from a template, `most` of them at once."""

    def __init__(
        self,
        root: Node,
        template: Callable[[Node, str], Node | None] = lambda parent, name: None,
        most: int = 50_000,
    ) -> None:
        self.root, self.terms, self.template, self.most = root, root.terms, template, most
        self.made: dict[tuple[int, str], Node] = {}

    def find(self, now: int, names: list[str], other: Node) -> Node:
        """The node of this identity; `other` for whoever is unknown and can't be made."""
        node = self.root
        for name in names:
            child = node.children.get(name) or self.make(now, node, name)
            if child is None:
                return other
            node = child
        node.touched = now
        return node if names else other

    def make(self, now: int, parent: Node, name: str) -> Node | None:
        if parent.template is None or (len(self.made) >= self.most and not self.give_up_idle(now)):
            return None
        child = self.template(parent, name)
        if child is not None:
            self.made[id(parent), name] = child
        return child

    def give_up_idle(self, now: int) -> bool:
        """Forgets one made leaf that holds nothing and owes nothing. Guards against made-up names: a name
        that is still counted in any window stays, so nobody gains by coming back under it."""
        for key, node in [pair for pair, _ in zip(self.made.items(), range(TURNED), strict=False)]:
            del self.made[key]
            idle = (
                not node.tickets
                and not node.children
                and not any(
                    account.used(now) or account.debt or account.credit for account in node.accounts.values()
                )
            )
            if idle:
                for account in node.accounts.values():
                    drop(account)
                del node.parent.children[node.name]
                return True
            self.made[key] = node
        return False

    def debts(self) -> Iterator[Debt]:
        """Those that are remembered, repaid or not."""
        for node in self.root.walk():
            for account in node.accounts.values():
                if account.ledger is not None:
                    yield from account.ledger.history

    def rescale(self) -> None:
        """The share has changed. Accounts follow when they are next asked; those that siblings keep room for
        follow at once."""
        for account in self.terms.guaranteed:
            if account.scale != self.terms.share:
                account.become(account.limit)

    def ask(
        self, now: int, node: Node, amounts: dict[str, int], luck: float = 0.0, again: bool = False
    ) -> Ticket | Refusal:
        """Room in every limit of every node on the path, or the first that has none. `luck`, 0 to 1: the
        decision module's draw for this RPC, low for the dear. `again`: a marked retry."""
        get, path = amounts.get, node.path
        for account in path:
            amount = 1 if account.window is None else get(account.dimension, 0)
            if not account.own(now, amount):
                return self.refuse(now, node, account, amount, again)
        for account in path:
            if account.above is not None:
                amount = 1 if account.window is None else get(account.dimension, 0)
                if not account.beside(now, amount, luck):
                    return self.refuse(now, node, account, amount, again)
        booked = []
        for account in path:
            amount = 1 if account.window is None else get(account.dimension, 0)
            if amount:
                if account.above is not None:
                    account.take(now, amount)
                booked.append((account, account.book(now, amount), amount))
        node.tickets += 1
        return Ticket(node, booked)

    def refuse(self, now: int, node: Node, account: Account, amount: int, again: bool) -> Refusal:
        """Told to the ledger that had no room: the parent's, or where an account is full itself, its own,
        by the child on the path."""
        for one in node.path:
            # Entitlements and sums are read below: instalments that are over must have ended by then.
            if one.ledger is not None:
                one.ledger.advance(now)
        used = account.used(now)
        beside = used + amount <= account.ceiling
        if beside:
            asking, ledger = account, account.above.ledger
        else:
            asking = next((one for one in node.path if one.above is account), None)
            ledger = account.ledger
        short = False
        if asking is not None and ledger is not None:
            short = asking.used(now) + amount <= asking.entitlement()
            ledger.refused(now, asking, amount, again)
        return Refusal(account.name, account.limit, self.until(now, account, amount, beside), short, beside)

    def until(self, now: int, account: Account, amount: int, beside: bool) -> int | None:
        if account.window is None:
            return None
        if beside:
            part = account.above.window.part
            return (now // part + 1) * part  # the next time that anything leaves the parent's window
        return account.window.free_at(now, account.ceiling, amount)
