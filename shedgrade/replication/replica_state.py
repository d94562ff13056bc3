"""What one member holds: its promise, the newest epoch it knows, the state and its position, what is
committed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from shedgrade.replication.change_index import ChangeIndex
from shedgrade.replication.disk_writer import DiskWriter
from shedgrade.replication.effects import Committed
from shedgrade.replication.messages import Changes, EpochConfig, LogPosition, Peer
from shedgrade.replication.quorums import newest

INCARNATION_KEY, PROMISE_KEY, EPOCH_KEY, POSITION_KEY, FOUNDERS_KEY = (
    "replication/incarnation",
    "replication/promise",
    "replication/epoch",
    "replication/place",
    "replication/founding",
)
STATE_PREFIX = "state/"

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


class PromisedEpoch(NamedTuple):
    """The highest epoch promised, and the incarnation of the candidate it was promised to."""

    number: int
    candidate: int


class CommittedState(NamedTuple):
    """A committed state and its position: the epoch that decided its last change, and that change's
    number.
    """

    epoch: int
    sequence: int
    state: dict[str, bytes]

    @property
    def position(self) -> LogPosition:
        """Where in the log the state stands."""
        return LogPosition(self.epoch, self.sequence)


class ReplicaState:
    """`promised_epoch`: (number, incarnation of the candidate). `accepted`: the epoch as whose holder the
    state was taken; 0 for a witness. `uncommitted`: states after the committed one, by position. `durable`
    and `installed`: the position and the epoch that are synced."""

    def __init__(
        self, found, disk_writer: DiskWriter, effects: list, seeds: tuple[str, ...], founding: bool, random
    ):
        found = found or {}
        self.disk_writer, self.effects = disk_writer, effects
        self.incarnation = _decode(found, INCARNATION_KEY, int, 0)
        self.is_new = not self.incarnation
        founders = _decode(found, FOUNDERS_KEY, tuple[str, ...] | None, None)
        if self.is_new:
            self.incarnation = random.getrandbits(62) | 1
            founders = seeds if founding else None
        self.founding = founders is not None
        nobody = EpochConfig(0, 0, (), tuple(Peer(0, "", seed) for seed in founders or ()), (), True)
        self.founders = founders
        self.promised_epoch = _decode(found, PROMISE_KEY, PromisedEpoch, PromisedEpoch(0, 0))
        self.epoch_config: EpochConfig = _decode(found, EPOCH_KEY, EpochConfig, nobody)
        self.accepted_epoch, self.log_position = _decode(
            found, POSITION_KEY, tuple[int, LogPosition], (0, LogPosition(0, 0))
        )
        self.state = {
            key[len(STATE_PREFIX) :]: value for key, value in found.items() if key.startswith(STATE_PREFIX)
        }
        self.durable_position, self.installed_epoch = self.log_position, self.accepted_epoch
        self.uncommitted: deque[tuple[LogPosition, dict[str, bytes]]] = deque(
            [(self.log_position, self.state)]
        )
        self.committed = CommittedState(0, 0, {})
        self.change_index = ChangeIndex(self.log_position)

    def persist_incarnation(self, now: float, done) -> None:
        """Before the first word: the incarnation is synced, or it could be another after a loss of power."""
        changes: Changes = {INCARNATION_KEY: _encode(self.incarnation)}
        if self.founders is not None:
            changes[FOUNDERS_KEY] = _encode(self.founders)
        self.disk_writer.save(now, changes, done)

    def has_member(self, incarnation: int) -> bool:
        return any(peer.incarnation == incarnation for peer in self.epoch_config.members)

    def is_holder(self) -> bool:
        return self.incarnation in self.epoch_config.holders

    def is_member(self) -> bool:
        return self.has_member(self.incarnation)

    def promise_to(self, now: float, number: int, candidate: int, done=None) -> None:
        self.promised_epoch = PromisedEpoch(number, candidate)
        self.disk_writer.save(now, {PROMISE_KEY: _encode(self.promised_epoch)}, done)

    def adopt_epoch_config(self, now: float, config: EpochConfig) -> None:
        """Keep a newer epoch that is known to be active (or the word that this one is)."""
        if newest(self.epoch_config, config) is self.epoch_config:
            return
        self.epoch_config = config
        changes: Changes = {EPOCH_KEY: _encode(config)}
        if config.number > self.promised_epoch.number:
            self.promised_epoch = PromisedEpoch(config.number, config.primary)
            changes[PROMISE_KEY] = _encode(self.promised_epoch)
        self.disk_writer.save(now, changes)

    def install_epoch(
        self,
        now: float,
        config: EpochConfig,
        position: LogPosition,
        state: dict[str, bytes],
        changes: Changes | None,
        done,
    ) -> None:
        """Hold the epoch with this state. `changes` lead there from the present one (None: all)."""
        saved: Changes = {EPOCH_KEY: _encode(config), POSITION_KEY: _encode((config.number, position))}
        if self.promised_epoch != (config.number, config.primary):
            self.promised_epoch = PromisedEpoch(config.number, config.primary)
            saved[PROMISE_KEY] = _encode(self.promised_epoch)
        if changes is None:
            for key in self.state:
                if key not in state:
                    saved[STATE_PREFIX + key] = None
            changes = {key: value for key, value in state.items() if self.state.get(key) != value}
            if position != self.log_position:
                self.change_index.reset(position)
                self.uncommitted.clear()  # also a change that no election met: it is in force nowhere
        elif position != self.log_position:
            self.change_index.note(self.log_position, position, changes)
        for key, value in changes.items():
            saved[STATE_PREFIX + key] = value
        if position != self.log_position:
            self.uncommitted.append((position, state))
        self.epoch_config, self.accepted_epoch, self.state, self.log_position = (
            config,
            config.number,
            state,
            position,
        )

        def durable(at: float) -> None:
            self.durable_position, self.installed_epoch = position, config.number
            done(at)

        self.disk_writer.save(now, saved, durable)

    def append(self, now: float, sequence: int, changes: Changes, done) -> None:
        """The next change of the epoch accepted."""
        position = LogPosition(self.accepted_epoch, sequence)
        self.state = merge(self.state, changes)
        self.change_index.note(self.log_position, position, changes)
        self.log_position = position
        self.uncommitted.append((position, self.state))
        saved = {STATE_PREFIX + key: value for key, value in changes.items()}
        saved[POSITION_KEY] = _encode((self.accepted_epoch, position))

        def durable(at: float) -> None:
            self.durable_position = position
            done(at)

        self.disk_writer.save(now, saved, durable)

    def committed_changes_since(self, *bases: LogPosition) -> tuple[LogPosition | None, Changes]:
        """(base, changes from there to the committed state), the newest base that is known; or (None,
        all).
        """
        return self.changes_between(
            [base for base in bases if base <= self.committed.position], self.committed.state
        )

    def changes_to_position(self, *bases: LogPosition) -> tuple[LogPosition | None, Changes]:
        """(base, changes from there to the own position), the newest base that is known; or (None, all)."""
        return self.changes_between(bases, self.state)

    def changes_between(
        self, bases: Sequence[LogPosition], state: dict[str, bytes]
    ) -> tuple[LogPosition | None, Changes]:
        for base in sorted(bases, reverse=True):  # the newest leaves the least to be sent
            changes = self.change_index.since(base, state)
            if changes is not None:
                return base, changes
        return None, state

    def apply_delta(self, base: LogPosition | None, changes: Changes) -> dict[str, bytes] | None:
        """The state that the changes lead to, None when this member doesn't have the base."""
        if base is None:
            return dict(changes)
        if base == self.log_position:
            return merge(self.state, changes)
        return merge(self.committed.state, changes) if base == self.committed.position else None

    def apply_committed(self, base: LogPosition | None, position: LogPosition, changes: Changes) -> None:
        """Take over a committed state. Changes that lead to it from `base` lead to it from each committed
        state between the two as well."""
        if base is None:
            self.commit_state(position, dict(changes))
        elif base <= self.committed.position <= position:
            self.commit_state(position, merge(self.committed.state, changes))
        elif (
            base == self.log_position <= position
        ):  # what an earlier life synced, and the primary has in its chain
            self.commit_state(position, merge(self.state, changes))

    def commit(self, position: LogPosition) -> None:
        """What is accepted up to the position is committed."""
        state = None
        while self.uncommitted and self.uncommitted[0][0] <= position:
            at, state = self.uncommitted.popleft()
            if at == position:
                self.commit_state(position, state)
                break

    def commit_state(self, position: LogPosition, state: dict[str, bytes]) -> None:
        """Never goes back: an old primary's word may come late."""
        if position > self.committed.position:
            self.committed = CommittedState(*position, state)
            self.effects.append(Committed(*position, state))
