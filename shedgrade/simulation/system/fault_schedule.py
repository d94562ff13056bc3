"""Injects faults into a simulated system at random times, determined by the seed.

In all profiles but "storm", the machines lost at the same time stay within the tolerated number. "targeted"
adds the faults of `message_faults.py` to those of "fair".
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from shedgrade.controlplane.endpoint_list_sync import ENDPOINT_LIST_ROLE
from shedgrade.controlplane.plane import ControlPlane
from shedgrade.simulation.history import TimeSpan
from shedgrade.simulation.system.faults import AnyMachine, Faults
from shedgrade.simulation.system.history import Operation
from shedgrade.simulation.system.machine import Machine
from shedgrade.simulation.system.message_faults import TARGETED
from shedgrade.simulation.system.simulated_system import GRACE_S, SimulatedSystem

CATCH_UP_S = 4.0  # time after a machine's return during which it still counts as lost
DURATIONS_S = (0.2, 0.6, 0.9, 1.2, 2.0, 3.0, 6.0)  # typical durations of a fault
FAIR_GAPS_S = (0.1, 0.5, 1.5, 4.0)
STORM_GAPS_S = (0.05, 0.3, 0.8, 2.0)
TERMINATION_S = 9.0  # time from SIGTERM until the process runs again
LONG_ISOLATION_S = 20.0
RESTART_ALL_S = 2.5  # time within which all machines return

CoreMachine = Machine[ControlPlane]
FaultOfMachine = Callable[[AnyMachine, float], None]  # (machine, seconds)


class Directions(NamedTuple):
    """The directions of a machine's links that a fault blocks."""

    outgoing: bool
    incoming: bool


DIRECTIONS = (Directions(True, True), Directions(True, False), Directions(False, True))


