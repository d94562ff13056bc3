"""Faults of a simulated core's processes, disks, power and links, one method for each kind of fault.

`fault_schedule` determines when they are injected.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from shedgrade.replication.messages import (
    Ack,
    Fetch,
    HandOver,
    Heartbeat,
    Install,
    Installed,
    Message,
    Prepare,
    Promise,
    Replicate,
)
from shedgrade.simulation.history import TimeSpan
from shedgrade.simulation.maintenance_faults import MaintenanceFaults

if TYPE_CHECKING:
    from shedgrade.simulation.machine import Machine

MachinePair = tuple["Machine", "Machine"]  # (sender, receiver): one direction of a link

TARGETED_MESSAGES = (Prepare, Promise, Install, Installed, Replicate, Ack, Heartbeat, Fetch, HandOver)
PRIMARY_DOWN_S = 3.0  # duration of a loss of power in the profile "deaths"


class Faults(MaintenanceFaults):
    """Faults of one kind per method. A method does nothing if the profile doesn't allow the fault now."""

    # --- processes and power

    def kill_machine(self) -> None:
        """Kills a machine's process, which soon starts again."""
        machine = self.pick_machine()
        if machine is not None:
            down = 0.1 + 0.5 * self.random.random()
            self.mark_lost(machine, down)
            machine.kill()
            self.clock.after(down, machine.start)

    def power_off(self) -> None:
        """Cuts a machine's power for a random duration."""
        machine = self.pick_machine()
        if machine is not None:
            down = self.random_duration()
            self.mark_lost(machine, down)
            machine.lose_power()
            self.clock.after(down, machine.start)

    def kill_primary_repeatedly(self) -> None:
        """Cuts the primary's power, and schedules the next time, with time to recover in between."""
        primaries = self.primaries()
        if primaries and not self.stopped:
            machine = self.random.choice(primaries)
            self.mark_lost(machine, PRIMARY_DOWN_S)
            self.cluster.history.primary_deaths.append(self.clock.now)
            machine.lose_power()
            self.clock.after(PRIMARY_DOWN_S, machine.start)
        self.clock.after(7.0 + 2 * self.random.random(), self.kill_primary_repeatedly)

    def primaries(self) -> list[Machine]:
        """Returns the machines whose members act as primary."""
        return [m for m in self.cluster.machines if m.up and m.running_member.role == "primary"]

    def wipe(self) -> None:
        """Wipes a machine's disk."""
        machine = self.pick_machine()
        if machine is not None:
            self.wipe_machine(machine, self.random_duration())

    def freeze(self) -> None:
        """Stops a process by SIGSTOP for a random duration."""
        machine = self.pick_machine()
        if machine is not None and not machine.frozen:
            seconds = self.random_duration()
            self.mark_lost(machine, seconds)
            self.cluster.log(f"frozen for {seconds:.2f} s", machine.name)
            machine.freeze()
            self.undo_after(seconds, machine.thaw)

    # --- after an acknowledgement

    def power_off_after_acknowledgement(self) -> None:
        """Cuts the power of the machine that acknowledges the next request, right after that."""

        def inject(acknowledging: Machine) -> None:
            machine = self.pick_machine(acknowledging)
            if machine is not None and not self.stopped:
                self.mark_lost(machine, 2.0)
                self.clock.after(0.004 * self.random.random(), machine.lose_power)
                self.clock.after(2.0, machine.start)

        self.cluster.on_acknowledged = inject

    def wipe_after_acknowledgement(self) -> None:
        """Wipes the machine that acknowledges the next request, or another, right after that."""

        def inject(acknowledging: Machine) -> None:
            machine = self.pick_machine(acknowledging if self.random.random() < 0.6 else None)
            if machine is not None and not self.stopped:
                self.wipe_machine(machine, 0.3 + 2 * self.random.random())

        self.cluster.on_acknowledged = inject

    def power_off_all_after_acknowledgement(self) -> None:
        """Cuts the power of all machines right after the next acknowledgement."""

        def inject(acknowledging: Machine) -> None:
            if not self.stopped:
                self.power_off_all()

        self.cluster.on_acknowledged = inject

    def wipe_some_and_power_off_all(self) -> None:
        """Right after the next acknowledgement wipes the tolerated number of machines, and cuts all power."""

        def inject(acknowledging: Machine) -> None:
            if self.stopped or not self.may_lose_several():
                return
            wiped = self.draw_machines_to_wipe(acknowledging)
            self.cluster.log("disks wiped in a power loss", " ".join(machine.name for machine in wiped))
            self.restart_all(lambda machine: self.lose_power_and_wipe(machine, wiped))

        if self.cluster.bounded:
            self.cluster.on_acknowledged = inject

    def draw_machines_to_wipe(self, acknowledging: Machine) -> list[Machine]:
        """Draws the tolerated number of machines; the acknowledging one is mostly among them."""
        cluster = self.cluster
        others = [machine for machine in cluster.machines if machine is not acknowledging]
        self.random.shuffle(others)
        if self.random.random() < 0.4 or acknowledging not in cluster.machines:
            return others[: cluster.tolerated]
        return [acknowledging, *others[: cluster.tolerated - 1]]

    @staticmethod
    def lose_power_and_wipe(machine: Machine, wiped: list[Machine]) -> None:
        """Cuts a machine's power, and wipes its disk if it is one of `wiped`."""
        machine.lose_power()
        if machine in wiped:
            machine.wipe()

    # --- all machines at once

    def power_off_all(self) -> None:
        """Cuts the power of all machines; they start again in any order."""
        if self.may_lose_several():
            self.restart_all(lambda machine: machine.lose_power())

    def kill_all(self) -> None:
        """Kills all processes; they start again in any order."""
        if self.may_lose_several():
            self.restart_all(lambda machine: machine.kill())

    def restart_all(self, end_process: Callable[[Machine], None]) -> None:
        """Ends each machine's process by `end_process`; each starts again after its own random delay."""
        last = 0.0
        for machine in self.cluster.machines:
            end_process(machine)
            down = 0.5 + 2 * self.random.random()
            last = max(last, down)
            self.mark_lost(machine, down)
            self.clock.after(down, machine.start)
        self.cluster.history.total_restarts.append(self.clock.now + last)

    # --- disks

    def fill_disk(self) -> None:
        """Makes a disk refuse writes for a random duration."""
        machine = self.pick_machine()
        if machine is not None and not machine.disk_full:
            seconds = self.random_duration()
            self.mark_lost(machine, seconds)
            self.cluster.log(f"disk full for {seconds:.2f} s", machine.name)
            machine.disk_full = True
            self.undo_after(seconds, lambda: setattr(machine, "disk_full", False))

    def stall_disk(self) -> None:
        """Makes a disk's writes hang for a random duration."""
        machine = self.pick_machine()
        if machine is not None and not machine.disk_stalled:
            seconds = self.random_duration()
            self.mark_lost(machine, seconds)
            self.cluster.log(f"disk stalled for {seconds:.2f} s", machine.name)
            machine.set_disk_stalled(True)
            self.undo_after(seconds, lambda: machine.set_disk_stalled(False))

    def slow_disk(self) -> None:
        """Makes a disk's writes take many times as long for a random duration."""
        machine = self.pick_machine()
        if machine is not None and machine.sync_s == machine.usual_sync_s:
            seconds = self.random_duration()
            self.mark_lost(machine, seconds)
            machine.sync_s = machine.usual_sync_s * self.random.choice((10, 40, 150))
            self.cluster.log(f"disk takes {machine.sync_s:.2f} s per write for {seconds:.2f} s", machine.name)
            self.undo_after(seconds, lambda: setattr(machine, "sync_s", machine.usual_sync_s))

    # --- links

    def slow_links(self) -> None:
        """Adds a delay to all links of a machine for a random duration."""
        machine, network = self.pick_machine(), self.cluster.network
        if machine is not None and machine.address not in network.extra_delay_s:
            seconds = self.random_duration()
            self.mark_lost(machine, seconds)
            delay = network.extra_delay_s[machine.address] = self.random.choice((0.05, 0.3, 1.0))
            self.cluster.log(f"links slowed by {delay} s for {seconds:.2f} s", machine.name)
            self.undo_after(seconds, lambda: network.extra_delay_s.pop(machine.address, None))

    def isolate_machine(self) -> None:
        """Blocks all links of one machine."""
        self.cut_off_machine(one_way=False)

    def isolate_machine_one_way(self) -> None:
        """Blocks one direction of all links of one machine."""
        self.cut_off_machine(one_way=True)

    def cut_off_machine(self, *, one_way: bool) -> None:
        """Blocks the links between one machine and all others, or one direction of them if `one_way`."""
        machine = self.pick_machine()
        if machine is None:
            return
        outgoing = self.random.random() < 0.5
        pairs = [
            (sender, receiver)
            for other in self.cluster.machines
            if other is not machine
            for sender, receiver in ((machine, other), (other, machine))
            if not one_way or (sender is machine) == outgoing
        ]
        self.block_links(machine, pairs)

    def isolate_primary(self) -> None:
        """Blocks the links between the primary and other machines, or just those to it; clients reach it.

        At times the links to one of the others stay open.
        """
        machine = self.pick_machine()
        primaries = self.primaries()
        if machine is None or not primaries:
            return
        primary = self.random.choice(primaries)
        others = [other for other in self.cluster.machines if other is not primary]
        in_touch = self.random.choice(others) if others and self.random.random() < 0.3 else None
        both_ways = self.random.random() < 0.6
        pairs = [
            pair
            for other in others
            if other is not in_touch
            for pair in ((primary, other), (other, primary))
            if both_ways or pair[0] is other
        ]
        self.block_links(primary, pairs, self.random.choice((0.9, 1.5, 3.0, 5.0)))

    def block_one_link(self) -> None:
        """Blocks the link between two machines, in both directions or in one. One of them counts as lost."""
        machine = self.pick_machine()
        others = [other for other in self.cluster.machines if other is not machine]
        if machine is None or not others:
            return
        other = self.random.choice(others)
        pairs = [(machine, other), (other, machine)]
        self.block_links(machine, pairs if self.random.random() < 0.5 else [self.random.choice(pairs)])

    def isolate_region(self) -> None:
        """Blocks a region's links to the others, mostly those from them too; its machines count as lost."""
        region = self.random.choice(("r0", "r1", "r2"))
        inside = [machine for machine in self.cluster.machines if machine.region == region and machine.up]
        lost = self.lost_machines() | {machine.name for machine in inside}
        if self.cluster.bounded and len(lost) > self.cluster.tolerated:
            return
        one_way = self.random.random() < 0.4
        pairs = [
            (sender, receiver)
            for machine in inside
            for other in self.cluster.machines
            if other.region != region
            for sender, receiver in ((machine, other), (other, machine))
            if not one_way or sender is machine
        ]
        seconds = self.random_duration()
        for machine in inside:
            self.mark_lost(machine, seconds)
        self.block_links(None, pairs, seconds)

    def partition_at_random(self) -> None:
        """Blocks the links between two random groups of machines, spares included."""
        sides: tuple[list[Machine], list[Machine]] = [], []
        for machine in self.cluster.machines:
            self.random.choice(sides).append(machine)
        pairs = [pair for one in sides[0] for other in sides[1] for pair in ((one, other), (other, one))]
        if pairs:
            self.block_links(None, pairs, self.random.choice((1.5, 3.0, 5.0)))

    def block_links(
        self, lost: Machine | None, pairs: Iterable[MachinePair], seconds: float | None = None
    ) -> None:
        """Blocks these directions of links for `seconds`, by default a random duration.

        `lost`: the machine that counts as lost; None for none.
        """
        seconds = seconds or self.random_duration()
        pairs = list(pairs)
        network = self.cluster.network
        if lost is not None:
            self.mark_lost(lost, seconds)
        subject = " ".join(f"{sender.name}>{receiver.name}" for sender, receiver in pairs)
        self.cluster.log(f"links blocked for {seconds:.2f} s", subject)
        links = [(sender.address, receiver.address) for sender, receiver in pairs]
        for link in links:
            network.block(*link)
        self.undo_after(seconds, partial(network.unblock_all, links))

    def partition_founders(self) -> None:
        """Blocks random links between the founders at the start of the run."""
        network = self.cluster.network
        addresses = [machine.address for machine in self.cluster.machines[:3]]
        links = [(a, b) for a in addresses for b in addresses if a != b and self.random.random() < 0.6]
        seconds = 4 * self.random.random()
        self.cluster.history.unstable_spans.append(TimeSpan(0.0, seconds))
        for link in links:
            network.block(*link)
        self.undo_after(seconds, partial(network.unblock_all, links))

    # --- around a message

    def fail_around_message(self) -> None:
        """Makes the sender or the receiver of a coming message fail about when it is sent.

        The targeted messages are those with which the protocol makes decisions, where a crash is most likely
        to break a guarantee.
        """
        kind = self.random.choice(TARGETED_MESSAGES)
        skip = self.random.randint(0, 3)

        def handle_send(sender: str, receiver: str, message: Message) -> None:
            nonlocal skip
            if type(message) is not kind or self.stopped:
                return
            skip -= 1
            if skip < 0:
                self.cluster.network.on_send = None
                self.fail_ends_of_message(sender, receiver, kind.__name__)

        self.cluster.network.on_send = handle_send

    def fail_ends_of_message(self, sender: str, receiver: str, kind: str) -> None:
        """Makes one of the two fail, at times both in a storm; half of the time targets another message."""
        ends = [self.cluster.by_address.get(address) for address in (sender, receiver)]
        self.random.shuffle(ends)
        both = self.cluster.profile == "storm" and self.random.random() < 0.4
        for machine in ends if both else ends[:1]:
            delay = self.random.choice((0.0, 0.002, 0.01, 0.07, 0.3)) * self.random.random()
            self.clock.after(delay, self.fail_machine, machine, kind)
        if self.random.random() < 0.5:
            self.fail_around_message()

    def fail_machine(self, machine: Machine | None, reason: str) -> None:
        """Cuts a machine's power, freezes or kills its process, if it may be lost now."""
        if machine is None or self.stopped or self.pick_machine(machine) is not machine:
            return
        seconds = self.random.choice((0.1, 0.3, 0.8, 1.2, 3.0)) * (0.5 + self.random.random())
        self.mark_lost(machine, seconds)
        fault = self.random.choice(("power loss", "freeze", "kill"))
        self.cluster.log(f"fault around {reason}: {fault} for {seconds:.2f} s", machine.name)
        if fault == "freeze":
            if not machine.frozen:
                machine.freeze()
                self.undo_after(seconds, machine.thaw)
            return
        if fault == "power loss":
            machine.lose_power()
        else:
            machine.kill()
        self.clock.after(seconds, machine.start)
