"""Clients of the control state: operators that race, an order that repeats, readers."""

from __future__ import annotations

from shedgrade.replication import Elsewhere, Reading, Unavailable
from shedgrade.simulation.history import Call
from shedgrade.simulation.register import CONFLICT, OK, Count, Put


class Client:
    """One call at a time: resent unchanged to some machine until the answer is clear."""

    def __init__(self, world, name: str):
        self.world, self.name = world, name
        self.current: Call | None = None
        self.last = None
        self.attempt = 0
        self.stopped = False

    def begin(self, request) -> None:
        self.current = Call(request, self.world.clock.now)
        self.world.history.calls.append(self.current)
        self.pause = 0.05
        machines = self.world.machines
        stays = self.last in machines and self.world.random.random() < 0.6  # with whom answered last
        self.send(self.last if stays else self.world.random.choice(machines))

    def send(self, machine, hops: int = 0) -> None:
        self.attempt += 1
        attempt, clock, call = self.attempt, self.world.clock, self.current
        began = clock.now

        def answer(outcome) -> None:
            delay = 0.001 + 0.001 * self.world.random.random()
            clock.after(delay, self.answered, attempt, machine, outcome, hops, call, began)

        clock.after(0.001, machine.ask, "read" if call.request is None else "order", call.request, answer)
        clock.after(1.0, self.silence, attempt, machine)

    def silence(self, attempt: int, machine) -> None:
        if attempt == self.attempt and self.current is not None:
            self.retry(machine)

    def answered(self, attempt, machine, outcome, hops, call, began) -> None:
        if attempt != self.attempt or call is not self.current:
            return None
        call.tries.append((began, self.world.clock.now, machine.name, outcome))
        if isinstance(outcome, Elsewhere):
            there = self.world.by_address.get(outcome.address)
            if there is not None and hops < 2:
                return self.send(there, hops + 1)
            return self.retry(machine)
        if outcome is None or isinstance(outcome, Unavailable):
            return self.retry(machine)
        call.ended, call.outcome, self.current = self.world.clock.now, outcome, None
        self.attempt += 1
        self.last = machine
        self.done(call, machine)
        return None

    def retry(self, machine) -> None:
        self.attempt += 1
        others = [each for each in self.world.machines if each is not machine] or [machine]
        self.pause = min(self.pause * 1.6, 0.5)
        attempt = self.attempt
        target = self.world.random.choice(others)
        self.world.clock.after(self.pause, lambda: attempt == self.attempt and self.send(target))


class Operator(Client):
    """Sends configurations on top of the newest version that it knows."""

    known = 0

    def next(self) -> None:
        world = self.world
        if self.stopped:
            return
        world.payloads += 1
        self.begin(Put(self.known, self.known + world.random.randint(1, 3), f"{self.name}{world.payloads}"))

    def done(self, call, machine) -> None:
        if call.request is not None and call.outcome == OK:
            self.known = call.request.version
            self.world.acknowledged(machine, call)
        elif call.outcome == CONFLICT:
            return self.begin(None)
        elif isinstance(call.outcome, Reading):
            self.known = int(call.outcome.state.get("version", b"0"))
        self.world.clock.after(self.world.pace * self.world.random.random(), self.next)
        return None


class Counter(Client):
    """Raises the counter step by step."""

    number = 0

    def next(self) -> None:
        if not self.stopped:
            self.number += 1
            self.begin(Count(self.number))

    def done(self, call, machine) -> None:
        self.world.acknowledged(machine, call)
        self.world.clock.after(2 * self.world.pace * self.world.random.random(), self.next)


class Reader(Client):
    def next(self) -> None:
        if not self.stopped:
            self.begin(None)

    def done(self, call, machine) -> None:
        self.world.clock.after(self.world.pace * self.world.random.random(), self.next)
