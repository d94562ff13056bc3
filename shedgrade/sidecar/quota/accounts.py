"""What one node may use of one limit, and what its siblings lend it. No I/O; whole numbers throughout.

Told: `own` and `beside` (may it take so much?), `take`, `book` and `unbook`, `refused`. Keeps: use,
entitlements, loans.
Decides: admitted or not, who has to give back, and when.

An `Account` is a node's side of one limit; a `Ledger` the parent's side: the sums over its children that
make an admission cost the same however many there are. With used, entitlement E (its guarantee, more or
less what is being repaid), the parent's ceiling C, and whole = sum of (E - used) where that is positive:

- up to E an account draws on its own, whatever its siblings do, as far as the parent has room;
- beyond E it draws on what nobody is entitled to while parent's used + whole of the others stays within C;
- beyond that it borrows. Of each sibling's unused entitlement `reserve` is never lent, so that a lender that
  wakes finds something there at once.

A lender that is refused within its entitlement was lent dry. From that moment nothing is lent under this
parent (*recall*): after one window and a part of it every use that counts was admitted with every
entitlement left free, so every child has its own in full. What the lender was refused is a debt of the
heaviest borrower, repaid in instalments: for two windows (the recall, then one in which it is there) its
entitlement is the lender's. The sum of entitlements never changes, so repaying lifts no parent over its
limit.
A loan is given only up to what the borrower can repay within `repay_windows` (the *line*).
A loan that its lender never missed ends with the window that it was given in.
"""

from collections import deque

from msgspec import Struct, field

from shedgrade.sidecar.quota.windows import PARTS, Window

FLIGHT = "flight"  # the one dimension without a window: what is held now
PAYS = 2  # a borrower pays with at most one part in two of its guarantee: it is not starved
HEADROOM = 8  # one part in eight is kept for those behind their fair pace, while others contend
CHEAP = 16  # one part in sixteen is held back from the cheap by their luck
SCALE = 16  # bits by which the pace is finer than whole amounts
PLENTY = 2  # one part in two: below it nobody is in anybody's way, and nothing is weighed
SWEPT = 2  # of those paced that are looked at for each one that enters: none stays for long
BLAMED = 32  # borrowers looked at for the heaviest: work does not grow with siblings
KEPT = 1000  # debts remembered after they were repaid, for whoever asks


class Limit(Struct, frozen=True):
    """`window` in tenths of a ms, 0 for what is held now. `guarantee` is kept for this node, up to `ceiling`
    it may borrow. `weight`: its part of what nobody is entitled to."""

    dimension: str
    window: int
    ceiling: int
    guarantee: int = 0
    weight: int = 1

    @property
    def key(self) -> tuple[str, int]:
        return self.dimension, self.window


class Terms(Struct):
    """Of lending. `reserve`: parts in 1,000 of a guarantee that are never lent. `repay_windows`: within so
    many windows of its own every loan is repaid. `share`: of every limit, in millionths, this sidecar's part
    of
    the fleet's. `transit`: tenths of a ms by which windows are longer than they are called. `forgiven`: by
    the
    last reload."""

    reserve: int = 250
    repay_windows: int = 10
    share: int = 1_000_000
    transit: int = 0
    forgiven: int = 0
    guaranteed: dict = field(default_factory=dict)  # all accounts that siblings keep room for


class Debt(Struct):
    """What a lender was refused: whose, by whom it is repaid, when, and until when at the latest."""

    lender: str
    borrower: str
    key: tuple[str, int]
    amount: int
    at: int
    due: int
    paid_at: int | None = None
    forgiven: bool = False  # a node that no configuration names any more pays nobody