class FaultSchedule:
    """Injects one fault after the other until `ended` is set.

    Attributes:
        system: the simulated system.
        faults: the faults of that system.
        random: source of the random choices.
        is_fair: whether losses stay within the tolerated number.
        kinds: the faults of the profile; one listed twice is twice as likely.
        gaps_s: typical times between two faults, seconds.
        lost_until: by core machine, the virtual time until which it counts as lost, seconds.
        ended: whether the schedule has ended.
    """

    def __init__(self, system: SimulatedSystem, faults: Faults, profile: str, random: Random) -> None:
        """Creates the schedule of a `profile`: "fair", "planned", "storm" or "targeted"."""
        self.system = system
        self.faults = faults
        self.random = random
        self.is_fair = profile != "storm"
        self.kinds = {"planned": PLANNED, "storm": STORM, "targeted": FAIR + TARGETED}.get(profile, FAIR)
        self.gaps_s = FAIR_GAPS_S if self.is_fair else STORM_GAPS_S
        self.lost_until: dict[str, float] = {}
        self.ended = False

    def next(self) -> None:
        """Injects a fault now, and schedules the next one after a random gap."""
        if self.ended:
            return
        inject = self.random.choice(self.kinds)
        inject(self)
        gap = self.random.choice(self.gaps_s) * self.random.uniform(0.5, 1.5)
        self.system.time.after(gap, self.next)

    def end(self) -> None:
        """Ends all faults and the schedule."""
        self.ended = True
        self.system.on_acknowledged = None
        now, history = self.system.time.now, self.system.history
        self.faults.end_all()
        spans = [TimeSpan(start, min(end, now)) for start, end in history.unstable_spans]
        history.unstable_spans = [*spans, TimeSpan(now, now)]
        history.log("all faults end")

    # --- choice of machines

    def lost_machines(self) -> set[str]:
        """Returns the names of the core machines that count as lost now."""
        now = self.system.time.now
        return {name for name, until in self.lost_until.items() if until > now}

    def mark_lost(self, machine: CoreMachine, seconds: float) -> None:
        """Counts a machine as lost for `seconds`, and until it has caught up, CATCH_UP_S later.

        The history records the core as unstable for `seconds`.
        """
        now = self.system.time.now
        until = now + seconds + CATCH_UP_S
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), until)
        self.system.history.unstable_spans.append(TimeSpan(now, now + seconds))

    def pick_machine(self, preferred: CoreMachine | None = None) -> CoreMachine | None:
        """Returns a core machine that may be lost now, or None if there is none.

        If `preferred` is given, only that machine is considered; otherwise half of the time it is the
        primary, if that may be lost.
        """
        lost = self.lost_machines()
        if self.is_fair and len(lost) >= self.system.parameters.tolerated:
            return None
        candidates = [
            machine
            for machine in self.system.cores
            if machine.responsive and (machine.name not in lost or not self.is_fair)
        ]
        if preferred is not None:
            return preferred if preferred in candidates else None
        primary = self.system.primary()
        if primary is not None and primary in candidates and self.random.random() < 0.5:
            return primary
        return self.random.choice(candidates) if candidates else None

    def random_duration(self) -> float:
        """Returns a random duration of a fault, in seconds."""
        return self.random.choice(DURATIONS_S) * self.random.uniform(0.5, 1.5)

    def inject(
        self,
        fault: FaultOfMachine,
        preferred: CoreMachine | None = None,
        seconds: float | None = None,
    ) -> None:
        """Injects a fault of one core machine, if one may be lost now.

        `preferred` is as in `pick_machine`. The fault lasts `seconds`, or a random duration by default.
        """
        machine = self.pick_machine(preferred)
        if machine is not None:
            seconds = self.random_duration() if seconds is None else seconds
            self.mark_lost(machine, seconds)
            fault(machine, seconds)

    def may_lose_all(self) -> bool:
        """Whether the profile allows that all core machines are lost now for a short time."""
        return not self.is_fair or not self.lost_machines()

    # --- faults of one machine

    def stop(self) -> None:
        """Stops a process by SIGSTOP."""
        self.inject(self.faults.stop)

    def stop_poller(self) -> None:
        """Stops the process that holds the lease for polling the platform's list."""
        holders = [
            machine
            for machine in self.system.cores
            if machine.program is not None and machine.program.roles.is_held(ENDPOINT_LIST_ROLE)
        ]
        if holders:
            self.inject(self.faults.stop, self.random.choice(holders))

    def kill(self) -> None:
        """Kills a process, which soon starts again."""
        self.inject(self.faults.kill, seconds=self.random.uniform(0.1, 0.6))

    def power_off(self) -> None:
        """Cuts a machine's power."""
        self.inject(self.faults.power_off)

    def wipe(self) -> None:
        """Cuts a machine's power, and replaces its disk by an empty one."""
        self.inject(self.faults.wipe)

    def terminate(self) -> None:
        """Terminates a process by SIGTERM."""
        self.inject(lambda machine, seconds: self.faults.terminate(machine), seconds=TERMINATION_S)

    def rolling_restart(self) -> None:
        """Terminates the processes of all core machines, one after the other."""
        if not self.may_lose_all():
            return
        gap = CATCH_UP_S + TERMINATION_S

        def terminate(machine: CoreMachine) -> None:
            if not self.ended:
                self.faults.terminate(machine)

        for number, machine in enumerate(self.system.cores):
            self.system.time.after(gap * number, terminate, machine)
        self.mark_lost(self.system.cores[0], gap * len(self.system.cores))
        for machine in self.system.cores[1 : self.system.parameters.tolerated]:
            self.mark_lost(machine, gap * len(self.system.cores))

    def isolate(self) -> None:
        """Cuts a machine off from the other core machines."""
        self.inject(self.faults.isolate)

    def isolate_for_long(self) -> None:
        """Cuts a machine off for LONG_ISOLATION_S; only in runs of more than twice that length."""
        if self.system.parameters.length > 2 * LONG_ISOLATION_S:
            self.inject(self.faults.isolate, seconds=LONG_ISOLATION_S)

    def isolate_one_way(self) -> None:
        """Blocks one direction of the links between a machine and the other core machines."""
        outgoing = self.random.random() < 0.5

        def isolate(machine: AnyMachine, seconds: float) -> None:
            self.faults.isolate(machine, seconds, outgoing=outgoing, incoming=not outgoing)

        self.inject(isolate)

    def block_one_link(self) -> None:
        """Blocks the link between two core machines, in one or both directions."""

        def isolate(machine: AnyMachine, seconds: float) -> None:
            other = self.random.choice([each for each in self.system.cores if each is not machine])
            outgoing, incoming = self.random.choice(DIRECTIONS)
            self.faults.isolate(machine, seconds, others=[other], outgoing=outgoing, incoming=incoming)

        self.inject(isolate)

    def isolate_region(self) -> None:
        """Cuts a region with its core machine, edges and operators off from all others.

        Sometimes only the packets that the region sends are blocked.
        """

        def isolate(machine: AnyMachine, seconds: float) -> None:
            region = machine.host.region
            inside = [host.ip for host in self.system.network.hosts.values() if host.region == region]
            if self.is_fair:  # a region may have more core machines than may be lost
                others = {core.host.ip for core in self.system.cores if core is not machine}
                inside = [ip for ip in inside if ip not in others]
            self.faults.partition(inside, seconds, self.random.random() < 0.3)

        self.inject(isolate)

    def slow_link(self) -> None:
        """Adds a delay to all paths of a machine."""
        extra_delay_s = self.random.choice((0.05, 0.3, 1.0))
        self.inject(lambda machine, seconds: self.faults.slow_link(machine, seconds, extra_delay_s))

    def reset_connections(self) -> None:
        """Resets all connections of a machine."""
        self.inject(lambda machine, seconds: self.faults.reset_connections(machine), seconds=0.5)

    def stall_disk(self) -> None:
        """Makes a disk's writes hang."""
        self.inject(self.faults.stall_disk)

    def slow_disk(self) -> None:
        """Makes a disk's writes many times slower."""
        latency_factor = self.random.choice((5.0, 20.0, 100.0))
        self.inject(lambda machine, seconds: self.faults.slow_disk(machine, seconds, latency_factor))

    def fill_disk(self) -> None:
        """Makes a disk's writes fail because it is full."""
        self.inject(self.faults.fill_disk)

    def step_clock(self) -> None:
        """Moves a machine's time of day."""
        step_s = self.random.choice((-3600.0, -2.0, 2.0, 3600.0))
        self.inject(lambda machine, seconds: self.faults.step_clock(machine, step_s), seconds=0.0)

    # --- faults right after an acknowledgement

    def after_acknowledgement(self, inject: Callable[[CoreMachine | None], None]) -> None:
        """Calls `inject` right after the next acknowledgement to an operator.

        Its argument is the machine that acknowledged, or None if that isn't a core machine now.
        """

        def acknowledged(operation: Operation) -> None:
            if not self.ended:
                name = operation.attempts[-1].member
                inject(next((machine for machine in self.system.cores if machine.name == name), None))

        self.system.on_acknowledged = acknowledged

    def power_off_after_acknowledgement(self) -> None:
        """Cuts the power of the machine that acknowledges the next command, right after that."""
        self.after_acknowledgement(lambda machine: self.inject(self.faults.power_off, machine, 2.0))

    def wipe_after_acknowledgement(self) -> None:
        """Wipes the machine that acknowledges the next command, or the primary, right after that."""

        def inject(machine: CoreMachine | None) -> None:
            target = machine if self.random.random() < 0.5 else self.system.primary()
            self.inject(self.faults.wipe, target, 1.0)

        self.after_acknowledgement(inject)

    def power_off_all_after_acknowledgement(self) -> None:
        """Cuts the power of all core machines right after the next acknowledgement."""
        self.after_acknowledgement(lambda machine: self.power_off_all())

    def wipe_some_and_power_off_all(self) -> None:
        """Cuts all power right after the next acknowledgement, and wipes the tolerated number of machines."""

        def inject(machine: CoreMachine | None) -> None:
            if self.may_lose_all():
                wiped = self.random.sample(self.system.cores, self.system.parameters.tolerated)
                self.mark_all_lost()
                self.faults.power_off_all(self.system.cores, self.random_restart, wiped)

        self.after_acknowledgement(inject)

    # --- faults of all core machines at once

    def random_restart(self) -> float:
        """Returns a random time until a machine's return, in seconds."""
        return self.random.uniform(0.5, RESTART_ALL_S)

    def mark_all_lost(self) -> None:
        """Counts all core machines as lost until they have returned and caught up."""
        for machine in self.system.cores:
            self.mark_lost(machine, RESTART_ALL_S)

    def power_off_all(self) -> None:
        """Cuts the power of all core machines."""
        if self.may_lose_all():
            self.mark_all_lost()
            self.faults.power_off_all(self.system.cores, self.random_restart)

    def kill_all(self) -> None:
        """Kills the processes of all core machines."""
        if self.may_lose_all():
            self.mark_all_lost()
            self.faults.kill_all(self.system.cores, self.random_restart)

    # --- faults outside the core

    def terminate_edges(self) -> None:
        """Terminates all edges of some regions, as a planned stop does: all at once, or region by region."""
        regions = sorted({edge.host.region for edge in self.system.edges})
        chosen = self.random.sample(regions, self.random.randint(1, len(regions)))
        gap, down_s = self.random.choice((0.0, 0.3, 1.5)), self.random.choice((0.0, 8.5))
        for index, region in enumerate(chosen):
            for edge in self.system.edges:
                if edge.host.region == region:
                    self.system.time.after(gap * index, self.faults.terminate, edge, GRACE_S, down_s)

    def edge_fault(self) -> None:
        """Kills or stops an edge's process, or cuts the edge off from some core machines."""
        edge = self.random.choice(self.system.edges)
        if not edge.responsive:
            return
        kind = self.random.randrange(3)
        if kind == 0:
            self.faults.kill(edge, self.random.uniform(0.1, 1.0))
        elif kind == 1:
            self.faults.stop(edge, self.random_duration())
        else:
            others: list[Machine[Any]] = [core for core in self.system.cores if self.random.random() < 0.6]
            outgoing, incoming = self.random.choice(DIRECTIONS)
            seconds = self.random_duration()
            self.faults.isolate(edge, seconds, others=others, outgoing=outgoing, incoming=incoming)

    def isolate_platform(self) -> None:
        """Cuts the platform's list off from some core machines."""
        others = [core for core in self.system.cores if self.random.random() < 0.7]
        self.faults.isolate(self.system.platform, self.random_duration(), others=others)


