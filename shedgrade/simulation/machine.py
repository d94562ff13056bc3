"""A simulated core machine: a member's process, a disk that stores whole writes, and the power supply."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from random import Random

from shedgrade.replication import (
    Answer,
    Committed,
    Exit,
    Member,
    Message,
    Persist,
    Send,
)
from shedgrade.simulation.environment import Environment

EXIT_MARGIN_S = 1.2  # time before SIGKILL at which a leaving process gives up
LOCAL_DELAY_S = 0.001  # delay until callers see a closed connection, and until a resumed disk ends its write
MIN_TICK_DELAY_S = 0.0005
TICK_JITTER_S = 0.001
NEVER = float("inf")

OutcomeCallback = Callable[[object], object]  # called with an outcome, None if the process ended without one


class Machine:
    """A machine of the core and the member's process on it.

    The process runs, is frozen (SIGSTOP: calls and messages are deferred), or is down (`member` is None).

    Attributes:
        seeds: addresses of the founding machines in this machine's settings.
        durable: content synced to disk; survives the end of the process and losses of power.
        unsynced_write: the write in progress, or None. After a crash it is either on disk or not.
        member: the process's member; None while no process runs.
        generation: number of starts and ends of processes; events of an earlier generation are ignored.
        next_tick_at: virtual time of the earliest scheduled tick; infinite if none is scheduled.
        frozen: whether the process is stopped by SIGSTOP; False if none runs.
        deferred_calls: calls that a frozen process will make once it is thawed, in order; else empty.
        sync_s: mean time of a write, seconds.
        usual_sync_s: the value of `sync_s` without faults.
        disk_stalled: whether writes hang.
        disk_full: whether writes fail.
        callbacks: callbacks of open requests, by ticket.
        on_exit: called once when a terminated process has ended.
        committed: newest committed position that this process has reported; (0, 0) after a start.
        clock_offset: reading of the machine's steady clock at virtual time 0, seconds; drawn per machine.
    """

    def __init__(self, environment: Environment, name: str, address: str, region: str) -> None:
        self.environment = environment
        self.name = name
        self.address = address
        self.region = region
        self.seeds: tuple[str, ...] = environment.seeds
        self.durable: dict[str, bytes] = {}
        self.unsynced_write: Persist | None = None
        self.member: Member | None = None
        self.generation = 0
        self.next_tick_at = NEVER
        self.frozen = False
        self.deferred_calls: list[Callable[[], None]] = []
        self.sync_s = 0.005
        self.usual_sync_s = self.sync_s
        self.disk_stalled = False
        self.disk_full = False
        self.callbacks: dict[int, OutcomeCallback] = {}
        self.on_exit: Callable[[], None] | None = None
        self.committed = (0, 0)
        self.clock_offset = environment.random.random() * 1e5

    @property
    def up(self) -> bool:
        """Whether a process runs, frozen or not."""
        return self.member is not None

    @property
    def steady_now(self) -> float:
        """The machine's steady clock, seconds."""
        return self.environment.clock.now + self.clock_offset

    @property
    def running_member(self) -> Member:
        """The member of the process, which must be running."""
        assert self.member is not None, f"no process runs on {self.name}"
        return self.member

    def check_invariants(self) -> None:
        """Raises AssertionError if the attributes contradict each other."""
        if self.member is None:
            assert not self.frozen, "machine is frozen without a process"
            assert self.unsynced_write is None, "write in progress without a process"
            assert not self.callbacks, "requests are open without a process"
        assert self.frozen or not self.deferred_calls, "calls are deferred while the process runs"

    # --- process and power

    def start(self, founding: bool = False) -> None:
        """Starts a process unless one runs. `founding`: this is the first start of the whole core."""
        if self.member is not None:
            return
        environment = self.environment
        self.generation += 1
        self.committed = (0, 0)
        self.next_tick_at = NEVER
        self.member = environment.member_class(
            self.name,
            self.address,
            founding=founding,
            seeds=self.seeds,
            tolerated=environment.tolerated,
            stored_values=dict(self.durable),
            random=Random(environment.random.getrandbits(64)),
            now=self.steady_now,
            decide=environment.decide,
            timing=environment.timing,
        )
        environment.log("start", self.name)
        self.run_effects()

    def kill(self) -> None:
        """Ends the process by SIGKILL; its callers see their connections closed."""
        if self.member is None:
            return
        self.environment.log("kill", self.name)
        for callback in self.end_process():
            self.environment.clock.after(LOCAL_DELAY_S, callback, None)

    def lose_power(self) -> None:
        """Ends the process; its callers aren't notified, and messages held in the kernel are lost."""
        if self.member is None:
            return
        self.environment.log("power loss", self.name)
        self.end_process()
        self.environment.network.drop_held_messages(self.address)

    def end_process(self) -> list[OutcomeCallback]:
        """Ends the running process; returns the callbacks of its open requests."""
        self.member = None
        self.frozen = False
        self.deferred_calls = []
        on_exit, self.on_exit = self.on_exit, None
        if on_exit is not None:
            self.environment.clock.after(0.0, on_exit)
        self.generation += 1
        if self.unsynced_write is not None and self.environment.random.random() < 0.5:
            self.apply(self.unsynced_write.changes)
        self.unsynced_write = None
        callbacks = list(self.callbacks.values())
        self.callbacks = {}
        return callbacks

    def terminate(self, grace_s: float, on_exit: Callable[[], None]) -> None:
        """Sends SIGTERM, and SIGKILL after `grace_s`; `on_exit()` is called once the process has ended."""
        self.on_exit = on_exit
        if self.frozen:
            self.deferred_calls.append(partial(self.leave, grace_s - EXIT_MARGIN_S))
        else:
            self.leave(grace_s - EXIT_MARGIN_S)
        self.environment.clock.after(grace_s, self.kill_generation, self.generation)

    def leave(self, patience_s: float) -> None:
        """Asks the member to leave the core within `patience_s`."""
        if self.member is not None:
            self.member.leave(self.steady_now, patience_s)
            self.run_effects()

    def kill_generation(self, generation: int) -> None:
        """Kills the process of that generation if it still runs."""
        if generation == self.generation:
            self.kill()

    def wipe(self) -> None:
        """Replaces the disk by an empty one."""
        self.durable = {}
        self.unsynced_write = None

    def freeze(self) -> None:
        """Stops the process by SIGSTOP; calls and messages to it are deferred."""
        if self.member is not None:
            self.frozen = True

    def thaw(self) -> None:
        """Resumes the process by SIGCONT: it makes the deferred calls, then continues."""
        if self.member is None:
            return
        self.frozen = False
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for call in deferred_calls:
            call()
        self.tick(self.generation)

    # --- the disk

    def apply(self, changes: Mapping[str, bytes | None]) -> None:
        """Makes changes durable; None removes a key."""
        for key, value in changes.items():
            if value is None:
                self.durable.pop(key, None)
            else:
                self.durable[key] = value

    def persist(self, effect: Persist) -> None:
        """Begins a write. A member has at most one in progress."""
        assert self.unsynced_write is None, "a write is already in progress"
        self.unsynced_write = effect
        if not self.disk_stalled:
            delay = self.sync_s * (0.5 + self.environment.random.random())
            self.environment.clock.after(delay, self.finish_write, self.generation, effect.token)

    def finish_write(self, generation: int, token: int) -> None:
        """Completes a write, which fails if the disk is full, and reports the result to the member."""
        write = self.unsynced_write
        if generation != self.generation or write is None or write.token != token or self.disk_stalled:
            return
        if self.frozen:
            self.deferred_calls.append(partial(self.finish_write, generation, token))
            return
        self.unsynced_write = None
        if not self.disk_full:
            self.apply(write.changes)
        self.running_member.persisted(self.steady_now, token, not self.disk_full)
        self.run_effects()

    def set_disk_stalled(self, stalled: bool) -> None:
        """Stalls or resumes the disk. While it is stalled, writes hang; a pending one then completes."""
        self.disk_stalled = stalled
        if not stalled and self.unsynced_write is not None:
            self.environment.clock.after(
                LOCAL_DELAY_S, self.finish_write, self.generation, self.unsynced_write.token
            )

    # --- calls to the member

    def receive(self, sender: str, message: Message) -> None:
        """Delivers a message from the address `sender`. It is lost if no process runs."""
        if self.frozen:
            self.deferred_calls.append(partial(self.receive, sender, message))
        elif self.member is not None:
            self.member.receive(self.steady_now, sender, message)
            self.run_effects()

    def submit_command(self, request: object, on_outcome: OutcomeCallback) -> None:
        """Submits a client's request to change the state."""
        if self.frozen:
            self.deferred_calls.append(partial(self.submit_command, request, on_outcome))
        elif self.member is None:
            self.environment.clock.after(LOCAL_DELAY_S, on_outcome, None)
        else:
            self.member.submit(self.steady_now, self.new_ticket(on_outcome), request)
            self.run_effects()

    def submit_read(self, on_outcome: OutcomeCallback) -> None:
        """Submits a client's request to read the state."""
        if self.frozen:
            self.deferred_calls.append(partial(self.submit_read, on_outcome))
        elif self.member is None:
            self.environment.clock.after(LOCAL_DELAY_S, on_outcome, None)
        else:
            self.member.read(self.steady_now, self.new_ticket(on_outcome))
            self.run_effects()

    def new_ticket(self, on_outcome: OutcomeCallback) -> int:
        """Returns a new ticket, under which the outcome of a request is reported to `on_outcome`."""
        self.environment.ticket_count += 1
        self.callbacks[self.environment.ticket_count] = on_outcome
        return self.environment.ticket_count

    def tick(self, generation: int) -> None:
        """Handles a due timer of the member."""
        if generation != self.generation or self.member is None or self.frozen:
            return
        if self.environment.clock.now >= self.next_tick_at:
            self.next_tick_at = NEVER
        now = self.steady_now
        if now >= self.member.wake_at():
            self.member.tick(now)
        self.run_effects()

    # --- effects of the member

    def run_effects(self) -> None:
        """Checks the member's invariants, carries out its effects in order, and schedules its next tick."""
        member = self.running_member
        member.check_invariants()
        effects = member.effects
        while effects:
            todo, effects[:] = list(effects), []
            for done, effect in enumerate(todo, 1):
                self.run_effect(effect)
                if self.member is not member:  # a fault or a callback has ended the process
                    return
                if self.frozen:
                    self.deferred_calls.append(self.run_effects)
                    effects[:0] = todo[done:]
                    return
        self.schedule_tick(member)

    def run_effect(self, effect: object) -> None:
        """Carries out one effect."""
        environment = self.environment
        if isinstance(effect, Send):
            environment.network.send(self.address, effect.to, effect.message)
        elif isinstance(effect, Persist):
            self.persist(effect)
        elif isinstance(effect, Answer):
            callback = self.callbacks.pop(effect.ticket, None)
            if callback is not None:
                callback(effect.outcome)
        elif isinstance(effect, Committed):
            environment.history.record_committed(environment.clock.now, self, effect)
        elif isinstance(effect, Exit):
            environment.clock.after(0.0, self.kill_generation, self.generation)

    def schedule_tick(self, member: Member) -> None:
        """Schedules a call to the member when its next timer is due."""
        environment = self.environment
        wake_at = max(member.wake_at() - self.clock_offset, environment.clock.now + MIN_TICK_DELAY_S)
        if wake_at < self.next_tick_at:
            self.next_tick_at = wake_at
            jitter = TICK_JITTER_S * environment.random.random()
            environment.clock.at(wake_at + jitter, self.tick, self.generation)
