"""A disk that is full, hangs or is slow from any of a member's writes on: the other members continue without
it, no acknowledged change is lost, and after the fault the member is needed and used again.
"""

import pytest

from shedgrade.simulation.machine import Machine
from shedgrade.simulation.replica_outages import ReplicaOutageRun

FAULT_S, HEALTHY_S = 3.0, 4.0  # duration of the fault, and from its end to the loss of another machine
SLOW_SYNC_S = 0.6  # per write
MAX_ACK_GAP_S = 2.5  # between two acknowledgements while one of three machines hands over its role


class DiskFaultRun(ReplicaOutageRun):
    """A run with a disk fault. Once the disk has worked for HEALTHY_S again, another holder loses its power.

    The fault begins at write `write_number` of the first machine that reaches it, or of the second machine if
    `second` is set.
    """

    RECOVERY_S = 6.0

    def __init__(self, seed: int, kind: str, write_number: int, second: bool):
        super().__init__(seed, 1, machine_class=CountingMachine, length=14.0)
        self.pace, self.padding = 0.1, 100
        self.network.inter_region_delay_s, self.network.bandwidth = 0.02, 0.0
        self.kind, self.write_number, self.skip = kind, write_number, second
        self.fault_began_at: float | None = None
        self.acknowledged_at: list[float] = []
        self.faulty = self.lost = None

    def on_write(self, machine: Machine, writes: int) -> None:
        if writes == self.write_number and self.fault_began_at is None and self.skip:
            self.skip = False
        elif writes == self.write_number and self.fault_began_at is None:
            self.fault_began_at, self.faulty, self.usual_sync_s = self.clock.now, machine, machine.sync_s
            self.set_fault(True)
            self.clock.after(FAULT_S, self.set_fault, False)
            self.clock.after(FAULT_S + HEALTHY_S, self.lose_another_machine)

    def set_fault(self, on: bool) -> None:
        if self.kind == "full":
            self.faulty.disk_full = on
        elif self.kind == "hangs":
            self.faulty.set_disk_stalled(on)
        else:
            self.faulty.sync_s = SLOW_SYNC_S if on else self.usual_sync_s

    def lose_another_machine(self) -> None:
        """After this the machine whose disk was faulty is one of the two that must continue."""
        others = [machine for machine in self.machines if machine is not self.faulty]
        self.lost = next((machine for machine in others if machine.member.replica.is_holder()), others[0])
        self.lost.lose_power()

    def next_fault(self) -> None:
        """Injects no other faults."""

    def play(self) -> list[str]:
        self.clock.after(0.0, self.watch, sum(self.history.acknowledged))
        violations = super().play()
        assert self.lost is not None, "the fault never began"
        return [each for each in violations if not each.startswith(f"{self.lost.name} is at None")]

    def watch(self, before: int) -> None:
        now = sum(self.history.acknowledged)
        if now > before:
            self.acknowledged_at.append(self.clock.now)
        if self.clock.now < self.length:
            self.clock.after(0.01, self.watch, now)

    def longest_gap(self) -> float:
        times = [
            at
            for at in (self.fault_began_at, *self.acknowledged_at, self.length)
            if at >= max(self.fault_began_at, 2.5)
        ]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


class CountingMachine(Machine):
    writes = 0

    def persist(self, effect):
        persist = super().persist
        self.environment.on_write(self, self.writes)
        self.writes += 1
        persist(effect)


@pytest.mark.parametrize("kind", ["full", "hangs", "slow"])
def test_a_member_with_a_disk_fault_hands_over_its_role_and_is_used_again_afterwards(kind):
    for at in (*range(7), 20, 40):
        run = DiskFaultRun(at, kind, at, second=at % 2 == 1)
        assert run.play() == [], (kind, at)
        assert run.longest_gap() < MAX_ACK_GAP_S, (kind, at)
