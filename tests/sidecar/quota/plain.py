"""A reference model of one parent and its children, simple and slow: it logs everything and computes each
sum anew from the log."""

from math import inf


class ReferenceModel:
    """One parent (ceiling, window) over children {name: (ceiling, guarantee)}, with one limit each."""

    def __init__(self, ceiling, length, slot_length, children, reserve, repay_windows):
        self.ceiling, self.length, self.slot_length, self.children = ceiling, length, slot_length, children
        self.reserve, self.repay_windows, self.log, self.debts = reserve, repay_windows, [], []
        # By borrower: when the instalment ends, its parts (lender, debt, amount), and until when it is open.
        self.recall_until, self.instalments = -inf, {}

    def charge(self, now, name, amount):
        self.log.append([now // self.slot_length, name, amount])
        return self.log[-1]

    def used(self, now, name=None):
        return sum(
            amount
            for slot, owner, amount in self.log
            if name in (None, owner) and slot > now // self.slot_length - 21
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
        return self.children[name][1] // 2 * ((self.repay_windows - 1) // 2 - 1)

    def advance(self, now):
        for borrower in list(self.instalments):
            while borrower in self.instalments and self.instalments[borrower][0] <= now:
                ends_at, parts, _ = self.instalments.pop(borrower)
                for _, debt, amount in parts:
                    debt["left"] -= amount
                    if not debt["left"]:
                        debt["paid"] = ends_at
                self.begin_instalment(ends_at, borrower)

    def begin_instalment(self, now, borrower):
        _, parts, open_until = self.instalments.pop(borrower, (0, [], now + self.slot_length))
        left = self.children[borrower][1] // 2 - sum(amount for *_, amount in parts)
        for debt in self.debts:
            open_amount = debt["left"] - sum(amount for _, one, amount in parts if one is debt)
            if debt["borrower"] == borrower and open_amount and left:
                amount = min(left, open_amount)
                left -= amount
                parts.append((debt["lender"], debt, amount))
        if parts:
            self.instalments[borrower] = (now + 2 * (self.length + self.slot_length), parts, open_until)

    def admits(self, now, name, amount, conforms):
        """Returns whether the entitlements of the account and its siblings admit it, without pacing.

        `conforms`: whether the even rate allows a loan now.
        """
        self.advance(now)
        used, total = self.used(now, name) + amount, self.used(now) + amount
        if used > self.children[name][0] or total > self.ceiling:
            return False
        if used <= self.entitlement(name):
            return True
        others = [one for one in self.children if one != name]
        total_claimed = total + sum(self.unused(now, one) for one in others)
        if total_claimed <= self.ceiling:
            return True
        if not self.children[name][1] or now < self.recall_until or self.debt():
            return False
        if not conforms:
            return False
        loan = min(used - self.entitlement(name), total_claimed - self.ceiling)
        return total + sum(self.reserved(now, one) for one in others) <= self.ceiling and self.debt(
            name
        ) + loan <= self.credit_limit(name)

    def refused(self, now, name, amount, heaviest):
        """Records a refusal. `heaviest`: the borrower to blame, as the model does not choose among equals."""
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
