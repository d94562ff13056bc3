"""Observes the messages and disks of core members, and checks the safety rules of the replication protocol.

A violation is found at the message that breaks the rule, even if the run loses nothing by it.
The rules (Vertical Paxos; `replication/quorums.py`):

- a promise, an installed epoch or a write is acknowledged only after it was synced;
- a state that a primary calls committed was synced by t + 1 members, including the primary;
- a member that promised an epoch acknowledges nothing of an older epoch;
- an active epoch was promised by a majority of the members of the active epoch before it, and its holders are
  members of both epochs and a majority of each;
- a member that leaves before it has to leaves the newest committed state on the disks of a majority, and of
  at least t members.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from shedgrade.controlplane.plane import KILL_MARGIN_S, LINGER_S, ControlPlane
from shedgrade.replication import effects
from shedgrade.replication.messages import (
    Ack,
    EpochConfig,
    Heartbeat,
    Installed,
    LogPosition,
    Message,
    Peer,
    Prepare,
    Promise,
)
from shedgrade.replication.quorums import majority
from shedgrade.replication.replica_state import EPOCH_KEY, INCARNATION_KEY, POSITION_KEY, PROMISE_KEY
from shedgrade.simulation.system.findings import Finding, FindingKind
from shedgrade.simulation.system.history import FOREVER
from shedgrade.storage.recovery import recover

if TYPE_CHECKING:
    from shedgrade.simulation.system.machine import Machine
    from shedgrade.simulation.system.simulated_system import SimulatedSystem

INITIAL_POSITION = LogPosition(0, 0)
FORCED_LEAVE_S = LINGER_S + KILL_MARGIN_S + 0.05  # before SIGKILL: a process exits without waiting for others
Trigger = Callable[["Machine[ControlPlane]", str, Message], bool]


@dataclass(slots=True)
class DurableState:
    """The values that are known to be synced to a disk. An absent value is 0."""

    incarnation: int = 0
    promised_epoch: int = 0
    accepted_epoch: int = 0
    log_position: LogPosition = INITIAL_POSITION
    config_number: int = 0


def decode_durable_state(values: Mapping[str, bytes]) -> DurableState:
    """Decodes the values of a disk. `Store.values` holds only values that are known to be synced."""
    state = DurableState()
    if INCARNATION_KEY in values:
        state.incarnation = msgspec.msgpack.decode(values[INCARNATION_KEY], type=int)
    if PROMISE_KEY in values:
        state.promised_epoch = msgspec.msgpack.decode(values[PROMISE_KEY], type=tuple[int, int])[0]
    if POSITION_KEY in values:
        position = msgspec.msgpack.decode(values[POSITION_KEY], type=tuple[int, LogPosition])
        state.accepted_epoch, state.log_position = position
    if EPOCH_KEY in values:
        state.config_number = msgspec.msgpack.decode(values[EPOCH_KEY], type=EpochConfig).number
    return state


@dataclass(slots=True)
class EpochRecord:
    """What was observed of one epoch number.

    Attributes:
        promised_by: incarnations that promised the epoch, including its candidate.
        founders: by link address, the incarnation of each founder that promised the epoch.
        config: the configuration of its primary once the epoch was active; None before.
    """

    promised_by: set[int] = field(default_factory=set)
    founders: dict[str, int] = field(default_factory=dict)
    config: EpochConfig | None = None


class ReplicationMonitor:
    """Checks the replication protocol of one system.

    Attributes:
        findings: at most one of each kind for each process of a machine.
        promised: by incarnation, the highest epoch number that it promised in a message.
        durable_positions: by incarnation, the newest position seen on its disk, which is read when it
            acknowledges an epoch or a write, or commits as primary.
        epochs: records by epoch number.
        newest_committed: the newest position that any member reported as committed.
        triggers: called with (sender, link address of the receiver, message) for each message that is sent;
            removed once they return True.
    """

    def __init__(self, system: SimulatedSystem) -> None:
        self.system = system
        self.findings: list[Finding] = []
        self.reported: set[tuple[FindingKind, str, int]] = set()
        self.promised: dict[int, int] = {}
        self.durable_positions: dict[int, LogPosition] = {}
        self.epochs: dict[int, EpochRecord] = {}
        self.newest_committed = INITIAL_POSITION
        self.triggers: list[Trigger] = []

    def observe(self, machine: Machine[ControlPlane], plane: ControlPlane) -> None:
        """Observes the messages that this process sends from now on, and its exit."""
        transport, driver = plane.member.transport, plane.driver
        send, execute = transport.send, driver.execute

        def observed_send(address: str, message: Message) -> None:
            self.on_send(machine, plane, message)
            self.system.delayed_messages.on_send(machine, address, message)
            self.triggers[:] = [
                trigger for trigger in self.triggers if not trigger(machine, address, message)
            ]
            if not self.system.delayed_messages.holds(machine, address, message):
                send(address, message)

        def observed_execute(effect: Any) -> None:
            if isinstance(effect, effects.Exit):
                self.on_exit(machine, plane)
            execute(effect)

        setattr(transport, "send", observed_send)  # noqa: B010 (the type checker refuses a method's name)
        setattr(driver, "execute", observed_execute)  # noqa: B010

    def report(self, kind: FindingKind, machine: Machine[ControlPlane], detail: str) -> None:
        """Adds a finding about a machine, unless its current process already has one of this kind."""
        key = kind, machine.name, machine.incarnation
        if key not in self.reported:
            self.reported.add(key)
            at = self.system.time.now
            self.findings.append(Finding(kind, f"{machine.name} at {at:.3f}: {detail}"))

    def epoch(self, number: int) -> EpochRecord:
        """The record of an epoch number."""
        return self.epochs.setdefault(number, EpochRecord())

    def record_committed_position(self, machine: Machine[ControlPlane], reported: tuple[int, int]) -> None:
        """Checks a position that a member reports as committed: enough disks must hold it."""
        position = LogPosition(*reported)
        program = machine.program
        if program is not None and program.member.primary_role.active and position > self.newest_committed:
            self.record_durable_state(program)
            copies = sum(durable >= position for durable in self.durable_positions.values())
            if copies <= self.system.parameters.tolerated:
                detail = f"{position} is committed with {copies} copies"
                self.report(FindingKind.COMMITTED_TOO_EARLY, machine, detail)
        self.newest_committed = max(self.newest_committed, position)

    def record_durable_state(self, plane: ControlPlane) -> DurableState:
        """Records the position on this process's disk, and returns the state of the disk."""
        durable = decode_durable_state(plane.store.values)
        known = self.durable_positions.get(durable.incarnation, INITIAL_POSITION)
        self.durable_positions[durable.incarnation] = max(known, durable.log_position)
        return durable

    # --- messages

    def on_send(self, machine: Machine[ControlPlane], plane: ControlPlane, message: Message) -> None:
        """Checks a message that a member sends."""
        match message:
            case Prepare():
                self.on_prepare(machine, plane, message)
            case Promise():
                self.on_promise(machine, plane, message)
            case Installed():
                self.on_installed(machine, plane, message)
            case Ack():
                self.on_ack(machine, plane, message)
            case Heartbeat():
                self.on_heartbeat(plane, message)

    def on_prepare(self, machine: Machine[ControlPlane], plane: ControlPlane, prepare: Prepare) -> None:
        """Checks the prepare message of a candidate, which has promised the epoch to itself."""
        self.record_promise(machine, plane, prepare.incarnation, prepare.number)

    def on_promise(self, machine: Machine[ControlPlane], plane: ControlPlane, promise: Promise) -> None:
        """Checks a member's promise of an epoch to a candidate."""
        if promise.founding:
            self.epoch(promise.number).founders[promise.address] = promise.incarnation
        self.record_promise(machine, plane, promise.incarnation, promise.number)

    def record_promise(
        self, machine: Machine[ControlPlane], plane: ControlPlane, incarnation: int, number: int
    ) -> None:
        """Records a promise. This incarnation must have synced it."""
        durable = decode_durable_state(plane.store.values)
        if durable.promised_epoch < number or durable.incarnation != incarnation:
            detail = f"{incarnation} promises {number}, its disk has {durable}"
            self.report(FindingKind.PROMISE_NOT_DURABLE, machine, detail)
        self.epoch(number).promised_by.add(incarnation)
        self.promised[incarnation] = max(number, self.promised.get(incarnation, 0))

    def on_installed(self, machine: Machine[ControlPlane], plane: ControlPlane, installed: Installed) -> None:
        """Checks a holder's message that it has written an epoch."""
        durable = self.record_durable_state(plane)
        if durable.accepted_epoch < installed.number:
            detail = f"installed {installed.number}, its disk has {durable}"
            self.report(FindingKind.WRITE_NOT_DURABLE, machine, detail)
        self.check_fence(machine, installed.incarnation, installed.number, "installs")

    def on_ack(self, machine: Machine[ControlPlane], plane: ControlPlane, ack: Ack) -> None:
        """Checks a follower's acknowledgement to the primary of an epoch."""
        if ack.durable_sequence >= 0:
            durable = self.record_durable_state(plane)
            synced_sequence = durable.log_position.sequence if durable.accepted_epoch == ack.epoch else -1
            if synced_sequence < ack.durable_sequence:
                detail = f"acknowledges {ack.durable_sequence} of epoch {ack.epoch}, its disk has {durable}"
                self.report(FindingKind.WRITE_NOT_DURABLE, machine, detail)
        # A leaving member may tell the primary of an older epoch that it leaves; the message then carries the
        # epoch that it has promised since.
        counts = ack.read_index_round > 0 or ack.received_sequence >= 0 or ack.promised_epoch <= ack.epoch
        if counts and plane.member.replica.has_member(ack.incarnation):
            self.check_fence(machine, ack.incarnation, ack.epoch, "acknowledges")

    def check_fence(self, machine: Machine[ControlPlane], incarnation: int, epoch: int, action: str) -> None:
        """Reports a member that acts for an older epoch than it has promised."""
        promised = self.promised.get(incarnation, 0)
        if promised > epoch:
            detail = f"{incarnation} {action} epoch {epoch} after its promise of {promised}"
            self.report(FindingKind.FENCE_BROKEN, machine, detail)

    def on_heartbeat(self, plane: ControlPlane, heartbeat: Heartbeat) -> None:
        """Records the configuration of an active epoch, whose primary sends heartbeats."""
        record = self.epoch(heartbeat.epoch)
        config = plane.member.replica.epoch_config
        if record.config is None and config.number == heartbeat.epoch:
            record.config = config

    # --- planned leave

    def on_exit(self, machine: Machine[ControlPlane], plane: ControlPlane) -> None:
        """Checks that a member that exits by itself leaves enough copies. Shortly before SIGKILL it exits
        whoever remains."""
        member = plane.member
        if self.system.time.now >= machine.kill_at - FORCED_LEAVE_S or len(member.members) == 1:
            return
        if not member.is_voter() or self.all_terminating():
            return
        copies = [
            other.name
            for other in self.system.cores
            if other is not machine and self.newest_on_disk(other) >= self.newest_committed
        ]
        if len(copies) < max(majority(member.members), self.system.parameters.tolerated):
            detail = f"{self.newest_committed} is on the disks of {copies} only"
            self.report(FindingKind.LEFT_WITHOUT_COPIES, machine, detail)

    def all_terminating(self) -> bool:
        """Whether every core process was told to terminate, so that none can take over."""
        now = self.system.time.now
        return all(now < core.kill_at < FOREVER for core in self.system.cores)

    def newest_on_disk(self, machine: Machine[ControlPlane]) -> LogPosition:
        """The position of the state on a machine's disk, whether a process runs on it or not."""
        if machine.program is not None:
            return decode_durable_state(machine.program.store.values).log_position
        return decode_durable_state(recover(machine.disk.files.files).values).log_position

    # --- at the end of a run

    def check(self) -> list[Finding]:
        """All findings, including those about quorums of active epochs."""
        findings = list(self.findings)
        active = [number for number, record in sorted(self.epochs.items()) if record.config is not None]
        for before, number in zip(active, active[1:], strict=False):
            findings += self.check_quorum(before, number)
        return findings

    def check_quorum(self, before: int, number: int) -> list[Finding]:
        """Checks the quorum of active epoch `number`; `before` is the active epoch before it."""
        members = self.members_of(before)
        record = self.epochs[number]
        config = record.config
        assert config is not None
        promised = sum(peer.incarnation in record.promised_by for peer in members)
        findings: list[Finding] = []
        if promised < majority(members):
            detail = f"epoch {number} has promises of {promised} of {len(members)} members of epoch {before}"
            findings.append(Finding(FindingKind.EPOCH_WITHOUT_QUORUM, detail))
        common = {peer.incarnation for peer in members} & {peer.incarnation for peer in config.members}
        min_holders = max(majority(members), majority(config.members))
        if not common.issuperset(config.holders) or len(config.holders) < min_holders:
            detail = (
                f"epoch {number} is held by {config.holders}; members of both epochs are {sorted(common)}"
            )
            findings.append(Finding(FindingKind.EPOCH_WITHOUT_QUORUM, detail))
        return findings

    def members_of(self, number: int) -> tuple[Peer, ...]:
        """The members of an active epoch. Founders that it lists without an incarnation get the known one."""
        config = self.epochs[number].config
        assert config is not None
        founders: dict[str, int] = {}
        for record in self.epochs.values():
            founders.update(record.founders)
        return tuple(
            peer if peer.incarnation else Peer(founders.get(peer.address, 0), peer.name, peer.address)
            for peer in config.members
        )
