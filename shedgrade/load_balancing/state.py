"""What the parts of the balancer share: its attributes, one by one. `Balancer.__init__` sets them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .rpc import Method, Rpc
    from .upstream import DecayingRatio, Upstream
    from .zones import Zone

QueueEntry = tuple[float, int, int, "Rpc"]  # minus its payoff, a sequence number, until when it waits, itself
Timer = tuple[int, int, "Rpc | Upstream"]  # when, a sequence number, what is to be looked at then


class BalancerState:
    """Times are in tenths of a millisecond. `Balancer.check_invariants` says how counts belong together."""

    # Draws from one seeded `Random`, in the order of the decisions.
    random: Callable[[], float]
    uniform: Callable[[float, float], float]
    choices: "Callable[..., list[Zone]]"

    # From the settings.
    methods: "list[Method]"
    own_zone: int  # this process's zone, as an index of `zones`
    sidecar_count: int  # processes that share the upstreams
    sidecar_number: int  # of this one, from 0
    max_attempts: int  # transmissions of one request
    hedging: bool  # a second attempt may go beside the first
    cancels_attempts: bool  # attempts that nobody waits for are stopped
    max_retry_after: int  # the longest time that a client is told to stay away; 0: none is told
    deadline_margin: int  # an answer is wanted so much before its client's deadline
    shortest_soft_deadline: int  # of all methods, less the margin
    mean_payoff: float  # of all methods
    excess_payoff: float  # the part of its payoff that a request beyond its tenant's share brings
    latency_target: float  # the part of the soft deadline that concurrency limits aim at
    cross_zone_price: float  # of a request sent to another zone, as a part of the soft deadline
    connections_multiplexed: bool  # one connection carries several requests
    uses_subset: bool  # each zone's rotation is a subset of its upstreams
    keeps_delisted: bool  # one that leaves the list while it is ready stays in use until it fails
    slow_start_period: int  # after its start an upstream is warming up for so long
    slow_start_floor: float  # the part of its capacity that an upstream has at its start
    slow_start_headroom: float  # times its capacity that all processes may send a warming upstream
    slow_start_share: float  # of this process, where an upgrade has two
    capacity_follows_load: bool  # the list tells a size that shrinks with an upstream's load
    tenant_shares: list[float]  # by tenant: requests within DECAY_TIME that are its share here

    # Requests for the list.
    subscribes_to_list: bool
    list_subscribed: bool  # an answer came; not while `list_requested`
    list_requested: bool
    list_request_at: int  # the next request at the earliest
    list_request_backoff: int
    list_request_interval: int

    # Upstreams and zones.
    upstreams: "dict[int, Upstream]"
    zones: "list[Zone]"
    last_resort_upstreams: "dict[int, Upstream]"  # unverified, and used where nothing else is left
    released_indices: list[int]  # forgotten, and not yet asked for by `take_released`
    reinstated: "list[Upstream]"  # put back by operators, and not used since
    ready_count: int  # listed upstreams
    ejected_count: int  # of these, the ejected ones
    total_capacity: float  # of listed upstreams
    in_flight: int  # requests of all upstreams, those of the background left out
    nominal_capacity: dict[int, float]  # by hardware class: of an idle upstream

    # Evidence, which decays.
    hardware_durations: dict[int, list[float]]  # by class: observed, foreseen, as of
    decay_time: float  # over which evidence of durations fades, DECAY_TIME to MAX_DECAY_TIME
    finish_rate: "DecayingRatio"  # attempts that took an upstream's time, over time
    latency_sums: list[float]  # of the fitted line: ends, concurrency, duration, concurrency squared, product
    latency_sums_at: int
    latency_base: float  # duration at no concurrency, of the fitted line
    latency_slope: float  # more for each request in flight
    tenant_failures: "list[DecayingRatio]"
    tenant_counts: list[tuple[float, int]]  # by tenant: requests lately, as of

    # Requests that wait, and retries.
    queue: "list[QueueEntry]"  # sorted: the most valuable first
    timers: "list[Timer]"  # a heap
    next_sequence: Callable[[], int]  # keeps equal entries of queue and heap in order
    retry_tokens: float  # at most 10: a tenth for each request, one for each retry
