"""Baseline policies for comparison, in the lab only: the same sidecar with another choice of upstream.

Each keeps what the load balancer does for the four rules by itself (limits on repeats, drains) and has none
of its protections: no zones, no windows, no ejection, no queue, no slow start for cold upstreams.
"""

from random import Random

from shedgrade import load_balancing


class Baseline(load_balancing.Balancer):
    """The load balancer without its choice of upstream, which a subclass supplies."""

    def __init__(self, settings: dict, seed: int, now: int) -> None:
        super().__init__(settings, seed, now)
        self.rotation_position = 0
        self.choice_random = Random(f"{seed}/baseline")

    def usable(self, now: int, rpc: load_balancing.Rpc) -> list[load_balancing.Upstream]:
        return [
            up
            for up in self.upstreams.values()
            if up.listed and up not in rpc.attempts and rpc.may_send_to(up, now)
        ]

    def choose_upstream(
        self, now: int, rpc: load_balancing.Rpc, stay: bool
    ) -> load_balancing.Upstream | None:
        usable = self.usable(now, rpc)
        return self.choose_from(usable) if usable else None

    def choose_from(self, upstreams: list[load_balancing.Upstream]) -> load_balancing.Upstream:
        raise NotImplementedError

    def enqueue(self, now: int, rpc: load_balancing.Rpc, until: int) -> bool:
        return False

    def eject(self, now: int, up: load_balancing.Upstream, certain: bool) -> None:
        return


class RandomChoice(Baseline):
    """Chooses among all upstreams with equal probability."""

    def choose_from(self, upstreams: list[load_balancing.Upstream]) -> load_balancing.Upstream:
        return self.choice_random.choice(upstreams)


class Rotation(Baseline):
    """Chooses the upstreams in turn (round robin)."""

    def choose_from(self, upstreams: list[load_balancing.Upstream]) -> load_balancing.Upstream:
        self.rotation_position += 1
        return upstreams[self.rotation_position % len(upstreams)]


class LeastInFlight(Baseline):
    """Chooses the upstream with the fewest RPCs of this sidecar in flight; at random among equals."""

    def choose_from(self, upstreams: list[load_balancing.Upstream]) -> load_balancing.Upstream:
        least = min(up.in_flight for up in upstreams)
        return self.choice_random.choice([up for up in upstreams if up.in_flight == least])


POLICIES = {"random": RandomChoice, "rotation": Rotation, "least": LeastInFlight}
