"""The attributes that the parts of the balancer share. `Balancer.__init__` sets them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .rpc import Method, Rpc
    from .upstream import DecayingRatio, Upstream
    from .zones import Zone

QueueEntry = tuple[float, int, int, "Rpc"]  # negative payoff, sequence number, end of the wait, request
Timer = tuple[int, int, "Rpc | Upstream"]  # due time, sequence number, request or upstream to look at


class BalancerState:
    """Times are in tenths of a millisecond. `Balancer.check_invariants` states how the counts are related."""

    # Draws from one seeded `Random`, in the order of the decisions.
    random: Callable[[], float]
    uniform: Callable[[float, float], float]
    choices: "Callable[..., list[Zone]]"

    # From the settings.
    methods: "list[Method]"
    own_zone: int  # this process's zone, as an index of `zones`
    sidecar_count: int  # processes that share the upstreams
    sidecar_number: int  # index of this process, from 0
    max_attempts: int  # per request
    hedging: bool  # a second attempt may run beside the first
    cancels_attempts: bool  # attempts that no client waits for are stopped
    max_retry_after: int  # longest retry delay that a client is told; 0: none is told
    deadline_margin: int  # an answer is due this long before its client's deadline
    shortest_soft_deadline: int  # of all methods, less the margin
    mean_payoff: float  # of all methods
    excess_payoff: float  # share of its payoff that a request beyond its tenant's share earns
    latency_target: float  # share of the soft deadline that concurrency limits aim at
    cross_zone_price: float  # price of a request to another zone, as a share of the soft deadline
    connections_multiplexed: bool  # one connection carries several requests
    uses_subset: bool  # each zone's rotation is a subset of its upstreams
    keeps_delisted: bool  # an upstream removed from the list while it is ready stays in use until it fails
    slow_start_period: int  # time for which an upstream warms up after its start
    slow_start_floor: float  # share of its capacity that an upstream has at its start
    # Multiple of a warming upstream's capacity that all processes together may send it.
    slow_start_headroom: float
    slow_start_share: float  # this process's share of the slow start rate; an upgrade runs two processes
    capacity_follows_load: bool  # the listed size shrinks with an upstream's load
    tenant_shares: list[float]  # by tenant: requests within DECAY_TIME that are its share at this process

    # Requests for the list.
    subscribes_to_list: bool
    list_subscribed: bool  # a request for the list was answered; False while `list_requested`
    list_requested: bool
    list_request_at: int  # earliest time of the next request
    list_request_backoff: int
    list_request_interval: int

    # Upstreams and zones.
    upstreams: "dict[int, Upstream]"
    zones: "list[Zone]"
    last_resort_upstreams: "dict[int, Upstream]"  # unverified, used where no other upstream can be chosen
    released_indices: list[int]  # freed, not yet returned by `take_released`
    reinstated: "list[Upstream]"  # reinstated by operators, and sent no request since
    ready_count: int  # listed upstreams
    ejected_count: int  # of these, the ejected ones
    total_capacity: float  # of listed upstreams
    in_flight: int  # requests at all upstreams, without background load
    nominal_capacity: dict[int, float]  # by hardware class: the capacity of an idle upstream

    # Statistics, which decay.
    hardware_durations: dict[int, list[float]]  # by hardware class: observed sum, expected sum, last update
    decay_time: float  # time constant of the statistics of durations, DECAY_TIME to MAX_DECAY_TIME
    finish_rate: "DecayingRatio"  # attempts that completed or timed out, over the time elapsed
    # Sums of the fitted line: attempts, concurrency, duration, concurrency squared, concurrency * duration.
    latency_sums: list[float]
    latency_sums_at: int
    latency_base: float  # duration at zero concurrency, by the fitted line
    latency_slope: float  # additional duration per request in flight
    tenant_failures: "list[DecayingRatio]"
    tenant_counts: list[tuple[float, int]]  # by tenant: recent requests, and the time of the last update

    # Requests that wait, and retries.
    queue: "list[QueueEntry]"  # sorted, the highest payoff first
    timers: "list[Timer]"  # a heap, ordered by due time
    next_sequence: Callable[[], int]  # orders equal entries of `queue` and `timers` by insertion
    retry_tokens: float  # at most 10: each request adds a tenth, each retry takes one
