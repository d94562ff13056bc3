"""Troubles by seed: what a deployment's days hold for core machines."""

from __future__ import annotations

from shedgrade.simulation.faults import Troubles

CATCH_UP = 4.0  # s after its return until a machine counts again


class Nemesis(Troubles):
    """In "fair" and "members" at most `tolerated` machines are lost at once, each until `catch_up` s after
    its return."""

    FAIR = (
        "node_kill",
        "power_off",
        "wipe",
        "after_ack_kill",
        "after_ack_wipe",
        "freeze",
        "disk_full",
        "disk_stall",
        "disk_slow",
        "link_slow",
        "core_cut",
        "core_cut_one_way",
        "link_cut",
        "region_cut",
        "roll",
        "replace",
        "leave_after_wipe",
        "second_loss",
        "replace_dead",
        "ambush",
        "ambush",
        "all_power",
        "all_killed",
        "after_ack_power",
        "wipe_and_power",
    )
    MEMBERS = (
        "wipe",
        "after_ack_wipe",
        "wipe_and_power",
        "node_kill",
        "link_cut",
        "core_cut",
        "freeze",
        "ambush",
        "roll",
        "replace",
        *2 * ("leave_after_wipe", "second_loss", "replace_dead"),
    )
    SPLIT = ("isolate", "isolate", "isolate", "freeze", "link_cut", "ambush", "node_kill")
    STORM = (
        "node_kill",
        "power_off",
        "after_ack_kill",
        "freeze",
        "freeze",
        "disk_full",
        "disk_stall",
        "disk_slow",
        "link_slow",
        "core_cut",
        "core_cut_one_way",
        "region_cut",
        "all_power",
        "all_killed",
        *3 * ("link_cut", "ambush"),
        *2 * ("after_ack_power", "isolate", "isolate", "partition"),
    )

    def __init__(self, world):
        self.world, self.clock, self.random = world, world.clock, world.random
        # "members" asks that the promise holds again after half of the operators' `catchUpS`; a repair that
        # another tolerated loss holds up may take three quarters of it
        self.catch_up = CATCH_UP
        if world.profile == "members":
            self.catch_up *= 0.5 if world.tolerated == 1 else 0.75
        self.lost_until: dict[str, float] = {}
        self.undo: list = []
        self.stopped = False

    # --- who may be lost

    def lost(self) -> set[str]:
        now = self.clock.now
        return {name for name, until in self.lost_until.items() if until > now}

    def pick(self, preferred=None):
        """A machine that may be lost now, or None."""
        world = self.world
        lost = self.lost()
        free = [m for m in world.machines if m.name not in lost and m.up]
        if (world.bounded and len(lost) >= world.tolerated) or not free:
            return None
        if preferred is not None and preferred in free:
            return preferred
        primaries = [m for m in free if m.member.role == "primary"]
        return self.random.choice(primaries if primaries and self.random.random() < 0.5 else free)

    def lose(self, machine, seconds: float) -> None:
        now = self.clock.now
        until = now + seconds + self.catch_up
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), until)
        self.world.history.trouble.append((now, now + seconds))

    # --- time

    def next(self) -> None:
        if self.stopped:
            return
        storm = self.world.profile == "storm"
        kinds = (self.SPLIT if self.world.split else self.STORM) if storm else self.FAIR
        if self.world.profile == "members":
            kinds = self.MEMBERS
        name = self.random.choice(kinds)
        getattr(self, name)()
        gaps = (0.02, 0.2, 0.6, 1.5) if storm else (0.1, 1.0, 4.0, 9.0)
        if self.world.split:
            gaps = (0.5, 1.5, 3.0)
        gap = self.random.choice(gaps)
        self.clock.after(gap * (0.5 + self.random.random()), self.next)

    def heal(self) -> None:
        """All troubles end; every machine is up."""
        self.stopped = True
        now = self.clock.now
        self.world.network.loss = self.world.network.doubled = 0.0
        for call in list(self.undo):
            call()
        for machine in self.world.machines:
            machine.start()
        self.world.history.trouble = [(a, min(b, now)) for a, b in self.world.history.trouble]
        self.world.history.trouble.append((now, now + 0.001))
        self.world.log("healed")

    def for_a_while(self, seconds: float, undo) -> None:
        """Call `undo` once, after the time or at the end of troubles."""

        def once() -> None:
            if once in self.undo:
                self.undo.remove(once)
                undo()

        self.undo.append(once)
        self.clock.after(seconds, once)

    def some(self) -> float:
        return self.random.choice((0.2, 0.6, 0.9, 1.2, 3.0, 6.0)) * (0.5 + self.random.random())
