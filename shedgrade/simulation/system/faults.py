"""Faults of machines, disks, links and clocks, one method for each kind of fault.

A fault with a duration ends by itself. A scripted run injects faults at exact times;
`fault_schedule.FaultSchedule` injects them by seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from shedgrade.simulation.system.machine import Machine
from shedgrade.simulation.system.simulated_system import GRACE_S, SimulatedSystem

# Period of the CPU quota. NEWS-24: a process runs at full speed until the quota is used up, and then not at
# all for the rest of the period.
QUOTA_PERIOD_S = 0.1

Path = tuple[str, str]  # (sender's IP, receiver's IP): one direction of a link
AnyMachine = Machine[Any]


class Faults:
    """Faults of one system. `undo_calls` holds the functions that end active faults; each is called once."""

    def __init__(self, system: SimulatedSystem) -> None:
        self.system = system
        self.time = system.time
        self.network = system.network
        self.undo_calls: list[Callable[[], None]] = []

    def undo_after(self, seconds: float, undo: Callable[[], object]) -> None:
        """Calls `undo` once: after `seconds`, or earlier when `end_all` is called."""

        def undo_once() -> None:
            if undo_once in self.undo_calls:
                self.undo_calls.remove(undo_once)
                undo()

        self.undo_calls.append(undo_once)
        self.time.after(seconds, undo_once)

    def end_all(self) -> None:
        """Ends all faults, and makes every machine run."""
        for undo in list(self.undo_calls):
            undo()
        for machine in self.system.machines():
            machine.power_up()
            machine.thaw()

    def log_event(self, event: str, subject: str) -> None:
        """Adds a line to the trace."""
        self.system.history.log(event, subject)

    # --- processes and power

    def stop(self, machine: AnyMachine, seconds: float) -> None:
        """Stops a process by SIGSTOP for `seconds`."""
        if machine.responsive:
            loop = machine.loop
            machine.stop()
            self.undo_after(seconds, lambda: machine.thaw() if machine.loop is loop else None)

    def throttle(self, machine: AnyMachine, seconds: float, share: float) -> None:
        """Limits a process to a CPU quota: it runs for `share` of each QUOTA_PERIOD_S, then stands still."""
        loop = machine.loop
        if loop is None:
            return
        self.log_event(f"quota of {share:.2f} for {seconds:.2f}", machine.name)
        active = True

        def resume() -> None:
            if active and machine.loop is loop:
                self.time.after(share * QUOTA_PERIOD_S, pause)
                machine.resume_quota()

        def pause() -> None:
            if active and machine.loop is loop:
                machine.exhaust_quota()
                self.time.after((1.0 - share) * QUOTA_PERIOD_S, resume)

        def undo() -> None:
            nonlocal active
            active = False
            if machine.loop is loop:
                machine.resume_quota()

        resume()
        self.undo_after(seconds, undo)

    def kill(self, machine: AnyMachine, seconds: float) -> None:
        """Kills a process by SIGKILL, and starts a new one after `seconds`."""
        machine.kill()
        self.undo_after(seconds, machine.start)

    def power_off(self, machine: AnyMachine, seconds: float) -> None:
        """Cuts a machine's power for `seconds`."""
        machine.lose_power()
        self.undo_after(seconds, machine.power_up)

    def wipe(self, machine: AnyMachine, seconds: float) -> None:
        """Cuts a machine's power for `seconds`, and replaces its disk by an empty one."""
        machine.lose_power()
        machine.wipe()
        self.undo_after(seconds, machine.power_up)

    def replace(self, machine: AnyMachine, seconds: float) -> AnyMachine:
        """Cuts a machine's power for good, and starts its replacement after `seconds`.

        Returns the replacement, which has an empty disk and another address.
        """
        machine.lose_power()
        successor = self.system.replace_core(machine)
        self.undo_after(seconds, successor.power_up)
        return successor

    def terminate(self, machine: AnyMachine, grace_s: float = GRACE_S, down_s: float = 0.0) -> None:
        """Sends SIGTERM. The platform restarts the process when it has ended and `down_s` have passed."""
        machine.terminate(grace_s, down_s)

    def power_off_all(
        self, machines: Iterable[AnyMachine], seconds: Callable[[], float], wiped: Iterable[AnyMachine] = ()
    ) -> None:
        """Cuts the power of all `machines` at once, and replaces the disks of those in `wiped`.

        Each machine is down for a time that `seconds` draws.
        """
        wiped = tuple(wiped)
        for machine in machines:
            (self.wipe if machine in wiped else self.power_off)(machine, seconds())

    def kill_all(self, machines: Iterable[AnyMachine], seconds: Callable[[], float]) -> None:
        """Kills the processes of all `machines` at once. Each is down for a time that `seconds` draws."""
        for machine in machines:
            self.kill(machine, seconds())

    # --- links

    def block_paths(self, paths: Iterable[Path], seconds: float) -> None:
        """Blocks paths for `seconds`; TCP data in flight on them is delivered after that."""
        paths = tuple(paths)
        subject = " ".join(f"{sender}>{receiver}" for sender, receiver in paths)
        self.log_event(f"paths blocked for {seconds:.2f}", subject)
        for path in paths:
            self.network.block(*path)

        def unblock() -> None:
            self.log_event("paths unblocked", subject)
            for path in paths:
                self.network.unblock(*path)

        self.undo_after(seconds, unblock)

    def isolate(
        self,
        machine: AnyMachine,
        seconds: float,
        *,
        others: Iterable[AnyMachine] | None = None,
        outgoing: bool = True,
        incoming: bool = True,
    ) -> None:
        """Blocks the paths between a machine and `others`, by default all other core machines.

        Operators still reach the machine.
        """
        own = machine.host.ip
        targets = self.system.cores if others is None else others
        ips = [other.host.ip for other in targets if other is not machine]
        paths = [(own, ip) for ip in ips if outgoing]
        self.block_paths(paths + [(ip, own) for ip in ips if incoming], seconds)

    def partition(self, inside: Iterable[str], seconds: float, one_way: bool = False) -> None:
        """Blocks the paths between the hosts in `inside` (IPs) and all other hosts.

        With `one_way` only the paths from `inside` are blocked.
        """
        inside = set(inside)
        paths = [
            path
            for ip in sorted(inside)
            for other in self.network.hosts
            if other not in inside
            for path in ((ip, other), (other, ip))
        ]
        self.block_paths([path for path in paths if not one_way or path[0] in inside], seconds)

    def slow_link(self, machine: AnyMachine, seconds: float, extra_delay_s: float) -> None:
        """Adds `extra_delay_s` to the delay of all paths of a machine."""
        machine.host.extra_delay_s += extra_delay_s
        self.log_event(f"slow by {extra_delay_s} for {seconds:.2f}", machine.name)

        def undo() -> None:
            machine.host.extra_delay_s -= extra_delay_s

        self.undo_after(seconds, undo)

    def reset_connections(self, machine: AnyMachine) -> None:
        """Resets all connections of a machine."""
        self.log_event("connections reset", machine.name)
        for connection in list(self.network.connections):
            if machine.host in (connection.near.host, connection.far.host):
                connection.reset_both()

    # --- disks and clocks

    def stall_disk(self, machine: AnyMachine, seconds: float) -> None:
        """Makes writes to a machine's disk hang for `seconds`."""
        self.log_event(f"disk stalls for {seconds:.2f}", machine.name)
        machine.disk.set_stalled(True)
        self.undo_after(seconds, lambda: machine.disk.set_stalled(False))

    def slow_disk(self, machine: AnyMachine, seconds: float, latency_factor: float) -> None:
        """Makes writes to a machine's disk take `latency_factor` times as long."""
        self.log_event(f"disk slow by {latency_factor:.0f} for {seconds:.2f}", machine.name)
        machine.disk.latency_factor = latency_factor
        self.undo_after(seconds, lambda: setattr(machine.disk, "latency_factor", 1.0))

    def fill_disk(self, machine: AnyMachine, seconds: float) -> None:
        """Makes writes to a machine's disk fail for `seconds`, because it is full."""
        self.log_event(f"disk full for {seconds:.2f}", machine.name)
        machine.disk.files.full = True
        self.undo_after(seconds, lambda: setattr(machine.disk.files, "full", False))

    def step_clock(self, machine: AnyMachine, step_s: float) -> None:
        """Moves a machine's time of day by `step_s`; its monotonic clock isn't affected."""
        self.log_event(f"clock steps by {step_s:.1f}", machine.name)
        machine.clock_skew += step_s
