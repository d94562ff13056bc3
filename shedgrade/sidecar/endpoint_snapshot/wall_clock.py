"""The two clocks by which an age is told: the wall's, and this boot's, which counts through sleep and never
jumps."""

import time
from pathlib import Path

from shedgrade.sidecar.endpoint_snapshot.snapshot import Moment


class Wall:
    """Reads both. Where the kernel does not name its boot, only the wall clock is left."""

    def __init__(self) -> None:
        try:
            self.boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        except OSError:
            self.boot = ""

    def now(self) -> Moment:
        return Moment(
            time.time_ns() // 1_000_000, self.boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
        )
