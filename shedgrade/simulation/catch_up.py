"""How a replica that was away catches up while changes go on: time, bytes sent to it, memory at the primary.

One core of three machines in virtual time. A client orders changes at a steady rate, whether or not the ones
before are acknowledged; one machine is down for a number of changes, comes back with its disk or without, and
may be cut off again in the middle of its state transfer."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from shedgrade.replication import Decision, Member, Timing, Unavailable
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.history import History
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Network, bulk

BITS = 8
MEGABIT = 1_000_000
SMALL_MESSAGE = 100  # bytes that a message without bulk is counted as


@dataclass(frozen=True)
class CatchUpCase:
    """`size`: bytes of the configuration that each change replaces. `interval`: seconds between two changes.
    `megabits`: of the returning machine's links, or of all where `all_links`. `delay`: one way, seconds.
    `before` and `away`: changes ordered before the machine goes down, and while it is. `cut_after`: seconds
    after its return at which its links lose every frame for `cut_seconds`, None for no cut. `keys`: one small
    key per change beside the configuration. `patience`: seconds after its return at which the run gives up.
    """

    size: int = 1_000
    interval: float = 0.1
    megabits: float = 86.0
    delay: float = 0.035
    before: int = 0
    away: int = 100
    wiped: bool = False
    cut_after: float | None = None
    cut_seconds: float = 2.0
    keys: bool = False
    all_links: bool = False
    loss: float = 0.0
    patience: float = 60.0
    was: str = "witness"
    seed: int = 1


@dataclass
class CatchUpResult:
    """`caught_up`: seconds from the return until the replica held what was finished at its return; None if it
    never did. `steady_lag`: the largest number of changes that it was behind the primary in the last five
    seconds. `sent`: bytes sent to it until it caught up (until the end if it never did), `sent_rate`: bytes a
    second in the last five seconds. `queued`: the most bytes that waited at one member to be sent.
    `acknowledged`: the part of all orders."""

    caught_up: float | None = None
    steady_lag: int = 0
    sent: int = 0
    sent_rate: float = 0.0
    queued: int = 0
    acknowledged: float = 0.0


class Links(Network):
    """Each link with its own bandwidth; counts the bytes sent to one address."""

    def __init__(self, *args, rate, counted: str, **options):
        super().__init__(*args, **options)
        self.rate, self.counted, self.bytes_sent = rate, counted, 0
        self.losing: set[str] = set()

    def send(self, sender: str, to: str, message) -> None:
        if to == self.counted:
            self.bytes_sent += bulk(message) + SMALL_MESSAGE
        if self.losing & {sender, to}:
            return
        self.bandwidth = self.rate(sender, to)
        super().send(sender, to, message)


class CatchUpRun:
    """Plays one case. Has what `Machine` needs of a world."""

    def __init__(self, case: CatchUpCase, member_class=Member):
        self.case, self.member_class = case, member_class
        self.random, self.clock, self.history = Random(case.seed), Scheduler(), History()
        self.tolerated, self.timing, self.tickets = 1, Timing(), 0
        self.seeds = ("10.1.0.1:7300", "10.2.0.1:7300", "10.3.0.1:7300")
        self.network = Links(
            self.clock,
            self.random,
            self.deliver,
            between=case.delay,
            within=case.delay,
            held_up=0.0,
            loss=case.loss,
            rate=self.rate,
            counted="",
        )
        self.machines = [Machine(self, f"m{at}", address, f"r{at}") for at, address in enumerate(self.seeds)]
        self.by_address = {machine.address: machine for machine in self.machines}
        self.network.region = {machine.address: machine.region for machine in self.machines}
        self.ordered = self.acknowledged = 0
        self.result = CatchUpResult()
        self.returned: Machine | None = None

    def log(self, what: str, who: str = "") -> None:
        self.history.events.append((self.clock.now, what, who))

    def deliver(self, sender: str, to: str, message) -> None:
        self.by_address[to].receive(sender, message)

    def rate(self, sender: str, to: str) -> float:
        """Bytes a second of one link."""
        thin = self.case.all_links or self.network.counted in (sender, to)
        return (self.case.megabits if thin else 1000.0) * MEGABIT / BITS

    def decide(self, state, number: int) -> Decision:
        changes = {"configuration": number.to_bytes(8, "big") + bytes(self.case.size - 8)}
        if self.case.keys:
            changes[f"taken/{number}"] = b"%020d" % number
        return Decision(changes, number)

    # --- the client

    def order(self) -> None:
        primary = self.primary()
        self.ordered += 1
        if primary is not None:
            primary.ask("submit", self.ordered, self.answered)
        self.clock.after(self.case.interval, self.order)

    def answered(self, outcome) -> None:
        if outcome is not None and not isinstance(outcome, Unavailable) and type(outcome) is int:
            self.acknowledged += 1

    def primary(self) -> Machine | None:
        return next((each for each in self.machines if each.up and each.member.role == "primary"), None)

    # --- the run

    def play(self) -> CatchUpResult:
        case, clock = self.case, self.clock
        for machine in self.machines:
            machine.start(True)
        clock.run(3.0)
        self.order()
        clock.run(3.0 + case.before * case.interval)
        machine = next(each for each in self.machines if each.member.role == case.was)
        machine.kill(True)
        if case.wiped:
            machine.wipe()
        self.network.counted = machine.address
        clock.run(clock.now + case.away * case.interval)
        self.come_back(machine)
        self.watch_until_caught_up(machine)
        self.watch_steady(machine)
        self.result.acknowledged = self.acknowledged / self.ordered
        return self.result

    def come_back(self, machine: Machine) -> None:
        self.network.bytes_sent = 0
        machine.start()
        if self.case.cut_after is not None:
            self.clock.after(self.case.cut_after, self.network.losing.add, machine.address)
            until = self.case.cut_after + self.case.cut_seconds
            self.clock.after(until, self.network.losing.discard, machine.address)

    def watch_until_caught_up(self, machine: Machine) -> None:
        began, target = self.clock.now, self.finished()
        while self.clock.now < began + self.case.patience:
            self.step()
            if machine.member.committed.position >= target:
                self.result.caught_up = self.clock.now - began
                break
        self.result.sent = self.network.bytes_sent

    def watch_steady(self, machine: Machine) -> None:
        self.clock.run(self.clock.now + 5.0)
        sent = self.network.bytes_sent
        for _ in range(500):
            self.step()
            lag = self.finished()[1] - machine.member.committed.sequence
            self.result.steady_lag = max(self.result.steady_lag, lag)
        self.result.sent_rate = (self.network.bytes_sent - sent) / 5.0

    def finished(self) -> tuple[int, int]:
        return max(each.member.committed.position for each in self.machines if each.up)

    def step(self) -> None:
        self.clock.run(self.clock.now + 0.01)
        for machine in self.machines:
            if machine.up:
                queued = queued_bytes(machine.member)
                self.result.queued = max(self.result.queued, queued)


def queued_bytes(member: Member) -> int:
    """Bytes of the messages that wait at a member to be sent in pieces, each distinct value counted once."""
    values = {}
    for queue in member.transport.chunking.queues.values():
        for outgoing in queue:
            if outgoing.body is not None:
                values[id(outgoing.body)] = len(outgoing.body)
            values.update((id(value), len(value)) for value in outgoing.message.changes.values() if value)
    return sum(values.values())


def play(case: CatchUpCase, **options) -> CatchUpResult:
    return CatchUpRun(replace(case, **options)).play()