class Account:
    """One node's side of one limit."""

    __slots__ = (
        "name",
        "dimension",
        "limit",
        "terms",
        "ceiling",
        "guarantee",
        "weight",
        "above",
        "ledger",
        "window",
        "held",
        "credit",
        "kept",
        "whole",
        "debt",
        "line",
        "lead",
        "lead_at",
        "asked_at",
        "lends",
        "never",
        "scale",
        "flow",
    )

    def __init__(self, name: str, limit: Limit, above: "Account | None", terms: Terms) -> None:
        self.name, self.above, self.terms, self.dimension = name, above, terms, limit.dimension
        self.ledger: Ledger | None = None
        self.window = Window(limit.window + terms.transit) if limit.window else None
        self.held = self.credit = self.kept = self.whole = self.debt = 0
        self.lead = self.lead_at = self.asked_at = 0
        self.flow: Flow | None = None  # of one that may borrow
        self.lends: frozenset | None = None  # names of siblings that it lends to; None: all
        self.never: tuple = ()  # siblings that do not lend to it
        self.ceiling = self.guarantee = self.line = 0
        if above is not None and above.ledger is None:
            above.ledger = Ledger(above)
        self.become(limit)

    def become(self, limit: Limit) -> None:
        """Another limit or share from now on; what is counted and owed stays."""
        self.limit, self.scale = limit, self.terms.share
        self.ceiling, self.weight = limit.ceiling * self.scale // 1_000_000, limit.weight
        guarantee = limit.guarantee * self.scale // 1_000_000
        if self.above is not None and (guarantee or self.guarantee):
            self.above.ledger.entitled += guarantee - self.guarantee
            self.terms.guaranteed[self] = None
        self.guarantee = guarantee
        # All its debts at any time fit into the instalments of two windows each that the stated time holds,
        # less the one that may just run, less the time that a part's rounding takes.
        self.line = self.most_paid() * max(0, (self.terms.repay_windows - 1) // 2 - 1)
        if self.debt and self.above is not None:
            self.above.ledger.replan(self)
        self.refresh()

    def most_paid(self) -> int:
        return self.guarantee // PAYS

    def used(self, now: int) -> int:
        if self.window is None:
            return self.held
        self.window.move(now)
        return self.window.used

    def entitlement(self) -> int:
        return max(0, self.guarantee + self.credit)

    def refresh(self) -> None:
        """Brings the parent's sums up to what this account now leaves unused."""
        if not self.guarantee and not self.whole and not self.credit:
            return
        used = self.held if self.window is None else self.window.used
        whole = max(0, self.entitlement() - used)
        kept = min(whole, self.guarantee * self.terms.reserve // 1000)
        ledger = self.above.ledger
        ledger.whole += whole - self.whole
        ledger.kept += kept - self.kept
        self.whole, self.kept = whole, kept

    def put_back(self, now: int, place: int, amount: int) -> None:
        """What was counted in that part before a restart."""
        self.window.put_back(now, place, amount)
        self.refresh()
        if self.guarantee:
            self.above.ledger.expect(self, place)

    # --- what an RPC does

    def book(self, now: int, amount: int) -> int:
        """Counts so much; returns the part of the window it stands in, for `unbook`."""
        place = 0
        if self.window is None:
            self.held += amount
        else:
            place = self.window.add(now, amount)
        if self.above is not None:
            if self.guarantee:
                self.refresh()
                self.above.ledger.expect(self, place)
            elif self.whole or self.credit:
                self.refresh()
        return place

    def unbook(self, now: int, place: int, amount: int) -> None:
        if self.window is None:
            self.held -= amount
        else:
            self.window.give_back(now, place, amount)
        self.refresh()

    def own(self, now: int, amount: int) -> bool:
        """Whether so much is within its own ceiling; brings its window up to now."""
        if self.scale != self.terms.share:
            self.become(self.limit)
        window = self.window
        if window is None:
            return self.held + amount <= self.ceiling
        if window.slots is not None:
            window.move(now)
        return window.used + amount <= self.ceiling

    def beside(self, now: int, amount: int, luck: float) -> bool:
        """Whether so much is its by right among its siblings. `own` was asked of it and of its parent."""
        above = self.above
        ledger, ceiling, window = above.ledger, above.ceiling, self.window
        if ledger.calendar or ledger.running:
            ledger.advance(now)
        if window is None:
            used, filled = self.held + amount, above.held + amount
        else:
            used, filled = window.used + amount, above.window.used + amount
        if filled + ledger.whole <= ceiling // PLENTY:
            return True
        if used <= self.entitlement():
            return True  # its own
        bar = ceiling - int(ceiling // CHEAP * luck)
        if ledger.contended(now, self):
            bar -= ceiling // HEADROOM
            if not ledger.open(ledger.flow, now):
                return False
        if filled + ledger.whole - self.whole <= bar:
            return True  # nobody's
        if not self.guarantee or ledger.recalling(now):
            return False  # who has nothing to repay with borrows nothing
        kept = ledger.kept - self.kept + sum(other.whole - other.kept for other in self.never)
        loan = min(used - self.entitlement(), filled + ledger.whole - self.whole - ceiling)
        return ledger.open(self.flow, now) and filled + kept <= bar and self.debt + loan <= self.line

    def take(self, now: int, amount: int) -> None:
        """It was admitted: where there is not plenty, what it takes beyond its own makes it pace itself."""
        above = self.above
        if above.used(now) + amount + above.ledger.whole > above.ceiling // PLENTY:
            self.asked_at = now
            own = self.entitlement()
            if self.guarantee:
                # Whoever may borrow takes all it takes evenly: its own, what is nobody's, and what is lent.
                ledger = above.ledger
                lent = (ledger.entitled - own) * (1000 - self.terms.reserve) // 1000
                self.flow = self.flow or Flow()
                self.flow.took(now, amount, own + above.ceiling - ledger.entitled + lent, ledger.length())
            if self.used(now) + amount > own:
                above.ledger.pace(now, self, amount)


class Flow:
    """So much over a window, evenly (GCRA): what is taken in one burst leaves the window in one, and until
    then
    nobody finds anything coming free. A burst of a part of the window is let through."""

    __slots__ = ("next",)

    def __init__(self) -> None:
        self.next = 0  # when the next is due at this rate, in tenths of a ms, SCALE bits finer

    def open(self, now: int, part: int = 0) -> bool:
        return self.next <= now + part << SCALE

    def took(self, now: int, amount: int, much: int, length: int) -> None:
        self.next = max(self.next, now << SCALE) + (amount * length << SCALE) // max(1, much)


class Ledger:
    """A parent's side: sums over its children, who is paced, and what is owed among them."""

    __slots__ = (
        "owner",
        "kept",
        "whole",
        "entitled",
        "calendar",
        "place",
        "recall_until",
        "paced",
        "weights",
        "waiting",
        "running",
        "owed",
        "history",
        "flow",
    )

    def __init__(self, owner: Account) -> None:
        self.owner = owner
        self.kept = self.whole = self.entitled = self.owed = self.weights = 0
        self.calendar: dict[int, dict] = {}  # by part: whose use in it will stop to count
        self.place, self.recall_until = 0, -1
        self.paced: dict[Account, None] = {}  # those beyond their own lately, the longest unseen first
        self.waiting: dict[Account, deque] = {}  # by borrower: (lender, debt, what is left of it)
        self.running: dict[Account, tuple] = {}  # by borrower: (ends, what it pays to whom)
        self.history: deque = deque(maxlen=KEPT)
        self.flow = Flow()  # of those ahead of their pace while contended

    # --- time

    def expect(self, account: Account, place: int) -> None:
        if account.window is not None:
            self.calendar.setdefault(place, {})[account] = None

    def advance(self, now: int) -> None:
        """Uses that no longer count leave the sums; instalments that are over end."""
        window = self.owner.window
        if window is not None:
            place = now // window.part
            if place > self.place:
                passed = (
                    range(self.place - PARTS, place - PARTS)
                    if place - self.place <= PARTS
                    else [past for past in self.calendar if past < place - PARTS]
                )
                self.place = place
                for past in passed:
                    for account in self.calendar.pop(past, ()):
                        account.window.move(now)
                        account.refresh()
        for borrower in list(self.running):
            while borrower in self.running and self.running[borrower][0] <= now:
                self.paid(borrower)  # the next one begins where it ended, however long nobody looked

    def length(self) -> int:
        """The window's, to the next part; what is held now has none and gets one second."""
        window = self.owner.window
        return window.length + window.part if window is not None else 10_000

    # --- fair pace

    def open(self, flow: Flow | None, now: int) -> bool:
        return flow is None or self.owner.window is None or flow.open(now, self.owner.window.part)

    def pace(self, now: int, account: Account, amount: int) -> None:
        """What it took beyond its own runs off at its weight's part of what there is for all of these."""
        ceiling, length = self.owner.ceiling, self.length()
        if self.contended(now, account):
            self.flow.took(now, amount, ceiling - ceiling // HEADROOM, length)
        if account not in self.paced:
            account.lead, account.lead_at = 0, now
            self.weights += account.weight
        else:
            del self.paced[account]  # it goes behind the others
        self.paced[account] = None
        self.settle_pace(now, account)
        available = self.available() << SCALE
        most = max(1 << SCALE, available * account.weight // self.weights)
        account.lead = min(most, account.lead + (amount << SCALE))
        self.sweep(now)

    def available(self) -> int:
        return max(1, self.owner.ceiling - self.entitled + self.whole - self.kept)

    def settle_pace(self, now: int, account: Account) -> None:
        passed = now - account.lead_at
        if account.lead and passed > 0:
            run_off = (self.available() << SCALE) * account.weight * passed // (self.weights * self.length())
            account.lead = max(0, account.lead - run_off)
        account.lead_at = max(now, account.lead_at)

    def sweep(self, now: int) -> None:
        for _ in range(min(SWEPT, len(self.paced))):
            account = next(iter(self.paced))
            self.settle_pace(now, account)
            if account.lead or now - account.asked_at <= self.length():
                return
            del self.paced[account]
            self.weights -= account.weight

    def contended(self, now: int, account: Account) -> bool:
        """It is ahead of its pace while others, too, want what nobody is entitled to."""
        if account not in self.paced or len(self.paced) == 1:
            return False
        self.settle_pace(now, account)
        if (
            account.lead
            <= (1 << SCALE) + (self.available() << SCALE) * account.weight // self.weights // HEADROOM
        ):
            return False
        self.sweep(now)
        return len(self.paced) > 1

    # --- lending

    def recalling(self, now: int) -> bool:
        return now < self.recall_until or self.owed > 0

    def refused(self, now: int, account: Account, amount: int, again: bool) -> None:
        """It was refused for want of room under this parent. `again`: a marked retry, counted already."""
        account.asked_at = now
        if account.used(now) + amount > account.entitlement():
            if account not in self.paced:
                account.lead, account.lead_at = 0, now
                self.paced[account] = None
                self.weights += account.weight
            return
        self.recall_until = now + self.length()
        if again or account.used(now) + amount > account.guarantee:
            return  # what it misses of a repayment is no loan of its own
        heaviest, most = None, 0
        for number, other in enumerate(reversed(self.paced)):
            over = other.used(now) - other.guarantee
            if other is not account and other.guarantee and over > most:
                heaviest, most = other, over
            if number == BLAMED:
                break
        if heaviest is not None and heaviest.debt + amount <= min(heaviest.line, most):
            self.owe(now, account, heaviest, amount)

    def owe(self, now: int, lender: Account, borrower: Account, amount: int) -> Debt:
        due = now + borrower.terms.repay_windows * self.length()
        debt = Debt(lender.name, borrower.name, lender.limit.key, amount, now, due)
        self.history.append(debt)
        borrower.debt += amount
        self.owed += amount
        self.waiting.setdefault(borrower, deque()).append([lender, debt, amount])
        if borrower not in self.running:
            self.instalment(now, borrower)
        elif now <= self.running[borrower][2]:
            self.instalment(now, borrower, self.running.pop(borrower))
        return debt

    def instalment(self, now: int, borrower: Account, begun: tuple = (0, (), None)) -> None:
        """For two windows a part of the borrower's entitlement is its lenders', whether they use it or not.
        One that has `begun` less than a part of a window ago takes up what comes together with it."""
        _, before, fresh_until = begun
        waiting, parts = self.waiting.get(borrower), list(before)
        left = borrower.most_paid() - sum(part[2] for part in parts)
        if fresh_until is None:
            fresh_until = now + (self.owner.window.part if self.owner.window is not None else 500)
        while waiting and left > 0:
            lender, debt, open_amount = waiting[0]
            amount = min(left, open_amount)
            parts.append((lender, debt, amount, amount == open_amount))
            left -= amount
            if amount == open_amount:
                waiting.popleft()
            else:
                waiting[0][2] -= amount
            lender.credit += amount
            lender.refresh()
            borrower.credit -= amount
        if waiting is not None and not waiting:
            del self.waiting[borrower]
        if parts:
            borrower.refresh()
            self.running[borrower] = (now + 2 * self.length(), parts, fresh_until)

    def open_debts(self) -> list[tuple[Account, Account, Debt, int]]:
        """(borrower, lender, debt, what of it is not yet repaid)."""
        found: dict[int, list] = {}
        for borrower, (_, parts, _) in self.running.items():
            for lender, debt, amount, _ in parts:
                found.setdefault(id(debt), [borrower, lender, debt, 0])[3] += amount
        for borrower, queue in self.waiting.items():
            for lender, debt, amount in queue:
                found.setdefault(id(debt), [borrower, lender, debt, 0])[3] += amount
        return [tuple(one) for one in found.values()]

    def paid(self, borrower: Account) -> None:
        ends, parts, _ = self.running.pop(borrower)
        for lender, debt, amount, last in parts:
            lender.credit -= amount
            lender.refresh()
            borrower.credit += amount
            borrower.debt -= amount
            self.owed -= amount
            if last:
                debt.paid_at = ends
        borrower.refresh()
        self.instalment(ends, borrower)

    def replan(self, borrower: Account) -> None:
        """Its guarantee has changed. Guards the sum of entitlements: it can't pay more than it has. With
        nothing left to pay from it is forgiven."""
        if not borrower.most_paid():
            borrower.terms.forgiven += self.forgive(borrower)
        elif -borrower.credit > borrower.guarantee:
            ends, parts, _ = self.running.pop(borrower)
            queue = self.waiting.setdefault(borrower, deque())
            for lender, debt, amount, last in reversed(parts):
                lender.credit -= amount
                lender.refresh()
                borrower.credit += amount
                if last:
                    queue.appendleft([lender, debt, amount])
                else:
                    queue[0][2] += amount
            self.instalment(max(0, ends - 2 * self.length()), borrower)

    def forgive(self, account: Account) -> int:
        """This account is no longer configured: what it owes and is owed can't be paid. Returns how much."""
        forgiven = 0
        for borrower in list({**self.waiting, **self.running}):
            queue = self.waiting.get(borrower, deque())
            ends, parts, fresh = self.running.get(borrower, (0, [], 0))
            for lender, _, amount, _ in [part for part in parts if account in (borrower, part[0])]:
                lender.credit -= amount
                borrower.credit += amount
                lender.refresh()
                borrower.refresh()
            gone = [part for part in [*parts, *queue] if account in (borrower, part[0])]
            for _, debt, amount, *_ in gone:
                debt.forgiven = True
                borrower.debt -= amount
                self.owed -= amount
                forgiven += amount
            self.waiting[borrower] = deque(one for one in queue if account not in (borrower, one[0]))
            if not self.waiting[borrower]:
                del self.waiting[borrower]
            left = [part for part in parts if account not in (borrower, part[0])]
            if left:
                self.running[borrower] = (ends, left, fresh)
            else:
                self.running.pop(borrower, None)
                self.instalment(self.place * (self.owner.window.part if self.owner.window else 0), borrower)
        return forgiven
