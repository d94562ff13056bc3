"""Measures how a replica that was down catches up during changes: time, bytes sent, memory at the primary.

One core of three machines runs in virtual time. A client submits changes at a steady rate, without waiting
for acknowledgements. One machine is down for a number of changes, returns with its disk or with an empty one,
and may be cut off again in the middle of its state transfer.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from shedgrade.replication import Decision, Member, Message, Timing
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.history import History, LoggedEvent, Position
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Deliver, Network, payload_bytes

BITS_PER_BYTE = 8
MEGABIT = 1_000_000
MESSAGE_OVERHEAD_BYTES = 100  # counted for each message in addition to its payload
FAST_LINK_MEGABITS = 1000.0
FOUNDING_S = 3.0  # time before the first change
STEP_S = 0.01  # between two samples of the members' state
STEADY_S = 5.0  # wait after catching up before the lag is measured, and duration of the measurement
STEADY_STEPS = 500  # steps of STEP_S in STEADY_S


@dataclass(frozen=True)
class CatchUpCase:
    """One scenario.

    Attributes:
        size: size of the configuration that each change replaces, bytes.
        interval: time between two changes, seconds.
        megabits: bandwidth of the returning machine's links, Mbit/s.
        delay: one-way delay of all links, seconds.
        before: number of changes before the machine goes down.
        missed: number of changes while it is down.
        wiped: whether it returns with an empty disk.
        cut_after: seconds after its return at which its links begin to lose every message; None: never.
        cut_seconds: duration of that loss, seconds.
        keys: whether each change also adds a small key.
        all_links: whether `megabits` applies to all links.
        loss: probability that a message is lost.
        patience: seconds after the return at which the run gives up.
        role: role of the machine that goes down.
        seed: seed of the run.
    """

    size: int = 1_000
    interval: float = 0.1
    megabits: float = 86.0
    delay: float = 0.035
    before: int = 0
    missed: int = 100
    wiped: bool = False
    cut_after: float | None = None
    cut_seconds: float = 2.0
    keys: bool = False
    all_links: bool = False
    loss: float = 0.0
    patience: float = 60.0
    role: str = "witness"
    seed: int = 1


@dataclass
class CatchUpResult:
    """The measurements of one run.

    Attributes:
        caught_up: seconds from the return until the replica held what was committed at its return; None if
            it never did.
        steady_lag: largest number of changes that it was behind the primary in the last five seconds.
        sent: bytes sent to it until it caught up, or until the end if it never did.
        sent_rate: bytes per second sent to it in the last five seconds.
        queued: largest number of bytes queued for sending at one member.
        acknowledged: share of the submitted changes that were acknowledged.
    """

    caught_up: float | None = None
    steady_lag: int = 0
    sent: int = 0
    sent_rate: float = 0.0
    queued: int = 0
    acknowledged: float = 0.0


class MeasuredNetwork(Network):
    """A network with a bandwidth for each link, which counts the bytes sent to one address.

    Attributes:
        case: the scenario, which has the bandwidths.
        counted_address: address of the returning machine; "" before it is known.
        bytes_sent: bytes sent to that address.
        lossy_addresses: addresses whose links lose every message.
    """

    def __init__(self, case: CatchUpCase, clock: Scheduler, random: Random, deliver: Deliver) -> None:
        super().__init__(
            clock,
            random,
            deliver,
            inter_region_delay_s=case.delay,
            intra_region_delay_s=case.delay,
            held_share=0.0,
            loss=case.loss,
        )
        self.case = case
        self.counted_address = ""
        self.bytes_sent = 0
        self.lossy_addresses: set[str] = set()

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Sends a message with the bandwidth of its link; counts its bytes."""
        if receiver == self.counted_address:
            self.bytes_sent += payload_bytes(message) + MESSAGE_OVERHEAD_BYTES
        if self.lossy_addresses & {sender, receiver}:
            return
        self.bandwidth = self.link_bandwidth(sender, receiver)
        super().send(sender, receiver, message)

    def link_bandwidth(self, sender: str, receiver: str) -> float:
        """Returns the bandwidth of a link, bytes per second."""
        is_slow = self.case.all_links or self.counted_address in (sender, receiver)
        return (self.case.megabits if is_slow else FAST_LINK_MEGABITS) * MEGABIT / BITS_PER_BYTE


