"""Index of the keys that changed after a log position, in memory bounded by the number of keys.

It holds the position of the last change of each key, like the modification revision of a key in etcd. The
difference between a position and the current state thus holds each key once, however often it was rewritten.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from shedgrade.replication.messages import Changes, LogPosition

MAX_KEYS = 16_384  # beyond it the oldest are dropped: a replica that lags further receives the whole state
MAX_EPOCHS = 1_024


class EpochRange(NamedTuple):
    """The changes of one epoch that are part of the log: first and last sequence number."""

    epoch: int
    first: int
    last: int


class ChangeIndex:
    """Positions of the log, and the position of the last change of each key.

    `floor`: the oldest position after which all changes are known.
    `last`: the newest position.
    `epochs`: ranges of the log from `floor` on, oldest first, at most `MAX_EPOCHS`. They tell positions that
    are part of the log from those that are not.
    `changed_at`: position of the last change by key, ordered by position; at most `MAX_KEYS`.
    """

    def __init__(self, position: LogPosition) -> None:
        """`position`: the first position of the log."""
        self.reset(position)

    def reset(self, position: LogPosition) -> None:
        """Drops all that is known, except that `position` is part of the log."""
        self.floor = position
        self.last = position
        self.epochs: deque[EpochRange] = deque([EpochRange(*position, position[1])])
        self.changed_at: dict[str, LogPosition] = {}

    def record(self, base: LogPosition, position: LogPosition, changes: Changes) -> None:
        """Records that `changes` lead from `base` to `position`."""
        if base != self.last:
            self.reset(base)
        self.last = position
        newest = self.epochs[-1]
        if position == (newest.epoch, newest.last + 1):
            self.epochs[-1] = EpochRange(newest.epoch, newest.first, position[1])
        else:
            self.epochs.append(EpochRange(*position, position[1]))
        for key in changes:
            self.changed_at.pop(key, None)  # the dict stays ordered by the last change
            self.changed_at[key] = position
        self.trim()

    def trim(self) -> None:
        """Drops the oldest keys and epochs beyond the bounds, and raises `floor` accordingly."""
        while len(self.changed_at) > MAX_KEYS:
            self.floor = max(self.floor, self.changed_at.pop(next(iter(self.changed_at))))
        while len(self.epochs) > MAX_EPOCHS:
            self.epochs.popleft()
            oldest = self.epochs[0]
            self.floor = max(self.floor, LogPosition(oldest.epoch, oldest.first))

    def contains(self, position: LogPosition) -> bool:
        """Whether the position is known to be part of the log."""
        return any(
            each.epoch == position[0] and each.first <= position[1] <= each.last for each in self.epochs
        )

    def since(self, base: LogPosition, state: dict[str, bytes]) -> Changes | None:
        """Returns the changes from `base` to `state`, whose position is not before `base`; None if unknown.

        They also lead to `state` from each position between the two.
        """
        if base < self.floor or not self.contains(base):
            return None
        changes: Changes = {}
        for key in reversed(self.changed_at):
            if self.changed_at[key] <= base:
                break
            changes[key] = state.get(key)
        return changes
