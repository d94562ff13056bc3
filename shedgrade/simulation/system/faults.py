"""What can go wrong with machines, disks, links and clocks, one method a kind. Each ends by itself.

A scripted run calls these at exact times; `schedule.FaultSchedule` calls them by seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from shedgrade.simulation.system.machine import Machine

Pair = tuple[str, str]  # (sender's IP, receiver's IP)


class Faults:
    """Faults of one world. `active` holds what ends faults that last; `end_all` ends them now."""

    def __init__(self, world) -> None:
        self.world, self.time, self.network = world, world.time, world.network
        self.active: list[Callable[[], None]] = []

    def lasting(self, seconds: float, undo: Callable[[], None]) -> None:
        """Calls `undo` once: after the time, or when all faults end."""

        def once() -> None:
            if once in self.active:
                self.active.remove(once)
                undo()

        self.active.append(once)
        self.time.after(seconds, once)

    def end_all(self) -> None:
        """Every fault ends, and every machine runs."""
        for undo in list(self.active):
            undo()
        for machine in self.world.machines():
            machine.power_up()
            machine.thaw()

    def note(self, what: str, who: str) -> None:
        self.world.history.note(what, who)

    # --- processes and power

    def stop(self, machine: Machine, seconds: float) -> None:
        """SIGSTOP, and SIGCONT after the time."""
        if machine.running and not machine.stopped:
            loop = machine.loop
            machine.stop()
            self.lasting(seconds, lambda: machine.thaw() if machine.loop is loop else None)

    def kill(self, machine: Machine, seconds: float) -> None:
        """SIGKILL, and a start after the time."""
        machine.kill()
        self.lasting(seconds, machine.start)

    def power_off(self, machine: Machine, seconds: float) -> None:
        machine.lose_power()
        self.lasting(seconds, machine.power_up)

    def wipe(self, machine: Machine, seconds: float) -> None:
        """Power is lost, and it comes back with an empty disk."""
        machine.lose_power()
        machine.wipe()
        self.lasting(seconds, machine.power_up)

    def terminate(self, machine: Machine, grace_s: float = 8.0, away_s: float = 0.0) -> None:
        """SIGTERM; the platform starts it again when it has ended, and `away_s` have passed."""
        machine.terminate(grace_s, away_s)

    def all_power(
        self, machines: Iterable[Machine], seconds: Callable[[], float], wiped: Iterable[Machine] = ()
    ) -> None:
        """All lose power at once, those `wiped` their disks too; each returns after a time of its own."""
        wiped = tuple(wiped)
        for machine in machines:
            (self.wipe if machine in wiped else self.power_off)(machine, seconds())

    def all_killed(self, machines: Iterable[Machine], seconds: Callable[[], float]) -> None:
        for machine in machines:
            self.kill(machine, seconds())

    # --- links

    def cut(self, pairs: Iterable[Pair], seconds: float) -> None:
        """These directions are silent; what TCP has under way comes late."""
        pairs = tuple(pairs)
        self.note(f"cut for {seconds:.2f}", " ".join(f"{sender}>{receiver}" for sender, receiver in pairs))
        for pair in pairs:
            self.network.cut(*pair)

        def join() -> None:
            self.note("joined", " ".join(f"{sender}>{receiver}" for sender, receiver in pairs))
            for pair in pairs:
                self.network.join(*pair)

        self.lasting(seconds, join)

    def isolate(
        self,
        machine: Machine,
        seconds: float,
        *,
        others: Iterable[Machine] | None = None,
        outgoing: bool = True,
        incoming: bool = True,
    ) -> None:
        """Cuts it off from `others`, by default all other core machines; operators still reach it."""
        own = machine.host.ip
        others = [
            other.host.ip
            for other in (self.world.cores if others is None else others)
            if other is not machine
        ]
        pairs = [(own, other) for other in others if outgoing]
        self.cut(pairs + [(other, own) for other in others if incoming], seconds)

    def split(self, inside: Iterable[str], seconds: float, one_way: bool = False) -> None:
        """Hosts inside from all others, by IP; `one_way`: only what they send is lost."""
        inside = set(inside)
        pairs = [
            pair
            for one in sorted(inside)
            for other in self.network.hosts
            if other not in inside
            for pair in ((one, other), (other, one))
        ]
        self.cut([pair for pair in pairs if not one_way or pair[0] in inside], seconds)

    def slow_link(self, machine: Machine, seconds: float, more_s: float) -> None:
        """Its links take so much longer."""
        machine.host.slow_s += more_s
        self.note(f"slow by {more_s} for {seconds:.2f}", machine.name)

        def undo() -> None:
            machine.host.slow_s -= more_s

        self.lasting(seconds, undo)

    def reset_connections(self, machine: Machine) -> None:
        """All its connections are reset."""
        self.note("connections reset", machine.name)
        for connection in list(self.network.connections):
            if machine.host in (connection.near.host, connection.far.host):
                connection.reset_arrives(connection.near)
                connection.reset_arrives(connection.far)

    # --- disks and clocks

    def disk_stall(self, machine: Machine, seconds: float) -> None:
        self.note(f"disk stalls for {seconds:.2f}", machine.name)
        machine.disk.stall(True)
        self.lasting(seconds, lambda: machine.disk.stall(False))

    def disk_slow(self, machine: Machine, seconds: float, slowness: float) -> None:
        self.note(f"disk slow by {slowness:.0f} for {seconds:.2f}", machine.name)
        machine.disk.slowness = slowness

        def undo() -> None:
            machine.disk.slowness = 1.0

        self.lasting(seconds, undo)

    def disk_full(self, machine: Machine, seconds: float) -> None:
        self.note(f"disk full for {seconds:.2f}", machine.name)
        machine.disk.files.full = True

        def undo() -> None:
            machine.disk.files.full = False

        self.lasting(seconds, undo)

    def clock_step(self, machine: Machine, step_s: float) -> None:
        """Its time of day moves; its steady clock goes on."""
        self.note(f"clock steps by {step_s:.1f}", machine.name)
        machine.clock_skew += step_s
