"""The plain, slow model of one parent and its children: a log of everything, sums taken anew for each
question."""

from math import inf


class Plain:
    """One parent (ceiling, window) over children {name: (ceiling, guarantee)}, all of one limit."""

    def __init__(self, ceiling, length, slot_length, children, reserve, repay):
        self.ceiling, self.length, self.slot_length, self.children = ceiling, length, slot_length, children
        self.reserve, self.repay, self.log, self.debts = reserve, repay, [], []
        self.recall_until, self.instalments = -inf, {}  # by borrower: (ends, [(lender, debt, amount)])

    def charge(self, now, name, amount):
        self.log.append([now // self.slot_length, name, amount])
        return self.log[-1]

    def used(self, now, name=None):
        return sum(
            amount
            for slot, who, amount in self.log
            if name in (None, who) and slot > now // self.slot_length - 21
        )

    def entitlement(self, name):
        credit = sum(
            amount * ((lender == name) - (borrower == name))
            for borrower, (_, parts, _) in self.instalments.items()
            for lender, _, amount in parts
        )
        return max(0, self.children[name][1] + credit)

    def unused(self, now, name):
        return max(0, self.entitlement(name) - self.used(now, name))

    def reserved(self, now, name):
        return min(self.unused(now, name), self.children[name][1] * self.reserve // 1000)

    def debt(self, name=None):
        return sum(debt["left"] for debt in self.debts if name in (None, debt["borrower"]))

    def credit_limit(self, name):
        return self.children[name][1] // 2 * ((self.repay - 1) // 2 - 1)

    def advance(self, now):
        for borrower in list(self.instalments):
            while borrower in self.instalments and self.instalments[borrower][0] <= now:
                ends, parts, _ = self.instalments.pop(borrower)
                for _, debt, amount in parts:
                    debt["left"] -= amount
                    if not debt["left"]:
                        debt["paid"] = ends
                self.begin_instalment(ends, borrower)

    def begin_instalment(self, now, borrower):
        _, parts, fresh = self.instalments.pop(borrower, (0, [], now + self.slot_length))
        left = self.children[borrower][1] // 2 - sum(amount for *_, amount in parts)
        for debt in self.debts:
            open_amount = debt["left"] - sum(amount for _, one, amount in parts if one is debt)
            if debt["borrower"] == borrower and open_amount and left:
                amount = min(left, open_amount)
                left -= amount
                parts.append((debt["lender"], debt, amount))
        if parts:
            self.instalments[borrower] = (now + 2 * (self.length + self.slot_length), parts, fresh)

    def admits(self, now, name, amount, conforms):
        """Without the pace of others: whether it is admitted by its own and its siblings' entitlements.
        `conforms`: a loan would not be too many at once."""
        self.advance(now)
        used, total = self.used(now, name) + amount, self.used(now) + amount
        if used > self.children[name][0] or total > self.ceiling:
            return False
        if used <= self.entitlement(name):
            return True
        others = [one for one in self.children if one != name]
        claimed = total + sum(self.unused(now, one) for one in others)
        if claimed <= self.ceiling:
            return True
        if not self.children[name][1] or now < self.recall_until or self.debt():
            return False
        if not conforms:
            return False
        loan = min(used - self.entitlement(name), claimed - self.ceiling)
        return total + sum(self.reserved(now, one) for one in others) <= self.ceiling and self.debt(
            name
        ) + loan <= self.credit_limit(name)

    def refused(self, now, name, amount, heaviest):
        """`heaviest` is told: which of several equals is blamed is not the model's matter."""
        if self.used(now, name) + amount > self.entitlement(name):
            return
        self.recall_until = now + self.length + self.slot_length
        if heaviest is not None:
            assert self.used(now, name) + amount <= self.children[name][1]
            self.debts.append(
                {
                    "lender": name,
                    "borrower": heaviest,
                    "left": amount,
                    "amount": amount,
                    "at": now,
                    "paid": None,
                }
            )
            if heaviest not in self.instalments or now <= self.instalments[heaviest][2]:
                self.begin_instalment(now, heaviest)
