"""The two clocks by which an age is measured: the wall clock, and the time since boot, which includes
suspension and never jumps."""

import time
from pathlib import Path

from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class WallClock:
    """Reads both clocks. Where the kernel does not name the boot, only the wall clock can be compared."""

    def __init__(self) -> None:
        try:
            self.boot_id = BOOT_ID.read_text().strip()
        except OSError:
            self.boot_id = ""

    def now(self) -> Moment:
        """The current time by both clocks."""
        since_boot_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        return Moment(time.time_ns() // 1_000_000, self.boot_id, since_boot_ms)
