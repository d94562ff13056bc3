"""Planned work and changes of members: ends that are asked for, machines replaced, a loss after a repair."""

from __future__ import annotations

GRACE = 8.0  # s from SIGTERM to SIGKILL


class PlannedWork:
    """Needs what Nemesis has, and `wiped` of Troubles."""

    def roll(self) -> None:
        """Every machine is told to end, one after the other, and starts again."""
        if self.world.bounded and self.lost():
            return
        gap = self.random.choice((0.5, 1.0, 2.0))
        at = 0.0
        for machine in list(self.world.machines):
            self.clock.after(at, self.terminate, machine, None)
            at += gap + 4.5
        self.lost_until["roll"] = self.clock.now + at + self.catch_up

    def terminate(self, machine, then) -> None:
        """SIGTERM, and a start soon after its end."""
        if not machine.up or self.stopped:
            return
        self.world.log("terminate", machine.name)
        now, down = self.clock.now, 0.1 + 0.5 * self.random.random()
        self.world.history.trouble.append((now, now + 0.001))
        latest = now + GRACE + down + self.catch_up
        self.lost_until[machine.name] = max(self.lost_until.get(machine.name, 0.0), latest)

        def ended() -> None:
            self.lost_until[machine.name] = 0.0
            self.lose(machine, down)
            self.clock.after(down, then or machine.start)

        machine.terminate(GRACE, ended)

    def leave_after_wipe(self) -> None:
        """A disk is lost; before that machine counts again another is told to end, and its disk goes, too."""
        first, world = self.pick(), self.world
        if first is None or (world.bounded and self.lost()):
            return
        down = 0.2 + 1.3 * self.random.random()
        self.wiped(first, down)
        second = self.random.choice([machine for machine in world.machines if machine is not first])
        # the first counts again before the grace of the second is over
        self.clock.after((down + 0.5) * self.random.random(), self.leave_and_lose_disk, second)

    def leave_and_lose_disk(self, machine) -> None:
        def again() -> None:
            machine.wipe()
            machine.start()

        if machine.up and not self.stopped:
            self.terminate(machine, again)

    def replace(self) -> None:
        """A machine is told to end and goes for good; a spare with an empty disk comes for it elsewhere."""
        machine, world = self.pick(), self.world
        if machine is None or world.made > 12 or (world.bounded and self.lost()):
            return

        def spare() -> None:
            if machine in world.machines and not machine.up:
                world.machines.remove(machine)
                world.log("removed", machine.name)
                new = world.add(
                    machine.region, machine.address.replace(".0.", f".{world.made + 10}."), machine.usual_sync
                )
                self.lose(new, 0.5)
                self.clock.after(0.5, new.start)

        self.lost_until["replace"] = self.clock.now + 2 + 2 * self.catch_up
        self.terminate(machine, spare)

    def replace_dead(self) -> None:
        """Machines die for good; spares with empty disks come for them elsewhere, soon or late."""
        if not self.world.bounded or self.lost() or self.world.made > 12:
            return
        wait = self.random.choice((0.0, 0.5, 2.0, 4.0)) * (0.5 + self.random.random())
        for _ in range(self.random.randint(1, self.world.tolerated)):
            machine = self.pick()
            if machine is not None:
                self.remove(machine, wait)
        self.clock.after(wait + self.catch_up + 0.002, self.lose_more)

    def remove(self, machine, wait: float) -> None:
        """The machine is gone with its disk; its successor starts after `wait` s."""
        world = self.world
        self.lose(machine, wait)
        machine.kill(True)
        world.machines.remove(machine)
        world.log("dead", machine.name)
        new = world.add(
            machine.region, machine.address.replace(".0.", f".{world.made + 10}."), machine.usual_sync
        )
        self.lost_until[new.name] = self.lost_until.pop(machine.name)
        self.clock.after(wait, new.start)

    def second_loss(self) -> None:
        """Disks are lost; when those machines count again others lose theirs."""
        if not self.world.bounded or self.lost():
            return
        down = self.some()
        for _ in range(self.random.randint(1, self.world.tolerated)):
            machine = self.pick()
            if machine is not None:
                self.wiped(machine, down)
        self.clock.after(down + self.catch_up + 0.002, self.lose_more)

    def lose_more(self) -> None:
        """As many holders as may be lost now lose their disks."""
        machine = None if self.stopped else self.pick_holder()
        while machine is not None:
            self.wiped(machine, self.some())
            machine = self.pick_holder()

    def pick_holder(self):
        holders = [
            machine
            for machine in self.world.machines
            if machine.up and machine.member.role in ("primary", "backup")
        ]
        self.random.shuffle(holders)
        lost = self.lost()
        return self.pick(next((machine for machine in holders if machine.name not in lost), None))
