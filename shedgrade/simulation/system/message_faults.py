"""Faults injected at the sending of a message of replication, and messages that come late or twice.

Chance rarely strikes the few milliseconds in which a protocol is between two of its steps: between a promise
and its sync, between a decision and its replication, while an epoch is installed. These faults wait for the
message that marks the step (state-aware fault injection), and strike its sender, its receiver or the way
between them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import msgspec

from shedgrade.controlplane.channels import REPLICATION_CHANNEL
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.replication import messages as m
from shedgrade.simulation.system.machine import Machine

if TYPE_CHECKING:
    from shedgrade.simulation.system.fault_schedule import FaultSchedule, InjectFault
    from shedgrade.simulation.system.simulated_system import SimulatedSystem

CoreMachine = Machine[ControlPlane]
StrikeFault = Callable[["FaultSchedule", CoreMachine, CoreMachine], None]  # (schedule, sender, receiver)

LEAST_DELAY_S, MOST_DELAY_S = 0.05, 3.0  # of a message that comes late
MOST_REPLACED = 2  # in one day: one of the three seed addresses stays
CRASH_AFTER_S = 0.08  # a stalled disk's machine loses power, at the most

encode = msgspec.msgpack.Encoder().encode


class DelayedMessages:
    """Messages that arrive seconds later, or once more then, whatever has become of their sender.

    `share`: of all messages of the replication protocol that are delivered again.
    `held_type`: the next message of this type is held back, and arrives late; None: none is.
    """

    def __init__(self, system: SimulatedSystem, share: float, random: Random) -> None:
        self.system = system
        self.share = share
        self.random = random
        self.held_type: type[m.Message] | None = None

    def on_send(self, sender: CoreMachine, address: str, message: m.Message) -> None:
        """Keeps a copy of some messages, to be delivered later."""
        if self.share and self.random.random() < self.share:
            self.deliver_late(sender, address, message)

    def holds(self, sender: CoreMachine, address: str, message: m.Message) -> bool:
        """Whether this message is held back, and arrives late instead."""
        if self.held_type is None or not isinstance(message, self.held_type):
            return False
        self.held_type = None
        self.system.history.log(f"{type(message).__name__} to {address} is held back", sender.name)
        self.deliver_late(sender, address, message)
        return True

    def deliver_late(self, sender: CoreMachine, address: str, message: m.Message) -> None:
        """Delivers it after a while."""
        delay = self.random.uniform(LEAST_DELAY_S, MOST_DELAY_S)
        body = REPLICATION_CHANNEL + encode(message)
        link = sender.program.own if sender.program is not None else ""
        self.system.time.after(delay, self.deliver, sender, link, address, body)

    def deliver(self, sender: CoreMachine, link: str, address: str, body: bytes) -> None:
        """The copy arrives, if there is a path and a process."""
        receiver = self.system.core_at(address)
        if receiver is None or receiver.loop is None or receiver.program is None:
            return
        if receiver.host.powered and not self.system.network.blocked(sender.host, receiver.host):
            receiver.loop.io_soon(receiver.program.dispatcher.dispatch, link, body, ignore_response)


def ignore_response(body: bytes) -> None:
    """Nothing answers a copy."""


def at_next(message_type: type[m.Message], strike: StrikeFault) -> InjectFault:
    """A fault that strikes at the next sending of such a message."""

    def arm(schedule: FaultSchedule) -> None:
        def on_send(sender: CoreMachine, address: str, message: m.Message) -> bool:
            if not isinstance(message, message_type) or schedule.ended:
                return False
            receiver = schedule.system.core_at(address)
            if receiver is not None:
                # after the event in which it is sent: the message leaves, and may arrive
                schedule.system.time.after(0.0, strike, schedule, sender, receiver)
            return receiver is not None

        schedule.system.monitor.triggers.append(on_send)

    arm.__name__ = f"at_next_{message_type.__name__}_{strike.__name__}"
    return arm


def hold_next(message_type: type[m.Message]) -> InjectFault:
    """A fault that holds back the next message of this type, whose sender stands still at once."""
    stop_at_sending = at_next(message_type, stop_sender)

    def hold(schedule: FaultSchedule) -> None:
        schedule.system.delayed_messages.held_type = message_type
        stop_at_sending(schedule)

    hold.__name__ = f"hold_next_{message_type.__name__}"
    return hold


# --- what is struck


def power_off_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The sender loses power."""
    schedule.inject(schedule.faults.power_off, sender)


def wipe_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The sender loses its disk."""
    schedule.inject(schedule.faults.wipe, sender, 1.0)


def stop_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The sender stands still."""
    schedule.inject(schedule.faults.stop, sender)


