"""Planned maintenance and changes of members: terminated processes, replaced machines, second losses."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from shedgrade.simulation.fault_injector import FaultInjector
from shedgrade.simulation.history import TimeSpan

if TYPE_CHECKING:
    from shedgrade.simulation.machine import Machine

GRACE_S = 8.0  # from SIGTERM to SIGKILL
MOST_MACHINES = 12  # that are ever made in one run
AFTER_CATCH_UP_S = 0.002


class MaintenanceFaults(FaultInjector):
    """Faults that come with planned work."""

    def rolling_restart(self) -> None:
        """Every machine is terminated, one after the other, and starts again."""
        if not self.may_lose_several():
            return
        gap = self.random.choice((0.5, 1.0, 2.0))
        delay = 0.0
        for machine in list(self.cluster.machines):
            self.clock.after(delay, self.terminate, machine, None)
            delay += gap + 4.5
        self.lost_until["rolling restart"] = self.clock.now + delay + self.catch_up_s

    def terminate(self, machine: Machine, then: Callable[[], None] | None) -> None:
        """SIGTERM; soon after the end of the process `then` is called, or the machine started."""
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
            self.clock.after(down, then or machine.start)

        machine.terminate(GRACE_S, on_exit)

    def wipe_machine(self, machine: Machine, down: float) -> None:
        """A machine loses its disk, and starts again after `down` seconds."""
        self.mark_lost(machine, down)
        machine.lose_power()
        machine.wipe()
        self.cluster.log("wiped", machine.name)
        self.clock.after(down, machine.start)

    def leave_after_wipe(self) -> None:
        """A disk is lost; before its machine counts again another is terminated, and its disk is lost too."""
        first = self.pick_machine()
        if first is None or not self.may_lose_several():
            return
        down = 0.2 + 1.3 * self.random.random()
        self.wipe_machine(first, down)
        second = self.random.choice([machine for machine in self.cluster.machines if machine is not first])
        # The first counts again before the grace of the second is over.
        self.clock.after((down + 0.5) * self.random.random(), self.leave_and_lose_disk, second)

    def leave_and_lose_disk(self, machine: Machine) -> None:
        """A machine is terminated, and starts again with an empty disk."""

        def restart_empty() -> None:
            machine.wipe()
            machine.start()

        if machine.up and not self.stopped:
            self.terminate(machine, restart_empty)

    def replace_machine(self) -> None:
        """A machine is terminated for good; one with an empty disk takes its place at another address."""
        machine, cluster = self.pick_machine(), self.cluster
        if machine is None or cluster.machines_made > MOST_MACHINES or not self.may_lose_several():
            return

        def add_replacement() -> None:
            if machine in cluster.machines and not machine.up:
                cluster.machines.remove(machine)
                cluster.log("removed", machine.name)
                replacement = self.replacement_of(machine)
                self.mark_lost(replacement, 0.5)
                self.clock.after(0.5, replacement.start)

        self.lost_until["replacement"] = self.clock.now + 2 + 2 * self.catch_up_s
        self.terminate(machine, add_replacement)

    def replacement_of(self, machine: Machine) -> Machine:
        """A new machine with an empty disk, in the same region at another address."""
        cluster = self.cluster
        address = machine.address.replace(".0.", f".{cluster.machines_made + 10}.")
        return cluster.add(machine.region, address, machine.usual_sync_s)

    def replace_dead_machines(self) -> None:
        """Machines die for good; ones with empty disks take their places elsewhere, soon or late."""
        cluster = self.cluster
        if not cluster.bounded or self.lost_machines() or cluster.machines_made > MOST_MACHINES:
            return
        wait = self.random.choice((0.0, 0.5, 2.0, 4.0)) * (0.5 + self.random.random())
        for _ in range(self.random.randint(1, cluster.tolerated)):
            machine = self.pick_machine()
            if machine is not None:
                self.replace_dead_machine(machine, wait)
        self.clock.after(wait + self.catch_up_s + AFTER_CATCH_UP_S, self.wipe_holders)

    def replace_dead_machine(self, machine: Machine, wait: float) -> None:
        """A machine is gone with its disk; its replacement starts after `wait` s."""
        cluster = self.cluster
        self.mark_lost(machine, wait)
        machine.lose_power()
        cluster.machines.remove(machine)
        cluster.log("dead", machine.name)
        replacement = self.replacement_of(machine)
        self.lost_until[replacement.name] = self.lost_until.pop(machine.name)
        self.clock.after(wait, replacement.start)

    def second_loss(self) -> None:
        """Disks are lost; when those machines count again others lose theirs."""
        if not self.cluster.bounded or self.lost_machines():
            return
        down = self.random_duration()
        for _ in range(self.random.randint(1, self.cluster.tolerated)):
            machine = self.pick_machine()
            if machine is not None:
                self.wipe_machine(machine, down)
        self.clock.after(down + self.catch_up_s + AFTER_CATCH_UP_S, self.wipe_holders)

    def wipe_holders(self) -> None:
        """As many holders of the state as may be lost now lose their disks."""
        machine = None if self.stopped else self.pick_holder()
        while machine is not None:
            self.wipe_machine(machine, self.random_duration())
            machine = self.pick_holder()

    def pick_holder(self) -> Machine | None:
        """A primary or backup that may be lost now; if none is left any machine that may be."""
        holders = [
            machine
            for machine in self.cluster.machines
            if machine.up and machine.running_member.role in ("primary", "backup")
        ]
        self.random.shuffle(holders)
        lost = self.lost_machines()
        return self.pick_machine(next((machine for machine in holders if machine.name not in lost), None))
