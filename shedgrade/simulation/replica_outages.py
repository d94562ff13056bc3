"""Plays outages of replicas during hundreds of changes, drawn from a seed, and checks what members observe.

One core of 2t + 1 machines runs in virtual time. Each client submits one change after the other. Outages stay
within what is tolerated: at most t machines are down or catching up at once, each for up to a thousand
changes. A machine returns with its disk or with an empty one; the disk from before the wipe may be put back
later. All machines may lose power in between. No primary may begin with less than was acknowledged; the
numbers of a client's changes only increase, so a state shows which of them it lacks.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from shedgrade.replication import (
    Committed,
    Decision,
    Member,
    Message,
    ReadResult,
    RedirectToPrimary,
    Timing,
    Unavailable,
)
from shedgrade.simulation.clock import Scheduler
from shedgrade.simulation.history import LoggedEvent, Position
from shedgrade.simulation.machine import Machine
from shedgrade.simulation.network import Network

CATCH_UP_S = 4.0  # time after its return for which a machine counts as lost
ATTEMPT_TIMEOUT_S = 0.4
REDIRECT_DELAY_S = 0.02
RETRY_DELAY_S = 0.05
RESTART_S = 0.5  # time to restart a machine with another disk
CLIENTS = 4
KEPT_CHANGES = 200  # maximum number of keys that record a client's recent writes

Numbers = tuple[int, ...]  # number of the last write of each client


class Write(NamedTuple):
    """Write `number` of a client. Numbers increase by one; a write is retried until it is acknowledged."""

    client: int
    number: int


class StateSummary(NamedTuple):
    """What distinguishes two states: the numbers of the last writes, and the number of keys."""

    numbers: Numbers
    keys: int


def last_key(client: int) -> str:
    """Returns the key that holds the number of a client's last write."""
    return f"last/{client}"


def last_numbers(state: Mapping[str, bytes]) -> Numbers:
    """Returns the number of the last write of each client in the state."""
    return tuple(int(state.get(last_key(client), b"0")) for client in range(CLIENTS))


def is_behind(numbers: Numbers, required: Numbers) -> bool:
    """Returns whether `numbers` lacks a write that `required` has."""
    return any(has < needed for has, needed in zip(numbers, required, strict=True))


