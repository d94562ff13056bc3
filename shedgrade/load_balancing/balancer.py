"""The decisions of one sidecar, put together."""

from heapq import heappop
from itertools import count
from math import inf, log
from random import Random

from .endpoint_list import Listing
from .outlier_detection import ROOM, Health
from .pending import Holding
from .rpc import Method, Rpc
from .slow_start import Cold
from .subsetting import Parts
from .upstream import MEMORY, SECOND, Ratio, Upstream
from .zones import Choice, Zone

HALF = 0.6  # of the soft deadline: windows hold the mean time there, with one end in seven late
SPARE_SHARE = 1.2  # of a tenant's even share is let pass, and three RPCs: chance seldom brings more


class Balancer(Listing, Parts, Choice, Cold, Health, Holding):
    handle = Rpc

    def __init__(self, settings: dict, seed: int, now: int) -> None:
        random = Random(seed)
        self.chance, self.span, self.pick = random.random, random.uniform, random.choices
        limits = settings["limits"]
        self.own = settings["az"]
        self.shared, self.keeps = limits.get("multiplex", 1) > 1, False
        self.live = settings.get("weight_kind") == "live"
        self.nominal: dict[int, float] = {}  # by kind: the size of an idle one, where sizes move with load
        self.methods: list[Method] = []
        self.zones: list[Zone] = []
        self.retuned(settings)
        self.asks = settings["membership_mode"] == "on_request"
        self.following, self.pending, self.ask_at, self.ask_wait = False, False, now, SECOND
        self.ups: dict[int, Upstream] = {}
        self.latent: dict[int, Upstream] = {}  # in doubt so far that they are used as a last resort only
        self.left: list[int] = []  # given up, and not yet asked for by `released`
        self.owed: list[Upstream] = []  # put back by the operators, and not used since
        self.part = 1.0  # of what cold upstreams may get: another process has the rest
        self.ready = self.aside = 0  # upstreams ready, and of these set aside
        self.sizes = 0.0  # the sum of what the list says of their sizes
        self.kinds: dict[int, list] = {}  # by kind of upstream: took, foreseen, since when
        self.memory, self.ends = MEMORY, Ratio(1.0, now)  # of those that took an upstream's time, over time
        self.zones = [Zone(self.chance()) for _ in settings["zones"]]
        self.alarms, self.held, self.count, self.flight, self.spare = [], [], count().__next__, 0, 5.0
        # Time taken against own RPCs in flight at the upstream, over all of them, as sums of a fitted line.
        # Until something is seen, an upstream is believed to finish two at once in the room there is.
        soft = ROOM * self.shortest
        self.sums, self.stamp = [1.0, 2.0, soft, 4.0, 2 * soft], now
        self.fit()

    def retuned(self, settings: dict) -> None:
        """May come while RPCs are in hand, which keep their method; fewer transmissions bind at once."""
        limits, rules = settings["limits"], settings["rules"]
        self.most, self.parallel, self.cancelling = (
            limits["most_transmissions"],
            limits["parallel_tries"],
            limits["cancelling"],
        )
        self.longest_wait = int(limits["max_retry_after"] * 10) if limits["retry_after"] else 0
        self.slack = 2 * int(settings["tick"] * 10)
        self.stay_open = rules.get("dropped_stay_open", False)
        self.cold, self.cold_from = rules["cold"] * 10, rules["cold_from"]
        self.fall_multiple, self.ask_every = rules["fall_multiple"], int(rules["ask_every"] * 10)
        prices = settings["prices"]
        self.cross_price = prices.get("cross_zone", 0.0)
        # Where connections are shared, or new ones have a price, each sidecar keeps to a part of each zone.
        dear = self.shared or prices.get("handshake", 0.0) + prices.get("connection", 0.0) > 0
        self.sidecars, self.number = settings["balancers"], settings.get("my_number", 0)
        self.keeps = dear and self.sidecars > 1
        for zone in self.zones:
            zone.moved = True
        self.relisted()
        # By tenant: RPCs within MEMORY that are its share here, as all sidecars get alike, and those seen.
        self.shares = [
            SPARE_SHARE * tenant["allowance_per_s"] * MEMORY / SECOND / self.sidecars + 3
            for tenant in settings.get("customers", ())
        ]
        self.fails = [Ratio() for _ in self.shares]
        self.seen, self.excess = [(0.0, 0)] * len(self.shares), settings.get("excess_payoff", 1.0)
        # Where more than a few late ones cost, windows aim at what leaves three times the allowed share late.
        mix = settings.get("objective_mix", {})
        late = 3 * mix.get("miss_allowed", 0.0) if mix.get("slow_end", 0.0) > 0 else 0.0
        self.aim = HALF * min(1.0, log(1 / 7) / log(late)) if 0 < late < 1 else HALF
        top = max((m["payoff"] for m in settings["methods"]), default=1)
        self.mean_payoff = sum(m["payoff"] for m in settings["methods"]) / len(settings["methods"]) or 1.0
        kept = {method.name: method.patience for method in self.methods}
        self.methods = [Method(m, top, self.most, kept.get(m.get("name"), 0)) for m in settings["methods"]]
        self.shortest = max(1, min(m.soft for m in self.methods) - self.slack)

    def take(
        self, now: int, method: int, give_up_at: int, retry: bool = False, tag: object = None, tenant: int = 0
    ) -> Rpc:
        # One further transmission for ten RPCs: enough for single faults, too little for a storm.
        self.spare = min(10.0, self.spare + 0.1)
        return self.handle(self, self.methods[method], now, give_up_at, retry, tag, tenant)

    def due(self, now: int):
        """Yields the handles that should be asked again, each before the next is looked for."""
        while self.alarms and self.alarms[0][0] <= now:
            rpc = heappop(self.alarms)[2]
            if isinstance(rpc, Upstream):
                if 0 < rpc.aside_until <= now:
                    self.back(rpc)
            elif not rpc.done:
                yield rpc
        while self.held:
            rpc = self.held[0][3]
            yield rpc
            if rpc.held is not None:
                return

    def wake_at(self) -> float:
        """When `due` or `wants_list` has something at the latest, if nothing else happens."""
        at = self.alarms[0][0] if self.alarms else inf
        if self.asks and not self.following and not self.pending:
            at = min(at, self.ask_at)
        return at
