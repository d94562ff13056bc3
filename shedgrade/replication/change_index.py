"""Which keys changed after a position of the chain, in memory bounded by the number of keys.

For each key the position of its last change, ordered by it, as the modification revision of etcd's keys. The
difference between a position and the present state then holds each key once, however often it was rewritten.
"""

from __future__ import annotations

from collections import deque

from shedgrade.replication.messages import Changes, LogPosition

MOST_KEYS = 16_384  # beyond it the oldest are forgotten: who lags behind those gets the whole state
MOST_EPOCHS = 1_024


class ChangeIndex:
    """`floor`: the oldest position whose changes since are all known. `epochs`: (epoch, first, last sequence)
    of the chain from there on, so that a position which is not part of the chain is told from one that is."""

    def __init__(self, position: LogPosition):
        self.reset(position)

    def reset(self, position: LogPosition) -> None:
        """Nothing is known but that the chain has this position."""
        self.floor = self.last = position
        self.epochs: deque[tuple[int, int, int]] = deque([(*position, position[1])])
        self.changed: dict[str, LogPosition] = {}

    def note(self, base: LogPosition, position: LogPosition, changes: Changes) -> None:
        """`changes` lead from `base` to `position`."""
        if base != self.last:
            self.reset(base)
        self.last = position
        epoch, first, last = self.epochs[-1]
        if position == (epoch, last + 1):
            self.epochs[-1] = epoch, first, position[1]
        else:
            self.epochs.append((*position, position[1]))
        for key in changes:
            self.changed.pop(key, None)  # the dict stays ordered by the last change
            self.changed[key] = position
        self.forget()

    def forget(self) -> None:
        while len(self.changed) > MOST_KEYS:
            self.floor = max(self.floor, self.changed.pop(next(iter(self.changed))))
        while len(self.epochs) > MOST_EPOCHS:
            self.epochs.popleft()
            self.floor = max(self.floor, LogPosition(*self.epochs[0][:2]))

    def has(self, position: LogPosition) -> bool:
        """Whether the position is known to be part of the chain."""
        return any(
            epoch == position[0] and first <= position[1] <= last for epoch, first, last in self.epochs
        )

    def since(self, base: LogPosition, state: dict[str, bytes]) -> Changes | None:
        """What leads from `base` to `state`, whose position is not before `base`; None if that is not known.

        It leads there from each position between the two as well."""
        if base < self.floor or not self.has(base):
            return None
        changes: Changes = {}
        for key in reversed(self.changed):
            if self.changed[key] <= base:
                break
            changes[key] = state.get(key)
        return changes
