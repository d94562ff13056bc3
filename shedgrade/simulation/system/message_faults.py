"""Faults triggered by a replication message, and replication messages that are delayed or duplicated.

Faults at random times rarely hit the few milliseconds between two steps of the protocol: between a promise
and its sync, between a decision and its replication, or during the installation of an epoch. The faults here
wait for the message that marks the step (state-aware fault injection), and affect its sender, its receiver or
the path between them.
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
InjectAtMessage = Callable[["FaultSchedule", CoreMachine, CoreMachine], None]  # (schedule, sender, receiver)

MIN_DELAY_S, MAX_DELAY_S = 0.05, 3.0  # range of the delay of a late message
MAX_REPLACED_MACHINES = 2  # in one run; one of the three seed addresses stays in use
MAX_CRASH_DELAY_S = 0.08  # longest time until a machine loses power

encode = msgspec.msgpack.Encoder().encode


class DelayedMessages:
    """Delivers replication messages late, or once more, even if their sender is no longer running.

    Attributes:
        system: the simulated system.
        share: share of all replication messages that are delivered once more.
        random: source of the random choices.
        held_type: the next message of this type is held back and delivered late; None holds back no message.
    """

    def __init__(self, system: SimulatedSystem, share: float, random: Random) -> None:
        self.system = system
        self.share = share
        self.random = random
        self.held_type: type[m.Message] | None = None

    def on_send(self, sender: CoreMachine, address: str, message: m.Message) -> None:
        """Schedules a second delivery of a message, for a random share of them."""
        if self.share and self.random.random() < self.share:
            self.deliver_late(sender, address, message)

    def holds(self, sender: CoreMachine, address: str, message: m.Message) -> bool:
        """Returns whether this message is held back; if so, schedules its late delivery."""
        if self.held_type is None or not isinstance(message, self.held_type):
            return False
        self.held_type = None
        self.system.history.log(f"{type(message).__name__} to {address} is held back", sender.name)
        self.deliver_late(sender, address, message)
        return True

    def deliver_late(self, sender: CoreMachine, address: str, message: m.Message) -> None:
        """Schedules the delivery of a message after a random delay."""
        delay = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        body = REPLICATION_CHANNEL + encode(message)
        link = sender.program.own_address if sender.program is not None else ""
        self.system.time.after(delay, self.deliver, sender, link, address, body)

    def deliver(self, sender: CoreMachine, link: str, address: str, body: bytes) -> None:
        """Delivers a message, if the path isn't blocked and the receiver has a process."""
        receiver = self.system.core_at(address)
        if receiver is None or receiver.loop is None or receiver.program is None:
            return
        if receiver.host.powered and not self.system.network.blocked(sender.host, receiver.host):
            receiver.loop.io_soon(receiver.program.dispatcher.dispatch, link, body, ignore_response)


def ignore_response(body: bytes) -> None:
    """Ignores the response to a message delivered late."""


def at_next(message_type: type[m.Message], inject: InjectAtMessage) -> InjectFault:
    """Returns a fault that calls `inject` when the next message of this type is sent."""

    def arm(schedule: FaultSchedule) -> None:
        def on_send(sender: CoreMachine, address: str, message: m.Message) -> bool:
            if not isinstance(message, message_type) or schedule.ended:
                return False
            receiver = schedule.system.core_at(address)
            if receiver is not None:
                # Runs after the current event, in which the message is still sent; it may arrive.
                schedule.system.time.after(0.0, inject, schedule, sender, receiver)
            return receiver is not None

        schedule.system.monitor.triggers.append(on_send)

    arm.__name__ = f"at_next_{message_type.__name__}_{inject.__name__}"
    return arm


def hold_next(message_type: type[m.Message]) -> InjectFault:
    """Returns a fault that delays the next message of this type, and stops its sender at once."""
    stop_at_sending = at_next(message_type, stop_sender)

    def hold(schedule: FaultSchedule) -> None:
        schedule.system.delayed_messages.held_type = message_type
        stop_at_sending(schedule)

    hold.__name__ = f"hold_next_{message_type.__name__}"
    return hold


# --- faults of the sender, the receiver or the path


def power_off_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Cuts the sender's power."""
    schedule.inject(schedule.faults.power_off, sender)


def wipe_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Wipes the sender's disk."""
    schedule.inject(schedule.faults.wipe, sender, 1.0)


def stop_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Stops the sender's process by SIGSTOP."""
    schedule.inject(schedule.faults.stop, sender)


def isolate_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Cuts the sender off from the other core machines."""
    schedule.inject(schedule.faults.isolate, sender)


def power_off_receiver(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Cuts the receiver's power at about the time the message arrives."""

    def power_off() -> None:
        if not schedule.ended:
            schedule.inject(schedule.faults.power_off, receiver)

    schedule.system.time.after(schedule.random.uniform(0.0, MAX_CRASH_DELAY_S), power_off)


def crash_before_sync(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Stalls the receiver's disk, then cuts its power, so that a write isn't synced before the crash."""

    def stall_and_crash(machine: CoreMachine, seconds: float) -> None:
        schedule.faults.stall_disk(machine, MAX_CRASH_DELAY_S + seconds)
        schedule.system.time.after(
            schedule.random.uniform(0.02, MAX_CRASH_DELAY_S), schedule.faults.power_off, machine, seconds
        )

    schedule.inject(stall_and_crash, receiver)


def wipe_receiver(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Wipes the receiver's disk."""
    schedule.inject(schedule.faults.wipe, receiver, 0.5)


def block_one_way(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Blocks the path from the receiver to the sender."""

    def block(machine: CoreMachine, seconds: float) -> None:
        schedule.faults.isolate(machine, seconds, others=[sender], incoming=False)

    schedule.inject(block, receiver)


def terminate_sender(schedule: FaultSchedule, sender: CoreMachine, receiver: CoreMachine) -> None:
    """Terminates the sender's process by SIGTERM."""
    schedule.inject(lambda machine, seconds: schedule.faults.terminate(machine), sender, seconds=9.0)


def throttle(schedule: FaultSchedule) -> None:
    """Limits some or all core machines to a CPU quota. None of them counts as lost."""
    cores = schedule.system.cores
    share = schedule.random.choice((0.3, 0.5, 0.8))
    seconds = schedule.random.uniform(1.0, 6.0)
    for machine in schedule.random.sample(cores, schedule.random.randint(1, len(cores))):
        schedule.faults.throttle(machine, seconds, share)


def replace_member(schedule: FaultSchedule) -> None:
    """Removes a machine for good; a new one with an empty disk and another address takes its place."""
    machine = schedule.pick_machine()
    first_cores = 2 * schedule.system.parameters.tolerated + 1
    if machine is None or schedule.system.cores_made >= first_cores + MAX_REPLACED_MACHINES:
        return
    down_s = schedule.random.uniform(0.0, 1.0)
    schedule.mark_lost(machine, down_s)
    successor = schedule.faults.replace(machine, down_s)
    schedule.mark_lost(successor, down_s)


def terminate_beside_wipe(schedule: FaultSchedule) -> None:
    """Wipes a machine, then terminates another one, which must not leave before the first has caught up."""
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
