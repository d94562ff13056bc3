"""Simulated clients of the control state: competing operators, a counter client, readers.

Each client has one operation at a time, and sends it unchanged to one machine after the other until its
outcome is definite.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from shedgrade.replication import ReadResult, RedirectToPrimary, Unavailable
from shedgrade.simulation.history import ClientAttempt, Operation
from shedgrade.simulation.register import CONFLICT, OK, Count, Put, Request

if TYPE_CHECKING:
    from shedgrade.simulation.cluster import SimulatedCluster
    from shedgrade.simulation.machine import Machine

REQUEST_DELAY_S = 0.001  # one way between a client and a machine
ATTEMPT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 1.6
MAX_REDIRECTS = 2
SAME_MACHINE_SHARE = 0.6  # share of operations first sent to the machine that completed the last one


class Client:
    """A client that runs one operation at a time.

    Attributes:
        current: the operation in progress; None between two operations.
        attempt: number of the current attempt; answers to earlier attempts are ignored.
        backoff_s: delay before the next retry, seconds.
        last_machine: the machine that completed the last operation.
        stopped: no further operation is begun.
    """

    def __init__(self, cluster: SimulatedCluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.current: Operation | None = None
        self.last_machine: Machine | None = None
        self.attempt = 0
        self.backoff_s = FIRST_BACKOFF_S
        self.stopped = False

    def begin_next(self) -> None:
        """Begins the next operation unless the client is stopped."""
        raise NotImplementedError

    def completed(self, operation: Operation, machine: Machine) -> None:
        """Handles a completed operation; must schedule or begin the next one."""
        raise NotImplementedError

    def begin(self, request: Request | None) -> None:
        """Invokes an operation, a read if `request` is None."""
        self.current = Operation(request, self.cluster.clock.now)
        self.cluster.history.operations.append(self.current)
        self.backoff_s = FIRST_BACKOFF_S
        machines = self.cluster.machines
        last = self.last_machine
        if last is not None and last in machines and self.cluster.random.random() < SAME_MACHINE_SHARE:
            self.send(last)
        else:
            self.send(self.cluster.random.choice(machines))

    def send(self, machine: Machine, redirects: int = 0) -> None:
        """Sends one attempt of the current operation. `redirects`: number of redirects followed so far."""
        operation = self.current
        if operation is None:
            return
        self.attempt += 1
        attempt = self.attempt
        clock = self.cluster.clock
        invoked_at = clock.now

        def on_outcome(outcome: object) -> None:
            delay = REQUEST_DELAY_S + 0.001 * self.cluster.random.random()
            clock.after(delay, answered, outcome)

        def answered(outcome: object) -> None:
            if attempt == self.attempt and operation is self.current:
                operation.attempts.append(ClientAttempt(invoked_at, clock.now, machine.name, outcome))
                self.answered(operation, machine, outcome, redirects)

        if operation.request is None:
            clock.after(REQUEST_DELAY_S, machine.submit_read, on_outcome)
        else:
            clock.after(REQUEST_DELAY_S, machine.submit_command, operation.request, on_outcome)
        clock.after(ATTEMPT_TIMEOUT_S, self.attempt_timed_out, attempt, machine)

    def attempt_timed_out(self, attempt: int, machine: Machine) -> None:
        """Retries an attempt that wasn't answered within the time-out."""
        if attempt == self.attempt and self.current is not None:
            self.retry(machine)

    def answered(self, operation: Operation, machine: Machine, outcome: object, redirects: int) -> None:
        """Handles a machine's answer to the current attempt."""
        if isinstance(outcome, RedirectToPrimary):
            target = self.cluster.by_address.get(outcome.address)
            if target is not None and redirects < MAX_REDIRECTS:
                self.send(target, redirects + 1)
            else:
                self.retry(machine)
            return
        if outcome is None or isinstance(outcome, Unavailable):
            self.retry(machine)
            return
        operation.completed_at = self.cluster.clock.now
        operation.outcome = outcome
        self.current = None
        self.attempt += 1
        self.last_machine = machine
        self.completed(operation, machine)

    def retry(self, machine: Machine) -> None:
        """Schedules another attempt at a different machine after an exponential backoff."""
        self.attempt += 1
        others = [each for each in self.cluster.machines if each is not machine] or [machine]
        self.backoff_s = min(self.backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        target = self.cluster.random.choice(others)
        self.cluster.clock.after(self.backoff_s, self.send_retry, self.attempt, target)

    def send_retry(self, attempt: int, machine: Machine) -> None:
        """Sends a scheduled retry unless the operation has completed or was sent again meanwhile."""
        if attempt == self.attempt:
            self.send(machine)

    def schedule_next(self, factor: float = 1.0) -> None:
        """Schedules the next operation after a random pause, at most `factor` times `max_pause_s`."""
        self.cluster.clock.after(
            factor * self.cluster.max_pause_s * self.cluster.random.random(), self.begin_next
        )


class OperatorClient(Client):
    """Puts configurations based on the newest version it knows, and reads the state after a conflict."""

    known_version = 0

    def begin_next(self) -> None:
        """Puts the next configuration, unless the client is stopped."""
        if self.stopped:
            return
        cluster = self.cluster
        cluster.payload_count += 1
        version = self.known_version + cluster.random.randint(1, 3)
        self.begin(Put(self.known_version, version, f"{self.name}{cluster.payload_count}"))

    def completed(self, operation: Operation, machine: Machine) -> None:
        """Records the version that the operation has set or read; reads the state after a conflict."""
        if isinstance(operation.request, Put) and operation.outcome == OK:
            self.known_version = operation.request.version
            self.cluster.handle_acknowledgement(machine)
        elif operation.outcome == CONFLICT:
            self.begin(None)
            return
        elif isinstance(operation.outcome, ReadResult):
            self.known_version = int(operation.outcome.state.get("version", b"0"))
        self.schedule_next()


class CounterClient(Client):
    """Raises the counter by one with each operation."""

    number = 0

    def begin_next(self) -> None:
        """Raises the counter, unless the client is stopped."""
        if not self.stopped:
            self.number += 1
            self.begin(Count(self.number))

    def completed(self, operation: Operation, machine: Machine) -> None:
        """Schedules the next operation after up to twice the usual pause."""
        self.cluster.handle_acknowledgement(machine)
        self.schedule_next(2)


class ReaderClient(Client):
    """Reads the state repeatedly."""

    def begin_next(self) -> None:
        """Reads the state, unless the client is stopped."""
        if not self.stopped:
            self.begin(None)

    def completed(self, operation: Operation, machine: Machine) -> None:
        """Schedules the next read after the usual pause."""
        self.schedule_next()
