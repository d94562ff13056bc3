"""Every decision of the balancer. No clock, no I/O: each call carries the time, in tenths of a millisecond.

How to call it (the interface is defined here, by the public methods of `Balancer` and `Rpc`):
  b = Balancer(settings, seed, now)       settings: a plain map; upstreams, methods, zones are small indices
  b.list_changed(now, rows, whole, asked) of (upstream, zone, state, started, cell, mark, size, kind)
  b.doubted(now, upstreams, ends, last)   rows of an older source than discovery: how far to trust them
  b.export(now), b.restore(now, state, age)   what was learnt, as plain data, and its return after a restart
  b.retuned(settings)                     other methods, limits, rules, prices; RPCs in hand keep their method
  b.divided(part)                         this process has that part of what cold upstreams may get
  b.ordered(now, upstream, out)           operators take an upstream out, or put it back
  b.list_failed(now)                      the call for the list failed, or the subscription broke
  rpc = b.take(now, method, give_up_at, retry, tag, tenant)  a handle; rpc.decide(now) then says what to do:
      None: nothing now.  (upstream, limit): transmit.  (EXHAUSTED, retry_after), (ERRORED, 0): final.
  rpc.ended(now, tx, outcome, took, settled, fresh)   fresh: first on its connection; returns what to stop
  rpc.started(lasting)                    a streamed answer has begun; lasting: a stream is open, and held
  rpc.coming(now, give_up_at, here, whole)  bytes of a long request came; here: none let go; whole: the last
  rpc.gone(now)                           the client has left
  b.due(now)                              yields the handles to ask again; b.wake_at() says when to call next
  b.wants_list(now)                       True: subscribe to the list of upstreams now
  b.luck(method)                          a draw by which a gate before the decisions gives up the cheap first
  b.released()                            upstreams that are forgotten: their indices are free
"""
from bisect import bisect_left, insort
from heapq import heappop, heappush
from itertools import count
from math import ceil, exp, inf, log
from random import Random

EXHAUSTED, ERRORED = -1, -2
# States of an upstream in the list, and ways a transmission ends, of which four prove that it never ran.
READY, DRAINING, REMOVED = range(3)
UNSENT, UNCONNECTED, TURNED_AWAY, COMPLETED, FAILED, TIMED_OUT, DROPPED, STOPPED, BROKEN = range(9)
NEVER_RAN = (UNSENT, UNCONNECTED, TURNED_AWAY, BROKEN)

SECOND = 10_000
MEMORY = 5 * SECOND     # measures fade over 5 s: hundreds of RPCs of a busy balancer
LONGEST = 30 * SECOND   # or, for a light one, over what brings ENOUGH ends, up to the length of a trouble
RECENT = 60 * SECOND    # sent to within this, an upstream is in use: maintenance takes seconds to a minute
ENOUGH = 30             # ends: a mean of so many is within a fifth
THRESHOLD = 3.0         # in flight per ready upstream at which a zone may be dropped: 2 to 4 make little odds
LATENT = 10**9 * SECOND     # aside until it has answered: longer than any process runs
USUAL = 2.0             # times the usual: a cold upstream is slower, chance alone seldom is, three times over
MARGIN = 0.5            # passed over if this far above the zone's mean in flight: half an RPC is not chance
EASY = 0.15             # of the shortest soft deadline: whatever is foreseen within it takes all its turns
SWIFT = 0.7             # of the zone's mean time: faster upstreams take all turns, slower ones fewer of them
PART = 1                # upstreams of a zone that a sidecar keeps to at least: two may fail at once
LONE = 3                # the same where each connection carries one RPC: RPCs hold it, not upstreams met
COVER = 5              # sidecars of its zone that keep to an upstream: each then weighs a twentieth there
GOLDEN = 0.6180339887   # spreads any count of numbers evenly over a circle
VISITS = 16             # upstreams looked at for one choice at most: work does not grow with the fleet
ROOM = 0.6              # an upstream takes one more while this much of the time left is expected to do for it

WAIT = 0.5              # of the pace at which transmissions end is counted on: most waits end well
QUEUED = 0.5            # of the time taken is held to be queueing at least: guards against crowds not yet met
HALF = 0.6              # of the soft deadline: windows hold the mean time there, with one end in seven late
SPARE_SHARE = 1.2       # of a tenant's even share is let pass, and three RPCs: chance seldom brings more
SMOOTH = 0.4            # of a renewal counts at once: a single one is chance, three or four are not
CALM = 1.5              # RPCs held a core below which a zone has room for more, up to twice its windows
STEP = 0.1              # of a window for an end that comes at once, or takes twice as long
OPENING = 0.4           # RPCs that a window gains an end until the first late one: a start is over in seconds
DRAG = 2.0              # times the part of its soft deadline that others take: a method drags by itself
FOLLOWS = 3.0, 0.05     # times the failures of others, and so much more: they follow the sort of RPC
GROW = 1.05             # of a window for any end in time, or those of busy balancers would lag


class Upstream:
    """One server as this balancer has seen it."""
    __slots__ = ("index", "zone", "cell", "state", "started", "flight", "mark", "took", "foreseen",
                 "good", "bad", "stamp", "aside_until", "trial", "size", "kind", "turns", "listed",
                 "cold_turns", "cold_stamp", "doubt", "held", "crowd", "out", "told", "back_at", "used",
                 "dropped")

    def __init__(self, index: int, turns: float) -> None:
        self.index, self.zone, self.cell, self.state = index, None, 0, REMOVED
        self.started = self.flight = 0
        self.out, self.dropped, self.back_at = False, False, 0      # by operators; by the list; put back at
        self.told, self.used = 0, -LONGEST      # its start as the list tells it; when it was last sent to
        self.mark, self.size, self.kind, self.listed = None, 1.0, None, False
        self.crowd = 0.0        # RPCs held a core, as the list tells by its size
        self.held = 0           # streams that are open there: they load it, but are no work in flight
        self.doubt = 0          # good ends it still owes before it gets more than one RPC at a time
        self.turns = self.cold_turns = turns
        self.forget()

    def forget(self) -> None:
        """Health of an earlier process says nothing of the next one."""
        self.took = self.foreseen = self.good = self.bad = 0.0
        self.stamp = self.aside_until = self.cold_stamp = 0
        self.trial = False

    def fade(self, now: int, memory: float) -> None:
        if now > self.stamp:
            keep = exp((self.stamp - now) / memory)
            self.took, self.foreseen, self.stamp = self.took * keep, self.foreseen * keep, now
            self.good, self.bad = self.good * keep, self.bad * keep


