"""The handle of one request of a client's, and what it asks of the choice."""

from shedgrade.load_balancing.outcomes import BROKEN, COMPLETED, TURNED_AWAY, UNCONNECTED, UNSENT
from shedgrade.load_balancing.rpc import Rpc
from shedgrade.load_balancing.upstream import Upstream
from shedgrade.load_balancing.zones import Zone
from shedgrade.prefix_cache_index import prefix_key

IDEMPOTENT, ONCE = range(2)  # the two methods: may run more than once, or at most once a try
ARRIVED_NOT = (UNSENT, UNCONNECTED)  # outcomes after which the upstream has seen nothing of the request


class Wants:
    """What a route and a request's headers ask of the choice.

    `homes`: region numbers that may serve it, None for all. `key`: the parts of its prompt that others
    share, b"" for none, of `shared` tokens; `tokens`: of all of it. `most`: upstreams that it may be sent to.
    `target`: tenths of a ms within which it earns its full worth. `avoid`: upstreams, by index, that earlier
    legs of the same stream ran on. `before`: to how many they went.
    """

    __slots__ = ("homes", "key", "most", "target", "avoid", "before", "tokens", "shared", "kept_as")

    def __init__(
        self,
        homes: frozenset[int] | None = None,
        key: bytes = b"",
        most: int = 1,
        target: int = 10_000,
        avoid: frozenset[int] = frozenset(),
        before: int = 0,
        tokens: int = 0,
        shared: int = 0,
    ) -> None:
        self.homes, self.key, self.most, self.target = homes, key, most, target
        self.avoid, self.before, self.tokens, self.shared = avoid, before, tokens, shared
        self.kept_as = prefix_key(key) if key else 0  # as the record names the parts


class ServingRpc(Rpc):
    """Goes again only after what proves that it did not run, or where it may run again, within the fleet's
    budget."""

    __slots__ = ("arrived", "refused", "reading", "dropped")

    def __init__(
        self, home, method, now: int, give_up_at: int, retry: bool, tag: object, tenant: int
    ) -> None:
        self.arrived, self.refused, self.reading = tag.wants.before, 0, 0
        self.dropped: int | None = None  # the region that all edges together crowd
        super().__init__(home, method, now, give_up_at, retry, tag, tenant)

    def timed(self, now: int, give_up_at: int, retry: bool = False) -> None:
        self.come = now
        self.soft_end = min(now + self.tag.wants.target, give_up_at)
        self.end = give_up_at - self.home.slack

    def reaches(self, zone: Zone) -> bool:
        homes = self.tag.wants.homes
        return bool(zone.ring) and zone.number != self.dropped and (homes is None or zone.number in homes)

    def allowed(self, up: Upstream, now: int) -> bool:
        wants = self.tag.wants
        return (
            (wants.homes is None or up.zone in wants.homes)
            and up.index not in wants.avoid
            and (super().allowed(up, now))
        )

    def decide(self, now: int) -> tuple[int, int] | None:
        home = self.home
        if self.done or self.out:
            return None
        repeat = self.arrived > 0
        if (
            now >= self.end
            or self.arrived >= self.tag.wants.most
            or len(self.tries) >= home.most
            or (self.here is False and self.tries)
            or (self.first_run() is not None and not self.method.retriable)
            or (repeat and not home.repeats.allowed(now))
        ):
            return self.final(now)
        up = home.choose(now, self, False)
        return self.final(now) if up is None else self.transmit(now, up, repeat)

    def transmit(self, now: int, up: Upstream, repeat: bool) -> tuple[int, int]:
        home = self.home
        home.repeats.sent(now, repeat)
        self.arrived += 1
        self.reading = home.unread(up, self.tag.wants)
        home.count_in(up, 1, self.reading)
        self.out[len(self.tries)] = max(1, up.flight)
        up.used = now
        self.tries.append(up)
        self.sent.append(now)
        return up.index, max(1, self.end - now)

    def ended(self, now: int, tx: int, outcome: int, took: int, settled: bool, fresh=False) -> list[int]:
        self.read(tx)
        if outcome in ARRIVED_NOT:
            self.arrived -= 1
            self.home.repeats.took_back(now, self.arrived > 0)
        elif outcome in (TURNED_AWAY, BROKEN):
            self.refused += 1
        elif outcome == COMPLETED:
            self.home.served(now, self.tries[tx], self.tag.wants)
        return super().ended(now, tx, outcome, took, settled, fresh)

    def read(self, tx: int) -> None:
        """Its prompt has been read there, or is read no more."""
        if self.reading:
            self.home.count_in(self.tries[tx], 0, -self.reading)
            self.reading = 0

    def started(self, lasting: bool = False) -> None:
        """A stream keeps a place of its upstream until it ends: it stays in flight, as a send adds one and
        only its outcome takes it off."""
        self.again_at = None
        for tx in self.out:
            self.read(tx)
            if self.tag.wants.key:
                self.home.record.saw(self.tag.wants.kept_as, self.tries[tx].mark)
