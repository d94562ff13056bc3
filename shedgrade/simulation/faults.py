"""What can go wrong with a core, one method a kind. `nemesis` says when, and what may be lost at once."""

from __future__ import annotations

from shedgrade.replication.messages import (
    Ack,
    Fetch,
    HandOver,
    Heartbeat,
    Install,
    Installed,
    Prepare,
    Promise,
    Replicate,
)
from shedgrade.simulation.planned import PlannedWork


class Troubles(PlannedWork):
    """Needs what Nemesis has: world, clock, random, pick, lose, lost, for_a_while, some."""

    def node_kill(self, power: bool = False) -> None:
        machine = self.pick()
        if machine is not None:
            down = self.some() if power else 0.1 + 0.5 * self.random.random()
            self.lose(machine, down)
            machine.kill(power)
            self.clock.after(down, machine.start)

    def deaths(self) -> None:
        """The primary loses power, again and again, with time to recover between."""
        primaries = [m for m in self.world.machines if m.up and m.member.role == "primary"]
        if primaries and not self.stopped:
            machine = self.random.choice(primaries)
            self.lose(machine, 3.0)
            self.world.history.deaths.append(self.clock.now)
            machine.kill(True)
            self.clock.after(3.0, machine.start)
        self.clock.after(7.0 + 2 * self.random.random(), self.deaths)

    def power_off(self) -> None:
        self.node_kill(True)

    def wipe(self) -> None:
        machine = self.pick()
        if machine is not None:
            self.wiped(machine, self.some())

    def wiped(self, machine, down: float) -> None:
        self.lose(machine, down)
        machine.kill(True)
        machine.wipe()
        self.world.log("wiped", machine.name)
        self.clock.after(down, machine.start)

    def after_ack_kill(self) -> None:
        def strike(machine) -> None:
            machine = self.pick(machine)
            if machine is not None and not self.stopped:
                self.lose(machine, 2.0)
                self.clock.after(0.004 * self.random.random(), machine.kill, True)
                self.clock.after(2.0, machine.start)

        self.world.on_ack = strike

    def after_ack_wipe(self) -> None:
        def strike(machine) -> None:
            machine = self.pick(machine if self.random.random() < 0.6 else None)
            if machine is not None and not self.stopped:
                self.wiped(machine, 0.3 + 2 * self.random.random())

        self.world.on_ack = strike

    def freeze(self) -> None:
        machine = self.pick()
        if machine is not None and not machine.frozen:
            seconds = self.some()
            self.lose(machine, seconds)
            self.world.log(f"freeze {seconds:.2f}", machine.name)
            machine.freeze(True)
            self.for_a_while(seconds, lambda: machine.freeze(False))

    def disk_full(self) -> None:
        machine = self.pick()
        if machine is not None and not machine.full:
            seconds = self.some()
            self.lose(machine, seconds)
            self.world.log(f"disk full {seconds:.2f}", machine.name)
            machine.full = True

            def undo() -> None:
                machine.full = False

            self.for_a_while(seconds, undo)

    def disk_stall(self) -> None:
        machine = self.pick()
        if machine is not None and not machine.stalled:
            seconds = self.some()
            self.lose(machine, seconds)
            self.world.log(f"disk stalls {seconds:.2f}", machine.name)
            machine.stall(True)
            self.for_a_while(seconds, lambda: machine.stall(False))

    def disk_slow(self) -> None:
        machine = self.pick()
        if machine is not None and machine.sync == machine.usual_sync:
            seconds = self.some()
            self.lose(machine, seconds)
            machine.sync = machine.usual_sync * self.random.choice((10, 40, 150))
            self.world.log(f"disk slow {machine.sync:.2f} for {seconds:.2f}", machine.name)

            def undo() -> None:
                machine.sync = machine.usual_sync

            self.for_a_while(seconds, undo)

    def link_slow(self) -> None:
        machine, network = self.pick(), self.world.network
        if machine is not None and machine.address not in network.slow:
            seconds = self.some()
            self.lose(machine, seconds)
            network.slow[machine.address] = self.random.choice((0.05, 0.3, 1.0))
            self.world.log(f"slow {network.slow[machine.address]} for {seconds:.2f}", machine.name)
            self.for_a_while(seconds, lambda: network.slow.pop(machine.address, None))

    def core_cut(self, one_way: bool = False) -> None:
        """One machine from all others."""
        machine = self.pick()
        if machine is None:
            return
        out = self.random.random() < 0.5
        pairs = [
            (a, b)
            for other in self.world.machines
            if other is not machine
            for a, b in ((machine, other), (other, machine))
            if not one_way or (a is machine) == out
        ]
        self.cut(machine, pairs)

    def core_cut_one_way(self) -> None:
        self.core_cut(True)

    def isolate(self) -> None:
        """The primary from the others, while clients reach it."""
        machine = self.pick()
        primaries = [m for m in self.world.machines if m.up and m.member.role == "primary"]
        if machine is None or not primaries:
            return
        machine = self.random.choice(primaries)
        others = [other for other in self.world.machines if other is not machine]
        kept = self.random.choice(others) if others and self.random.random() < 0.3 else None
        out = self.random.random() < 0.6
        self.cut(
            machine,
            [
                pair
                for other in others
                if other is not kept
                for pair in ((machine, other), (other, machine))
                if out or pair[0] is other
            ],
            self.random.choice((0.9, 1.5, 3.0, 5.0)),
        )

    def link_cut(self) -> None:
        """One link between two machines, both ways or one way. The one machine counts as lost."""
        machine = self.pick()
        others = [other for other in self.world.machines if other is not machine]
        if machine is None or not others:
            return
        other = self.random.choice(others)
        pairs = [(machine, other), (other, machine)]
        self.cut(machine, pairs if self.random.random() < 0.5 else [self.random.choice(pairs)])

    def region_cut(self) -> None:
        """A region from the others; each machine there counts."""
        region = self.random.choice(("r0", "r1", "r2"))
        inside = [m for m in self.world.machines if m.region == region and m.up]
        lost = self.lost() | {m.name for m in inside}
        if self.world.bounded and len(lost) > self.world.tolerated:
            return
        one_way = self.random.random() < 0.4
        pairs = [
            (a, b)
            for m in inside
            for other in self.world.machines
            if other.region != region
            for a, b in ((m, other), (other, m))
            if not one_way or a is m
        ]
        seconds = self.some()
        for machine in inside:
            self.lose(machine, seconds)
        self.cut(None, pairs, seconds)

    def partition(self) -> None:
        """Two sides, drawn machine by machine, spares among them."""
        sides: tuple[list, list] = [], []
        for machine in self.world.machines:
            self.random.choice(sides).append(machine)
        pairs = [pair for a in sides[0] for b in sides[1] for pair in ((a, b), (b, a))]
        if pairs:
            self.cut(None, pairs, self.random.choice((1.5, 3.0, 5.0)))

    def cut(self, machine, pairs, seconds: float | None = None) -> None:
        seconds = seconds or self.some()
        network, pairs = self.world.network, [(a.address, b.address) for a, b in pairs]
        if machine is not None:
            self.lose(machine, seconds)
        self.world.log(
            f"cut {seconds:.2f}",
            " ".join(f"{self.world.by_address[a].name}>{self.world.by_address[b].name}" for a, b in pairs),
        )
        for pair in pairs:
            network.cut(*pair)
        self.for_a_while(seconds, lambda: [network.join(*pair) for pair in pairs])

    def founding_trouble(self) -> None:
        """Founders that do not hear each other at first."""
        addresses = [machine.address for machine in self.world.machines[:3]]
        pairs = [(a, b) for a in addresses for b in addresses if a != b and self.random.random() < 0.6]
        seconds = 4 * self.random.random()
        self.world.history.trouble.append((0.0, seconds))
        for pair in pairs:
            self.world.network.cut(*pair)
        self.for_a_while(seconds, lambda: [self.world.network.join(*pair) for pair in pairs])

    def ambush(self) -> None:
        """Strike at the sender or receiver of the next message of a kind that matters."""
        kind = self.random.choice(self.KINDS)
        skip = self.random.randint(0, 3)

        def look(sender: str, to: str, message) -> None:
            nonlocal skip
            if type(message) is not kind or self.stopped:
                return
            skip -= 1
            if skip < 0:
                self.world.network.ambush = None
                ends = [self.world.by_address.get(each) for each in (sender, to)]
                self.random.shuffle(ends)
                two = self.world.profile == "storm" and self.random.random() < 0.4
                for machine in ends if two else ends[:1]:
                    delay = self.random.choice((0.0, 0.002, 0.01, 0.07, 0.3)) * self.random.random()
                    self.clock.after(delay, self.strike, machine, kind.__name__)
                if self.random.random() < 0.5:
                    self.ambush()

        self.world.network.ambush = look

    def strike(self, machine, why: str) -> None:
        if machine is None or self.stopped or self.pick(machine) is not machine:
            return
        seconds = self.random.choice((0.1, 0.3, 0.8, 1.2, 3.0)) * (0.5 + self.random.random())
        self.lose(machine, seconds)
        how = self.random.choice(("power", "freeze", "kill"))
        self.world.log(f"ambush at {why}: {how} {seconds:.2f}", machine.name)
        if how == "freeze" and not machine.frozen:
            machine.freeze(True)
            self.for_a_while(seconds, lambda: machine.freeze(False))
        elif how != "freeze":
            machine.kill(how == "power")
            self.clock.after(seconds, machine.start)

    KINDS = (Prepare, Promise, Install, Installed, Replicate, Ack, Heartbeat, Fetch, HandOver)

    def all_power(self, power: bool = True) -> None:
        """All lose power, or all processes are killed, and come back in any order."""
        world = self.world
        if world.bounded and self.lost():
            return
        last = 0.0
        for machine in world.machines:
            machine.kill(power)
            back = 0.5 + 2 * self.random.random()
            last = max(last, back)
            self.lose(machine, back)
            self.clock.after(back, machine.start)
        world.history.restarts.append(self.clock.now + last)

    def all_killed(self) -> None:
        self.all_power(False)

    def after_ack_power(self) -> None:
        """All lose power right after an acknowledgement."""
        self.world.on_ack = lambda machine: self.stopped or self.all_power()

    def wipe_and_power(self) -> None:
        """Right after an acknowledgement as many as tolerated lose their disks, all others their power."""

        def strike(machine) -> None:
            world = self.world
            if self.stopped or (world.bounded and self.lost()):
                return
            others = [m for m in world.machines if m is not machine]
            self.random.shuffle(others)
            wiped = (
                others[: world.tolerated]
                if self.random.random() < 0.4 or machine not in world.machines
                else [machine, *others[: world.tolerated - 1]]
            )
            world.log("wipe and power", " ".join(m.name for m in wiped))
            last = 0.0
            for each in world.machines:
                each.kill(True)
                if each in wiped:
                    each.wipe()
                back = 0.5 + 2 * self.random.random()
                last = max(last, back)
                self.lose(each, back)
                self.clock.after(back, each.start)
            world.history.restarts.append(self.clock.now + last)

        if self.world.bounded:
            self.world.on_ack = strike