def isolate_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The sender is cut off from the other core machines."""
    schedule.inject(schedule.faults.isolate, sender)


def power_off_receiver(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The receiver loses power, about when the message comes."""

    def power_off() -> None:
        if not schedule.ended:
            schedule.inject(schedule.faults.power_off, receiver)

    schedule.system.time.after(schedule.random.uniform(0.0, CRASH_AFTER_S), power_off)


def crash_before_sync(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The receiver's disk stands still, and its machine loses power before a write is synced."""

    def stall_and_crash(machine: CoreMachine, seconds: float) -> None:
        schedule.faults.stall_disk(machine, CRASH_AFTER_S + seconds)
        schedule.system.time.after(
            schedule.random.uniform(0.02, CRASH_AFTER_S), schedule.faults.power_off, machine, seconds
        )

    schedule.inject(stall_and_crash, receiver)


def wipe_receiver(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The receiver loses its disk."""
    schedule.inject(schedule.faults.wipe, receiver, 0.5)


def block_one_way(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """What the receiver answers does not arrive."""

    def block(machine: CoreMachine, seconds: float) -> None:
        schedule.faults.isolate(machine, seconds, others=[sender], incoming=False)

    schedule.inject(block, receiver)


def terminate_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """The sender is told to end."""
    schedule.inject(lambda machine, seconds: schedule.faults.terminate(machine), sender, seconds=9.0)


def throttle(schedule: FaultSchedule) -> None:
    """Some core machines, or all, have a quota of the processor. None is lost by it."""
    cores = schedule.system.cores
    share = schedule.random.choice((0.3, 0.5, 0.8))
    seconds = schedule.random.uniform(1.0, 6.0)
    for machine in schedule.random.sample(cores, schedule.random.randint(1, len(cores))):
        schedule.faults.throttle(machine, seconds, share)


def replace_member(schedule: FaultSchedule) -> None:
    """A machine is gone for good; a new one with an empty disk takes its place at another address."""
    machine = schedule.pick_machine()
    first_cores = 2 * schedule.system.parameters.tolerated + 1
    if machine is None or schedule.system.cores_made >= first_cores + MOST_REPLACED:
        return
    down_s = schedule.random.uniform(0.0, 1.0)
    schedule.mark_lost(machine, down_s)
    successor = schedule.faults.replace(machine, down_s)
    schedule.mark_lost(successor, down_s)


def terminate_beside_wipe(schedule: FaultSchedule) -> None:
    """A machine loses its disk; before it counts again another is told to end, which may not go yet."""
    first = schedule.pick_machine()
    if first is None or not schedule.may_lose_all():
        return
    others = [machine for machine in schedule.system.cores if machine is not first and machine.responsive]
    schedule.mark_all_lost()
    schedule.faults.wipe(first, schedule.random.uniform(0.2, 1.0))
    if others:
        second = schedule.random.choice(others)
        delay = schedule.random.uniform(0.0, 1.2)
        schedule.system.time.after(delay, schedule.faults.terminate, second)


TARGETED: tuple[InjectFault, ...] = (
    at_next(m.Prepare, power_off_sender),
    at_next(m.Prepare, crash_before_sync),
    at_next(m.Prepare, wipe_receiver),
    at_next(m.Promise, power_off_sender),
    at_next(m.Promise, stop_sender),
    at_next(m.Install, power_off_sender),
    at_next(m.Install, stop_sender),
    at_next(m.Install, isolate_sender),
    at_next(m.Install, power_off_receiver),
    at_next(m.Install, crash_before_sync),
    at_next(m.Install, wipe_receiver),
    hold_next(m.Install),
    hold_next(m.Install),
    hold_next(m.Promise),
    hold_next(m.Installed),
    hold_next(m.Replicate),
    hold_next(m.Heartbeat),
    hold_next(m.LeaveGranted),
    at_next(m.Installed, power_off_sender),
    at_next(m.Installed, wipe_sender),
    at_next(m.Replicate, power_off_sender),
    at_next(m.Replicate, crash_before_sync),
    at_next(m.Replicate, wipe_receiver),
    at_next(m.Replicate, block_one_way),
    at_next(m.CatchUp, power_off_receiver),
    at_next(m.CatchUp, isolate_sender),
    at_next(m.HandOver, isolate_sender),
    at_next(m.HandOver, stop_sender),
    at_next(m.LeaveGranted, power_off_receiver),
    at_next(m.LeaveGranted, terminate_sender),
    at_next(m.JoinRequest, wipe_sender),
    at_next(m.Heartbeat, terminate_sender),
    at_next(m.Heartbeat, stop_sender),
    throttle,
    throttle,
    replace_member,
    replace_member,
    terminate_beside_wipe,
    terminate_beside_wipe,
)
