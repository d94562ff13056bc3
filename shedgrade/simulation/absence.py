"""Replicas that are away for hundreds of changes, by seed; no primary begins with less than was acknowledged.

One core of 2t + 1 machines in virtual time, clients that order changes one after the other, and a plan of
absences within what is tolerated: at most t machines are away or catching up at once, each for up to a
thousand changes; it comes back with its disk, with an empty one, or with the disk that it had before it was
emptied. All power may be lost in between. The clients' numbers only grow: a state tells what it lacks.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from shedgrade.replication import (
    Decision,
    Member,
    ReadResult,
    RedirectToPrimary,
    Timing,
    Unavailable,
)
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Network

CATCH_UP = 4.0  # seconds after its return in which a machine counts as lost
RETRY_AFTER = 0.4  # seconds of silence
CLIENTS = 4


class Write(NamedTuple):
    """Order `number` of one client; numbers count up, and an order is sent until it is acknowledged."""

    client: int
    number: int


def last_key(client: int) -> str:
    return f"last/{client}"


def last_numbers(state) -> tuple[int, ...]:
    """The last order of each client that the state has."""
    return tuple(int(state.get(last_key(client), b"0")) for client in range(CLIENTS))


def lacks(state, acknowledged: tuple[int, ...]) -> bool:
    return any(has < wanted for has, wanted in zip(last_numbers(state), acknowledged, strict=True))


class Findings:
    """What members and clients saw, checked as it comes."""

    def __init__(self):
        self.wrong: list[str] = []
        self.states: dict[tuple[int, int], tuple] = {}
        self.acknowledged = [0] * CLIENTS
        self.events: list[tuple[float, str, str]] = []

    def finished(self, now: float, machine: Machine, effect) -> None:
        """One state at each position, whichever member tells of it."""
        mark, summary = (effect.epoch, effect.sequence), (*last_numbers(effect.state), len(effect.state))
        if self.states.setdefault(mark, summary) != summary:
            self.wrong.append(f"{machine.name} has another state at {mark}, {now:.3f} s")

    def began(self, now: float, name: str, state) -> None:
        """A primary begins."""
        if lacks(state, tuple(self.acknowledged)):
            self.wrong.append(
                f"{name} leads with {last_numbers(state)}, acknowledged {self.acknowledged}, {now:.3f} s"
            )

    def read(self, now: float, before: tuple[int, ...], state) -> None:
        if lacks(state, before):
            self.wrong.append(f"a read tells {last_numbers(state)} after {before}, {now:.3f} s")

    def check_chain(self) -> list[str]:
        """Nothing that a position has is lacking at a later one."""
        wrong, before = [], (0,) * CLIENTS
        for mark in sorted(self.states):
            numbers = self.states[mark][:CLIENTS]
            if any(a < b for a, b in zip(numbers, before, strict=True)):
                wrong.append(f"{mark} lacks what was there before")
            before = numbers
        if any(a < b for a, b in zip(before, self.acknowledged, strict=True)):
            wrong.append(f"the end has {before}, acknowledged {self.acknowledged}")
        return wrong


class WriteClient:
    """Orders one change after the other, and reads at times."""

    def __init__(self, run: AbsenceRun, client: int):
        self.run, self.client = run, client
        self.number = self.attempt = 0
        self.target: Machine | None = None
        self.stopped = False

    def next(self) -> None:
        if self.stopped:
            return
        self.before = tuple(self.run.history.acknowledged)
        self.reading = self.run.random.random() < 0.1
        self.number += not self.reading
        self.send(self.target)

    def send(self, machine: Machine | None) -> None:
        run = self.run
        self.attempt += 1
        self.target = machine = machine or run.random.choice(run.machines)
        attempt = self.attempt
        request = None if self.reading else Write(self.client, self.number)
        machine.ask(
            "read" if self.reading else "submit",
            request,
            lambda outcome: run.clock.after(0.001, self.answered, attempt, outcome),
        )
        run.clock.after(RETRY_AFTER, self.retry, attempt)

    def retry(self, attempt: int) -> None:
        if attempt == self.attempt:
            self.send(None)

    def answered(self, attempt: int, outcome) -> None:
        run = self.run
        if attempt != self.attempt:
            return
        if isinstance(outcome, RedirectToPrimary):
            self.attempt += 1
            run.clock.after(0.02, self.retry_at, self.attempt, run.by_address[outcome.address])
        elif outcome is None or isinstance(outcome, Unavailable):
            self.attempt += 1
            run.clock.after(0.05, self.retry, self.attempt)
        else:
            self.done(outcome)

    def retry_at(self, attempt: int, machine: Machine) -> None:
        if attempt == self.attempt:
            self.send(machine)

    def done(self, outcome) -> None:
        run = self.run
        self.attempt += 1
        if isinstance(outcome, ReadResult):
            run.history.read(run.clock.now, self.before, outcome.state)
        else:
            run.history.acknowledged[self.client] = self.number
            run.acknowledged()
        run.clock.after(run.pace * run.random.random(), self.next)


class AbsenceRun:
    """One plan by its seed. Has what `Machine` needs of a world.

    `SETTLE`: seconds in which all come back after the plan, and catch up."""

    SETTLE = 35.0

    def __init__(
        self, seed: int, tolerated: int = 1, member_class=Member, machine_class=Machine, length: float = 45.0
    ):
        self.seed, self.tolerated, self.length = seed, tolerated, length
        self.random, self.clock, self.history = Random(seed), Scheduler(), Findings()
        self.timing, self.tickets, self.pace = Timing(), 0, 0.06
        self.member_class = type("Observed", (member_class,), {"became_primary": self.observe(member_class)})
        count = 2 * tolerated + 1
        addresses = tuple(f"10.{at + 1}.0.1:7300" for at in range(count))
        self.seeds = addresses[:3]
        delay = self.random.choice((0.0005, 0.02, 0.055))
        self.network = Network(
            self.clock,
            self.random,
            self.deliver,
            between=delay,
            bandwidth=self.random.choice((0.0, 625_000.0)),
        )
        self.machines = [
            machine_class(self, f"m{at}", address, f"r{at}") for at, address in enumerate(addresses)
        ]
        self.by_address = {machine.address: machine for machine in self.machines}
        sync = self.random.choice((0.005, 0.03, 0.08))
        for machine in self.machines:
            machine.sync = sync
        self.network.region = {machine.address: machine.region for machine in self.machines}
        self.padding = self.random.choice((100, 100, 20_000, 60_000))
        self.clients = [WriteClient(self, client) for client in range(CLIENTS)]
        self.lost_until: dict[str, float] = {}
        self.healing = False
        self.after_next_ack: Callable[[], None] | None = None

    def observe(self, member_class):
        def became_primary(member, now: float) -> None:
            member_class.became_primary(member, now)
            self.history.began(self.clock.now, member.name, member.replica.state)

        return became_primary

    def log(self, what: str, who: str = "") -> None:
        self.history.events.append((self.clock.now, what, who))

    def deliver(self, sender: str, to: str, message) -> None:
        self.by_address[to].receive(sender, message)

    def decide(self, state, request: Write) -> Decision:
        key = last_key(request.client)
        if int(state.get(key, b"0")) >= request.number:
            return Decision({}, True)
        number = b"%d" % request.number
        changes = {key: number, f"taken/{request.client}/{request.number % 200}": number}
        if request.number % 5 == 0:
            changes["configuration"] = number + bytes(self.padding)
            changes[f"taken/{request.client}/{(request.number - 100) % 200}"] = None
        return Decision(changes, True)

    # --- the plan

    def next_trouble(self) -> None:
        if self.healing:
            return
        free, room = self.may_be_lost()
        chance = self.random.random()
        if chance < 0.3:
            self.after_next_ack = self.lose_all_power
        elif chance < 0.6:
            self.after_next_ack = self.lose_power_and_disks
        elif room > 0 and free:
            for machine in self.random.sample(free, min(len(free), self.random.randint(1, room))):
                self.take_away(machine)
        self.clock.after(self.random.choice((0.3, 2.0, 6.0)), self.next_trouble)

    def may_be_lost(self) -> tuple[list[Machine], int]:
        """Machines that are neither away nor catching up, and how many of them may be lost now."""
        lost = [name for name, until in self.lost_until.items() if until > self.clock.now]
        free = [machine for machine in self.machines if machine.name not in lost and machine.up]
        return free, self.tolerated - len(lost)

    def take_away(self, machine: Machine) -> None:
        """For a second to some twenty; a thousand changes are made in the longest."""
        away = self.random.choice((0.7, 3.0, 8.0, 20.0))
        how = self.random.choice(("whole", "whole", "wiped", "old disk"))
        self.log(f"away {away} {how}", machine.name)
        machine.kill(self.random.random() < 0.7)
        old_disk = dict(machine.durable)
        if how != "whole":
            machine.wipe()
        self.lost_until[machine.name] = self.clock.now + away + CATCH_UP
        self.clock.after(away, self.bring_back, machine)
        if how == "old disk":
            back = away + CATCH_UP + self.random.random() * 4
            self.lost_until[machine.name] = self.clock.now + back + 0.5 + CATCH_UP
            self.clock.after(back, self.exchange_disk, machine, old_disk)

    def exchange_disk(self, machine: Machine, old_disk: dict[str, bytes]) -> None:
        """The disk of before it was emptied is put back: an old incarnation with an old state."""
        self.log("old disk", machine.name)
        machine.kill(True)
        machine.durable, machine.open = dict(old_disk), None
        self.clock.after(0.5, self.bring_back, machine)

    def bring_back(self, machine: Machine) -> None:
        machine.start()

    def lose_power_and_disks(self) -> None:
        """As many as tolerated lose their disks, the primary first, while all others lose power."""
        free, room = self.may_be_lost()
        free.sort(key=lambda machine: machine.member.role != "primary")
        self.lose_all_power()
        for machine in free[: max(0, room)]:
            self.log("wiped", machine.name)
            machine.wipe()
            self.lost_until[machine.name] = self.clock.now + 1.5 + CATCH_UP

    def acknowledged(self) -> None:
        """Some troubles strike right after an acknowledgement."""
        if self.after_next_ack is not None and not self.healing:
            strike, self.after_next_ack = self.after_next_ack, None
            strike()

    def lose_all_power(self) -> None:
        """Those that are away stay away; all others come back in any order."""
        self.log("all power")
        for machine in self.machines:
            if machine.up:
                machine.kill(True)
                self.clock.after(0.5 + self.random.random(), machine.start)

    # --- the run

    def play(self) -> list[str]:
        """What is wrong."""
        for machine in self.machines:
            machine.start(machine.address in self.seeds)
        for client in self.clients:
            self.clock.after(1.0, client.next)
        self.clock.at(5.0, self.next_trouble)
        self.clock.run(self.length)
        self.healing = True
        self.clock.run(self.length + self.SETTLE)
        for client in self.clients:
            client.stopped = True
        self.clock.run(self.clock.now + 3.0)
        return self.history.wrong + self.history.check_chain() + self.not_caught_up()

    def not_caught_up(self) -> list[str]:
        """At the end, with nothing going on, all know the newest state."""
        newest = max(self.history.states, default=(0, 0))
        return [
            f"{machine.name} is at {machine.member.committed.position if machine.up else None}, not {newest}"
            for machine in self.machines
            if not machine.up or machine.member.committed.position != newest
        ]
