"""What one member holds: its promise, the newest epoch it knows, the state and its mark, what is finished."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from shedgrade.replication.change_index import ChangeIndex
from shedgrade.replication.disk_writer import Saving
from shedgrade.replication.effects import Finished
from shedgrade.replication.messages import Changes, EpochRecord, Mark, Peer
from shedgrade.replication.quorums import newest

INCARNATION, PROMISE, EPOCH, PLACE, SEEDS = (
    "replication/incarnation",
    "replication/promise",
    "replication/epoch",
    "replication/place",
    "replication/founding",
)
PREFIX = "state/"

_encode = msgspec.msgpack.encode


def _decode(found, key, kind, default):
    data = found.get(key)
    return default if data is None else msgspec.msgpack.decode(data, type=kind)


def merge(state: dict[str, bytes], changes: Changes) -> dict[str, bytes]:
    """A new state; the given one is left as it is."""
    merged = dict(state)
    for key, value in changes.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = value
    return merged


class Held:
    """`promise`: (number, incarnation of the candidate). `accepted`: the epoch as whose holder the state
    was taken; 0 for a witness. `unfinished`: states after the finished one, by mark. `durable` and
    `installed`: the mark and the epoch that are synced."""

    def __init__(self, found, saving: Saving, effects: list, seeds: tuple[str, ...], founding: bool, random):
        found = found or {}
        self.saving, self.effects = saving, effects
        self.incarnation = _decode(found, INCARNATION, int, 0)
        self.new = not self.incarnation
        founders = _decode(found, SEEDS, tuple[str, ...] | None, None)
        if self.new:
            self.incarnation = random.getrandbits(62) | 1
            founders = seeds if founding else None
        self.founding = founders is not None
        nobody = EpochRecord(0, 0, (), tuple(Peer(0, "", seed) for seed in founders or ()), (), True)
        self.founders = founders
        self.promise: tuple[int, int] = _decode(found, PROMISE, tuple[int, int], (0, 0))
        self.record: EpochRecord = _decode(found, EPOCH, EpochRecord, nobody)
        self.accepted, self.mark = _decode(found, PLACE, tuple[int, Mark], (0, (0, 0)))
        self.state = {key[len(PREFIX) :]: value for key, value in found.items() if key.startswith(PREFIX)}
        self.durable, self.installed = self.mark, self.accepted
        self.unfinished: deque[tuple[Mark, dict[str, bytes]]] = deque([(self.mark, self.state)])
        self.finished: tuple[int, int, dict[str, bytes]] = (0, 0, {})
        self.index = ChangeIndex(self.mark)

    def born(self, now: float, done) -> None:
        """Before the first word: the incarnation is synced, or it could be another after a loss of power."""
        changes: Changes = {INCARNATION: _encode(self.incarnation)}
        if self.founders is not None:
            changes[SEEDS] = _encode(self.founders)
        self.saving.save(now, changes, done)

    def names(self, incarnation: int) -> bool:
        return any(peer.incarnation == incarnation for peer in self.record.members)

    def is_holder(self) -> bool:
        return self.incarnation in self.record.holders

    def is_member(self) -> bool:
        return self.names(self.incarnation)

    def promise_to(self, now: float, number: int, candidate: int, done=None) -> None:
        self.promise = number, candidate
        self.saving.save(now, {PROMISE: _encode(self.promise)}, done)

    def learn(self, now: float, record: EpochRecord) -> None:
        """Keep a newer epoch that is known to be active (or the word that this one is)."""
        if newest(self.record, record) is self.record:
            return
        self.record = record
        changes: Changes = {EPOCH: _encode(record)}
        if record.number > self.promise[0]:
            self.promise = record.number, record.primary
            changes[PROMISE] = _encode(self.promise)
        self.saving.save(now, changes)

    def install(
        self,
        now: float,
        record: EpochRecord,
        mark: Mark,
        state: dict[str, bytes],
        changes: Changes | None,
        done,
    ) -> None:
        """Hold the epoch with this state. `changes` lead there from the present one (None: all)."""
        saved: Changes = {EPOCH: _encode(record), PLACE: _encode((record.number, mark))}
        if self.promise != (record.number, record.primary):
            self.promise = record.number, record.primary
            saved[PROMISE] = _encode(self.promise)
        if changes is None:
            for key in self.state:
                if key not in state:
                    saved[PREFIX + key] = None
            changes = {key: value for key, value in state.items() if self.state.get(key) != value}
            if mark != self.mark:
                self.index.reset(mark)
                self.unfinished.clear()  # also a change that no election met: it is in force nowhere
        elif mark != self.mark:
            self.index.note(self.mark, mark, changes)
        for key, value in changes.items():
            saved[PREFIX + key] = value
        if mark != self.mark:
            self.unfinished.append((mark, state))
        self.record, self.accepted, self.state, self.mark = record, record.number, state, mark

        def durable(at: float) -> None:
            self.durable, self.installed = mark, record.number
            done(at)

        self.saving.save(now, saved, durable)

    def write(self, now: float, sequence: int, changes: Changes, done) -> None:
        """The next change of the epoch accepted."""
        mark = (self.accepted, sequence)
        self.state = merge(self.state, changes)
        self.index.note(self.mark, mark, changes)
        self.mark = mark
        self.unfinished.append((mark, self.state))
        saved = {PREFIX + key: value for key, value in changes.items()}
        saved[PLACE] = _encode((self.accepted, mark))

        def durable(at: float) -> None:
            self.durable = mark
            done(at)

        self.saving.save(now, saved, durable)

    def finished_since(self, *bases: Mark) -> tuple[Mark | None, Changes]:
        """(base, changes from there to the finished state), the newest base that is known; or (None, all)."""
        return self.difference([base for base in bases if base <= self.finished[:2]], self.finished[2])

    def path(self, *bases: Mark) -> tuple[Mark | None, Changes]:
        """(base, changes from there to the own mark), the newest base that is known; or (None, all)."""
        return self.difference(bases, self.state)

    def difference(self, bases: Sequence[Mark], state: dict[str, bytes]) -> tuple[Mark | None, Changes]:
        for base in sorted(bases, reverse=True):  # the newest leaves the least to be sent
            changes = self.index.since(base, state)
            if changes is not None:
                return base, changes
        return None, state

    def follow_path(self, base: Mark | None, changes: Changes) -> dict[str, bytes] | None:
        """The state that the changes lead to, None when this member doesn't have the base."""
        if base is None:
            return dict(changes)
        if base == self.mark:
            return merge(self.state, changes)
        return merge(self.finished[2], changes) if base == self.finished[:2] else None

    def learn_finished(self, base: Mark | None, mark: Mark, changes: Changes) -> None:
        """Take over a finished state. Changes that lead to it from `base` lead to it from each finished state
        between the two as well."""
        if base is None:
            self.finish_with(mark, dict(changes))
        elif base <= self.finished[:2] <= mark:
            self.finish_with(mark, merge(self.finished[2], changes))
        elif base == self.mark <= mark:  # what an earlier life synced, and the primary has in its chain
            self.finish_with(mark, merge(self.state, changes))

    def finish(self, mark: Mark) -> None:
        """What is accepted up to the mark is finished."""
        state = None
        while self.unfinished and self.unfinished[0][0] <= mark:
            at, state = self.unfinished.popleft()
            if at == mark:
                self.finish_with(mark, state)
                break

    def finish_with(self, mark: Mark, state: dict[str, bytes]) -> None:
        """Never goes back: an old primary's word may come late."""
        if mark > self.finished[:2]:
            self.finished = *mark, state
            self.effects.append(Finished(*mark, state))
