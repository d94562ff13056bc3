"""Turns the faults of a scenario into single steps on a timeline, without I/O.

`plan` orders the steps by time. It tracks which machines are alive, so that overlapping faults pick among
machines that exist, and draws from the scenario's seed. The runner carries the steps out.
"""

from math import ceil
from random import Random

from msgspec import Struct

from shedgrade.lab.scenario import Fault, Scenario

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
ALL = "*"  # every origin


class Machine(Struct):
    """A stand-in upstream.

    name: its id, unique in the run
    group: index of its group in the scenario's fleet
    zone: name of its zone
    slot: number of its address, which a successor may reuse
    planned: seconds of the run; from then on another fault has claimed the machine
    """

    name: str
    group: int
    zone: str
    slot: int
    planned: float = float("inf")


class Step(Struct):
    """One action on one target.

    at: seconds of the run
    who: an upstream's name, `discovery`, or a sidecar's number as text
    what: the action
    args: arguments of the action
    """

    at: float
    who: str
    what: str
    args: dict = {}


class Planner:
    """Collects the steps of all faults and tracks the machines that are alive."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.steps = scenario, []
        self.random = Random(f"{scenario.seed}/faults")
        self.machines: list[Machine] = []
        self.alive: list[Machine] = []
        for group_number, group in enumerate(scenario.fleet.groups):
            for _ in range(group.count):
                self.alive.append(self.add_machine(group_number))
        self.first = list(self.alive)

    def add_machine(self, group: int, slot: int | None = None) -> Machine:
        number = len(self.machines)
        zone = self.scenario.fleet.groups[group].zone
        machine = Machine(f"u{number:04d}", group, zone, number if slot is None else slot)
        self.machines.append(machine)
        return machine

    def add_step(self, at: float, who: str, what: str, **args) -> None:
        self.steps.append(Step(round(at, 4), who, what, args))

    def pick(self, fault: Fault) -> list[Machine]:
        """Returns the machines that a fault affects: those it names, else a sample of its zone or of all.

        The sample has the fault's count or share, at least one machine; a zone given without either is taken
        whole.
        """
        if fault.upstreams:
            return [self.first[number] for number in fault.upstreams]
        candidates = [
            machine
            for machine in self.alive
            if machine.planned > fault.at_s and (not fault.zone or machine.zone == fault.zone)
        ]
        if not candidates:
            return []
        whole = fault.zone and not fault.share and not fault.count
        wanted = len(candidates) if whole else fault.count or max(1, round(fault.share * len(candidates)))
        return self.random.sample(candidates, min(wanted, len(candidates)))

    # --- lifecycle of a machine

    def plan_start(self, at: float, machine: Machine) -> None:
        self.add_step(at, machine.name, "start", group=machine.group, slot=machine.slot, cold=True)
        self.add_step(
            at, machine.name, "list", lifecycle=IN_SERVICE, slot=machine.slot, group=machine.group, started=at
        )

    def plan_drain(self, at: float, machine: Machine, drain: float) -> None:
        """Plans an orderly shutdown: the machine drains for `drain` seconds, then ends."""
        machine.planned = at
        self.add_step(at, machine.name, "drain")
        self.add_step(at, machine.name, "list", lifecycle=TERMINATING)
        self.add_step(at + drain, machine.name, "kill")
        self.add_step(at + drain, machine.name, "list", lifecycle=TERMINATED)
        self.alive.remove(machine)

    def add_successor(self, at: float, machine: Machine, slot: int | None = None) -> Machine:
        successor = self.add_machine(machine.group, slot)
        self.plan_start(at, successor)
        self.alive.append(successor)
        return successor

    def plan_kill(self, at: float, machine: Machine, restart_at: float | None, new_address: bool) -> None:
        self.add_step(at, machine.name, "kill")
        self.add_step(at, machine.name, "list", lifecycle=TERMINATED)
        if restart_at is None:
            machine.planned = at
            if machine in self.alive:
                self.alive.remove(machine)
        else:
            if new_address:
                machine.slot = self.add_machine(machine.group).slot
            self.plan_start(restart_at, machine)

    def plan_switch(self, fault: Fault, machine: Machine, what: str, on: dict, off: dict) -> None:
        self.add_step(fault.at_s, machine.name, what, **on)
        if fault.for_s:
            self.add_step(fault.at_s + fault.for_s, machine.name, what, **off)

    # --- faults

    def add_fault(self, fault: Fault) -> None:
        at, until = fault.at_s, fault.at_s + fault.for_s
        kind = fault.kind
        if kind in ("kill", "restart"):
            for machine in self.pick(fault):
                self.plan_kill(at, machine, until if kind == "restart" else None, fault.elsewhere)
        elif kind == "slow":
            for machine in self.pick(fault):
                self.plan_slowdown(fault, machine)
        elif kind in ("hang", "refuse"):
            for machine in self.pick(fault):
                self.plan_switch(fault, machine, kind, {"on": True}, {"on": False})
        elif kind == "spoil":
            for machine in self.pick(fault):
                self.plan_switch(fault, machine, kind, {"share": fault.factor}, {"share": 0.0})
        elif kind == "cut":
            for machine in self.pick(fault):
                self.plan_switch(fault, machine, kind, {"zones": [ALL]}, {"zones": []})
        elif kind == "reset":
            for machine in self.pick(fault):
                self.add_step(at, machine.name, "reset")
        elif kind == "drain":
            for machine in self.pick(fault):
                self.plan_drain(at, machine, fault.drain_ms / 1000)
        elif kind == "shrink":
            chosen = self.pick(fault)
            for number, machine in enumerate(chosen):
                self.plan_drain(
                    at + fault.for_s * number / max(1, len(chosen)), machine, fault.drain_ms / 1000
                )
        elif kind == "grow":
            models = self.pick(Fault(kind="grow", at_s=at, zone=fault.zone, share=1.0)) or self.first
            for number in range(fault.count or 1):
                self.add_successor(
                    at + fault.for_s * number / max(1, fault.count), models[number % len(models)]
                )
        elif kind in ("deploy", "churn"):
            self.plan_replacement(fault)
        elif kind == "zone_loss":
            for machine in [machine for machine in self.alive if machine.zone == fault.zone]:
                if fault.silent:
                    self.plan_switch(fault, machine, "cut", {"zones": [ALL]}, {"zones": []})
                else:
                    self.plan_kill(at, machine, until if fault.for_s else None, False)
        elif kind == "zone_cut":
            others = [zone for zone in self.scenario.fleet.zones if zone != fault.zone]
            for machine in self.alive:
                unreachable = others if machine.zone == fault.zone else [fault.zone]
                self.plan_switch(fault, machine, "cut", {"zones": unreachable}, {"zones": []})
        elif kind.startswith("discovery"):
            self.add_step(at, "discovery", kind, on=True, late=fault.late_ms / 1000)
            if fault.for_s:
                self.add_step(until, "discovery", kind, on=False, late=0.0)
        else:
            who = str(fault.sidecar)
            what = kind.removeprefix("sidecar_")
            self.add_step(at, who, what)
            if what == "stop":
                self.add_step(at + (fault.for_s or 2.0), who, "continue")
            elif what in ("kill", "term"):
                self.add_step(at + max(fault.for_s, 0.0), who, "start_again")

    def plan_slowdown(self, fault: Fault, machine: Machine) -> None:
        """Slows a machine down for good, for a time, or on and off as a noisy neighbour does.

        `period_s` is the mean duration in seconds of a slow phase and of a normal phase.
        """
        at, until = fault.at_s, fault.at_s + fault.for_s if fault.for_s else self.scenario.length_s
        if not fault.period_s:
            self.plan_switch(fault, machine, "speed", {"factor": fault.factor}, {"factor": 1.0})
            return
        on = True
        while at < until:
            self.add_step(at, machine.name, "speed", factor=fault.factor if on else 1.0)
            at, on = at + fault.period_s * self.random.uniform(0.5, 1.5), not on
        self.add_step(until, machine.name, "speed", factor=1.0)

    def plan_replacement(self, fault: Fault) -> None:
        """Replaces machines: successors start cold, batch by batch, while their predecessors drain.

        A churn replaces them one by one, each under a new id. A successor reuses, with probability 0.5, the
        address of a machine that has gone.
        """
        drain = fault.drain_ms / 1000
        if fault.kind == "churn":
            every = fault.period_s or 1.0
            at, gone = fault.at_s, []
            until = fault.at_s + (fault.for_s or self.scenario.length_s - fault.at_s)
            while at < until and self.alive:
                machine = self.random.choice(self.alive)
                reusable = [departed for departed in gone if departed[0] <= at]
                slot = None
                if reusable and self.random.random() < 0.5:
                    gone.remove(reusable[0])
                    slot = reusable[0][1]
                self.add_successor(at, machine, slot)
                self.plan_drain(at, machine, drain)
                gone.append((at + drain + 0.2, machine.slot))
                at += every
            return
        whole = Fault(kind="deploy", at_s=fault.at_s, zone=fault.zone, share=fault.share or 1.0)
        chosen = self.pick(whole)
        size = max(1, round(fault.batch * len(self.alive)))
        batches = ceil(len(chosen) / size)
        for number in range(batches):
            at = fault.at_s + fault.for_s * number / max(1, batches)
            for machine in chosen[number * size : (number + 1) * size]:
                self.add_successor(at, machine)
                self.plan_drain(at, machine, drain)


def plan(scenario: Scenario) -> tuple[list[Machine], list[Step], list[Machine]]:
    """Returns the machines at the start, all steps in order of time, and every machine of the run."""
    planner = Planner(scenario)
    for fault in sorted(scenario.faults, key=lambda fault: fault.at_s):
        planner.add_fault(fault)
    steps = sorted(planner.steps, key=lambda step: step.at)
    return planner.first, [step for step in steps if step.at < scenario.length_s + 5], planner.machines
