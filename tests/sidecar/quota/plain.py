"""The plain, slow model of one parent and its children: a log of everything, sums taken anew for each
question."""

from math import inf


class Plain:
    """One parent (ceiling, window) over children {name: (ceiling, guarantee)}, all of one limit."""

    def __init__(self, ceiling, length, part, children, reserve, repay):
        self.ceiling, self.length, self.part, self.children = ceiling, length, part, children
        self.reserve, self.repay, self.log, self.debts = reserve, repay, [], []
        self.recall, self.pays = -inf, {}  # by borrower: (ends, [(lender, debt, amount)])

    def book(self, now, name, amount):
        self.log.append([now // self.part, name, amount])
        return self.log[-1]

    def used(self, now, name=None):
        return sum(
            amount for place, who, amount in self.log if name in (None, who) and place > now // self.part - 21
        )

    def entitled(self, name):
        credit = sum(
            amount * ((lender == name) - (borrower == name))
            for borrower, (_, parts, _) in self.pays.items()
            for lender, _, amount in parts
        )
        return max(0, self.children[name][1] + credit)

    def whole(self, now, name):
        return max(0, self.entitled(name) - self.used(now, name))

    def kept(self, now, name):
        return min(self.whole(now, name), self.children[name][1] * self.reserve // 1000)

    def debt(self, name=None):
        return sum(debt["left"] for debt in self.debts if name in (None, debt["borrower"]))

    def line(self, name):
        return self.children[name][1] // 2 * ((self.repay - 1) // 2 - 1)

    def advance(self, now):
        for borrower in list(self.pays):
            while borrower in self.pays and self.pays[borrower][0] <= now:
                ends, parts, _ = self.pays.pop(borrower)
                for _, debt, amount in parts:
                    debt["left"] -= amount
                    if not debt["left"]:
                        debt["paid"] = ends
                self.instalment(ends, borrower)

    def instalment(self, now, borrower):
        _, parts, fresh = self.pays.pop(borrower, (0, [], now + self.part))
        left = self.children[borrower][1] // 2 - sum(amount for *_, amount in parts)
        for debt in self.debts:
            open_amount = debt["left"] - sum(amount for _, one, amount in parts if one is debt)
            if debt["borrower"] == borrower and open_amount and left:
                amount = min(left, open_amount)
                left -= amount
                parts.append((debt["lender"], debt, amount))
        if parts:
            self.pays[borrower] = (now + 2 * (self.length + self.part), parts, fresh)

    def admits(self, now, name, amount, flow):
        """Without the pace of others: whether it is let in by its own and its siblings' rights. `flow`: a
        loan
        would not be too many at once."""
        self.advance(now)
        used, total = self.used(now, name) + amount, self.used(now) + amount
        if used > self.children[name][0] or total > self.ceiling:
            return False
        if used <= self.entitled(name):
            return True
        others = [one for one in self.children if one != name]
        whole = total + sum(self.whole(now, one) for one in others)
        if whole <= self.ceiling:
            return True
        if not self.children[name][1] or now < self.recall or self.debt():
            return False
        if not flow:
            return False
        loan = min(used - self.entitled(name), whole - self.ceiling)
        return total + sum(self.kept(now, one) for one in others) <= self.ceiling and self.debt(
            name
        ) + loan <= self.line(name)

    def refused(self, now, name, amount, heaviest):
        """`heaviest` is told: which of several equals is blamed is not the model's matter."""
        if self.used(now, name) + amount > self.entitled(name):
            return
        self.recall = now + self.length + self.part
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
            if heaviest not in self.pays or now <= self.pays[heaviest][2]:
                self.instalment(now, heaviest)
