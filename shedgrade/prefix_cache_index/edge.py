"""The edge's side: what it received, what it observed itself, and whether the index can be trusted."""

from collections import OrderedDict

from shedgrade.prefix_cache_index.index import (
    CONFIRM_AFTER_S,
    MAX_PAIRS,
    MAX_PAIRS_PER_MESSAGE,
    PAIR_TTL_S,
    Pair,
    PrefixIndexUpdate,
)

TRUST_TIMEOUT_S = 2.0  # time after a fresh answer of the core during which requests are routed by the index
NO_VERSION = (0, -1)  # requests the full index


class EdgePrefixIndex:
    """The index of one edge. While it may be wrong it looks empty to its callers, and requests are routed
    without it.

    Attributes:
        seen_at: by prefix key, the endpoints that have cached the prefix, each with the time of its latest
            report in s; the key reported most recently comes last.
        version: (source, number) of the index that was received.
        fresh_at: when a member that is in contact with the primary last answered, s; None: never.
        unsent: pairs observed here that the core has not received, oldest first.
        reported_at: when a pair observed here was last queued to be sent, s.
    """

    def __init__(self) -> None:
        self.seen_at: OrderedDict[int, dict[int, float]] = OrderedDict()
        self.version = NO_VERSION
        self.fresh_at: float | None = None
        self.unsent: dict[Pair, None] = {}
        self.reported_at: dict[Pair, float] = {}

    def endpoints_caching(self, now: float, key: int) -> dict[int, float]:
        """Hashes of the endpoints that are believed to have cached the prefix, each with the time of its
        latest report.
        """
        if self.fresh_at is None or now - self.fresh_at > TRUST_TIMEOUT_S:
            return {}
        endpoints = self.seen_at.get(key)
        if not endpoints:
            return {}
        return {endpoint: at for endpoint, at in endpoints.items() if now - at < PAIR_TTL_S}

    def record_prefill(self, now: float, key: int, endpoint: int) -> None:
        """Notes that an endpoint has read the prefix, as its first event shows, and so has cached it."""
        self.remember(now, key, endpoint)
        pair = key, endpoint
        if now - self.reported_at.get(pair, -CONFIRM_AFTER_S) >= CONFIRM_AFTER_S:
            self.reported_at[pair] = now
            self.unsent[pair] = None
            if len(self.reported_at) > MAX_PAIRS:
                self.reported_at.pop(next(iter(self.reported_at)))
            if len(self.unsent) > MAX_PAIRS_PER_MESSAGE:
                self.unsent.pop(next(iter(self.unsent)))

    def remember(self, now: float, key: int, endpoint: int) -> None:
        """Adds a pair or updates its time, and evicts the key reported longest ago if there are too many."""
        endpoints = self.seen_at.setdefault(key, {})
        endpoints[endpoint] = now
        self.seen_at.move_to_end(key)
        if len(self.seen_at) > MAX_PAIRS:
            self.seen_at.popitem(last=False)

    def take_unsent(self) -> tuple[Pair, ...]:
        """Returns the pairs to send to the core, once; `restore_unsent` takes them back if they are lost."""
        pairs = tuple(self.unsent)
        self.unsent = {}
        return pairs

    def restore_unsent(self, pairs: tuple[Pair, ...]) -> None:
        """Queues pairs again that did not reach the core; they are sent with the next request."""
        for pair in pairs:
            self.unsent.setdefault(pair, None)

    def apply_response(self, now: float, is_fresh: bool, update: PrefixIndexUpdate | None) -> None:
        """Applies the answer of a core member. `is_fresh`: whether the member is in contact with the primary
        and up to date.

        Guards against an index from before the edge was cut off: after a time-out the index is trusted again
        only when a fresh member has sent its full index.
        """
        if not is_fresh:
            return
        has_timed_out = self.fresh_at is None or now - self.fresh_at > TRUST_TIMEOUT_S
        if has_timed_out and (update is None or update.base >= 0):
            self.version = NO_VERSION
            if update is None and self.fresh_at is None:
                self.fresh_at = now  # the core has nothing to send: no prefix has been cached so far
            return
        self.fresh_at = now
        if update is not None:
            self.apply_update(now, update)

    def apply_update(self, now: float, update: PrefixIndexUpdate) -> None:
        """Applies a full index, or a delta to the current version; any other delta is ignored."""
        if update.base < 0:
            self.seen_at.clear()
            for key, endpoint in self.unsent:  # observed here and not yet received by the core
                self.remember(now, key, endpoint)
        elif self.version != (update.source, update.base):
            return  # a delta for an older request
        for endpoint in update.removed:
            self.forget_endpoint(endpoint)
        for key, endpoint in update.pairs:
            self.remember(now, key, endpoint)
        self.version = update.source, update.number

    def retain_endpoints(self, endpoints: set[int]) -> None:
        """Forgets all endpoints but these, which exist according to the platform's list."""
        known = {endpoint for seen_at in self.seen_at.values() for endpoint in seen_at}
        for endpoint in known - endpoints:
            self.forget_endpoint(endpoint)

    def forget_endpoint(self, endpoint: int) -> None:
        """Forgets an incarnation that no longer exists, with all that it had cached."""
        for key in [key for key, endpoints in self.seen_at.items() if endpoint in endpoints]:
            del self.seen_at[key][endpoint]
            if not self.seen_at[key]:
                del self.seen_at[key]
        self.reported_at = {pair: at for pair, at in self.reported_at.items() if pair[1] != endpoint}
        self.unsent = {pair: None for pair in self.unsent if pair[1] != endpoint}
