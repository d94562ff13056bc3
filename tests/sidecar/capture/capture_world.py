"""Simulated upstreams and clients, by seed, that drive a recorded balancer as the dispatcher does."""

from random import Random
from types import SimpleNamespace

from helpers import method, row, settings

from shedgrade import file_frames, load_balancing
from shedgrade.sidecar.capture.recorder import Recorder
from shedgrade.sidecar.capture.rows import KIND, Ring

METHODS = [method("once"), method(payoff=3.0), method("by_key", "zone", payoff=0.5)]


class World:
    """Drives a balancer in steps of time: random outcomes, drains, removals, and clients that disconnect."""

    def __init__(self, seed, most=2**20, **options):
        self.chance, self.now = Random(seed), 100
        self.ring = Ring(most)
        self.balancer = Recorder(settings(METHODS, zones=2), seed, self.now, self.ring, **options)
        self.balancer.upstream_id = lambda index: f"u{index}"
        self.balancer.list_changed(self.now, [row(up, up % 2) for up in range(6)], True, True)
        self.ends, self.requests, self.decisions = [], [], []

    def apply_decision(self, active_request, answer):
        if answer is None:
            return
        self.decisions.append((active_request.rpc.number, answer))
        if answer[0] >= 0:
            duration = self.chance.choice((5, 20, 60, 300, answer[1]))
            self.ends.append(
                (
                    self.now + min(duration, answer[1]),
                    len(active_request.rpc.attempts) - 1,
                    active_request,
                    load_balancing.TIMED_OUT
                    if duration >= answer[1]
                    else self.chance.choice(
                        (load_balancing.COMPLETED,) * 12
                        + (load_balancing.REJECTED, load_balancing.FAILED, load_balancing.DROPPED)
                    ),
                )
            )

    def step(self):
        chance, balancer = self.chance, self.balancer
        for _ in range(chance.choice((0, 1, 1, 3, 12))):
            active_request = SimpleNamespace(
                request=SimpleNamespace(name=b"id-%d" % len(self.requests)), rpc=None
            )
            active_request.rpc = balancer.admit(
                self.now, chance.randrange(3), self.now + 9000, False, active_request
            )
            self.requests.append(active_request)
            self.apply_decision(active_request, active_request.rpc.decide(self.now))
        for finished in [one for one in self.ends if one[0] <= self.now]:
            self.ends.remove(finished)
            _, attempt, active_request, outcome = finished
            if attempt in active_request.rpc.rpc.outstanding:
                done = outcome == load_balancing.COMPLETED
                for stopped in active_request.rpc.attempt_finished(self.now, attempt, outcome, 20, done):
                    active_request.rpc.attempt_finished(self.now, stopped, load_balancing.STOPPED, 20, True)
                self.apply_decision(active_request, active_request.rpc.decide(self.now))
        if chance.random() < 0.02 and self.requests:
            leaving = chance.choice(self.requests[-20:])
            if not leaving.rpc.rpc.done:
                for stopped in leaving.rpc.client_disconnected(self.now):
                    leaving.rpc.attempt_finished(self.now, stopped, load_balancing.STOPPED, 5, True)
        if chance.random() < 0.05:
            up = chance.randrange(8)
            state = chance.choice(
                (load_balancing.READY, load_balancing.READY, load_balancing.DRAINING, load_balancing.REMOVED)
            )
            balancer.list_changed(self.now, [row(up, up % 2, state, started=self.now - 500)], False, True)
        if chance.random() < 0.01:
            balancer.list_failed(self.now)
            balancer.uniform(0.5, 1.0)
            balancer.draw_admission(1)
        for rpc in balancer.due(self.now):
            self.apply_decision(rpc.tag, rpc.tag.rpc.decide(self.now))
        balancer.take_released()

    def run(self, steps, lag=0):
        for _ in range(steps):
            self.step()
            self.balancer.after_pass(self.now, lag)
            self.now += self.chance.choice((1, 5, 10, 40))
        return self.records()

    def records(self):
        self.balancer.flush()
        _, records, damage = file_frames.decode_file(self.ring.data(), KIND)
        assert not damage
        return records


def capture(seed=4, steps=300):
    """Returns the content of a short capture."""
    world = World(seed)
    world.run(steps)
    return world.ring.data()
