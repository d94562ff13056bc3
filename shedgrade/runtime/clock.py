"""The clock that stamps requests: Unix time, advanced by the monotonic clock, in whole tenths of a
millisecond.
"""

from time import monotonic_ns, time_ns


class Clock:
    """Unix time with an offset that is read only at construction: steps of the system clock don't change it.

    offset_ns: Unix time minus monotonic time, nanoseconds.
    """

    def __init__(self) -> None:
        self.offset_ns = time_ns() - monotonic_ns()

    def now(self) -> int:
        """Returns Unix time in tenths of a millisecond."""
        return (monotonic_ns() + self.offset_ns) // 100_000

    def to_monotonic(self, at: float) -> float:
        """Converts `at`, a time of `now`, to seconds of the monotonic clock, which is the event loop's."""
        return at / 10_000 - self.offset_ns / 1e9