class OutageHistory:
    """What members and clients observed, checked as it is recorded.

    Attributes:
        violations: descriptions of the violations found.
        states: a summary of each committed state, by position.
        acknowledged: number of the last acknowledged write of each client.
        events: the trace.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.states: dict[Position, StateSummary] = {}
        self.acknowledged = [0] * CLIENTS
        self.events: list[LoggedEvent] = []

    def record_committed(self, now: float, machine: Machine, committed: Committed) -> None:
        """Records a committed state reported by a member; all members must report the same at a position."""
        position = (committed.epoch, committed.sequence)
        summary = StateSummary(last_numbers(committed.state), len(committed.state))
        if self.states.setdefault(position, summary) != summary:
            self.violations.append(f"{machine.name} has a different state at {position}, {now:.3f} s")

    def primary_began(self, now: float, name: str, state: Mapping[str, bytes]) -> None:
        """Checks that the state with which a primary begins has every acknowledged write."""
        numbers = last_numbers(state)
        if is_behind(numbers, tuple(self.acknowledged)):
            self.violations.append(
                f"{name} became primary with {numbers}, acknowledged {self.acknowledged}, {now:.3f} s"
            )

    def read_completed(self, now: float, required: Numbers, state: Mapping[str, bytes]) -> None:
        """Checks that a completed read returned every write acknowledged before it was invoked."""
        numbers = last_numbers(state)
        if is_behind(numbers, required):
            self.violations.append(f"read returned {numbers}, acknowledged before {required}, {now:.3f} s")

    def check_chain(self) -> list[str]:
        """Checks that no state lacks a write of an earlier one, nor the last state an acknowledged write."""
        violations: list[str] = []
        before: Numbers = (0,) * CLIENTS
        for position in sorted(self.states):
            numbers = self.states[position].numbers
            if is_behind(numbers, before):
                violations.append(f"{position} lacks a write of an earlier position")
            before = numbers
        if is_behind(before, tuple(self.acknowledged)):
            violations.append(f"last state has {before}, acknowledged {self.acknowledged}")
        return violations


class WriteClient:
    """A client that submits one write after the other, and at times a read.

    Attributes:
        number: number of the last write.
        attempt: number of the last attempt; answers to earlier attempts are ignored.
        target: machine that the last attempt was sent to.
        is_reading: whether the current operation is a read.
        required: numbers of the writes acknowledged when the operation was invoked.
        stopped: no further operation is begun.
    """

    def __init__(self, run: ReplicaOutageRun, client: int) -> None:
        self.run = run
        self.client = client
        self.number = 0
        self.attempt = 0
        self.target: Machine | None = None
        self.is_reading = False
        self.required: Numbers = (0,) * CLIENTS
        self.stopped = False

    def begin_next(self) -> None:
        """Begins the next operation: with probability 0.1 a read, else a write."""
        if self.stopped:
            return
        self.required = tuple(self.run.history.acknowledged)
        self.is_reading = self.run.random.random() < 0.1
        self.number += not self.is_reading
        self.send(self.target)

    def send(self, machine: Machine | None) -> None:
        """Sends one attempt to `machine`, or to a random one if it is None."""
        run = self.run
        self.attempt += 1
        self.target = machine = machine or run.random.choice(run.machines)
        attempt = self.attempt

        def on_outcome(outcome: object) -> None:
            run.clock.after(0.001, self.answered, attempt, outcome)

        if self.is_reading:
            machine.submit_read(on_outcome)
        else:
            machine.submit_command(Write(self.client, self.number), on_outcome)
        run.clock.after(ATTEMPT_TIMEOUT_S, self.retry, attempt)

    def retry(self, attempt: int) -> None:
        """Sends the operation to a random machine, unless `attempt` is no longer the current one."""
        if attempt == self.attempt:
            self.send(None)

    def answered(self, attempt: int, outcome: object) -> None:
        """Handles the answer to an attempt: completes the operation, follows a redirect or retries."""
        run = self.run
        if attempt != self.attempt:
            return
        if isinstance(outcome, RedirectToPrimary):
            self.attempt += 1
            target = run.by_address[outcome.address]
            run.clock.after(REDIRECT_DELAY_S, self.retry_at, self.attempt, target)
        elif outcome is None or isinstance(outcome, Unavailable):
            self.attempt += 1
            run.clock.after(RETRY_DELAY_S, self.retry, self.attempt)
        else:
            self.completed(outcome)

    def retry_at(self, attempt: int, machine: Machine) -> None:
        """Follows a redirect, unless `attempt` is no longer the current one."""
        if attempt == self.attempt:
            self.send(machine)

    def completed(self, outcome: object) -> None:
        """Handles a completed operation; the next one begins after a random pause."""
        run = self.run
        self.attempt += 1
        if isinstance(outcome, ReadResult):
            run.history.read_completed(run.clock.now, self.required, outcome.state)
        else:
            run.history.acknowledged[self.client] = self.number
            run.handle_acknowledgement()
        run.clock.after(run.pace * run.random.random(), self.begin_next)


def recording_member_class(
    member_class: type[Member], clock: Scheduler, history: OutageHistory
) -> type[Member]:
    """Returns a subclass of the member class that records in `history` when a member becomes primary."""

    def became_primary(member: Member, now: float) -> None:
        member_class.became_primary(member, now)
        history.primary_began(clock.now, member.name, member.replica.state)

    return type("RecordingMember", (member_class,), {"became_primary": became_primary})


class ReplicaOutageRun:
    """One run, determined by its seed; the environment of its machines.

    Attributes:
        RECOVERY_S: time after the last outage in which all machines return and catch up, seconds.
        length: virtual time with outages, seconds.
        pace: maximum pause of a client between two operations, seconds.
        padding: size of the configuration that every fifth write replaces, bytes.
        lost_until: virtual time until which a machine counts as lost, by its name.
        recovering: whether the time with outages is over.
        after_next_acknowledgement: a fault to be injected right after the next acknowledgement, or None.
    """

    RECOVERY_S = 35.0

    def __init__(
        self,
        seed: int,
        tolerated: int = 1,
        member_class: type[Member] = Member,
        machine_class: type[Machine] = Machine,
        length: float = 45.0,
    ) -> None:
        self.seed = seed
        self.tolerated = tolerated
        self.length = length
        self.random = Random(seed)
        self.clock = Scheduler()
        self.history = OutageHistory()
        self.timing = Timing()
        self.ticket_count = 0
        self.pace = 0.06
        self.member_class = recording_member_class(member_class, self.clock, self.history)
        count = 2 * tolerated + 1
        addresses = tuple(f"10.{at + 1}.0.1:7300" for at in range(count))
        self.seeds = addresses[:3]
        delay = self.random.choice((0.0005, 0.02, 0.055))
        self.network = Network(
            self.clock,
            self.random,
            self.deliver,
            inter_region_delay_s=delay,
            bandwidth=self.random.choice((0.0, 625_000.0)),
        )
        self.machines = [
            machine_class(self, f"m{at}", address, f"r{at}") for at, address in enumerate(addresses)
        ]
        self.by_address = {machine.address: machine for machine in self.machines}
        sync_s = self.random.choice((0.005, 0.03, 0.08))
        for machine in self.machines:
            machine.sync_s = sync_s
        self.network.region = {machine.address: machine.region for machine in self.machines}
        self.padding = self.random.choice((100, 100, 20_000, 60_000))
        self.clients = [WriteClient(self, client) for client in range(CLIENTS)]
        self.lost_until: dict[str, float] = {}
        self.recovering = False
        self.after_next_acknowledgement: Callable[[], None] | None = None

    def log(self, event: str, subject: str = "") -> None:
        """Appends an event to the trace."""
        self.history.events.append(LoggedEvent(self.clock.now, event, subject))

    def deliver(self, sender: str, receiver: str, message: Message) -> None:
        """Delivers a message to the machine at the address `receiver`."""
        self.by_address[receiver].receive(sender, message)

    def decide(self, state: Mapping[str, bytes], request: Write) -> Decision:
        """Decides a write: sets the client's last number and another key, and at times the configuration."""
        key = last_key(request.client)
        if int(state.get(key, b"0")) >= request.number:
            return Decision({}, True)
        number = b"%d" % request.number
        recent = f"taken/{request.client}/{request.number % KEPT_CHANGES}"
        changes: dict[str, bytes | None] = {key: number, recent: number}
        if request.number % 5 == 0:
            changes["configuration"] = number + bytes(self.padding)
            changes[f"taken/{request.client}/{(request.number - 100) % KEPT_CHANGES}"] = None
        return Decision(changes, True)

    # --- faults

    def next_fault(self) -> None:
        """Injects a fault, or arms one for the next acknowledgement, and schedules the next."""
        if self.recovering:
            return
        free, allowed = self.may_be_lost()
        chance = self.random.random()
        if chance < 0.3:
            self.after_next_acknowledgement = self.lose_all_power
        elif chance < 0.6:
            self.after_next_acknowledgement = self.lose_power_and_disks
        elif allowed > 0 and free:
            for machine in self.random.sample(free, min(len(free), self.random.randint(1, allowed))):
                self.take_down(machine)
        self.clock.after(self.random.choice((0.3, 2.0, 6.0)), self.next_fault)

    def may_be_lost(self) -> tuple[list[Machine], int]:
        """Returns the machines neither down nor catching up, and how many of them may be lost now."""
        lost = [name for name, until in self.lost_until.items() if until > self.clock.now]
        free = [machine for machine in self.machines if machine.name not in lost and machine.up]
        return free, self.tolerated - len(lost)

    def take_down(self, machine: Machine) -> None:
        """Takes a machine down for 0.7 s to 20 s; a thousand changes are made in the longest outage."""
        down = self.random.choice((0.7, 3.0, 8.0, 20.0))
        disk = self.random.choice(("intact", "intact", "wiped", "old"))
        self.log(f"down for {down} s, disk {disk}", machine.name)
        if self.random.random() < 0.7:
            machine.lose_power()
        else:
            machine.kill()
        old_disk = dict(machine.durable)
        if disk != "intact":
            machine.wipe()
        self.lost_until[machine.name] = self.clock.now + down + CATCH_UP_S
        self.clock.after(down, self.restart, machine)
        if disk == "old":
            restore_after = down + CATCH_UP_S + self.random.random() * 4
            until = self.clock.now + restore_after + RESTART_S + CATCH_UP_S
            self.lost_until[machine.name] = until
            self.clock.after(restore_after, self.restore_old_disk, machine, old_disk)

    def restore_old_disk(self, machine: Machine, old_disk: dict[str, bytes]) -> None:
        """Puts back the disk from before it was wiped, with an old incarnation and an old state."""
        self.log("disk from before the wipe put back", machine.name)
        machine.lose_power()
        machine.wipe()
        machine.durable = dict(old_disk)
        self.clock.after(RESTART_S, self.restart, machine)

    def restart(self, machine: Machine) -> None:
        """Starts the machine unless it is up."""
        machine.start()

    def lose_power_and_disks(self) -> None:
        """Cuts all power, and wipes as many machines as may be lost now, the primary first."""
        free, allowed = self.may_be_lost()
        free.sort(key=lambda machine: machine.running_member.role != "primary")
        self.lose_all_power()
        for machine in free[: max(0, allowed)]:
            self.log("disk wiped", machine.name)
            machine.wipe()
            self.lost_until[machine.name] = self.clock.now + 1.5 + CATCH_UP_S

    def handle_acknowledgement(self) -> None:
        """Handles an acknowledged write: injects the fault that is armed for it, if any."""
        if self.after_next_acknowledgement is not None and not self.recovering:
            inject, self.after_next_acknowledgement = self.after_next_acknowledgement, None
            inject()

    def lose_all_power(self) -> None:
        """Cuts the power of all machines that are up; they start again in any order."""
        self.log("power loss of all machines")
        for machine in self.machines:
            if machine.up:
                machine.lose_power()
                self.clock.after(0.5 + self.random.random(), machine.start)

    # --- the run

    def play(self) -> list[str]:
        """Plays the whole run; returns the violations found."""
        for machine in self.machines:
            machine.start(machine.address in self.seeds)
        for client in self.clients:
            self.clock.after(1.0, client.begin_next)
        self.clock.at(5.0, self.next_fault)
        self.clock.run(self.length)
        self.recovering = True
        self.clock.run(self.length + self.RECOVERY_S)
        for client in self.clients:
            client.stopped = True
        self.clock.run(self.clock.now + 3.0)
        return self.history.violations + self.history.check_chain() + self.not_caught_up()

    def not_caught_up(self) -> list[str]:
        """Returns a violation for each member that doesn't know the newest state at the end."""
        newest = max(self.history.states, default=(0, 0))
        positions = {
            machine.name: machine.member.committed.position if machine.member is not None else None
            for machine in self.machines
        }
        return [f"{name} is at {at}, not {newest}" for name, at in positions.items() if at != newest]