class CatchUpRun:
    """Plays one case; is the environment of its machines.

    Attributes:
        submitted: number of changes submitted.
        acknowledged: number of changes acknowledged.
        result: the measurements so far.
    """

    def __init__(self, case: CatchUpCase, member_class: type[Member] = Member) -> None:
        self.case = case
        self.member_class = member_class
        self.random = Random(case.seed)
        self.clock = Scheduler()
        self.history = History()
        self.tolerated = 1
        self.timing = Timing()
        self.ticket_count = 0
        self.seeds: tuple[str, ...] = ("10.1.0.1:7300", "10.2.0.1:7300", "10.3.0.1:7300")
        self.network = MeasuredNetwork(case, self.clock, self.random, self.deliver)
        self.machines = [Machine(self, f"m{at}", address, f"r{at}") for at, address in enumerate(self.seeds)]
        self.by_address = {machine.address: machine for machine in self.machines}
        self.network.region = {machine.address: machine.region for machine in self.machines}
        self.submitted = 0
        self.acknowledged = 0
        self.result = CatchUpResult()

    def log(self, event: str, subject: str = "") -> None:
        """Appends an event to the trace."""
        self.history.events.append(LoggedEvent(self.clock.now, event, subject))

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message to the machine at the address `receiver`."""
        self.by_address[receiver].receive(sender, message)

    def decide(self, state: Mapping[str, bytes], number: int) -> Decision:
        """Decides a change: it replaces the configuration, and adds a small key if the case says so."""
        configuration = number.to_bytes(8, "big") + bytes(self.case.size - 8)
        changes: dict[str, bytes | None] = {"configuration": configuration}
        if self.case.keys:
            changes[f"taken/{number}"] = b"%020d" % number
        return Decision(changes, number)

    # --- the client

    def submit_next(self) -> None:
        """Submits the next change to the primary, if there is one, and schedules the one after."""
        primary = self.primary()
        self.submitted += 1
        if primary is not None:
            primary.submit_command(self.submitted, self.answered)
        self.clock.after(self.case.interval, self.submit_next)

    def answered(self, outcome: object) -> None:
        """Counts an acknowledged change, whose outcome is its number."""
        if type(outcome) is int:
            self.acknowledged += 1

    def primary(self) -> Machine | None:
        """Returns the machine whose member acts as primary, or None."""
        return next((m for m in self.machines if m.up and m.running_member.role == "primary"), None)

    # --- the run

    def play(self) -> CatchUpResult:
        """Plays the whole run: changes, the outage, the return, and the measurements after it."""
        case, clock = self.case, self.clock
        for machine in self.machines:
            machine.start(True)
        clock.run(FOUNDING_S)
        self.submit_next()
        clock.run(FOUNDING_S + case.before * case.interval)
        machine = next(each for each in self.machines if each.running_member.role == case.role)
        machine.lose_power()
        if case.wiped:
            machine.wipe()
        self.network.counted_address = machine.address
        clock.run(clock.now + case.missed * case.interval)
        self.restart(machine)
        self.run_until_caught_up(machine)
        self.measure_steady_lag(machine)
        self.result.acknowledged = self.acknowledged / self.submitted
        return self.result

    def restart(self, machine: Machine) -> None:
        """Restarts the machine, and schedules the loss of all its messages if the case says so."""
        self.network.bytes_sent = 0
        machine.start()
        if self.case.cut_after is not None:
            self.clock.after(self.case.cut_after, self.network.lossy_addresses.add, machine.address)
            until = self.case.cut_after + self.case.cut_seconds
            self.clock.after(until, self.network.lossy_addresses.discard, machine.address)

    def run_until_caught_up(self, machine: Machine) -> None:
        """Runs until the machine has what was committed at its return, or patience is over."""
        returned_at, target = self.clock.now, self.committed()
        while self.clock.now < returned_at + self.case.patience:
            self.step()
            if machine.running_member.committed.position >= target:
                self.result.caught_up = self.clock.now - returned_at
                break
        self.result.sent = self.network.bytes_sent

    def measure_steady_lag(self, machine: Machine) -> None:
        """Measures how far behind the machine is, and the rate at which it is sent data."""
        self.clock.run(self.clock.now + STEADY_S)
        sent = self.network.bytes_sent
        for _ in range(STEADY_STEPS):
            self.step()
            lag = self.committed()[1] - machine.running_member.committed.sequence
            self.result.steady_lag = max(self.result.steady_lag, lag)
        self.result.sent_rate = (self.network.bytes_sent - sent) / STEADY_S

    def committed(self) -> Position:
        """Returns the newest committed position that any running member knows."""
        return max(machine.running_member.committed.position for machine in self.machines if machine.up)

    def step(self) -> None:
        """Advances the run by STEP_S, and samples the bytes queued at each member."""
        self.clock.run(self.clock.now + STEP_S)
        for machine in self.machines:
            if machine.member is not None:
                self.result.queued = max(self.result.queued, queued_bytes(machine.member))


def queued_bytes(member: Member) -> int:
    """Returns the bytes queued at a member to be sent in chunks; counts each distinct value once."""
    values: dict[int, int] = {}
    for queue in member.transport.chunking.queues.values():
        for outgoing in queue:
            if outgoing.body is not None:
                values[id(outgoing.body)] = len(outgoing.body)
            values.update((id(value), len(value)) for value in outgoing.message.changes.values() if value)
    return sum(values.values())


def play(case: CatchUpCase, **options: Any) -> CatchUpResult:
    """Plays a case with some of its fields replaced by `options`."""
    return CatchUpRun(replace(case, **options)).play()
