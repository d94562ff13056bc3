"""Which keys changed after a position of the chain, in memory bounded by the number of keys.

For each key the position of its last change, ordered by it, as the modification revision of etcd's keys. The
difference between a position and the present state then holds each key once, however often it was rewritten.
"""

from __future__ import annotations

from collections import deque

from shedgrade.replication.messages import Changes, Mark

MOST_KEYS = 16_384  # beyond it the oldest are forgotten: who lags behind those gets the whole state
MOST_EPOCHS = 1_024


class ChangeIndex:
    """`floor`: the oldest position whose changes since are all known. `epochs`: (epoch, first, last sequence)
    of the chain from there on, so that a position which is not part of the chain is told from one that is."""

    def __init__(self, mark: Mark):
        self.reset(mark)

    def reset(self, mark: Mark) -> None:
        """Nothing is known but that the chain has this position."""
        self.floor = self.last = mark
        self.epochs: deque[tuple[int, int, int]] = deque([(*mark, mark[1])])
        self.changed: dict[str, Mark] = {}

    def note(self, base: Mark, mark: Mark, changes: Changes) -> None:
        """`changes` lead from `base` to `mark`."""
        if base != self.last:
            self.reset(base)
        self.last = mark
        epoch, first, last = self.epochs[-1]
        if mark == (epoch, last + 1):
            self.epochs[-1] = epoch, first, mark[1]
        else:
            self.epochs.append((*mark, mark[1]))
        for key in changes:
            self.changed.pop(key, None)  # the dict stays ordered by the last change
            self.changed[key] = mark
        self.forget()

    def forget(self) -> None:
        while len(self.changed) > MOST_KEYS:
            self.floor = max(self.floor, self.changed.pop(next(iter(self.changed))))
        while len(self.epochs) > MOST_EPOCHS:
            self.epochs.popleft()
            self.floor = max(self.floor, self.epochs[0][:2])

    def has(self, mark: Mark) -> bool:
        """Whether the position is known to be part of the chain."""
        return any(epoch == mark[0] and first <= mark[1] <= last for epoch, first, last in self.epochs)

    def since(self, base: Mark, state: dict[str, bytes]) -> Changes | None:
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
