"""The gate before the balancer's decisions: asks the tree of quotas, and settles each request once. No I/O.

The dispatcher holds gates in a tuple, empty by default. `enter` admits a request, or returns how long its
client is to wait; `leave` settles a request that was admitted.
"""

from collections import Counter
from random import Random

from shedgrade.in_flight import ActiveRequest
from shedgrade.sidecar.quota.builder import build_tree, update_tree
from shedgrade.sidecar.quota.config import Quota
from shedgrade.sidecar.quota.fleet_share import FleetShare
from shedgrade.sidecar.quota.tree import Refusal, Ticket

WAIT_JITTER = 0.5  # of the wait: the largest random addition, so that clients do not return together
MAX_WAIT = 600_000  # tenths of a ms that a client is to wait, before the jitter; settings may allow less
ESTIMATE_SMOOTHING = 16  # requests over which the mean work of a method is taken
MAX_COUNT_DIGITS = 19  # of an upstream's count; longer values are ignored


class Gate:
    """The quotas in front of one pool.

    Attributes:
        quota: the configuration in force.
        tree, default_leaf: the tree of quotas, and its leaf of unknown identities.
        payoffs_equal: whether all methods have the same payoff, so that the admission draw is not used.
        identity_names: names of the headers or attributes that identify the client, in lower case.
        estimates: by method, the mean work in ms; missing until the method's first request has ended.
        refused: the number of refusals by name of the node.
        share: computes this sidecar's share of the fleet's limits; None where the configuration states it.
    """

    def __init__(self, quota: Quota, seed: int, payoffs: tuple[float, ...] = ()) -> None:
        """Builds the tree of quotas. `payoffs`: the payoff of each method, by number."""
        self.quota = quota
        self.tree, self.default_leaf = build_tree(quota)
        self.random = Random(f"{seed}/quota")
        self.payoffs_equal = len(set(payoffs)) < 2
        self.identity_names = [name.lower().encode() for name in quota.identity]
        self.estimates: dict[int, float] = {}
        self.refused: Counter[str] = Counter()
        self.share: FleetShare | None = None
        self.update_share()

    # --- configuration

    def update(self, quota: Quota) -> int:
        """Applies a reload: limits and nodes change; use, requests in flight and debts are kept.

        Returns the sum of the debts that were forgiven, as a node is gone or has nothing left to repay from.
        """
        self.quota = quota
        self.identity_names = [name.lower().encode() for name in quota.identity]
        self.default_leaf = update_tree(self.tree, quota)
        self.update_share()
        return self.tree.terms.forgiven

    def update_share(self) -> None:
        """Starts or stops observing the fleet, as configured; starts anew if epochs or sidecars differ."""
        fleet = self.quota.fleet
        if fleet is None:
            self.share = None
            return
        epoch_length = round(fleet.epoch_s * 10_000)
        current = self.share
        if current is None or current.epoch_length != epoch_length or current.sidecar_count != fleet.sidecars:
            self.share = FleetShare(epoch_length, fleet.sidecars, fleet.even)
            self.tree.terms.share = self.share.share_at(0)

    # --- requests

    def identity(self, active_request: ActiveRequest) -> list[str]:
        """Returns the client's names, from the outermost to the leaf; [] if any of them is missing."""
        values: list[bytes]
        headers = active_request.request.headers
        if self.quota.source == "login":
            values = (
                [name.encode() for name in active_request.client_name.split("/")]
                if active_request.client_name
                else []
            )
            if len(values) != len(self.identity_names):
                return []
        elif self.quota.source == "header":
            by_name = {name.lower(): value for name, value in headers}
            values = [by_name.get(name, b"") for name in self.identity_names]
        else:
            text = next((value for name, value in headers if name.lower() == b"x-attrs"), b"")
            attributes = parse_attributes(text)
            values = [attributes.get(name, b"") for name in self.identity_names]
        return [value.decode("latin-1") for value in values] if all(values) else []

    def enter(
        self, now: int, active_request: ActiveRequest, method: int, is_retry: bool, admission_draw: float
    ) -> Ticket | int:
        """Returns a ticket, or the time that the client is to wait, in tenths of a millisecond.

        `is_retry`: whether the client marked the request as a retry. `admission_draw`: drawn by the balancer,
        0 to 1, so that requests of low payoff are refused first.
        """
        leaf = self.tree.find(now, self.identity(active_request), self.default_leaf)
        work = max(1, round(self.estimates.get(method, self.quota.estimate_ms)))
        admission_draw = 0.0 if self.payoffs_equal else admission_draw
        decision = self.tree.admit(now, leaf, {"requests": 1, "work": work}, admission_draw, is_retry)
        if isinstance(decision, Ticket):
            return decision
        self.refused[decision.node] += 1
        return self.retry_after(now, decision, is_retry)

    def retry_after(self, now: int, refusal: Refusal, is_retry: bool) -> int:
        """Returns how long the client is to wait, in tenths of a ms.

        That is until the window has room, twice as long for a retry, plus a random part so that clients do
        not return together.
        """
        least = 1 if refusal.retry_at is None else max(1, refusal.retry_at - now)
        wait = min(MAX_WAIT, least * (2 if is_retry else 1))
        return round(wait * (1 + WAIT_JITTER * self.random.random()))

    def leave(self, now: int, ticket: Ticket, method: int, ran: bool, duration: int) -> None:
        """Settles a request that has ended.

        `ran`: whether an attempt may have run. `duration`: measured time, tenths of a ms.
        """
        if not ran:
            ticket.cancel(now)
            return
        work = max(1, round(duration / 10))
        mean = self.estimates.get(method, self.quota.estimate_ms)
        self.estimates[method] = mean + (work - mean) / ESTIMATE_SMOOTHING
        ticket.settle(now, {"work": work})

    # --- the fleet

    def record_answer(self, upstream: int, count: bytes) -> None:
        """Records the count that an upstream sent with an answer; ignores a value that is not a count."""
        if self.share is not None and count.isdigit() and len(count) <= MAX_COUNT_DIGITS:
            self.share.record_answer(upstream, int(count))

    def refresh_share(self, wall_time: int, upstream_count: int) -> None:
        """Recomputes the share and applies it, if limits are split by observed traffic.

        `wall_time`: tenths of a ms of the wall clock. `upstream_count`: the number of listed upstreams.
        """
        if self.share is not None:
            self.share.set_upstreams(upstream_count)
            self.tree.terms.share = self.share.share_at(wall_time)
            self.tree.apply_share()


def parse_attributes(text: bytes) -> dict[bytes, bytes]:
    """Parses `X-Attrs`: name=value, separated by commas; names in lower case, parts without "=" left out."""
    pairs = (part.partition(b"=") for part in text.split(b","))
    return {name.strip().lower(): value.strip() for name, equals, value in pairs if equals}
