"""The index as an edge uses it: what it received, what it saw itself, and whether any may be trusted."""

from collections import OrderedDict

from shedgrade.prefix_cache_index.index import (
    CONFIRM_AFTER_S,
    MAX_PAIRS,
    MAX_PAIRS_PER_MESSAGE,
    PAIR_TTL_S,
    Pair,
    PrefixIndexUpdate,
)

TRUST_TIMEOUT_S = 2.0  # since a fresh answer of the core for which requests may be routed by the index
NO_VERSION = (0, -1)  # the full index is asked for


class EdgePrefixIndex:
    """The index of one edge. It is empty to its callers whenever it may be wrong: routing then goes on
    without it.

    seen_at: by prefix key, the endpoints that have cached it, each with when that was last heard of; the key
    heard of last comes last. version: (source, number) of what was received. fresh_at: when a member that is
    in touch with the primary last answered; None: never. unsent: pairs seen here that the core has not
    received, oldest first. reported_at: by pair seen here, when it was last to be sent.
    """

    def __init__(self) -> None:
        self.seen_at: OrderedDict[int, dict[int, float]] = OrderedDict()
        self.version = NO_VERSION
        self.fresh_at: float | None = None
        self.unsent: dict[Pair, None] = {}
        self.reported_at: dict[Pair, float] = {}

    def endpoints_caching(self, now: float, key: int) -> dict[int, float]:
        """Hashes of the endpoints that are believed to have cached the prefix, each with when that was last
        heard of.
        """
        if self.fresh_at is None or now - self.fresh_at > TRUST_TIMEOUT_S:
            return {}
        endpoints = self.seen_at.get(key)
        if not endpoints:
            return {}
        return {endpoint: at for endpoint, at in endpoints.items() if now - at < PAIR_TTL_S}

    def record_prefill(self, now: float, key: int, endpoint: int) -> None:
        """An endpoint has read the prefix, as its first event shows, and so has cached it."""
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
        """Notes a pair, and evicts the key heard of longest ago if there are too many."""
        endpoints = self.seen_at.setdefault(key, {})
        endpoints[endpoint] = now
        self.seen_at.move_to_end(key)
        if len(self.seen_at) > MAX_PAIRS:
            self.seen_at.popitem(last=False)

    def take_unsent(self) -> tuple[Pair, ...]:
        """What the core has not received, to be sent; handed back by `restore_unsent` if it is lost."""
        pairs = tuple(self.unsent)
        self.unsent = {}
        return pairs

    def restore_unsent(self, pairs: tuple[Pair, ...]) -> None:
        """They did not reach the core, and go with the next request."""
        for pair in pairs:
            self.unsent.setdefault(pair, None)

    def apply_response(self, now: float, is_fresh: bool, update: PrefixIndexUpdate | None) -> None:
        """A core member answered; `is_fresh`: it hears the primary and is not behind.

        Guards against an index from before a cut: after a time-out it is trusted again only when a member
        that is fresh has sent its full index.
        """
        if not is_fresh:
            return
        has_timed_out = self.fresh_at is None or now - self.fresh_at > TRUST_TIMEOUT_S
        if has_timed_out and (update is None or update.base >= 0):
            self.version = NO_VERSION
            if update is None and self.fresh_at is None:
                self.fresh_at = now  # the core has nothing to send: so far no prefix was cached
            return
        self.fresh_at = now
        if update is not None:
            self.apply_update(now, update)

    def apply_update(self, now: float, update: PrefixIndexUpdate) -> None:
        """Takes a full index, or a delta to the version that is held; another delta is left out."""
        if update.base < 0:
            self.seen_at.clear()
            for key, endpoint in self.unsent:  # seen here, and not yet received by the core
                self.remember(now, key, endpoint)
        elif self.version != (update.source, update.base):
            return  # made for an older request
        for endpoint in update.removed:
            self.forget_endpoint(endpoint)
        for key, endpoint in update.pairs:
            self.remember(now, key, endpoint)
        self.version = update.source, update.number

    def retain_endpoints(self, endpoints: set[int]) -> None:
        """The endpoints that exist, as this edge knows the platform's list."""
        known = {endpoint for seen_at in self.seen_at.values() for endpoint in seen_at}
        for endpoint in known - endpoints:
            self.forget_endpoint(endpoint)

    def forget_endpoint(self, endpoint: int) -> None:
        """That incarnation is gone, with all that it had cached."""
        for key in [key for key, endpoints in self.seen_at.items() if endpoint in endpoints]:
            del self.seen_at[key][endpoint]
            if not self.seen_at[key]:
                del self.seen_at[key]
        self.reported_at = {pair: at for pair, at in self.reported_at.items() if pair[1] != endpoint}
        self.unsent = {pair: None for pair in self.unsent if pair[1] != endpoint}