InjectFault = Callable[[FaultSchedule], None]

FAIR: tuple[InjectFault, ...] = (
    FaultSchedule.stop,
    FaultSchedule.stop,
    FaultSchedule.kill,
    FaultSchedule.power_off,
    FaultSchedule.wipe,
    FaultSchedule.isolate,
    FaultSchedule.isolate,
    FaultSchedule.isolate_one_way,
    FaultSchedule.block_one_link,
    FaultSchedule.isolate_region,
    FaultSchedule.isolate_for_long,
    FaultSchedule.slow_link,
    FaultSchedule.slow_disk,
    FaultSchedule.stall_disk,
    FaultSchedule.fill_disk,
    FaultSchedule.step_clock,
    FaultSchedule.reset_connections,
    FaultSchedule.terminate,
    FaultSchedule.rolling_restart,
    FaultSchedule.power_off_all,
    FaultSchedule.kill_all,
    FaultSchedule.power_off_after_acknowledgement,
    FaultSchedule.wipe_after_acknowledgement,
    FaultSchedule.wipe_after_acknowledgement,
    FaultSchedule.wipe_after_acknowledgement,
    FaultSchedule.power_off_all_after_acknowledgement,
    FaultSchedule.wipe_some_and_power_off_all,
    FaultSchedule.wipe_some_and_power_off_all,
    FaultSchedule.edge_fault,
    FaultSchedule.edge_fault,
    FaultSchedule.isolate_platform,
    FaultSchedule.stop_poller,
)
PLANNED: tuple[InjectFault, ...] = (
    FaultSchedule.terminate_edges,
    FaultSchedule.terminate_edges,
    FaultSchedule.terminate_edges,
    FaultSchedule.terminate_edges,
    FaultSchedule.stop,
    FaultSchedule.kill,
    FaultSchedule.power_off,
    FaultSchedule.isolate,
    FaultSchedule.isolate_region,
    FaultSchedule.terminate,
    FaultSchedule.kill_all,
    FaultSchedule.power_off_all,
    FaultSchedule.edge_fault,
    FaultSchedule.power_off_after_acknowledgement,
    FaultSchedule.isolate_platform,
)
STORM: tuple[InjectFault, ...] = (
    FaultSchedule.stop,
    FaultSchedule.stop,
    FaultSchedule.stop,
    FaultSchedule.kill,
    FaultSchedule.power_off,
    FaultSchedule.isolate,
    FaultSchedule.isolate,
    FaultSchedule.isolate,
    FaultSchedule.isolate_one_way,
    FaultSchedule.block_one_link,
    FaultSchedule.block_one_link,
    FaultSchedule.isolate_region,
    FaultSchedule.slow_link,
    FaultSchedule.slow_disk,
    FaultSchedule.stall_disk,
    FaultSchedule.fill_disk,
    FaultSchedule.step_clock,
    FaultSchedule.reset_connections,
    FaultSchedule.power_off_all,
    FaultSchedule.kill_all,
    FaultSchedule.power_off_after_acknowledgement,
    FaultSchedule.power_off_all_after_acknowledgement,
    FaultSchedule.edge_fault,
    FaultSchedule.edge_fault,
    FaultSchedule.isolate_platform,
    FaultSchedule.stop_poller,
    FaultSchedule.terminate,
)
