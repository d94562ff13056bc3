"""State of one member: its promise, the newest epoch that it knows, its log position and committed state."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any, NamedTuple

import msgspec

from shedgrade.replication.change_index import ChangeIndex
from shedgrade.replication.disk_writer import DiskWriter, DurableCallback
from shedgrade.replication.effects import Committed, Instruction
from shedgrade.replication.messages import Changes, EpochConfig, LogPosition, Peer
from shedgrade.replication.quorums import newer_config

# Keys on the disk. They are stored and stay as they are, even if an attribute is renamed.
INCARNATION_KEY = "replication/incarnation"
PROMISE_KEY = "replication/promise"
EPOCH_KEY = "replication/epoch"
POSITION_KEY = "replication/place"
FOUNDERS_KEY = "replication/founding"
STATE_PREFIX = "state/"

ReplicatedState = dict[str, bytes]
_encode = msgspec.msgpack.encode


def _decode(stored: Mapping[str, bytes], key: str, kind: Any, default: Any) -> Any:
    data = stored.get(key)
    return default if data is None else msgspec.msgpack.decode(data, type=kind)


def merge(state: ReplicatedState, changes: Changes) -> ReplicatedState:
    """Returns a new state with the changes applied; `state` itself is not modified."""
    merged = dict(state)
    for key, value in changes.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = value
    return merged


def as_state(changes: Changes) -> ReplicatedState:
    """Returns the state that the changes make of an empty one."""
    return merge({}, changes)


class PromisedEpoch(NamedTuple):
    """The highest epoch promised, and the incarnation of the candidate that it was promised to."""

    number: int
    candidate: int


class CommittedState(NamedTuple):
    """A committed state, and its log position: epoch and sequence number of its last change."""

    epoch: int
    sequence: int
    state: ReplicatedState

    @property
    def position(self) -> LogPosition:
        """The log position of the state."""
        return LogPosition(self.epoch, self.sequence)


class LogEntry(NamedTuple):
    """A log position, and the whole state after the change at that position."""

    position: LogPosition
    state: ReplicatedState


class ReplicaState:
    """The durable and the volatile state of one member.

    Written to the disk by each method that changes it:

    - `incarnation`: odd random number drawn when the disk was empty; never 0.
    - `is_new`: whether this process drew it, rather than read it from the disk.
    - `founders`: link addresses of the processes that found the core, None if this process is not a founder.
    - `founding`: whether this process is a founder.
    - `promised_epoch`: nothing of a lower epoch is accepted. Only increases.
    - `epoch_config`: the newest epoch known; its number is 0 before the first one. Only increases. Invariant:
      its number is at most the promised one.
    - `accepted_epoch`: the epoch in which this process, as a holder, accepted the state; 0 for a witness.
      Invariant: at most the number of `epoch_config`.
    - `log_position`, `state`: the state of a holder, and the position of its last change. Goes back only when
      an epoch is installed that was formed without the dropped changes.

    Synced to the disk so far:

    - `durable_position`, `installed_epoch`: the `log_position` and `accepted_epoch` that are synced.

    In memory only:

    - `committed`: the newest committed state known, also at a witness. Never goes back.
    - `uncommitted`: the states after the committed one, oldest first. Invariant: positions increase, and the
      last one is `log_position`.
    - `change_index`: which keys changed after a position. Invariant: ends at `log_position`.
    """

    def __init__(
        self,
        stored: Mapping[str, bytes] | None,
        disk_writer: DiskWriter,
        effects: list[Instruction],
        seeds: tuple[str, ...],
        founding: bool,
        random: Random,
    ) -> None:
        """`stored`: values on the disk, None or empty if there are none. Only then does `founding` count.

        `seeds`: link addresses of the founders.
        """
        stored = stored or {}
        self.disk_writer = disk_writer
        self.effects = effects
        self.incarnation: int = _decode(stored, INCARNATION_KEY, int, 0)
        self.is_new = not self.incarnation
        founders = _decode(stored, FOUNDERS_KEY, tuple[str, ...] | None, None)
        if self.is_new:
            self.incarnation = random.getrandbits(62) | 1
            founders = seeds if founding else None
        self.founders: tuple[str, ...] | None = founders
        self.founding = founders is not None
        no_epoch = EpochConfig(0, 0, (), tuple(Peer(0, "", seed) for seed in founders or ()), (), True)
        self.promised_epoch: PromisedEpoch = _decode(stored, PROMISE_KEY, PromisedEpoch, PromisedEpoch(0, 0))
        self.epoch_config: EpochConfig = _decode(stored, EPOCH_KEY, EpochConfig, no_epoch)
        accepted_epoch, log_position = _decode(
            stored, POSITION_KEY, tuple[int, LogPosition], (0, LogPosition(0, 0))
        )
        self.accepted_epoch: int = accepted_epoch
        self.log_position: LogPosition = log_position
        self.state: ReplicatedState = {
            key[len(STATE_PREFIX) :]: value for key, value in stored.items() if key.startswith(STATE_PREFIX)
        }
        self.durable_position = self.log_position
        self.installed_epoch = self.accepted_epoch
        self.uncommitted: deque[LogEntry] = deque([LogEntry(self.log_position, self.state)])
        self.committed = CommittedState(0, 0, {})
        self.change_index = ChangeIndex(self.log_position)

    def persist_incarnation(self, now: float, on_durable: DurableCallback) -> None:
        """Writes the incarnation, which must be durable before the first message is sent.

        Otherwise the process could have a different incarnation after a power loss.
        """
        changes: Changes = {INCARNATION_KEY: _encode(self.incarnation)}
        if self.founders is not None:
            changes[FOUNDERS_KEY] = _encode(self.founders)
        self.disk_writer.save(now, changes, on_durable)

    def has_member(self, incarnation: int) -> bool:
        """Whether the incarnation is a member in the newest epoch known."""
        return any(peer.incarnation == incarnation for peer in self.epoch_config.members)

    def is_holder(self) -> bool:
        """Whether this process holds the state in the newest epoch known."""
        return self.incarnation in self.epoch_config.holders

    def is_member(self) -> bool:
        """Whether this process is a member in the newest epoch known."""
        return self.has_member(self.incarnation)

    def promise_to(
        self, now: float, number: int, candidate: int, on_durable: DurableCallback | None = None
    ) -> None:
        """Promises to accept nothing of a lower epoch. The promise counts once `on_durable` was called."""
        self.promised_epoch = PromisedEpoch(number, candidate)
        self.disk_writer.save(now, {PROMISE_KEY: _encode(self.promised_epoch)}, on_durable)

    def adopt_epoch_config(self, now: float, config: EpochConfig) -> None:
        """Stores a configuration of a newer epoch, or one that marks the stored epoch as active.

        The caller knows a newer epoch to be active.
        """
        if newer_config(self.epoch_config, config) is self.epoch_config:
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
        state: ReplicatedState,
        changes: Changes | None,
        on_durable: DurableCallback,
    ) -> None:
        """Accepts an epoch in which this process is a holder, and stores its state.

        `position`: log position of the last change in `state`.

        `changes` lead from the present state to `state`; None if all of it may differ. `on_durable` is called
        once the epoch and the state are synced.
        """
        saved: Changes = {EPOCH_KEY: _encode(config), POSITION_KEY: _encode((config.number, position))}
        if self.promised_epoch != (config.number, config.primary):
            self.promised_epoch = PromisedEpoch(config.number, config.primary)
            saved[PROMISE_KEY] = _encode(self.promised_epoch)
        if changes is None:
            saved.update((STATE_PREFIX + key, None) for key in self.state if key not in state)
            changes = {key: value for key, value in state.items() if self.state.get(key) != value}
            if position != self.log_position:
                self.change_index.reset(position)
                # drops also changes that no election found: they are not part of any epoch's log
                self.uncommitted.clear()
        elif position != self.log_position:
            self.change_index.record(self.log_position, position, changes)
        saved.update((STATE_PREFIX + key, value) for key, value in changes.items())
        if position != self.log_position:
            self.uncommitted.append(LogEntry(position, state))
        self.epoch_config = config
        self.accepted_epoch = config.number
        self.state = state
        self.log_position = position

        def on_synced(at: float) -> None:
            self.durable_position = position
            self.installed_epoch = config.number
            on_durable(at)

        self.disk_writer.save(now, saved, on_synced)

    def append(self, now: float, sequence: int, changes: Changes, on_durable: DurableCallback) -> None:
        """Appends the next change of the accepted epoch to the log."""
        position = LogPosition(self.accepted_epoch, sequence)
        self.state = merge(self.state, changes)
        self.change_index.record(self.log_position, position, changes)
        self.log_position = position
        self.uncommitted.append(LogEntry(position, self.state))
        saved = {STATE_PREFIX + key: value for key, value in changes.items()}
        saved[POSITION_KEY] = _encode((self.accepted_epoch, position))

        def on_synced(at: float) -> None:
            self.durable_position = position
            on_durable(at)

        self.disk_writer.save(now, saved, on_synced)

    # --- differences between states

    def committed_changes_since(self, *bases: LogPosition) -> tuple[LogPosition | None, Changes]:
        """Returns the newest known base and the changes from that base to the committed state.

        (None, the whole state) if no base is known.
        """
        usable = [base for base in bases if base <= self.committed.position]
        return self.changes_between(usable, self.committed.state)

    def changes_since(self, *bases: LogPosition) -> tuple[LogPosition | None, Changes]:
        """Returns the newest known base and the changes from that base to this member's log position.

        (None, the whole state) if no base is known.
        """
        return self.changes_between(bases, self.state)

    def changes_between(
        self, bases: Sequence[LogPosition], state: ReplicatedState
    ) -> tuple[LogPosition | None, Changes]:
        """Returns the newest known base and the changes from that base to `state`.

        (None, the whole state) if no base is known.
        """
        for base in sorted(bases, reverse=True):  # the newest base leaves the fewest changes
            changes = self.change_index.since(base, state)
            if changes is not None:
                return base, changes
        return None, {**state}

    def apply_delta(self, base: LogPosition | None, changes: Changes) -> ReplicatedState | None:
        """Returns the state that the changes lead to, None if this member doesn't have the base."""
        if base is None:
            return as_state(changes)
        if base == self.log_position:
            return merge(self.state, changes)
        return merge(self.committed.state, changes) if base == self.committed.position else None

    # --- commits

    def apply_committed(self, base: LogPosition | None, position: LogPosition, changes: Changes) -> None:
        """Applies changes from `base` to the committed state at `position`, if this member has a usable base.

        The changes also lead to `position` from each committed state between the two.
        """
        if base is None:
            self.commit_state(position, as_state(changes))
        elif base <= self.committed.position <= position:
            self.commit_state(position, merge(self.committed.state, changes))
        # a position synced by an earlier process, which is part of the primary's log
        elif base == self.log_position <= position:
            self.commit_state(position, merge(self.state, changes))

    def commit(self, position: LogPosition) -> None:
        """Commits the changes accepted up to the position."""
        while self.uncommitted and self.uncommitted[0].position <= position:
            entry = self.uncommitted.popleft()
            if entry.position == position:
                self.commit_state(position, entry.state)
                break

    def commit_state(self, position: LogPosition, state: ReplicatedState) -> None:
        """Sets the committed state, unless it would go back: an old primary's message may arrive late."""
        if position > self.committed.position:
            self.committed = CommittedState(*position, state)
            self.effects.append(Committed(*position, state))

    def check_invariants(self) -> None:
        """Raises AssertionError if an attribute contradicts another."""
        assert self.incarnation > 0, "no incarnation"
        assert self.epoch_config.number <= self.promised_epoch.number, "an epoch above the promise"
        assert self.accepted_epoch <= self.epoch_config.number, "accepted an epoch that is not known"
        assert self.installed_epoch <= self.accepted_epoch, "installed an epoch that was not accepted"
        assert self.log_position.epoch <= self.accepted_epoch, "a change of an epoch that was not accepted"
        positions = [entry.position for entry in self.uncommitted]
        assert positions == sorted(set(positions)), "uncommitted changes out of order"
        assert not positions or positions[-1] == self.log_position, "the log ends elsewhere than its position"
        assert self.change_index.last == self.log_position, "the change index ends elsewhere than the log"
