"""When faults strike, drawn by seed. In "fair", what is lost at once stays within what is tolerated."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from shedgrade.simulation.system.faults import Faults
from shedgrade.simulation.system.machine import Machine

CATCH_UP = 4.0  # s after its return for which a machine counts as lost
LENGTHS = (0.2, 0.6, 0.9, 1.2, 2.0, 3.0, 6.0)  # s that a fault lasts, about
FAIR_GAPS, STORM_GAPS = (0.1, 0.5, 1.5, 4.0), (0.05, 0.3, 0.8, 2.0)
GRACE = 8.0  # s from SIGTERM to SIGKILL
LONG = 20.0  # s of the long cut

FAIR = (
    "stop",
    "stop",
    "kill",
    "power_off",
    "wipe",
    "isolate",
    "isolate",
    "isolate_one_way",
    "link_cut",
    "region_cut",
    "long_cut",
    "slow_link",
    "disk_slow",
    "disk_stall",
    "disk_full",
    "clock_step",
    "reset_connections",
    "terminate",
    "roll",
    "all_power",
    "all_killed",
    "kill_after_ack",
    "wipe_after_ack",
    "wipe_after_ack",
    "wipe_after_ack",
    "power_after_ack",
    "wipe_and_power",
    "wipe_and_power",
    "edge_fault",
    "edge_fault",
    "platform_cut",
    "stop_holder",
)
PLANNED = (
    "stop_edges",
    "stop_edges",
    "stop_edges",
    "stop_edges",
    "stop",
    "kill",
    "power_off",
    "isolate",
    "region_cut",
    "terminate",
    "all_killed",
    "all_power",
    "edge_fault",
    "kill_after_ack",
    "platform_cut",
)
STORM = (
    "stop",
    "stop",
    "stop",
    "kill",
    "power_off",
    "isolate",
    "isolate",
    "isolate",
    "isolate_one_way",
    "link_cut",
    "link_cut",
    "region_cut",
    "slow_link",
    "disk_slow",
    "disk_stall",
    "disk_full",
    "clock_step",
    "reset_connections",
    "all_power",
    "all_killed",
    "kill_after_ack",
    "power_after_ack",
    "edge_fault",
    "edge_fault",
    "platform_cut",
    "stop_holder",
    "terminate",
)


class FaultSchedule:
    """Strikes until `ended`. `trouble` of the history gets the spans in which the core was not stable."""

    def __init__(self, world, faults: Faults, profile: str, random: Random) -> None:
        """`profile`: "fair", "planned" or "storm"."""
        self.world, self.faults, self.profile, self.random = world, faults, profile, random
        self.lost_until: dict[str, float] = {}
        self.ended = False
        self.fair = profile != "storm"
        self.kinds = {"fair": FAIR, "planned": PLANNED, "storm": STORM}.get(profile, FAIR)
        self.gaps = FAIR_GAPS if self.fair else STORM_GAPS

    def next(self) -> None:
        """Strikes now, and again after a while."""
        if self.ended:
            return
        getattr(self, self.random.choice(self.kinds))()
        gap = self.random.choice(self.gaps) * self.random.uniform(0.5, 1.5)
        self.world.time.after(gap, self.next)

    def end(self) -> None:
        """No fault is left, and none comes."""
        self.ended = True
        self.world.on_acknowledged = None
        now, history = self.world.time.now, self.world.history
        self.faults.end_all()
        history.trouble = [(start, min(stop, now)) for start, stop in history.trouble]
        history.trouble.append((now, now))
        history.note("all faults end")

    # --- who may be lost

    def lost(self) -> set[str]:
        now = self.world.time.now
        return {name for name, until in self.lost_until.items() if until > now}

    def lose(self, machine: Machine, seconds: float) -> None:
        now = self.world.time.now
        until = now + seconds + CATCH_UP
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), until)
        self.world.history.trouble.append((now, now + seconds))

    def pick(self, preferred: Machine | None = None) -> Machine | None:
        """A core machine that may be lost now; half of the time the primary."""
        lost = self.lost()
        if self.fair and len(lost) >= self.world.shape.tolerated:
            return None
        free = [
            machine
            for machine in self.world.cores
            if machine.running and not machine.stopped and (machine.name not in lost or not self.fair)
        ]
        if preferred is not None:
            return preferred if preferred in free else None
        primary = self.world.primary()
        if primary in free and self.random.random() < 0.5:
            return primary
        return self.random.choice(free) if free else None

    def seconds(self) -> float:
        return self.random.choice(LENGTHS) * self.random.uniform(0.5, 1.5)

    def strike(
        self,
        fault: Callable[[Machine, float], None],
        preferred: Machine | None = None,
        seconds: float | None = None,
    ) -> None:
        machine = self.pick(preferred)
        if machine is not None:
            seconds = self.seconds() if seconds is None else seconds
            self.lose(machine, seconds)
            fault(machine, seconds)

    def quiet(self) -> bool:
        """Everything may be lost for a moment, as far as the profile allows it."""
        return not self.fair or not self.lost()

    # --- one machine

    def stop(self) -> None:
        self.strike(self.faults.stop)

    def stop_holder(self) -> None:
        """Whoever holds the duty of polling stands still."""
        holders = [
            machine
            for machine in self.world.cores
            if machine.program is not None and machine.program.roles.is_held("upstreams")
        ]
        if holders:
            self.strike(self.faults.stop, self.random.choice(holders))

    def kill(self) -> None:
        self.strike(self.faults.kill, seconds=self.random.uniform(0.1, 0.6))

    def power_off(self) -> None:
        self.strike(self.faults.power_off)

    def wipe(self) -> None:
        self.strike(self.faults.wipe)

    def terminate(self) -> None:
        self.strike(lambda machine, seconds: self.faults.terminate(machine), seconds=9.0)

    def roll(self) -> None:
        """Every core machine is terminated, one after the other."""
        if not self.quiet():
            return
        gap = CATCH_UP + 9.0

        def terminate(machine: Machine) -> None:
            if not self.ended:
                self.faults.terminate(machine)

        for number, machine in enumerate(self.world.cores):
            self.world.time.after(gap * number, terminate, machine)
        self.lose(self.world.cores[0], gap * len(self.world.cores))
        for machine in self.world.cores[1 : self.world.shape.tolerated]:
            self.lose(machine, gap * len(self.world.cores))

    def isolate(self) -> None:
        self.strike(self.faults.isolate)

    def long_cut(self) -> None:
        """The cut of some twenty seconds, in long days."""
        if self.world.shape.length > 2 * LONG:
            self.strike(self.faults.isolate, seconds=LONG)

    def isolate_one_way(self) -> None:
        out = self.random.random() < 0.5
        self.strike(
            lambda machine, seconds: self.faults.isolate(machine, seconds, outgoing=out, incoming=not out)
        )

    def link_cut(self) -> None:
        """One machine and one other no longer hear each other, or one of them the other."""

        def cut(machine: Machine, seconds: float) -> None:
            other = self.random.choice([each for each in self.world.cores if each is not machine])
            way = self.random.choice(((True, True), (True, False), (False, True)))
            self.faults.isolate(machine, seconds, others=[other], outgoing=way[0], incoming=way[1])

        self.strike(cut)

    def region_cut(self) -> None:
        """A region with its core machine, edges and operators from all others."""

        def cut(machine: Machine, seconds: float) -> None:
            region = machine.host.region
            inside = [host.ip for host in self.world.network.hosts.values() if host.region == region]
            if self.fair:  # a region may hold more core machines than may be lost
                inside = [
                    ip
                    for ip in inside
                    if ip == machine.host.ip or ip not in {core.host.ip for core in self.world.cores}
                ]
            self.faults.split(inside, seconds, self.random.random() < 0.3)

        self.strike(cut)

    def slow_link(self) -> None:
        more = self.random.choice((0.05, 0.3, 1.0))
        self.strike(lambda machine, seconds: self.faults.slow_link(machine, seconds, more))

    def reset_connections(self) -> None:
        self.strike(lambda machine, seconds: self.faults.reset_connections(machine), seconds=0.5)

    def disk_stall(self) -> None:
        self.strike(self.faults.disk_stall)

    def disk_slow(self) -> None:
        slowness = self.random.choice((5.0, 20.0, 100.0))
        self.strike(lambda machine, seconds: self.faults.disk_slow(machine, seconds, slowness))

    def disk_full(self) -> None:
        self.strike(self.faults.disk_full)

    def clock_step(self) -> None:
        step = self.random.choice((-3600.0, -2.0, 2.0, 3600.0))
        self.strike(lambda machine, seconds: self.faults.clock_step(machine, step), seconds=0.0)

    # --- right after an acknowledgement

    def after_ack(self, strike: Callable[[Machine | None], None]) -> None:
        def struck(call) -> None:
            if not self.ended:
                name = call.attempts[-1].member
                strike(next((machine for machine in self.world.cores if machine.name == name), None))

        self.world.on_acknowledged = struck

    def kill_after_ack(self) -> None:
        self.after_ack(lambda machine: self.strike(self.faults.power_off, machine, 2.0))

    def wipe_after_ack(self) -> None:
        self.after_ack(
            lambda machine: self.strike(
                self.faults.wipe, machine if self.random.random() < 0.5 else self.world.primary(), 1.0
            )
        )

    def power_after_ack(self) -> None:
        self.after_ack(lambda machine: self.all_power())

    def wipe_and_power(self) -> None:
        """As many as tolerated lose their disks, all others their power."""

        def strike(machine: Machine | None) -> None:
            if self.quiet():
                wiped = self.random.sample(self.world.cores, self.world.shape.tolerated)
                self.everybody(lambda: self.faults.all_power(self.world.cores, self.back, wiped))

        self.after_ack(strike)

    # --- all at once

    def back(self) -> float:
        return self.random.uniform(0.5, 2.5)

    def everybody(self, fault: Callable[[], None]) -> None:
        for machine in self.world.cores:
            self.lose(machine, 2.5)
        fault()

    def all_power(self) -> None:
        if self.quiet():
            self.everybody(lambda: self.faults.all_power(self.world.cores, self.back))

    def all_killed(self) -> None:
        if self.quiet():
            self.everybody(lambda: self.faults.all_killed(self.world.cores, self.back))

    # --- beside the core

    def stop_edges(self) -> None:
        """Planned stops: all edges of some regions are told to end, together or a little apart."""
        regions = sorted({edge.host.region for edge in self.world.edges})
        chosen = self.random.sample(regions, self.random.randint(1, len(regions)))
        apart, away = self.random.choice((0.0, 0.3, 1.5)), self.random.choice((0.0, 8.5))
        for order, region in enumerate(chosen):
            for edge in self.world.edges:
                if edge.host.region == region:
                    self.world.time.after(apart * order, self.faults.terminate, edge, GRACE, away)

    def edge_fault(self) -> None:
        """An edge is killed, stops, or is cut off from some core machines."""
        edge = self.random.choice(self.world.edges)
        if not edge.running or edge.stopped:
            return
        kind = self.random.randrange(3)
        if kind == 0:
            self.faults.kill(edge, self.random.uniform(0.1, 1.0))
        elif kind == 1:
            self.faults.stop(edge, self.seconds())
        else:
            others = [core for core in self.world.cores if self.random.random() < 0.6]
            way = self.random.choice(((True, True), (True, False), (False, True)))
            self.faults.isolate(edge, self.seconds(), others=others, outgoing=way[0], incoming=way[1])

    def platform_cut(self) -> None:
        """The platform's list is out of reach for some core machines."""
        others = [core for core in self.world.cores if self.random.random() < 0.7]
        self.faults.isolate(self.world.platform, self.seconds(), others=others)
