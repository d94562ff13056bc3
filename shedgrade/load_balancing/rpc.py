"""The handle of an RPC, and what the settings say of its method."""

from heapq import heappush
from math import exp

from .outcomes import (
    COMPLETED,
    ERRORED,
    EXHAUSTED,
    NEVER_RAN,
    TIMED_OUT,
    TURNED_AWAY,
)
from .upstream import MEMORY, SECOND, Ratio, Upstream

STEP = 0.1  # of a window for an end that comes at once, or takes twice as long
OPENING = 0.4  # RPCs that a window gains an end until the first late one: a start is over in seconds
GROW = 1.05  # of a window for any end in time, or those of busy balancers would lag


class Method:
    """What the settings say of one method, times in tenths of a millisecond."""

    __slots__ = (
        "name",
        "soft",
        "hard",
        "payoff",
        "late",
        "retriable",
        "deduped",
        "group",
        "window",
        "further",
        "patience",
        "pace",
        "fails",
    )

    def __init__(self, settings: dict, top_payoff: float, most: int, patience: int) -> None:
        self.name = settings.get("name")
        self.soft, self.hard = (max(1, int(settings[key] * 10)) for key in ("soft_deadline", "hard_deadline"))
        self.patience = patience  # the longest that a client has been seen to wait for one try
        self.pace, self.fails = Ratio(), Ratio()  # time taken over that of any method; failed over ended
        self.payoff, self.late = settings["payoff"], settings["overdue_payoff"]
        self.retriable = settings["idempotency"] == "repeatable"
        self.deduped = settings["idempotency"] == "by_key"
        self.group = settings["group"] if self.deduped else "all"
        self.window = int(settings["repeat_window"] * 10) if self.deduped else 0
        # Further transmissions after one that may have run go by payoff: the dearest method may use all left.
        self.further = max(1, round((most - 1) * self.payoff / top_payoff)) if top_payoff else 1


class Rpc:
    """One RPC taken; what happens to it later is a call on this handle. `tag` is the caller's mark."""

    __slots__ = (
        "home",
        "tag",
        "method",
        "come",
        "soft_end",
        "end",
        "tries",
        "sent",
        "out",
        "repeats",
        "again_at",
        "held",
        "done",
        "turned",
        "luck",
        "payoff",
        "lasting",
        "here",
        "turned_away",
        "tenant",
    )

    def __init__(
        self,
        home: "Balancer",  # noqa: F821 (that module imports this one)
        method: Method,
        now: int,
        give_up_at: int,
        retry: bool,
        tag: object,
        tenant: int,
    ) -> None:
        self.home, self.method, self.tag, self.tenant = home, method, tag, tenant
        self.timed(now, give_up_at, retry)
        self.tries, self.sent, self.out = [], [], {}  # by transmission: upstream; when, None: it never ran
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
        self.lasts(not whole)  # an upstream begins it once it is whole
        return max(1, self.end - now)

    def first_run(self) -> int | None:
        """The first transmission that may have run, those still out included."""
        return next((tx for tx, at in enumerate(self.sent) if at is not None), None)

    def reaches(self, zone: "Zone") -> bool:  # noqa: F821
        return bool(zone.ring)

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
        if (
            self.turned
            or now >= self.end
            or len(self.tries) >= home.most
            or (self.here is False and self.tries)
            or (
                repeat
                and not (
                    (method.retriable or method.deduped)
                    and self.repeats < method.further
                    and home.spare >= 1
                    and not home.follows(self)
                )
            )
        ):
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
            self.lasting = True  # it will hold its place for long, as an open stream does
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
        self.turned_away += [zone] * (outcome == TURNED_AWAY)
        if outcome in NEVER_RAN:
            self.sent[tx] = None
        return self.finish() if settled and not self.done else []

    def started(self, lasting: bool = False) -> None:
        """A streamed answer has begun: this transmission is the client's now, and no other may follow."""
        self.again_at = None
        self.lasts(lasting or self.lasting)

    def lasts(self, lasting: bool) -> None:
        """An open stream, idle or slow, is held, for passing over: no work in flight, and in no window."""
        if lasting != self.lasting:
            self.lasting = lasting
            for tx in self.out:
                self.home.count_in(self.tries[tx], 1 - 2 * lasting, 2 * lasting - 1)

    def gone(self, now: int) -> list[int]:
        return self.finish()
