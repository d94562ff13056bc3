"""An upstream as this balancer has seen it, and measures that fade."""

from math import exp

from .outcomes import REMOVED

SECOND = 10_000
DECAY_TIME = 5 * SECOND  # measures fade over 5 s: hundreds of RPCs of a busy balancer
MAX_DECAY_TIME = (
    30 * SECOND
)  # or, for a light one, over what brings enough samples, up to the length of a trouble


class Upstream:
    """One server as this balancer has seen it. Times are in tenths of a millisecond.

    From the list: `index`; `zone`, None until it is listed; `cell`, its failure domain for retries; `state`,
    one of READY, DRAINING, REMOVED; `listed_start` and `started_at`, when it started as the list tells and as
    slow start counts; `id_hash`, the same in all processes; `capacity`; `hardware`, its class;
    `reported_load`, requests a core. `listed`: READY and not `withdrawn` by operators. `reinstated_at`: when
    operators put it back, 0 for never. `delisted`: gone from the list, and used until it fails.

    Load: `in_flight`, `background_load` (open streams, other edges' requests), `last_used_at`.

    Health, decaying since `decayed_at`: `observed_duration` over `foreseen_duration` is how slow it is;
    `successes`, `failures`. `ejected_until`: not in rotation until then, 0 for not ejected. `half_open`: one
    request at a time until one ends well. `probation_successes`: good ends still owed before it is trusted.

    Shares: `rotation_credit`, from 1 on it takes its turn; `slow_start_credit`, at most 1, as of
    `slow_start_updated_at`: from 1 on it may be sent a request while it warms up.
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

    def __init__(self, index: int, turns: float) -> None:
        self.index = index
        self.zone = None
        self.cell = 0
        self.state = REMOVED
        self.started_at = self.in_flight = 0
        # by operators; by the list; put back at
        self.withdrawn = False
        self.delisted = False
        self.reinstated_at = 0
        # its start as the list tells it; when it was last sent to
        self.listed_start = 0
        self.last_used_at = -MAX_DECAY_TIME
        self.id_hash = None
        self.capacity = 1.0
        self.hardware = None
        self.listed = False
        self.reported_load = 0.0  # RPCs held a core, as the list tells by its size
        self.background_load = 0  # streams that are open there: they load it, but are no work in flight
        self.probation_successes = 0  # good ends it still owes before it gets more than one RPC at a time
        self.rotation_credit = self.slow_start_credit = turns
        self.reset_health()

    def reset_health(self) -> None:
        """Health of an earlier process says nothing of the next one."""
        self.observed_duration = self.foreseen_duration = self.successes = self.failures = 0.0
        self.decayed_at = self.ejected_until = self.slow_start_updated_at = 0
        self.half_open = False

    def decay(self, now: int, memory: float) -> None:
        """Lets older evidence weigh less: by a factor of e in each `memory` tenths of a millisecond."""
        if now > self.decayed_at:
            keep = exp((self.decayed_at - now) / memory)
            self.observed_duration, self.foreseen_duration, self.decayed_at = (
                self.observed_duration * keep,
                self.foreseen_duration * keep,
                now,
            )
            self.successes, self.failures = self.successes * keep, self.failures * keep


class DecayingRatio:
    """Two sums that fade, and their ratio with evidence worth `prior` for the usual one."""

    __slots__ = ("numerator", "denominator", "decayed_at")

    def __init__(self, over: float = 0.0, now: int = 0) -> None:
        self.numerator = over
        self.denominator = 0.0
        self.decayed_at = now

    def add(self, now: int, over: float, under: float, memory: float = MAX_DECAY_TIME) -> None:
        """Adds to both sums, after they have decayed up to now."""
        keep = exp((self.decayed_at - now) / memory)
        self.numerator, self.denominator, self.decayed_at = (
            self.numerator * keep + over,
            self.denominator * keep + under,
            now,
        )

    def estimate(self, prior: float, usual: float = 1.0) -> float:
        """The ratio, with `prior` of evidence for `usual` added."""
        return (self.numerator + usual * prior) / (self.denominator + prior)
