"""The gate: what stands before the decisions, asks the tree, and is told each RPC's end exactly once. No I/O.

`Turn` holds gates in a tuple, empty by default. `enter` admits or says how long to stay away; `leave`
settles.
"""

from collections import Counter
from random import Random

from shedgrade.in_flight import ActiveRequest
from shedgrade.sidecar.quota.config import Quota, build, renew
from shedgrade.sidecar.quota.share import Share
from shedgrade.sidecar.quota.tree import Refusal, Ticket

SPREAD = 0.5  # of the wait: refused clients return over it, not together
LONGEST = 600_000  # tenths of a ms that a refusal asks to stay away at the most; the settings may allow less
LEARNS = 16  # RPCs over which the mean work of a method is taken


class Gate:
    """One tree in front of one pool."""

    def __init__(self, quota: Quota, seed: int, payoffs: tuple[float, ...] = ()) -> None:
        """`payoffs` of the methods: where they are all alike, no luck is drawn among them."""
        self.quota = quota
        self.tree, self.other = build(quota)
        self.chance = Random(f"{seed}/quota")
        self.alike = len(set(payoffs)) < 2
        self.names = [name.lower().encode() for name in quota.identity]
        self.estimates: dict[int, float] = {}  # by method: mean work, in ms
        self.refused: Counter = Counter()
        self.share: Share | None = None
        self.renew_share()

    def renew(self, quota: Quota) -> int:
        """A reload: limits and nodes change, what is counted, held and owed stays. Returns what had to be
        forgiven, as its node is no longer there."""
        self.quota, self.names = quota, [name.lower().encode() for name in quota.identity]
        self.other = renew(self.tree, quota)
        self.renew_share()
        return self.tree.terms.forgiven

    def renew_share(self) -> None:
        fleet = self.quota.fleet
        if fleet is None:
            self.share = None
        elif self.share is None or (self.share.epoch, self.share.sidecars) != (
            round(fleet.epoch_s * 10_000),
            fleet.sidecars,
        ):
            self.share = Share(round(fleet.epoch_s * 10_000), fleet.sidecars, fleet.even)
            self.tree.terms.share = self.share.at(0)

    def identity(self, active_request: ActiveRequest) -> list[str]:
        """Who is asking, from the outermost name to the leaf; [] if any of them is missing."""
        if self.quota.source == "login":
            found = (
                [name.encode() for name in active_request.client_name.split("/")]
                if active_request.client_name
                else []
            )
            if len(found) != len(self.names):
                return []
        elif self.quota.source == "header":
            told = {name.lower(): value for name, value in active_request.request.headers}
            found = [told.get(name, b"") for name in self.names]
        else:
            text = next(
                (value for name, value in active_request.request.headers if name.lower() == b"x-attrs"), b""
            )
            told = {
                name.strip().lower(): value.strip()
                for name, equals, value in (part.partition(b"=") for part in text.split(b","))
                if equals
            }
            found = [told.get(name, b"") for name in self.names]
        return [value.decode("latin-1") for value in found] if all(found) else []

    def enter(
        self, now: int, active_request: ActiveRequest, method: int, again: bool, luck: float
    ) -> Ticket | int:
        """A ticket, or tenths of a millisecond to stay away. `again`: the client marks a retry; `luck`: the
        decision module's draw, by which the cheap are given up first."""
        leaf = self.tree.find(now, self.identity(active_request), self.other)
        work = max(1, round(self.estimates.get(method, self.quota.estimate_ms)))
        got = self.tree.ask(now, leaf, {"requests": 1, "work": work}, 0.0 if self.alike else luck, again)
        if isinstance(got, Ticket):
            return got
        self.refused[got.node] += 1
        return self.wait(now, got, again)

    def wait(self, now: int, refusal: Refusal, again: bool) -> int:
        """From the window's own arithmetic, spread so that clients do not return together; a retry that meets
        the same refusal is to stay away twice as long."""
        least = 1 if refusal.until is None else max(1, refusal.until - now)
        return round(min(LONGEST, least * (2 if again else 1)) * (1 + SPREAD * self.chance.random()))

    def leave(self, now: int, ticket: Ticket, method: int, ran: bool, took: int) -> None:
        """The RPC's end: `ran` if a transmission may have run; `took` tenths of a ms of measured time."""
        if not ran:
            ticket.cancel(now)
            return
        work = max(1, round(took / 10))
        mean = self.estimates.get(method, self.quota.estimate_ms)
        self.estimates[method] = mean + (work - mean) / LEARNS
        ticket.settle(now, {"work": work})

    # --- the fleet

    def answered(self, upstream: int, value: bytes) -> None:
        """An upstream's answer carried its count; what is no count is not looked at."""
        if self.share is not None and value.isdigit() and len(value) < 20:
            self.share.answered(upstream, int(value))

    def look(self, wall: int, upstreams: int) -> None:
        """Now and then: the share may have changed."""
        if self.share is not None:
            self.share.listed(upstreams)
            self.tree.terms.share = self.share.at(wall)
            self.tree.rescale()
