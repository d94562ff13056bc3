"""A disk that refuses, hangs or is slow from any of a member's writes on: the others go on without it,
nothing acknowledged is lost, and after the trouble the member counts again."""

import pytest

from shedgrade.simulation.machine import Machine
from shedgrade.simulation.replica_outages import ReplicaOutageRun

TROUBLE_SECONDS, CATCH_UP = 3.0, 4.0
SLOW_SYNC = 0.6  # seconds a write
WORST_GAP = 2.5  # seconds between two acknowledgements while one of three machines gives its part away


class TroubledRun(ReplicaOutageRun):
    """The disk of the machine that is the first (`second`: the second) to come to its write `at` falls ill
    then; once it is well for CATCH_UP seconds, another holder loses power for good."""

    RECOVERY_S = 6.0

    def __init__(self, seed: int, kind: str, at: int, second: bool):
        super().__init__(seed, 1, machine_class=CountingMachine, length=14.0)
        self.pace, self.padding = 0.1, 100
        self.network.between_s, self.network.bandwidth = 0.02, 0.0
        self.kind, self.at, self.skip = kind, at, second
        self.began: float | None = None
        self.acks: list[float] = []
        self.ill = self.lost = None

    def count(self, machine: Machine, writes: int) -> None:
        if writes == self.at and self.began is None and self.skip:
            self.skip = False
        elif writes == self.at and self.began is None:
            self.began, self.ill, self.usual_sync_s = self.clock.now, machine, machine.sync_s
            self.set_trouble(True)
            self.clock.after(TROUBLE_SECONDS, self.set_trouble, False)
            self.clock.after(TROUBLE_SECONDS + CATCH_UP, self.lose_another)

    def set_trouble(self, on: bool) -> None:
        if self.kind == "full":
            self.ill.disk_full = on
        elif self.kind == "hangs":
            self.ill.set_disk_stalled(on)
        else:
            self.ill.sync_s = SLOW_SYNC if on else self.usual_sync_s

    def lose_another(self) -> None:
        """With it gone the machine that was ill is one of the two that must go on."""
        others = [machine for machine in self.machines if machine is not self.ill]
        self.lost = next((machine for machine in others if machine.member.replica.is_holder()), others[0])
        self.lost.lose_power()

    def next_fault(self) -> None:
        """No other plan."""

    def play(self) -> list[str]:
        self.clock.after(0.0, self.watch, sum(self.history.acknowledged))
        wrong = super().play()
        assert self.lost is not None, "the trouble was never reached"
        return [each for each in wrong if not each.startswith(f"{self.lost.name} is at None")]

    def watch(self, before: int) -> None:
        now = sum(self.history.acknowledged)
        if now > before:
            self.acks.append(self.clock.now)
        if self.clock.now < self.length:
            self.clock.after(0.01, self.watch, now)

    def longest_gap(self) -> float:
        times = [at for at in (self.began, *self.acks, self.length) if at >= max(self.began, 2.5)]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


class CountingMachine(Machine):
    writes = 0

    def persist(self, effect):
        super_persist = super().persist
        self.environment.count(self, self.writes)
        self.writes += 1
        super_persist(effect)


@pytest.mark.parametrize("kind", ["full", "hangs", "slow"])
def test_a_disk_in_trouble_from_any_write_on_gives_its_role_away_and_counts_again(kind):
    for at in (*range(7), 20, 40):
        run = TroubledRun(at, kind, at, second=at % 2 == 1)
        assert run.play() == [], (kind, at)
        assert run.longest_gap() < WORST_GAP, (kind, at)