class Zone:
    """The rotation of one zone: `ring`, of its `ready` upstreams, or of the `part` this sidecar keeps to.
    `crowd` is as the list tells it."""
    __slots__ = ("ring", "ready", "part", "turn", "flight", "window", "usual", "last_end", "read", "held",
                 "moved", "opening", "crowd", "late")

    def __init__(self, turn: float) -> None:
        self.ring, self.turn, self.flight, self.window, self.usual = [], turn, 0, inf, 0.0
        self.ready = self.last_end = self.read = self.held = 0
        self.part, self.moved, self.opening, self.crowd, self.late = None, False, True, 0.0, Ratio()

    def full(self, rpc: "Rpc") -> bool:
        """A window between two counts admits that part of the RPCs, each by its own luck; what the list tells
        is held there cuts it, where the time foreseen at the mean passes the soft deadline."""
        window = self.window
        if self.crowd:
            window *= min(1.0, rpc.method.soft / (rpc.home.base + rpc.home.slope * (1 + self.crowd))) ** 2
            window *= max(1.0, min(2.0, CALM / self.crowd))
        return self.flight + rpc.luck >= window


class Ratio:
    """Two sums that fade, and their ratio with evidence worth `prior` for the usual one."""
    __slots__ = ("over", "under", "stamp")

    def __init__(self, over: float = 0.0, now: int = 0) -> None:
        self.over, self.under, self.stamp = over, 0.0, now

    def add(self, now: int, over: float, under: float, memory: float = LONGEST) -> None:
        keep = exp((self.stamp - now) / memory)
        self.over, self.under, self.stamp = self.over * keep + over, self.under * keep + under, now

    def of(self, prior: float, usual: float = 1.0) -> float:
        return (self.over + usual * prior) / (self.under + prior)


class Method:
    """What the settings say of one method, times in tenths of a millisecond."""
    __slots__ = ("name", "soft", "hard", "payoff", "late", "retriable", "deduped", "group", "window",
                 "further", "patience", "pace", "fails")

    def __init__(self, settings: dict, top_payoff: float, most: int) -> None:
        self.name = settings.get("name")
        self.soft, self.hard = int(settings["soft_deadline"] * 10), int(settings["hard_deadline"] * 10)
        self.patience = 0       # the longest that a client has been seen to wait for one try
        self.pace, self.fails = Ratio(), Ratio()    # time taken over that of any method; failed over ended
        self.payoff, self.late = settings["payoff"], settings["overdue_payoff"]
        self.retriable = settings["idempotency"] == "repeatable"
        self.deduped = settings["idempotency"] == "by_key"
        self.group = settings["group"] if self.deduped else "all"
        self.window = int(settings["repeat_window"] * 10) if self.deduped else 0
        # Further transmissions after one that may have run go by payoff: the dearest method may use all left.
        self.further = max(1, round((most - 1) * self.payoff / top_payoff)) if top_payoff else 1


