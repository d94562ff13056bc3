"""The schedule of faults injected into a simulated core, drawn from the seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from shedgrade.simulation.faults import Faults

InjectFault = Callable[[Faults], None]

FAIR_FAULTS: tuple[InjectFault, ...] = (
    Faults.kill_machine,
    Faults.power_off,
    Faults.wipe,
    Faults.power_off_after_acknowledgement,
    Faults.wipe_after_acknowledgement,
    Faults.freeze,
    Faults.fill_disk,
    Faults.stall_disk,
    Faults.slow_disk,
    Faults.slow_links,
    Faults.isolate_machine,
    Faults.isolate_machine_one_way,
    Faults.block_one_link,
    Faults.isolate_region,
    Faults.rolling_restart,
    Faults.replace_machine,
    Faults.leave_after_wipe,
    Faults.wipe_after_catch_up,
    Faults.replace_lost_machines,
    Faults.fail_around_message,
    Faults.fail_around_message,
    Faults.power_off_all,
    Faults.kill_all,
    Faults.power_off_all_after_acknowledgement,
    Faults.wipe_some_and_power_off_all,
)
MEMBERS_FAULTS: tuple[InjectFault, ...] = (
    Faults.wipe,
    Faults.wipe_after_acknowledgement,
    Faults.wipe_some_and_power_off_all,
    Faults.kill_machine,
    Faults.block_one_link,
    Faults.isolate_machine,
    Faults.freeze,
    Faults.fail_around_message,
    Faults.rolling_restart,
    Faults.replace_machine,
    *2 * (Faults.leave_after_wipe, Faults.wipe_after_catch_up, Faults.replace_lost_machines),
)
PARTITION_FAULTS: tuple[InjectFault, ...] = (
    Faults.isolate_primary,
    Faults.isolate_primary,
    Faults.isolate_primary,
    Faults.freeze,
    Faults.block_one_link,
    Faults.fail_around_message,
    Faults.kill_machine,
)
STORM_FAULTS: tuple[InjectFault, ...] = (
    Faults.kill_machine,
    Faults.power_off,
    Faults.power_off_after_acknowledgement,
    Faults.freeze,
    Faults.freeze,
    Faults.fill_disk,
    Faults.stall_disk,
    Faults.slow_disk,
    Faults.slow_links,
    Faults.isolate_machine,
    Faults.isolate_machine_one_way,
    Faults.isolate_region,
    Faults.power_off_all,
    Faults.kill_all,
    *3 * (Faults.block_one_link, Faults.fail_around_message),
    *2
    * (
        Faults.power_off_all_after_acknowledgement,
        Faults.isolate_primary,
        Faults.isolate_primary,
        Faults.partition_at_random,
    ),
)


@dataclass(frozen=True, slots=True)
class FaultMix:
    """The faults that a profile injects.

    Attributes:
        faults: the faults to draw from; one that is listed twice is twice as likely.
        gaps_s: the mean times between two faults to draw from, seconds.
    """

    faults: tuple[InjectFault, ...]
    gaps_s: tuple[float, ...]


FAIR_GAPS_S = (0.1, 1.0, 4.0, 9.0)
MIXES = {
    "storm": FaultMix(STORM_FAULTS, (0.02, 0.2, 0.6, 1.5)),
    "members": FaultMix(MEMBERS_FAULTS, FAIR_GAPS_S),
}
FAIR_MIX = FaultMix(FAIR_FAULTS, FAIR_GAPS_S)
PARTITION_MIX = FaultMix(PARTITION_FAULTS, (0.5, 1.5, 3.0))


class FaultSchedule(Faults):
    """Injects one fault after the other until `end_all` is called.

    In the profiles "fair" and "members" at most `tolerated` machines are lost at once, each until it has
    caught up after its return.
    """

    def inject_next(self) -> None:
        """Injects a fault now, and schedules the next one after a random gap."""
        if self.stopped:
            return
        mix = PARTITION_MIX if self.cluster.mainly_partitions else MIXES.get(self.cluster.profile, FAIR_MIX)
        inject = self.random.choice(mix.faults)
        inject(self)
        gap = self.random.choice(mix.gaps_s)
        self.clock.after(gap * (0.5 + self.random.random()), self.inject_next)
