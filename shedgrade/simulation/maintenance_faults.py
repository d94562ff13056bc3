"""Faults around planned maintenance and changes of members: terminations, replacements, second losses."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from shedgrade.simulation.fault_injector import FaultInjector
from shedgrade.simulation.history import TimeSpan

if TYPE_CHECKING:
    from shedgrade.simulation.machine import Machine

GRACE_S = 8.0  # time from SIGTERM to SIGKILL
MAX_MACHINES = 12  # no machine is replaced once a run has created more
SECOND_LOSS_DELAY_S = 0.002  # time from the catching up of the first machines to the next loss


class MaintenanceFaults(FaultInjector):
    """Faults that combine planned work with losses."""

    def rolling_restart(self) -> None:
        """Terminates and restarts every machine, one after the other."""
        if not self.may_lose_several():
            return
        gap = self.random.choice((0.5, 1.0, 2.0))
        delay = 0.0
        for machine in list(self.cluster.machines):
            self.clock.after(delay, self.terminate, machine, None)
            delay += gap + 4.5
        self.lost_until["rolling restart"] = self.clock.now + delay + self.catch_up_s

    def terminate(self, machine: Machine, after_exit: Callable[[], None] | None) -> None:
        """Sends SIGTERM; soon after the process has ended, calls `after_exit` or restarts the machine."""
        if not machine.up or self.stopped:
            return
        self.cluster.log("terminate", machine.name)
        now, down = self.clock.now, 0.1 + 0.5 * self.random.random()
        self.cluster.history.unstable_spans.append(TimeSpan(now, now + 0.001))
        latest = now + GRACE_S + down + self.catch_up_s
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), latest)

        def on_exit() -> None:
            self.lost_until[machine.name] = 0.0
            self.mark_lost(machine, down)
            self.clock.after(down, after_exit or machine.start)

        machine.terminate(GRACE_S, on_exit)

    def wipe_machine(self, machine: Machine, down: float) -> None:
        """Wipes a machine's disk while it is without power; it starts again after `down` seconds."""
        self.mark_lost(machine, down)
        machine.lose_power()
        machine.wipe()
        self.cluster.log("disk wiped", machine.name)
        self.clock.after(down, machine.start)

    def leave_after_wipe(self) -> None:
        """Wipes one machine; before it has caught up, another is terminated and then wiped too."""
        first = self.pick_machine()
        if first is None or not self.may_lose_several():
            return
        down = 0.2 + 1.3 * self.random.random()
        self.wipe_machine(first, down)
        second = self.random.choice([machine for machine in self.cluster.machines if machine is not first])
        # The first machine has caught up before the grace period of the second is over.
        self.clock.after((down + 0.5) * self.random.random(), self.leave_and_lose_disk, second)

    def leave_and_lose_disk(self, machine: Machine) -> None:
        """Terminates a machine, which starts again with an empty disk."""

        def restart_empty() -> None:
            machine.wipe()
            machine.start()

        if machine.up and not self.stopped:
            self.terminate(machine, restart_empty)

    def replace_machine(self) -> None:
        """Terminates a machine for good, and adds one with an empty disk at another address in its place."""
        machine, cluster = self.pick_machine(), self.cluster
        if machine is None or cluster.machines_created > MAX_MACHINES or not self.may_lose_several():
            return

        def add_replacement() -> None:
            if machine in cluster.machines and not machine.up:
                cluster.machines.remove(machine)
                cluster.log("removed", machine.name)
                replacement = self.create_replacement(machine)
                self.mark_lost(replacement, 0.5)
                self.clock.after(0.5, replacement.start)

        self.lost_until["replacement"] = self.clock.now + 2 + 2 * self.catch_up_s
        self.terminate(machine, add_replacement)

    def create_replacement(self, machine: Machine) -> Machine:
        """Adds a machine with an empty disk, in the same region at another address."""
        cluster = self.cluster
        address = machine.address.replace(".0.", f".{cluster.machines_created + 10}.")
        return cluster.add(machine.region, address, machine.usual_sync_s)

    def replace_lost_machines(self) -> None:
        """Removes machines for good, and adds ones with empty disks elsewhere, at once or after a delay."""
        cluster = self.cluster
        if not cluster.bounded or self.lost_machines() or cluster.machines_created > MAX_MACHINES:
            return
        wait = self.random.choice((0.0, 0.5, 2.0, 4.0)) * (0.5 + self.random.random())
        for _ in range(self.random.randint(1, cluster.tolerated)):
            machine = self.pick_machine()
            if machine is not None:
                self.replace_lost_machine(machine, wait)
        self.clock.after(wait + self.catch_up_s + SECOND_LOSS_DELAY_S, self.wipe_holders)

    def replace_lost_machine(self, machine: Machine, wait: float) -> None:
        """Removes a machine with its disk; its replacement starts after `wait` seconds."""
        cluster = self.cluster
        self.mark_lost(machine, wait)
        machine.lose_power()
        cluster.machines.remove(machine)
        cluster.log("permanent loss", machine.name)
        replacement = self.create_replacement(machine)
        self.lost_until[replacement.name] = self.lost_until.pop(machine.name)
        self.clock.after(wait, replacement.start)

    def wipe_after_catch_up(self) -> None:
        """Wipes some machines, and others once the first have caught up."""
        if not self.cluster.bounded or self.lost_machines():
            return
        down = self.random_duration()
        for _ in range(self.random.randint(1, self.cluster.tolerated)):
            machine = self.pick_machine()
            if machine is not None:
                self.wipe_machine(machine, down)
        self.clock.after(down + self.catch_up_s + SECOND_LOSS_DELAY_S, self.wipe_holders)

    def wipe_holders(self) -> None:
        """Wipes as many holders of the state as may be lost now."""
        machine = None if self.stopped else self.pick_holder()
        while machine is not None:
            self.wipe_machine(machine, self.random_duration())
            machine = self.pick_holder()

    def pick_holder(self) -> Machine | None:
        """Returns a primary or backup that may be lost now; without one, any machine that may be lost."""
        holders = [
            machine
            for machine in self.cluster.machines
            if machine.up and machine.running_member.role in ("primary", "backup")
        ]
        self.random.shuffle(holders)
        lost = self.lost_machines()
        return self.pick_machine(next((machine for machine in holders if machine.name not in lost), None))
