"""A sliding window, without I/O: whole numbers, and a bound that holds over every window of its length.

The window is cut into PARTS; what was used is kept by part, and one part more than the window is long
counts. So any interval of the window's length, wherever it begins, lies within what was counted: its use
can't pass the limit. The price is that up to one part in PARTS of the limit may lie unused.
"""

PARTS = 20  # a twentieth of the limit may lie unused; each window keeps 21 numbers, once it is used


class Window:
    """Use within the last `length` tenths of a millisecond."""

    __slots__ = ("length", "part", "slots", "place", "used")

    def __init__(self, length: int) -> None:
        self.length, self.part = length, -(-length // PARTS)
        self.slots: list[int] | None = None  # made at the first use: idle leaves cost nothing
        self.place, self.used = 0, 0

    def move(self, now: int) -> None:
        """Brings it up to `now`. A clock that went back changes nothing; one that leapt empties what it
        passed."""
        place = now // self.part
        if self.slots is None or place <= self.place:
            return
        size = len(self.slots)
        if place - self.place >= size:
            self.slots, self.used = None, 0
            return
        for gone in range(self.place + 1, place + 1):
            self.used -= self.slots[gone % size]
            self.slots[gone % size] = 0
        self.place = place
        if not self.used:
            self.slots = None

    def add(self, now: int, amount: int) -> int:
        """Books an amount; returns the part it stands in, for `give_back`."""
        self.move(now)
        if self.slots is None:
            self.slots, self.place, self.used = [0] * (PARTS + 1), now // self.part, 0
        self.slots[self.place % len(self.slots)] += amount
        self.used += amount
        return self.place

    def give_back(self, now: int, place: int, amount: int) -> None:
        """Takes back what was booked in that part, as far as it still counts."""
        self.move(now)
        if self.slots is not None and self.place - place < len(self.slots):
            index = place % len(self.slots)
            amount = min(amount, self.slots[index])
            self.slots[index] -= amount
            self.used -= amount

    def parts(self) -> list[tuple[int, int]]:
        """(part, amount) of all that counts, the oldest first."""
        if self.slots is None:
            return []
        size = len(self.slots)
        return [
            (place, self.slots[place % size])
            for place in range(self.place - size + 1, self.place + 1)
            if self.slots[place % size]
        ]

    def put_back(self, now: int, place: int, amount: int) -> None:
        """Counts an amount in a part that lies behind, as far as that still counts."""
        self.move(now)
        if self.slots is None:
            self.slots, self.place, self.used = [0] * (PARTS + 1), now // self.part, 0
        if 0 <= self.place - place < len(self.slots):
            self.slots[place % len(self.slots)] += amount
            self.used += amount

    def free_at(self, now: int, limit: int, amount: int) -> int | None:
        """The first moment at which so much fits if nothing else comes; None if it never does."""
        self.move(now)
        if amount > limit:
            return None
        over = self.used + amount - limit
        if over <= 0:
            return now
        size = len(self.slots)
        for place in range(self.place - size + 1, self.place + 1):
            over -= self.slots[place % size]
            if over <= 0:
                return (place + size) * self.part
        return None
