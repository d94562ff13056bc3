"""A sliding window of integer amounts, without I/O: its bound holds over every interval of its length.

The window is divided into SLOTS slots, and use is counted by slot. The counted slots are one more than the
window is long. So any interval of the window's length, wherever it begins, lies within the counted slots, and
its use can't exceed the limit. In exchange, up to 1/SLOTS of the limit may stay unused.
"""

from typing import NamedTuple

SLOTS = 20  # up to 1/20 of the limit may stay unused; a window keeps 21 numbers while it has use


class SlotUse(NamedTuple):
    """The use counted in one slot; slots are numbered from the clock's zero."""

    slot: int
    amount: int


class SlidingWindow:
    """Use within the last `length` tenths of a millisecond.

    Attributes:
        length, slot_length: of the window and of one slot, in tenths of a ms.
        slots: amounts by slot number modulo SLOTS + 1; None while the window has no use, so that idle
            leaves take no memory for them.
        current_slot: the number of the newest slot; valid only while `slots` is not None.
        used: the sum of `slots`.
    """

    __slots__ = ("length", "slot_length", "slots", "current_slot", "used")

    def __init__(self, length: int) -> None:
        self.length = length
        self.slot_length = -(-length // SLOTS)
        self.slots: list[int] | None = None
        self.current_slot = 0
        self.used = 0

    def advance(self, now: int) -> None:
        """Advances the window to `now`.

        A clock that went back changes nothing; a clock that jumped ahead empties the slots that it passed.
        """
        slot = now // self.slot_length
        if self.slots is None or slot <= self.current_slot:
            return
        size = len(self.slots)
        if slot - self.current_slot >= size:
            self.slots, self.used = None, 0
            return
        for expired in range(self.current_slot + 1, slot + 1):
            self.used -= self.slots[expired % size]
            self.slots[expired % size] = 0
        self.current_slot = slot
        if not self.used:
            self.slots = None

    def open_slots(self, now: int) -> list[int]:
        """Returns the slots; creates empty ones, with the current slot at `now`, if there are none."""
        if self.slots is None:
            self.slots = [0] * (SLOTS + 1)
            self.current_slot = now // self.slot_length
            self.used = 0
        return self.slots

    def add(self, now: int, amount: int) -> int:
        """Counts an amount; returns the slot in which it counts, for `subtract`."""
        self.advance(now)
        slots = self.open_slots(now)
        slots[self.current_slot % len(slots)] += amount
        self.used += amount
        return self.current_slot

    def subtract(self, now: int, slot: int, amount: int) -> None:
        """Takes back an amount that was counted in that slot, unless the slot has left the window."""
        self.advance(now)
        if self.slots is not None and self.current_slot - slot < len(self.slots):
            index = slot % len(self.slots)
            amount = min(amount, self.slots[index])
            self.slots[index] -= amount
            self.used -= amount

    def restore(self, now: int, slot: int, amount: int) -> None:
        """Counts an amount in the current slot or an earlier one, unless that slot has left the window."""
        self.advance(now)
        slots = self.open_slots(now)
        if 0 <= self.current_slot - slot < len(slots):
            slots[slot % len(slots)] += amount
            self.used += amount

    def slots_in_use(self) -> list[SlotUse]:
        """Returns the slots of the window that have use, the oldest first."""
        if self.slots is None:
            return []
        size = len(self.slots)
        return [
            SlotUse(slot, self.slots[slot % size])
            for slot in range(self.current_slot - size + 1, self.current_slot + 1)
            if self.slots[slot % size]
        ]

    def free_at(self, now: int, limit: int, amount: int) -> int | None:
        """Returns the first time at which `amount` fits if nothing else is added; None if it never does."""
        self.advance(now)
        if amount > limit:
            return None
        excess = self.used + amount - limit
        if excess <= 0:
            return now
        if self.slots is None:
            return None
        size = len(self.slots)
        for slot in range(self.current_slot - size + 1, self.current_slot + 1):
            excess -= self.slots[slot % size]
            if excess <= 0:
                return (slot + size) * self.slot_length
        return None

    def check_invariants(self) -> None:
        """Raises AssertionError if the sum is not that of the slots, or a slot is negative."""
        if self.slots is None:
            assert self.used == 0
            return
        assert self.used == sum(self.slots)
        assert min(self.slots) >= 0
        assert len(self.slots) == SLOTS + 1