class Rpc:
    """One RPC taken; what happens to it later is a call on this handle. `tag` is the caller's mark."""
    __slots__ = ("home", "tag", "method", "come", "soft_end", "end", "tries", "sent", "out", "repeats",
                 "again_at", "held", "done", "turned", "luck", "payoff", "lasting", "here", "turned_away",
                 "tenant")

    def __init__(self, home: "Balancer", method: Method, now: int, give_up_at: int, retry: bool,
                 tag: object, tenant: int) -> None:
        self.home, self.method, self.tag, self.tenant = home, method, tag, tenant
        self.timed(now, give_up_at, retry)
        self.tries, self.sent, self.out = [], [], {}    # by transmission: upstream; when, None: it never ran
        self.repeats, self.again_at, self.held, self.done = 0, None, None, False
        # An open stream; overtaken while held, to be told at once; a long request with all its bytes here.
        self.lasting, self.turned, self.here = False, False, None
        self.payoff, self.turned_away = method.payoff * home.worth(now, tenant), []
        self.luck = home.draw(self.payoff)

    def timed(self, now: int, give_up_at: int, retry: bool = False) -> None:
        home, method = self.home, self.method
        # Guards against work for nobody: a marked retry that the hard deadline cuts short tells when its
        # first try came, and the soft deadline runs from there. A sixteenth less is the lateness of a loop.
        method.patience = max(method.patience, give_up_at - now)
        cut = retry and give_up_at - now < method.patience - max(home.slack, method.patience // 16)
        self.come = now = min(now, give_up_at - method.hard) if cut else now
        # An answer is wanted two ticks early, so that a time-out is still answered before the deadline.
        self.soft_end = min(now + method.soft, give_up_at) - home.slack
        self.end = give_up_at - home.slack if method.late else self.soft_end

    def coming(self, now: int, give_up_at: int, here: bool, whole: bool) -> int:
        """A long request's time counts from its last byte; its new limit. Not all `here`, it goes no more."""
        self.here = here
        self.timed(now, give_up_at)
        self.lasts(not whole)   # an upstream begins it once it is whole
        return max(1, self.end - now)

    def first_run(self) -> int | None:
        """The first transmission that may have run, those still out included."""
        return next((tx for tx, at in enumerate(self.sent) if at is not None), None)

    def allowed(self, up: Upstream, now: int) -> bool:
        """Rule 2, no effect twice: what may have run goes again only where its method permits."""
        method, first = self.method, self.first_run()
        if first is None or method.retriable:
            return True
        if not method.deduped or now > self.sent[first] + method.window:
            return False
        ran_on = self.tries[first]
        if method.group == "zone":
            return up.zone == ran_on.zone
        return method.group == "all" or up.cell == ran_on.cell

    def final(self, now: int) -> tuple[int, int]:
        """Exhausted tells the client that another try is harmless; where that is not certain, errored."""
        self.finish()
        method = self.method
        if method.retriable or self.first_run() is None or (method.deduped and method.group == "all"):
            return EXHAUSTED, self.home.retry_after(now, self)
        return ERRORED, 0

    def finish(self) -> list[int]:
        """No more answers; returns the transmissions still out, which nobody waits for any longer."""
        self.done = True
        self.home.unhold(self)
        return list(self.out) if self.home.cancelling else []

    def decide(self, now: int) -> tuple[int, int] | None:
        home, method = self.home, self.method
        if self.done or (self.out and not (self.again_at is not None and now >= self.again_at)):
            return None
        repeat = self.first_run() is not None
        self.again_at = None
        if self.turned or now >= self.end or len(self.tries) >= home.most or (
                self.here is False and self.tries) or (repeat and not (
                (method.retriable or method.deduped) and self.repeats < method.further
                and home.spare >= 1 and not home.follows(self))):
            return None if self.out else self.final(now)
        # Crossing has a price, so the own zone gets that share of the soft deadline to make room first, or a
        # quarter of what the soft deadline leaves beside the usual time.
        stay = self.come + int(max(home.cross_price * method.soft, (method.soft - home.typical()) / 4))
        up = home.choose(now, self, now < stay)
        if up is None and now < stay and not self.out:
            if home.hold(now, self, stay):
                return None
            up = home.choose(now, self, False)
        if up is not None:
            return self.transmit(now, up, repeat)
        if self.out or home.hold(now, self, now):
            return None
        return self.final(now)

    def transmit(self, now: int, up: Upstream, repeat: bool) -> tuple[int, int]:
        home, method = self.home, self.method
        home.unhold(self)
        if not self.tries and home.drag(method) > 1:
            self.lasting = True     # it will hold its place for long, as an open stream does
        if repeat:
            self.repeats += 1
            home.spare -= 1
        limit = self.end - now
        if (method.retriable or method.deduped) and len(self.tries) + 1 < home.most and home.spare >= 1:
            # Guards against a hang: a second upstream gets its chance while the soft deadline can be met.
            patience = int(max(3 * home.expected(up, now), (self.soft_end - now) // 2))
            if now + patience + home.typical() < self.soft_end:
                if home.parallel and self.here is None:
                    self.again_at = now + patience
                    heappush(home.alarms, (self.again_at, home.count(), self))
                elif up.bad > up.good:
                    # Only where more has failed than completed lately: elsewhere the work cut off is lost.
                    limit = min(limit, patience)
        home.count_in(up, 1 - self.lasting, int(self.lasting))
        self.out[len(self.tries)] = max(1, up.flight) + up.crowd
        up.used = now
        self.tries.append(up)
        self.sent.append(now)
        return up.index, max(1, limit)

    def ended(self, now: int, tx: int, outcome: int, took: int, settled: bool, fresh=False) -> list[int]:
        home, up = self.home, self.tries[tx]
        zone = home.zones[up.zone]
        crowd = self.out.pop(tx)
        home.count_in(up, self.lasting - 1, -self.lasting)
        # Guards against windows that lag: where ends are rare, each counts for more, as if all came in step.
        gain = min(5.0, 0.3 + 3 * (now - zone.last_end) / SECOND)
        zone.last_end = now
        if outcome in (TIMED_OUT, COMPLETED) and not fresh:
            drag = home.drag(self.method)
            if outcome == COMPLETED:
                over = min(1.0, took / drag / (home.aim * self.method.soft) - 1)
                zone.late.add(now, over > 0, 1.0, MEMORY)
            else:
                over = (drag == 1) * 2.0 * zone.late.of(1.0)
            # Slow among sound ones is an upstream's own fault, not the crowd's.
            if over > 0 and home.expected(up, now) <= 1.2 * zone.usual:
                zone.window = max(0.1, zone.window * exp(-STEP * over * gain))
                zone.opening = False
            elif over < 0 and zone.flight + 1 >= zone.window:
                if zone.opening:
                    zone.window += OPENING
                zone.window *= max(GROW if zone.window > 1 else 1.0, exp(-STEP * over * gain))
        home.learn(now, up, outcome, took, crowd, fresh, self)
        home.release(up)
        if outcome in NEVER_RAN:
            self.sent[tx] = None
            self.turned_away += [zone] * (outcome == TURNED_AWAY)
        return self.finish() if settled and not self.done else []

    def started(self, lasting: bool = False) -> None:
        """A streamed answer has begun: this transmission is the client's now, and no other may follow."""
        self.again_at = None
        self.lasts(lasting or self.lasting)

    def lasts(self, lasting: bool) -> None:
        """Guards against streams, idle or slow, that would fill windows and foreseen times: one that is open
        is held, for passing over, and is no work in flight."""
        if lasting != self.lasting:
            self.lasting = lasting
            for tx in self.out:
                self.home.count_in(self.tries[tx], 1 - 2 * lasting, 2 * lasting - 1)

    def gone(self, now: int) -> list[int]:
        return self.finish()


class Balancer:
    """The decisions of one sidecar."""
    handle = Rpc

    def __init__(self, settings: dict, seed: int, now: int) -> None:
        random = Random(seed)
        self.chance, self.span, self.pick = random.random, random.uniform, random.choices
        limits = settings["limits"]
        self.own, self.sidecars = settings["az"], settings["balancers"]
        self.shared, self.keeps = limits.get("multiplex", 1) > 1, False
        self.place = settings.get("my_number", 0) * GOLDEN % 1
        self.live = settings.get("weight_kind") == "live"
        self.nominal: dict[int, float] = {}     # by kind: the size of an idle one, where sizes move with load
        self.methods: list[Method] = []
        self.zones: list[Zone] = []
        self.retuned(settings)
        self.asks = settings["membership_mode"] == "on_request"
        self.following, self.pending, self.ask_at, self.ask_wait = False, False, now, SECOND
        self.ups: dict[int, Upstream] = {}
        self.latent: dict[int, Upstream] = {}   # in doubt so far that they are used as a last resort only
        self.left: list[int] = []               # given up, and not yet asked for by `released`
        self.owed: list[Upstream] = []          # put back by the operators, and not used since
        self.part = 1.0                         # of what cold upstreams may get: another process has the rest
        self.ready = self.aside = 0             # upstreams ready, and of these set aside
        self.sizes = 0.0                        # the sum of what the list says of their sizes
        self.kinds: dict[int, list] = {}        # by kind of upstream: took, foreseen, since when
        self.memory, self.ends = MEMORY, Ratio(1.0, now)    # of those that took an upstream's time, over time
        self.zones = [Zone(self.chance()) for _ in settings["zones"]]
        self.alarms, self.held, self.count, self.flight, self.spare = [], [], count().__next__, 0, 5.0
        # Time taken against own RPCs in flight at the upstream, over all of them, as sums of a fitted line.
        # Until something is seen, an upstream is believed to finish two at once in the room there is.
        soft = ROOM * self.shortest
        self.sums, self.stamp = [1.0, 2.0, soft, 4.0, 2 * soft], now
        self.fit()

    def retuned(self, settings: dict) -> None:
        """What may change while RPCs are in hand: they keep the method that they came with, and fewer
        transmissions bind at once. What was learnt of a method that stays stays."""
        limits, rules = settings["limits"], settings["rules"]
        self.most, self.parallel, self.cancelling = (
            limits["most_transmissions"], limits["parallel_tries"], limits["cancelling"])
        self.longest_wait = int(limits["max_retry_after"] * 10) if limits["retry_after"] else 0
        self.slack = 2 * int(settings["tick"] * 10)
        self.stay_open = rules.get("dropped_stay_open", False)
        self.cold, self.cold_from = rules["cold"] * 10, rules["cold_from"]
        self.fall_multiple, self.ask_every = rules["fall_multiple"], int(rules["ask_every"] * 10)
        prices = settings["prices"]
        self.cross_price = prices.get("cross_zone", 0.0)
        # Where connections are shared, or new ones have a price, each sidecar keeps to a part of each zone.
        dear = self.shared or prices.get("handshake", 0.0) + prices.get("connection", 0.0) > 0
        kept, self.keeps = self.keeps, dear and self.sidecars > 1
        for zone in self.zones:
            zone.moved |= self.keeps != kept
        self.relisted()
        # By tenant: RPCs within MEMORY that are its share here, as all sidecars get alike, and those seen.
        self.shares = [SPARE_SHARE * tenant["allowance_per_s"] * MEMORY / SECOND / self.sidecars + 3
                       for tenant in settings.get("customers", ())]
        self.fails = [Ratio() for _ in self.shares]
        self.seen, self.excess = [(0.0, 0)] * len(self.shares), settings.get("excess_payoff", 1.0)
        # Where more than a few late ones cost, windows aim at what leaves three times the allowed share late.
        mix = settings.get("objective_mix", {})
        late = 3 * mix.get("miss_allowed", 0.0) if mix.get("slow_end", 0.0) > 0 else 0.0
        self.aim = HALF * min(1.0, log(1 / 7) / log(late)) if 0 < late < 1 else HALF
        top = max((m["payoff"] for m in settings["methods"]), default=1)
        self.mean_payoff = sum(m["payoff"] for m in settings["methods"]) / len(settings["methods"]) or 1.0
        patience = {method.name: method.patience for method in self.methods}
        self.methods = [Method(m, top, self.most) for m in settings["methods"]]
        for method in self.methods:
            method.patience = patience.get(method.name, 0)
        self.shortest = min(m.soft for m in self.methods) - self.slack

    def draw(self, payoff: float) -> float:
        """What a window holds back is rather the cheap: from 0 to 1, rather low for the dear."""
        return self.chance() ** (payoff / self.mean_payoff)

    def luck(self, method: int) -> float:
        return self.draw(self.methods[method].payoff)

    # --- the list of upstreams

    def list_changed(self, now: int, rows: list, whole: bool, asked: bool) -> None:
        if asked:
            self.pending, self.following, self.ask_wait = False, True, SECOND
        if whole:
            named = {row[0] for row in rows}
            for up in [up for index, up in self.ups.items() if index not in named and not self.stays(up)]:
                up.back_at *= now - up.back_at < self.cold
                self.relist(up, up.zone, REMOVED)
                self.release(up)
        for index, zone, state, started, cell, mark, size, kind in rows:
            up = self.ups.get(index) or self.ups.setdefault(index, Upstream(index, self.chance()))
            if state == REMOVED and self.stays(up):
                continue
            if started != up.told:
                self.relist(up, up.zone, REMOVED)
                up.forget()
                up.cold_turns = self.chance()
            up.cell, up.told, up.mark, up.kind, up.dropped = cell, started, mark, kind, False
            up.started = max(started, up.back_at)
            if self.live and size > 0:
                # Load moves the size that the list tells; that of its kind at rest stays.
                self.nominal[kind] = nominal = max(size, self.nominal.get(kind, size))
                up.crowd, size = up.crowd + SMOOTH * (nominal / size - 1 - up.crowd), nominal
            if asked and up.doubt:
                # Discovery itself names it: what an older source left in doubt is settled.
                up.doubt, up.trial = 0, False
                if self.latent.pop(index, None):
                    self.back(up)
            self.relist(up, zone, state, size)
            self.release(up)
        self.relisted()

    def stays(self, up: Upstream) -> bool:
        """Guards against a list that loses upstreams which serve, where the settings say that only draining
        binds: one that was ready stays, one RPC at a time until one completes, until it fails."""
        if self.stay_open and up.listed and not up.dropped:
            up.dropped = up.trial = True
        return up.dropped and up.listed

    def ordered(self, now: int, upstream: int, out: bool) -> None:
        """Operators restart an upstream that they have taken out: it counts as draining until they put it
        back, and then as cold whatever the list says, with nothing known of it."""
        up = self.ups.get(upstream) or self.ups.setdefault(upstream, Upstream(upstream, self.chance()))
        self.owed = [one for one in self.owed if one is not up]
        if out != up.out:
            up.out = out
            if not out:
                up.forget()
                self.latent.pop(upstream, None)
                up.doubt, up.cold_turns, up.started, up.back_at = 0, self.chance(), now, now
                if now - up.used < RECENT:
                    self.owed.append(up)
            self.relist(up, up.zone, up.state)
            self.relisted()
        self.release(up)

    def divided(self, part: float) -> None:
        """Guards against an upgrade, whose two processes would each send a cold upstream the whole share."""
        self.part = part

    def relisted(self) -> None:
        for zone in self.zones:
            if zone.moved:
                self.deal(zone)
            if self.live and zone.ready:
                held = [up.crowd for up in self.ups.values() if up.listed and self.zones[up.zone] is zone]
                zone.crowd = sum(held) / zone.ready
            if zone.window == inf and zone.ring:
                zone.window = max(1.0, THRESHOLD * len(zone.ring) / self.sidecars)

    def relist(self, up: Upstream, zone: int | None, state: int, size: float | None = None) -> None:
        """A change in the list costs what changed: rotations lose and gain just the upstreams it names."""
        listed = state == READY and not up.out
        if up.listed:
            self.ready, self.sizes = self.ready - 1, self.sizes - up.size
            self.aside -= bool(up.aside_until)
        for number in {up.zone, zone} - {None}:
            place = self.zones[number]
            place.moved |= up.zone != zone or up.listed != listed or up.size != (size or up.size)
        if up.zone != zone:
            self.rotation(up, False)
            if up.zone is not None:
                self.zones[up.zone].flight -= up.flight
                self.zones[up.zone].held -= up.held
            self.zones[zone].flight += up.flight
            self.zones[zone].held += up.held
            up.zone = zone
        up.size, up.state, up.listed = size or up.size, state, listed
        if up.listed:
            self.ready, self.sizes = self.ready + 1, self.sizes + up.size
            self.aside += bool(up.aside_until)
        self.rotation(up, up.listed and not up.aside_until)

    def rotation(self, up: Upstream, wanted: bool) -> None:
        zone = self.zones[up.zone] if up.zone is not None else None
        if zone is not None and (up in zone.ring) != (wanted and (zone.part is None or up in zone.part)):
            (zone.ring.append if wanted else zone.ring.remove)(up)

    def kept(self, up: Upstream) -> bool:
        part = self.zones[up.zone].part
        return part is None or up in part

    def deal(self, zone: Zone) -> None:
        """Guards against hundreds of sidecars with a connection each to every upstream, which takes so many.
        A part, even over all by size and number, by points on a circle, so that a change moves few."""
        zone.moved = False
        ups = [up for up in self.ups.values() if up.listed and self.zones[up.zone] is zone]
        zone.ready = len(ups)
        if not self.keeps:
            if zone.part is not None:       # the price is gone
                zone.part, zone.ring = None, [up for up in ups if not up.aside_until]
            return
        near = zone is self.zones[self.own]
        number = COVER * len(ups) * len(self.zones) / self.sidecars
        least = PART if self.shared else LONE
        number = max(least, ceil(number)) if near else max(1, ceil(number / 2 / len(self.zones)))
        others = [place for place in self.zones if place is not self.zones[self.own]]
        if not near and len(others) > 1:
            # Fewer other zones, one at least, where sidecars are many: next ones on a circle by its number.
            most = max(1, round(COVER * self.ready / self.sidecars))
            if (others.index(zone) - int(self.place * len(others))) % len(others) >= most:
                number = 0
        zone.part, reach = list(ups), 0.0
        if number < len(ups):
            ups.sort(key=lambda up: up.mark)
            total = sum(up.size for up in ups)
            points = sorted((self.place + step / number) % 1 * total for step in range(number))
            for up in ups:
                before, reach = reach, reach + up.size
                if not any(before <= point < reach for point in points):
                    zone.part.remove(up)
        zone.ring = [up for up in zone.ring if up in zone.part]
        for up in ups:
            self.rotation(up, not up.aside_until)

    def release(self, up: Upstream) -> None:
        """What is gone with nothing out leaves memory: its index may be another's, which inherits nothing."""
        if up.state == REMOVED and self.ups.get(up.index) is up and not (
                up.flight or up.held or up.out or up.back_at):      # back: it is cold when it is listed again
            for kept in (self.ups, self.latent):
                kept.pop(up.index, None)
            self.left.append(up.index)

    def released(self) -> list[int]:
        """Upstreams given up since the last call, unless they have come again."""
        left, self.left = [index for index in self.left if index not in self.ups], []
        return left

    def doubted(self, now: int, upstreams: list[int], ends: int, last: bool) -> None:
        """Guards against a list older than discovery's: each named upstream may be gone, another's now, or
        cold. One RPC at a time, which no cold one falls under, until so many end well and as quickly as usual
        elsewhere; with `last` each waits aside until nothing else has room."""
        for up in (self.ups[index] for index in upstreams):
            up.doubt, up.trial = ends, True
            if last and up.listed and not up.aside_until:
                up.aside_until, self.latent[up.index] = now + LATENT, up
                self.aside += 1
                self.rotation(up, False)

    def settle(self, up: Upstream, outcome: int, took: int, crowd: int) -> None:
        """An end at an upstream in doubt: it is like all others once it has shown itself sound."""
        if outcome == COMPLETED:
            up.doubt -= took <= USUAL * self.usual(up, crowd)
            if self.latent.pop(up.index, None):
                self.back(up)
        elif up.index in self.latent:
            up.aside_until += 1     # the others in doubt come first

    def export(self, now: int) -> dict:
        """What was learnt, by index, for `restore` after a restart. Its form is versioned: `v`."""
        return {"v": 1, "sums": self.sums, "memory": self.memory,
                "kinds": [[kind, took, alike] for kind, (took, alike, _) in self.kinds.items()],
                "windows": [None if zone.window == inf else zone.window for zone in self.zones],
                "ups": [[up.index, up.took, up.foreseen, up.good, up.bad, (now - up.stamp) / SECOND]
                        for up in self.ups.values() if up.took or up.bad],
                "used": [[up.index, up.back_at, up.used] for up in self.ups.values() if up.used > 0]}

    def restore(self, now: int, state: dict, age: float) -> None:
        """Takes what `export` gave `age` seconds ago, which weighs the less the older it is; the caller has
        checked its form. Windows hold for as long as a trouble lasts, and are then found anew."""
        if state["v"] != 1:
            return
        keep = exp(-age * SECOND / LONGEST)
        part = max(keep, 1 / max(1.0, state["sums"][0]))    # one end's worth stays: better than a belief
        self.sums, self.stamp = [total * part for total in state["sums"]], now
        self.memory = self.ends.under = state["memory"]
        self.ends.over, self.ends.stamp = self.sums[0], now     # it is the same traffic
        self.kinds = {kind: [took * keep, alike * keep, now] for kind, took, alike in state["kinds"]}
        self.fit()
        for zone, window in zip(self.zones, state["windows"], strict=True):
            if window is not None and age * SECOND < LONGEST:
                zone.window = window
        for index, took, foreseen, good, bad, since in state["ups"]:
            if up := self.ups.get(index):
                left = exp(-(age + since) * SECOND / self.memory)
                up.took, up.foreseen, up.good, up.bad = took * left, foreseen * left, good * left, bad * left
                up.stamp = now
        for index, back_at, used in state.get("used", ()):
            if up := self.ups.get(index):
                up.started, up.back_at, up.used = max(up.started, back_at), back_at, used
                if 0 < back_at - used < RECENT:
                    self.owed.append(up)
        for up in self.ups.values():
            up.cold_turns, up.cold_stamp = 0.0, now     # whoever sent before had them

    def list_failed(self, now: int) -> None:
        """The subscription broke or a call failed: ask again soon, then less often, within what is set."""
        self.pending = self.following = False
        self.ask_at = now + int(self.ask_wait * self.span(0.5, 1.0))
        self.ask_wait = min(2 * self.ask_wait, self.ask_every // 2)

    def wants_list(self, now: int) -> bool:
        if not self.asks or self.following or self.pending or now < self.ask_at:
            return False
        self.pending = True
        return True

    def count_in(self, up: Upstream, flight: int, held: int) -> None:
        for place in (up, self.zones[up.zone]):
            place.flight, place.held = place.flight + flight, place.held + held
        self.flight += flight

    # --- the mechanism

    def choose(self, now: int, rpc: Rpc, stay: bool) -> Upstream | None:
        """The design's path: drop the worst zone at the threshold; own zone first, else a draw; rotation."""
        for up in self.owed:
            if up.listed and self.kept(up) and up not in rpc.tries and rpc.allowed(up, now) and self.room(
                    up, now, rpc.soft_end - now, self.expected(up, now)):
                # Guards against an upstream that is put back and never met again, by a light sidecar or from
                # another zone: one RPC, within the budget of cold ones, shows that it is well.
                self.owed.remove(up)
                return self.chosen(up, now)
        worst, most = None, THRESHOLD
        open_zones = []
        for zone in self.zones:
            if zone.ring:
                if zone.window < 1:
                    # What holds back some of all RPCs fades when nothing confirms it.
                    zone.window **= exp((zone.read - now) / LONGEST)
                zone.read = now
                open_zones.append(zone)
                load = zone.flight / len(zone.ring)
                if load >= most and (worst is None or load > most):
                    worst, most = zone, load
        if worst is not None and len(open_zones) > 1:
            open_zones.remove(worst)
        open_zones = [zone for zone in open_zones if zone not in rpc.turned_away] or open_zones
        own = self.zones[self.own]
        left = rpc.soft_end - now if not rpc.method.late else rpc.end - now
        if own in open_zones:
            up = self.rotate(own, now, rpc, left)
            if up is not None:
                return up
            if stay and own.window >= 1:
                return None
            open_zones.remove(own)
        # A zone without room is left out and the draw repeated.
        while open_zones:
            sizes = [zone.ready if self.keeps else len(zone.ring) for zone in open_zones]
            zone = self.pick(open_zones, sizes)[0]
            up = self.rotate(zone, now, rpc, left)
            if up is not None:
                return up
            open_zones.remove(zone)
        if worst is not None and worst.ring:
            return self.rotate(worst, now, rpc, left)
        if self.latent and not rpc.out and not any(up.flight for up in self.latent.values()):
            return self.last_resort(now, rpc)
        held_back = any(zone.ring and zone.full(rpc) for zone in self.zones)
        return None if self.flight or rpc.out or held_back else self.last_resort(now, rpc)

    def rotate(self, zone: Zone, now: int, rpc: Rpc, left: int) -> Upstream | None:
        """The next in rotation that is not well above the mean, then any that has room."""
        if not zone.ring or zone.full(rpc):
            return None
        ring = zone.ring
        size = len(ring)
        start = int(zone.turn * size) if isinstance(zone.turn, float) else zone.turn % size
        bar = (zone.flight + zone.held) / size + MARGIN
        over = None
        for step in range(min(size, VISITS)):
            up = ring[(start + step) % size]
            if up in rpc.tries or not rpc.allowed(up, now):
                continue
            expected = self.expected(up, now)
            zone.usual += (expected - zone.usual) / size if zone.usual else expected
            if not self.room(up, now, left, expected):
                continue
            # Guards against mixed speeds: over time, too, an upstream well above the mean is passed over, so
            # that a slow one gets the fewer turns the longer it takes, and the dear, with most to lose, go
            # elsewhere. What is quick enough takes every turn.
            swift = max(EASY * self.shortest, SWIFT * zone.usual)
            up.turns += 1.0 if expected <= swift else (swift / expected) ** 2
            if up.flight + up.held <= bar and up.turns >= 1 and (
                    expected <= swift or rpc.payoff <= self.mean_payoff):
                up.turns -= 1
                zone.turn = (start + step + 1) % size
                return self.chosen(up, now)
            over = over or up
        return over and self.chosen(over, now)

    def chosen(self, up: Upstream, now: int) -> Upstream:
        if self.is_cold(up, now):
            up.cold_turns -= 1
        return up

    def cold_room(self, up: Upstream, now: int) -> bool:
        """Rule 4: a cold upstream gets its part of what this balancer sends, so that all keep to theirs."""
        # By own traffic, as it ends at a warm upstream of like size and kind: hundreds of even parts would
        # mostly lie unused. Over the time there was, or a restart of all has no part. 3/4 of it, for chance.
        rate = self.ends.over / max(SECOND, self.ends.under + now - self.ends.stamp) / max(1, self.ready)
        rate *= (self.base + self.slope) / self.usual(up, 1) * self.warmth(up, now) * self.part
        zone = self.zones[up.zone]
        if zone.part:
            rate *= zone.ready / len(zone.part) * (len(self.zones) if up.zone == self.own else 1)
        since = now - max(up.cold_stamp, up.started)
        up.cold_turns = min(1.0, up.cold_turns + since * rate * 0.75 * self.fall_multiple)
        up.cold_stamp = now
        return up.cold_turns >= 1

    def warmth(self, up: Upstream, now: int) -> float:
        """The least part of its capacity that an upstream has, as stated."""
        if not self.is_cold(up, now):
            return 1.0
        return self.cold_from + (1 - self.cold_from) * max(0, now - up.started) / self.cold

    def is_cold(self, up: Upstream, now: int) -> bool:
        return up.started > 0 and now - up.started < self.cold

    def room(self, up: Upstream, now: int, left: int, expected: float) -> bool:
        """Guards against crowding: one more only if it is expected back well within the time left."""
        if (up.trial and up.flight) or (self.is_cold(up, now) and not self.cold_room(up, now)):
            return False
        return expected <= (min(left, self.shortest) * ROOM if up.flight else left)

    def fit(self) -> None:
        """The line through what transmissions took at each number in flight."""
        ends, crowd, took, square, both = self.sums
        # The origin counts as one more point, so a balancer that only ever has one in flight assumes a queue.
        spread = (ends + 1) * square - crowd * crowd
        slope = ((ends + 1) * both - crowd * took) / spread if spread > 0 else 0.0
        self.slope = min(max(slope, QUEUED * took / crowd), took / crowd)
        self.base = (took - self.slope * crowd) / ends

    def usual(self, up: Upstream, crowd: int) -> float:
        """The time foreseen for a warm upstream of its size and kind, whatever itself has shown."""
        return (self.base + self.slope * crowd) * self.kind_factor(up) * self.sizes / (
            max(1, self.ready) * up.size)

    def kind_factor(self, up: Upstream) -> float:
        """Guards against too little evidence: what one upstream shows is held true of all of its kind."""
        kind = self.kinds.get(up.kind)
        alike = self.base + self.slope
        return (kind[0] + alike) / (kind[1] + alike) if kind else 1.0

    def expected(self, up: Upstream, now: int) -> float:
        """How long one more transmission would take there; with one usual RPC added for lack of evidence."""
        up.fade(now, self.memory)
        alike = self.base + self.slope
        slowness = (up.took + alike) / (up.foreseen + alike)
        return slowness * self.usual(up, up.flight + up.crowd + 1)

    def typical(self) -> float:
        return self.sums[2] / self.sums[0]

    def last_resort(self, now: int, rpc: Rpc) -> Upstream | None:
        """Nothing eligible, nothing out to wait for: the ready upstream that returns first, one at a time."""
        best, ups = None, list((self.latent or self.ups).values())
        start = int(self.chance() * len(ups))
        # From a random place, or all balancers would fall on the same one.
        for up in ups[start:] + ups[:start]:
            if up.listed and not up.flight and self.kept(up) and up not in rpc.tries and (
                    rpc.allowed(up, now)) and (best is None or up.aside_until < best.aside_until) and (
                    not self.is_cold(up, now) or self.cold_room(up, now)):
                best = up
        return best and self.chosen(best, now)

    # --- is an upstream well

    def drag(self, method: Method) -> float:
        """Over 1: RPCs of this method take that much longer of themselves, wherever they go. Guards against
        a dependency of one method that is taken for a crowd, or for sick upstreams."""
        rest = [other for other in self.methods if other is not method]
        usual = sum(other.pace.over / other.soft for other in rest)
        if not usual or not method.pace.under:
            return 1.0
        usual /= sum(other.pace.under for other in rest)
        return max(1.0, method.pace.of(self.typical()) / method.soft / (DRAG * usual))

    def follows(self, rpc: Rpc) -> bool:
        """Failures follow its sort of RPC: its method or its tenant fails wherever it goes, others do not."""
        def beyond(own: Ratio, sorts: list[Ratio]) -> bool:
            rest = [sort for sort in sorts if sort is not own]
            usual = sum(sort.over for sort in rest) / (1 + sum(sort.under for sort in rest))
            return len(rest) > 0 and own.of(ENOUGH / 3, 0.0) > FOLLOWS[1] + FOLLOWS[0] * usual
        return beyond(rpc.method.fails, [method.fails for method in self.methods]) or any(
            beyond(own, self.fails) for own in self.fails[rpc.tenant:rpc.tenant + 1])

    def learn(self, now: int, up: Upstream, outcome: int, took: int, crowd: int, fresh: bool, rpc: Rpc):
        up.fade(now, self.memory)
        self.ends.add(now, outcome in (COMPLETED, TIMED_OUT), now - self.ends.stamp, self.memory)
        if up.doubt:
            self.settle(up, outcome, took, crowd)
        # Guards against dear connections, of which a first RPC tells. Nothing ready: no mean size to go by.
        if outcome in (COMPLETED, TIMED_OUT) and not fresh and self.usual(up, crowd) > 0:
            usual = self.usual(up, crowd)
            pace = max(0.1, rpc.method.pace.of(3 * self.typical())) if len(self.methods) > 1 else 1.0
            rpc.method.pace.add(now, took, usual)
            usual *= pace
            up.took, up.foreseen = up.took + took, up.foreseen + usual
            alike = usual / self.kind_factor(up)
            kind = self.kinds.setdefault(up.kind, [0.0, 0.0, now])
            keep = exp((kind[2] - now) / LONGEST)
            self.kinds[up.kind] = [kind[0] * keep + took, kind[1] * keep + alike, now]
            level = took * (self.base + self.slope * crowd) / alike     # at one of the mean size, warm
            keep = exp((self.stamp - now) / self.memory)
            seen = (1, crowd, level, crowd * crowd, crowd * level)
            self.sums, self.stamp = [old * keep + new for old, new in zip(self.sums, seen, strict=True)], now
            # A light balancer remembers longer, until it has seen enough.
            few = self.sums[0] < ENOUGH
            self.memory = min(LONGEST, self.memory * 1.1) if few else max(MEMORY, self.memory / 1.1)
            self.fit()
        if outcome in (COMPLETED, FAILED):
            for sort in (rpc.method.fails, *self.fails[rpc.tenant:rpc.tenant + 1]):
                sort.add(now, float(outcome == FAILED), 1.0)
        if outcome == COMPLETED:
            up.good += 1
            up.trial = up.doubt > 0
        elif outcome == TIMED_OUT and self.drag(rpc.method) > 1 or outcome == FAILED and self.follows(rpc):
            return      # it follows the RPC, and is not held against the upstream
        elif outcome in (FAILED, TIMED_OUT, DROPPED, BROKEN):
            up.bad += 0.5 if fresh and outcome == TIMED_OUT else 1.0
        # Guards against instant connect failures, fast errors and hangs drawing turns: two bad ends that
        # outweigh the good ones, or one connection refused, set an upstream aside; one that broke tells less.
        if outcome == UNCONNECTED or up.bad > max(1.5, up.good) or (up.trial and outcome != COMPLETED):
            self.set_aside(now, up, outcome == UNCONNECTED)

    def set_aside(self, now: int, up: Upstream, certain: bool) -> None:
        if not up.listed or up.aside_until:
            return
        if up.dropped:
            self.relist(up, up.zone, REMOVED)
            return self.relisted()
        # Guards against a fault of our own side, or of all at once: at most half is set aside on suspicion.
        if not certain and 2 * (self.aside + 1) > self.ready:
            return
        up.aside_until = now + int(self.span(2, 3) * SECOND)
        up.trial, up.good, up.bad = True, 0.0, 0.0
        self.aside += 1
        self.rotation(up, False)
        heappush(self.alarms, (up.aside_until, self.count(), up))

    def back(self, up: Upstream) -> None:
        up.aside_until = 0
        self.aside -= up.listed
        self.rotation(up, up.listed)

    # --- holding, and when to answer exhausted

    def hold(self, now: int, rpc: Rpc, until: int) -> bool:
        """No room anywhere: wait for an end, dearest first, while the wait should end in an answer."""
        if rpc.held is not None:
            return now < rpc.held[2]
        # What its luck keeps out of every zone no wait lets in: it is told at once.
        if not any(zone.ring and rpc.luck < zone.window for zone in self.zones):
            return False
        typical = self.typical()
        last = int(rpc.soft_end - typical)
        place = (-rpc.payoff, self.count(), last, rpc)
        ahead = bisect_left(self.held, place) + 1
        # What is overtaken is told at once rather than left to sit until its time is up.
        pace = WAIT * self.flight / typical
        if not self.flight or now + ahead / pace > last:
            return False
        rpc.held = place
        insort(self.held, place)
        heappush(self.alarms, (last, self.count(), rpc))
        tail = self.held[-1][3]
        if tail is not rpc and now + len(self.held) / pace > tail.held[2]:
            self.unhold(tail)
            tail.turned = True
            heappush(self.alarms, (now, self.count(), tail))
        if until > now:
            heappush(self.alarms, (until, self.count(), rpc))
        return True

    def unhold(self, rpc: Rpc) -> None:
        if rpc.held is not None:
            del self.held[bisect_left(self.held, rpc.held)]
            rpc.held = None

    def retry_after(self, now: int, rpc: Rpc) -> int:
        """An answer after the soft deadline is worth little, so the client is to stay away until then."""
        return min(self.longest_wait, max(0, rpc.come + rpc.method.hard - now))

    # --- calls of the adapter

    def take(self, now: int, method: int, give_up_at: int, retry: bool = False, tag: object = None,
             tenant: int = 0) -> Rpc:
        # One further transmission for ten RPCs: enough for single faults, too little for a storm.
        self.spare = min(10.0, self.spare + 0.1)
        return self.handle(self, self.methods[method], now, give_up_at, retry, tag, tenant)

    def worth(self, now: int, tenant: int) -> float:
        """The part of its payoff that one more RPC of this tenant brings: beyond its share, little."""
        if tenant >= len(self.shares):
            return 1.0
        seen, at = self.seen[tenant]
        seen = seen * exp((at - now) / MEMORY) + 1
        self.seen[tenant] = seen, now
        part = min(1.0, self.shares[tenant] / seen)
        return part + (1 - part) * self.excess

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
