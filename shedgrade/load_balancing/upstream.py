"""An upstream as this balancer has observed it, and statistics that decay."""

from math import exp

from .outcomes import REMOVED

SECOND = 10_000
DECAY_TIME = 5 * SECOND  # time constant of statistics; in 5 s a busy balancer sends hundreds of requests
# With little traffic statistics decay over the time that yields enough samples, at most over this time: the
# length of an overload.
MAX_DECAY_TIME = 30 * SECOND


class Upstream:
    """One server as this balancer has observed it. Times are in tenths of a millisecond.

    From the list:
    index: small index of its id
    zone: index of its zone, None until it is listed
    cell: failure domain within which some methods may be retried
    state: READY, DRAINING or REMOVED
    listed_start: its start time by the list
    started_at: time from which slow start counts, the later of `listed_start` and `reinstated_at`
    id_hash: hash of its id, the same in all processes
    capacity: its size relative to others
    hardware: its hardware class
    reported_load: requests per core, derived from the listed size
    listed: READY and not withdrawn
    withdrawn: taken out of use by operators
    reinstated_at: when operators reinstated it, 0 for never
    delisted: removed from the list, and in use until it fails

    Load:
    in_flight: requests of this process in flight at the upstream
    background_load: open streams, and other edges' requests
    last_used_at: when it was last sent a request

    Health, as of `decayed_at`:
    observed_duration, foreseen_duration: sums of durations; their ratio is its slowness
    successes, failures: decaying counts
    ejected_until: not in rotation until then, 0 for not ejected
    half_open: one request at a time until one succeeds
    probation_successes: successes still required before it is trusted

    Shares:
    rotation_credit: the upstream takes its turn in the rotation if this is 1 or more
    slow_start_credit: at most 1, as of `slow_start_updated_at`; at 1 it may get a request while it warms up
    """

    __slots__ = (
        "index",
        "zone",
        "cell",
        "state",
        "started_at",
        "in_flight",
        "id_hash",
        "observed_duration",
        "foreseen_duration",
        "successes",
        "failures",
        "decayed_at",
        "ejected_until",
        "half_open",
        "capacity",
        "hardware",
        "rotation_credit",
        "listed",
        "slow_start_credit",
        "slow_start_updated_at",
        "probation_successes",
        "background_load",
        "reported_load",
        "withdrawn",
        "listed_start",
        "reinstated_at",
        "last_used_at",
        "delisted",
    )

    def __init__(self, index: int, initial_credit: float) -> None:
        self.index = index
        self.zone = None
        self.cell = 0
        self.state = REMOVED
        self.started_at = self.in_flight = 0
        self.withdrawn = False
        self.delisted = False
        self.reinstated_at = 0
        self.listed_start = 0
        self.last_used_at = -MAX_DECAY_TIME
        self.id_hash = None
        self.capacity = 1.0
        self.hardware = None
        self.listed = False
        self.reported_load = 0.0
        self.background_load = 0  # open streams at the upstream: load, but no work in flight
        self.probation_successes = 0  # successes required before it gets more than one request at a time
        self.rotation_credit = self.slow_start_credit = initial_credit
        self.reset_health()

    def reset_health(self) -> None:
        """Clears the health history: that of an earlier process says nothing of the next one."""
        self.observed_duration = self.foreseen_duration = self.successes = self.failures = 0.0
        self.decayed_at = self.ejected_until = self.slow_start_updated_at = 0
        self.half_open = False

    def decay(self, now: int, memory: float) -> None:
        """Decays older evidence, by a factor of e in each `memory` tenths of a millisecond."""
        if now > self.decayed_at:
            keep = exp((self.decayed_at - now) / memory)
            self.observed_duration, self.foreseen_duration, self.decayed_at = (
                self.observed_duration * keep,
                self.foreseen_duration * keep,
                now,
            )
            self.successes, self.failures = self.successes * keep, self.failures * keep


class DecayingRatio:
    """Two decaying sums, and their ratio with a prior."""

    __slots__ = ("numerator", "denominator", "decayed_at")

    def __init__(self, numerator: float = 0.0, now: int = 0) -> None:
        self.numerator = numerator
        self.denominator = 0.0
        self.decayed_at = now

    def add(self, now: int, numerator: float, denominator: float, memory: float = MAX_DECAY_TIME) -> None:
        """Adds to both sums, after they have decayed until now."""
        keep = exp((self.decayed_at - now) / memory)
        self.numerator, self.denominator, self.decayed_at = (
            self.numerator * keep + numerator,
            self.denominator * keep + denominator,
            now,
        )

    def estimate(self, prior: float, usual: float = 1.0) -> float:
        """Returns the ratio; the prior adds evidence worth `prior` for the ratio `usual`."""
        return (self.numerator + usual * prior) / (self.denominator + prior)
