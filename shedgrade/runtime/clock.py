"""The clock of the requests: Unix time carried on by the monotonic clock, in whole tenths of a
millisecond.
"""

from time import monotonic_ns, time_ns


class Clock:
    """The offset to Unix time is fixed at the start, so a step of the system's clock moves nothing here.

    `offset_ns`: Unix time minus monotonic time.
    """

    def __init__(self) -> None:
        self.offset_ns = time_ns() - monotonic_ns()

    def now(self) -> int:
        """Unix time in tenths of a millisecond."""
        return (monotonic_ns() + self.offset_ns) // 100_000

    def on_monotonic(self, at: float) -> float:
        """The same moment in seconds of the monotonic clock, which is the event loop's."""
        return at / 10_000 - self.offset_ns / 1e9
