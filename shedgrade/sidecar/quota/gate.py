"""The gate before the decisions: asks the tree of quotas, told each request's end exactly once. No I/O.

The dispatcher holds gates in a tuple, empty by default. `enter` admits or says how long to stay away; `leave`
settles.
"""

from collections import Counter
from random import Random

from shedgrade.in_flight import ActiveRequest
from shedgrade.sidecar.quota.builder import build_tree, update_tree
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.fleet_share import FleetShare
from shedgrade.sidecar.quota.tree import Refusal, Ticket

WAIT_SPREAD = 0.5  # of the wait: refused clients return over it, not together
LONGEST_WAIT = 600_000  # tenths of a ms that a refusal asks to stay away at most; the settings may allow less
ESTIMATE_SMOOTHING = 16  # requests over which the mean work of a method is taken
MAX_COUNT_DIGITS = 19  # of an upstream's count: what is longer is none


class Gate:
    """One tree in front of one pool.

    Attributes:
        quota: the configuration in force.
        tree, default_leaf: its nodes, and the one of whoever is unknown.
        payoffs_alike: all methods are worth the same, so no luck is drawn among them.
        identity_names: names of the headers or attributes that say who asks, in lower case.
        estimates: by method, the mean work in ms; missing until the first request has ended.
        refused: refusals by name of the node.
        share: this sidecar's part of the fleet's limits; None where the configuration states it.
    """

    def __init__(self, quota: Quota, seed: int, payoffs: tuple[float, ...] = ()) -> None:
        """`payoffs`: of the methods."""
        self.quota = quota
        self.tree, self.default_leaf = build_tree(quota)
        self.random = Random(f"{seed}/quota")
        self.payoffs_alike = len(set(payoffs)) < 2
        self.identity_names = [name.lower().encode() for name in quota.identity]
        self.estimates: dict[int, float] = {}
        self.refused: Counter[str] = Counter()
        self.share: FleetShare | None = None
        self.update_share()

    # --- configuration

    def update(self, quota: Quota) -> int:
        """A reload: limits and nodes change, what is counted, in flight and owed stays. Returns the sum of
        the debts that were forgiven, as their nodes are no longer there."""
        self.quota = quota
        self.identity_names = [name.lower().encode() for name in quota.identity]
        self.default_leaf = update_tree(self.tree, quota)
        self.update_share()
        return self.tree.terms.forgiven

    def update_share(self) -> None:
        """Observes the fleet, or no longer, as the configuration says; begins anew if the epochs differ."""
        fleet = self.quota.fleet
        if fleet is None:
            self.share = None
            return
        epoch_length = round(fleet.epoch_s * 10_000)
        known = self.share
        if known is None or known.epoch_length != epoch_length or known.sidecars != fleet.sidecars:
            self.share = FleetShare(epoch_length, fleet.sidecars, fleet.even)
            self.tree.terms.share = self.share.at(0)

    # --- requests

    def identity(self, active_request: ActiveRequest) -> list[str]:
        """Who is asking, from the outermost name to the leaf; [] if any of them is missing."""
        found: list[bytes]
        headers = active_request.request.headers
        if self.quota.source == "login":
            found = (
                [name.encode() for name in active_request.client_name.split("/")]
                if active_request.client_name
                else []
            )
            if len(found) != len(self.identity_names):
                return []
        elif self.quota.source == "header":
            by_name = {name.lower(): value for name, value in headers}
            found = [by_name.get(name, b"") for name in self.identity_names]
        else:
            text = next((value for name, value in headers if name.lower() == b"x-attrs"), b"")
            attributes = parse_attributes(text)
            found = [attributes.get(name, b"") for name in self.identity_names]
        return [value.decode("latin-1") for value in found] if all(found) else []

    def enter(
        self, now: int, active_request: ActiveRequest, method: int, is_retry: bool, luck: float
    ) -> Ticket | int:
        """A ticket, or tenths of a millisecond to stay away. `is_retry`: the client marks it so; `luck`: the
        balancer's draw, by which the cheap are given up first."""
        leaf = self.tree.find(now, self.identity(active_request), self.default_leaf)
        work = max(1, round(self.estimates.get(method, self.quota.estimate_ms)))
        luck = 0.0 if self.payoffs_alike else luck
        result = self.tree.admit(now, leaf, {"requests": 1, "work": work}, luck, is_retry)
        if isinstance(result, Ticket):
            return result
        self.refused[result.node] += 1
        return self.retry_after(now, result, is_retry)

    def retry_after(self, now: int, refusal: Refusal, is_retry: bool) -> int:
        """How long to stay away, in tenths of a ms: until the window has room, spread so that clients do not
        return together; a retry that meets the same refusal is to stay away twice as long."""
        least = 1 if refusal.retry_at is None else max(1, refusal.retry_at - now)
        wait = min(LONGEST_WAIT, least * (2 if is_retry else 1))
        return round(wait * (1 + WAIT_SPREAD * self.random.random()))

    def leave(self, now: int, ticket: Ticket, method: int, ran: bool, took: int) -> None:
        """The request's end: `ran` if an attempt may have run; `took` tenths of a ms of measured time."""
        if not ran:
            ticket.cancel(now)
            return
        work = max(1, round(took / 10))
        mean = self.estimates.get(method, self.quota.estimate_ms)
        self.estimates[method] = mean + (work - mean) / ESTIMATE_SMOOTHING
        ticket.settle(now, {"work": work})

    # --- the fleet

    def record_answer(self, upstream: int, count: bytes) -> None:
        """An upstream's answer active_request its count; what is no count is not looked at."""
        if self.share is not None and count.isdigit() and len(count) <= MAX_COUNT_DIGITS:
            self.share.record_answer(upstream, int(count))

    def refresh_share(self, wall: int, upstreams: int) -> None:
        """Now and then: the share may have changed. `wall`: tenths of a ms of the wall clock."""
        if self.share is not None:
            self.share.set_upstreams(upstreams)
            self.tree.terms.share = self.share.at(wall)
            self.tree.apply_share()


def parse_attributes(text: bytes) -> dict[bytes, bytes]:
    """`X-Attrs`: name=value, separated by commas; names in lower case, parts without "=" left out."""
    pairs = (part.partition(b"=") for part in text.split(b","))
    return {name.strip().lower(): value.strip() for name, equals, value in pairs if equals}
